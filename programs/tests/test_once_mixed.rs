//! Process test of at-most-once calls under random faults.
//!
//! `HAWTHORN_SEED` sets the seed from which the faults are drawn.

mod testutils;

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future::join_all;
use hawthornrack_lab::LinkMode;
use hawthornrack_lib::KeySupport;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;

use self::testutils::HttpResponse;
use self::testutils::bookings::ENDPOINTS;
use self::testutils::bookings::book;
use self::testutils::bookings::book_until_ok;
use self::testutils::bookings::configure_log;
use self::testutils::bookings::count_runs;
use self::testutils::bookings::outcome;
use self::testutils::bookings::start_bookings_with;
use self::testutils::deployment::Deployment;
use self::testutils::seed;

/// Timeout of the booking route; a round waits for its responses for up to twice this time.
const BOOKING_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of rounds, each with two faults.
const ROUNDS: usize = 10;

/// Number of keys that are first used in each round.
const KEYS_PER_ROUND: usize = 8;

/// A fault of one round.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The log refuses requests.
    LogRefuses,
    /// The log stops responding.
    LogSilent,
    /// The log executes some appends and loses the responses.
    LogResponsesLost,
    /// The link of this kind (the prefix of its name) of the drawn entry or endpoint is set to a
    /// mode.
    Link(&'static str, LinkMode),
    /// A controller is paused.
    ControllerPaused,
    /// A gate is paused.
    GatePaused,
}

/// Faults from which each round draws two.
const FAULTS: [Fault; 10] = [
    Fault::LogRefuses,
    Fault::LogSilent,
    Fault::LogResponsesLost,
    Fault::Link("log", LinkMode::DropAnswers),
    Fault::Link("endpoint", LinkMode::DropAnswers),
    Fault::Link("endpoint", LinkMode::Freeze),
    Fault::Link("gate", LinkMode::DropAnswers),
    Fault::Link("rpc", LinkMode::Freeze),
    Fault::ControllerPaused,
    Fault::GatePaused,
];

/// Injects a fault at the entry or endpoint with the given index. Faults of the log stand-in itself
/// do not use the index.
async fn inject_fault(deployment: &Deployment, fault: Fault, index: usize) {
    match fault {
        Fault::LogRefuses => configure_log(deployment, json!({"outage": "refuse"})).await,
        Fault::LogSilent => configure_log(deployment, json!({"outage": "silent"})).await,
        Fault::LogResponsesLost => {
            configure_log(deployment, json!({"lose_answers": 5, "only": "claims"})).await;
        }
        Fault::Link("endpoint", mode) => {
            let link = format!("endpoint-{}", ENDPOINTS[index % ENDPOINTS.len()]);
            deployment.proxy.set_mode(&link, mode).await;
        }
        Fault::Link(kind, mode) => {
            let link = format!("{kind}-{index}");
            deployment.proxy.set_mode(&link, mode).await;
        }
        Fault::ControllerPaused => deployment.entries[index].controller.pause(),
        Fault::GatePaused => deployment.entries[index].gate.pause(),
    }
}

/// Ends all faults.
async fn clear_faults(deployment: &Deployment) {
    for entry in &deployment.entries {
        entry.controller.resume();
        entry.gate.resume();
    }
    deployment.proxy.set_modes("", LinkMode::Pass).await;
    configure_log(deployment, json!({"outage": "off", "lose_answers": 0})).await;
}

/// Results of the sends of one booking.
#[derive(Debug, Default)]
struct Booking {
    /// Bodies of the responses with status 200.
    responses: Vec<Value>,
    /// Number of responses with outcome `not_run`.
    refused: u32,
    /// Number of sends without a response of either kind, after which the booking may have run. A
    /// timeout of the whole round counts as one.
    unknown: u32,
}

impl Booking {
    fn record(&mut self, response: Option<HttpResponse>) {
        match response {
            Some(response) if response.status == 200 => self.responses.push(response.json()),
            Some(response) if outcome(&response) == "not_run" => self.refused += 1,
            _ => self.unknown += 1,
        }
    }
}

#[tokio::test]
async fn test_once_refusals_are_accurate_and_keys_run_once_under_random_faults() {
    let mut rng = SmallRng::seed_from_u64(seed(7));
    let deployment = start_bookings_with(3, KeySupport::Ignored, 20, "", BOOKING_TIMEOUT).await;
    let mut bookings: BTreeMap<String, Booking> = BTreeMap::new();
    for round in 0..ROUNDS {
        for _ in 0..2 {
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            let index = rng.random_range(0..deployment.entries.len());
            println!("round {round}: {fault:?} at index {index}");
            inject_fault(&deployment, fault, index).await;
        }
        let mut keys: Vec<String> = (0..KEYS_PER_ROUND)
            .map(|n| format!("k{round}-{n}"))
            .collect();
        keys.extend((0..round).map(|old| format!("k{old}-{}", round % KEYS_PER_ROUND)));
        let sends = keys.iter().flat_map(|key| {
            let first = rng.random_range(0..3);
            let second = rng.random_range(0..3);
            [(key, first), (key, second)]
        });
        let deployment = &deployment;
        let sends = sends.map(|(key, entry)| async move {
            let response = book(deployment, entry, key).await;
            (key, response)
        });
        let all: Vec<_> = sends.collect();
        let responses = tokio::time::timeout(BOOKING_TIMEOUT * 2, join_all(all)).await;
        clear_faults(deployment).await;
        match responses {
            Ok(responses) => {
                for (key, response) in responses {
                    bookings.entry(key.clone()).or_default().record(response);
                }
            }
            Err(_) => {
                for key in &keys {
                    bookings.entry(key.clone()).or_default().unknown += 1;
                }
            }
        }
    }
    tokio::time::sleep(BOOKING_TIMEOUT).await;
    for (key, booking) in &bookings {
        let runs = count_runs(&deployment, key).await;
        println!(
            "{key}: {runs} runs, {} responses with status 200, {} refused as not run, {} unknown",
            booking.responses.len(),
            booking.refused,
            booking.unknown
        );
        assert!(runs <= 1, "{key} ran {runs} times");
        if booking.responses.is_empty() && booking.unknown == 0 {
            assert_eq!(runs, 0, "{key} ran although it was refused as not run");
        }
        if let Some(first) = booking.responses.first() {
            assert_eq!(runs, 1, "{key}");
            assert!(booking.responses.iter().all(|r| r == first), "{key}");
        }
    }
    let refused = bookings
        .iter()
        .filter(|(_, b)| b.responses.is_empty() && b.unknown == 0);
    for (key, _) in refused {
        book_until_ok(&deployment, 0, key).await;
        assert_eq!(count_runs(&deployment, key).await, 1, "{key}");
    }
}
