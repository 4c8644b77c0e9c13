//! Simulation of moves to a new version, for comparing rollout policies.
//!
//! The policies are those of the production code. The evidence that they see is simulated, with the
//! delay of reports and gossip, and is dropped at the age at which nodes drop it.

use std::collections::VecDeque;
use std::time::Duration;

use hawthornrack_lib::Counters;
use hawthornrack_lib::Decision;
use hawthornrack_lib::EVIDENCE_RETENTION;
use hawthornrack_lib::EVIDENCE_WINDOW_MS;
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
use hawthornrack_lib::millis;
use hawthornrack_lib::step_share;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::LogNormal;
use rand_distr::Poisson;

/// Interval between decisions on a move and step of the simulation, in milliseconds.
const TICK_MS: u64 = 200;

/// Time from a response until its counters have reached all nodes, in milliseconds.
const REPORT_DELAY_MS: u64 = 400;

/// Simulated time at which every move starts, in milliseconds.
const MOVE_START_MS: u64 = 1_000_000;

/// Time before the start of a move in which evidence of the old version accumulates, in
/// milliseconds.
const EVIDENCE_WARMUP_MS: u64 = 30_000;

/// Routes and their shares of the traffic.
const ROUTES: [(&str, f64); 2] = [("chat", 0.8), ("tag", 0.2)];

/// Probability that a request to a version without a regression fails.
const BASE_FAILURE_RATE: f64 = 0.002;

/// Standard deviation of the natural logarithm of the latency.
const LATENCY_LOG_STD_DEV: f64 = 0.4;

/// Time for which a wave of reclaims slows both versions, in milliseconds.
const WAVE_DURATION_MS: u64 = 20_000;

/// Factor by which a wave of reclaims multiplies the latency of both versions.
const WAVE_LATENCY_FACTOR: f64 = 2.5;

/// Probability that a request to either version fails during a wave of reclaims without a known
/// cause, so that the failure counts against the version.
const WAVE_FAILURE_RATE: f64 = 0.02;

/// Time for which the new version lacks endpoints after a crashing request, in milliseconds.
const CRASH_DURATION_MS: u64 = 5_000;

/// Factor by which the lack of endpoints multiplies the latency of the new version.
const CRASH_LATENCY_FACTOR: f64 = 1.8;

/// Time in which a new version fills its prefix caches, in milliseconds.
const CACHE_WARMUP_MS: f64 = 30_000.0;

/// Factor by which empty prefix caches multiply the latency of a version.
const COLD_LATENCY_FACTOR: f64 = 1.4;

/// Minimum share of the traffic at which a regression under load is active, in thousandths.
const MIN_UNDER_LOAD_SHARE: u32 = 250;

/// How a regressed version differs from the old one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Regression {
    /// Requests fail with at least this probability.
    Fails(f64),
    /// Latency is multiplied by this factor.
    Slow(f64),
}

/// When a regression is active.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Onset {
    /// From the start of the move.
    AtOnce,
    /// From this time after the start of the move, in milliseconds.
    Later(u64),
    /// On the second route only.
    OneRoute,
    /// While the version receives at least a quarter of the traffic.
    UnderLoad,
}

/// Event unrelated to the new version's quality, which starts halfway between the start and the
/// deadline of a move.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Disturbance {
    /// No event.
    None,
    /// A crashing request takes down endpoints of the new version.
    Crash,
    /// A wave of reclaims takes VMs of both versions.
    Wave,
}

/// Simulated new version and its traffic.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedVersion {
    /// Regression and when it is active; `None` for a version without one.
    pub regression: Option<(Regression, Onset)>,
    /// Event halfway through the move.
    pub disturbance: Disturbance,
    /// Requests per second to both versions together.
    pub rate: f64,
    /// Median latency of both versions without regression, disturbance or cold caches, in
    /// milliseconds.
    pub latency_ms: f64,
    /// Time from the start to the deadline of the move, in milliseconds.
    pub span_ms: u64,
    /// Seed of the traffic.
    pub seed: u64,
}

