//! The gate's link to a controller: subscribes to the routing table and reconnects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::client::Subscription;
use thiserror::Error;
use tokio::time::error::Elapsed;

use crate::Gate;
use crate::GateHello;
use crate::GatePlugin;
use crate::MemberState;
use crate::Result;
use crate::RoutingTable;
use crate::Stage;
use crate::TABLE_HEARTBEAT;
use crate::TableRpcClient;
use crate::TableUpdate;

/// Why a link ended.
#[derive(Debug, displaydoc::Display, Error)]
enum LinkError {
    /// the connection failed: {0}
    Rpc(#[from] jsonrpsee::core::ClientError),
    /// the controller sent something unreadable: {0}
    Unreadable(#[from] serde_json::Error),
    /// the controller fell silent
    Silent(#[from] Elapsed),
}

/// Silence after which the link is given up; the controller sends a heartbeat each second.
const SILENCE_LIMIT: Duration = Duration::from_millis(2500);

/// Time within which a controller must accept the link.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before the next controller is tried.
const LINK_PAUSE: Duration = Duration::from_millis(100);

inventory::submit! {
    GatePlugin {
        name: "link",
        stage: Stage::State,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(gate: &Arc<Gate>) -> Result<()> {
    let link = Arc::clone(gate);
    gate.kernel.spawn(async move { keep_link(&link).await });
    Ok(())
}

async fn keep_link(gate: &Gate) {
    loop {
        for controller in candidates(gate) {
            if let Err(error) = follow(gate, controller).await {
                tracing::warn!(%error, %controller, "link to the controller ended");
            }
            tokio::time::sleep(LINK_PAUSE).await;
        }
    }
}

/// Returns the controllers to try: those of the settings, then those that the table names.
fn candidates(gate: &Gate) -> Vec<SocketAddr> {
    let mut controllers = gate.settings.controllers.clone();
    if let Some(table) = gate.table() {
        let others = table
            .live
            .members
            .values()
            .filter(|m| m.state == MemberState::Alive)
            .map(|m| m.controller);
        for other in others {
            if !controllers.contains(&other) {
                controllers.push(other);
            }
        }
    }
    controllers
}

async fn follow(gate: &Gate, controller: SocketAddr) -> Result<(), LinkError> {
    let client = gate.rpc.websocket(controller, CONNECT_TIMEOUT).await?;
    let hello = GateHello {
        node: gate.kernel.node.clone(),
        info: gate.info(),
    };
    let mut updates = client.table(hello).await?;
    gate.kernel
        .events
        .record("link.up", &[("controller", &controller)]);
    while let Some(update) = next_update(&mut updates).await? {
        install(gate, update);
    }
    Ok(())
}

async fn next_update(
    updates: &mut Subscription<TableUpdate>,
) -> Result<Option<TableUpdate>, LinkError> {
    debug_assert!(SILENCE_LIMIT > TABLE_HEARTBEAT);
    let update = tokio::time::timeout(SILENCE_LIMIT, updates.next()).await?;
    Ok(update.transpose()?)
}

fn install(gate: &Gate, update: TableUpdate) {
    let offset = update.offset;
    let current = gate.table();
    let Some(table) = RoutingTable::next(current.as_deref(), update) else {
        return;
    };
    if current.is_none_or(|c| c.config.next != offset) {
        gate.kernel
            .events
            .record("table.in_force", &[("offset", &offset)]);
    }
    gate.table.send_replace(Some(Arc::new(table)));
}
