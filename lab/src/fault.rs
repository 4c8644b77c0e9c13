//! Faults that a stand-in endpoint shows.

use std::time::Duration;

use hawthornrack_lib::ATTEMPT_HEADER;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::reply;
use crate::reply::Answer;
use crate::reply::Refusal;
use crate::reply::Reply;

/// Faults of an endpoint.
///
/// Failing and slowness apply to a request only when every condition (`bad_…`) holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Share of requests that fail, from 0 to 1.
    pub failure_rate: f64,
    /// Tokens after which a failing stream breaks off; without it the answer is status 500.
    pub fail_after: Option<u32>,
    /// Factor on every time that the endpoint takes.
    pub slow_factor: f64,
    /// Time from the start or the last change of settings to the first bad request,
    /// in milliseconds.
    pub bad_after_ms: u64,
    /// Requests that must be running besides for a request to be bad.
    pub bad_above: u32,
    /// Prefix of the paths that are bad.
    pub bad_path: Option<String>,
    /// Text in the bodies that are bad.
    pub bad_marker: Option<String>,
    /// The only version that is bad.
    pub bad_version: Option<String>,
    /// Text in a body that makes the endpoint crash.
    pub crash_marker: Option<String>,
    /// Whether a crash ends the whole process; else only the stand-in stops serving.
    pub crash_exit: bool,
    /// Answers still to come that carry another attempt's identifier and text.
    pub crossed: u32,
    /// Answers still to come that are late.
    pub late: u32,
    /// Time by which a late answer is late, in milliseconds.
    pub late_ms: u64,
    /// Answers still to come that are lost after the request took effect.
    pub lose_answers: u32,
    /// Seed of the choice of requests that fail.
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

/// What a request meets.
#[expect(clippy::struct_excessive_bools, reason = "the faults are independent")]
#[derive(Clone, Copy, Debug)]
pub(crate) struct Verdict {
    /// Whether the endpoint crashes.
    pub(crate) crashes: bool,
    /// Whether the request fails.
    pub(crate) fails: bool,
    /// Factor on the time that the request takes.
    pub(crate) slow: f64,
    /// Whether the answer belongs to another attempt.
    pub(crate) crossed: bool,
    /// Time by which the answer is late.
    pub(crate) late: Duration,
    /// Whether the answer is lost.
    pub(crate) lost: bool,
}

impl Verdict {
    /// Returns a finished answer, another attempt's in its place, or none.
    pub(crate) fn finish(self, mut reply: Reply, attempt: &str) -> Answer {
        if self.lost {
            return Err(Refusal::Abort);
        }
        if self.crossed {
            let other: String = attempt.chars().rev().collect();
            reply::set_header(&mut reply, ATTEMPT_HEADER, &other);
        }
        Ok(reply)
    }
}

/// A request as the faults see it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Subject<'a> {
    pub(crate) path: &'a str,
    pub(crate) body: &'a str,
    pub(crate) version: &'a str,
    pub(crate) running: u32,
}

/// Picks the requests that meet a fault.
#[derive(Debug)]
pub(crate) struct FaultPicker {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    rng: SmallRng,
    since: Instant,
}

impl FaultPicker {
    /// Creates a picker whose times count from now.
    pub(crate) fn new(faults: &Faults) -> Self {
        let inner = Inner {
            rng: SmallRng::seed_from_u64(faults.seed),
            since: Instant::now(),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    /// Counts times from now.
    pub(crate) fn restart(&self) {
        self.inner.lock().since = Instant::now();
    }

    /// Decides what a request meets and uses up the counted faults.
    pub(crate) fn pick(&self, faults: &mut Faults, subject: Subject<'_>) -> Verdict {
        let mut inner = self.inner.lock();
        let bad = inner.is_bad(faults, subject);
        let drawn: f64 = inner.rng.random();
        let late = use_up(&mut faults.late);
        Verdict {
            crashes: holds(faults.crash_marker.as_ref(), |m| subject.body.contains(m)),
            fails: bad && drawn < faults.failure_rate,
            slow: if bad { faults.slow_factor } else { 1.0 },
            crossed: use_up(&mut faults.crossed),
            lost: use_up(&mut faults.lose_answers),
            late: Duration::from_millis(if late { faults.late_ms } else { 0 }),
        }
    }
}

impl Inner {
    fn is_bad(&self, faults: &Faults, subject: Subject<'_>) -> bool {
        let path = subject.path.trim_start_matches('/');
        self.since.elapsed() >= Duration::from_millis(faults.bad_after_ms)
            && subject.running >= faults.bad_above
            && allows(faults.bad_path.as_ref(), |p| {
                path.starts_with(p.trim_start_matches('/'))
            })
            && allows(faults.bad_marker.as_ref(), |m| subject.body.contains(m))
            && allows(faults.bad_version.as_ref(), |v| subject.version == v)
    }
}

fn holds(value: Option<&String>, test: impl Fn(&str) -> bool) -> bool {
    value.is_some_and(|v| test(v))
}

fn allows(value: Option<&String>, test: impl Fn(&str) -> bool) -> bool {
    value.is_none_or(|v| test(v))
}

fn use_up(count: &mut u32) -> bool {
    let some = *count > 0;
    *count -= u32::from(some);
    some
}