/// How a simulated move ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MoveEnding {
    /// All traffic was moved by the deadline.
    Done,
    /// Neither finished nor rolled back by the deadline.
    Late,
    /// The move was rolled back.
    RolledBack,
}

/// Ending and measurements of a simulated move.
#[derive(Clone, Debug)]
pub struct MoveOutcome {
    /// How the move ended.
    pub ending: MoveEnding,
    /// Requests that the new version served.
    pub served: u64,
    /// Requests that the new version served while its regression was active.
    pub served_regressed: u64,
    /// Time from the third affected response to the rollback; `None` if the move was not rolled
    /// back or had fewer than three affected responses.
    pub time_to_rollback: Option<Duration>,
    /// Reason for the rollback.
    pub reason: Option<String>,
}

/// Number of affected responses from which a regression counts as observable.
const MIN_AFFECTED_RESPONSES: u64 = 3;

/// Draws version `index` of a population. Odd ones have a regression, which rotates through the
/// combinations of kind and onset.
///
/// `span` is the time from the start to the deadline of the move. Versions with the same index,
/// seed and span are equal.
pub fn draw_version(index: u32, seed: u64, span: Duration) -> SimulatedVersion {
    let seed = seed.wrapping_mul(1_000_003) + u64::from(index);
    let mut rng = SmallRng::seed_from_u64(seed);
    let span_ms = millis(span);
    let regression = (index % 2 == 1).then(|| draw_regression(index / 2, span_ms, &mut rng));
    let has_low_traffic = rng.random_bool(0.25);
    let rate = if has_low_traffic {
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
        regression,
        disturbance,
        rate,
        latency_ms: rng.random_range(30.0..150.0),
        span_ms,
        seed,
    }
}

fn draw_regression(number: u32, span_ms: u64, rng: &mut SmallRng) -> (Regression, Onset) {
    let regression = if number.is_multiple_of(2) {
        Regression::Fails(rng.random_range(0.05..1.0))
    } else {
        Regression::Slow(rng.random_range(2.0..8.0))
    };
    let onset = match number / 2 % 4 {
        0 => Onset::AtOnce,
        1 => Onset::Later(span_ms * rng.random_range(300..800) / 1000),
        2 => Onset::OneRoute,
        _ => Onset::UnderLoad,
    };
    (regression, onset)
}

/// Simulates the move to a version under a rollout policy.
pub fn simulate_move(version: &SimulatedVersion, policy: RolloutPolicy) -> MoveOutcome {
    let (spec, service) = (move_spec(version.span_ms), service());
    let mut traffic = Traffic::new(*version);
    let mut step: Option<Step> = None;
    let mut test = VersionTest::default();
    let mut time_ms = MOVE_START_MS - EVIDENCE_WARMUP_MS;
    while time_ms < spec.deadline.0 {
        let rows = traffic.visible_rows(time_ms);
        let now = Timestamp(time_ms);
        match policy.decide(&mut test, &spec, &service, step, &rows, now) {
            Decision::Stop(reason) => {
                let outcome = traffic.outcome(MoveEnding::RolledBack, time_ms);
                return MoveOutcome {
                    reason: Some(reason),
                    ..outcome
                };
            }
            Decision::Finish => return traffic.outcome(MoveEnding::Done, time_ms),
            Decision::Advance(next) => step = Some(next),
            Decision::Hold => {}
        }
        traffic.run_tick(time_ms, step.map_or(0, step_share));
        time_ms += TICK_MS;
    }
    traffic.outcome(MoveEnding::Late, time_ms)
}

