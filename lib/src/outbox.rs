//! Records that a gate still has to get into the log.
//!
//! A gate whose machine ends gives copies to another gate while the log does not answer.

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

/// Records sent at once.
const SENT_AT_ONCE: usize = 32;

/// Pause after a round in which a record could not be appended.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Bodies of answers that wait for the log, in bytes.
const BODY_BYTES_KEPT: usize = 32 * 1024 * 1024;

inventory::submit! {
    GatePlugin {
        name: "outbox",
        stage: Stage::Duty,
        start,
        methods: None,
    }
}

/// Records that wait for the log, oldest first.
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
    /// Adds a record; the body of an answer is left out when too many bytes wait.
    pub(crate) fn push(&self, mut record: Envelope) {
        let mut records = self.records.lock();
        let waiting: usize = records.values().map(body_bytes).sum();
        if waiting + body_bytes(&record) > BODY_BYTES_KEPT {
            omit_body(&mut record);
        }
        records.insert(record.id, record);
        self.len.send_replace(records.len());
    }

    /// Returns the records that wait.
    pub(crate) fn waiting(&self) -> Vec<Envelope> {
        self.records.lock().values().cloned().collect()
    }

    /// Waits until no record waits.
    pub(crate) async fn emptied(&self) {
        let mut len = self.len.subscribe();
        let _ = len.wait_for(|n| *n == 0).await;
    }

    async fn filled(&self) {
        let mut len = self.len.subscribe();
        let _ = len.wait_for(|n| *n > 0).await;
    }

    fn oldest(&self) -> Vec<Envelope> {
        let records = self.records.lock();
        records.values().take(SENT_AT_ONCE).cloned().collect()
    }

    fn remove(&self, id: RecordId) {
        let mut records = self.records.lock();
        records.shift_remove(&id);
        self.len.send_replace(records.len());
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(gate: &Arc<Gate>) -> Result<()> {
    let sender = Arc::clone(gate);
    gate.kernel
        .spawn(async move { send_forever(&sender).await });
    Ok(())
}

async fn send_forever(gate: &Gate) {
    let outbox = &gate.once.outbox;
    loop {
        outbox.filled().await;
        let sent = stream::iter(outbox.oldest())
            .map(|record| send(gate, record))
            .buffer_unordered(SENT_AT_ONCE)
            .all(|is_sent| async move { is_sent })
            .await;
        if !sent {
            if gate.notice.borrow().is_some() {
                claim_holder::hand_over(gate, outbox.waiting()).await;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn send(gate: &Gate, record: Envelope) -> bool {
    let is_sent = match &record.body {
        Body::Claim(change) => {
            let (key, _) = change.subject();
            claim_client::put(gate, &key.to_string(), &record).await
        }
        Body::Deferred(_) => deferred::put(gate, &record).await,
        Body::Checkpoint(_) | Body::Config(_) | Body::Lease(_) => true,
    };
    if is_sent {
        gate.once.outbox.remove(record.id);
        if let Body::Claim(change) = &record.body {
            gate.once.holders.forget(change.subject().1);
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
