//! Tests of the fold over the claims stream.

use hawthornrack_lib::AttemptId;
use hawthornrack_lib::Body;
use hawthornrack_lib::ClaimChange;
use hawthornrack_lib::ClaimKey;
use hawthornrack_lib::ClaimState;
use hawthornrack_lib::ClaimView;
use hawthornrack_lib::CustomerName;
use hawthornrack_lib::Envelope;
use hawthornrack_lib::KEY_RETENTION;
use hawthornrack_lib::NodeName;
use hawthornrack_lib::Offset;
use hawthornrack_lib::Record;
use hawthornrack_lib::RecordId;
use hawthornrack_lib::ServiceName;
use hawthornrack_lib::StoredResponse;
use hawthornrack_lib::Timestamp;
use indexmap::IndexMap;
use proptest::prelude::*;

/// Digest of the call with key `k`.
const DIGEST: u64 = 7;

/// Arbitrary start time (2023-11-14 22:13:20 UTC).
const START: Timestamp = Timestamp(1_700_000_000_000);

/// A claims stream with the state that its records fold into.
#[derive(Debug, Default)]
struct ClaimsLog {
    state: ClaimState,
    next: u64,
    now: Timestamp,
}

impl ClaimsLog {
    fn new() -> Self {
        let mut log = Self {
            now: START,
            ..Self::default()
        };
        log.advance(0);
        log
    }