/// Traffic of both versions and the evidence that it produces.
struct Traffic {
    version: SimulatedVersion,
    rng: SmallRng,
    rows: IndexMap<EvidenceKey, Counters>,
    /// Results that have not reached all nodes yet, with the simulated time at which they will, in
    /// milliseconds.
    pending: VecDeque<(u64, EvidenceKey, RequestResult)>,
    served: u64,
    served_regressed: u64,
    /// Responses of the new version that failed or were slowed while its regression was active.
    affected: u64,
    /// Simulated time of the third affected response, in milliseconds.
    observable_since: Option<u64>,
}

/// Result of one request.
#[derive(Clone, Copy, Debug)]
struct RequestResult {
    failed: bool,
    latency_ms: f64,
}

/// Role in the move of the version that serves a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum VersionRole {
    New,
    Old,
}

impl Traffic {
    fn new(version: SimulatedVersion) -> Self {
        Self {
            version,
            // Differs from the seed with which the version was drawn.
            rng: SmallRng::seed_from_u64(version.seed ^ 0x5eed),
            rows: IndexMap::new(),
            pending: VecDeque::new(),
            served: 0,
            served_regressed: 0,
            affected: 0,
            observable_since: None,
        }
    }

    /// Simulates the requests of one simulation step.
    ///
    /// `share` is the new version's share of the traffic, in thousandths.
    fn run_tick(&mut self, time_ms: u64, share: u32) {
        let expected = self.version.rate * TICK_MS as f64 / 1000.0;
        let arrivals = Poisson::new(expected).map_or(0.0, |d| d.sample(&mut self.rng));
        for _ in 0..arrivals as u64 {
            let role = if self.rng.random_range(0..1000) < share {
                VersionRole::New
            } else {
                VersionRole::Old
            };
            self.run_request(time_ms, share, role);
        }
    }

    fn run_request(&mut self, time_ms: u64, share: u32, role: VersionRole) {
        let route = usize::from(self.rng.random_bool(ROUTES[1].1));
        let regression = match role {
            VersionRole::New => self.version.active_regression(time_ms, share, route),
            VersionRole::Old => None,
        };
        let (failure_rate, latency_factor) = self.version.baseline_conditions(time_ms, role);
        let (failure_rate, latency_factor) = match regression {
            Some(Regression::Fails(rate)) => (failure_rate.max(rate), latency_factor),
            Some(Regression::Slow(factor)) => (failure_rate, latency_factor * factor),
            None => (failure_rate, latency_factor),
        };
        let failed = self.rng.random_bool(failure_rate);
        let distribution = LogNormal::new(0.0, LATENCY_LOG_STD_DEV);
        let noise = distribution.map_or(1.0, |d| d.sample(&mut self.rng));
        let latency_ms = self.version.latency_ms * latency_factor * noise;
        if role == VersionRole::New {
            let affected = failed || matches!(regression, Some(Regression::Slow(_)));
            self.count_response(time_ms, regression.is_some(), affected);
        }
        let name = if role == VersionRole::New { "v2" } else { "v1" };
        let key = evidence_key(name, ROUTES[route].0, time_ms);
        let result = RequestResult { failed, latency_ms };
        self.pending
            .push_back((time_ms + REPORT_DELAY_MS, key, result));
    }

    /// Counts a response of the new version, and notes when its regression becomes observable.
    fn count_response(&mut self, time_ms: u64, is_regressed: bool, affected: bool) {
        self.served += 1;
        self.served_regressed += u64::from(is_regressed);
        self.affected += u64::from(is_regressed && affected);
        if self.affected == MIN_AFFECTED_RESPONSES && self.observable_since.is_none() {
            self.observable_since = Some(time_ms);
        }
    }

    /// Returns the evidence that nodes hold at a time.
    fn visible_rows(&mut self, time_ms: u64) -> Vec<EvidenceRow> {
        while let Some((_, key, result)) = self.pending.pop_front_if(|(at, ..)| *at <= time_ms) {
            record_result(self.rows.entry(key).or_default(), result);
        }
        let oldest = time_ms.saturating_sub(millis(EVIDENCE_RETENTION));
        self.rows
            .retain(|key, _| key.window * EVIDENCE_WINDOW_MS >= oldest);
        let row = |(key, sum): (&EvidenceKey, &Counters)| EvidenceRow {
            key: key.clone(),
            sum: sum.clone(),
        };
        self.rows.iter().map(row).collect()
    }

