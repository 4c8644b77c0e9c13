//! Lease that elects the entry performing the duties; its state follows from a stream of records.
//!
//! A holder appends each record on the condition that nothing was appended since the last one
//! that it knows. The fencing token of a term follows from the offset after its first record and
//! the era of the store, so that it also rises when the store returns from an older copy and gives
//! out offsets again.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::BootTime;
use crate::EntryName;
use crate::Rollout;
use crate::ServiceName;
use crate::StoreEra;
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
    /// Era of the store to which the offset belongs.
    #[serde(default)]
    pub era: StoreEra,
}

/// Result of reading the lease stream to its end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseRead {
    /// Newest record of the stream; `None` if there is none, or if it is no longer retained or
    /// cannot be decoded.
    pub newest: Option<LeaseRecord>,
    /// Offset after the newest record.
    pub end: u64,
    /// Era of the store that was read.
    pub era: StoreEra,
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
    /// Largest number of endpoints in one failure domain when the deployment started, by service.
    pub baselines: IndexMap<ServiceName, u32>,
    /// Newest rollout of each service that has a stage.
    #[serde(default)]
    pub rollouts: Vec<Rollout>,
    /// Whether the holder releases the lease with this record.
    pub released: bool,
    /// Era of the store in which the record was written.
    #[serde(default)]
    pub era: StoreEra,
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

/// State with which an entry starts a term.
#[derive(Clone, Debug, PartialEq)]
pub enum Succession {
    /// The entry held the lease when the store lost its newest records; its own state is newer than
    /// any record.
    Continue,
    /// The newest record holds the state of the previous term.
    Adopt(LeaseRecord),
    /// Newer records than the one given, if any, may be lost with the windows that they made final.
    Restart(Option<LeaseRecord>),
}

/// Term of this entry.
#[derive(Clone, Copy, Debug)]
struct OwnTerm {
    /// Offset of the term's first record.
    offset: u64,
    /// Time at which the term expires unless it is renewed.
    until: BootTime,
}

/// Knowledge of one entry about the lease.
#[derive(Debug, Default)]
pub struct LeaseState {
    /// Newest era of the store that this entry or a peer has seen.
    pub era: StoreEra,
    /// Offset after the newest known record.
    pub end: u64,
    /// Newest record of the stream; `None` if it is unknown.
    pub last: Option<LeaseRecord>,
    /// Time at which the stream was last seen to have grown.
    last_progress: Option<BootTime>,
    /// Greatest end of the stream that a peer has reported.
    peer_end: u64,
    /// Holder at that end.
    peer_holder: Option<EntryName>,
    own_term: Option<OwnTerm>,
    /// Whether the store has returned from an older copy since the start of the process.
    has_changed_era: bool,
    /// Whether this entry held the lease when the current era began, and no record of the current
    /// era is known.
    held_before_era: bool,
}

impl LeaseState {
    /// Makes everything known about an earlier era void when a new one is seen.
    ///
    /// The lease counts as held until the terms of the earlier era have expired, except by the
    /// entry that held it.
    pub fn enter_era(&mut self, era: StoreEra, now: BootTime) {
        if era <= self.era {
            return;
        }
        let is_first = self.era == StoreEra::default() && self.end == 0;
        self.held_before_era = self.token(now).is_some();
        self.era = era;
        self.end = 0;
        self.peer_end = 0;
        self.last = None;
        self.own_term = None;
        if !is_first {
            self.has_changed_era = true;
            self.last_progress = Some(now);
        }
    }

    /// Applies a read of the stream; one of an earlier era has no effect.
    pub fn apply_read(&mut self, read: LeaseRead, now: BootTime) {
        self.enter_era(read.era, now);
        if read.era < self.era {
            return;
        }
        self.last_progress.get_or_insert(now);
        if read.end <= self.end {
            return;
        }
        self.end = read.end;
        if read.end > self.peer_end {
            // Records that a peer has already reported do not extend the holder's term.
            self.last_progress = Some(now);
        }
        if read.newest.as_ref().is_some_and(|r| r.era == self.era) {
            self.held_before_era = false;
        }
        self.last = read.newest;
    }

