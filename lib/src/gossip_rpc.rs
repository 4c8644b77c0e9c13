//! Replicates live facts between controllers by gossip.
//!
//! Each round pushes changes to a few random peers; the number of transmissions of a change
//! grows with the logarithm of the member count. Urgent changes are pushed immediately. A slower
//! anti-entropy exchange of digests brings a node that was cut off up to date again.
//!
//! Source: Demers et al., "Epidemic algorithms for replicated database maintenance", 1987.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use jsonrpsee::Methods;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::proc_macros::rpc;
use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::MissedTickBehavior;

use crate::Controller;
use crate::ControllerPlugin;
use crate::Fact;
use crate::HybridTime;
use crate::MemberFact;
use crate::MemberState;
use crate::MoveName;
use crate::Result;
use crate::RpcError;
use crate::Stage;
use crate::live_store::EVIDENCE_PUBLISH_INTERVAL;

/// Number of peers to which a regular round pushes changes.
const PUSH_FAN_OUT: usize = 2;

/// Number of peers to which a round with urgent changes pushes them.
const URGENT_FAN_OUT: usize = 5;

/// Maximum number of facts in one message.
const MAX_FACTS_PER_MESSAGE: usize = 500;

/// Interval between exchanges of digests with peers.
const SYNC_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between attempts to join while no live peer is known.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout for a peer's reply to a message.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which obsolete facts are dropped.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Facts pushed from one node to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GossipMessage {
    /// Hybrid logical time of the sender.
    #[serde(rename = "t")]
    pub time: HybridTime,
    /// Facts to merge.
    #[serde(rename = "f")]
    pub facts: Vec<Fact>,
}

/// Reply to pushed facts.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct PushReply {
    /// Hybrid logical time of the replying node.
    #[serde(rename = "t")]
    pub time: HybridTime,
    /// Whether any of the facts changed the replying node's store.
    #[serde(rename = "n")]
    pub is_changed: bool,
}

/// Digests of the facts known to one node.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SyncRequest {
    /// Hybrid logical time of the sender.
    #[serde(rename = "t")]
    pub time: HybridTime,
    /// The sender's fact about itself.
    #[serde(rename = "m")]
    pub member: MemberFact,
    /// One digest per bucket of facts.
    #[serde(rename = "d")]
    pub digests: Vec<u64>,
}

/// Reply to digests.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SyncReply {
    /// Hybrid logical time of the replying node.
    #[serde(rename = "t")]
    pub time: HybridTime,
    /// Digests of the replying node, one per bucket.
    #[serde(rename = "d")]
    pub digests: Vec<u64>,
    /// Facts of the replying node in the buckets that differ.
    #[serde(rename = "f")]
    pub facts: Vec<Fact>,
}

/// RPC methods with which controllers exchange live facts.
#[rpc(client, server, namespace = "gossip")]
pub trait GossipRpc {
    /// Pushes changed facts to the receiver.
    #[method(name = "push")]
    async fn push(&self, message: GossipMessage) -> RpcResult<PushReply>;

    /// Compares digests and returns the receiver's facts in the buckets that differ.
    #[method(name = "sync")]
    async fn sync(&self, request: SyncRequest) -> RpcResult<SyncReply>;
}

inventory::submit! {
    ControllerPlugin {
        name: "gossip",
        stage: Stage::State,
        start,
        methods: Some(|controller| Methods::from(GossipService(Arc::clone(controller)).into_rpc())),
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "signature required by ControllerPlugin"
)]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let kernel = &controller.kernel;
    let pusher = Arc::clone(controller);
    kernel.spawn(async move { run_push_rounds(&pusher).await });
    let syncer = Arc::clone(controller);
    kernel.spawn(async move { run_sync_rounds(&syncer).await });
    let cleaner = Arc::clone(controller);
    kernel.spawn(async move { run_prune_loop(&cleaner).await });
    let publisher = Arc::clone(controller);
    kernel.spawn(async move {
        loop {
            tokio::time::sleep(EVIDENCE_PUBLISH_INTERVAL).await;
            publisher.live.publish_if_stale();
        }
    });
    Ok(())
}

struct GossipService(Arc<Controller>);

#[async_trait]
impl GossipRpcServer for GossipService {
    async fn push(&self, message: GossipMessage) -> RpcResult<PushReply> {
        let controller = &self.0;
        controller.kernel.events.observe(message.time);
        controller.contact.record_peer_contact();
        let is_changed = controller.live.merge(message.facts);
        Ok(PushReply {
            time: controller.kernel.events.time(),
            is_changed,
        })
    }

    async fn sync(&self, request: SyncRequest) -> RpcResult<SyncReply> {
        let controller = &self.0;
        controller.kernel.events.observe(request.time);
        controller.contact.record_peer_contact();
        controller.live.merge(vec![Fact::Member(request.member)]);
        Ok(SyncReply {
            time: controller.kernel.events.time(),
            digests: controller.live.digests(),
            facts: controller.live.differing_facts(&request.digests),
        })
    }
}

/// Returns all members that are not dead, except this node.
pub(crate) fn live_peers(controller: &Controller) -> Vec<MemberFact> {
    let mut members = controller.live.members();
    members.retain(|m| m.node != controller.kernel.node && m.state != MemberState::Dead);
    members
}

