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
use crate::EntryName;
use crate::FencingToken;
use crate::FleetAutoscaler;
use crate::LeaseRecord;
use crate::Node;
use crate::Rollout;
use crate::RolloutDriver;
use crate::RolloutStatus;
use crate::StoreEra;
use crate::Succession;
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

/// Number of entries that contend for the lease at the same time.
const CONTENDERS_PER_STEP: usize = 4;

/// Time without news of the lease after which the next entries contend, too.
const CONTENDER_STEP: Duration = Duration::from_secs(4);

/// Maximum time without news of the lease after which every entry contends.
const MAX_CONTENDER_DELAY: Duration = Duration::from_secs(16);

/// Maximum number of past windows for which reports are created; older ones are skipped.
const MAX_REPORT_WINDOWS: u64 = 5;

/// Performs the duties of an entry while it holds the lease, and otherwise contends for the lease.
#[derive(Debug)]
pub struct Duties<D> {
    node: Arc<Node>,
    client: D,
    /// Reports whose delivery is not confirmed.
    reports: Vec<UsageReport>,
    /// Newest window for which a report exists.
    final_window: Option<WindowIndex>,
    /// Whether there are reports that no record of the stream is known to contain.
    needs_record: bool,
    /// Record whose append has an unknown outcome, and the time at which it was sent.
    pending_append: Option<(LeaseRecord, BootTime)>,
    fleet: FleetAutoscaler,
    rollouts: RolloutDriver,
    /// Era of the store in which the duties were last performed or contended for.
    era: StoreEra,
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
    fn enter_era(&mut self, now: BootTime) {
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
    fn apply_stages(&mut self, stages: &[Rollout]) {
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

    fn abandon_term(&mut self) {
        self.node.lease.lock().drop_own_term();
        self.reports.clear();
        self.final_window = None;
        self.needs_record = false;
    }

    async fn try_acquire(&mut self, now: BootTime) {
        let (may_be_vacant, from) = {
            let lease = self.node.lease.lock();
            (!lease.was_read() || lease.is_vacant(now), lease.end)
        };
        if !may_be_vacant || self.node.config().is_none() || !self.may_contend(now) {
            return;
        }
        if !self.read_new_records(from).await {
            return;
        }
        if !self.node.lease.lock().is_vacant(BootTime::now()) {
            return;
        }
        self.start_from_succession();
        let record = self.build_record(None, false, &[]);
        if self.append(record).await {
            tracing::info!(event = "lease_taken", end = self.node.lease.lock().end);
        }
    }

    /// Returns whether it is this entry's turn to contend for the lease.
    ///
    /// Entries that are ranked further back wait longer, so that in a large system a few of them
    /// watch the stream and not all of them read it whenever a peer's news of the lease is late.
    fn may_contend(&self, now: BootTime) -> bool {
        let rank = contender_rank(&self.node);
        let steps = u32::try_from(rank / CONTENDERS_PER_STEP).unwrap_or(u32::MAX);
        let delay = CONTENDER_STEP
            .saturating_mul(steps)
            .min(MAX_CONTENDER_DELAY);
        self.node.lease.lock().progress_age(now) >= delay
    }

    /// Takes over the reports and baselines of the previous term.
    ///
    /// Where its newest record may be unknown, reporting starts with the current window, because
    /// earlier windows may have been reported with other counts.
    fn start_from_succession(&mut self) {
        let succession = self.node.lease.lock().succession();
        match succession {
            Succession::Continue => {}
            Succession::Adopt(record) => {
                self.reports = record.reports;
                self.final_window = Some(record.final_window);
                self.fleet.adopt(record.baselines);
            }
            Succession::Restart(older) => {
                let current = self.node.usage_window();
                tracing::info!(event = "usage_restarted", first = current.0);
                self.reports.clear();
                self.final_window = Some(WindowIndex(current.0.saturating_sub(1)));
                if let Some(record) = older {
                    self.fleet.adopt(record.baselines);
                }
            }
        }
    }

    /// Reads the lease stream from an offset; returns whether that succeeded.
    async fn read_new_records(&mut self, from: u64) -> bool {
        match self.client.read_lease(from).await {
            Ok(read) => {
                let now = BootTime::now();
                self.node.lease.lock().apply_read(read, now);
                self.merge_recorded_rollouts();
                true
            }
            Err(error) => {
                tracing::debug!(event = "lease_unread", %error);
                false
            }
        }
    }

    /// Builds a record with the current state, in which `stages` replace the known rollouts of
    /// their services.
    fn build_record(
        &self,
        term_offset: Option<u64>,
        released: bool,
        stages: &[Rollout],
    ) -> LeaseRecord {
        let changed = |known: &Rollout| {
            let same = |s: &&Rollout| s.order.service == known.order.service;
            stages.iter().find(same).cloned()
        };
        let rollouts = self.node.rollouts.lock();
        let started = rollouts
            .iter()
            .map(|known| changed(known).unwrap_or_else(|| known.clone()))
            .filter(|rollout| rollout.stage.is_some());
        LeaseRecord {
            holder: self.node.settings.name.clone(),
            incarnation: self.node.incarnation(),
            term_offset,
            reports: self.reports.clone(),
            final_window: self.final_window.unwrap_or_default(),
            baselines: self.fleet.baselines(),
            rollouts: started.collect(),
            released,
            era: self.era,
        }
    }

    /// Appends a record; returns whether the append is confirmed.
    async fn append(&mut self, record: LeaseRecord) -> bool {
        let end = self.node.lease.lock().end;
        let sent = BootTime::now();
        let outcome = self.client.append_lease(&record, end).await;
        self.enter_era(BootTime::now());
        if self.era > record.era {
            // The offset belongs to an earlier era, whether or not the append took effect.
            return false;
        }
        match outcome {
            Ok(ConditionalAppend::Appended(offset)) => {
                self.node
                    .lease
                    .lock()
                    .record_own_append(record, offset, sent);
                self.needs_record = false;
                true
            }
            Ok(ConditionalAppend::Conflict(other)) => {
                tracing::info!(event = "lease_lost", expected = end, end = other);
                self.abandon_term();
                self.read_new_records(end).await;
                false
            }
            Err(DutyError::Unknown(reason)) => {
                tracing::warn!(event = "lease_append_unknown", reason);
                self.pending_append = Some((record, sent));
                false
            }
            Err(error) => {
                tracing::warn!(event = "lease_append_failed", %error);
                false
            }
        }
    }

    /// Reads the stream to find out whether the append with an unknown outcome took effect.
    async fn resolve_pending_append(&mut self) {
        let from = self.node.lease.lock().end;
        let Ok(read) = self.client.read_lease(from).await else {
            return;
        };
        let Some((record, sent)) = self.pending_append.take() else {
            return;
        };
        if read.era > record.era {
            self.enter_era(BootTime::now());
            return;
        }
        if read.end == from {
            // The append has not taken effect yet. The next one is conditional on the same
            // offset, so that at most one of the two succeeds.
            return;
        }
        if read.newest.as_ref() == Some(&record) && read.end == from + 1 {
            self.apply_stages(&record.rollouts);
            self.node.lease.lock().record_own_append(record, from, sent);
            self.needs_record = false;
        } else {
            self.abandon_term();
            let now = BootTime::now();
            self.node.lease.lock().apply_read(read, now);
            self.merge_recorded_rollouts();
        }
    }

    /// Merges the rollouts of the newest record into the known ones.
    fn merge_recorded_rollouts(&self) {
        let last = self.node.lease.lock().last.clone();
        let recorded = last.map(|record| record.rollouts).unwrap_or_default();
        for rollout in &recorded {
            self.node.merge_rollout(rollout);
        }
    }

    async fn release(&mut self) {
        let now = BootTime::now();
        let term_offset = self.node.lease.lock().term_offset(now);
        if term_offset.is_none() {
            return;
        }
        let record = self.build_record(term_offset, true, &[]);
        if self.append(record).await {
            tracing::info!(event = "lease_released");
        }
    }
}

/// Returns the number of live entries that contend for the lease before this one.
fn contender_rank(node: &Node) -> usize {
    let hash = |name: &EntryName| xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes());
    let own = hash(&node.settings.name);
    let members = node.members.lock();
    let live = members.live(Instant::now());
    live.filter(|p| hash(&p.state.name) < own).count()
}