    /// Advances the time and appends a record by each of two writers, since the fold clock follows
    /// the newest time that two writers have reached.
    fn advance(&mut self, ms: u64) {
        self.now = Timestamp(self.now.0 + ms);
        for writer in ["clock-a", "clock-b"] {
            let change = ClaimChange::Release {
                key: key(writer),
                attempt: attempt(0),
            };
            self.append_from(writer, change);
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

/// Returns the acquisition by attempt `number`, which the gate on node `gate-{number}` makes.
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

fn reply(body: &[u8]) -> StoredResponse {
    StoredResponse {
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

fn held_view(number: u128) -> ClaimView {
    ClaimView::Held {
        attempt: attempt(number),
        gate: gate(number),
    }
}

fn unknown_view(number: u128) -> ClaimView {
    ClaimView::Unknown {
        attempt: attempt(number),
        gate: gate(number),
    }
}

fn finished_view() -> ClaimView {
    ClaimView::Finished {
        reply: reply(b"booked"),
    }
}

/// Guards against two gates that both win a claim when their acquisitions reach the log together.
#[test]
fn test_claim_state_first_in_log_order_holds() {
    let mut log = ClaimsLog::new();
    assert_eq!(log.view(1), ClaimView::Pending);
    log.append(acquire(1));
    log.append(acquire(2));
    assert_eq!(log.view(1), ClaimView::Won);
    assert_eq!(log.view(2), held_view(1));
}

/// Guards against a refused attempt that acquires the claim after all: its acquisition is appended
/// again after the holder's release, when its gate has already responded to the caller that the
/// call was not run.
#[test]
fn test_claim_state_loser_is_not_promoted() {
    let mut log = ClaimsLog::new();
    log.append(acquire(1));
    log.append(acquire(2));
    log.append(release(1));
    log.append(acquire(2));
    assert_eq!(log.view(1), ClaimView::Free);
    assert_eq!(log.view(2), ClaimView::Free);
    log.append(acquire(3));
    assert_eq!(log.view(3), ClaimView::Won);
}

/// Guards against an acquisition that reaches the log after its own release and blocks the key,
/// and against a repeated release that frees another attempt's claim.
#[test]
fn test_claim_state_release_before_acquisition_bars_the_attempt() {
    let mut log = ClaimsLog::new();
    log.append(release(1));
    log.append(acquire(1));
    assert_eq!(log.view(1), ClaimView::Free);
    log.append(acquire(2));
    assert_eq!(log.view(2), ClaimView::Won);
    log.append(release(1));
    assert_eq!(log.view(2), ClaimView::Won);
}

/// Guards against the response to one call being given to a different call with the same key.
#[test]
fn test_claim_state_key_reused_with_another_call() {
    let mut log = ClaimsLog::new();
    log.append(acquire(1));
    let view = log.state.view(&key("k"), DIGEST + 1, attempt(2));
    assert_eq!(view, ClaimView::KeyReused);
    log.append(finish(1));
    let view = log.state.view(&key("k"), DIGEST + 1, attempt(2));
    assert_eq!(view, ClaimView::KeyReused);
}

/// Guards against a second run of a call whose gate was lost and may have run it, and against a
/// late release that discards a known response.
#[test]
fn test_claim_state_abandoned_call_never_runs_again() {
    let mut log = ClaimsLog::new();
    log.append(acquire(1));
    log.append(abandon(2));
    assert_eq!(log.view(1), ClaimView::Won);
    log.append(abandon(1));
    log.append(acquire(3));
    assert_eq!(log.view(3), unknown_view(1));
    log.append(finish(1));
    assert_eq!(log.view(3), finished_view());
    log.append(release(1));
    assert_eq!(log.view(3), finished_view());
}

/// Guards against a key that stays blocked although the gate that held the claim reports that it
/// never sent the call: another node had abandoned the attempt before.
#[test]
fn test_claim_state_abandoned_holder_may_release() {
    let mut log = ClaimsLog::new();
    log.append(acquire(1));
    log.append(abandon(1));
    log.append(release(1));
    log.append(acquire(2));
    assert_eq!(log.view(2), ClaimView::Won);
}

/// Guards against keys that are dropped before their retention period ends, and against keys that
/// are never dropped.
#[test]
fn test_claim_state_keys_expire_by_record_time() {
    let mut log = ClaimsLog::new();
    log.append(acquire(1));
    log.append(finish(1));
    let retention_ms = hawthornrack_lib::millis(KEY_RETENTION);
    log.advance(retention_ms - 1);
    assert_eq!(log.view(2), finished_view());
    log.advance(1);
    assert_eq!(log.view(2), ClaimView::Pending);
    // Appends 1200 records, since expired keys are removed once every 1024 offsets.
    for _ in 0..600 {
        log.advance(0);
    }
    assert!(log.state.entry(&key("k")).is_none());
    assert_eq!(
        log.state.len(),
        2,
        "only the keys of the two clock writers are left"
    );
}

/// Guards against a claim that expires when the fold clock first advances: the second writer's
/// record moves the clock from zero to the first writer's time, at which the claim was acquired.
#[test]
fn test_claim_state_second_writer_expires_nothing() {
    let mut log = ClaimsLog {
        now: START,
        ..ClaimsLog::default()
    };
    log.append_from("gate-1", acquire(1));
    log.append_from("gate-2", acquire(2));
    assert_eq!(log.view(1), ClaimView::Won);
    assert_eq!(log.view(2), held_view(1));
}

/// Guards against one writer with a fast clock that expires claims still in use.
#[test]
fn test_claim_state_one_fast_clock_expires_nothing() {
    let mut log = ClaimsLog::new();
    log.append(acquire(1));
    log.now = Timestamp(log.now.0 + 10 * hawthornrack_lib::millis(KEY_RETENTION));
    log.append_from("fast", release(9));
    assert_eq!(log.view(2), held_view(1));
}

/// Guards against a second run of a call whose claim records had been removed from the log before
/// this state could read them.
#[test]
fn test_claim_state_after_a_gap_grants_nothing_until_keys_have_expired() {
    let mut log = ClaimsLog::new();
    log.state = ClaimState::after_gap();
    log.advance(0);
    log.append(acquire(1));
    assert_eq!(log.view(1), ClaimView::Pending);
    assert!(!log.state.is_complete());
    log.advance(hawthornrack_lib::millis(KEY_RETENTION));
    assert!(log.state.is_complete());
    log.append(acquire(2));
    assert_eq!(log.view(2), ClaimView::Won);
}

/// Guards against unbounded memory for stored responses, and against losing the fact that a call
/// has run when its body is dropped.
#[test]
fn test_claim_state_oldest_bodies_are_dropped_but_calls_stay_finished() {
    let mut log = ClaimsLog::new();
    // 200 bodies of 256 KiB exceed the maximum total of 32 MiB, so the oldest ones are dropped.
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

/// An action of a gate, of another node or of the network between a gate and the log.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The acquisition reaches the log, possibly repeated or late.
    Acquire,
    /// The gate reads its view of the claim and dispatches the call if it holds the claim.
    Dispatch,
    /// The gate gives the claim up unless it has dispatched the call.
    Withdraw,
    /// A release that the gate wrote reaches the log, possibly repeated or late.
    Release,
    /// A response that the gate wrote reaches the log, possibly repeated or late.
    Finish,
    /// Another node abandons the attempt, as its gate counts as lost.
    Abandon,
    /// The state is saved to a checkpoint and restored from it.
    Checkpoint,
}

/// What a simulated gate has done about its attempt.
#[derive(Clone, Copy, Debug, Default)]
struct SimulatedGate {
    dispatched: bool,
    withdrawn: bool,
}

fn steps() -> impl Strategy<Value = Vec<(Step, u128)>> {
    let step = prop_oneof![
        3 => Just(Step::Acquire),
        3 => Just(Step::Dispatch),
        1 => Just(Step::Withdraw),
        2 => Just(Step::Release),
        1 => Just(Step::Finish),
        1 => Just(Step::Abandon),
        1 => Just(Step::Checkpoint),
    ];
    proptest::collection::vec((step, 0..4u128), 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards against a call that runs twice because log records are repeated, delayed or
    /// reordered, or because a node restores its state from a checkpoint.
    #[test]
    fn test_claim_state_at_most_one_attempt_dispatches(steps in steps()) {
        let mut log = ClaimsLog {
            now: START,
            ..ClaimsLog::default()
        };
        let mut gates = [SimulatedGate::default(); 4];
        for (step, number) in steps {
            let simulated_gate = &mut gates[usize::try_from(number).unwrap()];
            match step {
                Step::Acquire => log.append_from(gate(number).as_str(), acquire(number)),
                Step::Dispatch => {
                    let won = log.view(number) == ClaimView::Won;
                    simulated_gate.dispatched |= won && !simulated_gate.withdrawn;
                }
                Step::Withdraw => simulated_gate.withdrawn |= !simulated_gate.dispatched,
                Step::Release if simulated_gate.withdrawn =>
                    log.append_from(gate(number).as_str(), release(number)),
                Step::Finish if simulated_gate.dispatched =>
                    log.append_from(gate(number).as_str(), finish(number)),
                Step::Abandon => log.append_from(gate(number).as_str(), abandon(number)),
                Step::Checkpoint => {
                    let text = serde_json::to_string(&log.state).unwrap();
                    log.state = serde_json::from_str(&text).unwrap();
                }
                Step::Release | Step::Finish => {}
            }
            let dispatched = gates.iter().filter(|g| g.dispatched).count();
            prop_assert!(dispatched <= 1, "{dispatched} attempts dispatched the call");
        }
    }
}
