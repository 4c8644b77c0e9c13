//! The RPC by which a controller collects the events of other processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use jsonrpsee::Methods;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;

use crate::Controller;
use crate::ControllerPlugin;
use crate::Event;
use crate::GatePlugin;
use crate::Kernel;
use crate::Stage;
use crate::Timeline;
use crate::TimelineFilter;

/// Time within which a process must send its events.
const EVENTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Calls about a process's events.
#[rpc(client, server, namespace = "events")]
pub trait EventsRpc {
    /// Returns the events that the filter admits.
    #[method(name = "read")]
    async fn events(&self, filter: TimelineFilter) -> RpcResult<Vec<Event>>;
}

inventory::submit! {
    ControllerPlugin {
        name: "events",
        stage: Stage::Listen,
        start: |_| Ok(()),
        methods: Some(|controller| event_methods(&controller.kernel)),
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
        events: admitted(&controller.kernel, filter),
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
