//! Tests of the fold over the claims stream.

use hawthornrack_lib::AttemptId;
use hawthornrack_lib::Body;
use hawthornrack_lib::ClaimChange;
use hawthornrack_lib::ClaimKey;
use hawthornrack_lib::ClaimState;
use hawthornrack_lib::ClaimView;
use hawthornrack_lib::CustomerName;
use hawthornrack_lib::Envelope;
use hawthornrack_lib::KEY_LIFETIME;
use hawthornrack_lib::NodeName;
use hawthornrack_lib::Offset;
use hawthornrack_lib::Record;
use hawthornrack_lib::RecordId;
use hawthornrack_lib::ServiceName;
use hawthornrack_lib::StoredReply;
use hawthornrack_lib::Timestamp;
use indexmap::IndexMap;
use proptest::prelude::*;

const DIGEST: u64 = 7;

/// The middle of November 2023.
const START: Timestamp = Timestamp(1_700_000_000_000);

/// A claims stream with its fold.
#[derive(Debug, Default)]
struct Log {
    state: ClaimState,
    next: u64,
    now: Timestamp,
}

impl Log {
    fn new() -> Self {
        let mut log = Self {
            now: START,
            ..Self::default()
        };
        log.pass(0);
        log
    }

    /// Lets time pass, as two writers' records show it.
    fn pass(&mut self, ms: u64) {
        self.now = Timestamp(self.now.0 + ms);
        for gate in ["clock-a", "clock-b"] {
            let change = ClaimChange::Release {
                key: key(gate),
                attempt: attempt(0),
            };
            self.append_from(gate, change);
        }
    }

    fn append(&mut self, change: ClaimChange) {
        self.append_from("gate", change);
    }

    fn append_from(&mut self, writer: &str, change: ClaimChange) {
        let record = Record {
            offset: Offset(self.next),
            envelope: Envelope {
                id: RecordId::random(),
                writer: NodeName::new(writer).unwrap(),
                at: self.now,
                body: Body::Claim(change),
            },
        };
        self.next += 1;
        self.state.apply(&record);
    }

    fn view(&self, number: u128) -> ClaimView {
        self.state.view(&key("k"), DIGEST, attempt(number))
    }
}

fn key(text: &str) -> ClaimKey {
    ClaimKey {
        customer: CustomerName::new("kanem").unwrap(),
        service: ServiceName::new("hire-desk").unwrap(),
        key: text.to_owned(),
    }
}

fn attempt(number: u128) -> AttemptId {
    AttemptId::from_u128(number)
}

fn gate(number: u128) -> NodeName {
    NodeName::new(format!("gate-{number}")).unwrap()
}

fn acquire(number: u128) -> ClaimChange {
    ClaimChange::Acquire {
        key: key("k"),
        attempt: attempt(number),
        gate: gate(number),
        digest: DIGEST,
    }
}

fn release(number: u128) -> ClaimChange {
    ClaimChange::Release {
        key: key("k"),
        attempt: attempt(number),
    }
}

fn abandon(number: u128) -> ClaimChange {
    ClaimChange::Abandon {
        key: key("k"),
        attempt: attempt(number),
    }
}

fn reply(body: &[u8]) -> StoredReply {
    StoredReply {
        status: 200,
        headers: IndexMap::new(),
        body: body.to_vec(),
        omitted: None,
    }
}

fn finish(number: u128) -> ClaimChange {
    ClaimChange::Finish {
        key: key("k"),
        attempt: attempt(number),
        reply: reply(b"booked"),
    }
}

fn held_by(number: u128) -> ClaimView {
    ClaimView::Held {
        attempt: attempt(number),
        gate: gate(number),
    }
}

fn unknown_of(number: u128) -> ClaimView {
    ClaimView::Unknown {
        attempt: attempt(number),
        gate: gate(number),
    }
}

