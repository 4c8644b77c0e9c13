//! Gossip of live facts between controllers.
//!
//! Changes are pushed to a few random peers in each round, a number of times that grows with
//! the logarithm of the members; urgent ones at once. A slower exchange of digests lets a
//! node that was cut off catch up. Source: Demers et al., "Epidemic algorithms for replicated
//! database maintenance", 1987.

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
use crate::live_store::EVIDENCE_PACE;

/// Peers that get the changes of a round.
const FANOUT: usize = 2;

/// Peers that get urgent changes at once.
const URGENT_FANOUT: usize = 5;

/// Facts in one message at most.
const MAX_FACTS: usize = 500;

/// Time between two exchanges of digests.
const SYNC_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two attempts at joining while no peer is known.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// Time within which a peer must answer a message.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two clean-ups.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Facts that one node sends another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GossipMessage {
    /// Sender's hybrid time.
    #[serde(rename = "t")]
    pub time: HybridTime,
    /// Facts.
    #[serde(rename = "f")]
    pub facts: Vec<Fact>,
}

/// Answer to facts.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct PushReply {
    /// Sender's hybrid time.
    #[serde(rename = "t")]
    pub time: HybridTime,
    /// Whether any of the facts was news.
    #[serde(rename = "n")]
    pub is_news: bool,
}

/// Digests of what one node knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SyncRequest {
    /// Sender's hybrid time.
    #[serde(rename = "t")]
    pub time: HybridTime,
    /// What the sender says of itself.
    #[serde(rename = "m")]
    pub member: MemberFact,
    /// Digest of each bucket of facts.
    #[serde(rename = "d")]
    pub digests: Vec<u64>,
}

/// Answer to digests.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SyncReply {
    /// Sender's hybrid time.
    #[serde(rename = "t")]
    pub time: HybridTime,
    /// Digests of the answering node.
    #[serde(rename = "d")]
    pub digests: Vec<u64>,
    /// Its facts in the buckets that differ.
    #[serde(rename = "f")]
    pub facts: Vec<Fact>,
}

/// Calls between controllers about live facts.
#[rpc(client, server, namespace = "gossip")]
pub trait GossipRpc {
    /// Hands over changes.
    #[method(name = "push")]
    async fn push(&self, message: GossipMessage) -> RpcResult<PushReply>;

    /// Compares digests and returns the facts that differ.
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

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let kernel = &controller.kernel;
    let pusher = Arc::clone(controller);
    kernel.spawn(async move { push_rounds(&pusher).await });
    let syncer = Arc::clone(controller);
    kernel.spawn(async move { sync_rounds(&syncer).await });
    let cleaner = Arc::clone(controller);
    kernel.spawn(async move { clean_up(&cleaner).await });
    let refresher = Arc::clone(controller);
    kernel.spawn(async move {
        loop {
            tokio::time::sleep(EVIDENCE_PACE).await;
            refresher.live.refresh();
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
        controller.contact.peer_heard();
        let is_news = controller.live.merge(message.facts);
        Ok(PushReply {
            time: controller.kernel.events.time(),
            is_news,
        })
    }

    async fn sync(&self, request: SyncRequest) -> RpcResult<SyncReply> {
        let controller = &self.0;
        controller.kernel.events.observe(request.time);
        controller.contact.peer_heard();
        controller.live.merge(vec![Fact::Member(request.member)]);
        Ok(SyncReply {
            time: controller.kernel.events.time(),
            digests: controller.live.digests(),
            facts: controller.live.differing(&request.digests),
        })
    }
}

/// Returns the members that may answer, this node left out.
pub(crate) fn live_peers(controller: &Controller) -> Vec<MemberFact> {
    let mut members = controller.live.members();
    members.retain(|m| m.node != controller.kernel.node && m.state != MemberState::Dead);
    members
}

async fn push_rounds(controller: &Arc<Controller>) {
    let mut rounds = tokio::time::interval(controller.settings.control.gossip);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let fanout = tokio::select! {
            _ = rounds.tick() => FANOUT,
            () = controller.live.urgent() => URGENT_FANOUT,
        };
        push_round(controller, fanout);
    }
}

/// Sends pending changes to random peers; a silent peer delays nothing.
fn push_round(controller: &Arc<Controller>, fanout: usize) {
    let peers = live_peers(controller);
    let mut rng = rand::rng();
    for peer in peers.choose_multiple(&mut rng, fanout) {
        let facts = controller.live.take_pending(MAX_FACTS);
        if facts.is_empty() {
            return;
        }
        let peer = peer.controller;
        let task = Arc::clone(controller);
        controller.kernel.spawn(async move {
            if let Err(error) = push_to(&task, peer, &facts).await {
                tracing::debug!(%error, %peer, "pushing facts to a peer failed");
                task.live.requeue(&facts);
            }
        });
    }
}

/// Sends facts to a peer, on a new connection when the first one stays silent.
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
    let reply = controller.rpc.call_twice(peer, PEER_TIMEOUT, push).await?;
    controller.kernel.events.observe(reply.time);
    if !reply.is_news {
        controller.live.damp(facts);
    }
    controller.contact.peer_heard();
    Ok(())
}