    fn outcome(&self, ending: MoveEnding, time_ms: u64) -> MoveOutcome {
        let observable_since = self
            .observable_since
            .filter(|_| ending == MoveEnding::RolledBack);
        MoveOutcome {
            ending,
            served: self.served,
            served_regressed: self.served_regressed,
            time_to_rollback: observable_since.map(|at| Duration::from_millis(time_ms - at)),
            reason: None,
        }
    }
}

impl SimulatedVersion {
    /// Returns the regression that applies to requests on a route, or `None` if it is not active.
    ///
    /// `share` is the version's share of the traffic, in thousandths.
    fn active_regression(&self, time_ms: u64, share: u32, route: usize) -> Option<Regression> {
        let (regression, onset) = self.regression?;
        let active = match onset {
            Onset::AtOnce => true,
            Onset::Later(after) => time_ms >= MOVE_START_MS + after,
            Onset::OneRoute => route == 1,
            Onset::UnderLoad => share >= MIN_UNDER_LOAD_SHARE,
        };
        active.then_some(regression)
    }

    /// Returns the failure rate and the latency factor that apply without a regression.
    fn baseline_conditions(&self, time_ms: u64, role: VersionRole) -> (f64, f64) {
        let since_disturbance_ms = time_ms.saturating_sub(MOVE_START_MS + self.span_ms / 2);
        let past_middle = time_ms >= MOVE_START_MS + self.span_ms / 2;
        let cache_warmup_progress = time_ms.saturating_sub(MOVE_START_MS) as f64 / CACHE_WARMUP_MS;
        let cold_factor = match role {
            VersionRole::New => {
                1.0 + (COLD_LATENCY_FACTOR - 1.0) * (1.0 - cache_warmup_progress).max(0.0)
            }
            VersionRole::Old => 1.0,
        };
        match self.disturbance {
            Disturbance::Wave if past_middle && since_disturbance_ms < WAVE_DURATION_MS => {
                (WAVE_FAILURE_RATE, cold_factor * WAVE_LATENCY_FACTOR)
            }
            Disturbance::Crash
                if past_middle
                    && since_disturbance_ms < CRASH_DURATION_MS
                    && role == VersionRole::New =>
            {
                (BASE_FAILURE_RATE, cold_factor * CRASH_LATENCY_FACTOR)
            }
            _ => (BASE_FAILURE_RATE, cold_factor),
        }
    }
}

fn record_result(counters: &mut Counters, result: RequestResult) {
    if result.failed {
        counters.failed += 1;
        return;
    }
    counters.ok += 1;
    counters.latency.resize(LATENCY_BOUNDS_MS.len() + 1, 0);
    let latency_ms = result.latency_ms as u64;
    let bucket = LATENCY_BOUNDS_MS.partition_point(|bound| *bound < latency_ms);
    counters.latency[bucket] += 1;
}

fn evidence_key(version: &str, route: &str, time_ms: u64) -> EvidenceKey {
    EvidenceKey {
        service: service_name(),
        version: version_name(version),
        route: route.to_owned(),
        window: time_ms / EVIDENCE_WINDOW_MS,
    }
}

fn service_name() -> ServiceName {
    ServiceName::new("tutor-llm").expect("the name is valid")
}

fn version_name(name: &str) -> VersionName {
    VersionName::new(name).expect("the name is valid")
}

fn move_spec(span_ms: u64) -> Move {
    Move {
        name: MoveName::new("m1").expect("the name is valid"),
        service: service_name(),
        from: version_name("v1"),
        to: version_name("v2"),
        start: Timestamp(MOVE_START_MS),
        deadline: Timestamp(MOVE_START_MS + span_ms),
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
