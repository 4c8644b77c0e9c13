//! The RPC by which gates get the routing table and report to their controller.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::Methods;
use jsonrpsee::PendingSubscriptionSink;
use jsonrpsee::SubscriptionMessage;
use jsonrpsee::SubscriptionSink;
use jsonrpsee::core::SubscriptionResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;
use serde::Deserialize;
use serde::Serialize;

use crate::ConfigState;
use crate::Controller;
use crate::ControllerPlugin;
use crate::GateInfo;
use crate::NodeName;
use crate::Offset;
use crate::Stage;
use crate::TableUpdate;

/// Time between two messages of a subscription when nothing changes.
pub const TABLE_HEARTBEAT: Duration = Duration::from_secs(1);

/// Least time between two messages of a subscription.
const TABLE_PACE: Duration = Duration::from_millis(50);

/// What a gate says of itself when it subscribes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GateHello {
    /// Node that the gate runs on.
    pub node: NodeName,
    /// Its addresses and state.
    pub info: GateInfo,
}

/// Calls of gates on a controller.
#[rpc(client, server, namespace = "table")]
pub trait TableRpc {
    /// Sends the routing table, then every change of it, and a heartbeat between.
    #[subscription(name = "subscribe" => "update", unsubscribe = "unsubscribe", item = TableUpdate)]
    async fn table(&self, hello: GateHello) -> SubscriptionResult;
}

inventory::submit! {
    ControllerPlugin {
        name: "table",
        stage: Stage::Listen,
        start: |_| Ok(()),
        methods: Some(|controller| Methods::from(TableService(Arc::clone(controller)).into_rpc())),
    }
}

struct TableService(Arc<Controller>);

#[async_trait]
impl TableRpcServer for TableService {
    async fn table(
        &self,
        pending: PendingSubscriptionSink,
        hello: GateHello,
    ) -> SubscriptionResult {
        let sink = pending.accept().await?;
        self.0.live.put_gate(&hello.node, Some(hello.info.clone()));
        send_updates(&self.0, &sink).await;
        self.0.live.put_gate(&hello.node, None);
        Ok(())
    }
}

async fn send_updates(controller: &Controller, sink: &SubscriptionSink) {
    let mut configs = controller.subscribe_config();
    let mut lives = controller.subscribe_live();
    let mut sent: Option<Offset> = None;
    loop {
        let config = configs.borrow_and_update().clone();
        let live = lives.borrow_and_update().clone();
        if let Some(config) = config {
            let changed = sent != Some(config.next);
            let update = TableUpdate {
                offset: config.next,
                config: changed.then(|| Arc::new(without_verdicts(&config))),
                live: (*live).clone(),
            };
            sent = Some(config.next);
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
