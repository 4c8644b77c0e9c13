//! Tests of concurrency limits, the fair queue and load balancing.

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
use hawthornrack_lib::QueuedRequest;
use hawthornrack_lib::choose_endpoint;
use rstest::rstest;
use tokio::time::Instant;

/// Latency target of the simulated endpoints.
const TARGET: Duration = Duration::from_millis(500);

/// Returns the limit after `rounds` rounds at an endpoint that meets the latency target with up to
/// `capacity` concurrent requests.
async fn converge(policy: LimitPolicy, start: usize, capacity: usize, rounds: u32) -> usize {
    let mut limit = ConcurrencyLimit::new(policy, start);
    for _ in 0..rounds {
        let running = limit.limit();
        let first_byte = TARGET.mul_f64(running as f64 / (capacity as f64 + 0.5));
        for _ in 0..running {
            limit.record_response(Instant::now(), running, first_byte, TARGET);
        }
        tokio::time::advance(TARGET).await;
    }
    limit.limit()
}

/// Guards against limits that stay far from an endpoint's capacity: too low wastes it, too high
/// lets latency exceed the target.
#[rstest]
#[case::from_below(1, 20)]
#[case::from_above(200, 20)]
#[case::slow_endpoint(64, 1)]
#[tokio::test(start_paused = true)]
async fn test_limit_converges_to_capacity(#[case] start: usize, #[case] capacity: usize) {
    let limit = converge(LimitPolicy::Aimd, start, capacity, 100).await;
    let least = (capacity * 7 / 10).max(1);
    assert!(
        (least..=capacity + 1).contains(&limit),
        "{limit} for {capacity}"
    );
}

/// Guards against the fixed policy adjusting its limit after late responses.
#[tokio::test(start_paused = true)]
async fn test_limit_fixed_stays_constant() {
    assert_eq!(converge(LimitPolicy::Fixed, 64, 3, 100).await, 64);
}

/// Guards against a collapse of the limit when one overload rejects many concurrent requests.
#[tokio::test(start_paused = true)]
async fn test_limit_decreases_once_for_concurrent_rejections() {
    let mut limit = ConcurrencyLimit::new(LimitPolicy::Aimd, 100);
    for _ in 0..50 {
        limit.record_rejection(Instant::now());
    }
    assert_eq!(limit.limit(), 80);
    // Longer than the 100 ms in which rejections decrease the limit only once.
    tokio::time::advance(TARGET).await;
    limit.record_rejection(Instant::now());
    assert_eq!(limit.limit(), 64);
}

/// Guards against a limit that grows without evidence: quick responses at low load say nothing
/// about the capacity.
#[tokio::test(start_paused = true)]
async fn test_limit_does_not_increase_at_low_utilization() {
    let mut limit = ConcurrencyLimit::new(LimitPolicy::Aimd, 20);
    for _ in 0..1000 {
        limit.record_response(Instant::now(), 2, Duration::ZERO, TARGET);
    }
    assert_eq!(limit.limit(), 20);
}

fn queued(customer: &str, weight: u32, priority: Priority, cost: f64) -> QueuedRequest {
    QueuedRequest {
        customer: customer.parse::<CustomerName>().unwrap(),
        weight,
        priority,
        cost,
    }
}

fn interactive(customer: &str, weight: u32, cost: f64) -> QueuedRequest {
    queued(customer, weight, Priority::Interactive, cost)
}

/// Dequeues `count` requests and returns their total cost by label.
fn dequeue_costs(
    queue: &mut FairQueue<(&'static str, f64)>,
    count: usize,
) -> HashMap<&'static str, f64> {
    let mut served = HashMap::new();
    for _ in 0..count {
        let (label, cost) = queue.pop().unwrap();
        *served.entry(label).or_default() += cost;
    }
    served
}

/// Guards against one customer's burst delaying the requests of others: the fair policy interleaves
/// them, while FIFO serves the burst first.
#[rstest]
#[case::fair(QueuePolicy::Fair, 10)]
#[case::fifo(QueuePolicy::Fifo, 0)]
fn test_queue_burst_of_one_customer_delays_others_only_under_fifo(
    #[case] policy: QueuePolicy,
    #[case] expected_small_count: usize,
) {
    let mut queue = FairQueue::new(policy);
    for _ in 0..100 {
        queue.push(&interactive("large", 1, 10.0), ("large", 10.0));
    }
    for _ in 0..10 {
        queue.push(&interactive("small", 1, 10.0), ("small", 10.0));
    }
    let served = dequeue_costs(&mut queue, 21);
    let small_count = served.get("small").copied().unwrap_or_default() / 10.0;
    assert!(
        (small_count - expected_small_count as f64).abs() <= 1.0,
        "{served:?}"
    );
}

