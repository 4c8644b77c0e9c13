//! Duties that only the holder of the lease performs: usage reports, fleet orders and rollouts.
//!
//! The content of a usage report becomes final with a record in the lease stream before the report
//! is sent, so that a successor sends the same content or none.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::BootTime;
use crate::ConditionalAppend;
use crate::DutyClient;
use crate::DutyError;
use crate::FencingToken;
use crate::FleetAutoscaler;
use crate::LeaseRecord;
use crate::Node;
use crate::Rollout;
use crate::RolloutDriver;
use crate::RolloutStatus;
use crate::StoreEra;
use crate::UsageCounts;
use crate::UsageReport;
use crate::WindowIndex;
use crate::refresh_interval;

/// Interval between runs of the duties.
const DUTY_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between runs of the duties while a rollout waits for requests on old versions to end.
const CUTOVER_DUTY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the end of a window before its counts are final at the holder, in addition to
/// [`USAGE_PROPAGATION_REFRESHES`] refresh intervals.
///
/// The sum is limited to half of [`usage_due`](crate::EntrySettings::usage_due); by then the
/// entries have delivered their counts directly.
const USAGE_FINALIZATION_DELAY: Duration = Duration::from_millis(1800);

/// Number of refresh intervals within which the counts of an entry reach the holder.
const USAGE_PROPAGATION_REFRESHES: u32 = 3;

/// Maximum number of past windows for which reports are created; older ones are skipped.
const MAX_REPORT_WINDOWS: u64 = 5;

/// Performs the duties of an entry while it holds the lease, and otherwise contends for the lease.
#[derive(Debug)]
pub struct Duties<D> {
    pub(crate) node: Arc<Node>,
    pub(crate) client: D,
    /// Reports whose delivery is not confirmed.
    pub(crate) reports: Vec<UsageReport>,
    /// Newest window for which a report exists.
    pub(crate) final_window: Option<WindowIndex>,
    /// Whether there are reports that no record of the stream is known to contain.
    pub(crate) needs_record: bool,
    /// Record whose append has an unknown outcome, and the time at which it was sent.
    pub(crate) pending_append: Option<(LeaseRecord, BootTime)>,
    pub(crate) fleet: FleetAutoscaler,
    rollouts: RolloutDriver,
    /// Era of the store in which the duties were last performed or contended for.
    pub(crate) era: StoreEra,
}

impl<D: DutyClient> Duties<D> {
    /// Creates the duties of an entry that does not hold the lease.
    pub fn new(node: Arc<Node>, client: D) -> Self {
        Self {
            node,
            client,
            reports: Vec::new(),
            final_window: None,
            needs_record: false,
            pending_append: None,
            fleet: FleetAutoscaler::default(),
            rollouts: RolloutDriver::default(),
            era: StoreEra::default(),
        }
    }

    /// Runs the duties periodically until the process stops, then releases the lease.
    pub async fn run(mut self) {
        let stopping = self.node.stopping.clone();
        loop {
            let is_cutting_over = self.node.rollouts.lock().is_cutting_over();
            let interval = if is_cutting_over {
                CUTOVER_DUTY_INTERVAL
            } else {
                DUTY_INTERVAL
            };
            let pause = interval.mul_f64(rand::rng().random_range(0.8..1.2));
            tokio::select! {
                () = stopping.cancelled() => break,
                () = tokio::time::sleep(pause) => self.tick().await,
            }
        }
        self.release().await;
    }

    /// Performs the duties that are due, or tries to acquire the lease if it is vacant.
    ///
    /// While the outcome of an append is unknown, only finds out whether it took effect.
    pub async fn tick(&mut self) {
        if self.pending_append.is_some() {
            self.resolve_pending_append().await;
            return;
        }
        let now = BootTime::now();
        self.enter_era(now);
        let token = self.node.lease.lock().token(now);
        match token {
            Some(token) => self.perform_duties(token, now).await,
            None => self.try_acquire(now).await,
        }
    }

    /// Drops what an earlier era of the store says about the lease and the published statuses, if a
    /// new one has begun.
    pub(crate) fn enter_era(&mut self, now: BootTime) {
        let mut lease = self.node.lease.lock();
        lease.enter_era(self.client.store_era(), now);
        if lease.era > self.era {
            tracing::info!(event = "store_era", old = self.era.0, new = lease.era.0);
            self.era = lease.era;
            self.pending_append = None;
            self.rollouts.forget_published();
        }
    }

    async fn perform_duties(&mut self, token: FencingToken, now: BootTime) {
        self.needs_record |= self.finalize_due_reports();
        let renew = self.node.lease.lock().needs_renewal(now);
        let stages = self.rollouts.due_stage_changes(&self.node, Instant::now());
        if self.needs_record || renew || !stages.is_empty() {
            let term_offset = self.node.lease.lock().term_offset(now);
            let record = self.build_record(term_offset, false, &stages);
            if !self.append(record).await {
                return;
            }
            self.apply_stages(&stages);
        }
        if self.node.rollouts.lock().is_cutting_over() {
            self.node.gossip_now.notify_one();
        }
        self.publish_statuses(token).await;
        self.deliver_reports(token).await;
        self.order_endpoints(token).await;
    }