async fn run_push_rounds(controller: &Arc<Controller>) {
    let mut rounds = tokio::time::interval(controller.settings.control.gossip);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let fan_out = tokio::select! {
            _ = rounds.tick() => PUSH_FAN_OUT,
            () = controller.live.wait_for_urgent() => URGENT_FAN_OUT,
        };
        push_round(controller, fan_out);
    }
}

/// Sends queued changes to random peers, concurrently so that an unresponsive peer delays no other.
fn push_round(controller: &Arc<Controller>, fan_out: usize) {
    let peers = live_peers(controller);
    let mut rng = rand::rng();
    for peer in peers.choose_multiple(&mut rng, fan_out) {
        let facts = controller.live.take_pending(MAX_FACTS_PER_MESSAGE);
        if facts.is_empty() {
            return;
        }
        let peer = peer.controller;
        let task = Arc::clone(controller);
        controller.kernel.spawn(async move {
            if let Err(error) = push_to(&task, peer, &facts).await {
                tracing::debug!(%error, %peer, "failed to push facts to peer");
                task.live.requeue(&facts);
            }
        });
    }
}

/// Sends facts to a peer, retrying on a new connection if the first attempt gets no reply.
async fn push_to(
    controller: &Controller,
    peer: SocketAddr,
    facts: &[Fact],
) -> Result<(), RpcError> {
    let push = async |client: HttpClient| {
        let message = GossipMessage {
            time: controller.kernel.events.time(),
            facts: facts.to_vec(),
        };
        client.push(message).await
    };
    let reply = controller
        .rpc
        .call_with_retry(peer, PEER_TIMEOUT, push)
        .await?;
    controller.kernel.events.observe(reply.time);
    if !reply.is_changed {
        controller.live.reduce_transmissions(facts);
    }
    controller.contact.record_peer_contact();
    Ok(())
}

async fn run_sync_rounds(controller: &Arc<Controller>) {
    loop {
        for peer in sync_peers(controller) {
            let task = Arc::clone(controller);
            controller.kernel.spawn(async move {
                if let Err(error) = sync_with(&task, peer).await {
                    tracing::debug!(%error, %peer, "failed to synchronize facts with peer");
                }
            });
        }
        let joined = !live_peers(controller).is_empty();
        let wait = if joined {
            SYNC_INTERVAL
        } else {
            JOIN_RETRY_INTERVAL
        };
        tokio::time::sleep(wait).await;
    }
}

/// Returns a random live peer, and a random seed or dead member that is not known to be live:
/// after a network partition heals, contacting the latter joins the two sides again.
fn sync_peers(controller: &Controller) -> Vec<SocketAddr> {
    let mut rng = rand::rng();
    let own = controller.advertised_addr();
    let members = controller.live.members();
    let is_live = |address: SocketAddr| {
        let mut live = members.iter().filter(|m| m.state != MemberState::Dead);
        live.any(|m| m.controller == address)
    };
    let seeds = controller.settings.peers.iter().copied();
    let others = members.iter().map(|m| m.controller).chain(seeds);
    let not_live = others.filter(|peer| *peer != own && !is_live(*peer));
    let live = live_peers(controller).into_iter().map(|m| m.controller);
    let chosen = [live.choose(&mut rng), not_live.choose(&mut rng)];
    chosen.into_iter().flatten().collect()
}

/// Compares digests with a peer and exchanges the facts that differ.
async fn sync_with(controller: &Controller, peer: SocketAddr) -> Result<(), RpcError> {
    let sync = async |client: HttpClient| {
        let request = SyncRequest {
            time: controller.kernel.events.time(),
            member: controller.live.own(),
            digests: controller.live.digests(),
        };
        client.sync(request).await
    };
    let reply = controller
        .rpc
        .call_with_retry(peer, PEER_TIMEOUT, sync)
        .await?;
    controller.kernel.events.observe(reply.time);
    controller.contact.record_peer_contact();
    let missing = controller.live.differing_facts(&reply.digests);
    controller.live.merge(reply.facts);
    for facts in missing.chunks(MAX_FACTS_PER_MESSAGE) {
        push_to(controller, peer, facts).await?;
    }
    Ok(())
}

async fn run_prune_loop(controller: &Controller) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        controller.live.prune(running_moves(controller));
    }
}

fn running_moves(controller: &Controller) -> Option<IndexSet<MoveName>> {
    let config = controller.config()?;
    let running = config.moves.iter().filter(|(_, state)| state.end.is_none());
    Some(running.map(|(name, _)| name.clone()).collect())
}

/// Announces to some peers that this node is leaving, at the start of a graceful shutdown.
pub(crate) async fn announce_leave(controller: &Controller) {
    let facts = [controller.live.mark_self_dead()];
    let peers = live_peers(controller);
    let chosen: Vec<SocketAddr> = peers
        .choose_multiple(&mut rand::rng(), URGENT_FAN_OUT)
        .map(|peer| peer.controller)
        .collect();
    let sends = chosen
        .into_iter()
        .map(|peer| push_to(controller, peer, &facts));
    for sent in futures_util::future::join_all(sends).await {
        if let Err(error) = sent {
            tracing::debug!(%error, "failed to announce shutdown to peer");
        }
    }
}
