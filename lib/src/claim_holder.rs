//! Tracking of the attempts that hold claims, at this gate and at others.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use jsonrpsee::Methods;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::proc_macros::rpc;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::AttemptId;
use crate::Envelope;
use crate::Gate;
use crate::GatePlugin;
use crate::MemberState;
use crate::NodeName;
use crate::Result;
use crate::Stage;
use crate::StoredResponse;

/// Time without membership after which a gate is considered terminated.
const ABSENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Retention of a response after it has reached the log.
const RESPONSE_RETENTION: Duration = Duration::from_secs(30);

/// Interval between two reads of the membership.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout for a call to another gate.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Progress of an attempt, as known to the gate that runs it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "progress")]
pub enum AttemptProgress {
    /// The attempt is in progress.
    Running,
    /// The call has completed with a response.
    Done {
        /// Response to the call.
        reply: StoredResponse,
    },
}

/// Status of the attempt that holds a claim.
#[derive(Clone, Debug)]
pub(crate) enum HolderStatus {
    /// The attempt's gate reported its progress.
    Known(AttemptProgress),
    /// The attempt's gate has terminated, or does not know the attempt.
    Gone,
    /// The attempt's gate did not respond, but may still be running.
    Unreachable,
}

/// Attempts of this gate that hold claims or may hold them, and the time at which each gate was
/// last seen in the membership.
#[derive(Debug, Default)]
pub(crate) struct AttemptTracker {
    local: Mutex<IndexMap<AttemptId, LocalAttempt>>,
    presence: Mutex<GatePresence>,
}

#[derive(Debug)]
struct LocalAttempt {
    progress: AttemptProgress,
    /// Time at which the response reached the log.
    logged_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct GatePresence {
    first_poll: Option<Instant>,
    last_seen: IndexMap<NodeName, Instant>,
}

/// Calls about claims from one gate to another.
#[rpc(client, server, namespace = "holder")]
pub trait HolderRpc {
    /// Returns the progress of an attempt, or `None` if the gate does not know it.
    #[method(name = "progress")]
    async fn progress(&self, attempt: AttemptId) -> RpcResult<Option<AttemptProgress>>;

    /// Queues records that a leaving gate could not write to the log.
    #[method(name = "adopt")]
    async fn enqueue_records(&self, records: Vec<Envelope>) -> RpcResult<()>;
}

inventory::submit! {
    GatePlugin {
        name: "claim-holder",
        stage: Stage::State,
        start,
        methods: Some(|gate| Methods::from(HolderService(Arc::clone(gate)).into_rpc())),
    }
}

struct HolderService(Arc<Gate>);

#[async_trait]
impl HolderRpcServer for HolderService {
    async fn progress(&self, attempt: AttemptId) -> RpcResult<Option<AttemptProgress>> {
        Ok(self.0.at_most_once.attempts.get(attempt))
    }

