//! A deployment of the plain service `desk`, which takes bookings, and the requests sent to it.
//!
//! A booking must not run twice: its route is not repeatable, and each request has an idempotency
//! key.

use std::time::Duration;
use std::time::Instant;

use hawthornrack_lab::PlainStats;
use hawthornrack_lib::KeySupport;
use hawthornrack_lib::Priority;
use hawthornrack_lib::Route;
use hawthornrack_lib::ServiceKind;
use hyper::Method;
use serde_json::Value;
use serde_json::json;

use super::Call;
use super::HttpResponse;
use super::TIMEOUT;
use super::deployment::Deployment;
use super::deployment::TOKEN;
use super::deployment::service;
use super::wait_until;

/// Timeout of the route for bookings.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(18);

/// Names of the endpoints of `desk`.
pub const ENDPOINTS: [&str; 2] = ["desk-a", "desk-b"];

/// Starts `entries` entries and two endpoints that take `run_ms` milliseconds for a booking.
pub async fn start_bookings(entries: usize, keys: KeySupport, run_ms: u32) -> Deployment {
    start_bookings_with(entries, keys, run_ms, "", ROUTE_TIMEOUT).await
}

/// Starts like [`start_bookings`]. `control` holds lines for the section `[control]` of the
/// controllers' settings; `timeout` is the timeout of the route for bookings.
pub async fn start_bookings_with(
    entries: usize,
    keys: KeySupport,
    run_ms: u32,
    control: &str,
    timeout: Duration,
) -> Deployment {
    let mut deployment = Deployment::start_with(entries, control).await;
    let key_support = serde_json::to_string(&keys).unwrap();
    let settings = [format!("run_ms={run_ms}"), format!("keys={key_support}")];
    let settings: Vec<&str> = settings.iter().map(String::as_str).collect();
    for name in ENDPOINTS {
        deployment.add_plain("desk", "v1", name, &settings).await;
    }
    let route = Route {
        prefix: String::from("book"),
        repeatable: false,
        priority: Priority::Interactive,
        timeout,
    };
    let mut desk = service("desk", ServiceKind::Plain, vec![route]);
    desk.keys = keys;
    deployment.declare(&[desk]).await;
    for entry in &deployment.entries {
        let ready = Call::new(Method::GET, "/desk/ready").bearer(TOKEN);
        wait_until(
            "the gate routes requests to the service",
            TIMEOUT,
            async || {
                let response = deployment
                    .http
                    .send(entry.gate_address(), ready.clone())
                    .await;
                response.is_ok_and(|r| r.status == 200)
            },
        )
        .await;
    }
    deployment
}

/// Returns a booking request with `key` as its idempotency key.
pub fn booking_request(key: &str) -> Call {
    let body = json!({"boat": key});
    Call::post(&format!("/desk/book/{key}"), &body)
        .bearer(TOKEN)
        .header("idempotency-key", key)
}

/// Sends a booking through an entry and returns the response, or `None` if the request failed.
pub async fn book(deployment: &Deployment, entry_index: usize, key: &str) -> Option<HttpResponse> {
    let gate = deployment.entries[entry_index].gate_address();
    deployment.http.send(gate, booking_request(key)).await.ok()
}

/// Returns how many times the endpoints ran a booking, in total.
pub async fn count_runs(deployment: &Deployment, key: &str) -> u32 {
    let path = format!("/book/{key}");
    let mut runs = 0;
    for name in ENDPOINTS {
        let stats: PlainStats = deployment.stats(name).await;
        runs += stats.by_path.get(&path).copied().unwrap_or(0);
    }
    runs
}

/// Returns how many requests the endpoints are running, in total.
pub async fn count_running(deployment: &Deployment) -> u32 {
    let mut running = 0;
    for name in ENDPOINTS {
        running += deployment.stats::<PlainStats>(name).await.running;
    }
    running
}

/// Changes settings of the log stand-in.
pub async fn configure_log(deployment: &Deployment, patch: Value) {
    deployment
        .http
        .configure(deployment.log.http(), &patch)
        .await;
}

/// Returns the `outcome` of a problem response, or an empty string if it has none.
pub fn outcome(response: &HttpResponse) -> String {
    let problem = response.json();
    problem["outcome"].as_str().unwrap_or_default().to_owned()
}

/// Retries a booking, as a caller does, until the response has status 200.
///
/// # Panics
///
/// Panics if no response has status 200 within [`TIMEOUT`].
pub async fn book_until_ok(deployment: &Deployment, entry_index: usize, key: &str) -> HttpResponse {
    let started = Instant::now();
    loop {
        match book(deployment, entry_index, key).await {
            Some(response) if response.status == 200 => return response,
            other => assert!(started.elapsed() < TIMEOUT, "{other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
