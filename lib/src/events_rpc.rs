//! The RPC by which a controller collects the events of other processes.

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

/// Time within which a process must send its events.
const EVENTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two relays of events to a peer.
const RELAY_INTERVAL: Duration = Duration::from_millis(500);

/// Events in one relay at most.
const RELAYED_EVENTS: usize = 100;

/// Calls about a process's events.
#[rpc(client, server, namespace = "events")]
pub trait EventsRpc {
    /// Returns the events that the filter admits.
    #[method(name = "read")]
    async fn events(&self, filter: TimelineFilter) -> RpcResult<Vec<Event>>;
}

/// Calls between controllers about events.
#[rpc(client, server, namespace = "events")]
pub trait RelayedEventsRpc {
    /// Hands over events, to be kept.
    #[method(name = "keep")]
    async fn keep(&self, events: Vec<Event>) -> RpcResult<()>;
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

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let sender = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { relay_events(&sender).await });
    Ok(())
}

/// Sends this process's new state changes to a random peer, for the time after its end.
async fn relay_events(controller: &Controller) {
    let mut sent = 0;
    loop {
        tokio::time::sleep(RELAY_INTERVAL).await;
        let events = controller.kernel.events.newest(sent, RELAYED_EVENTS);
        let Some(newest) = events.last().map(|event| event.seq + 1) else {
            continue;
        };
        let peers = live_peers(controller);
        let Some(peer) = peers.choose(&mut rand::rng()).map(|p| p.controller) else {
            continue;
        };
        let keep = async |client: HttpClient| client.keep(events.clone()).await;
        match controller.rpc.call_twice(peer, EVENTS_TIMEOUT, keep).await {
            Ok(()) => sent = newest,
            Err(error) => tracing::debug!(%error, %peer, "events not relayed to a peer"),
        }
    }
}

fn controller_methods(controller: &Arc<Controller>) -> Methods {
    let mut methods = Methods::from(ControllerEvents(Arc::clone(controller)).into_rpc());
    let relayed = RelayedService(Arc::clone(controller)).into_rpc();
    if let Err(error) = methods.merge(relayed) {
        tracing::error!(%error, "the calls about relayed events are not served");
    }
    methods
}

struct ControllerEvents(Arc<Controller>);

#[async_trait]
impl EventsRpcServer for ControllerEvents {
    async fn events(&self, filter: TimelineFilter) -> RpcResult<Vec<Event>> {
        Ok(known(&self.0, &filter))
    }
}

struct RelayedService(Arc<Controller>);

#[async_trait]
impl RelayedEventsRpcServer for RelayedService {
    async fn keep(&self, events: Vec<Event>) -> RpcResult<()> {
        self.0.relayed.keep(events);
        Ok(())
    }
}

/// Returns the events of this process, and those of others that it keeps.
fn known(controller: &Controller, filter: &TimelineFilter) -> Vec<Event> {
    let mut events = admitted(&controller.kernel, filter);
    let mut relayed = controller.relayed.all();
    relayed.retain(|event| filter.admits(event));
    events.append(&mut relayed);
    events
}

fn event_methods(kernel: &Arc<Kernel>) -> Methods {
    Methods::from(EventsService(Arc::clone(kernel)).into_rpc())
}

struct EventsService(Arc<Kernel>);

#[async_trait]
impl EventsRpcServer for EventsService {
    async fn events(&self, filter: TimelineFilter) -> RpcResult<Vec<Event>> {
        Ok(admitted(&self.0, &filter))
    }
}

fn admitted(kernel: &Kernel, filter: &TimelineFilter) -> Vec<Event> {
    let mut events = kernel.events.since(0);
    events.retain(|event| filter.admits(event));
    events
}

/// Collects the events of this process and of all members' processes.
pub(crate) async fn collect_timeline(controller: &Controller, filter: &TimelineFilter) -> Timeline {
    let own = controller.advertised();
    let live = controller.live();
    let mut servers: Vec<(String, SocketAddr)> = Vec::new();
    for member in live.members.values() {
        if member.controller != own {
            servers.push((format!("controller/{}", member.node), member.controller));
        }
        if let Some(gate) = &member.gate {
            servers.push((format!("gate/{}", member.node), gate.rpc));
        }
    }
    let reads = servers
        .into_iter()
        .map(|(process, server)| read_events(controller, process, server, filter.clone()));
    let mut timeline = Timeline {
        events: known(controller, filter),
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
    let read = controller.rpc.call_twice(server, EVENTS_TIMEOUT, |client| {
        let filter = filter.clone();
        async move { client.events(filter).await }
    });
    read.await.map_err(|_error| process)
}
