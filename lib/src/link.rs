//! The gate's link to a controller: subscribes to the routing table, reports, reconnects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::client::Subscription;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::ws_client::WsClient;
use rand::seq::SliceRandom;
use thiserror::Error;
use tokio::time::error::Elapsed;

use crate::Fact;
use crate::Gate;
use crate::GateFact;
use crate::GateHello;
use crate::GatePlugin;
use crate::GateReport;
use crate::MemberState;
use crate::Offset;
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
    /// the controller has no configuration in force or is isolated
    NotReady,
}

/// How a link ended without a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkEnd {
    /// The controller ended the subscription.
    Closed,
    /// The controller of the gate's own VM is back.
    OwnIsBack,
}

/// Silence after which the link is given up; the controller sends a heartbeat each second.
const SILENCE_LIMIT: Duration = Duration::from_millis(2500);

/// Time within which a controller must accept the link.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which the first update must come; a controller that has just started may first
/// have to read its configuration.
const FIRST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause before the next controller is tried, after the first failure.
const LINK_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause before the next controller is tried.
const MAX_LINK_PAUSE: Duration = Duration::from_millis(500);

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Events in one report at most.
const REPORTED_EVENTS: usize = 200;

/// Time between two attempts at reaching the controller of the gate's own VM.
const RETURN_INTERVAL: Duration = Duration::from_secs(1);

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
    let stopping = Arc::clone(gate);
    gate.kernel.spawn(async move {
        stopping.kernel.stopping.cancelled().await;
        stopping.reports.notify();
    });
    Ok(())
}

/// Follows the first controller that can be reached, in the order of the candidates, and
/// starts over with the gate's own once a link has ended.
async fn keep_link(gate: &Gate) {
    let mut pause = LINK_PAUSE;
    loop {
        for controller in candidates(gate) {
            let linked = match follow(gate, controller).await {
                Ok(end) => {
                    tracing::info!(?end, %controller, "link to the controller ended");
                    true
                }
                Err((error, linked)) => {
                    tracing::warn!(%error, %controller, "link to the controller failed");
                    linked
                }
            };
            if linked {
                pause = LINK_PAUSE;
                tokio::time::sleep(pause).await;
                break;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_LINK_PAUSE);
        }
    }
}

/// Returns the controllers to try: the gate's own, then live ones, then those of the settings.
fn candidates(gate: &Gate) -> Vec<SocketAddr> {
    let settings = &gate.settings.controllers;
    let mut others: Vec<SocketAddr> = gate.table().map_or_else(Vec::new, |table| {
        let live = table.live.members.values();
        live.filter(|m| m.state == MemberState::Alive)
            .map(|m| m.controller)
            .collect()
    });
    others.shuffle(&mut rand::rng());
    let rest = settings.iter().skip(1).copied();
    let mut controllers: Vec<SocketAddr> = settings.first().copied().into_iter().collect();
    for other in others.into_iter().chain(rest) {
        if !controllers.contains(&other) {
            controllers.push(other);
        }
    }
    controllers
}

/// Follows a controller until the link ends; an error tells whether the link was up.
async fn follow(gate: &Gate, controller: SocketAddr) -> Result<LinkEnd, (LinkError, bool)> {
    let (client, mut updates, first) = open(gate, controller).await.map_err(|e| (e, false))?;
    install(gate, first);
    gate.kernel
        .events
        .record("link.up", &[("controller", &controller)]);
    let is_own = gate.settings.controllers.first() == Some(&controller);
    let ended = tokio::select! {
        ended = install_updates(gate, &mut updates) => ended,
        error = send_reports(gate, &client) => Err(error),
        () = own_is_back(gate), if !is_own => Ok(LinkEnd::OwnIsBack),
    };
    gate.kernel
        .events
        .record("link.down", &[("controller", &controller)]);
    ended.map_err(|error| (error, true))
}

/// Opens a link and waits for its first update: a controller that sends none is of no use.
async fn open(
    gate: &Gate,
    controller: SocketAddr,
) -> Result<(WsClient, Subscription<TableUpdate>, TableUpdate), LinkError> {
    let connect = gate.rpc.websocket(controller, CONNECT_TIMEOUT);
    let client = tokio::time::timeout(CONNECT_TIMEOUT, connect).await??;
    gate.reports.start_over();
    let hello = GateHello {
        gate: statement(gate),
        time: gate.kernel.events.time(),
    };
    let mut updates = tokio::time::timeout(CONNECT_TIMEOUT, client.table(hello)).await??;
    let first = tokio::time::timeout(FIRST_TIMEOUT, updates.next()).await?;
    let first = first.transpose()?.ok_or(LinkError::NotReady)?;
    Ok((client, updates, first))
}

