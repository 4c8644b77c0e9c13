//! Tests of the lease state, the decision on leases and the time for which a holder may act.

use std::time::Duration;

use hawthornrack_lib::Body;
use hawthornrack_lib::Duty;
use hawthornrack_lib::Envelope;
use hawthornrack_lib::Epoch;
use hawthornrack_lib::Lease;
use hawthornrack_lib::LeaseChange;
use hawthornrack_lib::LeaseInput;
use hawthornrack_lib::LeaseState;
use hawthornrack_lib::LeaseStep;
use hawthornrack_lib::LeaseTracker;
use hawthornrack_lib::Offset;
use hawthornrack_lib::Record;
use hawthornrack_lib::RecordId;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::decide_lease;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use tokio::time::Instant;

const TERM: Duration = Duration::from_secs(6);
const MARGIN: Duration = Duration::from_secs(1);
const MAX_ORDER_TIME: Duration = Duration::from_secs(1);

/// Simulated time of one run.
const SIMULATED_TIME: Duration = Duration::from_mins(2);

/// Simulated time between two steps of a run.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Number of simulation runs; the seeds are the numbers from zero.
const RUN_COUNT: u64 = 300;

fn duty() -> Duty {
    Duty::Service("tutor-llm".parse().unwrap())
}

fn record(offset: u64, writer: &str, change: LeaseChange) -> Record {
    Record {
        offset: Offset(offset),
        envelope: Envelope {
            id: RecordId::random(),
            writer: writer.parse().unwrap(),
            at: Timestamp(0),
            body: Body::Lease(change),
        },
    }
}

fn acquire(next_unread: u64) -> LeaseChange {
    LeaseChange::Acquire {
        duty: duty(),
        next_unread: Offset(next_unread),
        term: TERM,
    }
}

fn renew(epoch: u64) -> LeaseChange {
    LeaseChange::Renew {
        duty: duty(),
        epoch: Epoch(epoch),
        term: TERM,
    }
}

fn release(epoch: u64) -> LeaseChange {
    LeaseChange::Release {
        duty: duty(),
        epoch: Epoch(epoch),
    }
}

fn fold(records: &[Record]) -> Lease {
    let mut state = LeaseState::default();
    for record in records {
        state.apply(record);
    }
    state.get(&duty()).unwrap().clone()
}

/// Guards against two holders: a candidate requests the lease without having read the holder's
/// latest renewal, and must be refused.
#[test]
fn test_lease_candidate_with_outdated_offset_is_refused() {
    let lease = fold(&[
        record(0, "a", acquire(0)),
        record(1, "a", renew(0)),
        record(2, "b", acquire(1)),
    ]);
    assert_eq!((lease.epoch, lease.holder.as_str()), (Epoch(0), "a"));
    assert_eq!(lease.last, Offset(1));
}

/// Guards against a previous holder that takes the lease back: its delayed renewal and release are
/// appended after a candidate that had read the whole log was granted the lease.
#[test]
fn test_lease_up_to_date_candidate_acquires_and_old_renewals_are_refused() {
    let lease = fold(&[
        record(0, "a", acquire(0)),
        record(1, "b", acquire(1)),
        record(2, "a", renew(0)),
        record(3, "a", release(0)),
    ]);
    assert_eq!((lease.epoch, lease.holder.as_str()), (Epoch(1), "b"));
    assert!(!lease.released);
}

/// Guards against a retried append that grants a lease twice: the same record is in the log at two
/// offsets, and the second one must not raise the epoch.
#[test]
fn test_lease_repeated_append_has_no_effect() {
    let first = record(0, "a", acquire(0));
    let repeat = Record {
        offset: Offset(1),
        ..first.clone()
    };
    let lease = fold(&[first, repeat]);
    assert_eq!(lease.epoch, Epoch(0));
    assert_eq!(lease.last, Offset(0));
}

/// Guards against nodes that disagree on the holder because older records have been removed from
/// the log: computes the state from different starting records.
#[test]
fn test_lease_state_does_not_depend_on_first_record() {
    let records = [
        record(0, "a", acquire(0)),
        record(1, "a", renew(0)),
        record(2, "b", acquire(2)),
        record(3, "a", renew(0)),
        record(4, "b", renew(2)),
        record(5, "c", acquire(4)),
    ];
    let expected = fold(&records);
    for start in 1..=4 {
        assert_eq!(fold(&records[start..]), expected, "from {start}");
    }
}

