//! A mixed run of faults on calls that may not be repeated.

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

use self::testutils::Answer;
use self::testutils::bookings::SERVERS;
use self::testutils::bookings::book;
use self::testutils::bookings::book_until_done;
use self::testutils::bookings::bookings_with;
use self::testutils::bookings::outcome;
use self::testutils::bookings::runs;
use self::testutils::bookings::set_log;
use self::testutils::deployment::Deployment;
use self::testutils::seed;

/// Time within which a booking must be answered in the mixed run.
const SHORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Rounds of the mixed run.
const ROUNDS: usize = 10;

/// Keys used first in each round of the mixed run.
const ROUND_KEYS: usize = 8;

/// A fault of the mixed run.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The log refuses.
    LogRefuses,
    /// The log is silent.
    LogSilent,
    /// Answers of the log to appends are lost after they took effect.
    LogAnswersLost,
    /// A link of the proxy is in a mode.
    Link(&'static str, LinkMode),
    /// A controller is paused.
    PausedController,
    /// A gate is paused.
    PausedGate,
}

const FAULTS: [Fault; 10] = [
    Fault::LogRefuses,
    Fault::LogSilent,
    Fault::LogAnswersLost,
    Fault::Link("log", LinkMode::DropAnswers),
    Fault::Link("endpoint", LinkMode::DropAnswers),
    Fault::Link("endpoint", LinkMode::Freeze),
    Fault::Link("gate", LinkMode::DropAnswers),
    Fault::Link("rpc", LinkMode::Freeze),
    Fault::PausedController,
    Fault::PausedGate,
];

async fn begin_fault(deployment: &Deployment, fault: Fault, index: usize) {
    match fault {
        Fault::LogRefuses => set_log(deployment, json!({"outage": "refuse"})).await,
        Fault::LogSilent => set_log(deployment, json!({"outage": "silent"})).await,
        Fault::LogAnswersLost => {
            set_log(deployment, json!({"lose_answers": 5, "only": "claims"})).await;
        }
        Fault::Link("endpoint", mode) => {
            let link = format!("endpoint-{}", SERVERS[index % SERVERS.len()]);
            deployment.proxy.set_mode(&link, mode).await;
        }
        Fault::Link(kind, mode) => {
            let link = format!("{kind}-{index}");
            deployment.proxy.set_mode(&link, mode).await;
        }
        Fault::PausedController => deployment.entries[index].controller.pause(),
        Fault::PausedGate => deployment.entries[index].gate.pause(),
    }
}

async fn end_faults(deployment: &Deployment) {
    for entry in &deployment.entries {
        entry.controller.resume();
        entry.gate.resume();
    }
    deployment.proxy.set_modes("", LinkMode::Pass).await;
    set_log(deployment, json!({"outage": "off", "lose_answers": 0})).await;
}

/// What the caller of a booking has seen.
#[derive(Debug, Default)]
struct Booking {
    answers: Vec<Value>,
    not_run: u32,
    other: u32,
}

impl Booking {
    fn note(&mut self, answer: Option<Answer>) {
        match answer {
            Some(answer) if answer.status == 200 => self.answers.push(answer.json()),
            Some(answer) if outcome(&answer) == "not_run" => self.not_run += 1,
            _ => self.other += 1,
        }
    }
}

#[tokio::test]
async fn test_once_refusals_are_true_and_keys_run_once_under_random_faults() {
    let mut rng = SmallRng::seed_from_u64(seed(7));
    let deployment = bookings_with(3, KeySupport::Ignored, 20, "", SHORT_TIMEOUT).await;
    let mut bookings: BTreeMap<String, Booking> = BTreeMap::new();
    for round in 0..ROUNDS {
        for _ in 0..2 {
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            let index = rng.random_range(0..deployment.entries.len());
            println!("round {round}: {fault:?} {index}");
            begin_fault(&deployment, fault, index).await;
        }
        let mut keys: Vec<String> = (0..ROUND_KEYS).map(|n| format!("k{round}-{n}")).collect();
        keys.extend((0..round).map(|old| format!("k{old}-{}", round % ROUND_KEYS)));
        let sends = keys.iter().flat_map(|key| {
            let first = rng.random_range(0..3);
            let second = rng.random_range(0..3);
            [(key, first), (key, second)]
        });
        let deployment = &deployment;
        let sends = sends.map(|(key, entry)| async move {
            let answer = book(deployment, entry, key).await;
            (key, answer)
        });
        let all: Vec<_> = sends.collect();
        let answers = tokio::time::timeout(SHORT_TIMEOUT * 2, join_all(all)).await;
        end_faults(deployment).await;
        match answers {
            Ok(answers) => {
                for (key, answer) in answers {
                    bookings.entry(key.clone()).or_default().note(answer);
                }
            }
            Err(_) => {
                for key in &keys {
                    bookings.entry(key.clone()).or_default().other += 1;
                }
            }
        }
    }
    tokio::time::sleep(SHORT_TIMEOUT).await;
    for (key, booking) in &bookings {
        let runs = runs(&deployment, key).await;
        println!(
            "{key}: {runs} runs, {} answers, {} not run, {} other",
            booking.answers.len(),
            booking.not_run,
            booking.other
        );
        assert!(runs <= 1, "{key} ran {runs} times");
        if booking.answers.is_empty() && booking.other == 0 {
            assert_eq!(runs, 0, "{key} was refused as not run and ran");
        }
        if let Some(first) = booking.answers.first() {
            assert_eq!(runs, 1, "{key}");
            assert!(booking.answers.iter().all(|a| a == first), "{key}");
        }
    }
    let refused = bookings
        .iter()
        .filter(|(_, b)| b.answers.is_empty() && b.other == 0);
    for (key, _) in refused {
        book_until_done(&deployment, 0, key).await;
        assert_eq!(runs(&deployment, key).await, 1, "{key}");
    }
}