    /// Applies stages that the lease stream contains and sends them to peers at once.
    pub(crate) fn apply_stages(&mut self, stages: &[Rollout]) {
        if stages.is_empty() {
            return;
        }
        self.rollouts.log_recorded(stages);
        for rollout in stages {
            self.node.merge_rollout(rollout);
        }
        self.node.gossip_now.notify_one();
    }

    /// Publishes each rollout status that this holder has not published yet.
    async fn publish_statuses(&mut self, token: FencingToken) {
        for status in self.rollouts.unpublished_statuses(&self.node) {
            if self.node.lease.lock().token(BootTime::now()) != Some(token) {
                return;
            }
            match self.publish_rollout_status(&status).await {
                Ok(()) => {
                    tracing::info!(event = "rollout_told", ?status, token = token.0);
                    self.rollouts.record_published(&status);
                }
                Err(error) => {
                    tracing::warn!(event = "rollout_untold", ?status, %error);
                    return;
                }
            }
        }
    }

    /// Publishes a status unless it is already the newest one.
    ///
    /// The append is conditional on the end of the statuses as just read, so that a delayed call
    /// has no effect.
    async fn publish_rollout_status(&self, status: &RolloutStatus) -> Result<(), DutyError> {
        let published = self.client.read_rollout_status(&status.service).await?;
        if published.status.as_ref() == Some(status) {
            return Ok(());
        }
        match self
            .client
            .publish_rollout_status(status, published.end)
            .await?
        {
            ConditionalAppend::Appended(_) => Ok(()),
            ConditionalAppend::Conflict(end) => Err(DutyError::Refused(format!(
                "rollout statuses end at offset {end}, expected {}",
                published.end
            ))),
        }
    }

    /// Orders endpoints where the fleet differs from the plan.
    async fn order_endpoints(&mut self, token: FencingToken) {
        if !self.node.settings.orders_endpoints {
            return;
        }
        let now = Instant::now();
        for order in self.fleet.orders(&self.node, now) {
            if self.node.lease.lock().token(BootTime::now()) != Some(token) {
                return;
            }
            let outcome = self.client.order(token, &order).await;
            tracing::info!(
                event = "fleet_order",
                service = %order.service,
                domain = %order.domain,
                spot = order.spot,
                count = order.count,
                error = outcome.as_ref().err().map(tracing::field::display),
            );
            self.fleet.record_outcome(&order, outcome.is_ok(), now);
            if outcome == Err(DutyError::Fenced) {
                self.abandon_term();
                return;
            }
        }
    }

    /// Creates the reports of windows whose counts are final; returns whether there were any.
    fn finalize_due_reports(&mut self) -> bool {
        let Some(final_window) = self.final_window else {
            return false;
        };
        if !self.node.settings.reports_usage {
            return false;
        }
        let length = crate::millis(self.node.settings.usage_window).max(1);
        let refresh = refresh_interval(self.node.entry_count());
        let finalization_delay = (USAGE_FINALIZATION_DELAY + refresh * USAGE_PROPAGATION_REFRESHES)
            .min(self.node.settings.usage_due / 2);
        // Index of the first window whose counts are not final.
        let final_end = self
            .node
            .synchronized_millis()
            .saturating_sub(crate::millis(finalization_delay))
            / length;
        let first = (final_window.0 + 1).max(final_end.saturating_sub(MAX_REPORT_WINDOWS));
        for index in first..final_end {
            let window = WindowIndex(index);
            let counts = self.window_counts(window);
            tracing::info!(
                event = "usage_fixed",
                window = index,
                requests = counts.values().sum::<u64>()
            );
            self.reports.push(UsageReport { window, counts });
            self.final_window = Some(window);
        }
        first < final_end
    }

    fn window_counts(&self, window: WindowIndex) -> UsageCounts {
        let mut sum = UsageCounts::new();
        self.node.usage.lock().add_to(window, &mut sum);
        self.node.members.lock().add_usage(window, &mut sum);
        sum
    }

    async fn deliver_reports(&mut self, token: FencingToken) {
        while let Some(report) = self.reports.first().cloned() {
            if self.node.lease.lock().token(BootTime::now()) != Some(token) {
                return;
            }
            match self.client.report_usage(token, &report).await {
                Ok(()) => {
                    tracing::info!(
                        event = "usage_reported",
                        window = report.window.0,
                        token = token.0
                    );
                    self.reports.remove(0);
                }
                Err(DutyError::Fenced) => {
                    tracing::warn!(
                        event = "fenced",
                        duty = "usage",
                        token = token.0,
                        "the platform has seen a higher fencing token"
                    );
                    self.abandon_term();
                    return;
                }
                Err(error) => {
                    tracing::warn!(event = "usage_failed", window = report.window.0, %error);
                    return;
                }
            }
        }
    }
}
