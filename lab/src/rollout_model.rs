//! Simulated versions and traffic, on which decisions about moves are measured.
//!
//! The decision under test is the product's; what is simulated is the evidence that it sees,
//! with the delay of reports and gossip and dropped at the age at which nodes drop it.

use std::collections::VecDeque;
use std::time::Duration;

use hawthornrack_lib::Counters;
use hawthornrack_lib::Decision;
use hawthornrack_lib::EVIDENCE_KEPT;
use hawthornrack_lib::EvidenceKey;
use hawthornrack_lib::EvidenceRow;
use hawthornrack_lib::KeySupport;
use hawthornrack_lib::LATENCY_BOUNDS_MS;
use hawthornrack_lib::Move;
use hawthornrack_lib::MoveName;
use hawthornrack_lib::RolloutPolicy;
use hawthornrack_lib::Service;
use hawthornrack_lib::ServiceKind;
use hawthornrack_lib::ServiceName;
use hawthornrack_lib::Step;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::Version;
use hawthornrack_lib::VersionName;
use hawthornrack_lib::VersionTest;
use hawthornrack_lib::WINDOW_MS;
use hawthornrack_lib::millis;
use hawthornrack_lib::share_of;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::LogNormal;
use rand_distr::Poisson;

/// Time between two looks at a move, in milliseconds.
const TICK_MS: u64 = 200;

/// Time from a request's answer until its counters have reached all nodes, in milliseconds.
const REPORT_MS: u64 = 400;

/// Start of every simulated move.
const START_MS: u64 = 1_000_000;

/// Time before the start in which the old version's evidence gathers, in milliseconds.
const WARM_MS: u64 = 30_000;

/// Routes with their share of the traffic.
const ROUTES: [(&str, f64); 2] = [("chat", 0.8), ("tag", 0.2)];

/// Probability that a request fails on a good version.
const BASE_FAILURE: f64 = 0.002;

/// Spread of the latency, as the standard deviation of its logarithm.
const LATENCY_SPREAD: f64 = 0.4;

/// Time for which a reclaim wave slows both versions.
const WAVE_MS: u64 = 20_000;

/// Factor on the latency of both versions in a reclaim wave.
const WAVE_SLOW: f64 = 2.5;

/// Probability that a request of either version fails in a wave for a reason not explained.
const WAVE_FAILURE: f64 = 0.02;

/// Time for which a crashing request leaves the new version short of endpoints.
const CRASH_MS: u64 = 5_000;

/// Factor on the new version's latency meanwhile.
const CRASH_SLOW: f64 = 1.8;

/// Time in which a new version fills its prefix caches.
const COLD_MS: f64 = 30_000.0;

/// Factor on the latency of a version whose caches are empty.
const COLD_SLOW: f64 = 1.4;

/// Share from which a version that is bad under load shows it, in thousandths.
const LOAD_SHARE: u32 = 250;

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Requests fail with this probability.
    Fails(f64),
    /// Requests take this many times as long.
    Slow(f64),
}

/// When a version is bad.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Onset {
    /// From the start.
    AtOnce,
    /// From this time after the start, in milliseconds.
    Later(u64),
    /// On one route only.
    OneRoute,
    /// While it has much of the traffic.
    UnderLoad,
}

/// What happens in the middle of the move.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Disturbance {
    /// Nothing.
    None,
    /// A request that crashes endpoints of the new version.
    Crash,
    /// A wave of reclaims of both versions' machines.
    Wave,
}

/// One simulated version and its traffic.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedVersion {
    /// What is wrong with it and when; `None` for a good one.
    pub fault: Option<(Fault, Onset)>,
    /// What happens in the middle of the move.
    pub disturbance: Disturbance,
    /// Requests a second over both versions.
    pub rate: f64,
    /// Median latency, in milliseconds.
    pub latency: f64,
    /// Time between start and deadline, in milliseconds.
    pub span: u64,
    /// Seed of its traffic.
    pub seed: u64,
}

/// How a simulated move ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MoveEnding {
    /// All traffic moved by the deadline.
    Done,
    /// Neither done nor taken back by the deadline.
    Late,
    /// The version was taken back.
    TakenBack,
}

/// What came of a simulated move.
#[derive(Clone, Debug)]
pub struct MoveOutcome {
    /// How it ended.
    pub ending: MoveEnding,
    /// Requests that the new version served.
    pub served: u64,
    /// Requests that the new version served while it was bad.
    pub served_bad: u64,
    /// Time from the third spoilt answer to the end of the new version's traffic.
    pub exposure: Option<Duration>,
    /// Why the version was taken back.
    pub reason: Option<String>,
}

/// Spoilt answers after which a version's badness shows.
const SHOWING: u64 = 3;

