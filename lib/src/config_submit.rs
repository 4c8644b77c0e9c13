//! Submits configuration changes to the log and waits for their verdicts.

use std::time::Duration;

use tokio::time::Instant;

use crate::Body;
use crate::ConfigChange;
use crate::Controller;
use crate::Envelope;
use crate::Error;
use crate::ErrorKind;
use crate::Offset;
use crate::RecordId;
use crate::Result;
use crate::Stream;
use crate::Verdict;

/// Delay before a failed append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time after which a change that was appended but not yet read back is appended again.
const REAPPEND_DELAY: Duration = Duration::from_secs(3);

/// Time within which a change must be read back from the log and applied.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);

impl Controller {
    /// Appends a configuration change and waits until it is read back and applied.
    ///
    /// Returns its offset and the verdict on it.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::OutcomeUnknown`] when the change was not read back in time; it may
    /// still take effect.
    pub async fn submit(&self, change: ConfigChange) -> Result<(Offset, Verdict)> {
        let envelope = self.envelope(Body::Config(change));
        let id = envelope.id;
        let append = self.append_until_dropped(Stream::Config, envelope);
        let verdict = async {
            tokio::select! {
                verdict = self.config.wait_for_verdict(id) => verdict,
                never = append => match never {},
            }
        };
        tokio::time::timeout(SUBMIT_TIMEOUT, verdict)
            .await
            .map_err(|_elapsed| {
                Error::new(
                    ErrorKind::OutcomeUnknown,
                    "the change did not come back from the log in time; it may still take effect",
                )
            })
    }

    /// Wraps a record's content with a new identifier, this node's name and the current time.
    pub(crate) fn envelope(&self, body: Body) -> Envelope {
        Envelope {
            id: RecordId::random(),
            writer: self.kernel.node.clone(),
            at: self.kernel.clock.now(),
            body,
        }
    }

    /// Appends a record repeatedly, with the same identifier, until the future is dropped.
    async fn append_until_dropped(
        &self,
        stream: Stream,
        envelope: Envelope,
    ) -> std::convert::Infallible {
        loop {
            let started = Instant::now();
            let delay = match self.log.append(stream, vec![envelope.clone()]).await {
                Ok(_) => REAPPEND_DELAY,
                Err(error) => {
                    tracing::warn!(%error, "appending to the log failed");
                    RETRY_DELAY
                }
            };
            tokio::time::sleep_until(started + delay).await;
        }
    }
}