async fn sync_rounds(controller: &Arc<Controller>) {
    loop {
        for peer in sync_peers(controller) {
            let task = Arc::clone(controller);
            controller.kernel.spawn(async move {
                if let Err(error) = sync_with(&task, peer).await {
                    tracing::debug!(%error, %peer, "comparing facts with a peer failed");
                }
            });
        }
        let joined = !live_peers(controller).is_empty();
        let wait = if joined { SYNC_INTERVAL } else { JOIN_INTERVAL };
        tokio::time::sleep(wait).await;
    }
}

/// Returns one live peer, and one seed or dead member, which may be on the other side of a
/// healed partition.
fn sync_peers(controller: &Controller) -> Vec<SocketAddr> {
    let mut rng = rand::rng();
    let own = controller.advertised();
    let members = controller.live.members();
    let is_live = |address: SocketAddr| {
        let mut live = members.iter().filter(|m| m.state != MemberState::Dead);
        live.any(|m| m.controller == address)
    };
    let seeds = controller.settings.peers.iter().copied();
    let others = members.iter().map(|m| m.controller).chain(seeds);
    let away = others.filter(|peer| *peer != own && !is_live(*peer));
    let live = live_peers(controller).into_iter().map(|m| m.controller);
    let chosen = [live.choose(&mut rng), away.choose(&mut rng)];
    chosen.into_iter().flatten().collect()
}

/// Compares digests with a peer and exchanges what differs.
async fn sync_with(controller: &Controller, peer: SocketAddr) -> Result<(), RpcError> {
    let sync = async |client: HttpClient| {
        let request = SyncRequest {
            time: controller.kernel.events.time(),
            member: controller.live.own(),
            digests: controller.live.digests(),
        };
        client.sync(request).await
    };
    let reply = controller.rpc.call_twice(peer, PEER_TIMEOUT, sync).await?;
    controller.kernel.events.observe(reply.time);
    controller.contact.peer_heard();
    let missing = controller.live.differing(&reply.digests);
    controller.live.merge(reply.facts);
    for facts in missing.chunks(MAX_FACTS) {
        push_to(controller, peer, facts).await?;
    }
    Ok(())
}

async fn clean_up(controller: &Controller) {
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

/// Tells some peers that this node is gone, ahead of a graceful stop.
pub(crate) async fn announce_leave(controller: &Controller) {
    let facts = [controller.live.leave()];
    let peers = live_peers(controller);
    let chosen: Vec<SocketAddr> = peers
        .choose_multiple(&mut rand::rng(), URGENT_FANOUT)
        .map(|peer| peer.controller)
        .collect();
    let sends = chosen
        .into_iter()
        .map(|peer| push_to(controller, peer, &facts));
    for sent in futures_util::future::join_all(sends).await {
        if let Err(error) = sent {
            tracing::debug!(%error, "announcing the stop to a peer failed");
        }
    }
}