/// Describes the gate to its controller.
fn statement(gate: &Gate) -> GateFact {
    let place = &gate.settings.place;
    let info = gate.info();
    gate.reports.told(info.clone());
    GateFact {
        node: place.node.clone(),
        stamp: gate.reports.next_stamp(),
        host: place.node.clone(),
        at: gate.kernel.clock.now(),
        info: Some(info),
        domain: place.domain.clone(),
        region: place.region.clone(),
        vm: place.vm.clone(),
    }
}

async fn install_updates(
    gate: &Gate,
    updates: &mut Subscription<TableUpdate>,
) -> Result<LinkEnd, LinkError> {
    debug_assert!(SILENCE_LIMIT > TABLE_HEARTBEAT);
    loop {
        let update = tokio::time::timeout(SILENCE_LIMIT, updates.next()).await?;
        let Some(update) = update.transpose()? else {
            return Ok(LinkEnd::Closed);
        };
        install(gate, update);
    }
}

fn install(gate: &Gate, update: TableUpdate) {
    let current = gate.table();
    let silence = update.silence_ms.map(Duration::from_millis);
    let is_older = current
        .as_ref()
        .is_some_and(|c| update.offset < c.config.next);
    let Some(table) = RoutingTable::next(current.as_deref(), update) else {
        return;
    };
    // A controller that is behind the table in force says nothing about newer changes.
    if !is_older {
        let own = &gate.settings.place.node;
        gate.isolation.update(own, silence, &table.live);
    }
    let offset = table.config.next;
    if current.is_none_or(|c| c.config.next != offset) {
        gate.kernel
            .events
            .record("table.in_force", &[("offset", &offset)]);
    }
    gate.table.send_replace(Some(Arc::new(table)));
}

/// Reports what is new, at intervals or at once where it matters, until a report fails.
async fn send_reports(gate: &Gate, client: &WsClient) -> LinkError {
    let mut reported = 0;
    loop {
        gather(gate);
        let mut facts = gate.reports.take(gate.kernel.clock.now());
        if gate.reports.is_news(&gate.info()) {
            facts.push(Fact::Gate(statement(gate)));
        }
        let events = gate.kernel.events.newest(reported, REPORTED_EVENTS);
        reported = events.last().map_or(reported, |event| event.seq + 1);
        if !facts.is_empty() || !events.is_empty() {
            let report = GateReport {
                facts,
                events,
                time: gate.kernel.events.time(),
            };
            match tokio::time::timeout(SILENCE_LIMIT, client.report(report)).await {
                Ok(Ok(time)) => gate.kernel.events.observe(time),
                Ok(Err(error)) => return error.into(),
                Err(elapsed) => return elapsed.into(),
            }
        }
        tokio::select! {
            () = tokio::time::sleep(REPORT_INTERVAL) => {}
            () = gate.reports.urgent() => {}
        }
    }
}

/// Gathers what the gate has counted since the last report.
///
/// Evidence matters only while a move of the service runs.
fn gather(gate: &Gate) {
    let now = gate.kernel.clock.now();
    for digest in gate.crashes.take_reports() {
        gate.reports.count_crash(digest, now);
    }
    let table = gate.table();
    for row in gate.evidence.take_rows() {
        let running = table
            .as_ref()
            .and_then(|t| t.config.running_move(&row.key.service));
        if running.is_some() {
            gate.reports.add(&row);
        }
    }
}

/// Waits until the controller of the gate's own VM answers with a configuration that is not
/// older than the one in force.
async fn own_is_back(gate: &Gate) {
    let Some(own) = gate.settings.controllers.first().copied() else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(RETURN_INTERVAL).await;
        let in_force = gate.table().map_or(Offset(0), |table| table.config.next);
        let ask = async |client: HttpClient| client.offset().await;
        let offset = gate.rpc.call(own, CONNECT_TIMEOUT, ask).await;
        if matches!(offset, Ok(Some(offset)) if offset >= in_force) {
            return;
        }
    }
}
