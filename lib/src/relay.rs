//! Relays configuration records between controllers, so that reads on the log do not grow
//! with the number of nodes, and a node that cannot reach the log still stays up to date.

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

/// Number of random peers to which a node pushes new records.
const PUSH_FAN_OUT: usize = 3;

/// Number of random peers from which a starting node pulls.
const INITIAL_PULL_FAN_OUT: usize = 4;

/// Interval between two pulls from a random peer.
const PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two pulls while no configuration is in force.
const INITIAL_PULL_INTERVAL: Duration = Duration::from_millis(200);

/// Time within which a peer must reply.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Reply to a pull.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind", content = "value")]
pub enum PullReply {
    /// The peer has no configuration in force.
    Nothing,
    /// Records from the requested offset on.
    Records(Vec<Record>),
    /// The complete state: the caller has none, or the records that it needs are no longer kept.
    Snapshot(Box<ConfigState>),
}

/// RPC between controllers that exchanges configuration records.
#[rpc(client, server, namespace = "relay")]
pub trait ConfigRelayRpc {
    /// Returns the records from an offset on, or a snapshot.
    #[method(name = "pull")]
    async fn pull(&self, from: Offset) -> RpcResult<PullReply>;

    /// Delivers new records and returns the offset of the next record that the receiver needs.
    #[method(name = "push")]
    async fn push(&self, records: Vec<Record>) -> RpcResult<Offset>;
}

inventory::submit! {
    ControllerPlugin {
        name: "relay",
        stage: Stage::State,
        start,
        methods: Some(|controller| {
            Methods::from(ConfigRelayService(Arc::clone(controller)).into_rpc())
        }),
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "signature required by ControllerPlugin"
)]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let puller = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { pull_repeatedly(&puller).await });
    let pusher = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { push_new_records(&pusher).await });
    Ok(())
}

struct ConfigRelayService(Arc<Controller>);

#[async_trait]
impl ConfigRelayRpcServer for ConfigRelayService {
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
        // A node without a state must not start in the middle of the stream.
        if self.0.config.current().is_some() {
            self.0.apply_config(&records);
        }
        Ok(self.0.config.next_offset())
    }
}

/// Installs the newest state among some peers before the log is read.
///
/// A log that serves a stale end of the stream must not give a starting node an older
/// configuration than its peers have.
pub(crate) async fn pull_initial(controller: &Controller) {
    let pulls = random_peers(controller, INITIAL_PULL_FAN_OUT)
        .into_iter()
        .map(|peer| pull_from(controller, peer));
    futures_util::future::join_all(pulls).await;
}

async fn pull_repeatedly(controller: &Controller) {
    loop {
        for peer in random_peers(controller, 1) {
            if let Err(error) = pull_from(controller, peer).await {
                tracing::debug!(%error, %peer, "pulling records from a peer failed");
            }
        }
        let ready = controller.config.current().is_some();
        tokio::time::sleep(if ready {
            PULL_INTERVAL
        } else {
            INITIAL_PULL_INTERVAL
        })
        .await;
    }
}

async fn pull_from(controller: &Controller, peer: SocketAddr) -> Result<(), RpcError> {
    let from = controller.config.next_offset();
    let pull = async |client: HttpClient| client.pull(from).await;
    match controller
        .rpc
        .call_with_retry(peer, PEER_TIMEOUT, pull)
        .await?
    {
        // Records alone never create a state, since they may cover only a part of the stream.
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
    controller.contact.record_peer_contact();
    Ok(())
}

async fn push_new_records(controller: &Controller) {
    let mut states = controller.subscribe_config();
    let mut pushed = controller.config.next_offset();
    while states.changed().await.is_ok() {
        let next = controller.config.next_offset();
        let records = controller.config.recent.since(pushed, next);
        pushed = next;
        let Some(records) = records.filter(|r| !r.is_empty()) else {
            continue;
        };
        for peer in random_peers(controller, PUSH_FAN_OUT) {
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
    let own = controller.advertised_addr();
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