/// Draws the version number `index` of a population: the even ones are good, the odd ones bad
/// in each way in turn.
pub fn draw_version(index: u32, seed: u64, span: Duration) -> SimulatedVersion {
    let seed = seed.wrapping_mul(1_000_003) + u64::from(index);
    let mut rng = SmallRng::seed_from_u64(seed);
    let span = millis(span);
    let fault = (index % 2 == 1).then(|| draw_fault(index / 2, span, &mut rng));
    let quiet = rng.random_bool(0.25);
    let rate = if quiet {
        rng.random_range(0.2..1.0)
    } else {
        rng.random_range(10.0..80.0)
    };
    let disturbance = match rng.random_range(0..4) {
        0 => Disturbance::Wave,
        1 => Disturbance::Crash,
        _ => Disturbance::None,
    };
    SimulatedVersion {
        fault,
        disturbance,
        rate,
        latency: rng.random_range(30.0..150.0),
        span,
        seed,
    }
}

fn draw_fault(number: u32, span: u64, rng: &mut SmallRng) -> (Fault, Onset) {
    let fault = if number.is_multiple_of(2) {
        Fault::Fails(rng.random_range(0.05..1.0))
    } else {
        Fault::Slow(rng.random_range(2.0..8.0))
    };
    let onset = match number / 2 % 4 {
        0 => Onset::AtOnce,
        1 => Onset::Later(span * rng.random_range(300..800) / 1000),
        2 => Onset::OneRoute,
        _ => Onset::UnderLoad,
    };
    (fault, onset)
}

/// Runs the move to a simulated version under a policy.
pub fn simulate_move(version: &SimulatedVersion, policy: RolloutPolicy) -> MoveOutcome {
    let (spec, service) = (spec(version.span), service());
    let mut traffic = Traffic::new(*version);
    let mut step: Option<Step> = None;
    let mut test = VersionTest::default();
    let mut time = START_MS - WARM_MS;
    while time < spec.deadline.0 {
        let rows = traffic.rows(time);
        let now = Timestamp(time);
        match policy.decide(&mut test, &spec, &service, step, &rows, now) {
            Decision::Stop(reason) => {
                let outcome = traffic.outcome(MoveEnding::TakenBack, time);
                return MoveOutcome {
                    reason: Some(reason),
                    ..outcome
                };
            }
            Decision::Finish => return traffic.outcome(MoveEnding::Done, time),
            Decision::Raise(next) => step = Some(next),
            Decision::Hold => {}
        }
        traffic.run_tick(time, step.map_or(0, share_of));
        time += TICK_MS;
    }
    traffic.outcome(MoveEnding::Late, time)
}

/// Traffic of both versions and the evidence that it leaves.
struct Traffic {
    version: SimulatedVersion,
    rng: SmallRng,
    rows: IndexMap<EvidenceKey, Counters>,
    /// Answers that have not reached all nodes yet, with the time at which they have.
    due: VecDeque<(u64, EvidenceKey, Answered)>,
    served: u64,
    served_bad: u64,
    spoilt: u64,
    shown: Option<u64>,
}

/// How one request went.
#[derive(Clone, Copy, Debug)]
struct Answered {
    failed: bool,
    latency: f64,
}

/// Who serves a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Side {
    New,
    Old,
}

impl Traffic {
    fn new(version: SimulatedVersion) -> Self {
        Self {
            version,
            rng: SmallRng::seed_from_u64(version.seed ^ 0x5eed),
            rows: IndexMap::new(),
            due: VecDeque::new(),
            served: 0,
            served_bad: 0,
            spoilt: 0,
            shown: None,
        }
    }

    fn run_tick(&mut self, time: u64, share: u32) {
        let expected = self.version.rate * TICK_MS as f64 / 1000.0;
        let arrivals = Poisson::new(expected).map_or(0.0, |d| d.sample(&mut self.rng));
        for _ in 0..arrivals as u64 {
            let side = if self.rng.random_range(0..1000) < share {
                Side::New
            } else {
                Side::Old
            };
            self.run_request(time, share, side);
        }
    }

    fn run_request(&mut self, time: u64, share: u32, side: Side) {
        let route = usize::from(self.rng.random_bool(ROUTES[1].1));
        let fault = match side {
            Side::New => self.version.active_fault(time, share, route),
            Side::Old => None,
        };
        let (failure, slow) = self.version.conditions(time, side);
        let (failure, slow) = match fault {
            Some(Fault::Fails(rate)) => (failure.max(rate), slow),
            Some(Fault::Slow(factor)) => (failure, slow * factor),
            None => (failure, slow),
        };
        let failed = self.rng.random_bool(failure);
        let spread = LogNormal::new(0.0, LATENCY_SPREAD);
        let drawn = spread.map_or(1.0, |d| d.sample(&mut self.rng));
        let latency = self.version.latency * slow * drawn;
        if side == Side::New {
            let spoilt = failed || matches!(fault, Some(Fault::Slow(_)));
            self.count(time, fault.is_some(), spoilt);
        }
        let name = if side == Side::New { "v2" } else { "v1" };
        let key = key(name, ROUTES[route].0, time);
        let answered = Answered { failed, latency };
        self.due.push_back((time + REPORT_MS, key, answered));
    }

