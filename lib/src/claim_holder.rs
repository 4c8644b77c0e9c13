//! Attempts that hold claims at this gate, and what is known of those at others.

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
use crate::StoredReply;

/// Time without a sign of a gate after which it counts as gone.
const GONE_AFTER: Duration = Duration::from_secs(3);

/// Time for which an answer is kept after it reached the log.
const ANSWER_KEPT: Duration = Duration::from_secs(30);

/// Time between two looks at which gates are there.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Time within which another gate must answer.
const ASK_LIMIT: Duration = Duration::from_millis(400);

/// What a gate knows of an attempt of its own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "progress")]
pub enum Progress {
    /// The attempt is in progress.
    Running,
    /// The call has been answered.
    Done {
        /// Answer.
        reply: StoredReply,
    },
}

/// What is known of the holder of a claim.
#[derive(Clone, Debug)]
pub(crate) enum Holder {
    /// Its gate knows the attempt.
    Present(Progress),
    /// Its gate has ended, or does not know the attempt.
    Gone,
    /// Its gate does not answer, but may be there.
    Unsure,
}

/// Attempts that hold claims, or may, at this gate; and when other gates were last there.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    own: Mutex<IndexMap<AttemptId, Own>>,
    seen: Mutex<Seen>,
}

#[derive(Debug)]
struct Own {
    progress: Progress,
    /// Time at which the answer reached the log.
    logged: Option<Instant>,
}

#[derive(Debug, Default)]
struct Seen {
    since: Option<Instant>,
    gates: IndexMap<NodeName, Instant>,
}

/// Calls of gates on a gate, about claims.
#[rpc(client, server, namespace = "holder")]
pub trait HolderRpc {
    /// Tells what the gate knows of an attempt of its own.
    #[method(name = "progress")]
    async fn progress(&self, attempt: AttemptId) -> RpcResult<Option<Progress>>;

    /// Takes over the records that a leaving gate could not get into the log.
    #[method(name = "adopt")]
    async fn adopt(&self, records: Vec<Envelope>) -> RpcResult<()>;
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
    async fn progress(&self, attempt: AttemptId) -> RpcResult<Option<Progress>> {
        Ok(self.0.once.holders.get(attempt))
    }

    async fn adopt(&self, records: Vec<Envelope>) -> RpcResult<()> {
        for record in records {
            self.0.once.outbox.push(record);
        }
        Ok(())
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(gate: &Arc<Gate>) -> Result<()> {
    let watcher = Arc::clone(gate);
    gate.kernel.spawn(async move {
        loop {
            watcher.once.holders.look(&watcher);
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    });
    Ok(())
}

impl Holders {
    /// Records an attempt of this gate.
    pub(crate) fn enter(&self, attempt: AttemptId) {
        self.put(attempt, Progress::Running);
    }

    /// Records the answer that an attempt of this gate got.
    pub(crate) fn finish(&self, attempt: AttemptId, reply: StoredReply) {
        self.put(attempt, Progress::Done { reply });
    }

    /// Forgets an attempt whose end is in the log; an answer a while later, since controllers
    /// may not have read it yet.
    pub(crate) fn forget(&self, attempt: AttemptId) {
        let mut own = self.own.lock();
        match own.get_mut(&attempt) {
            Some(known) if known.progress != Progress::Running => {
                known.logged = Some(Instant::now());
            }
            _ => {
                own.swap_remove(&attempt);
            }
        }
    }

    fn put(&self, attempt: AttemptId, progress: Progress) {
        let logged = None;
        self.own.lock().insert(attempt, Own { progress, logged });
    }

    fn get(&self, attempt: AttemptId) -> Option<Progress> {
        self.own.lock().get(&attempt).map(|o| o.progress.clone())
    }

    fn look(&self, gate: &Gate) {
        let is_kept = |o: &Own| o.logged.is_none_or(|at| at.elapsed() < ANSWER_KEPT);
        self.own.lock().retain(|_, o| is_kept(o));
        let Some(table) = gate.table() else {
            return;
        };
        let now = Instant::now();
        let mut seen = self.seen.lock();
        seen.since.get_or_insert(now);
        for member in table.live.members.values() {
            if member.state != MemberState::Dead && member.gate.is_some() {
                seen.gates.insert(member.node.clone(), now);
            }
        }
        seen.gates
            .retain(|_, at| now.duration_since(*at) < 10 * GONE_AFTER);
    }

    /// Tells whether a gate has been gone from the membership for long enough to count as ended.
    fn is_gone(&self, gate: &NodeName) -> bool {
        let seen = self.seen.lock();
        let last = seen.gates.get(gate).copied().or(seen.since);
        last.is_some_and(|at| at.elapsed() >= GONE_AFTER)
    }
}

/// Finds out what is known of the attempt that holds a claim.
pub(crate) async fn find_holder(gate: &Gate, node: &NodeName, attempt: AttemptId) -> Holder {
    if *node == gate.kernel.node {
        let own = gate.once.holders.get(attempt);
        return own.map_or(Holder::Gone, Holder::Present);
    }
    if gate.once.holders.is_gone(node) {
        return Holder::Gone;
    }
    let table = gate.table();
    let member = table.as_ref().and_then(|t| t.live.members.get(node));
    let address = member.and_then(|m| m.gate.as_ref()).map(|g| g.rpc);
    let Some(address) = address else {
        return Holder::Unsure;
    };
    let call = |client: HttpClient| async move { client.progress(attempt).await };
    match gate.rpc.call_twice(address, ASK_LIMIT, call).await {
        Ok(Some(progress)) => Holder::Present(progress),
        Ok(None) => Holder::Gone,
        Err(_) => Holder::Unsure,
    }
}

/// Hands records that are not in the log yet to another gate; tells whether one took them.
pub(crate) async fn hand_over(gate: &Gate, records: Vec<Envelope>) -> bool {
    let Some(table) = gate.table() else {
        return false;
    };
    let others = table
        .live
        .members
        .values()
        .filter(|m| m.node != gate.kernel.node && m.state == MemberState::Alive);
    for info in others.filter_map(|m| m.gate.as_ref()) {
        let records = records.clone();
        let call = |client: HttpClient| async move { client.adopt(records.clone()).await };
        if gate.rpc.call(info.rpc, ASK_LIMIT, call).await.is_ok() {
            return true;
        }
    }
    false
}