/// Guards against acquiring a lease too early: while the holder may still act, while one of its
/// orders is in flight, or before a candidate that ranks first has had one term to acquire it.
/// Nodes that are leaving or are not candidates must never acquire it. `released` is `None` if
/// there is no lease.
#[rstest]
#[case::no_lease(None, 0, 0, LeaseStep::Acquire)]
#[case::no_lease_second_candidate(None, 5999, 1, LeaseStep::Wait)]
#[case::no_lease_second_candidate_later(None, 6000, 1, LeaseStep::Acquire)]
#[case::within_term_and_margin(Some(false), 7999, 0, LeaseStep::Wait)]
#[case::after_term_margin_and_order(Some(false), 8000, 0, LeaseStep::Acquire)]
#[case::released_order_in_flight(Some(true), 999, 0, LeaseStep::Wait)]
#[case::released(Some(true), 1000, 0, LeaseStep::Acquire)]
fn test_lease_successor_waits_until_lease_has_ended(
    #[case] released: Option<bool>,
    #[case] since_record_ms: u64,
    #[case] rank: u32,
    #[case] expected: LeaseStep,
) {
    let lease = released.map(|released| Lease {
        released,
        ..fold(&[record(0, "a", acquire(0))])
    });
    let input = LeaseInput {
        lease: lease.as_ref(),
        is_own: false,
        since_record: Duration::from_millis(since_record_ms),
        since_request: None,
        rank: Some(rank),
        is_leaving: false,
        term: TERM,
        margin: MARGIN,
        max_order_time: MAX_ORDER_TIME,
    };
    assert_eq!(decide_lease(&input), expected);
    let non_candidate = LeaseInput {
        rank: None,
        ..input
    };
    assert_eq!(decide_lease(&non_candidate), LeaseStep::Wait);
    let leaving = LeaseInput {
        is_leaving: true,
        ..input
    };
    assert_eq!(decide_lease(&leaving), LeaseStep::Wait);
}

/// Guards against a holder whose lease expires because it renews too late, and against a leaving
/// holder that delays its successor by not releasing the lease.
#[rstest]
#[case::fresh(false, 1999, LeaseStep::Wait)]
#[case::a_third_of_the_term(false, 2000, LeaseStep::Renew(Epoch(0)))]
#[case::leaving(true, 0, LeaseStep::Release(Epoch(0)))]
fn test_lease_holder_renews_or_releases(
    #[case] is_leaving: bool,
    #[case] since_request_ms: u64,
    #[case] expected: LeaseStep,
) {
    let lease = fold(&[record(0, "a", acquire(0))]);
    let input = LeaseInput {
        lease: Some(&lease),
        is_own: true,
        since_record: Duration::ZERO,
        since_request: Some(Duration::from_millis(since_request_ms)),
        rank: None,
        is_leaving,
        term: TERM,
        margin: MARGIN,
        max_order_time: MAX_ORDER_TIME,
    };
    assert_eq!(decide_lease(&input), expected);
}

/// Guards against a holder that acts after other nodes consider its term ended: the log responds
/// 3 s late, and the term must be measured from the request and not from the response. An order
/// that could outlast the term is not allowed, and the expiry is reported once.
#[tokio::test(start_paused = true)]
async fn test_lease_term_is_measured_from_request() {
    let granted = record(0, "a", acquire(0));
    let mut tracker = LeaseTracker::new(Instant::now());
    tracker.record_request(granted.envelope.id, Instant::now());
    let start = Instant::now();
    tokio::time::advance(Duration::from_secs(3)).await;
    let lease = fold(&[granted]);
    let acquired = tracker.observe(Some(&lease), MARGIN, Instant::now());
    assert_eq!(acquired, Some(Epoch(0)));
    let end = start + TERM - MARGIN;
    let tick = Duration::from_millis(1);
    assert_eq!(
        tracker.active_epoch(end - tick, Duration::ZERO),
        Some(Epoch(0))
    );
    assert_eq!(tracker.active_epoch(end, Duration::ZERO), None);
    assert_eq!(
        tracker.active_epoch(end - MAX_ORDER_TIME, MAX_ORDER_TIME),
        None
    );
    assert_eq!(tracker.take_expiry(end), Some(Epoch(0)));
    assert_eq!(tracker.take_expiry(end + tick), None);
}

