//! Tests of limits, the fair queue and the choice of endpoints.

use std::collections::HashMap;
use std::time::Duration;

use hawthornrack_lib::BalancePolicy;
use hawthornrack_lib::Candidate;
use hawthornrack_lib::ConcurrencyLimit;
use hawthornrack_lib::CustomerName;
use hawthornrack_lib::EndpointName;
use hawthornrack_lib::FairQueue;
use hawthornrack_lib::LimitPolicy;
use hawthornrack_lib::Priority;
use hawthornrack_lib::QueuePolicy;
use hawthornrack_lib::Waiting;
use hawthornrack_lib::choose_endpoint;
use rstest::rstest;
use tokio::time::Instant;

const TARGET: Duration = Duration::from_millis(500);

/// Runs `rounds` rounds against an endpoint that answers in time up to `capacity` requests.
async fn converge(policy: LimitPolicy, start: usize, capacity: usize, rounds: u32) -> usize {
    let mut limit = ConcurrencyLimit::new(policy, start);
    for _ in 0..rounds {
        let running = limit.limit();
        let first_byte = TARGET.mul_f64(running as f64 / (capacity as f64 + 0.5));
        for _ in 0..running {
            limit.answered(Instant::now(), running, first_byte, TARGET);
        }
        tokio::time::advance(TARGET).await;
    }
    limit.limit()
}

#[rstest]
#[case::from_below(1, 20)]
#[case::from_above(200, 20)]
#[case::slow_endpoint(64, 1)]
#[tokio::test(start_paused = true)]
async fn test_limit_converges_on_the_capacity(#[case] start: usize, #[case] capacity: usize) {
    let limit = converge(LimitPolicy::Aimd, start, capacity, 100).await;
    let least = (capacity * 7 / 10).max(1);
    assert!(
        (least..=capacity + 1).contains(&limit),
        "{limit} for {capacity}"
    );
}

#[tokio::test(start_paused = true)]
async fn test_limit_fixed_stays() {
    assert_eq!(converge(LimitPolicy::Fixed, 64, 3, 100).await, 64);
}

#[tokio::test(start_paused = true)]
async fn test_limit_falls_once_for_requests_of_the_same_time() {
    let mut limit = ConcurrencyLimit::new(LimitPolicy::Aimd, 100);
    for _ in 0..50 {
        limit.refused(Instant::now());
    }
    assert_eq!(limit.limit(), 80);
    tokio::time::advance(TARGET).await;
    limit.refused(Instant::now());
    assert_eq!(limit.limit(), 64);
}

#[tokio::test(start_paused = true)]
async fn test_limit_does_not_rise_while_unused() {
    let mut limit = ConcurrencyLimit::new(LimitPolicy::Aimd, 20);
    for _ in 0..1000 {
        limit.answered(Instant::now(), 2, Duration::ZERO, TARGET);
    }
    assert_eq!(limit.limit(), 20);
}

fn waiting(customer: &str, weight: u32, priority: Priority, cost: f64) -> Waiting {
    Waiting {
        customer: customer.parse::<CustomerName>().unwrap(),
        weight,
        priority,
        cost,
    }
}

fn interactive(customer: &str, weight: u32, cost: f64) -> Waiting {
    waiting(customer, weight, Priority::Interactive, cost)
}

