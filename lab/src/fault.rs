//! Faults that a stand-in endpoint injects into its responses.

use std::time::Duration;

use hawthornrack_lib::ATTEMPT_ID_HEADER;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::http;
use crate::http::HandlerResult;
use crate::http::HttpError;
use crate::http::HttpResponse;

/// Faults that an endpoint injects.
///
/// A request is bad if it meets every condition (`bad_…`) that is set. Only bad requests fail or
/// are slow.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Share of bad requests that fail, from 0 to 1.
    pub failure_rate: f64,
    /// Number of tokens after which a failing run of a model engine breaks off; a response that is
    /// not streamed then has status 500. A run that generates no more than this number succeeds.
    /// If it is `None`, and in a plain service, every failing request gets status 500.
    pub fail_after: Option<u32>,
    /// Factor on the time that the endpoint takes for a bad request; must be finite and not
    /// negative.
    pub slow_factor: f64,
    /// Time for which no request is bad after the start or the last change of settings, in
    /// milliseconds.
    pub bad_after_ms: u64,
    /// Minimum number of other running requests for a request to be bad.
    pub bad_above: u32,
    /// Path prefix of bad requests.
    pub bad_path: Option<String>,
    /// Text in the body (plain service) or the prompt (model engine) of bad requests.
    pub bad_marker: Option<String>,
    /// Version whose requests are bad.
    pub bad_version: Option<String>,
    /// Text in the body (plain service) or the prompt (model engine) of a request that crashes the
    /// endpoint.
    pub crash_marker: Option<String>,
    /// Whether a crash exits the whole process; if not, only the stand-in stops serving.
    pub crash_exit: bool,
    /// Number of upcoming responses that carry the identifier of another attempt; in a model engine
    /// also the text for another prompt.
    pub crossed: u32,
    /// Number of upcoming responses that are late.
    pub late: u32,
    /// Delay of a late response, in milliseconds.
    pub late_ms: u64,
    /// Number of upcoming responses that are lost after the request has taken effect.
    pub lose_answers: u32,
    /// Seed of the random choice of the requests that fail; read only at start-up.
    pub seed: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            fail_after: None,
            slow_factor: 1.0,
            bad_after_ms: 0,
            bad_above: 0,
            bad_path: None,
            bad_marker: None,
            bad_version: None,
            crash_marker: None,
            crash_exit: false,
            crossed: 0,
            late: 0,
            late_ms: 0,
            lose_answers: 0,
            seed: 1,
        }
    }
}

/// Faults injected into one request.
#[expect(clippy::struct_excessive_bools, reason = "the faults are independent")]
#[derive(Clone, Copy, Debug)]
pub(crate) struct InjectedFaults {
    /// Whether the request crashes the endpoint.
    pub(crate) crashes: bool,
    /// Whether the request fails.
    pub(crate) fails: bool,
    /// Factor on the time that the request takes.
    pub(crate) slow_factor: f64,
    /// Whether the response is to look like that of another attempt.
    pub(crate) crossed: bool,
    /// Delay before the run (model engine) or before the response (plain service).
    pub(crate) delay: Duration,
    /// Whether the response is lost.
    pub(crate) lost: bool,
}

impl InjectedFaults {
    /// Applies the faults that change a finished response. A lost response closes the connection
    /// instead; a crossed one carries `attempt` reversed, which stands for the identifier of
    /// another attempt.
    pub(crate) fn apply(self, mut response: HttpResponse, attempt: &str) -> HandlerResult {
        if self.lost {
            return Err(HttpError::Abort);
        }
        if self.crossed {
            let other_attempt: String = attempt.chars().rev().collect();
            http::set_header(&mut response, ATTEMPT_ID_HEADER, &other_attempt);
        }
        Ok(response)
    }
}

/// Properties of a request that decide which faults apply to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestInfo<'a> {
    pub(crate) path: &'a str,
    /// Body of a request to a plain service, or prompt of a completion request.
    pub(crate) text: &'a str,
    pub(crate) version: &'a str,
    /// Number of requests that are running besides this one.
    pub(crate) running: u32,
}

/// Decides which faults each request gets.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: SmallRng,
    /// Time from which `bad_after_ms` counts: the start or the last change of settings.
    clock_start: Instant,
}

impl FaultInjector {
    /// Creates an injector; `bad_after_ms` counts from now.
    pub(crate) fn new(faults: &Faults) -> Self {
        let state = State {
            rng: SmallRng::seed_from_u64(faults.seed),
            clock_start: Instant::now(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Restarts the time from which `bad_after_ms` counts.
    pub(crate) fn restart_clock(&self) {
        self.state.lock().clock_start = Instant::now();
    }

    /// Decides which faults a request gets, and decrements the counts `crossed`, `late` and
    /// `lose_answers`.
    pub(crate) fn draw(&self, faults: &mut Faults, request: RequestInfo<'_>) -> InjectedFaults {
        let mut state = self.state.lock();
        let bad = state.is_bad(faults, request);
        let sample: f64 = state.rng.random();
        let is_late = decrement_if_positive(&mut faults.late);
        InjectedFaults {
            crashes: is_set_and(faults.crash_marker.as_ref(), |m| request.text.contains(m)),
            fails: bad && sample < faults.failure_rate,
            slow_factor: if bad { faults.slow_factor } else { 1.0 },
            crossed: decrement_if_positive(&mut faults.crossed),
            lost: decrement_if_positive(&mut faults.lose_answers),
            delay: Duration::from_millis(if is_late { faults.late_ms } else { 0 }),
        }
    }
}

impl State {
    fn is_bad(&self, faults: &Faults, request: RequestInfo<'_>) -> bool {
        let path = request.path.trim_start_matches('/');
        self.clock_start.elapsed() >= Duration::from_millis(faults.bad_after_ms)
            && request.running >= faults.bad_above
            && is_unset_or(faults.bad_path.as_ref(), |p| {
                path.starts_with(p.trim_start_matches('/'))
            })
            && is_unset_or(faults.bad_marker.as_ref(), |m| request.text.contains(m))
            && is_unset_or(faults.bad_version.as_ref(), |v| request.version == v)
    }
}

fn is_set_and(value: Option<&String>, condition: impl Fn(&str) -> bool) -> bool {
    value.is_some_and(|v| condition(v))
}

fn is_unset_or(value: Option<&String>, condition: impl Fn(&str) -> bool) -> bool {
    value.is_none_or(|v| condition(v))
}

/// Decrements a count unless it is zero; returns whether it was above zero.
fn decrement_if_positive(count: &mut u32) -> bool {
    let was_positive = *count > 0;
    *count -= u32::from(was_positive);
    was_positive
}