fn finished() -> ClaimView {
    ClaimView::Finished {
        reply: reply(b"booked"),
    }
}

#[test]
fn test_claim_state_first_in_log_order_holds() {
    let mut log = Log::new();
    assert_eq!(log.view(1), ClaimView::Pending);
    log.append(acquire(1));
    log.append(acquire(2));
    assert_eq!(log.view(1), ClaimView::Won);
    assert_eq!(log.view(2), held_by(1));
}

#[test]
fn test_claim_state_loser_is_not_promoted() {
    let mut log = Log::new();
    log.append(acquire(1));
    log.append(acquire(2));
    log.append(release(1));
    log.append(acquire(2));
    assert_eq!(log.view(1), ClaimView::Free);
    assert_eq!(log.view(2), ClaimView::Free);
    log.append(acquire(3));
    assert_eq!(log.view(3), ClaimView::Won);
}

#[test]
fn test_claim_state_release_before_acquisition_bars_the_attempt() {
    let mut log = Log::new();
    log.append(release(1));
    log.append(acquire(1));
    assert_eq!(log.view(1), ClaimView::Free);
    log.append(acquire(2));
    assert_eq!(log.view(2), ClaimView::Won);
    log.append(release(1));
    assert_eq!(log.view(2), ClaimView::Won);
}

#[test]
fn test_claim_state_key_reused_with_another_call() {
    let mut log = Log::new();
    log.append(acquire(1));
    let view = log.state.view(&key("k"), DIGEST + 1, attempt(2));
    assert_eq!(view, ClaimView::KeyReused);
    log.append(finish(1));
    let view = log.state.view(&key("k"), DIGEST + 1, attempt(2));
    assert_eq!(view, ClaimView::KeyReused);
}

#[test]
fn test_claim_state_abandoned_call_never_runs_again() {
    let mut log = Log::new();
    log.append(acquire(1));
    log.append(abandon(2));
    assert_eq!(log.view(1), ClaimView::Won);
    log.append(abandon(1));
    log.append(acquire(3));
    assert_eq!(log.view(3), unknown_of(1));
    log.append(finish(1));
    assert_eq!(log.view(3), finished());
    log.append(release(1));
    assert_eq!(log.view(3), finished());
}

#[test]
fn test_claim_state_abandoned_holder_may_say_that_nothing_was_sent() {
    let mut log = Log::new();
    log.append(acquire(1));
    log.append(abandon(1));
    log.append(release(1));
    log.append(acquire(2));
    assert_eq!(log.view(2), ClaimView::Won);
}

#[test]
fn test_claim_state_keys_expire_by_the_records_time() {
    let mut log = Log::new();
    log.append(acquire(1));
    log.append(finish(1));
    let lifetime = hawthornrack_lib::millis(KEY_LIFETIME);
    log.pass(lifetime - 1);
    assert_eq!(log.view(2), finished());
    log.pass(1);
    assert_eq!(log.view(2), ClaimView::Pending);
    for _ in 0..600 {
        log.pass(0);
    }
    assert!(log.state.entry(&key("k")).is_none());
    assert_eq!(log.state.len(), 2, "the two writers' own keys");
}

#[test]
fn test_claim_state_second_writer_expires_nothing() {
    let mut log = Log {
        now: START,
        ..Log::default()
    };
    log.append_from("gate-1", acquire(1));
    log.append_from("gate-2", acquire(2));
    assert_eq!(log.view(1), ClaimView::Won);
    assert_eq!(log.view(2), held_by(1));
}

#[test]
fn test_claim_state_one_fast_clock_expires_nothing() {
    let mut log = Log::new();
    log.append(acquire(1));
    log.now = Timestamp(log.now.0 + 10 * hawthornrack_lib::millis(KEY_LIFETIME));
    log.append_from("fast", release(9));
    assert_eq!(log.view(2), held_by(1));
}

