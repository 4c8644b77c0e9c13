//! Tests of the lease fold, the decisions on leases and the time to act.

use std::time::Duration;

use hawthornrack_lib::Body;
use hawthornrack_lib::Duty;
use hawthornrack_lib::Envelope;
use hawthornrack_lib::Epoch;
use hawthornrack_lib::Lease;
use hawthornrack_lib::LeaseChange;
use hawthornrack_lib::LeaseState;
use hawthornrack_lib::LeaseStep;
use hawthornrack_lib::LeaseView;
use hawthornrack_lib::LeaseWatch;
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
const IN_FLIGHT: Duration = Duration::from_secs(1);

/// Time that a simulation covers.
const SPAN: Duration = Duration::from_mins(2);

/// Time between two steps of a simulation.
const STEP: Duration = Duration::from_millis(50);

/// Runs of the simulation, each with its own seed.
const RUNS: u64 = 300;

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

fn acquire(as_of: u64) -> LeaseChange {
    LeaseChange::Acquire {
        duty: duty(),
        as_of: Offset(as_of),
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

#[test]
fn test_lease_candidate_that_missed_a_renewal_gets_nothing() {
    let lease = fold(&[
        record(0, "a", acquire(0)),
        record(1, "a", renew(0)),
        record(2, "b", acquire(1)),
    ]);
    assert_eq!((lease.epoch, lease.holder.as_str()), (Epoch(0), "a"));
    assert_eq!(lease.last, Offset(1));
}

#[test]
fn test_lease_candidate_that_read_everything_gets_it_and_old_renewals_are_refused() {
    let lease = fold(&[
        record(0, "a", acquire(0)),
        record(1, "b", acquire(1)),
        record(2, "a", renew(0)),
        record(3, "a", release(0)),
    ]);
    assert_eq!((lease.epoch, lease.holder.as_str()), (Epoch(1), "b"));
    assert!(!lease.released);
}

#[test]
fn test_lease_repeated_append_changes_nothing() {
    let first = record(0, "a", acquire(0));
    let repeat = Record {
        offset: Offset(1),
        ..first.clone()
    };
    let lease = fold(&[first, repeat]);
    assert_eq!(lease.epoch, Epoch(0));
    assert_eq!(lease.last, Offset(0));
}

#[test]
fn test_lease_fold_that_starts_later_agrees() {
    let records = [
        record(0, "a", acquire(0)),
        record(1, "a", renew(0)),
        record(2, "b", acquire(2)),
        record(3, "a", renew(0)),
        record(4, "b", renew(2)),
        record(5, "c", acquire(4)),
    ];
    let whole = fold(&records);
    for start in 1..=4 {
        assert_eq!(fold(&records[start..]), whole, "from {start}");
    }
}

#[rstest]
#[case::no_lease(None, 0, 0, LeaseStep::Acquire)]
#[case::no_lease_second_candidate(None, 5999, 1, LeaseStep::Wait)]
#[case::no_lease_second_candidate_later(None, 6000, 1, LeaseStep::Acquire)]
#[case::within_term_and_margin(Some(false), 7999, 0, LeaseStep::Wait)]
#[case::after_term_margin_and_order(Some(false), 8000, 0, LeaseStep::Acquire)]
#[case::released_order_in_flight(Some(true), 999, 0, LeaseStep::Wait)]
#[case::released(Some(true), 1000, 0, LeaseStep::Acquire)]
fn test_lease_successor_waits(
    #[case] released: Option<bool>,
    #[case] seen_ms: u64,
    #[case] rank: u32,
    #[case] expected: LeaseStep,
) {
    let lease = released.map(|released| Lease {
        released,
        ..fold(&[record(0, "a", acquire(0))])
    });
    let view = LeaseView {
        lease: lease.as_ref(),
        is_own: false,
        seen: Duration::from_millis(seen_ms),
        asked: None,
        rank: Some(rank),
        is_leaving: false,
        term: TERM,
        margin: MARGIN,
        in_flight: IN_FLIGHT,
    };
    assert_eq!(decide_lease(&view), expected);
    let outsider = LeaseView { rank: None, ..view };
    assert_eq!(decide_lease(&outsider), LeaseStep::Wait);
    let leaving = LeaseView {
        is_leaving: true,
        ..view
    };
    assert_eq!(decide_lease(&leaving), LeaseStep::Wait);
}

#[rstest]
#[case::fresh(false, 1999, LeaseStep::Wait)]
#[case::a_third_of_the_term(false, 2000, LeaseStep::Renew(Epoch(0)))]
#[case::leaving(true, 0, LeaseStep::Release(Epoch(0)))]
fn test_lease_holder_renews_or_gives_up(
    #[case] is_leaving: bool,
    #[case] asked_ms: u64,
    #[case] expected: LeaseStep,
) {
    let lease = fold(&[record(0, "a", acquire(0))]);
    let view = LeaseView {
        lease: Some(&lease),
        is_own: true,
        seen: Duration::ZERO,
        asked: Some(Duration::from_millis(asked_ms)),
        rank: None,
        is_leaving,
        term: TERM,
        margin: MARGIN,
        in_flight: IN_FLIGHT,
    };
    assert_eq!(decide_lease(&view), expected);
}

#[tokio::test(start_paused = true)]
async fn test_lease_time_to_act_counts_from_before_the_log_was_asked() {
    let granted = record(0, "a", acquire(0));
    let mut watch = LeaseWatch::new(Instant::now());
    watch.ask(granted.envelope.id, Instant::now());
    let begun = Instant::now();
    tokio::time::advance(Duration::from_secs(3)).await;
    let lease = fold(&[granted]);
    let acquired = watch.look(Some(&lease), MARGIN, Instant::now());
    assert_eq!(acquired, Some(Epoch(0)));
    let end = begun + TERM - MARGIN;
    let short = Duration::from_millis(1);
    assert_eq!(watch.may_act(end - short, Duration::ZERO), Some(Epoch(0)));
    assert_eq!(watch.may_act(end, Duration::ZERO), None);
    assert_eq!(watch.may_act(end - IN_FLIGHT, IN_FLIGHT), None);
    assert_eq!(watch.take_lapse(end), Some(Epoch(0)));
    assert_eq!(watch.take_lapse(end + short), None);
}

/// One simulated node.
struct Node {
    name: String,
    state: LeaseState,
    next: u64,
    watch: LeaseWatch,
    paused: Instant,
    cut: Instant,
}

impl Node {
    fn new(name: &str, now: Instant) -> Self {
        Self {
            name: name.to_owned(),
            state: LeaseState::default(),
            next: 0,
            watch: LeaseWatch::new(now),
            paused: now,
            cut: now,
        }
    }

    /// Reads the log, unless cut off from it, and returns what the node would append.
    fn step(&mut self, log: &[Record], rank: u32, now: Instant) -> Option<Record> {
        if now >= self.cut {
            for record in &log[self.next as usize..] {
                self.state.apply(record);
                self.next = record.offset.0 + 1;
            }
        }
        let lease = self.state.get(&duty()).cloned();
        self.watch.look(lease.as_ref(), MARGIN, now);
        let step = decide_lease(&LeaseView {
            lease: lease.as_ref(),
            is_own: self.watch.is_own(),
            seen: self.watch.seen(now),
            asked: self.watch.asked(now),
            rank: Some(rank),
            is_leaving: false,
            term: TERM,
            margin: MARGIN,
            in_flight: IN_FLIGHT,
        });
        let change = match step {
            LeaseStep::Acquire => acquire(self.next),
            LeaseStep::Renew(epoch) => renew(epoch.0),
            LeaseStep::Release(_) | LeaseStep::Wait => return None,
        };
        let record = record(0, &self.name, change);
        self.watch.ask(record.envelope.id, now);
        Some(record)
    }
}

/// Runs three nodes that pause, lose the log and whose appends arrive late, twice or never,
/// and returns the steps in which one could act.
fn simulate(seed: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let begun = Instant::now();
    let mut nodes: Vec<Node> = ["a", "b", "c"].map(|n| Node::new(n, begun)).into();
    let mut log: Vec<Record> = Vec::new();
    let mut sent: Vec<(Instant, Record)> = Vec::new();
    let mut acted = 0;
    let mut now = begun;
    while now < begun + SPAN {
        now += STEP;
        sent.sort_by_key(|(at, _)| *at);
        while sent.first().is_some_and(|(at, _)| *at <= now) {
            let (_, mut record) = sent.remove(0);
            record.offset = Offset(log.len() as u64);
            log.push(record);
        }
        let order = rng.random_range(0..nodes.len());
        for turn in 0..nodes.len() {
            let index = (order + turn) % nodes.len();
            let node = &mut nodes[index];
            if rng.random_bool(0.005) {
                node.paused = now + Duration::from_millis(rng.random_range(0..15_000));
            }
            if rng.random_bool(0.005) {
                node.cut = now + Duration::from_millis(rng.random_range(0..15_000));
            }
            if now < node.paused {
                continue;
            }
            // Views of the members differ, so that each may take itself for the first.
            let rank = rng.random_range(0..3);
            let Some(record) = node.step(&log, rank, now) else {
                continue;
            };
            for _ in 0..rng.random_range(0..3) {
                let delay = Duration::from_millis(rng.random_range(0..4000));
                sent.push((now + delay, record.clone()));
            }
        }
        let acting: Vec<&str> = nodes
            .iter()
            .filter(|node| node.watch.may_act(now, Duration::ZERO).is_some())
            .map(|node| node.name.as_str())
            .collect();
        assert!(acting.len() <= 1, "seed {seed}: {acting:?} act together");
        acted += acting.len();
    }
    acted
}

#[tokio::test(start_paused = true)]
async fn test_lease_never_lets_two_nodes_act_together() {
    for seed in 0..RUNS {
        let acted = simulate(seed);
        assert!(acted > 0, "seed {seed}: no node could ever act");
    }
}
