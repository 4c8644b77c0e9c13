//! The lease on the duties: how an entry contends for it, writes its records and releases it.

use std::time::Duration;

use crate::BootTime;
use crate::ConditionalAppend;
use crate::DutyClient;
use crate::DutyError;
use crate::LeaseRecord;
use crate::Rollout;
use crate::Succession;
use crate::WindowIndex;
use crate::duties::duty::Duties;
use crate::peers::rank::live_rank;

/// Number of entries that contend for the lease at the same time.
const CONTENDERS_PER_STEP: usize = 4;

/// Time without news of the lease after which the next entries contend, too.
const CONTENDER_STEP: Duration = Duration::from_secs(4);

/// Maximum time without news of the lease after which every entry contends.
const MAX_CONTENDER_DELAY: Duration = Duration::from_secs(16);

impl<D: DutyClient> Duties<D> {
    pub(crate) fn abandon_term(&mut self) {
        self.node.lease.lock().drop_own_term();
        self.reports.clear();
        self.final_window = None;
        self.needs_record = false;
    }

    pub(crate) async fn try_acquire(&mut self, now: BootTime) {
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
        let rank = live_rank(&self.node);
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
    pub(crate) fn build_record(
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
    pub(crate) async fn append(&mut self, record: LeaseRecord) -> bool {
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
    pub(crate) async fn resolve_pending_append(&mut self) {
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

    pub(crate) async fn release(&mut self) {
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