#[test]
fn test_claim_state_after_a_gap_grants_nothing_until_keys_have_expired() {
    let mut log = Log::new();
    log.state = ClaimState::after_gap();
    log.pass(0);
    log.append(acquire(1));
    assert_eq!(log.view(1), ClaimView::Pending);
    assert!(!log.state.is_whole());
    log.pass(hawthornrack_lib::millis(KEY_LIFETIME));
    assert!(log.state.is_whole());
    log.append(acquire(2));
    assert_eq!(log.view(2), ClaimView::Won);
}

#[test]
fn test_claim_state_large_answers_are_dropped_but_the_run_is_remembered() {
    let mut log = Log::new();
    for number in 0..200 {
        let key = key(&format!("k{number}"));
        let attempt = attempt(number);
        log.append(ClaimChange::Acquire {
            key: key.clone(),
            attempt,
            gate: gate(number),
            digest: DIGEST,
        });
        log.append(ClaimChange::Finish {
            key,
            attempt,
            reply: reply(&vec![0; 256 * 1024]),
        });
    }
    let oldest = log.state.view(&key("k0"), DIGEST, attempt(999));
    let ClaimView::Finished { reply } = oldest else {
        panic!("{oldest:?}");
    };
    assert_eq!(reply.omitted, Some(256 * 1024));
    assert!(reply.body.is_empty());
    let newest = log.state.view(&key("k199"), DIGEST, attempt(999));
    assert!(matches!(newest, ClaimView::Finished { reply } if reply.omitted.is_none()));
}

/// What a gate, or the network between it and the log, may do about an attempt.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The acquisition reaches the log, perhaps again or late.
    Acquire,
    /// The gate reads its verdict and sends the call when it holds the claim.
    Look,
    /// The gate reads its verdict and gives the claim up.
    GiveUp,
    /// A release that the gate wrote reaches the log, perhaps again or late.
    Release,
    /// An answer that the gate wrote reaches the log, perhaps again or late.
    Finish,
    /// Another node gives the attempt's gate up.
    Abandon,
    /// The state goes through a checkpoint.
    Checkpoint,
}

#[derive(Clone, Copy, Debug, Default)]
struct Gate {
    dispatched: bool,
    refused: bool,
}

fn steps() -> impl Strategy<Value = Vec<(Step, u128)>> {
    let step = prop_oneof![
        3 => Just(Step::Acquire),
        3 => Just(Step::Look),
        1 => Just(Step::GiveUp),
        2 => Just(Step::Release),
        1 => Just(Step::Finish),
        1 => Just(Step::Abandon),
        1 => Just(Step::Checkpoint),
    ];
    proptest::collection::vec((step, 0..4u128), 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn test_claim_state_at_most_one_attempt_dispatches(steps in steps()) {
        let mut log = Log {
            now: START,
            ..Log::default()
        };
        let mut gates = [Gate::default(); 4];
        for (step, number) in steps {
            let sender = &mut gates[usize::try_from(number).unwrap()];
            match step {
                Step::Acquire => log.append_from(gate(number).as_str(), acquire(number)),
                Step::Look => {
                    let won = log.view(number) == ClaimView::Won;
                    sender.dispatched |= won && !sender.refused;
                }
                Step::GiveUp => sender.refused |= !sender.dispatched,
                Step::Release if sender.refused => log.append_from(gate(number).as_str(), release(number)),
                Step::Finish if sender.dispatched => log.append_from(gate(number).as_str(), finish(number)),
                Step::Abandon => log.append_from(gate(number).as_str(), abandon(number)),
                Step::Checkpoint => {
                    let text = serde_json::to_string(&log.state).unwrap();
                    log.state = serde_json::from_str(&text).unwrap();
                }
                Step::Release | Step::Finish => {}
            }
            let runs = gates.iter().filter(|g| g.dispatched).count();
            prop_assert!(runs <= 1, "{runs} attempts were sent");
        }
    }
}
