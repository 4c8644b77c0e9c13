//! Link of a gate to a controller: subscribes to the routing table, sends reports and reconnects.

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
use crate::TABLE_HEARTBEAT_INTERVAL;
use crate::TableRpcClient;
use crate::TableUpdate;

/// Failure of a link.
#[derive(Debug, displaydoc::Display, Error)]
enum LinkError {
    /// connection to the controller failed: {0}
    Rpc(#[from] jsonrpsee::core::ClientError),
    /// controller sent an update that cannot be parsed: {0}
    InvalidUpdate(#[from] serde_json::Error),
    /// controller did not respond in time
    Timeout(#[from] Elapsed),
    /// controller has no configuration in force or is isolated
    NotReady,
}

/// Regular end of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkEnd {
    /// The controller closed the subscription.
    Closed,
    /// The controller on the gate's own VM is available again.
    OwnIsBack,
}

/// Time without an update after which a link has failed, and timeout for a report; the controller
/// sends a heartbeat every [`TABLE_HEARTBEAT_INTERVAL`].
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Timeout for each step of connecting to a controller: opening the connection and subscribing.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for the first update; a controller that has just started may have to read its
/// configuration first.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Initial delay before the next controller is tried; it doubles with each failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay before the next controller is tried.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval between reports, unless one is urgent.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of events in one report.
const MAX_REPORTED_EVENTS: usize = 200;

/// Interval between checks of whether the controller on the gate's own VM is available again.
const OWN_CONTROLLER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

inventory::submit! {
    GatePlugin {
        name: "link",
        stage: Stage::State,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "signature required by GatePlugin")]
fn start(gate: &Arc<Gate>) -> Result<()> {
    let task = Arc::clone(gate);
    gate.kernel.spawn(async move { maintain_link(&task).await });
    let task = Arc::clone(gate);
    gate.kernel.spawn(async move {
        task.kernel.stopping.cancelled().await;
        task.reports.request_urgent_report();
    });
    Ok(())
}

/// Follows the first reachable controller, in the order of [`candidates`], and starts over with
/// the controller on the gate's own VM once a link has ended.
async fn maintain_link(gate: &Gate) {
    let mut retry_delay = INITIAL_RETRY_DELAY;
    loop {
        for controller in candidates(gate) {
            let was_established = match follow(gate, controller).await {
                Ok(end) => {
                    tracing::info!(?end, %controller, "link to controller closed");
                    true
                }
                Err((error, was_established)) => {
                    tracing::warn!(%error, %controller, "link to controller failed");
                    was_established
                }
            };
            if was_established {
                retry_delay = INITIAL_RETRY_DELAY;
                tokio::time::sleep(retry_delay).await;
                break;
            }
            tokio::time::sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}

/// Returns the controllers to try: first the one on the gate's own VM, then those known to be
/// alive in random order, then the others in the settings.
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

/// Follows a controller until the link ends.
///
/// # Errors
///
/// Returns the failure, and whether the link had been established before it.
async fn follow(gate: &Gate, controller: SocketAddr) -> Result<LinkEnd, (LinkError, bool)> {
    let (client, mut updates, first) = open_link(gate, controller).await.map_err(|e| (e, false))?;
    install(gate, first);
    gate.kernel
        .events
        .record("link.up", &[("controller", &controller)]);
    let is_own = gate.settings.controllers.first() == Some(&controller);
    let ended = tokio::select! {
        ended = install_updates(gate, &mut updates) => ended,
        error = send_reports(gate, &client) => Err(error),
        () = wait_for_own_controller(gate), if !is_own => Ok(LinkEnd::OwnIsBack),
    };
    gate.kernel
        .events
        .record("link.down", &[("controller", &controller)]);
    ended.map_err(|error| (error, true))
}

/// Opens a link and waits for its first update; a controller that sends none is not usable.
async fn open_link(
    gate: &Gate,
    controller: SocketAddr,
) -> Result<(WsClient, Subscription<TableUpdate>, TableUpdate), LinkError> {
    let connect = gate.rpc.websocket(controller, CONNECT_TIMEOUT);
    let client = tokio::time::timeout(CONNECT_TIMEOUT, connect).await??;
    gate.reports.mark_all_unreported();
    let hello = GateHello {
        gate: gate_fact(gate),
        time: gate.kernel.events.time(),
    };
    let mut updates =
        tokio::time::timeout(CONNECT_TIMEOUT, client.subscribe_table(hello)).await??;
    let first = tokio::time::timeout(FIRST_UPDATE_TIMEOUT, updates.next()).await?;
    let first = first.transpose()?.ok_or(LinkError::NotReady)?;
    Ok((client, updates, first))
}

/// Creates the gate's fact about itself and marks its content as reported.
fn gate_fact(gate: &Gate) -> GateFact {
    let place = &gate.settings.place;
    let info = gate.info();
    gate.reports.set_reported_info(info.clone());
    GateFact {
        node: place.node.clone(),
        stamp: gate.reports.next_stamp(),
        controller_node: place.node.clone(),
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
    debug_assert!(SILENCE_TIMEOUT > TABLE_HEARTBEAT_INTERVAL);
    loop {
        let update = tokio::time::timeout(SILENCE_TIMEOUT, updates.next()).await?;
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
    let Some(table) = RoutingTable::updated(current.as_deref(), update) else {
        return;
    };
    // A controller that is behind the table in force may have missed newer changes, so the
    // silence that it reports does not show that this table is current.
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

/// Sends reports at intervals, or immediately if urgent, until one fails; returns the failure.
async fn send_reports(gate: &Gate, client: &WsClient) -> LinkError {
    let mut reported = 0;
    loop {
        collect_crashes_and_evidence(gate);
        let mut facts = gate.reports.take_unreported_facts(gate.kernel.clock.now());
        if gate.reports.should_report(&gate.info()) {
            facts.push(Fact::Gate(gate_fact(gate)));
        }
        let events = gate.kernel.events.newest(reported, MAX_REPORTED_EVENTS);
        reported = events.last().map_or(reported, |event| event.seq + 1);
        if !facts.is_empty() || !events.is_empty() {
            let report = GateReport {
                facts,
                events,
                time: gate.kernel.events.time(),
            };
            match tokio::time::timeout(SILENCE_TIMEOUT, client.report(report)).await {
                Ok(Ok(time)) => gate.kernel.events.observe(time),
                Ok(Err(error)) => return error.into(),
                Err(elapsed) => return elapsed.into(),
            }
        }
        tokio::select! {
            () = tokio::time::sleep(REPORT_INTERVAL) => {}
            () = gate.reports.wait_until_urgent() => {}
        }
    }
}

/// Collects the crashes and evidence counted since the last report.
///
/// Evidence is reported only while a move of the service is running; otherwise it is discarded.
fn collect_crashes_and_evidence(gate: &Gate) {
    let now = gate.kernel.clock.now();
    for digest in gate.crashes.take_unreported() {
        gate.reports.count_crash(digest, now);
    }
    let table = gate.table();
    for row in gate.evidence.take_rows() {
        let running = table
            .as_ref()
            .and_then(|t| t.config.running_move(&row.key.service));
        if running.is_some() {
            gate.reports.add_evidence(&row);
        }
    }
}

/// Waits until the controller on the gate's own VM reports a configuration that is at least as
/// new as the one in force at the gate; never returns if the settings list no controller.
async fn wait_for_own_controller(gate: &Gate) {
    let Some(own) = gate.settings.controllers.first().copied() else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(OWN_CONTROLLER_CHECK_INTERVAL).await;
        let in_force = gate.table().map_or(Offset(0), |table| table.config.next);
        let read_offset = async |client: HttpClient| client.offset().await;
        let offset = gate.rpc.call(own, CONNECT_TIMEOUT, read_offset).await;
        if matches!(offset, Ok(Some(offset)) if offset >= in_force) {
            return;
        }
    }
}
