//! Decides the next stage of a rollout.
//!
//! A bad version must not get more than a bounded share of the requests between the order and its
//! deadline, even if it turns bad late. The new version therefore gets a small trial share for most
//! of the time, and takes over in a cutover shortly before the deadline that uses up the remaining
//! allowance.

use std::time::Duration;

use crate::FULL_SHARE_PERMILLE;
use crate::Regression;
use crate::RolloutState;
use crate::Stage;

/// Fraction of the allowed exposure that is planned for; the rest covers a rise of the request
/// rate.
const PLANNED_EXPOSURE_FRACTION: f64 = 0.95;

/// Fraction of the allowed exposure at which a cutover is postponed.
const MAX_EXPOSURE_FRACTION: f64 = 0.99;

/// Fraction of the requests expected until the deadline that is counted towards the allowance.
const PLANNED_ARRIVAL_FRACTION: f64 = 0.9;

/// Fraction of the exposure allowance that may be used before the cutover.
const TRIAL_EXPOSURE_FRACTION: f64 = 0.2;

/// Number of requests that suffice to judge a version before the cutover.
const TRIAL_SAMPLE_SIZE: f64 = 24.0;

/// Maximum share of the new version before the cutover, in thousandths.
const MAX_TRIAL_SHARE_PERMILLE: u32 = 100;

/// Number of trial requests if the trial only begins with the cutover.
const LATE_TRIAL_SAMPLE_SIZE: f64 = 12.0;

/// Maximum share of the new version, in thousandths, if the trial only begins with the cutover.
const MAX_LATE_TRIAL_SHARE_PERMILLE: u32 = 250;

/// Minimum share of the new version in a trial stage, in thousandths.
const MIN_TRIAL_SHARE_PERMILLE: u32 = 5;

/// Minimum time since the order before which the new version gets no requests, because the measured
/// request rate is not reliable yet.
const MIN_RATE_WARM_UP: Duration = Duration::from_millis(1200);

/// That time in propagation times: the order reaches all entries in the first and their counts
/// reach the holder in the second.
const RATE_WARM_UP_PROPAGATIONS: u32 = 2;

/// Time before the deadline from which a cutover may begin although the allowance covers only the
/// requests of the cutover itself.
///
/// This is also the planned duration of a cutover that begins too late to end before the deadline,
/// and the time from the deadline to the planned end of a postponed cutover. A cutover is postponed
/// only if its planned end moves by more than half of this time.
const CUTOVER_WINDOW: Duration = Duration::from_secs(6);

/// Time before the deadline at which the old versions should be idle.
const IDLE_MARGIN: Duration = Duration::from_millis(650);

/// Time by which a cutover may complete before its planned end.
pub(crate) const EARLY_COMPLETION_TOLERANCE: Duration = Duration::from_millis(300);

/// Time before the deadline from which a rollout no longer waits for requests on old versions that
/// can continue at another endpoint.
const RESUMABLE_WAIT_CUTOFF: Duration = Duration::from_millis(350);

/// Time after the planned end of a cutover at which it completes even if requests still run on old
/// versions.
const MAX_DRAIN_OVERRUN: Duration = Duration::from_secs(10);

/// Time from when a request is sent until a decision of the holder can follow from it in a cutover.
const MAX_COUNT_DELAY: Duration = Duration::from_millis(300);

/// Number of outcomes of requests on the new version that suffice for its completion.
const MIN_OUTCOMES: u64 = 6;

/// Time whose requests suffice for a completion if they are fewer than [`MIN_OUTCOMES`].
const EVIDENCE_WINDOW: Duration = Duration::from_secs(1);

/// Time after the deadline from which a version is rolled back if it is still in doubt, too little
/// is known of it, or its endpoints have left.
const MAX_DOUBT: Duration = Duration::from_secs(20);

/// Limit on the requests that a bad version may get: `share` of all requests plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// Share of the service's requests between the order and its deadline, from 0 to 1.
    pub share: f64,
    /// Number of requests allowed in addition to that share.
    pub slack: f64,
}

