//! Batches records that arrive within a few milliseconds into one append to the log.

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

/// Time for which the first record of a batch waits for further ones.
const BATCH_DELAY: Duration = Duration::from_millis(3);

/// Maximum number of records in one append.
const MAX_BATCH_RECORDS: usize = 256;

/// Total size of the request and response bodies in one append, in bytes, at which no further
/// record is added.
const BATCH_BYTES_THRESHOLD: usize = 2 * 1024 * 1024;

/// Delay before a failed append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Number of consecutive failed appends at which the log counts as down.
const LOG_DOWN_THRESHOLD: u32 = 2;

/// Time after the latest failed append for which the log counts as down, once
/// [`LOG_DOWN_THRESHOLD`] is reached.
const LOG_DOWN_PERIOD: Duration = Duration::from_secs(1);

/// Why a record was not appended.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub(crate) enum AppendError {
    /// the log does not answer
    NotSent,
    /// the log did not answer in time; the record may be in it
    MaybeSent,
}

/// Appends records of one stream in batches.
#[derive(Debug)]
pub(crate) struct AppendBatcher {
    stream: Stream,
    sender: mpsc::UnboundedSender<PendingRecord>,
    receiver: Mutex<Option<mpsc::UnboundedReceiver<PendingRecord>>>,
    failures: Mutex<Failures>,
}

/// Consecutive failures since the last append that succeeded.
#[derive(Debug, Default)]
struct Failures {
    count: u32,
    last: Option<Instant>,
}

/// A queued record and the caller that waits for its result.
#[derive(Debug)]
struct PendingRecord {
    envelope: Envelope,
    deadline: Instant,
    is_sent: bool,
    result_sender: oneshot::Sender<Result<(), AppendError>>,
}

impl AppendBatcher {
    pub(crate) fn new(stream: Stream) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self {
            stream,
            sender,
            receiver: Mutex::new(Some(receiver)),
            failures: Mutex::default(),
        }
    }

    /// Returns whether the last appends have failed and the newest failure is recent.
    ///
    /// Callers then refuse new records at once instead of letting them wait for their deadline.
    pub(crate) fn is_down(&self) -> bool {
        let failures = self.failures.lock();
        let is_recent = failures
            .last
            .is_some_and(|at| at.elapsed() < LOG_DOWN_PERIOD);
        failures.count >= LOG_DOWN_THRESHOLD && is_recent
    }

    /// Appends a record and retries failed appends until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an [`AppendError`] that tells whether the record may be in the log.
    pub(crate) async fn append(
        &self,
        envelope: Envelope,
        deadline: Instant,
    ) -> Result<(), AppendError> {
        let (result_sender, result) = oneshot::channel();
        let pending = PendingRecord {
            envelope,
            deadline,
            is_sent: false,
            result_sender,
        };
        if self.sender.send(pending).is_err() {
            return Err(AppendError::NotSent);
        }
        result.await.unwrap_or(Err(AppendError::MaybeSent))
    }

    fn record_failure(&self) {
        let mut failures = self.failures.lock();
        failures.count = failures.count.saturating_add(1);
        failures.last = Some(Instant::now());
    }

    /// Appends queued records while the process runs. Calls after the first return at once.
    pub(crate) async fn run(&self, controller: &Controller) {
        let Some(mut receiver) = self.receiver.lock().take() else {
            return;
        };
        while let Some(first) = receiver.recv().await {
            tokio::time::sleep(BATCH_DELAY).await;
            let mut batch = vec![first];
            let mut body_bytes = batch[0].body_bytes();
            while batch.len() < MAX_BATCH_RECORDS && body_bytes < BATCH_BYTES_THRESHOLD {
                let Ok(next) = receiver.try_recv() else { break };
                body_bytes += next.body_bytes();
                batch.push(next);
            }
            self.append_batch(controller, batch).await;
        }
    }

    /// Appends a batch and retries it with the same records after a failure, without those
    /// whose deadline has passed or whose caller no longer waits.
    async fn append_batch(&self, controller: &Controller, mut batch: Vec<PendingRecord>) {
        loop {
            batch = drop_expired(batch);
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
                        let _ = pending.result_sender.send(Ok(()));
                    }
                    return;
                }
                Err(error) => {
                    tracing::warn!(stream = self.stream.name(), %error, "appending records failed");
                    self.record_failure();
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

impl PendingRecord {
    fn body_bytes(&self) -> usize {
        match &self.envelope.body {
            Body::Claim(ClaimChange::Finish { reply, .. })
            | Body::Deferred(DeferredChange::Finish { reply, .. }) => reply.body.len(),
            Body::Deferred(DeferredChange::Accept { request }) => request.body.len(),
            _ => 0,
        }
    }
}

/// Removes records whose caller no longer waits, and fails those whose deadline has passed.
fn drop_expired(batch: Vec<PendingRecord>) -> Vec<PendingRecord> {
    let now = Instant::now();
    let mut live = Vec::with_capacity(batch.len());
    for pending in batch {
        if pending.result_sender.is_closed() {
            continue;
        }
        if pending.deadline > now {
            live.push(pending);
            continue;
        }
        let error = if pending.is_sent {
            AppendError::MaybeSent
        } else {
            AppendError::NotSent
        };
        let _ = pending.result_sender.send(Err(error));
    }
    live
}

impl From<AppendError> for Error {
    fn from(error: AppendError) -> Self {
        Self::new(ErrorKind::LogUnavailable, error.to_string())
    }
}