/// Guards against shares by number of requests, by which customers with costly requests would get
/// more than their weight.
#[test]
fn test_queue_shares_by_weight_and_cost() {
    let mut queue = FairQueue::new(QueuePolicy::Fair);
    for _ in 0..400 {
        queue.push(&interactive("heavy", 3, 5.0), ("heavy", 5.0));
        queue.push(&interactive("light", 1, 20.0), ("light", 20.0));
    }
    let served = dequeue_costs(&mut queue, 300);
    let ratio = served["heavy"] / served["light"];
    assert!((2.7..3.3).contains(&ratio), "{served:?}");
}

/// Guards against deferred requests that delay interactive ones, and against their starvation under
/// constant interactive load. Also checks that the cost ahead of an interactive request leaves out
/// deferred ones.
#[test]
fn test_queue_prefers_interactive_without_starving_deferred() {
    let mut queue = FairQueue::new(QueuePolicy::Fair);
    for _ in 0..100 {
        queue.push(&queued("a", 1, Priority::Deferred, 1.0), ("deferred", 1.0));
    }
    for _ in 0..100 {
        queue.push(&interactive("a", 1, 1.0), ("interactive", 1.0));
    }
    assert!((queue.cost_ahead(Priority::Interactive) - 100.0).abs() < 1e-9);
    assert!((queue.cost_ahead(Priority::Deferred) - 200.0).abs() < 1e-9);
    // Every tenth dequeue takes a deferred request first.
    let served = dequeue_costs(&mut queue, 100);
    assert!((served["interactive"] - 90.0).abs() < 1e-9, "{served:?}");
    assert_eq!(queue.len(), 100);
}

/// Guards against a customer that saves up credit while idle and then delays all others.
#[test]
fn test_queue_gives_no_credit_for_idle_time() {
    let mut queue = FairQueue::new(QueuePolicy::Fair);
    for _ in 0..100 {
        queue.push(&interactive("busy", 1, 1.0), ("busy", 1.0));
    }
    dequeue_costs(&mut queue, 50);
    for _ in 0..100 {
        queue.push(&interactive("late", 1, 1.0), ("late", 1.0));
    }
    let served = dequeue_costs(&mut queue, 40);
    assert!((18.0..=22.0).contains(&served["late"]), "{served:?}");
}

fn endpoint_names(count: usize) -> Vec<EndpointName> {
    (0..count)
        .map(|n| format!("e{n}").parse().unwrap())
        .collect()
}

/// Assigns requests by their affinity keys; returns the load of each endpoint and the endpoint of
/// each request.
fn assign(policy: BalancePolicy, endpoints: usize, keys: &[u64]) -> (Vec<usize>, Vec<usize>) {
    let names = endpoint_names(endpoints);
    let mut load = vec![0; endpoints];
    let mut assigned = Vec::new();
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
        assigned.push(chosen);
    }
    (load, assigned)
}

/// Guards against affinity that loads an endpoint beyond 1.25 times the mean, or that is too weak
/// to keep requests with the same prefix on one endpoint.
#[test]
fn test_balance_affinity_groups_prefixes_within_load_bound() {
    let keys: Vec<u64> = (0..400).map(|n| n % 40).collect();
    let (load, assigned) = assign(BalancePolicy::PrefixAffinity, 10, &keys);
    let mean = 40.0_f64;
    let max_load = load.iter().max().copied().unwrap_or_default();
    assert!(max_load as f64 <= (mean * 1.25).ceil(), "{load:?}");
    let same_by_affinity = (40..400)
        .filter(|n| assigned[*n] == assigned[n % 40])
        .count();
    assert!(
        same_by_affinity > 180,
        "{same_by_affinity} of 360 stayed with their prefix"
    );
    let (_, assigned) = assign(BalancePolicy::TwoChoices, 10, &keys);
    let same_by_two_choices = (40..400)
        .filter(|n| assigned[*n] == assigned[n % 40])
        .count();
    assert!(
        same_by_two_choices < same_by_affinity / 2,
        "{same_by_two_choices} by two choices, {same_by_affinity} by affinity"
    );
}

/// Guards against all requests on one endpoint when they share one prefix.
#[test]
fn test_balance_spreads_requests_with_one_prefix() {
    let (load, _) = assign(BalancePolicy::PrefixAffinity, 8, &[7; 800]);
    // 800 requests on 8 endpoints: the mean is 100 and the bound 125; the check allows one more.
    let max_load = load.iter().max().copied().unwrap_or_default();
    assert!(max_load <= 126, "{load:?}");
}

/// Guards against requests sent to an endpoint at its limit while another one is below it.
#[rstest]
#[case(BalancePolicy::Random)]
#[case(BalancePolicy::TwoChoices)]
#[case(BalancePolicy::PrefixAffinity)]
fn test_balance_chooses_full_endpoints_last(#[case] policy: BalancePolicy) {
    let names = endpoint_names(3);
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
