//! Orders to model engines: the holder of a service's lease sends each endpoint its desired order,
//! and retries until the endpoint reports that order in force.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use hyper::Method;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::ConfigState;
use crate::Controller;
use crate::ControllerPlugin;
use crate::Duty;
use crate::Endpoint;
use crate::EndpointName;
use crate::Epoch;
use crate::HttpClient;
use crate::Order;
use crate::Result;
use crate::Role;
use crate::SendError;
use crate::Service;
use crate::ServiceKind;
use crate::Stage;
use crate::lease_keeper::ORDER_TIMEOUT;

/// Interval at which orders are reconciled.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which an endpoint whose order is in force is checked again.
const RECHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of endpoints reconciled concurrently.
const MAX_CONCURRENT_RECONCILIATIONS: usize = 64;

/// HTTP status of an endpoint that has no order or does not support orders.
const STATUS_NOT_FOUND: u16 = 404;

/// HTTP status for an order whose epoch is older than one that the endpoint has seen.
const STATUS_CONFLICT: u16 = 409;

inventory::submit! {
    ControllerPlugin {
        name: "fleet",
        stage: Stage::Background,
        start,
        methods: None,
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "signature required by ControllerPlugin"
)]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let task = Arc::clone(controller);
    controller.kernel.spawn(async move { run(&task).await });
    Ok(())
}

/// Result of reconciling one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReconcileOutcome {
    /// The desired order is in force at the endpoint.
    InForce,
    /// Another order or none was in force, and the endpoint has accepted the desired one.
    Ordered,
    /// The order in force could not be read, or the desired order was not sent or not accepted.
    Failed,
}

/// The order that should be in force at an endpoint, without its epoch.
#[derive(Clone, Debug)]
struct DesiredOrder {
    duty: Duty,
    endpoint: Endpoint,
    model: String,
}

/// Reconciles the orders of all endpoints at a fixed interval.
async fn run(controller: &Controller) {
    let http = HttpClient::new();
    // Endpoints whose order was last seen in force, with the time of that check; they are not
    // checked again within `RECHECK_INTERVAL`.
    let confirmed_at: Mutex<IndexMap<(EndpointName, Epoch), Instant>> = Mutex::default();
    loop {
        tokio::time::sleep(RECONCILE_INTERVAL).await;
        let Some(config) = controller.config() else {
            continue;
        };
        confirmed_at
            .lock()
            .retain(|_, at| at.elapsed() < RECHECK_INTERVAL);
        let desired_orders = desired_orders(controller, &config);
        futures_util::stream::iter(desired_orders)
            .for_each_concurrent(MAX_CONCURRENT_RECONCILIATIONS, async |desired| {
                let Some(epoch) = controller.leases.active_epoch(&desired.duty) else {
                    return;
                };
                let key = (desired.endpoint.name.clone(), epoch);
                if confirmed_at.lock().contains_key(&key) {
                    return;
                }
                if reconcile(controller, &http, &desired, epoch).await == ReconcileOutcome::InForce
                {
                    confirmed_at.lock().insert(key, Instant::now());
                }
            })
            .await;
    }
}

/// Returns the desired orders of the endpoints that this node may send orders to.
fn desired_orders(controller: &Controller, config: &ConfigState) -> Vec<DesiredOrder> {
    let live = controller.live();
    let mut orders = Vec::new();
    for endpoint in config.endpoints.values().map(|e| &e.value) {
        let duty = Duty::Service(endpoint.service.clone());
        let Some(service) = config.services.get(&endpoint.service) else {
            continue;
        };
        let Some(model) = model_of(&service.value, endpoint) else {
            continue;
        };
        let is_leaving = live.leaving.contains_key(&endpoint.vm);
        if !is_leaving && controller.leases.active_epoch(&duty).is_some() {
            orders.push(DesiredOrder {
                duty,
                endpoint: endpoint.clone(),
                model,
            });
        }
    }
    orders
}

/// Returns the model that an endpoint should load; `None` when it takes no orders.
fn model_of(service: &Service, endpoint: &Endpoint) -> Option<String> {
    if service.kind != ServiceKind::Model {
        return None;
    }
    let version = service.versions.get(&endpoint.version)?;
    Some(version.model.clone())
}

/// Reads the order in force at an endpoint, and sends the desired one if they differ.
async fn reconcile(
    controller: &Controller,
    http: &HttpClient,
    desired: &DesiredOrder,
    epoch: Epoch,
) -> ReconcileOutcome {
    let endpoint = &desired.endpoint;
    let order = Order {
        epoch,
        version: endpoint.version.clone(),
        model: desired.model.clone(),
        role: Role::Serve,
    };
    let address = endpoint.address;
    let found: Result<Order, SendError> = http
        .call(
            address,
            Method::GET,
            "/orders",
            None::<&()>,
            ORDER_TIMEOUT / 2,
        )
        .await;
    match found {
        Ok(found) if found == order => return ReconcileOutcome::InForce,
        // A newer epoch means that another node holds the lease, even if this node's clock says
        // that its own lease is valid.
        Ok(found) if found.epoch > epoch => return ReconcileOutcome::Failed,
        Ok(_) | Err(SendError::Status(STATUS_NOT_FOUND, _)) => {}
        Err(error) => {
            tracing::debug!(%error, endpoint = %endpoint.name, "failed to read the order in force");
            return ReconcileOutcome::Failed;
        }
    }
    // The lease must stay valid until the order's timeout, so that no order is in flight after it.
    if controller
        .leases
        .active_epoch_for_span(&desired.duty, ORDER_TIMEOUT)
        != Some(epoch)
    {
        return ReconcileOutcome::Failed;
    }
    send(controller, http, endpoint, &order).await
}

/// Sends an order to an endpoint and records the result as an event.
async fn send(
    controller: &Controller,
    http: &HttpClient,
    endpoint: &Endpoint,
    order: &Order,
) -> ReconcileOutcome {
    let sent = http
        .call_bytes(
            endpoint.address,
            Method::POST,
            "/orders",
            Some(order),
            ORDER_TIMEOUT,
        )
        .await;
    let (event, outcome) = match &sent {
        Ok(_) => ("order.taken", ReconcileOutcome::Ordered),
        Err(SendError::Status(STATUS_CONFLICT, _)) => ("order.refused", ReconcileOutcome::Failed),
        Err(_) => ("order.failed", ReconcileOutcome::Failed),
    };
    controller.kernel.events.record(
        event,
        &[
            ("endpoint", &endpoint.name),
            ("version", &order.version),
            ("epoch", &order.epoch),
        ],
    );
    outcome
}
