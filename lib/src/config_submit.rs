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

/// Pause before an append is sent again.
const APPEND_PAUSE: Duration = Duration::from_millis(300);

/// Time after which an append that succeeded but did not come back is sent again.
const ECHO_PAUSE: Duration = Duration::from_secs(3);

/// Time within which a change must come back through the fold.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);

impl Controller {
    /// Appends a configuration change and waits until it has come back through the fold.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::OutcomeUnknown`] when the change did not come back in time: it
    /// may still take effect.
    pub async fn submit(&self, change: ConfigChange) -> Result<(Offset, Verdict)> {
        let envelope = self.envelope(Body::Config(change));
        let id = envelope.id;
        let append = self.append_repeatedly(Stream::Config, envelope);
        let verdict = async {
            tokio::select! {
                verdict = self.config.verdict(id) => verdict,
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

    /// Wraps a record's content with a new identity.
    pub(crate) fn envelope(&self, body: Body) -> Envelope {
        Envelope {
            id: RecordId::random(),
            writer: self.kernel.node.clone(),
            at: self.kernel.clock.now(),
            body,
        }
    }

    /// Appends a record with the same identity again and again until the caller stops it.
    async fn append_repeatedly(
        &self,
        stream: Stream,
        envelope: Envelope,
    ) -> std::convert::Infallible {
        loop {
            let started = Instant::now();
            let pause = match self.log.append(stream, vec![envelope.clone()]).await {
                Ok(_) => ECHO_PAUSE,
                Err(error) => {
                    tracing::warn!(%error, "appending to the log failed");
                    APPEND_PAUSE
                }
            };
            tokio::time::sleep_until(started + pause).await;
        }
    }
}
