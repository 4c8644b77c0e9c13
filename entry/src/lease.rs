//! Lease that elects the entry performing the duties; its state follows from a stream of records.
//!
//! A holder appends each record on the condition that nothing was appended since the last one
//! that it knows. The fencing token of a term is the offset after its first record.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::BootTime;
use crate::EntryName;
use crate::Rollout;
use crate::ServiceName;
use crate::UsageCounts;
use crate::WindowIndex;

/// Time for which a record holds the lease, measured from just before the append is sent.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);

/// Time after the holder's last record from which the holder appends a renewal.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(800);

/// Time without a new record that another entry waits, in addition to [`LEASE_DURATION`], before
/// it tries to acquire the lease.
pub const ACQUIRE_GRACE_PERIOD: Duration = Duration::from_millis(300);

/// State of the lease as entries exchange it by gossip.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseView {
    /// Entry that appended the newest known record.
    pub holder: EntryName,
    /// Offset after the newest known record.
    pub end: u64,
}

/// One record of the lease's stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Entry that appended the record.
    pub holder: EntryName,
    /// Start time of the holder's process, in milliseconds since the Unix epoch; distinguishes its
    /// incarnations.
    pub incarnation: u64,
    /// Offset of the first record of the term, or `None` in that record itself.
    #[serde(rename = "term")]
    pub term_offset: Option<u64>,
    /// Reports whose content is final and whose delivery is not confirmed; a successor sends them
    /// unchanged.
    pub reports: Vec<UsageReport>,
    /// Newest window whose report content is final.
    #[serde(rename = "fixed")]
    pub final_window: WindowIndex,
    /// Largest number of on-demand endpoints in one failure domain when the deployment started, by
    /// service.
    pub baselines: IndexMap<ServiceName, u32>,
    /// Newest rollout of each service that has a stage.
    #[serde(default)]
    pub rollouts: Vec<Rollout>,
    /// Whether the holder releases the lease with this record.
    pub released: bool,
}

/// A usage report whose content is final.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageReport {
    /// Window in which endpoints responded to the requests.
    pub window: WindowIndex,
    /// Number of requests by customer.
    pub counts: UsageCounts,
}

/// Fencing token of a term; a later term has a greater one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct FencingToken(pub u64);

/// Knowledge of one entry about the lease.
#[derive(Debug, Default)]
pub struct LeaseState {
    /// Offset after the newest known record.
    pub end: u64,
    /// Newest known record; `None` until one has been read.
    pub last: Option<LeaseRecord>,
    /// Time at which the stream was last seen to have grown.
    last_progress: Option<BootTime>,
    /// Greatest end of the stream that a peer has reported.
    peer_end: u64,
    /// Token and expiry of the term that this entry holds.
    own_term: Option<(FencingToken, BootTime)>,
}

impl LeaseState {
    /// Applies records read from the stream, which ends at offset `end`.
    pub fn apply_records(&mut self, records: Vec<LeaseRecord>, end: u64, now: BootTime) {
        if end <= self.end {
            return;
        }
        self.end = end;
        if end > self.peer_end || self.last_progress.is_none() {
            // Records that a peer has already reported do not extend the holder's term.
            self.last_progress = Some(now);
        }
        if let Some(last) = records.into_iter().next_back() {
            self.last = Some(last);
        }
    }

    /// Records that the stream was read to its end.
    pub fn record_read(&mut self, now: BootTime) {
        self.last_progress.get_or_insert(now);
    }

    /// Applies the lease state reported by a peer; a state that is not newer has no effect.
    pub fn record_peer(&mut self, view: &LeaseView, now: BootTime) {
        if view.end > self.end.max(self.peer_end) {
            self.peer_end = view.end;
            self.last_progress = Some(now);
        }
    }

    /// Records that this entry appended a record at `offset` with a call sent at `sent`.
    pub fn record_own_append(&mut self, record: LeaseRecord, offset: u64, sent: BootTime) {
        let token = FencingToken(record.term_offset.unwrap_or(offset) + 1);
        let until = BootTime(sent.0 + LEASE_DURATION);
        self.own_term = (!record.released).then_some((token, until));
        self.end = offset + 1;
        self.last = Some(record);
        self.last_progress = Some(sent);
    }

    /// Ends the term of this entry without appending a record.
    pub fn drop_own_term(&mut self) {
        self.own_term = None;
    }

    /// Returns the token of this entry's term, or `None` when it holds none or it has expired.
    pub fn token(&self, now: BootTime) -> Option<FencingToken> {
        let (token, until) = self.own_term?;
        (now < until).then_some(token)
    }

    /// Returns the offset of the first record of this entry's term while the term is valid.
    pub fn term_offset(&self, now: BootTime) -> Option<u64> {
        self.token(now).map(|token| token.0 - 1)
    }

    /// Returns whether this entry's last record is at least [`RENEWAL_INTERVAL`] old.
    pub fn needs_renewal(&self, now: BootTime) -> bool {
        self.own_term.is_some_and(|(_, until)| {
            let sent = BootTime(until.0.saturating_sub(LEASE_DURATION));
            now.since(sent) >= RENEWAL_INTERVAL
        })
    }

    /// Returns whether the lease can be acquired: it was released, no record is known although the
    /// stream was read or a peer reported on it, or the holder's term has certainly expired.
    pub fn is_vacant(&self, now: BootTime) -> bool {
        if self.last.as_ref().is_none_or(|r| r.released) && self.last_progress.is_some() {
            return true;
        }
        let silence_limit = LEASE_DURATION + ACQUIRE_GRACE_PERIOD;
        self.last_progress
            .is_some_and(|at| now.since(at) >= silence_limit)
    }

    /// Returns the lease state to send to peers, or `None` while no record is known.
    pub fn view(&self) -> Option<LeaseView> {
        let last = self.last.as_ref()?;
        Some(LeaseView {
            holder: last.holder.clone(),
            end: self.end,
        })
    }
}
