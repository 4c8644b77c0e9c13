//! RPC interface through which gates subscribe to the routing table and report to a controller.

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

/// Interval at which a subscription sends a message when nothing changes.
pub const TABLE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between two messages of a subscription.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Parameters with which a gate subscribes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GateHello {
    /// The gate's fact about itself; the controller sets `controller_node` to its own node.
    pub gate: GateFact,
    /// Hybrid logical time of the gate.
    pub time: HybridTime,
}

/// Report of a gate to its controller.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GateReport {
    /// Changed facts; counters are cumulative totals.
    pub facts: Vec<Fact>,
    /// Events of the gate since its previous report.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Hybrid logical time of the gate.
    pub time: HybridTime,
}

/// RPC methods that gates call on a controller.
#[rpc(client, server, namespace = "table")]
pub trait TableRpc {
    /// Returns the offset of the next configuration record, or `None` if no configuration is in
    /// force or the controller is isolated.
    #[method(name = "offset")]
    async fn offset(&self) -> RpcResult<Option<Offset>>;

    /// Accepts a gate's report and returns the controller's hybrid logical time.
    #[method(name = "report")]
    async fn report(&self, report: GateReport) -> RpcResult<HybridTime>;

    /// Sends the routing table, then changes to it, and heartbeats when nothing changes. The
    /// subscription ends when the controller is isolated, so that gates switch to another one.
    #[subscription(name = "subscribe" => "update", unsubscribe = "unsubscribe", item = TableUpdate)]
    async fn subscribe_table(&self, hello: GateHello) -> SubscriptionResult;
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
    /// Stamp of the newest subscription of each gate.
    subscriptions: Mutex<IndexMap<NodeName, Stamp>>,
}

impl TableService {
    fn new(controller: &Arc<Controller>) -> Self {
        Self {
            controller: Arc::clone(controller),
            subscriptions: Mutex::default(),
        }
    }

    fn attach(&self, gate: GateFact) {
        let events = &self.controller.kernel.events;
        events.record("gate.attached", &[("gate", &gate.node)]);
        let mut subscriptions = self.subscriptions.lock();
        let newest = subscriptions.entry(gate.node.clone()).or_insert(gate.stamp);
        *newest = gate.stamp.max(*newest);
        drop(subscriptions);
        self.merge_facts(vec![Fact::Gate(gate)]);
    }

    /// Records that a gate's subscription has ended, unless the gate has opened a newer one.
    fn detach(&self, node: &NodeName, stamp: Stamp) {
        let mut subscriptions = self.subscriptions.lock();
        if subscriptions.get(node) != Some(&stamp) {
            return;
        }
        subscriptions.swap_remove(node);
        drop(subscriptions);
        let controller = &self.controller;
        let events = &controller.kernel.events;
        events.record("gate.detached", &[("gate", node)]);
        let now = controller.kernel.clock.now();
        controller
            .live
            .detach_gate(node, &controller.kernel.node, now);
    }

    fn merge_facts(&self, mut facts: Vec<Fact>) {
        for fact in &mut facts {
            if let Fact::Gate(gate) = fact {
                gate.controller_node = self.controller.kernel.node.clone();
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
        self.controller.relayed_events.store(report.events);
        self.merge_facts(report.facts);
        Ok(events.time())
    }

    async fn subscribe_table(
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
    let mut live_views = controller.subscribe_live();
    let mut sent_offset: Option<Offset> = None;
    let mut sent_live: Option<Arc<LiveView>> = None;
    while !controller.contact.is_isolated() {
        let config = configs.borrow_and_update().clone();
        let live = live_views.borrow_and_update().clone();
        if let Some(config) = config {
            let changed = sent_offset != Some(config.next);
            let update = TableUpdate {
                offset: config.next,
                config: changed.then(|| Arc::new(without_verdicts(&config))),
                silence_ms: controller.contact.time_since_contact().map(millis),
                live: LiveDelta::between(sent_live.as_deref(), &live),
            };
            sent_offset = Some(config.next);
            sent_live = Some(live);
            let Ok(raw) = serde_json::value::to_raw_value(&update) else {
                return;
            };
            if sink.send(SubscriptionMessage::from(raw)).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(MIN_UPDATE_INTERVAL).await;
        tokio::select! {
            _ = configs.changed() => {}
            _ = live_views.changed() => {}
            () = tokio::time::sleep(TABLE_HEARTBEAT_INTERVAL) => {}
            () = sink.closed() => return,
        }
    }
}

/// Removes the verdicts, which gates do not need and which make up most of the state's size.
fn without_verdicts(config: &ConfigState) -> ConfigState {
    let mut config = config.clone();
    config.verdicts.clear();
    config
}
