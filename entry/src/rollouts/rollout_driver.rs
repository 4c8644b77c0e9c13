//! Advances rollouts on the lease holder, from evidence and endpoint loads of all entries.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::DurationEstimator;
use crate::EntryName;
use crate::Node;
use crate::Rollout;
use crate::RolloutEvidence;
use crate::RolloutState;
use crate::RolloutView;
use crate::ServiceName;
use crate::Stage;
use crate::VersionName;
use crate::next_stage;
use crate::refresh_interval;

/// Window over which the newest requests are also judged separately, so that a version that turns
/// bad late is detected quickly.
const RECENT_WINDOW: Duration = Duration::from_secs(4);

/// Interval between stored snapshots of the evidence.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum window over which the recent request rate is measured.
const MIN_RATE_WINDOW: Duration = Duration::from_secs(1);

/// Number of refresh intervals within which a stage, or the load of an endpoint, reaches all
/// entries.
const PROPAGATION_REFRESHES: u32 = 2;

/// Status of a rollout as published to the operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutStatus {
    /// Service that is moved.
    pub service: ServiceName,
    /// New version that the service is moved to.
    pub target: VersionName,
    /// Progress of the rollout.
    pub state: RolloutState,
}

/// Stage that the holder decided, with what the decision rests on.
#[derive(Debug)]
struct StageDecision {
    /// Rollout with that stage.
    rollout: Rollout,
    stage: Stage,
    view: RolloutView,
    evidence: RolloutEvidence,
}

impl StageDecision {
    fn log(&self) {
        let order = &self.rollout.order;
        let view = &self.view;
        let slowdown = self.evidence.slowdown();
        let survival = self.evidence.compare_survival();
        tracing::info!(
            event = "rollout_stage",
            service = %order.service,
            target = %order.target,
            stage = ?self.stage,
            reason = view.regression.map(tracing::field::display),
            elapsed_ms = crate::millis(view.elapsed),
            within_ms = crate::millis(view.within),
            sent = view.sent,
            exposed = view.exposed,
            outcomes = view.target_outcomes,
            rate = view.request_rate,
            peak_rate = view.peak_rate,
            targets = view.target_endpoints,
            longest_ms = crate::millis(view.duration_bound),
            old_running = view.old_running,
            old_once = view.old_non_retryable,
            slowdown = slowdown.excess.exp(),
            slowdown_stderr = slowdown.stderr,
            slowdown_count = slowdown.count,
            ended = survival.observed,
            ended_expected = survival.expected,
            ended_shortfall = survival.shortfall(),
            doubt = view.is_in_doubt,
        );
        log_evidence(&order.service, &self.evidence);
    }
}

/// State that the holder keeps for one rollout.
#[derive(Debug)]
struct RolloutTracker {
    order_id: u64,
    /// Newest evidence by entry and incarnation, so that counts from before a restart are kept.
    by_process: IndexMap<(EntryName, u64), RolloutEvidence>,
    /// Snapshots of the total evidence, oldest first.
    history: VecDeque<(Instant, RolloutEvidence)>,
    stage: Option<Stage>,
    stage_since: Instant,
    /// Newest decision; `None` if the stage should not change.
    decision: Option<StageDecision>,
    published: Option<RolloutState>,
}

impl RolloutTracker {
    fn new(order_id: u64, now: Instant) -> Self {
        Self {
            order_id,
            by_process: IndexMap::new(),
            history: VecDeque::new(),
            stage: None,
            stage_since: now,
            decision: None,
            published: None,
        }
    }

    /// Updates the evidence of all entries and returns the sum.
    fn collect_evidence(&mut self, node: &Node, service: &ServiceName) -> RolloutEvidence {
        let own = node.rollouts.lock().evidence();
        let own = ((node.settings.name.clone(), node.incarnation()), own);
        let members = node.members.lock();
        let peers = members.iter().map(|p| {
            let state = &p.state;
            let key = (state.name.clone(), state.revision.incarnation);
            (key, state.evidence.clone())
        });
        for evidence in self.by_process.values_mut() {
            evidence.clear_running();
        }
        for (key, mut evidence) in std::iter::once(own).chain(peers) {
            let evidence = evidence.swap_remove(service);
            if let Some(evidence) = evidence.filter(|e| e.order == self.order_id) {
                self.by_process.insert(key, evidence);
            }
        }
        let mut sum = RolloutEvidence::new(self.order_id);
        for evidence in self.by_process.values() {
            sum.add(evidence);
        }
        sum
    }

