//! Tests of the decisions about moves, on generated evidence.

use std::time::Duration;

use hawthornrack_lib::Counters;
use hawthornrack_lib::Decision;
use hawthornrack_lib::EvidenceKey;
use hawthornrack_lib::EvidenceRow;
use hawthornrack_lib::KeySupport;
use hawthornrack_lib::LATENCY_BOUNDS_MS;
use hawthornrack_lib::Move;
use hawthornrack_lib::MoveName;
use hawthornrack_lib::Service;
use hawthornrack_lib::ServiceKind;
use hawthornrack_lib::ServiceName;
use hawthornrack_lib::Step;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::Version;
use hawthornrack_lib::VersionName;
use hawthornrack_lib::decide;
use hawthornrack_lib::share_of;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const START_MS: u64 = 1_000_000;
const SPAN_MS: u64 = 100_000;

/// How a simulated version behaves.
#[derive(Clone, Copy, Debug)]
struct Behaviour {
    failure: f64,
    latency_ms: u64,
}

const GOOD: Behaviour = Behaviour {
    failure: 0.002,
    latency_ms: 40,
};

fn service() -> Service {
    let version = |share| Version {
        model: String::new(),
        share,
    };
    Service {
        name: ServiceName::new("hire-desk").unwrap(),
        kind: ServiceKind::Plain,
        versions: IndexMap::from([
            (VersionName::new("v1").unwrap(), version(1000)),
            (VersionName::new("v2").unwrap(), version(0)),
        ]),
        routes: Vec::new(),
        keys: KeySupport::Ignored,
        fenced: true,
        target: Duration::from_millis(500),
        replicas: 0,
    }
}

fn spec() -> Move {
    Move {
        name: MoveName::new("m1").unwrap(),
        service: ServiceName::new("hire-desk").unwrap(),
        from: VersionName::new("v1").unwrap(),
        to: VersionName::new("v2").unwrap(),
        start: Timestamp(START_MS),
        deadline: Timestamp(START_MS + SPAN_MS),
    }
}

fn row(rng: &mut StdRng, version: &str, window: u64, count: u64, how: Behaviour) -> EvidenceRow {
    let mut sum = Counters {
        latency: vec![0; LATENCY_BOUNDS_MS.len() + 1],
        ..Counters::default()
    };
    for _ in 0..count {
        if rng.random_bool(how.failure) {
            sum.failed += 1;
            continue;
        }
        sum.ok += 1;
        let latency = (how.latency_ms as f64 * rng.random_range(0.5..1.5)) as u64;
        let bucket = LATENCY_BOUNDS_MS.partition_point(|b| *b < latency);
        sum.latency[bucket] += 1;
    }
    EvidenceRow {
        key: EvidenceKey {
            service: ServiceName::new("hire-desk").unwrap(),
            version: VersionName::new(version).unwrap(),
            route: String::new(),
            window,
        },
        sum,
    }
}

/// What came of a simulated move.
#[derive(Debug)]
struct Outcome {
    done_ms: Option<u64>,
    stopped_ms: Option<u64>,
    served: u64,
}

/// Runs a move second by second at `rate` requests a second; `how` gives the new version's
/// behaviour at a second and a share.
fn simulate(seed: u64, rate: u64, how: impl Fn(u64, u32) -> Behaviour) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let (spec, service) = (spec(), service());
    let mut rows = Vec::new();
    let mut step: Option<Step> = None;
    let mut served = 0;
    for second in 0..SPAN_MS / 1000 {
        let now = Timestamp(START_MS + second * 1000);
        match decide(&spec, &service, step, &rows, now) {
            Decision::Stop(_) => {
                let stopped_ms = Some(second * 1000);
                return Outcome {
                    done_ms: None,
                    stopped_ms,
                    served,
                };
            }
            Decision::Finish => {
                let done_ms = Some(second * 1000);
                return Outcome {
                    done_ms,
                    stopped_ms: None,
                    served,
                };
            }
            Decision::Raise(next) => step = Some(next),
            Decision::Hold => {}
        }
        let share = step.map_or(0, share_of);
        let new = (0..rate)
            .filter(|_| rng.random_range(0..1000) < share)
            .count() as u64;
        let window = now.0 / 1000;
        rows.push(row(&mut rng, "v1", window, rate - new, GOOD));
        if new > 0 {
            rows.push(row(&mut rng, "v2", window, new, how(second, share)));
            served += new;
        }
    }
    Outcome {
        done_ms: None,
        stopped_ms: None,
        served,
    }
}

#[rstest]
#[case::busy(200)]
#[case::quiet(2)]
#[case::silent(0)]
fn test_rollout_good_versions_are_done_by_the_deadline(#[case] rate: u64) {
    let mut stopped = 0;
    for seed in 0..100 {
        let outcome = simulate(seed, rate, |_, _| GOOD);
        stopped += u32::from(outcome.stopped_ms.is_some());
        assert!(
            outcome.done_ms.is_some() || outcome.stopped_ms.is_some(),
            "seed {seed}"
        );
    }
    assert!(
        stopped <= 1,
        "{stopped} of 100 good versions were taken back"
    );
}

#[rstest]
#[case::failing(Behaviour { failure: 0.5, latency_ms: 40 })]
#[case::slow(Behaviour { failure: 0.002, latency_ms: 400 })]
fn test_rollout_bad_versions_get_a_small_share(#[case] bad: Behaviour) {
    for seed in 0..100 {
        let outcome = simulate(seed, 200, |_, _| bad);
        assert!(outcome.stopped_ms.is_some(), "seed {seed}: {outcome:?}");
        assert!(outcome.served <= 200, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn test_rollout_badness_that_begins_later_stops_within_3_seconds() {
    let bad = Behaviour {
        failure: 0.5,
        latency_ms: 40,
    };
    for seed in 0..100 {
        let outcome = simulate(seed, 200, |second, _| if second < 50 { GOOD } else { bad });
        let stopped = outcome.stopped_ms.expect("the version is stopped");
        assert!(stopped <= 53_000, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn test_rollout_badness_under_load_stops() {
    let bad = Behaviour {
        failure: 0.3,
        latency_ms: 40,
    };
    for seed in 0..100 {
        let outcome = simulate(seed, 200, |_, share| if share < 500 { GOOD } else { bad });
        assert!(outcome.stopped_ms.is_some(), "seed {seed}: {outcome:?}");
    }
}
