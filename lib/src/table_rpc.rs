//! The RPC by which gates get the routing table and report to their controller.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use jsonrpsee::Methods;
use jsonrpsee::PendingSubscriptionSink;
use jsonrpsee::SubscriptionMessage;
use jsonrpsee::SubscriptionSink;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::SubscriptionResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use crate::ConfigState;
use crate::Controller;
use crate::ControllerPlugin;
use crate::Event;
use crate::Fact;
use crate::GateFact;
use crate::HybridTime;
use crate::LiveDelta;
use crate::LiveView;
use crate::NodeName;
use crate::Offset;
use crate::Stage;
use crate::Stamp;
use crate::TableUpdate;
use crate::millis;

/// Time between two messages of a subscription when nothing changes.
pub const TABLE_HEARTBEAT: Duration = Duration::from_secs(1);

/// Least time between two messages of a subscription.
const TABLE_PACE: Duration = Duration::from_millis(50);

/// What a gate says of itself when it subscribes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GateHello {
    /// The gate; the controller fills in its own name.
    pub gate: GateFact,
    /// The gate's hybrid time.
    pub time: HybridTime,
}

/// What a gate has to report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GateReport {
    /// News, as totals.
    pub facts: Vec<Fact>,
    /// Newest events of the gate.
    #[serde(default)]
    pub events: Vec<Event>,
    /// The gate's hybrid time.
    pub time: HybridTime,
}

/// Calls of gates on a controller.
#[rpc(client, server, namespace = "table")]
pub trait TableRpc {
    /// Returns the offset of the next configuration record, if any configuration is in force
    /// and the controller is not isolated.
    #[method(name = "offset")]
    async fn offset(&self) -> RpcResult<Option<Offset>>;

    /// Takes a gate's news and returns the controller's hybrid time.
    #[method(name = "report")]
    async fn report(&self, report: GateReport) -> RpcResult<HybridTime>;

    /// Sends the routing table, then every change of it, and a heartbeat between; ends when
    /// the controller is isolated, so that gates look for another one.
    #[subscription(name = "subscribe" => "update", unsubscribe = "unsubscribe", item = TableUpdate)]
    async fn table(&self, hello: GateHello) -> SubscriptionResult;
}

inventory::submit! {
    ControllerPlugin {
        name: "table",
        stage: Stage::Listen,
        start: |_| Ok(()),
        methods: Some(|controller| Methods::from(TableService::new(controller).into_rpc())),
    }
}

struct TableService {
    controller: Arc<Controller>,
    /// Newest link of each gate to this controller.
    links: Mutex<IndexMap<NodeName, Stamp>>,
}

impl TableService {
    fn new(controller: &Arc<Controller>) -> Self {
        Self {
            controller: Arc::clone(controller),
            links: Mutex::default(),
        }
    }

    fn attach(&self, gate: GateFact) {
        let events = &self.controller.kernel.events;
        events.record("gate.attached", &[("gate", &gate.node)]);
        let mut links = self.links.lock();
        let newest = links.entry(gate.node.clone()).or_insert(gate.stamp);
        *newest = gate.stamp.max(*newest);
        drop(links);
        self.take_facts(vec![Fact::Gate(gate)]);
    }

    /// Records that a link has ended, unless the gate has opened a newer one.
    fn detach(&self, node: &NodeName, stamp: Stamp) {
        let mut links = self.links.lock();
        if links.get(node) != Some(&stamp) {
            return;
        }
        links.swap_remove(node);
        drop(links);
        let controller = &self.controller;
        let events = &controller.kernel.events;
        events.record("gate.detached", &[("gate", node)]);
        let now = controller.kernel.clock.now();
        controller
            .live
            .detach_gate(node, &controller.kernel.node, now);
    }

    fn take_facts(&self, mut facts: Vec<Fact>) {
        for fact in &mut facts {
            if let Fact::Gate(gate) = fact {
                gate.host = self.controller.kernel.node.clone();
            }
        }
        self.controller.live.merge(facts);
    }
}

#[async_trait]
impl TableRpcServer for TableService {
    async fn offset(&self) -> RpcResult<Option<Offset>> {
        let controller = &self.controller;
        let config = controller
            .config()
            .filter(|_| !controller.contact.is_isolated());
        Ok(config.map(|config| config.next))
    }

    async fn report(&self, report: GateReport) -> RpcResult<HybridTime> {
        let events = &self.controller.kernel.events;
        events.observe(report.time);
        self.controller.relayed.keep(report.events);
        self.take_facts(report.facts);
        Ok(events.time())
    }

    async fn table(
        &self,
        pending: PendingSubscriptionSink,
        hello: GateHello,
    ) -> SubscriptionResult {
        let sink = pending.accept().await?;
        self.controller.kernel.events.observe(hello.time);
        let node = hello.gate.node.clone();
        let stamp = hello.gate.stamp;
        self.attach(hello.gate);
        send_updates(&self.controller, &sink).await;
        self.detach(&node, stamp);
        Ok(())
    }
}

/// Sends updates until the subscription closes or this node is isolated.
async fn send_updates(controller: &Controller, sink: &SubscriptionSink) {
    let mut configs = controller.subscribe_config();
    let mut lives = controller.subscribe_live();
    let mut sent: Option<Offset> = None;
    let mut sent_live: Option<Arc<LiveView>> = None;
    while !controller.contact.is_isolated() {
        let config = configs.borrow_and_update().clone();
        let live = lives.borrow_and_update().clone();
        if let Some(config) = config {
            let changed = sent != Some(config.next);
            let update = TableUpdate {
                offset: config.next,
                config: changed.then(|| Arc::new(without_verdicts(&config))),
                silence_ms: controller.contact.silence().map(millis),
                live: LiveDelta::between(sent_live.as_deref(), &live),
            };
            sent = Some(config.next);
            sent_live = Some(live);
            let Ok(raw) = serde_json::value::to_raw_value(&update) else {
                return;
            };
            if sink.send(SubscriptionMessage::from(raw)).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(TABLE_PACE).await;
        tokio::select! {
            _ = configs.changed() => {}
            _ = lives.changed() => {}
            () = tokio::time::sleep(TABLE_HEARTBEAT) => {}
            () = sink.closed() => return,
        }
    }
}

/// Gates need no verdicts, and these are most of the state's size.
fn without_verdicts(config: &ConfigState) -> ConfigState {
    let mut config = config.clone();
    config.verdicts.clear();
    config
}
