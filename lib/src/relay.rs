//! Relays configuration records between controllers, so that reads on the log do not grow
//! with the nodes and a node that is cut off from the log alone stays up to date.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::Methods;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::proc_macros::rpc;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::ConfigState;
use crate::Controller;
use crate::ControllerPlugin;
use crate::MemberState;
use crate::Offset;
use crate::Record;
use crate::Result;
use crate::RpcError;
use crate::Stage;

/// Peers that get new records at once.
const PUSH_FANOUT: usize = 3;

/// Peers asked at the start.
const JOIN_PEERS: usize = 4;

/// Time between two pulls from a random peer.
const PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two pulls while no configuration is in force.
const JOIN_INTERVAL: Duration = Duration::from_millis(200);

/// Time within which a peer must answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Answer to a pull.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind", content = "value")]
pub enum PullReply {
    /// The peer has no configuration in force.
    Nothing,
    /// Records from the asked offset on.
    Records(Vec<Record>),
    /// The whole state, since the records from the asked offset on are no longer kept.
    Snapshot(Box<ConfigState>),
}

/// Calls between controllers about configuration records.
#[rpc(client, server, namespace = "relay")]
pub trait RelayRpc {
    /// Returns what follows an offset.
    #[method(name = "pull")]
    async fn pull(&self, from: Offset) -> RpcResult<PullReply>;

    /// Hands over new records and returns the receiver's next offset.
    #[method(name = "push")]
    async fn push(&self, records: Vec<Record>) -> RpcResult<Offset>;
}

inventory::submit! {
    ControllerPlugin {
        name: "relay",
        stage: Stage::State,
        start,
        methods: Some(|controller| Methods::from(RelayService(Arc::clone(controller)).into_rpc())),
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let pull = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { pull_forever(&pull).await });
    let push = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { push_forever(&push).await });
    Ok(())
}

struct RelayService(Arc<Controller>);

#[async_trait]
impl RelayRpcServer for RelayService {
    async fn pull(&self, from: Offset) -> RpcResult<PullReply> {
        let config = &self.0.config;
        let Some(state) = config.current() else {
            return Ok(PullReply::Nothing);
        };
        let records = config.recent.since(from, state.next);
        Ok(match records {
            Some(records) if from > Offset(0) => PullReply::Records(records),
            _ => PullReply::Snapshot(Box::new(ConfigState::clone(&state))),
        })
    }

    async fn push(&self, records: Vec<Record>) -> RpcResult<Offset> {
        // A node without a state must not start from the middle of the stream.
        if self.0.config.current().is_some() {
            self.0.apply_config(&records);
        }
        Ok(self.0.config.next())
    }
}

/// Takes the newest state that some peers have, before the log is read: a log that serves an
/// old tail must not give a starting node an older configuration than its peers have.
pub(crate) async fn join(controller: &Controller) {
    let pulls = random_peers(controller, JOIN_PEERS)
        .into_iter()
        .map(|peer| pull_from(controller, peer));
    futures_util::future::join_all(pulls).await;
}

async fn pull_forever(controller: &Controller) {
    loop {
        for peer in random_peers(controller, 1) {
            if let Err(error) = pull_from(controller, peer).await {
                tracing::debug!(%error, %peer, "pulling records from a peer failed");
            }
        }
        let ready = controller.config.current().is_some();
        tokio::time::sleep(if ready { PULL_INTERVAL } else { JOIN_INTERVAL }).await;
    }
}

async fn pull_from(controller: &Controller, peer: SocketAddr) -> Result<(), RpcError> {
    let from = controller.config.next();
    let pull = async |client: HttpClient| client.pull(from).await;
    match controller.rpc.call_twice(peer, PEER_TIMEOUT, pull).await? {
        // Records alone never start a state: they may be a part of the stream.
        PullReply::Records(records) if from > Offset(0) => controller.apply_config(&records),
        PullReply::Nothing | PullReply::Records(_) => {}
        PullReply::Snapshot(state) => {
            let offset = state.next;
            controller.config.install(*state);
            controller.kernel.events.record(
                "config.snapshot_taken",
                &[("offset", &offset), ("peer", &peer)],
            );
        }
    }
    controller.contact.peer_heard();
    Ok(())
}

async fn push_forever(controller: &Controller) {
    let mut states = controller.subscribe_config();
    let mut pushed = controller.config.next();
    while states.changed().await.is_ok() {
        let next = controller.config.next();
        let records = controller.config.recent.since(pushed, next);
        pushed = next;
        let Some(records) = records.filter(|r| !r.is_empty()) else {
            continue;
        };
        for peer in random_peers(controller, PUSH_FANOUT) {
            let records = records.clone();
            let rpc = controller.rpc.clone();
            controller.kernel.spawn(async move {
                let push = async |client: HttpClient| client.push(records).await;
                if let Err(error) = rpc.call(peer, PEER_TIMEOUT, push).await {
                    tracing::debug!(%error, %peer, "pushing records to a peer failed");
                }
            });
        }
    }
}

fn random_peers(controller: &Controller, count: usize) -> Vec<SocketAddr> {
    let own = controller.advertised();
    let live = controller.live();
    let mut peers: Vec<SocketAddr> = live
        .members
        .values()
        .filter(|m| m.state != MemberState::Dead)
        .map(|m| m.controller)
        .chain(controller.settings.peers.iter().copied())
        .filter(|peer| *peer != own)
        .collect();
    peers.sort_unstable();
    peers.dedup();
    peers.into_iter().choose_multiple(&mut rand::rng(), count)
}
