//! Failure detection among controllers.
//!
//! Each node probes the others in random order. A node becomes suspect if it replies neither to a
//! direct probe, nor to a second one on a new connection, nor to an indirect probe through other
//! nodes. If it does not refute the suspicion in time, it is declared dead.
//!
//! Source: Das, Gupta and Motivala, "SWIM", 2002.

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

/// Number of members asked to probe an unresponsive one.
const INDIRECT_PROBES: usize = 3;

/// Interval at which suspected members are checked.
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Probe with the sender's fact about the probed member.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Probe {
    /// Sender's hybrid time.
    #[serde(rename = "t")]
    pub time: HybridTime,
    /// Fact about the probed member, which can thus refute a suspicion.
    #[serde(rename = "m")]
    pub member: MemberFact,
}

/// Reply to a probe.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProbeReply {
    /// Sender's hybrid time.
    #[serde(rename = "t")]
    pub time: HybridTime,
    /// The probed member's fact about itself.
    #[serde(rename = "m")]
    pub member: MemberFact,
}

/// RPCs of failure detection between controllers.
#[rpc(client, server, namespace = "probe")]
pub trait ProbeRpc {
    /// Returns the member's fact about itself.
    #[method(name = "direct")]
    async fn direct(&self, probe: Probe) -> RpcResult<ProbeReply>;

    /// Probes another member on behalf of the caller; `None` when it does not reply.
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

#[expect(
    clippy::unnecessary_wraps,
    reason = "signature required by ControllerPlugin"
)]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let prober = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { probe_members(&prober).await });
    let watcher = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { expire_suspects(&watcher).await });
    Ok(())
}

struct ProbeService(Arc<Controller>);

#[async_trait]
impl ProbeRpcServer for ProbeService {
    async fn direct(&self, probe: Probe) -> RpcResult<ProbeReply> {
        let controller = &self.0;
        controller.kernel.events.observe(probe.time);
        controller.contact.record_peer_contact();
        // Merging a suspicion of this node makes it increment its incarnation.
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

/// Probes one member in each round, without waiting for the reply before the next round.
async fn probe_members(controller: &Arc<Controller>) {
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
                mark_suspect(&task, &target);
            }
        });
    }
}

/// Returns the next member in a random order, which is reshuffled once it is exhausted.
fn next_target(controller: &Controller, order: &mut Vec<NodeName>) -> Option<MemberFact> {
    if order.is_empty() {
        *order = live_peers(controller).into_iter().map(|m| m.node).collect();
        order.shuffle(&mut rand::rng());
    }
    let node = order.pop()?;
    let member = controller.live.member(&node)?;
    (member.state != MemberState::Dead).then_some(member)
}

/// Probes a member directly, then indirectly; `None` when it replies neither way.
async fn probe(controller: &Controller, target: &MemberFact) -> Option<MemberFact> {
    if let Some(reply) = probe_directly(controller, target).await {
        return Some(reply);
    }
    let mut helpers = live_peers(controller);
    helpers.retain(|m| m.node != target.node);
    let chosen: Vec<SocketAddr> = helpers
        .choose_multiple(&mut rand::rng(), INDIRECT_PROBES)
        .map(|m| m.controller)
        .collect();
    if chosen.is_empty() {
        return None;
    }
    let requests = chosen
        .into_iter()
        .map(|helper| Box::pin(probe_indirectly(controller, helper, target)));
    let first = futures_util::future::select_ok(requests.collect::<Vec<_>>());
    let (reply, _) = first.await.ok()?;
    controller.live.merge(vec![Fact::Member(reply.clone())]);
    Some(reply)
}

/// Probes a member, on a new connection when there is no reply on the first one.
async fn probe_directly(controller: &Controller, target: &MemberFact) -> Option<MemberFact> {
    // Half the probe interval for each of the two attempts.
    let timeout = controller.settings.control.probe / 2;
    let send = async |client: HttpClient| {
        let probe = Probe {
            time: controller.kernel.events.time(),
            member: target.clone(),
        };
        client.direct(probe).await
    };
    let reply = controller
        .rpc
        .call_with_retry(target.controller, timeout, send);
    let reply = reply.await.ok()?;
    controller.kernel.events.observe(reply.time);
    controller.contact.record_peer_contact();
    // Another node may reply at an address that has been reused.
    let is_target = reply.member.node == target.node;
    controller
        .live
        .merge(vec![Fact::Member(reply.member.clone())]);
    is_target.then_some(reply.member)
}

/// Probes a member indirectly, through the controller at `helper`.
async fn probe_indirectly(
    controller: &Controller,
    helper: SocketAddr,
    target: &MemberFact,
) -> Result<MemberFact, ()> {
    // The helper itself needs up to one probe interval for its two attempts.
    let timeout = controller.settings.control.probe * 2;
    let send = async |client: HttpClient| client.indirect(target.clone()).await;
    let reply = controller.rpc.call(helper, timeout, send).await;
    reply.ok().flatten().ok_or(())
}

/// Declares a member suspect.
fn mark_suspect(controller: &Controller, target: &MemberFact) {
    declare_state(controller, target, MemberState::Suspect);
}

/// Declares a state of a member at its last known incarnation.
fn declare_state(controller: &Controller, target: &MemberFact, state: MemberState) {
    let fact = MemberFact {
        state,
        since: controller.kernel.clock.now(),
        ..target.clone()
    };
    controller.live.merge(vec![Fact::Member(fact)]);
}

/// Declares members dead that have not refuted a suspicion within the suspicion timeout.
async fn expire_suspects(controller: &Controller) {
    let timeout = controller.settings.control.suspicion;
    let mut suspicions: IndexMap<NodeName, (u64, Instant)> = IndexMap::new();
    loop {
        tokio::time::sleep(SUSPECT_CHECK_INTERVAL).await;
        let mut suspects = live_peers(controller);
        suspects.retain(|m| m.state == MemberState::Suspect);
        suspicions.retain(|node, (incarnation, _)| {
            let mut known = suspects.iter();
            known.any(|m| m.node == *node && m.incarnation == *incarnation)
        });
        for member in &suspects {
            let suspicion = (member.incarnation, Instant::now());
            let (_, suspected_at) = *suspicions.entry(member.node.clone()).or_insert(suspicion);
            if suspected_at.elapsed() >= timeout {
                declare_state(controller, member, MemberState::Dead);
            }
        }
    }
}