/// Simulated node.
struct Node {
    name: String,
    state: LeaseState,
    next_unread: u64,
    tracker: LeaseTracker,
    /// Time until which the process does not run.
    paused_until: Instant,
    /// Time until which the node cannot read the log.
    disconnected_until: Instant,
}

impl Node {
    fn new(name: &str, now: Instant) -> Self {
        Self {
            name: name.to_owned(),
            state: LeaseState::default(),
            next_unread: 0,
            tracker: LeaseTracker::new(now),
            paused_until: now,
            disconnected_until: now,
        }
    }

    /// Reads the log, unless the node is cut off from it, and returns the record to append, if any.
    fn step(&mut self, log: &[Record], rank: u32, now: Instant) -> Option<Record> {
        if now >= self.disconnected_until {
            for record in &log[self.next_unread as usize..] {
                self.state.apply(record);
                self.next_unread = record.offset.0 + 1;
            }
        }
        let lease = self.state.get(&duty()).cloned();
        self.tracker.observe(lease.as_ref(), MARGIN, now);
        let step = decide_lease(&LeaseInput {
            lease: lease.as_ref(),
            is_own: self.tracker.is_own(),
            since_record: self.tracker.since_record(now),
            since_request: self.tracker.since_request(now),
            rank: Some(rank),
            is_leaving: false,
            term: TERM,
            margin: MARGIN,
            max_order_time: MAX_ORDER_TIME,
        });
        let change = match step {
            LeaseStep::Acquire => acquire(self.next_unread),
            LeaseStep::Renew(epoch) => renew(epoch.0),
            LeaseStep::Release(_) | LeaseStep::Wait => return None,
        };
        // The offset is set when the record reaches the log.
        let record = record(0, &self.name, change);
        self.tracker.record_request(record.envelope.id, now);
        Some(record)
    }
}

/// Simulates three nodes that pause and lose their connection to the log, and whose appends arrive
/// late, twice or never. Returns the number of steps in which a node could act.
///
/// # Panics
///
/// Panics if two nodes may act at the same time.
fn simulate(seed: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut nodes: Vec<Node> = ["a", "b", "c"].map(|n| Node::new(n, start)).into();
    let mut log: Vec<Record> = Vec::new();
    let mut in_transit: Vec<(Instant, Record)> = Vec::new();
    let mut acted = 0;
    let mut now = start;
    while now < start + SIMULATED_TIME {
        now += STEP_INTERVAL;
        in_transit.sort_by_key(|(at, _)| *at);
        while in_transit.first().is_some_and(|(at, _)| *at <= now) {
            let (_, mut record) = in_transit.remove(0);
            record.offset = Offset(log.len() as u64);
            log.push(record);
        }
        let first = rng.random_range(0..nodes.len());
        for turn in 0..nodes.len() {
            let index = (first + turn) % nodes.len();
            let node = &mut nodes[index];
            if rng.random_bool(0.005) {
                node.paused_until = now + Duration::from_millis(rng.random_range(0..15_000));
            }
            if rng.random_bool(0.005) {
                node.disconnected_until = now + Duration::from_millis(rng.random_range(0..15_000));
            }
            if now < node.paused_until {
                continue;
            }
            // Nodes may disagree on the members, so that several may rank themselves first.
            let rank = rng.random_range(0..3);
            let Some(record) = node.step(&log, rank, now) else {
                continue;
            };
            for _ in 0..rng.random_range(0..3) {
                let delay = Duration::from_millis(rng.random_range(0..4000));
                in_transit.push((now + delay, record.clone()));
            }
        }
        let acting: Vec<&str> = nodes
            .iter()
            .filter(|node| node.tracker.active_epoch(now, Duration::ZERO).is_some())
            .map(|node| node.name.as_str())
            .collect();
        assert!(acting.len() <= 1, "seed {seed}: {acting:?} act together");
        acted += acting.len();
    }
    acted
}

/// Guards against two nodes that act on a duty at the same time because of pauses, a lost
/// connection to the log or late, repeated or lost appends, and against a lease that no node
/// ever holds.
#[tokio::test(start_paused = true)]
async fn test_lease_never_lets_two_nodes_act_at_once() {
    for seed in 0..RUN_COUNT {
        let acted = simulate(seed);
        assert!(acted > 0, "seed {seed}: no node could ever act");
    }
}
