//! Duties of one entry at a time: the lease for them, usage reports and fleet orders.
//!
//! A report's content is fixed by a record of the lease's stream before it is sent, so that a
//! successor sends the same content or none.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::BootTime;
use crate::FencingToken;
use crate::FleetKeeper;
use crate::FleetOrder;
use crate::LeaseRecord;
use crate::Node;
use crate::Rollout;
use crate::RolloutKeeper;
use crate::RolloutStatus;
use crate::ServiceName;
use crate::UsageCounts;
use crate::UsageReport;
use crate::WindowIndex;
use crate::refresh_interval;

/// Time between looks at the duties.
const TICK: Duration = Duration::from_millis(250);

/// Time between looks while a rollout waits for requests on old versions.
const SHORT_TICK: Duration = Duration::from_millis(100);

/// Time after the end of a window at which its counts have reached the holder, beyond the
/// refresh intervals that they take.
const SETTLE: Duration = Duration::from_millis(1800);

/// Refresh intervals that the counts of an entry take to reach the holder.
const SETTLE_REFRESHES: u32 = 3;

/// Windows for which reports are made up at most, counted back from the present.
const MAX_WINDOWS: u64 = 5;

/// Why a duty could not be done.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum DutyError {
    /// a higher fencing token was used
    Fenced,
    /// no such endpoint is to be had now
    NoneAvailable,
    /// the platform did not do it: {0}
    Refused(String),
    /// no answer came and it may be done yet: {0}
    Unknown(String),
}

/// Outcome of a conditional append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Appended {
    /// The record stands at this offset.
    At(u64),
    /// The stream ends elsewhere, at this offset.
    Conflict(u64),
}

/// Records of the lease's stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseRead {
    /// Records in order.
    pub records: Vec<LeaseRecord>,
    /// Offset after the last record.
    pub end: u64,
}

/// What the operator was told of a rollout.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ToldRead {
    /// Newest status, if one was told that can be read.
    pub status: Option<RolloutStatus>,
    /// Offset after the newest status of all services.
    pub end: u64,
}

/// The edge towards the platform for duties.
pub trait DutyEdge: Send + Sync + 'static {
    /// Reads the lease's stream from an offset to its end.
    ///
    /// # Errors
    ///
    /// Returns a [`DutyError`] when the stream cannot be read.
    fn read_lease(&self, from: u64) -> impl Future<Output = Result<LeaseRead, DutyError>> + Send;

    /// Appends a record if the stream ends at an offset.
    ///
    /// # Errors
    ///
    /// Returns a [`DutyError`] when the append was not done or its outcome is unknown.
    fn append_lease(
        &self,
        record: &LeaseRecord,
        end: u64,
    ) -> impl Future<Output = Result<Appended, DutyError>> + Send;

    /// Reports the usage of a window.
    ///
    /// # Errors
    ///
    /// Returns a [`DutyError`] when the report was not accepted.
    fn report_usage(
        &self,
        token: FencingToken,
        report: &UsageReport,
    ) -> impl Future<Output = Result<(), DutyError>> + Send;

    /// Orders endpoints.
    ///
    /// # Errors
    ///
    /// Returns a [`DutyError`] when the order was not accepted.
    fn order(
        &self,
        token: FencingToken,
        order: &FleetOrder,
    ) -> impl Future<Output = Result<(), DutyError>> + Send;

    /// Reads what the operator was told of a service's rollout.
    ///
    /// # Errors
    ///
    /// Returns a [`DutyError`] when it cannot be read.
    fn read_told(
        &self,
        service: &ServiceName,
    ) -> impl Future<Output = Result<ToldRead, DutyError>> + Send;

    /// Tells the operator how far a rollout is, if nothing was told since `end`.
    ///
    /// # Errors
    ///
    /// Returns a [`DutyError`] when the operator may not have been told.
    fn tell_rollout(
        &self,
        status: &RolloutStatus,
        end: u64,
    ) -> impl Future<Output = Result<Appended, DutyError>> + Send;
}