/// Takes `count` requests and returns the cost served of each customer.
fn served(queue: &mut FairQueue<(&'static str, f64)>, count: usize) -> HashMap<&'static str, f64> {
    let mut served = HashMap::new();
    for _ in 0..count {
        let (customer, cost) = queue.pop().unwrap();
        *served.entry(customer).or_default() += cost;
    }
    served
}

#[rstest]
#[case::fair(QueuePolicy::Fair, 10)]
#[case::fifo(QueuePolicy::Fifo, 0)]
fn test_queue_flood_of_one_customer_holds_up_others_only_in_arrival_order(
    #[case] policy: QueuePolicy,
    #[case] small: usize,
) {
    let mut queue = FairQueue::new(policy);
    for _ in 0..100 {
        queue.push(&interactive("large", 1, 10.0), ("large", 10.0));
    }
    for _ in 0..10 {
        queue.push(&interactive("small", 1, 10.0), ("small", 10.0));
    }
    let served = served(&mut queue, 21);
    let found = served.get("small").copied().unwrap_or_default() / 10.0;
    assert!((found - small as f64).abs() <= 1.0, "{served:?}");
}

#[test]
fn test_queue_shares_by_weight_and_cost() {
    let mut queue = FairQueue::new(QueuePolicy::Fair);
    for _ in 0..400 {
        queue.push(&interactive("heavy", 3, 5.0), ("heavy", 5.0));
        queue.push(&interactive("light", 1, 20.0), ("light", 20.0));
    }
    let served = served(&mut queue, 300);
    let ratio = served["heavy"] / served["light"];
    assert!((2.7..3.3).contains(&ratio), "{served:?}");
}

#[test]
fn test_queue_takes_interactive_first_without_starving_the_rest() {
    let mut queue = FairQueue::new(QueuePolicy::Fair);
    for _ in 0..100 {
        queue.push(&waiting("a", 1, Priority::Deferred, 1.0), ("deferred", 1.0));
    }
    for _ in 0..100 {
        queue.push(&interactive("a", 1, 1.0), ("interactive", 1.0));
    }
    assert!((queue.cost_ahead(Priority::Interactive) - 100.0).abs() < 1e-9);
    assert!((queue.cost_ahead(Priority::Deferred) - 200.0).abs() < 1e-9);
    let served = served(&mut queue, 100);
    assert!((served["interactive"] - 90.0).abs() < 1e-9, "{served:?}");
    assert_eq!(queue.len(), 100);
}

#[test]
fn test_queue_customer_that_was_idle_gets_no_credit() {
    let mut queue = FairQueue::new(QueuePolicy::Fair);
    for _ in 0..100 {
        queue.push(&interactive("busy", 1, 1.0), ("busy", 1.0));
    }
    served(&mut queue, 50);
    for _ in 0..100 {
        queue.push(&interactive("late", 1, 1.0), ("late", 1.0));
    }
    let served = served(&mut queue, 40);
    assert!((18.0..=22.0).contains(&served["late"]), "{served:?}");
}

fn names(count: usize) -> Vec<EndpointName> {
    (0..count)
        .map(|n| format!("e{n}").parse().unwrap())
        .collect()
}

/// Places requests by their keys and returns the load of each endpoint.
fn place(policy: BalancePolicy, endpoints: usize, keys: &[u64]) -> (Vec<usize>, Vec<usize>) {
    let names = names(endpoints);
    let mut load = vec![0; endpoints];
    let mut places = Vec::new();
    for key in keys {
        let candidates: Vec<Candidate<'_>> = names
            .iter()
            .zip(&load)
            .map(|(name, running)| Candidate {
                name,
                running: *running,
                limit: usize::MAX,
            })
            .collect();
        let chosen = choose_endpoint(policy, &candidates, Some(*key)).unwrap();
        load[chosen] += 1;
        places.push(chosen);
    }
    (load, places)
}

#[test]
fn test_balance_affinity_keeps_a_prefix_together_within_the_bound() {
    let keys: Vec<u64> = (0..400).map(|n| n % 40).collect();
    let (load, places) = place(BalancePolicy::PrefixAffinity, 10, &keys);
    let mean = 40.0_f64;
    let most = load.iter().max().copied().unwrap_or_default();
    assert!(most as f64 <= (mean * 1.25).ceil(), "{load:?}");
    let same = (40..400).filter(|n| places[*n] == places[n % 40]).count();
    assert!(same > 180, "{same} of 360 stayed with their prefix");
    let (_, places) = place(BalancePolicy::TwoChoices, 10, &keys);
    let other = (40..400).filter(|n| places[*n] == places[n % 40]).count();
    assert!(
        other < same / 2,
        "{other} by two choices, {same} by affinity"
    );
}

#[test]
fn test_balance_one_prefix_for_all_still_spreads() {
    let (load, _) = place(BalancePolicy::PrefixAffinity, 8, &[7; 800]);
    let most = load.iter().max().copied().unwrap_or_default();
    assert!(most <= 126, "{load:?}");
}

#[rstest]
#[case(BalancePolicy::Random)]
#[case(BalancePolicy::TwoChoices)]
#[case(BalancePolicy::PrefixAffinity)]
fn test_balance_full_endpoints_come_last(#[case] policy: BalancePolicy) {
    let names = names(3);
    let candidate = |n: usize, running: usize| Candidate {
        name: &names[n],
        running,
        limit: 4,
    };
    for key in 0..50 {
        let some = [candidate(0, 4), candidate(1, 3), candidate(2, 9)];
        assert_eq!(choose_endpoint(policy, &some, Some(key)), Some(1));
        let full = [candidate(0, 4), candidate(1, 4)];
        assert!(choose_endpoint(policy, &full, Some(key)).is_some());
    }
    assert_eq!(choose_endpoint(policy, &[], Some(1)), None);
}