    /// Stores a snapshot of the evidence if one is due.
    ///
    /// Earlier snapshots are removed when the newest one is older than [`RECENT_WINDOW`]: another
    /// entry has held the lease since, and a mean over that time is not the current rate.
    ///
    /// Returns the oldest stored snapshot, which is about [`RECENT_WINDOW`] old if the history
    /// reaches back that far, with its time.
    fn snapshot(&mut self, evidence: &RolloutEvidence, now: Instant) -> (Instant, RolloutEvidence) {
        let newest = self.history.back();
        let newest_age = newest.map_or(Duration::MAX, |(at, _)| now.duration_since(*at));
        if newest_age > RECENT_WINDOW {
            self.history.clear();
        }
        if newest_age >= SNAPSHOT_INTERVAL {
            self.history.push_back((now, evidence.clone()));
        }
        while self
            .history
            .get(1)
            .is_some_and(|(at, _)| now.duration_since(*at) >= RECENT_WINDOW)
        {
            self.history.pop_front();
        }
        let oldest = self.history.front().cloned();
        oldest.unwrap_or_else(|| (now, evidence.clone()))
    }

    /// Returns the requests per second since the newest snapshot that is old enough, or 0 without
    /// one.
    fn newest_rate(&self, sent: u64, now: Instant) -> f64 {
        let mut snapshots = self.history.iter().rev();
        let snapshot = snapshots.find(|(at, _)| now.duration_since(*at) >= MIN_RATE_WINDOW);
        snapshot.map_or(0.0, |(at, evidence)| {
            let count = sent.saturating_sub(evidence.sent().0);
            count as f64 / now.duration_since(*at).as_secs_f64()
        })
    }

    fn record_stage(&mut self, stage: Option<Stage>, now: Instant) {
        if self.stage != stage {
            self.stage = stage;
            self.stage_since = now;
        }
    }
}

/// Endpoints of the new version that take requests, and running requests on the old versions.
#[derive(Clone, Copy, Debug, Default)]
struct EndpointCounts {
    target_endpoints: usize,
    old_running: u32,
    old_non_retryable: u32,
}

/// Decides when the rollouts of all services change their stage.
#[derive(Debug, Default)]
pub struct RolloutDriver {
    trackers: IndexMap<ServiceName, RolloutTracker>,
}

impl RolloutDriver {
    /// Returns the rollouts whose stage should change, each with its new stage.
    pub fn due_stage_changes(&mut self, node: &Node, now: Instant) -> Vec<Rollout> {
        let rollouts: Vec<Rollout> = node.rollouts.lock().iter().cloned().collect();
        let due = rollouts
            .into_iter()
            .filter_map(|r| self.advance(node, r, now));
        due.collect()
    }

    fn advance(&mut self, node: &Node, rollout: Rollout, now: Instant) -> Option<Rollout> {
        let service = rollout.order.service.clone();
        let tracker = self.tracker(&rollout, now);
        tracker.record_stage(rollout.stage, now);
        tracker.decision = None;
        if !rollout.is_open() {
            return None;
        }
        let evidence = tracker.collect_evidence(node, &service);
        let (snapshot_at, older) = tracker.snapshot(&evidence, now);
        let (sent, exposed) = evidence.sent();
        let counts = count_endpoints(node, &rollout, now);
        let now_ms = node.synchronized_millis();
        let elapsed = Duration::from_millis(now_ms.saturating_sub(rollout.seen_ms));
        let recent = sent.saturating_sub(older.sent().0);
        let measured = now.duration_since(snapshot_at);
        let request_rate = request_rate((recent, measured), (sent, elapsed));
        let view = RolloutView {
            stage: rollout.stage,
            stage_age: now.duration_since(tracker.stage_since),
            propagation_time: propagation_time(node.entry_count()),
            now_ms,
            elapsed,
            within: rollout.order.within,
            sent,
            exposed,
            target_outcomes: evidence.target_outcomes(),
            request_rate,
            is_rate_measured: measured >= MIN_RATE_WINDOW,
            peak_rate: request_rate.max(tracker.newest_rate(sent, now)),
            target_endpoints: counts.target_endpoints,
            duration_bound: mean_duration_bound(node, &service),
            old_running: counts.old_running,
            old_non_retryable: counts.old_non_retryable,
            is_in_doubt: evidence.is_in_doubt(),
            regression: evidence.find_regression(&older),
        };
        let next = next_stage(&view, node.settings.exposure);
        if rollout.stage == Some(next) {
            return None;
        }
        let rollout = Rollout {
            stage: Some(next),
            ..rollout
        };
        tracker.decision = Some(StageDecision {
            rollout: rollout.clone(),
            stage: next,
            view,
            evidence,
        });
        Some(rollout)
    }

