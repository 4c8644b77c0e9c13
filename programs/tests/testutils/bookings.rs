//! A deployment of booking services, and what callers send to it.

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

use super::Answer;
use super::Call;
use super::LIMIT;
use super::deployment::Deployment;
use super::deployment::TOKEN;
use super::deployment::service;
use super::wait_until;

/// Time within which a booking must be answered.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(18);

/// Endpoints of the service.
pub const SERVERS: [&str; 2] = ["desk-a", "desk-b"];

/// Starts entries before two endpoints that take `run_ms` for a booking.
pub async fn bookings(entries: usize, keys: KeySupport, run_ms: u32) -> Deployment {
    bookings_with(entries, keys, run_ms, "", ROUTE_TIMEOUT).await
}

pub async fn bookings_with(
    entries: usize,
    keys: KeySupport,
    run_ms: u32,
    control: &str,
    timeout: Duration,
) -> Deployment {
    let mut deployment = Deployment::start_with(entries, control).await;
    let kept = serde_json::to_string(&keys).unwrap();
    let settings = [format!("run_ms={run_ms}"), format!("keys={kept}")];
    let settings: Vec<&str> = settings.iter().map(String::as_str).collect();
    for name in SERVERS {
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
        wait_until("the gate routes to the service", LIMIT, async || {
            let answer = deployment.http.send(entry.callers(), ready.clone()).await;
            answer.is_ok_and(|a| a.status == 200)
        })
        .await;
    }
    deployment
}

pub fn booking(key: &str) -> Call {
    let body = json!({"boat": key});
    Call::post(&format!("/desk/book/{key}"), &body)
        .bearer(TOKEN)
        .header("idempotency-key", key)
}

/// Sends a booking through an entry; a caller without an answer gets `None`.
pub async fn book(deployment: &Deployment, entry: usize, key: &str) -> Option<Answer> {
    let gate = deployment.entries[entry].callers();
    deployment.http.send(gate, booking(key)).await.ok()
}

/// Returns the runs of a booking over all endpoints.
pub async fn runs(deployment: &Deployment, key: &str) -> u32 {
    let path = format!("/book/{key}");
    let mut runs = 0;
    for name in SERVERS {
        let stats: PlainStats = deployment.stats(name).await;
        runs += stats.by_path.get(&path).copied().unwrap_or(0);
    }
    runs
}

pub async fn running(deployment: &Deployment) -> u32 {
    let mut running = 0;
    for name in SERVERS {
        running += deployment.stats::<PlainStats>(name).await.running;
    }
    running
}

pub async fn set_log(deployment: &Deployment, patch: Value) {
    deployment.http.control(deployment.log.http(), &patch).await;
}

pub fn outcome(answer: &Answer) -> String {
    let problem = answer.json();
    problem["outcome"].as_str().unwrap_or_default().to_owned()
}

/// Sends a booking again, as its caller would, until it is answered with 200.
pub async fn book_until_done(deployment: &Deployment, entry: usize, key: &str) -> Answer {
    let begun = Instant::now();
    loop {
        match book(deployment, entry, key).await {
            Some(answer) if answer.status == 200 => return answer,
            other => assert!(begun.elapsed() < LIMIT, "{other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
