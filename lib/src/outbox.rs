//! Queue of records that a gate has yet to write to the log.
//!
//! If the log does not respond while the gate is leaving, copies of the records are sent to another
//! gate.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::Body;
use crate::ClaimChange;
use crate::DeferredChange;
use crate::Envelope;
use crate::Gate;
use crate::GatePlugin;
use crate::RecordId;
use crate::Result;
use crate::Stage;
use crate::claim_client;
use crate::claim_holder;
use crate::deferred;

/// Maximum number of records sent concurrently.
const MAX_CONCURRENT_SENDS: usize = 32;

/// Delay after a batch in which a record could not be appended.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum total size in bytes of the response bodies in the queue.
const MAX_TOTAL_BODY_BYTES: usize = 32 * 1024 * 1024;

inventory::submit! {
    GatePlugin {
        name: "outbox",
        stage: Stage::Background,
        start,
        methods: None,
    }
}

/// Records to be written to the log, oldest first.
#[derive(Debug)]
pub(crate) struct Outbox {
    records: Mutex<IndexMap<RecordId, Envelope>>,
    len: watch::Sender<usize>,
}

impl Default for Outbox {
    fn default() -> Self {
        Self {
            records: Mutex::default(),
            len: watch::Sender::new(0),
        }
    }
}

impl Outbox {
    /// Adds a record; a response body that would exceed [`MAX_TOTAL_BODY_BYTES`] is omitted.
    pub(crate) fn push(&self, mut record: Envelope) {
        let mut records = self.records.lock();
        let pending: usize = records.values().map(body_bytes).sum();
        if pending + body_bytes(&record) > MAX_TOTAL_BODY_BYTES {
            omit_body(&mut record);
        }
        records.insert(record.id, record);
        self.len.send_replace(records.len());
    }

    /// Returns a copy of the queued records.
    pub(crate) fn pending(&self) -> Vec<Envelope> {
        self.records.lock().values().cloned().collect()
    }

    /// Waits until the queue is empty.
    pub(crate) async fn wait_until_empty(&self) {
        let mut len = self.len.subscribe();
        let _ = len.wait_for(|n| *n == 0).await;
    }

    async fn wait_until_not_empty(&self) {
        let mut len = self.len.subscribe();
        let _ = len.wait_for(|n| *n > 0).await;
    }

    fn next_batch(&self) -> Vec<Envelope> {
        let records = self.records.lock();
        records
            .values()
            .take(MAX_CONCURRENT_SENDS)
            .cloned()
            .collect()
    }

    fn remove(&self, id: RecordId) {
        let mut records = self.records.lock();
        records.shift_remove(&id);
        self.len.send_replace(records.len());
    }
}

#[expect(clippy::unnecessary_wraps, reason = "signature required by GatePlugin")]
fn start(gate: &Arc<Gate>) -> Result<()> {
    let sender = Arc::clone(gate);
    gate.kernel.spawn(async move { run_sender(&sender).await });
    Ok(())
}

async fn run_sender(gate: &Gate) {
    let outbox = &gate.at_most_once.outbox;
    loop {
        outbox.wait_until_not_empty().await;
        let sent = stream::iter(outbox.next_batch())
            .map(|record| send(gate, record))
            .buffer_unordered(MAX_CONCURRENT_SENDS)
            .all(|is_sent| async move { is_sent })
            .await;
        if !sent {
            if gate.leave_deadline.borrow().is_some() {
                claim_holder::hand_over_records(gate, outbox.pending()).await;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Sends a record, removes it from the queue if it was accepted, and returns whether it was.
async fn send(gate: &Gate, record: Envelope) -> bool {
    let is_sent = match &record.body {
        Body::Claim(change) => {
            let (key, _) = change.subject();
            claim_client::append(gate, &key.to_string(), &record).await
        }
        Body::Deferred(_) => deferred::append(gate, &record).await,
        // Gates do not queue records of these kinds.
        Body::Checkpoint(_) | Body::Config(_) | Body::Lease(_) => true,
    };
    if is_sent {
        gate.at_most_once.outbox.remove(record.id);
        if let Body::Claim(change) = &record.body {
            gate.at_most_once.attempts.forget(change.subject().1);
        }
    }
    is_sent
}

fn body_bytes(record: &Envelope) -> usize {
    match &record.body {
        Body::Claim(ClaimChange::Finish { reply, .. })
        | Body::Deferred(DeferredChange::Finish { reply, .. }) => reply.body.len(),
        _ => 0,
    }
}

fn omit_body(record: &mut Envelope) {
    if let Body::Claim(ClaimChange::Finish { reply, .. })
    | Body::Deferred(DeferredChange::Finish { reply, .. }) = &mut record.body
    {
        *reply = reply.without_body();
    }
}