    async fn enqueue_records(&self, records: Vec<Envelope>) -> RpcResult<()> {
        for record in records {
            self.0.at_most_once.outbox.push(record);
        }
        Ok(())
    }
}

#[expect(clippy::unnecessary_wraps, reason = "signature required by GatePlugin")]
fn start(gate: &Arc<Gate>) -> Result<()> {
    let owned = Arc::clone(gate);
    gate.kernel.spawn(async move {
        loop {
            owned.at_most_once.attempts.refresh(&owned);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    Ok(())
}

impl AttemptTracker {
    /// Registers an attempt of this gate as running.
    pub(crate) fn register(&self, attempt: AttemptId) {
        self.insert(attempt, AttemptProgress::Running);
    }

    /// Stores the response to an attempt of this gate.
    pub(crate) fn finish(&self, attempt: AttemptId, response: StoredResponse) {
        self.insert(attempt, AttemptProgress::Done { reply: response });
    }

    /// Removes an attempt that needs no further record.
    ///
    /// A response is retained for [`RESPONSE_RETENTION`], since controllers may not have read it
    /// from the log yet.
    pub(crate) fn forget(&self, attempt: AttemptId) {
        let mut local = self.local.lock();
        match local.get_mut(&attempt) {
            Some(known) if known.progress != AttemptProgress::Running => {
                known.logged_at = Some(Instant::now());
            }
            _ => {
                local.swap_remove(&attempt);
            }
        }
    }

    fn insert(&self, attempt: AttemptId, progress: AttemptProgress) {
        let logged_at = None;
        self.local.lock().insert(
            attempt,
            LocalAttempt {
                progress,
                logged_at,
            },
        );
    }

    fn get(&self, attempt: AttemptId) -> Option<AttemptProgress> {
        self.local.lock().get(&attempt).map(|a| a.progress.clone())
    }

    fn refresh(&self, gate: &Gate) {
        let is_retained = |a: &LocalAttempt| {
            a.logged_at
                .is_none_or(|at| at.elapsed() < RESPONSE_RETENTION)
        };
        self.local.lock().retain(|_, a| is_retained(a));
        let Some(table) = gate.table() else {
            return;
        };
        let now = Instant::now();
        let mut presence = self.presence.lock();
        presence.first_poll.get_or_insert(now);
        for member in table.live.members.values() {
            if member.state != MemberState::Dead && member.gate.is_some() {
                presence.last_seen.insert(member.node.clone(), now);
            }
        }
        // Gates absent for much longer than the timeout are dropped. `is_gone` then counts from the
        // first poll, with the same result.
        presence
            .last_seen
            .retain(|_, at| now.duration_since(*at) < 10 * ABSENCE_TIMEOUT);
    }

    /// Returns whether a gate has been absent from the membership for [`ABSENCE_TIMEOUT`].
    ///
    /// For a gate that was never seen, the time counts from the first read of the membership.
    fn is_gone(&self, gate: &NodeName) -> bool {
        let presence = self.presence.lock();
        let last = presence
            .last_seen
            .get(gate)
            .copied()
            .or(presence.first_poll);
        last.is_some_and(|at| at.elapsed() >= ABSENCE_TIMEOUT)
    }
}

/// Determines the status of the attempt that holds a claim.
pub(crate) async fn holder_status(
    gate: &Gate,
    node: &NodeName,
    attempt: AttemptId,
) -> HolderStatus {
    if *node == gate.kernel.node {
        let local = gate.at_most_once.attempts.get(attempt);
        return local.map_or(HolderStatus::Gone, HolderStatus::Known);
    }
    if gate.at_most_once.attempts.is_gone(node) {
        return HolderStatus::Gone;
    }
    let table = gate.table();
    let member = table.as_ref().and_then(|t| t.live.members.get(node));
    let address = member.and_then(|m| m.gate.as_ref()).map(|g| g.rpc);
    let Some(address) = address else {
        return HolderStatus::Unreachable;
    };
    let call = |client: HttpClient| async move { client.progress(attempt).await };
    match gate.rpc.call_with_retry(address, PEER_TIMEOUT, call).await {
        Ok(Some(progress)) => HolderStatus::Known(progress),
        Ok(None) => HolderStatus::Gone,
        Err(_) => HolderStatus::Unreachable,
    }
}

/// Hands records that are not yet in the log to another gate; returns whether one accepted them.
pub(crate) async fn hand_over_records(gate: &Gate, records: Vec<Envelope>) -> bool {
    let Some(table) = gate.table() else {
        return false;
    };
    let others = table
        .live
        .members
        .values()
        .filter(|m| m.node != gate.kernel.node && m.state == MemberState::Alive);
    for peer in others.filter_map(|m| m.gate.as_ref()) {
        let records = records.clone();
        let call =
            |client: HttpClient| async move { client.enqueue_records(records.clone()).await };
        if gate.rpc.call(peer.rpc, PEER_TIMEOUT, call).await.is_ok() {
            return true;
        }
    }
    false
}
