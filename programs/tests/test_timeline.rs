//! Process tests of the timeline, which merges the events of all processes.

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
use testutils::TIMEOUT;
use testutils::completions::open_stream;
use testutils::completions::read_rest;
use testutils::deployment::Deployment;
use testutils::deployment::TOKEN;
use testutils::deployment::entry_vm;
use testutils::deployment::service;
use testutils::in_force::timeline;
use testutils::wait_until;

/// Number of tokens in the response. At 20 ms each it takes 8 s, longer than the notice period.
const RESPONSE_TOKENS: u32 = 400;

/// Time within which another process must hold a copy of a process's events.
const RELAY_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns a filter for the events about one identifier.
fn filter_by_id(id: &str) -> TimelineFilter {
    TimelineFilter {
        id: Some(id.to_owned()),
        ..TimelineFilter::default()
    }
}

/// Returns the index of the first event of type `what` that a process recorded.
fn event_index(events: &[Event], process: &str, what: &str) -> Option<usize> {
    events
        .iter()
        .position(|e| e.process == process && e.what == what)
}

#[tokio::test]
async fn test_timeline_shows_a_reclaim_across_processes() {
    let deployment = Deployment::with_slow_engine(2).await;
    let gate_address = deployment.entries[0].gate_address();
    let body =
        json!({"model": "m", "prompt": "a b", "max_tokens": RESPONSE_TOKENS, "stream": true});
    let call = Call::post("/tutor/v1/completions", &body).bearer(TOKEN);
    let mut stream = open_stream(&deployment.http, gate_address, &call).await;
    let mut text = String::new();
    let mut last_token = 0;
    let mut request_id = String::new();
    let mut notice_given = false;
    let handover = loop {
        let event = stream
            .next(TIMEOUT)
            .await
            .expect("a stream must not end before its handover");
        if event.event == "handover" {
            let data: Value = serde_json::from_str(&event.data).unwrap();
            break data;
        }
        assert_ne!(event.event, "error", "{}", event.data);
        if event.id.is_empty() {
            continue;
        }
        last_token += 1;
        text.push_str(&event.text());
        let chunk: Value = serde_json::from_str(&event.data).unwrap();
        chunk["id"].as_str().unwrap().clone_into(&mut request_id);
        if last_token >= 5 && !notice_given {
            notice_given = true;
            deployment.announce_reclaim(&entry_vm(0), 4_000).await;
        }
    };
    let location = handover["location"].as_str().unwrap();
    let target = location.strip_prefix("http://").unwrap();
    let (address, path) = target.split_once('/').unwrap();
    let call = Call::post(&format!("/{path}"), &body)
        .bearer(TOKEN)
        .header("x-resume-token", handover["resume_token"].as_str().unwrap())
        .header("last-event-id", &last_token.to_string());
    let mut stream = deployment
        .http
        .stream(address.parse().unwrap(), call)
        .await
        .unwrap();
    let remaining_text = read_rest(&mut stream, last_token).await;
    assert_eq!(
        text + &remaining_text,
        generate_text("a b", RESPONSE_TOKENS)
    );

    let events = timeline(&deployment, 1, &filter_by_id(&request_id))
        .await
        .events;
    let dispatched = event_index(&events, "gate/entry-0", "request.dispatched");
    let taken_over = event_index(&events, "gate/entry-1", "request.taken_over");
    assert!(
        dispatched.is_some() && dispatched < taken_over,
        "{events:#?}"
    );
    let events = timeline(&deployment, 1, &filter_by_id(&entry_vm(0)))
        .await
        .events;
    let leaving = events.iter().find(|e| e.what == "vm.leaving");
    let leaving = leaving.expect("a controller must have recorded the notice");
    assert!(leaving.process.starts_with("controller/"));
}

#[tokio::test]
async fn test_timeline_keeps_the_events_of_killed_processes() {
    let mut deployment = Deployment::start(3).await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    let desk = service("desk", ServiceKind::Plain, Vec::new());
    deployment.declare(&[desk]).await;
    let gate_address = deployment.entries[2].gate_address();
    let call = Call::new(Method::GET, "/desk/look").bearer(TOKEN);
    let response = deployment.http.send(gate_address, call).await.unwrap();
    assert_eq!(response.status, 200);
    let has_event = async |process: &str, what: &str| {
        let events = timeline(&deployment, 0, &TimelineFilter::default()).await;
        event_index(&events.events, process, what).is_some()
    };
    assert!(has_event("gate/entry-2", "request.dispatched").await);
    // Within this time, the gate's events reach its own controller, which still has them after the
    // gate is killed.
    tokio::time::sleep(RELAY_TIMEOUT).await;
    deployment.entries[2].gate.kill();
    let is_dispatch_shown = async || {
        let events = timeline(&deployment, 0, &TimelineFilter::default()).await;
        assert!(
            events.missing.len() <= 2,
            "events are missing from {:?}",
            events.missing
        );
        event_index(&events.events, "gate/entry-2", "request.dispatched").is_some()
    };
    wait_until(
        "the killed gate's events are shown",
        RELAY_TIMEOUT,
        is_dispatch_shown,
    )
    .await;
    // After the controller is killed too, its peers still have its state changes.
    deployment.entries[2].controller.kill();
    for index in 0..2 {
        let is_apply_shown = async || {
            let events = timeline(&deployment, index, &TimelineFilter::default()).await;
            event_index(&events.events, "controller/entry-2", "config.applied").is_some()
        };
        wait_until(
            "the killed controller's events are shown",
            RELAY_TIMEOUT,
            is_apply_shown,
        )
        .await;
    }
}
