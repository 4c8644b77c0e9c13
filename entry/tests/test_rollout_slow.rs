//! Tests of rollouts of versions that respond slowly: what is known of requests that still run, of
//! few requests on several routes, and of a version that has got too few requests.

mod testutils;

use std::sync::Arc;
use std::time::Duration;

use hawthornrack_entry::Node;
use hawthornrack_entry::Outcomes;
use hawthornrack_entry::Regression;
use hawthornrack_entry::Rollout;
use hawthornrack_entry::RolloutEvidence;
use hawthornrack_entry::RolloutOrder;
use hawthornrack_entry::RolloutState;
use hawthornrack_entry::RouteKind;
use hawthornrack_entry::ServiceName;
use hawthornrack_entry::Stage;
use hawthornrack_entry::VersionName;
use hawthornrack_entry::VersionSide;
use hawthornrack_entry::serve;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use testutils::ScriptedClient;
use testutils::ScriptedSend;
use testutils::call;
use testutils::config;
use testutils::endpoint;
use testutils::node;
use tokio::time::Instant;

fn desk() -> ServiceName {
    ServiceName::from("desk")
}

/// Creates an entry in whose rollout all requests go to the new version.
async fn node_with_new_version() -> Arc<Node> {
    let node = node(config(RouteKind::Once), 2);
    let listed = ["e0", "n0"].map(|id| {
        let mut record = endpoint(id);
        if id == "n0" {
            record.version = VersionName::from("v2");
        }
        record
    });
    node.endpoints.lock().replace(listed.into(), Instant::now());
    let rollout = Rollout {
        order: RolloutOrder {
            id: 4,
            service: desk(),
            target: VersionName::from("v2"),
            within: Duration::from_secs(16),
        },
        seen_ms: 1_000,
        stage: Some(Stage {
            state: RolloutState::InProgress,
            serial: 1,
            share: 1000,
            idle_ms: None,
        }),
    };
    node.rollouts.lock().merge(&rollout);
    // Endpoints of a newly listed version accept requests only after a delay.
    tokio::time::sleep(Duration::from_secs(2)).await;
    node
}

/// Draws a response time with the given median and spread of its logarithm.
fn draw_time(rng: &mut SmallRng, median_ms: f64, spread: f64) -> Duration {
    let normal: f64 = (0..12).map(|_| rng.random_range(-0.5..0.5)).sum();
    Duration::from_secs_f64(median_ms * (normal * spread).exp() / 1000.0)
}

fn draw_outcomes(rng: &mut SmallRng, count: u64, median_ms: f64) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for _ in 0..count {
        outcomes.sent += 1;
        outcomes.record_response(draw_time(rng, median_ms, 0.7));
    }
    outcomes
}

fn record_old_outcomes(node: &Node, outcomes: Outcomes) {
    let mut rollouts = node.rollouts.lock();
    let evidence = rollouts.evidence_mut(&desk()).unwrap();
    *evidence.side_mut("/a/", VersionSide::Old) = outcomes;
}