/// State of a rollout from which its next stage is decided.
#[derive(Clone, Copy, Debug)]
pub struct RolloutView {
    /// Current stage; `None` before the first one.
    pub stage: Option<Stage>,
    /// Time since this holder first saw the stage.
    pub stage_age: Duration,
    /// Time within which a stage reaches all entries.
    pub propagation_time: Duration,
    /// Current synchronized time in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Time since the order was first seen.
    pub elapsed: Duration,
    /// Time within which the rollout should complete, counted like `elapsed`.
    pub within: Duration,
    /// Number of requests sent to the service since the order.
    pub sent: u64,
    /// Number of those requests that were sent to the new version.
    pub exposed: u64,
    /// Number of responses and failures of the new version.
    pub target_outcomes: u64,
    /// Requests to the service per second.
    pub request_rate: f64,
    /// Whether this holder has measured that rate for long enough; otherwise it may be too low, as
    /// requests of entries that have left are unknown.
    pub is_rate_measured: bool,
    /// Requests to the service per second in the newest second if there are more, to see a rise.
    pub peak_rate: f64,
    /// Number of endpoints of the new version that accept requests.
    pub target_endpoints: usize,
    /// Mean upper bound of the duration of the service's requests.
    pub duration_bound: Duration,
    /// Number of requests running on endpoints of old versions.
    pub old_running: u32,
    /// Number of those that cannot continue at another endpoint.
    pub old_non_retryable: u32,
    /// Whether the evidence speaks against the new version, though not clearly.
    pub is_in_doubt: bool,
    /// Regression found in the new version, if any.
    pub regression: Option<Regression>,
}

impl RolloutView {
    fn time_left(&self) -> Duration {
        self.within.saturating_sub(self.elapsed)
    }

    /// Returns whether the measured request rate covers all entries.
    fn is_rate_known(&self) -> bool {
        let warm_up = self.propagation_time * RATE_WARM_UP_PROPAGATIONS;
        self.is_rate_measured && self.elapsed >= warm_up.max(MIN_RATE_WARM_UP)
    }

    /// Returns the number of requests that the new version may get in all before the deadline.
    fn limit(&self, bounds: ExposureBounds) -> f64 {
        let expected =
            self.request_rate * self.time_left().as_secs_f64() * PLANNED_ARRIVAL_FRACTION;
        bounds.share * (self.sent as f64 + expected) + bounds.slack
    }

    /// Returns the number of requests that are planned for the new version until the deadline.
    fn allowance(&self, bounds: ExposureBounds) -> f64 {
        let planned = self.limit(bounds) * PLANNED_EXPOSURE_FRACTION;
        (planned - self.exposed as f64).max(0.0)
    }

    /// Returns whether the new version may get a number of uncounted requests before the deadline.
    fn is_affordable(&self, uncounted: f64, bounds: ExposureBounds) -> bool {
        self.exposed as f64 + uncounted < self.limit(bounds) * MAX_EXPOSURE_FRACTION
    }

    /// Returns the number of requests that the new version gets while old ones end in a cutover.
    fn cutover_requests(&self) -> f64 {
        let span = (self.duration_bound + IDLE_MARGIN).min(self.time_left());
        self.request_rate * span.as_secs_f64()
    }

    /// Returns whether the allowance covers all requests expected until the deadline, or the
    /// deadline is near and the allowance covers the requests of a cutover.
    fn is_cutover_due(&self, bounds: ExposureBounds) -> bool {
        let allowance = self.allowance(bounds);
        let time_left = self.time_left();
        let total = self.request_rate * time_left.as_secs_f64();
        total <= allowance || (time_left <= CUTOVER_WINDOW && self.cutover_requests() <= allowance)
    }

    /// Returns the synchronized time at which the old versions should be idle, in milliseconds
    /// since the Unix epoch: [`IDLE_MARGIN`] before the deadline or, if that has passed,
    /// [`CUTOVER_WINDOW`] from now.
    fn idle_deadline_ms(&self) -> u64 {
        let span = self.time_left().saturating_sub(IDLE_MARGIN);
        let span = if span.is_zero() { CUTOVER_WINDOW } else { span };
        self.now_ms + crate::millis(span)
    }