    /// Logs the decisions on rollouts whose stages the lease stream is now known to contain.
    ///
    /// A stage that never takes effect is not logged, however often it is decided.
    pub fn log_recorded(&mut self, rollouts: &[Rollout]) {
        for rollout in rollouts {
            let tracker = self.trackers.get_mut(&rollout.order.service);
            let decision = tracker.and_then(|t| t.decision.take_if(|d| d.rollout == *rollout));
            if let Some(decision) = decision {
                decision.log();
            }
        }
    }

    /// Returns the statuses that this holder has not published yet.
    pub fn unpublished_statuses(&self, node: &Node) -> Vec<RolloutStatus> {
        let rollouts = node.rollouts.lock();
        let statuses = rollouts.iter().filter_map(|rollout| {
            let state = rollout.stage?.state;
            let tracker = self.trackers.get(&rollout.order.service)?;
            (tracker.published != Some(state)).then(|| RolloutStatus {
                service: rollout.order.service.clone(),
                target: rollout.order.target.clone(),
                state,
            })
        });
        statuses.collect()
    }

    /// Records that a status was published.
    pub fn record_published(&mut self, status: &RolloutStatus) {
        if let Some(tracker) = self.trackers.get_mut(&status.service) {
            tracker.published = Some(status.state);
        }
    }

    /// Makes all statuses count as not published, because the store may have lost them.
    pub fn forget_published(&mut self) {
        for tracker in self.trackers.values_mut() {
            tracker.published = None;
        }
    }

    fn tracker(&mut self, rollout: &Rollout, now: Instant) -> &mut RolloutTracker {
        let order_id = rollout.order.id;
        let service = rollout.order.service.clone();
        let tracker = self.trackers.entry(service);
        let tracker = tracker.or_insert_with(|| RolloutTracker::new(order_id, now));
        if tracker.order_id != order_id {
            *tracker = RolloutTracker::new(order_id, now);
        }
        tracker
    }
}

/// Returns the time within which a stage, or the load of an endpoint, reaches all entries.
pub(crate) fn propagation_time(entries: usize) -> Duration {
    refresh_interval(entries) * PROPAGATION_REFRESHES
}

/// Logs what is known of both sides of a rollout, by route.
fn log_evidence(service: &ServiceName, evidence: &RolloutEvidence) {
    for (route, sides) in &evidence.routes {
        let (old, target) = (&sides.old, &sides.target);
        tracing::info!(
            event = "rollout_evidence",
            %service,
            route,
            old_answered = old.answered,
            old_failed = old.failed,
            old_typical_ms = old.typical_ms(),
            target_sent = target.sent,
            target_answered = target.answered,
            target_failed = target.failed,
            target_running = sides.target_running.len(),
            target_typical_ms = target.typical_ms(),
        );
    }
}

/// Returns the recent requests per second or, while the holder has no history, those since the
/// order.
fn request_rate(recent: (u64, Duration), total: (u64, Duration)) -> f64 {
    let (count, span) = if recent.1 >= MIN_RATE_WINDOW {
        recent
    } else {
        total
    };
    count as f64 / span.max(MIN_RATE_WINDOW).as_secs_f64()
}

fn mean_duration_bound(node: &Node, service: &ServiceName) -> Duration {
    let durations = node.durations.lock();
    let estimator = durations.get(service);
    estimator.map_or_else(
        || DurationEstimator::default().mean_upper_bound(),
        DurationEstimator::mean_upper_bound,
    )
}

fn count_endpoints(node: &Node, rollout: &Rollout, now: Instant) -> EndpointCounts {
    let mut counts = EndpointCounts::default();
    let endpoints = node.endpoints.lock();
    let of_service = endpoints
        .iter()
        .filter(|(_, e)| e.record.service == rollout.order.service);
    for (_, endpoint) in of_service {
        if endpoint.record.version == rollout.order.target {
            let is_available = endpoint.accepts_requests(now) && !endpoints.is_evacuated(endpoint);
            counts.target_endpoints += usize::from(is_available);
        } else {
            counts.old_running += endpoint.load.running();
            counts.old_non_retryable += endpoint.load.running_non_retryable();
        }
    }
    counts
}