/// The duties of an entry.
#[derive(Debug)]
pub struct Duties<D> {
    node: Arc<Node>,
    edge: D,
    /// Reports that are fixed and not known to be delivered.
    reports: Vec<UsageReport>,
    /// Newest window whose report is fixed.
    fixed: Option<WindowIndex>,
    /// Whether reports were made up that no record of the stream is known to hold.
    is_unwritten: bool,
    /// An append whose outcome is unknown: the record and when it was sent.
    unknown: Option<(LeaseRecord, BootTime)>,
    fleet: FleetKeeper,
    rollouts: RolloutKeeper,
}

impl<D: DutyEdge> Duties<D> {
    /// Creates the duties of an entry that holds no lease.
    pub fn new(node: Arc<Node>, edge: D) -> Self {
        Self {
            node,
            edge,
            reports: Vec::new(),
            fixed: None,
            is_unwritten: false,
            unknown: None,
            fleet: FleetKeeper::default(),
            rollouts: RolloutKeeper::default(),
        }
    }

    /// Looks after the duties until the process stops, then gives the lease up.
    pub async fn run(mut self) {
        let stopping = self.node.stopping.clone();
        loop {
            let is_ending = self.node.rollouts.lock().is_ending();
            let tick = if is_ending { SHORT_TICK } else { TICK };
            let pause = tick.mul_f64(rand::rng().random_range(0.8..1.2));
            tokio::select! {
                () = stopping.cancelled() => break,
                () = tokio::time::sleep(pause) => self.tick().await,
            }
        }
        self.release().await;
    }

    /// Does what is due now.
    pub async fn tick(&mut self) {
        if self.unknown.is_some() {
            self.resolve_unknown().await;
            return;
        }
        let now = BootTime::now();
        let token = self.node.lease.lock().token(now);
        match token {
            Some(token) => self.act(token, now).await,
            None => self.contend(now).await,
        }
    }

    async fn act(&mut self, token: FencingToken, now: BootTime) {
        self.is_unwritten |= self.fix_due_reports();
        let renew = self.node.lease.lock().wants_renewal(now);
        let stages = self.rollouts.due(&self.node, Instant::now());
        if self.is_unwritten || renew || !stages.is_empty() {
            let term = self.node.lease.lock().term(now);
            let record = self.record(term, false, &stages);
            if !self.append(record).await {
                return;
            }
            self.put_in_force(&stages);
        }
        if self.node.rollouts.lock().is_ending() {
            self.node.urgent.notify_one();
        }
        self.tell_rollouts(token).await;
        self.deliver(token).await;
        self.order_endpoints(token).await;
    }

    /// Puts stages into force that the lease's stream has.
    fn put_in_force(&self, stages: &[Rollout]) {
        if stages.is_empty() {
            return;
        }
        let mut rollouts = self.node.rollouts.lock();
        for rollout in stages {
            rollouts.merge(rollout);
        }
        drop(rollouts);
        self.node.urgent.notify_one();
    }

    /// Tells the operator how far rollouts are.
    async fn tell_rollouts(&mut self, token: FencingToken) {
        for status in self.rollouts.untold(&self.node) {
            if self.node.lease.lock().token(BootTime::now()) != Some(token) {
                return;
            }
            match self.tell_rollout(&status).await {
                Ok(()) => {
                    tracing::info!(event = "rollout_told", ?status, token = token.0);
                    self.rollouts.note_told(&status);
                }
                Err(error) => {
                    tracing::warn!(event = "rollout_untold", ?status, %error);
                    return;
                }
            }
        }
    }