    fn count(&mut self, time: u64, bad: bool, spoilt: bool) {
        self.served += 1;
        self.served_bad += u64::from(bad);
        self.spoilt += u64::from(bad && spoilt);
        if self.spoilt == SHOWING && self.shown.is_none() {
            self.shown = Some(time);
        }
    }

    /// Returns the evidence that nodes hold at a time.
    fn rows(&mut self, time: u64) -> Vec<EvidenceRow> {
        while let Some((_, key, answered)) = self.due.pop_front_if(|(at, ..)| *at <= time) {
            add(self.rows.entry(key).or_default(), answered);
        }
        let oldest = time.saturating_sub(millis(EVIDENCE_KEPT));
        self.rows.retain(|key, _| key.window * WINDOW_MS >= oldest);
        let row = |(key, sum): (&EvidenceKey, &Counters)| EvidenceRow {
            key: key.clone(),
            sum: sum.clone(),
        };
        self.rows.iter().map(row).collect()
    }

    fn outcome(&self, ending: MoveEnding, time: u64) -> MoveOutcome {
        let shown = self.shown.filter(|_| ending == MoveEnding::TakenBack);
        MoveOutcome {
            ending,
            served: self.served,
            served_bad: self.served_bad,
            exposure: shown.map(|at| Duration::from_millis(time - at)),
            reason: None,
        }
    }
}

impl SimulatedVersion {
    fn active_fault(&self, time: u64, share: u32, route: usize) -> Option<Fault> {
        let (fault, onset) = self.fault?;
        let active = match onset {
            Onset::AtOnce => true,
            Onset::Later(after) => time >= START_MS + after,
            Onset::OneRoute => route == 1,
            Onset::UnderLoad => share >= LOAD_SHARE,
        };
        active.then_some(fault)
    }

    /// Returns the probability of failure and the factor on the latency of a good version.
    fn conditions(&self, time: u64, side: Side) -> (f64, f64) {
        let since = time.saturating_sub(START_MS + self.span / 2);
        let middle = time >= START_MS + self.span / 2;
        let cold = time.saturating_sub(START_MS) as f64 / COLD_MS;
        let cold = match side {
            Side::New => 1.0 + (COLD_SLOW - 1.0) * (1.0 - cold).max(0.0),
            Side::Old => 1.0,
        };
        match self.disturbance {
            Disturbance::Wave if middle && since < WAVE_MS => (WAVE_FAILURE, cold * WAVE_SLOW),
            Disturbance::Crash if middle && since < CRASH_MS && side == Side::New => {
                (BASE_FAILURE, cold * CRASH_SLOW)
            }
            _ => (BASE_FAILURE, cold),
        }
    }
}

fn add(counters: &mut Counters, answered: Answered) {
    if answered.failed {
        counters.failed += 1;
        return;
    }
    counters.ok += 1;
    counters.latency.resize(LATENCY_BOUNDS_MS.len() + 1, 0);
    let latency = answered.latency as u64;
    let bucket = LATENCY_BOUNDS_MS.partition_point(|bound| *bound < latency);
    counters.latency[bucket] += 1;
}

fn key(version: &str, route: &str, time: u64) -> EvidenceKey {
    EvidenceKey {
        service: service_name(),
        version: version_name(version),
        route: route.to_owned(),
        window: time / WINDOW_MS,
    }
}

fn service_name() -> ServiceName {
    ServiceName::new("tutor-llm").expect("the name is valid")
}

fn version_name(name: &str) -> VersionName {
    VersionName::new(name).expect("the name is valid")
}

fn spec(span: u64) -> Move {
    Move {
        name: MoveName::new("m1").expect("the name is valid"),
        service: service_name(),
        from: version_name("v1"),
        to: version_name("v2"),
        start: Timestamp(START_MS),
        deadline: Timestamp(START_MS + span),
    }
}

fn service() -> Service {
    let version = |share| Version {
        model: String::new(),
        share,
    };
    Service {
        name: service_name(),
        kind: ServiceKind::Model,
        versions: IndexMap::from([
            (version_name("v1"), version(1000)),
            (version_name("v2"), version(0)),
        ]),
        routes: Vec::new(),
        keys: KeySupport::Ignored,
        fenced: true,
        target: Duration::from_millis(960),
        replicas: 0,
    }
}
