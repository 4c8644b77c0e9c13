//! The time line of events over all processes.

mod testutils;

use std::time::Duration;

use hawthornrack_lab::generate_text;
use hawthornrack_lib::Event;
use hawthornrack_lib::ServiceKind;
use hawthornrack_lib::TimelineFilter;
use hyper::Method;
use serde_json::Value;
use serde_json::json;

use testutils::Call;
use testutils::LIMIT;
use testutils::deployment::Deployment;
use testutils::deployment::TOKEN;
use testutils::deployment::entry_vm;
use testutils::deployment::service;
use testutils::in_force::timeline;
use testutils::tokens::open_stream;
use testutils::tokens::read_rest;
use testutils::wait_until;

/// Tokens of an answer.
const TOKENS: u32 = 400;

/// Time within which a process's events are kept by another one.
const RELAY_LIMIT: Duration = Duration::from_secs(3);

fn by_id(id: &str) -> TimelineFilter {
    TimelineFilter {
        id: Some(id.to_owned()),
        ..TimelineFilter::default()
    }
}

/// Returns the place of an event in a time line.
fn place(events: &[Event], process: &str, what: &str) -> Option<usize> {
    events
        .iter()
        .position(|e| e.process == process && e.what == what)
}

#[tokio::test]
async fn test_timeline_shows_a_reclaim_across_processes() {
    let deployment = Deployment::with_slow_engine(2).await;
    let callers = deployment.entries[0].callers();
    let body = json!({"model": "m", "prompt": "a b", "max_tokens": TOKENS, "stream": true});
    let call = Call::post("/tutor/v1/completions", &body).bearer(TOKEN);
    let mut stream = open_stream(&deployment.http, callers, &call).await;
    let mut text = String::new();
    let mut position = 0;
    let mut request = String::new();
    let mut noticed = false;
    let told = loop {
        let event = stream.next(LIMIT).await.expect("the stream is handed over");
        if event.event == "handover" {
            let data: Value = serde_json::from_str(&event.data).unwrap();
            break data;
        }
        assert_ne!(event.event, "error", "{}", event.data);
        if event.id.is_empty() {
            continue;
        }
        position += 1;
        text.push_str(&event.text());
        let chunk: Value = serde_json::from_str(&event.data).unwrap();
        chunk["id"].as_str().unwrap().clone_into(&mut request);
        if position >= 5 && !noticed {
            noticed = true;
            deployment.give_notice(&entry_vm(0), 4_000).await;
        }
    };
    let location = told["location"].as_str().unwrap();
    let rest = location.strip_prefix("http://").unwrap();
    let (address, path) = rest.split_once('/').unwrap();
    let call = Call::post(&format!("/{path}"), &body)
        .bearer(TOKEN)
        .header("x-resume-token", told["resume_token"].as_str().unwrap())
        .header("last-event-id", &position.to_string());
    let mut stream = deployment
        .http
        .stream(address.parse().unwrap(), call)
        .await
        .unwrap();
    let rest = read_rest(&mut stream, position).await;
    assert_eq!(text + &rest, generate_text("a b", TOKENS));

    let events = timeline(&deployment, 1, &by_id(&request)).await.events;
    let dispatched = place(&events, "gate/entry-0", "request.dispatched");
    let taken_over = place(&events, "gate/entry-1", "request.taken_over");
    assert!(
        dispatched.is_some() && dispatched < taken_over,
        "{events:#?}"
    );
    let events = timeline(&deployment, 1, &by_id(&entry_vm(0))).await.events;
    let leaving = events.iter().find(|e| e.what == "vm.leaving");
    let leaving = leaving.expect("a controller has recorded the notice");
    assert!(leaving.process.starts_with("controller/"));
}

#[tokio::test]
async fn test_timeline_keeps_the_events_of_killed_processes() {
    let mut deployment = Deployment::start(3).await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    let desk = service("desk", ServiceKind::Plain, Vec::new());
    deployment.declare(&[desk]).await;
    let callers = deployment.entries[2].callers();
    let call = Call::new(Method::GET, "/desk/look").bearer(TOKEN);
    let answer = deployment.http.send(callers, call).await.unwrap();
    assert_eq!(answer.status, 200);
    let has = async |process: &str, what: &str| {
        let events = timeline(&deployment, 0, &TimelineFilter::default()).await;
        place(&events.events, process, what).is_some()
    };
    assert!(has("gate/entry-2", "request.dispatched").await);
    // The gate dies: its own controller keeps its events.
    tokio::time::sleep(RELAY_LIMIT).await;
    deployment.entries[2].gate.kill();
    let kept = async || {
        let events = timeline(&deployment, 0, &TimelineFilter::default()).await;
        assert!(events.missing.len() <= 2, "{:?}", events.missing);
        place(&events.events, "gate/entry-2", "request.dispatched").is_some()
    };
    wait_until("the dead gate's events are shown", RELAY_LIMIT, kept).await;
    // The controller dies as well: a peer keeps its state changes.
    deployment.entries[2].controller.kill();
    for index in 0..2 {
        let kept = async || {
            let events = timeline(&deployment, index, &TimelineFilter::default()).await;
            place(&events.events, "controller/entry-2", "config.applied").is_some()
        };
        wait_until("the dead controller's events are shown", RELAY_LIMIT, kept).await;
    }
}
