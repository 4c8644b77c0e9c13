//! Follows the log's configuration stream and submits changes to it.

use std::sync::Arc;
use std::time::Duration;

use crate::Body;
use crate::ConfigChange;
use crate::Controller;
use crate::ControllerPlugin;
use crate::Envelope;
use crate::Error;
use crate::ErrorKind;
use crate::Offset;
use crate::ReadOutcome;
use crate::RecordId;
use crate::Result;
use crate::Stage;
use crate::Stream;
use crate::Verdict;

/// Records asked for in one read.
const READ_LIMIT: usize = 1000;

/// Time for which a read waits at the log for a record.
const READ_WAIT: Duration = Duration::from_secs(5);

/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(300);

/// Pause before an append is sent again.
const APPEND_PAUSE: Duration = Duration::from_millis(300);

/// Time within which a change must come back through the fold.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);

inventory::submit! {
    ControllerPlugin {
        name: "config-tail",
        stage: Stage::State,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let tail = Arc::clone(controller);
    controller.kernel.spawn(async move { follow(&tail).await });
    Ok(())
}

async fn follow(controller: &Controller) {
    loop {
        let from = controller.config.next();
        let read = controller
            .log
            .read(Stream::Config, from, READ_LIMIT, READ_WAIT);
        match read.await {
            Ok(ReadOutcome::Records(reply)) => {
                for (record, verdict) in controller.config.apply(&reply.records) {
                    let events = &controller.kernel.events;
                    let offset = record.offset;
                    events.record(
                        "config.applied",
                        &[("offset", &offset), ("verdict", &format!("{verdict:?}"))],
                    );
                }
            }
            Ok(ReadOutcome::Expired { first }) => {
                tracing::error!(%from, %first, "the log no longer keeps the next record");
                tokio::time::sleep(READ_PAUSE).await;
            }
            Err(error) => {
                tracing::warn!(%error, "reading the log failed");
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}

impl Controller {
    /// Appends a configuration change and waits until it has come back through the fold.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::LogUnavailable`] when the log took no append, and with
    /// [`ErrorKind::OutcomeUnknown`] when an append may have taken effect but did not come
    /// back in time.
    pub async fn submit(&self, change: ConfigChange) -> Result<(Offset, Verdict)> {
        let envelope = self.envelope(Body::Config(change));
        let id = envelope.id;
        tokio::select! {
            verdict = self.config.verdict(id) => Ok(verdict),
            error = self.append_until(Stream::Config, envelope, SUBMIT_TIMEOUT) => Err(error),
        }
    }

    /// Wraps a record's content with a new identity.
    pub(crate) fn envelope(&self, body: Body) -> Envelope {
        Envelope {
            id: RecordId::random(),
            writer: self.kernel.node.clone(),
            at: self.kernel.clock.now(),
            body,
        }
    }

    /// Appends a record, repeating it with the same identity after a failure, and returns an
    /// error once `limit` has passed; the caller stops it when it sees the record.
    async fn append_until(&self, stream: Stream, envelope: Envelope, limit: Duration) -> Error {
        let deadline = tokio::time::Instant::now() + limit;
        let mut appended = false;
        while tokio::time::Instant::now() < deadline {
            if appended {
                tokio::time::sleep(APPEND_PAUSE).await;
                continue;
            }
            match self.log.append(stream, vec![envelope.clone()]).await {
                Ok(_) => appended = true,
                Err(error) => {
                    tracing::warn!(%error, "appending to the log failed");
                    tokio::time::sleep(APPEND_PAUSE).await;
                }
            }
        }
        Error::new(
            ErrorKind::OutcomeUnknown,
            "the change did not come back from the log in time; it may still take effect",
        )
    }
}
