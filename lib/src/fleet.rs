//! Orders to model engines: the holder of a service's lease states to each endpoint what it is
//! to run, and repeats that until it is in force.

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

/// Time between two looks at the endpoints.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two looks at an endpoint whose order is in force.
const SETTLED_INTERVAL: Duration = Duration::from_secs(2);

/// Endpoints looked at together.
const CONCURRENCY: usize = 64;

/// Status of an endpoint without an order, or one that takes none.
const STATUS_NOT_FOUND: u16 = 404;

/// Status of an order with an old epoch.
const STATUS_CONFLICT: u16 = 409;

inventory::submit! {
    ControllerPlugin {
        name: "fleet",
        stage: Stage::Duty,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let task = Arc::clone(controller);
    controller.kernel.spawn(async move { keep(&task).await });
    Ok(())
}

/// What an endpoint was found to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Found {
    /// The wanted order.
    InForce,
    /// Something else; an order has been sent.
    Ordered,
    /// Nothing could be learnt or done.
    Failed,
}

/// An endpoint with the order that it is to have.
#[derive(Clone, Debug)]
struct Wanted {
    duty: Duty,
    endpoint: Endpoint,
    model: String,
}

async fn keep(controller: &Controller) {
    let http = HttpClient::new();
    let settled: Mutex<IndexMap<(EndpointName, Epoch), Instant>> = Mutex::default();
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let Some(config) = controller.config() else {
            continue;
        };
        settled
            .lock()
            .retain(|_, at| at.elapsed() < SETTLED_INTERVAL);
        let wanted = wanted(controller, &config);
        futures_util::stream::iter(wanted)
            .for_each_concurrent(CONCURRENCY, async |wanted| {
                let Some(epoch) = controller.leases.may_act(&wanted.duty) else {
                    return;
                };
                let key = (wanted.endpoint.name.clone(), epoch);
                if settled.lock().contains_key(&key) {
                    return;
                }
                if settle(controller, &http, &wanted, epoch).await == Found::InForce {
                    settled.lock().insert(key, Instant::now());
                }
            })
            .await;
    }
}

/// Returns the endpoints that this node may give orders to.
fn wanted(controller: &Controller, config: &ConfigState) -> Vec<Wanted> {
    let live = controller.live();
    let mut wanted = Vec::new();
    for endpoint in config.endpoints.values().map(|e| &e.value) {
        let duty = Duty::Service(endpoint.service.clone());
        let Some(service) = config.services.get(&endpoint.service) else {
            continue;
        };
        let Some(model) = model_of(&service.value, endpoint) else {
            continue;
        };
        let leaves = live.leaving.contains_key(&endpoint.vm);
        if !leaves && controller.leases.may_act(&duty).is_some() {
            wanted.push(Wanted {
                duty,
                endpoint: endpoint.clone(),
                model,
            });
        }
    }
    wanted
}

/// Returns the model that an endpoint is to load; `None` when it takes no orders.
fn model_of(service: &Service, endpoint: &Endpoint) -> Option<String> {
    if service.kind != ServiceKind::Model {
        return None;
    }
    let version = service.versions.get(&endpoint.version)?;
    Some(version.model.clone())
}

/// Looks at what an endpoint runs and orders what it should run.
async fn settle(
    controller: &Controller,
    http: &HttpClient,
    wanted: &Wanted,
    epoch: Epoch,
) -> Found {
    let endpoint = &wanted.endpoint;
    let order = Order {
        epoch,
        version: endpoint.version.clone(),
        model: wanted.model.clone(),
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
        Ok(found) if found == order => return Found::InForce,
        // The lease has passed on, whatever this node's clock says.
        Ok(found) if found.epoch > epoch => return Found::Failed,
        Ok(_) | Err(SendError::Status(STATUS_NOT_FOUND, _)) => {}
        Err(error) => {
            tracing::debug!(%error, endpoint = %endpoint.name, "reading the order in force failed");
            return Found::Failed;
        }
    }
    // The lease must outlast the order's time in flight.
    if controller.leases.may_act_for(&wanted.duty, ORDER_TIMEOUT) != Some(epoch) {
        return Found::Failed;
    }
    send(controller, http, endpoint, &order).await
}

async fn send(
    controller: &Controller,
    http: &HttpClient,
    endpoint: &Endpoint,
    order: &Order,
) -> Found {
    let sent = http
        .call_bytes(
            endpoint.address,
            Method::POST,
            "/orders",
            Some(order),
            ORDER_TIMEOUT,
        )
        .await;
    let (what, found) = match &sent {
        Ok(_) => ("order.taken", Found::Ordered),
        Err(SendError::Status(STATUS_CONFLICT, _)) => ("order.refused", Found::Failed),
        Err(_) => ("order.failed", Found::Failed),
    };
    controller.kernel.events.record(
        what,
        &[
            ("endpoint", &endpoint.name),
            ("version", &order.version),
            ("epoch", &order.epoch),
        ],
    );
    found
}
