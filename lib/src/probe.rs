//! Failure detection among controllers.
//!
//! Each node probes the others in random order. One that answers neither directly, nor on a
//! new connection, nor through others, is suspected, and dead unless it refutes that in
//! time. Source: Das, Gupta and Motivala, "SWIM", 2002.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use jsonrpsee::Methods;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::proc_macros::rpc;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::Controller;
use crate::ControllerPlugin;
use crate::Fact;
use crate::HybridTime;
use crate::MemberFact;
use crate::MemberState;
use crate::NodeName;
use crate::Result;
use crate::Stage;
use crate::gossip_rpc::live_peers;

/// Members asked to probe a silent one.
const HELPERS: usize = 3;

/// Time between two looks at the suspected members.
const SUSPECT_INTERVAL: Duration = Duration::from_millis(100);

/// A probe, with what the prober holds of the probed member.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Probe {
    /// Sender's hybrid time.
    #[serde(rename = "t")]
    pub time: HybridTime,
    /// The probed member, so that it can refute a suspicion.
    #[serde(rename = "m")]
    pub member: MemberFact,
}

/// Answer to a probe.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProbeReply {
    /// Sender's hybrid time.
    #[serde(rename = "t")]
    pub time: HybridTime,
    /// What the probed member says of itself.
    #[serde(rename = "m")]
    pub member: MemberFact,
}

/// Calls between controllers about each other's health.
#[rpc(client, server, namespace = "probe")]
pub trait ProbeRpc {
    /// Answers with what the member says of itself.
    #[method(name = "direct")]
    async fn direct(&self, probe: Probe) -> RpcResult<ProbeReply>;

    /// Probes another member for the caller; `None` when that one does not answer.
    #[method(name = "indirect")]
    async fn indirect(&self, target: MemberFact) -> RpcResult<Option<MemberFact>>;
}

inventory::submit! {
    ControllerPlugin {
        name: "probe",
        stage: Stage::State,
        start,
        methods: Some(|controller| Methods::from(ProbeService(Arc::clone(controller)).into_rpc())),
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let prober = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { probe_rounds(&prober).await });
    let watcher = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { watch_suspects(&watcher).await });
    Ok(())
}

struct ProbeService(Arc<Controller>);

#[async_trait]
impl ProbeRpcServer for ProbeService {
    async fn direct(&self, probe: Probe) -> RpcResult<ProbeReply> {
        let controller = &self.0;
        controller.kernel.events.observe(probe.time);
        controller.contact.peer_heard();
        // Merging a suspicion of this node makes it raise its incarnation.
        controller.live.merge(vec![Fact::Member(probe.member)]);
        Ok(ProbeReply {
            time: controller.kernel.events.time(),
            member: controller.live.own(),
        })
    }

    async fn indirect(&self, target: MemberFact) -> RpcResult<Option<MemberFact>> {
        Ok(probe_directly(&self.0, &target).await)
    }
}

/// Probes one member in each round; a round waits for no answer.
async fn probe_rounds(controller: &Arc<Controller>) {
    let mut rounds = tokio::time::interval(controller.settings.control.probe);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut order: Vec<NodeName> = Vec::new();
    loop {
        rounds.tick().await;
        let Some(target) = next_target(controller, &mut order) else {
            continue;
        };
        let task = Arc::clone(controller);
        controller.kernel.spawn(async move {
            if probe(&task, &target).await.is_none() {
                suspect(&task, &target);
            }
        });
    }
}

/// Takes the next member of a random order, and draws a new order at its end.
fn next_target(controller: &Controller, order: &mut Vec<NodeName>) -> Option<MemberFact> {
    if order.is_empty() {
        *order = live_peers(controller).into_iter().map(|m| m.node).collect();
        order.shuffle(&mut rand::rng());
    }
    let node = order.pop()?;
    let member = controller.live.member(&node)?;
    (member.state != MemberState::Dead).then_some(member)
}

/// Probes a member directly, then through others; `None` when no answer came either way.
async fn probe(controller: &Controller, target: &MemberFact) -> Option<MemberFact> {
    if let Some(answer) = probe_directly(controller, target).await {
        return Some(answer);
    }
    let mut helpers = live_peers(controller);
    helpers.retain(|m| m.node != target.node);
    let chosen: Vec<SocketAddr> = helpers
        .choose_multiple(&mut rand::rng(), HELPERS)
        .map(|m| m.controller)
        .collect();
    if chosen.is_empty() {
        return None;
    }
    let asked = chosen
        .into_iter()
        .map(|helper| Box::pin(probe_through(controller, helper, target)));
    let first = futures_util::future::select_ok(asked.collect::<Vec<_>>());
    let (answer, _) = first.await.ok()?;
    controller.live.merge(vec![Fact::Member(answer.clone())]);
    Some(answer)
}

/// Probes a member, on a new connection when the first one stays silent.
async fn probe_directly(controller: &Controller, target: &MemberFact) -> Option<MemberFact> {
    let limit = controller.settings.control.probe / 2;
    let ask = async |client: HttpClient| {
        let probe = Probe {
            time: controller.kernel.events.time(),
            member: target.clone(),
        };
        client.direct(probe).await
    };
    let answer = controller.rpc.call_twice(target.controller, limit, ask);
    let reply = answer.await.ok()?;
    controller.kernel.events.observe(reply.time);
    controller.contact.peer_heard();
    // Another node may have taken over the address.
    let is_target = reply.member.node == target.node;
    controller
        .live
        .merge(vec![Fact::Member(reply.member.clone())]);
    is_target.then_some(reply.member)
}

async fn probe_through(
    controller: &Controller,
    helper: SocketAddr,
    target: &MemberFact,
) -> Result<MemberFact, ()> {
    let limit = controller.settings.control.probe * 2;
    let ask = async |client: HttpClient| client.indirect(target.clone()).await;
    let answer = controller.rpc.call(helper, limit, ask).await;
    answer.ok().flatten().ok_or(())
}

fn suspect(controller: &Controller, target: &MemberFact) {
    declare(controller, target, MemberState::Suspect);
}

/// Declares a state of a member at the incarnation at which it was seen.
fn declare(controller: &Controller, target: &MemberFact, state: MemberState) {
    let fact = MemberFact {
        state,
        since: controller.kernel.clock.now(),
        ..target.clone()
    };
    controller.live.merge(vec![Fact::Member(fact)]);
}

/// Declares those members dead that have not refuted a suspicion in time.
async fn watch_suspects(controller: &Controller) {
    let limit = controller.settings.control.suspicion;
    let mut since: IndexMap<NodeName, (u64, Instant)> = IndexMap::new();
    loop {
        tokio::time::sleep(SUSPECT_INTERVAL).await;
        let mut suspects = live_peers(controller);
        suspects.retain(|m| m.state == MemberState::Suspect);
        since.retain(|node, (incarnation, _)| {
            let mut known = suspects.iter();
            known.any(|m| m.node == *node && m.incarnation == *incarnation)
        });
        for member in &suspects {
            let started = (member.incarnation, Instant::now());
            let (_, at) = *since.entry(member.node.clone()).or_insert(started);
            if at.elapsed() >= limit {
                declare(controller, member, MemberState::Dead);
            }
        }
    }
}
