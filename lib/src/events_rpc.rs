//! RPC interface through which a controller collects and relays the events of other processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use jsonrpsee::Methods;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::proc_macros::rpc;
use rand::seq::IndexedRandom;

use crate::Controller;
use crate::ControllerPlugin;
use crate::Event;
use crate::GatePlugin;
use crate::Kernel;
use crate::Result;
use crate::Stage;
use crate::Timeline;
use crate::TimelineFilter;
use crate::gossip_rpc::live_peers;

/// Timeout for reading or relaying events.
const EVENTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which new events are relayed to a peer.
const RELAY_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of events in one relay; older events that have not been relayed are skipped.
const MAX_RELAYED_EVENTS: usize = 100;

/// RPC methods to read the events of a process.
#[rpc(client, server, namespace = "events")]
pub trait EventsRpc {
    /// Returns the events that match the filter.
    #[method(name = "read")]
    async fn events(&self, filter: TimelineFilter) -> RpcResult<Vec<Event>>;
}

/// RPC methods with which controllers relay events to each other.
#[rpc(client, server, namespace = "events")]
pub trait RelayedEventsRpc {
    /// Stores the events of another process.
    #[method(name = "keep")]
    async fn store_events(&self, events: Vec<Event>) -> RpcResult<()>;
}

inventory::submit! {
    ControllerPlugin {
        name: "events",
        stage: Stage::Listen,
        start,
        methods: Some(controller_methods),
    }
}

inventory::submit! {
    GatePlugin {
        name: "events",
        stage: Stage::Listen,
        start: |_| Ok(()),
        methods: Some(|gate| event_methods(&gate.kernel)),
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "signature required by ControllerPlugin"
)]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let sender = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { relay_events(&sender).await });
    Ok(())
}

/// Relays this process's new events to a random peer, so that they outlive the process.
async fn relay_events(controller: &Controller) {
    let mut sent = 0;
    loop {
        tokio::time::sleep(RELAY_INTERVAL).await;
        let events = controller.kernel.events.newest(sent, MAX_RELAYED_EVENTS);
        let Some(newest) = events.last().map(|event| event.seq + 1) else {
            continue;
        };
        let peers = live_peers(controller);
        let Some(peer) = peers.choose(&mut rand::rng()).map(|p| p.controller) else {
            continue;
        };
        let store = async |client: HttpClient| client.store_events(events.clone()).await;
        match controller
            .rpc
            .call_with_retry(peer, EVENTS_TIMEOUT, store)
            .await
        {
            Ok(()) => sent = newest,
            Err(error) => tracing::debug!(%error, %peer, "failed to relay events to peer"),
        }
    }
}

fn controller_methods(controller: &Arc<Controller>) -> Methods {
    let mut methods = Methods::from(ControllerEventsService(Arc::clone(controller)).into_rpc());
    let relayed = RelayedEventsService(Arc::clone(controller)).into_rpc();
    if let Err(error) = methods.merge(relayed) {
        tracing::error!(%error, "failed to register the RPC methods for relayed events");
    }
    methods
}

struct ControllerEventsService(Arc<Controller>);

#[async_trait]
impl EventsRpcServer for ControllerEventsService {
    async fn events(&self, filter: TimelineFilter) -> RpcResult<Vec<Event>> {
        Ok(known_events(&self.0, &filter))
    }
}

struct RelayedEventsService(Arc<Controller>);

#[async_trait]
impl RelayedEventsRpcServer for RelayedEventsService {
    async fn store_events(&self, events: Vec<Event>) -> RpcResult<()> {
        self.0.relayed_events.store(events);
        Ok(())
    }
}

/// Returns the matching events of this process and those relayed by others.
fn known_events(controller: &Controller, filter: &TimelineFilter) -> Vec<Event> {
    let mut events = matching_events(&controller.kernel, filter);
    let mut relayed = controller.relayed_events.all();
    relayed.retain(|event| filter.matches(event));
    events.append(&mut relayed);
    events
}

fn event_methods(kernel: &Arc<Kernel>) -> Methods {
    Methods::from(ProcessEventsService(Arc::clone(kernel)).into_rpc())
}

struct ProcessEventsService(Arc<Kernel>);

#[async_trait]
impl EventsRpcServer for ProcessEventsService {
    async fn events(&self, filter: TimelineFilter) -> RpcResult<Vec<Event>> {
        Ok(matching_events(&self.0, &filter))
    }
}

fn matching_events(kernel: &Kernel, filter: &TimelineFilter) -> Vec<Event> {
    let mut events = kernel.events.since(0);
    events.retain(|event| filter.matches(event));
    events
}

/// Collects the matching events of the processes of all members; processes that do not respond
/// are listed as missing.
pub(crate) async fn collect_timeline(controller: &Controller, filter: &TimelineFilter) -> Timeline {
    let own = controller.advertised_addr();
    let live = controller.live();
    let mut targets: Vec<(String, SocketAddr)> = Vec::new();
    for member in live.members.values() {
        if member.controller != own {
            targets.push((format!("controller/{}", member.node), member.controller));
        }
        if let Some(gate) = &member.gate {
            targets.push((format!("gate/{}", member.node), gate.rpc));
        }
    }
    let reads = targets
        .into_iter()
        .map(|(process, server)| read_events(controller, process, server, filter.clone()));
    let mut timeline = Timeline {
        events: known_events(controller, filter),
        missing: Vec::new(),
    };
    for read in join_all(reads).await {
        match read {
            Ok(events) => timeline.events.extend(events),
            Err(process) => timeline.missing.push(process),
        }
    }
    timeline.merge(filter)
}

async fn read_events(
    controller: &Controller,
    process: String,
    server: SocketAddr,
    filter: TimelineFilter,
) -> Result<Vec<Event>, String> {
    let read = controller
        .rpc
        .call_with_retry(server, EVENTS_TIMEOUT, |client| {
            let filter = filter.clone();
            async move { client.events(filter).await }
        });
    read.await.map_err(|_error| process)
}