    /// Tells a status unless it is the newest already.
    ///
    /// On the condition that nothing was told since, so that a call that is carried out late
    /// does nothing.
    async fn tell_rollout(&self, status: &RolloutStatus) -> Result<(), DutyError> {
        let told = self.edge.read_told(&status.service).await?;
        if told.status.as_ref() == Some(status) {
            return Ok(());
        }
        match self.edge.tell_rollout(status, told.end).await? {
            Appended::At(_) => Ok(()),
            Appended::Conflict(end) => Err(DutyError::Refused(format!(
                "the statuses end at {end} instead of {}",
                told.end
            ))),
        }
    }

    /// Orders endpoints where the fleet is not as planned.
    async fn order_endpoints(&mut self, token: FencingToken) {
        if !self.node.settings.orders_endpoints {
            return;
        }
        let now = Instant::now();
        for order in self.fleet.orders(&self.node, now) {
            if self.node.lease.lock().token(BootTime::now()) != Some(token) {
                return;
            }
            let outcome = self.edge.order(token, &order).await;
            tracing::info!(
                event = "fleet_order",
                service = %order.service,
                domain = %order.domain,
                spot = order.spot,
                count = order.count,
                error = outcome.as_ref().err().map(tracing::field::display),
            );
            self.fleet.note_outcome(&order, outcome.is_ok(), now);
            if outcome == Err(DutyError::Fenced) {
                self.give_up_term();
                return;
            }
        }
    }

    /// Makes up the reports of windows that have settled; tells whether there were any.
    fn fix_due_reports(&mut self) -> bool {
        let Some(fixed) = self.fixed else {
            return false;
        };
        if !self.node.settings.reports_usage {
            return false;
        }
        let length = crate::millis(self.node.settings.usage_window).max(1);
        let refresh = refresh_interval(self.node.entry_count());
        let settle = (SETTLE + refresh * SETTLE_REFRESHES).min(self.node.settings.usage_due / 2);
        let settled = self
            .node
            .true_millis()
            .saturating_sub(crate::millis(settle))
            / length;
        let first = (fixed.0 + 1).max(settled.saturating_sub(MAX_WINDOWS));
        for index in first..settled {
            let window = WindowIndex(index);
            let counts = self.counts_of(window);
            tracing::info!(
                event = "usage_fixed",
                window = index,
                requests = counts.values().sum::<u64>()
            );
            self.reports.push(UsageReport { window, counts });
            self.fixed = Some(window);
        }
        first < settled
    }

    fn counts_of(&self, window: WindowIndex) -> UsageCounts {
        let mut sum = UsageCounts::new();
        self.node.usage.lock().add_to(window, &mut sum);
        self.node.members.lock().add_usage(window, &mut sum);
        sum
    }