    fn trial_share(&self, bounds: ExposureBounds) -> u32 {
        let requests = (self.allowance(bounds) * TRIAL_EXPOSURE_FRACTION).min(TRIAL_SAMPLE_SIZE);
        self.share_of(requests).min(MAX_TRIAL_SHARE_PERMILLE)
    }

    /// Returns the trial share of a cutover that begins without one, which is taken from what the
    /// cutover leaves of the allowance.
    fn cutover_trial_share(&self, bounds: ExposureBounds) -> u32 {
        let spare = (self.allowance(bounds) - self.cutover_requests()).max(0.0);
        self.share_of(spare.min(LATE_TRIAL_SAMPLE_SIZE))
            .min(MAX_LATE_TRIAL_SHARE_PERMILLE)
    }

    /// Returns the trial share of a postponed cutover: none before the deadline, since it is
    /// postponed to save the allowance, none at an unmeasured rate, and none for a version that has
    /// got enough requests to be judged.
    fn retry_share(&self) -> u32 {
        if !self.time_left().is_zero() || !self.is_rate_measured {
            return 0;
        }
        let missing = (TRIAL_SAMPLE_SIZE - self.exposed as f64).max(0.0);
        let expected = self.request_rate * CUTOVER_WINDOW.as_secs_f64();
        let share = missing / expected.max(1.0) * f64::from(FULL_SHARE_PERMILLE);
        (share as u32).min(MAX_LATE_TRIAL_SHARE_PERMILLE)
    }

    /// Returns the share that brings a number of trial requests until the deadline.
    fn share_of(&self, trial_requests: f64) -> u32 {
        let expected = self.request_rate * self.time_left().as_secs_f64();
        let share = trial_requests / expected.max(1.0) * f64::from(FULL_SHARE_PERMILLE);
        (share as u32).max(MIN_TRIAL_SHARE_PERMILLE)
    }

    /// Returns the time since the planned end of a cutover.
    fn late(&self, idle_ms: u64) -> Duration {
        Duration::from_millis(self.now_ms.saturating_sub(idle_ms))
    }

    fn is_complete(&self, idle_ms: u64) -> bool {
        let early_ms = idle_ms.saturating_sub(crate::millis(EARLY_COMPLETION_TOLERANCE));
        if self.stage_age < self.propagation_time || self.now_ms < early_ms {
            return false;
        }
        let can_skip_wait =
            self.time_left() <= RESUMABLE_WAIT_CUTOFF && self.old_non_retryable == 0;
        self.old_running == 0 || can_skip_wait || self.late(idle_ms) >= MAX_DRAIN_OVERRUN
    }

    /// Returns whether enough is known of the new version: a few outcomes, or as many as the rate
    /// of requests, now or in the mean since the order, brings in a short time.
    fn has_enough_evidence(&self) -> bool {
        let mean_rate = self.sent as f64 / self.elapsed.as_secs_f64().max(1.0);
        let arriving = self.request_rate.max(mean_rate) * EVIDENCE_WINDOW.as_secs_f64();
        let is_seldom_used = self.is_rate_measured && self.target_outcomes >= arriving as u64;
        is_seldom_used || self.target_outcomes >= MIN_OUTCOMES
    }

    /// Returns whether the new version has got requests and lost all endpoints, long after the
    /// deadline; one that has got none may still be starting.
    fn is_abandoned(&self) -> bool {
        let is_overdue = self.elapsed > self.within + MAX_DOUBT;
        let is_stage_settled = self.stage_age >= self.propagation_time;
        is_overdue && is_stage_settled && self.target_endpoints == 0 && self.exposed > 0
    }

    /// Returns whether requests sent at the planned end of a cutover should have ended, so that
    /// outcomes that are still missing may never come.
    fn is_evidence_overdue(&self, idle_ms: u64) -> bool {
        self.late(idle_ms) > self.duration_bound + EVIDENCE_WINDOW
    }

    /// Returns the number of requests that the new version gets, uncounted so far, before all
    /// entries know that a cutover is postponed now; none if that is too late to have an effect.
    fn unstoppable_requests(&self, idle_ms: u64) -> f64 {
        if self.time_left() <= self.propagation_time {
            return 0.0;
        }
        let begin_ms = idle_ms.saturating_sub(crate::millis(self.duration_bound));
        let until_begin = Duration::from_millis(begin_ms.saturating_sub(self.now_ms));
        let span = (self.propagation_time + MAX_COUNT_DELAY).saturating_sub(until_begin);
        self.peak_rate * span.as_secs_f64()
    }

