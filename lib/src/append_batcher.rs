//! Puts records that arrive within a few milliseconds into one append.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::Body;
use crate::ClaimChange;
use crate::Controller;
use crate::DeferredChange;
use crate::Envelope;
use crate::Error;
use crate::ErrorKind;
use crate::Result;
use crate::Stream;

/// Time for which an append waits for more records.
const GATHER_TIME: Duration = Duration::from_millis(3);

/// Records in one append.
const BATCH_RECORDS: usize = 256;

/// Bodies in one append, in bytes.
const BATCH_BYTES: usize = 2 * 1024 * 1024;

/// Pause before an append is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Appends failed in a row after which the log counts as down.
const DOWN_FAILURES: u32 = 2;

/// Time after a failed append during which new records are refused at once.
const DOWN_TIME: Duration = Duration::from_secs(1);

/// Why a record was not appended.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub(crate) enum AppendError {
    /// the log does not answer
    NotSent,
    /// the log did not answer in time; the record may be in it
    MaybeSent,
}

/// Appends records of one stream, several at a time.
#[derive(Debug)]
pub(crate) struct AppendBatcher {
    stream: Stream,
    queue: mpsc::UnboundedSender<Pending>,
    waiting: Mutex<Option<mpsc::UnboundedReceiver<Pending>>>,
    failures: Mutex<Failures>,
}

/// Appends that failed since the last one that succeeded.
#[derive(Debug, Default)]
struct Failures {
    count: u32,
    last: Option<Instant>,
}

#[derive(Debug)]
struct Pending {
    envelope: Envelope,
    deadline: Instant,
    is_sent: bool,
    done: oneshot::Sender<Result<(), AppendError>>,
}

impl AppendBatcher {
    pub(crate) fn new(stream: Stream) -> Self {
        let (queue, waiting) = mpsc::unbounded_channel();
        Self {
            stream,
            queue,
            waiting: Mutex::new(Some(waiting)),
            failures: Mutex::default(),
        }
    }

    /// Tells whether several appends in a row have failed, the last one a moment ago.
    pub(crate) fn is_down(&self) -> bool {
        let failures = self.failures.lock();
        let is_recent = failures.last.is_some_and(|at| at.elapsed() < DOWN_TIME);
        failures.count >= DOWN_FAILURES && is_recent
    }

    /// Appends a record, again after failures until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an [`AppendError`] that tells whether the record may be in the log.
    pub(crate) async fn append(
        &self,
        envelope: Envelope,
        deadline: Instant,
    ) -> Result<(), AppendError> {
        let (done, result) = oneshot::channel();
        let pending = Pending {
            envelope,
            deadline,
            is_sent: false,
            done,
        };
        if self.queue.send(pending).is_err() {
            return Err(AppendError::NotSent);
        }
        result.await.unwrap_or(Err(AppendError::MaybeSent))
    }

    fn note_failure(&self) {
        let mut failures = self.failures.lock();
        failures.count = failures.count.saturating_add(1);
        failures.last = Some(Instant::now());
    }

    /// Appends what arrives for as long as the process runs.
    pub(crate) async fn run(&self, controller: &Controller) {
        let Some(mut waiting) = self.waiting.lock().take() else {
            return;
        };
        while let Some(first) = waiting.recv().await {
            tokio::time::sleep(GATHER_TIME).await;
            let mut batch = vec![first];
            let mut bytes = batch[0].bytes();
            while batch.len() < BATCH_RECORDS && bytes < BATCH_BYTES {
                let Ok(next) = waiting.try_recv() else { break };
                bytes += next.bytes();
                batch.push(next);
            }
            self.append_batch(controller, batch).await;
        }
    }

    /// Appends a batch, again with the same records after a failure, leaving out those whose
    /// deadline has passed or whose writer has gone.
    async fn append_batch(&self, controller: &Controller, mut batch: Vec<Pending>) {
        loop {
            batch = give_up(batch);
            if batch.is_empty() {
                return;
            }
            let records = batch.iter().map(|p| p.envelope.clone()).collect();
            for pending in &mut batch {
                pending.is_sent = true;
            }
            match controller.log.append(self.stream, records).await {
                Ok(_) => {
                    *self.failures.lock() = Failures::default();
                    for pending in batch {
                        let _ = pending.done.send(Ok(()));
                    }
                    return;
                }
                Err(error) => {
                    tracing::warn!(stream = self.stream.name(), %error, "an append failed");
                    self.note_failure();
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

impl Pending {
    fn bytes(&self) -> usize {
        match &self.envelope.body {
            Body::Claim(ClaimChange::Finish { reply, .. })
            | Body::Deferred(DeferredChange::Finish { reply, .. }) => reply.body.len(),
            Body::Deferred(DeferredChange::Accept { request }) => request.body.len(),
            _ => 0,
        }
    }
}

fn give_up(batch: Vec<Pending>) -> Vec<Pending> {
    let now = Instant::now();
    let mut kept = Vec::with_capacity(batch.len());
    for pending in batch {
        if pending.done.is_closed() {
            continue;
        }
        if pending.deadline > now {
            kept.push(pending);
            continue;
        }
        let error = if pending.is_sent {
            AppendError::MaybeSent
        } else {
            AppendError::NotSent
        };
        let _ = pending.done.send(Err(error));
    }
    kept
}

impl From<AppendError> for Error {
    fn from(error: AppendError) -> Self {
        Self::new(ErrorKind::LogUnavailable, error.to_string())
    }
}