    /// Applies the lease state reported by a peer; a state that is not newer has no effect.
    pub fn record_peer(&mut self, view: &LeaseView, now: BootTime) {
        self.enter_era(view.era, now);
        if view.era == self.era && view.end > self.end.max(self.peer_end) {
            self.peer_end = view.end;
            self.peer_holder = Some(view.holder.clone());
            self.last_progress = Some(now);
        }
    }

    /// Records that this entry appended a record at `offset` with a call sent at `sent`.
    pub fn record_own_append(&mut self, record: LeaseRecord, offset: u64, sent: BootTime) {
        let term = OwnTerm {
            offset: record.term_offset.unwrap_or(offset),
            until: BootTime(sent.0 + LEASE_DURATION),
        };
        self.own_term = (!record.released).then_some(term);
        self.end = offset + 1;
        self.last = Some(record);
        self.last_progress = Some(sent);
        self.held_before_era = false;
    }

    /// Ends the term of this entry without appending a record.
    pub fn drop_own_term(&mut self) {
        self.own_term = None;
        self.held_before_era = false;
    }

    /// Returns the token of this entry's term, or `None` when it holds none or it has expired.
    pub fn token(&self, now: BootTime) -> Option<FencingToken> {
        let offset = self.term_offset(now)?;
        Some(FencingToken(self.era.number(offset + 1)))
    }

    /// Returns the offset of the first record of this entry's term while the term is valid.
    pub fn term_offset(&self, now: BootTime) -> Option<u64> {
        let term = self.own_term.filter(|term| now < term.until)?;
        Some(term.offset)
    }

    /// Returns whether this entry's last record is at least [`RENEWAL_INTERVAL`] old.
    pub fn needs_renewal(&self, now: BootTime) -> bool {
        self.own_term.is_some_and(|term| {
            let sent = BootTime(term.until.0.saturating_sub(LEASE_DURATION));
            now.since(sent) >= RENEWAL_INTERVAL
        })
    }

    /// Returns whether the stream has been read in this era, or a peer has reported on it.
    pub fn was_read(&self) -> bool {
        self.last_progress.is_some()
    }

    /// Returns the time since the stream was last seen to have grown; without bound if it never
    /// was.
    pub fn progress_age(&self, now: BootTime) -> Duration {
        self.last_progress.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Returns whether the lease can be acquired: it was released, the stream was read and has no
    /// record, this entry held it when the era began, or the holder's term has certainly expired.
    pub fn is_vacant(&self, now: BootTime) -> bool {
        let Some(progress) = self.last_progress else {
            return false;
        };
        let is_released = self
            .last
            .as_ref()
            .is_some_and(|r| r.released && r.era == self.era);
        let is_new = self.end == 0 && self.peer_end == 0 && !self.has_changed_era;
        if is_released || is_new || self.held_before_era {
            return true;
        }
        now.since(progress) >= LEASE_DURATION + ACQUIRE_GRACE_PERIOD
    }

    /// Returns the state with which this entry would start a term.
    pub fn succession(&self) -> Succession {
        if self.held_before_era {
            return Succession::Continue;
        }
        match &self.last {
            Some(record) if record.era == self.era => Succession::Adopt(record.clone()),
            older => Succession::Restart(older.clone()),
        }
    }

    /// Returns the entry that appended the newest known record.
    pub fn holder(&self) -> Option<EntryName> {
        if self.peer_end > self.end {
            return self.peer_holder.clone();
        }
        self.last.as_ref().map(|r| r.holder.clone())
    }

    /// Returns the lease state to send to peers, or `None` while no record is known.
    pub fn view(&self) -> Option<LeaseView> {
        let last = self.last.as_ref()?;
        Some(LeaseView {
            holder: last.holder.clone(),
            end: self.end,
            era: self.era,
        })
    }
}