    async fn deliver(&mut self, token: FencingToken) {
        while let Some(report) = self.reports.first().cloned() {
            if self.node.lease.lock().token(BootTime::now()) != Some(token) {
                return;
            }
            match self.edge.report_usage(token, &report).await {
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
                        "a successor has acted"
                    );
                    self.give_up_term();
                    return;
                }
                Err(error) => {
                    tracing::warn!(event = "usage_failed", window = report.window.0, %error);
                    return;
                }
            }
        }
    }

    fn give_up_term(&mut self) {
        self.node.lease.lock().drop_own();
        self.reports.clear();
        self.fixed = None;
        self.is_unwritten = false;
    }

    async fn contend(&mut self, now: BootTime) {
        let (vacant, from) = {
            let lease = self.node.lease.lock();
            let first_look = lease.last.is_none();
            (first_look || lease.is_vacant(now), lease.end)
        };
        if !vacant || self.node.config().is_none() {
            return;
        }
        if !self.observe(from).await {
            return;
        }
        if !self.node.lease.lock().is_vacant(BootTime::now()) {
            return;
        }
        self.adopt_reports();
        let record = self.record(None, false, &[]);
        if self.append(record).await {
            tracing::info!(event = "lease_taken", end = self.node.lease.lock().end);
        }
    }

    /// Takes over what the last holder fixed.
    fn adopt_reports(&mut self) {
        let last = self.node.lease.lock().last.clone();
        if let Some(record) = last {
            self.reports = record.reports;
            self.fixed = Some(record.fixed);
            self.fleet.adopt(record.baselines);
        } else {
            self.reports.clear();
            self.fixed = Some(WindowIndex(self.node.usage_window().0.saturating_sub(1)));
        }
    }

    /// Reads the stream from an offset; tells whether it was read.
    async fn observe(&mut self, from: u64) -> bool {
        match self.edge.read_lease(from).await {
            Ok(read) => {
                let now = BootTime::now();
                let mut lease = self.node.lease.lock();
                lease.note_read(now);
                lease.observe(read.records, read.end, now);
                drop(lease);
                self.learn_rollouts();
                true
            }
            Err(error) => {
                tracing::debug!(event = "lease_unread", %error);
                false
            }
        }
    }

    /// Makes a record that fixes new stages of rollouts beside what is known.
    fn record(&self, term: Option<u64>, released: bool, stages: &[Rollout]) -> LeaseRecord {
        let is_new = |known: &Rollout| {
            let same = |s: &&Rollout| s.order.service == known.order.service;
            stages.iter().find(same).cloned()
        };
        let rollouts = self.node.rollouts.lock();
        let taken_up = rollouts
            .iter()
            .map(|known| is_new(known).unwrap_or_else(|| known.clone()))
            .filter(|rollout| rollout.stage.is_some());
        LeaseRecord {
            holder: self.node.settings.name.clone(),
            incarnation: self.node.incarnation(),
            term,
            reports: self.reports.clone(),
            fixed: self.fixed.unwrap_or_default(),
            baselines: self.fleet.baselines(),
            rollouts: taken_up.collect(),
            released,
        }
    }

    /// Appends a record; tells whether it stands.
    async fn append(&mut self, record: LeaseRecord) -> bool {
        let end = self.node.lease.lock().end;
        let sent = BootTime::now();
        match self.edge.append_lease(&record, end).await {
            Ok(Appended::At(offset)) => {
                self.node.lease.lock().note_own(record, offset, sent);
                self.is_unwritten = false;
                true
            }
            Ok(Appended::Conflict(other)) => {
                tracing::info!(event = "lease_lost", expected = end, end = other);
                self.give_up_term();
                self.observe(end).await;
                false
            }
            Err(DutyError::Unknown(reason)) => {
                tracing::warn!(event = "lease_append_unknown", reason);
                self.unknown = Some((record, sent));
                false
            }
            Err(error) => {
                tracing::warn!(event = "lease_append_failed", %error);
                false
            }
        }
    }

    /// Finds out whether an append without an answer was done.
    async fn resolve_unknown(&mut self) {
        let from = self.node.lease.lock().end;
        let Ok(read) = self.edge.read_lease(from).await else {
            return;
        };
        let Some((record, sent)) = self.unknown.take() else {
            return;
        };
        if read.end == from {
            // Not done so far; the next append is conditional on the same offset.
            return;
        }
        if read.records.first() == Some(&record) && read.end == from + 1 {
            self.put_in_force(&record.rollouts);
            self.node.lease.lock().note_own(record, from, sent);
            self.is_unwritten = false;
        } else {
            self.give_up_term();
            let now = BootTime::now();
            self.node.lease.lock().observe(read.records, read.end, now);
            self.learn_rollouts();
        }
    }

    /// Takes over the rollouts of the newest record.
    fn learn_rollouts(&self) {
        let last = self.node.lease.lock().last.clone();
        let known = last.map(|record| record.rollouts).unwrap_or_default();
        let mut rollouts = self.node.rollouts.lock();
        for rollout in &known {
            rollouts.merge(rollout);
        }
    }

    async fn release(&mut self) {
        let now = BootTime::now();
        let term = self.node.lease.lock().term(now);
        if term.is_none() {
            return;
        }
        let record = self.record(term, true, &[]);
        if self.append(record).await {
            tracing::info!(event = "lease_released");
        }
    }
}
