//! Process test with random faults, two at a time, on six entry VMs.
//!
//! Checks that callers get the responses to their own requests, a booking runs at most once, a
//! booking refused as not run has not run, no gate goes back to an older configuration, no task
//! panics, and all entries serve again after the last fault.
//!
//! `HAWTHORN_SEED` sets the seed from which the faults are drawn.

mod testutils;

use std::time::Duration;
use std::time::Instant;

use hawthornrack_lab::LinkMode;
use hawthornrack_lab::PlainStats;
use hawthornrack_lib::Priority;
use hawthornrack_lib::Route;
use hawthornrack_lib::ServiceKind;
use hyper::Method;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde_json::json;

use testutils::Call;
use testutils::deployment::Deployment;
use testutils::deployment::TOKEN;
use testutils::deployment::service;
use testutils::in_force::OffsetWatch;
use testutils::in_force::put_customer;
use testutils::in_force::wait_offset;
use testutils::load::Load;
use testutils::seed;
use testutils::wait_until;

const ENTRY_COUNT: usize = 6;

/// Names of the endpoints.
const ENDPOINTS: [&str; 4] = ["plain-1", "plain-2", "plain-3", "plain-4"];

/// Seed without `HAWTHORN_SEED`, as in CI.
const DEFAULT_SEED: u64 = 7;

/// Number of rounds, each with two faults.
const ROUNDS: usize = 6;

/// Time for which the faults of a round last.
const FAULT_DURATION: Duration = Duration::from_secs(3);

/// Time without faults between two rounds.
const ROUND_DELAY: Duration = Duration::from_millis(1500);

/// Time within which all controllers and gates must work again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// A fault of one round, with the index of the entry or endpoint that it affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// The log stops responding.
    LogSilent,
    /// The log executes some appends and loses the responses.
    LogResponsesLost,
    /// A controller's connections to the log freeze, new ones included.
    LogLinkFrozen(usize),
    /// All open connections between controllers freeze.
    PeerLinksFrozen,
    /// All open connections to an endpoint freeze.
    EndpointLinksFrozen(usize),
    /// All open connections to an endpoint are reset.
    EndpointLinksReset(usize),
    /// A gate's open connection to its controller freezes.
    GateLinkFrozen(usize),
    /// A controller is killed and started again at the end of the round.
    ControllerKilled(usize),
}

impl Fault {
    /// Draws one of the faults with a random target.
    fn draw(rng: &mut SmallRng) -> Self {
        let entry = rng.random_range(0..ENTRY_COUNT);
        let endpoint = rng.random_range(0..ENDPOINTS.len());
        let faults = [
            Self::LogSilent,
            Self::LogResponsesLost,
            Self::LogLinkFrozen(entry),
            Self::PeerLinksFrozen,
            Self::EndpointLinksFrozen(endpoint),
            Self::EndpointLinksReset(endpoint),
            Self::GateLinkFrozen(entry),
            Self::ControllerKilled(entry),
        ];
        *faults.choose(rng).unwrap()
    }

    async fn inject(self, deployment: &mut Deployment) {
        let proxy = &deployment.proxy;
        let freeze = LinkMode::FreezeExisting;
        let endpoint_link = |index: usize| format!("endpoint-{}", ENDPOINTS[index]);
        match self {
            Self::LogSilent => configure_log(deployment, &json!({"outage": "silent"})).await,
            Self::LogResponsesLost => configure_log(deployment, &json!({"lose_answers": 5})).await,
            Self::LogLinkFrozen(i) => proxy.set_mode(&format!("log-{i}"), LinkMode::Freeze).await,
            Self::PeerLinksFrozen => proxy.set_modes("rpc-", freeze).await,
            Self::EndpointLinksFrozen(i) => proxy.set_mode(&endpoint_link(i), freeze).await,
            Self::EndpointLinksReset(i) => proxy.set_mode(&endpoint_link(i), LinkMode::Cut).await,
            Self::GateLinkFrozen(i) => proxy.set_mode(&format!("own-{i}"), freeze).await,
            Self::ControllerKilled(i) => deployment.entries[i].controller.kill(),
        }
    }

    async fn clear(self, deployment: &mut Deployment) {
        match self {
            Self::LogSilent => configure_log(deployment, &json!({"outage": "off"})).await,
            Self::LogLinkFrozen(i) => {
                let link = format!("log-{i}");
                deployment.proxy.set_mode(&link, LinkMode::Pass).await;
            }
            Self::ControllerKilled(i) => deployment.restart_controller(i).await,
            _ => {}
        }
    }
}

/// Changes the settings of the log stand-in.
async fn configure_log(deployment: &Deployment, patch: &serde_json::Value) {
    deployment
        .http
        .configure(deployment.log.http(), patch)
        .await;
}