// Guards against a version that is kept because it is too slow to have responded yet: only complete
// responses counted.
#[tokio::test(start_paused = true)]
async fn test_rollout_version_that_has_not_responded_is_found_slow() {
    let node = node_with_new_version().await;
    let mut rng = SmallRng::seed_from_u64(5);
    record_old_outcomes(&node, draw_outcomes(&mut rng, 200, 150.0));
    let client = Arc::new(ScriptedClient::new((0..8).map(|_| ScriptedSend::Hang)));
    let start = RolloutEvidence::new(4);
    for number in 0..8 {
        let (node, client) = (Arc::clone(&node), Arc::clone(&client));
        tokio::spawn(async move { serve(&node, &*client, call(&number.to_string())).await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let found = || node.rollouts.lock().evidence()[&desk()].find_regression(&start);
    assert_eq!(client.seen.lock().len(), 8);
    assert_eq!(found(), None, "as usual so far");
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(found(), Some(Regression::Slow));
}

// Guards against a slow version that is found late because its few requests are spread over
// several routes.
#[test]
fn test_rollout_slow_version_is_found_by_few_requests_on_each_route() {
    let found = (0..100).filter(|seed| {
        let mut rng = SmallRng::seed_from_u64(*seed);
        let mut evidence = RolloutEvidence::new(1);
        for (route, median_ms) in [("a", 100.0), ("b", 1_000.0), ("c", 2_000.0)] {
            let old = draw_outcomes(&mut rng, 100, median_ms);
            *evidence.side_mut(route, VersionSide::Old) = old;
            let target = draw_outcomes(&mut rng, 4, median_ms * 4.0);
            *evidence.side_mut(route, VersionSide::Target) = target;
        }
        evidence.find_regression(&RolloutEvidence::new(1)) == Some(Regression::Slow)
    });
    // The remaining ones are detected with more requests.
    assert!(found.count() >= 95);
}

// Guards against the rollback of good versions whose requests still run, though they respond like
// the old ones: at most 1% false alarms, with tests every 100 ms.
#[test]
fn test_rollout_good_version_with_running_requests_is_seldom_taken_for_slow() {
    const ROUTES: [(&str, f64); 3] = [("a", 100.0), ("b", 1_000.0), ("c", 2_000.0)];
    let mut alarms = 0;
    for seed in 0..1_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut evidence = RolloutEvidence::new(1);
        for (route, median_ms) in ROUTES {
            let old = draw_outcomes(&mut rng, 60, median_ms);
            *evidence.side_mut(route, VersionSide::Old) = old;
        }
        let sent: Vec<_> = (0..40)
            .map(|_| {
                let start = Duration::from_millis(rng.random_range(0..10_000));
                let (route, median_ms) = ROUTES[rng.random_range(0..ROUTES.len())];
                (start, route, draw_time(&mut rng, median_ms, 0.7))
            })
            .collect();
        let is_alarm = (1..120).any(|step| {
            let now = Duration::from_millis(100) * step;
            let mut evidence = evidence.clone();
            for (start, route, took) in &sent {
                let Some(age) = now.checked_sub(*start) else {
                    continue;
                };
                if age < *took {
                    evidence.record_running(route, VersionSide::Target, age);
                } else {
                    evidence
                        .side_mut(route, VersionSide::Target)
                        .record_response(*took);
                }
            }
            evidence.find_regression(&RolloutEvidence::new(1)).is_some()
        });
        alarms += u32::from(is_alarm);
    }
    assert!(alarms <= 10, "{alarms} of 1000");
}

// Guards against a slow version that is completed because most of its requests were sent in the
// last seconds: none has run for long, but fewer have ended than should have.
#[test]
fn test_rollout_version_whose_requests_do_not_end_is_found_before_they_are_overdue() {
    let found = (0..100).filter(|seed| {
        let mut rng = SmallRng::seed_from_u64(*seed);
        let mut evidence = RolloutEvidence::new(1);
        *evidence.side_mut("a", VersionSide::Old) = draw_outcomes(&mut rng, 200, 1_400.0);
        for number in 0..70 {
            let age = Duration::from_millis(number * 30);
            let took = draw_time(&mut rng, 1_400.0 * 3.0, 0.7);
            if took > age {
                evidence.record_running("a", VersionSide::Target, age);
            } else {
                let target = evidence.side_mut("a", VersionSide::Target);
                target.record_response(took);
            }
        }
        evidence.find_regression(&RolloutEvidence::new(1)) == Some(Regression::Slow)
    });
    assert!(found.count() >= 90);
}

// Guards against a good version that is taken for slow after a burst of requests: the last ones to
// end are the long ones.
#[test]
fn test_rollout_good_version_is_not_slow_at_the_end_of_a_burst() {
    let mut alarms = 0;
    for seed in 0..1_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut evidence = RolloutEvidence::new(1);
        *evidence.side_mut("a", VersionSide::Old) = draw_outcomes(&mut rng, 200, 1_000.0);
        let sent: Vec<_> = (0..60)
            .map(|number| {
                let start = Duration::from_millis(number * 30);
                (start, draw_time(&mut rng, 1_000.0, 0.7))
            })
            .collect();
        let at = |now: Duration| {
            let mut evidence = evidence.clone();
            for (start, took) in &sent {
                let Some(age) = now.checked_sub(*start) else {
                    continue;
                };
                evidence.side_mut("a", VersionSide::Target).sent += 1;
                if age < *took {
                    evidence.record_running("a", VersionSide::Target, age);
                } else {
                    let target = evidence.side_mut("a", VersionSide::Target);
                    target.record_response(*took);
                }
            }
            evidence
        };
        let window = Duration::from_secs(4);
        let is_alarm = (1..100).any(|step| {
            let now = Duration::from_millis(100) * step;
            let older = at(now.saturating_sub(window));
            at(now).find_regression(&older).is_some()
        });
        alarms += u32::from(is_alarm);
    }
    assert!(alarms <= 10, "{alarms} of 1000");
}

// A version of whose first four requests two had failed and two still ran was completed and kept:
// two failures are too few to count as failing.
#[test]
fn test_rollout_version_with_a_first_failure_is_in_doubt() {
    let mut evidence = RolloutEvidence::new(1);
    let old = evidence.side_mut("/a/", VersionSide::Old);
    for _ in 0..384 {
        old.record_response(Duration::from_millis(23));
    }
    let target = evidence.side_mut("/a/", VersionSide::Target);
    target.sent = 4;
    target.failed = 1;
    assert!(evidence.is_in_doubt());
    let target = evidence.side_mut("/a/", VersionSide::Target);
    for _ in 0..20 {
        target.record_response(Duration::from_millis(23));
    }
    assert!(!evidence.is_in_doubt(), "one failure in 21 responses");
}

// Guards against the rollback and the delay of a good version whose responses take a little longer
// than before: where response times hardly differ, that is significant, but not several times slower.
#[test]
fn test_rollout_slightly_slower_version_is_neither_slow_nor_in_doubt() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut evidence = RolloutEvidence::new(1);
    for (side, median_ms) in [(VersionSide::Old, 22.0), (VersionSide::Target, 28.0)] {
        for _ in 0..40 {
            let outcomes = evidence.side_mut("a", side);
            outcomes.sent += 1;
            outcomes.record_response(draw_time(&mut rng, median_ms, 0.03));
        }
    }
    assert_eq!(evidence.find_regression(&RolloutEvidence::new(1)), None);
    assert!(!evidence.is_in_doubt());
}

// Guards against a version that slows some of its requests several times and is completed, since most
// of them take no longer than before.
#[test]
fn test_rollout_version_that_slows_some_requests_is_in_doubt() {
    let in_doubt = (0..100).filter(|seed| {
        let mut rng = SmallRng::seed_from_u64(*seed);
        let mut evidence = RolloutEvidence::new(1);
        for (side, count) in [(VersionSide::Old, 400), (VersionSide::Target, 60)] {
            for _ in 0..count {
                let is_slow = side == VersionSide::Target && rng.random_bool(0.4);
                let time = draw_time(&mut rng, 300.0, 0.7) * if is_slow { 4 } else { 1 };
                let outcomes = evidence.side_mut("a", side);
                outcomes.sent += 1;
                outcomes.record_response(time);
            }
        }
        evidence.is_in_doubt()
    });
    let count = in_doubt.count();
    assert!(count >= 90, "{count} of 100");
}
