//! A mixed run: random faults, two at a time, on six entry VMs.
//!
//! `HAWTHORN_SEED` chooses another run.

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

/// Entry VMs.
const ENTRIES: usize = 6;

/// Endpoints.
const ENDPOINTS: [&str; 4] = ["plain-1", "plain-2", "plain-3", "plain-4"];

/// Seed of the run in CI.
const SEED: u64 = 7;

/// Rounds of faults.
const ROUNDS: usize = 6;

/// Time for which the faults of a round last.
const FAULT_TIME: Duration = Duration::from_secs(3);

/// Time between two rounds.
const PAUSE: Duration = Duration::from_millis(1500);

/// Time within which everything works again after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// One fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// The log answers nobody.
    LogDown,
    /// The log loses the answers to some appends.
    LostAnswers,
    /// One node's connections to the log go silent, new ones too.
    NoLog(usize),
    /// All open connections between controllers go silent.
    SilentPeers,
    /// All open connections to an endpoint go silent.
    SilentEndpoint(usize),
    /// All open connections to an endpoint are reset.
    CutEndpoint(usize),
    /// A gate's open connection to its controller goes silent.
    SilentOwn(usize),
    /// A controller dies and is started again.
    DeadController(usize),
}

impl Fault {
    fn draw(rng: &mut SmallRng) -> Self {
        let entry = rng.random_range(0..ENTRIES);
        let endpoint = rng.random_range(0..ENDPOINTS.len());
        let all = [
            Self::LogDown,
            Self::LostAnswers,
            Self::NoLog(entry),
            Self::SilentPeers,
            Self::SilentEndpoint(endpoint),
            Self::CutEndpoint(endpoint),
            Self::SilentOwn(entry),
            Self::DeadController(entry),
        ];
        *all.choose(rng).unwrap()
    }

    async fn begin(self, deployment: &mut Deployment) {
        let proxy = &deployment.proxy;
        let silent = LinkMode::FreezeExisting;
        let endpoint = |index: usize| format!("endpoint-{}", ENDPOINTS[index]);
        match self {
            Self::LogDown => set_log(deployment, &json!({"outage": "silent"})).await,
            Self::LostAnswers => set_log(deployment, &json!({"lose_answers": 5})).await,
            Self::NoLog(i) => proxy.set_mode(&format!("log-{i}"), LinkMode::Freeze).await,
            Self::SilentPeers => proxy.set_modes("rpc-", silent).await,
            Self::SilentEndpoint(i) => proxy.set_mode(&endpoint(i), silent).await,
            Self::CutEndpoint(i) => proxy.set_mode(&endpoint(i), LinkMode::Cut).await,
            Self::SilentOwn(i) => proxy.set_mode(&format!("own-{i}"), silent).await,
            Self::DeadController(i) => deployment.entries[i].controller.kill(),
        }
    }

    async fn end(self, deployment: &mut Deployment) {
        match self {
            Self::LogDown => set_log(deployment, &json!({"outage": "off"})).await,
            Self::NoLog(i) => {
                let link = format!("log-{i}");
                deployment.proxy.set_mode(&link, LinkMode::Pass).await;
            }
            Self::DeadController(i) => deployment.restart_controller(i).await,
            _ => {}
        }
    }
}

async fn set_log(deployment: &Deployment, patch: &serde_json::Value) {
    deployment.http.control(deployment.log.http(), patch).await;
}

fn look(number: u64) -> Call {
    Call::new(Method::GET, &format!("/desk/look/{number}")).bearer(TOKEN)
}

fn book(number: u64) -> Call {
    Call::post(&format!("/desk/book/{number}"), &json!({"boat": number}))
        .bearer(TOKEN)
        .header("idempotency-key", &format!("key-{number}"))
}

/// Returns the runs of each booked path over all endpoints.
async fn runs_of(deployment: &Deployment, path: &str) -> u32 {
    let mut sum = 0;
    for name in ENDPOINTS {
        let stats: PlainStats = deployment.stats(name).await;
        sum += stats.by_path.get(path).copied().unwrap_or_default();
    }
    sum
}

#[tokio::test]
async fn test_mixed_faults_break_no_promise() {
    let mut rng = SmallRng::seed_from_u64(seed(SEED));
    let mut deployment = Deployment::start(ENTRIES).await;
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
    let looks = Load::start(&deployment, 2, Duration::from_millis(100), look);
    let books = Load::start(&deployment, 1, Duration::from_millis(200), book);

    for round in 0..ROUNDS {
        let first = Fault::draw(&mut rng);
        let mut second = Fault::draw(&mut rng);
        while second == first {
            second = Fault::draw(&mut rng);
        }
        println!("round {round}: {first:?} and {second:?}");
        first.begin(&mut deployment).await;
        second.begin(&mut deployment).await;
        tokio::time::sleep(FAULT_TIME).await;
        first.end(&mut deployment).await;
        second.end(&mut deployment).await;
        tokio::time::sleep(PAUSE).await;
    }

    let healed = Instant::now();
    let all: Vec<usize> = (0..ENTRIES).collect();
    wait_until("all controllers are ready", RECOVERY_LIMIT, async || {
        let mut ready = true;
        for index in &all {
            ready &= deployment.status(*index).await.is_ok_and(|s| s.state.ready);
        }
        ready
    })
    .await;
    let next = put_customer(&deployment, 0, "after").await;
    wait_offset(&deployment, &all, next).await;
    wait_until("every gate serves", RECOVERY_LIMIT, async || {
        let (looks, books) = (looks.samples(), books.samples());
        all.iter().all(|index| {
            [&looks, &books].iter().all(|samples| {
                let mut samples = samples.iter().rev();
                let last = samples.find(|s| s.gate == *index && s.sent > healed);
                last.is_some_and(|s| s.status == 200)
            })
        })
    })
    .await;
    let (looks, books) = (looks.samples(), books.samples());
    for sample in looks.iter().filter(|s| s.status == 200) {
        let path = format!("/look/{}", sample.number);
        assert_eq!(
            sample.body["path"],
            path.as_str(),
            "the caller's own answer"
        );
    }
    let mut refused = 0;
    for sample in &books {
        let path = format!("/book/{}", sample.number);
        let runs = runs_of(&deployment, &path).await;
        assert!(runs <= 1, "{path} ran {runs} times");
        if sample.status == 200 {
            assert_eq!(
                sample.body["path"],
                path.as_str(),
                "the caller's own answer"
            );
            assert_eq!(runs, 1, "{path}");
        }
        if sample.body["outcome"] == "not_run" {
            refused += 1;
            assert_eq!(runs, 0, "{path} was refused as not run");
        }
    }
    let answered = |samples: &[testutils::load::Sample]| {
        let done = samples.iter().filter(|s| s.status == 200).count();
        format!("{done} of {}", samples.len())
    };
    println!("looks answered: {}", answered(&looks));
    println!(
        "bookings answered: {}, refused as not run: {refused}",
        answered(&books)
    );
    watch.finish().await;
    deployment.assert_no_panics();
}