/// Returns a call that is repeatable.
fn query_call(number: u64) -> Call {
    Call::new(Method::GET, &format!("/desk/look/{number}")).bearer(TOKEN)
}

/// Returns a call that is not repeatable, with an idempotency key.
fn booking_call(number: u64) -> Call {
    Call::post(&format!("/desk/book/{number}"), &json!({"boat": number}))
        .bearer(TOKEN)
        .header("idempotency-key", &format!("key-{number}"))
}

/// Returns how often all endpoints together ran requests for a path.
async fn count_runs(deployment: &Deployment, path: &str) -> u32 {
    let mut sum = 0;
    for name in ENDPOINTS {
        let stats: PlainStats = deployment.stats(name).await;
        sum += stats.by_path.get(path).copied().unwrap_or_default();
    }
    sum
}

#[tokio::test]
async fn test_mixed_faults_violate_no_guarantee() {
    let mut rng = SmallRng::seed_from_u64(seed(DEFAULT_SEED));
    let mut deployment = Deployment::start(ENTRY_COUNT).await;
    for name in ENDPOINTS {
        deployment
            .add_plain("desk", "v1", name, &["run_ms=3"])
            .await;
    }
    let route = |prefix: &str, repeatable| Route {
        prefix: prefix.to_owned(),
        repeatable,
        priority: Priority::Interactive,
        timeout: Duration::from_secs(10),
    };
    let routes = vec![route("look", true), route("book", false)];
    let desk = service("desk", ServiceKind::Plain, routes);
    deployment.declare(&[desk]).await;
    let watch = OffsetWatch::start(&deployment);
    let queries = Load::start(&deployment, 2, Duration::from_millis(100), query_call);
    let bookings = Load::start(&deployment, 1, Duration::from_millis(200), booking_call);

    for round in 0..ROUNDS {
        let first = Fault::draw(&mut rng);
        let mut second = Fault::draw(&mut rng);
        while second == first {
            second = Fault::draw(&mut rng);
        }
        println!("round {round}: {first:?} and {second:?}");
        first.inject(&mut deployment).await;
        second.inject(&mut deployment).await;
        tokio::time::sleep(FAULT_DURATION).await;
        first.clear(&mut deployment).await;
        second.clear(&mut deployment).await;
        tokio::time::sleep(ROUND_DELAY).await;
    }

    let recovery_start = Instant::now();
    let entries: Vec<usize> = (0..ENTRY_COUNT).collect();
    wait_until("all controllers are ready", RECOVERY_TIMEOUT, async || {
        let mut ready = true;
        for index in &entries {
            ready &= deployment.status(*index).await.is_ok_and(|s| s.state.ready);
        }
        ready
    })
    .await;
    let next = put_customer(&deployment, 0, "after").await;
    wait_offset(&deployment, &entries, next).await;
    wait_until("every gate serves", RECOVERY_TIMEOUT, async || {
        let (queries, bookings) = (queries.samples(), bookings.samples());
        entries.iter().all(|index| {
            [&queries, &bookings].iter().all(|samples| {
                let mut samples = samples.iter().rev();
                let last = samples.find(|s| s.gate == *index && s.sent_at > recovery_start);
                last.is_some_and(|s| s.status == 200)
            })
        })
    })
    .await;
    let (queries, bookings) = (queries.samples(), bookings.samples());
    for sample in queries.iter().filter(|s| s.status == 200) {
        let path = format!("/look/{}", sample.number);
        assert_eq!(
            sample.body["path"],
            path.as_str(),
            "a caller must get the response to its own request"
        );
    }
    let mut not_run_count = 0;
    for sample in &bookings {
        let path = format!("/book/{}", sample.number);
        let runs = count_runs(&deployment, &path).await;
        assert!(runs <= 1, "{path} ran {runs} times");
        if sample.status == 200 {
            assert_eq!(
                sample.body["path"],
                path.as_str(),
                "a caller must get the response to its own request"
            );
            assert_eq!(runs, 1, "{path}");
        }
        if sample.body["outcome"] == "not_run" {
            not_run_count += 1;
            assert_eq!(runs, 0, "{path} was refused as not run");
        }
    }
    let format_success_count = |samples: &[testutils::load::Sample]| {
        let succeeded = samples.iter().filter(|s| s.status == 200).count();
        format!("{succeeded} of {}", samples.len())
    };
    println!(
        "queries with status 200: {}",
        format_success_count(&queries)
    );
    println!(
        "bookings with status 200: {}, refused as not run: {not_run_count}",
        format_success_count(&bookings)
    );
    watch.finish().await;
    deployment.assert_no_panics();
}