    /// Returns whether the requests that the new version gets before the deadline after a
    /// completion, which cannot be postponed, are affordable, or it is too late to postpone that.
    fn is_completion_affordable(&self, bounds: ExposureBounds) -> bool {
        let requests = self.peak_rate * (self.time_left() + MAX_COUNT_DELAY).as_secs_f64();
        self.time_left() <= self.propagation_time || self.is_affordable(requests, bounds)
    }

    fn later_idle_ms(&self) -> u64 {
        self.now_ms + crate::millis(self.time_left() + CUTOVER_WINDOW)
    }

    /// Returns a later idle deadline in milliseconds since the Unix epoch if the exposure allowance
    /// until the deadline is used up and the new time differs enough to justify a stage.
    fn postponed_idle_ms(&self, idle_ms: u64, bounds: ExposureBounds) -> Option<u64> {
        let later_ms = self.later_idle_ms();
        let is_much_later = later_ms > idle_ms + crate::millis(CUTOVER_WINDOW / 2);
        let is_exhausted = !self.time_left().is_zero()
            && !self.is_affordable(self.unstoppable_requests(idle_ms), bounds);
        (is_exhausted && is_much_later).then_some(later_ms)
    }
}

/// Returns the stage that a rollout should be in now, which is the current one if nothing changes.
pub fn next_stage(view: &RolloutView, bounds: ExposureBounds) -> Stage {
    let Some(stage) = view.stage else {
        return Stage {
            state: RolloutState::InProgress,
            serial: 0,
            share: 0,
            idle_ms: None,
        };
    };
    if stage.state != RolloutState::InProgress {
        return stage;
    }
    if view.regression.is_some() || view.is_abandoned() {
        return stage.next(RolloutState::RolledBack, 0, None);
    }
    if let Some(idle_ms) = stage.idle_ms {
        return next_cutover_stage(view, bounds, stage, idle_ms);
    }
    if view.target_endpoints == 0 || !view.is_rate_known() {
        return stage;
    }
    if view.is_cutover_due(bounds) {
        let share = match stage.share {
            0 => view.cutover_trial_share(bounds),
            trial => trial,
        };
        return stage.next(
            RolloutState::InProgress,
            share,
            Some(view.idle_deadline_ms()),
        );
    }
    if stage.share == 0 {
        return stage.next(RolloutState::InProgress, view.trial_share(bounds), None);
    }
    stage
}

/// Returns the stage that follows `stage`, a cutover that is planned to end at `idle_ms`, a
/// synchronized time in milliseconds since the Unix epoch.
fn next_cutover_stage(
    view: &RolloutView,
    bounds: ExposureBounds,
    stage: Stage,
    idle_ms: u64,
) -> Stage {
    let is_complete = view.is_complete(idle_ms) && view.is_completion_affordable(bounds);
    if is_complete && view.target_endpoints == 0 {
        // The old versions serve until the new one can.
        return stage.next(RolloutState::InProgress, 0, Some(view.later_idle_ms()));
    }
    let is_sound = view.has_enough_evidence() && !view.is_in_doubt;
    if is_complete && is_sound {
        return stage.next(RolloutState::Completed, FULL_SHARE_PERMILLE, None);
    }
    if is_complete && (view.is_in_doubt || view.is_evidence_overdue(idle_ms)) {
        // The old versions serve until the requests on the new one have shown what it is.
        return if view.elapsed > view.within + MAX_DOUBT {
            stage.next(RolloutState::RolledBack, 0, None)
        } else {
            let later_ms = view.later_idle_ms();
            stage.next(RolloutState::InProgress, view.retry_share(), Some(later_ms))
        };
    }
    let postponed_idle_ms = view.postponed_idle_ms(idle_ms, bounds);
    postponed_idle_ms.map_or(stage, |later_ms| {
        stage.next(RolloutState::InProgress, 0, Some(later_ms))
    })
}
