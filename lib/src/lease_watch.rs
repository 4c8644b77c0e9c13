//! What a process knows of a lease beyond the fold, by its own clock.

use std::time::Duration;

use tokio::time::Instant;

use crate::Epoch;
use crate::Lease;
use crate::Offset;
use crate::RecordId;

/// Requests to the log remembered for one lease.
const ASKED_KEPT: usize = 32;

/// What a process knows of a lease beyond the fold; times are by its own clock.
#[derive(Clone, Debug)]
pub struct LeaseWatch {
    last: Option<Offset>,
    seen: Instant,
    asked: Vec<(RecordId, Instant)>,
    held: Option<(Epoch, Instant)>,
    lapsed: bool,
}

impl LeaseWatch {
    /// Starts to watch a lease.
    pub fn new(now: Instant) -> Self {
        Self {
            last: None,
            seen: now,
            asked: Vec::new(),
            held: None,
            lapsed: false,
        }
    }

    /// Takes note of the lease's newest record, and returns the epoch when this process was
    /// granted the lease with it.
    pub fn look(&mut self, lease: Option<&Lease>, margin: Duration, now: Instant) -> Option<Epoch> {
        let last = lease.map(|l| l.last);
        if last == self.last {
            return None;
        }
        self.last = last;
        self.seen = now;
        let before = self.held.map(|(epoch, _)| epoch);
        self.held = lease.and_then(|l| self.granted(l, margin));
        self.lapsed = false;
        let held = self.held.map(|(epoch, _)| epoch);
        held.filter(|_| held != before)
    }

    /// Takes note of a record that the log is about to be asked for.
    pub fn ask(&mut self, id: RecordId, now: Instant) {
        if self.asked.len() == ASKED_KEPT {
            self.asked.remove(0);
        }
        self.asked.push((id, now));
    }

    /// Returns the epoch under which this process may act from now on for `span`, if it may.
    pub fn may_act(&self, now: Instant, span: Duration) -> Option<Epoch> {
        let (epoch, until) = self.held?;
        (now + span < until).then_some(epoch)
    }

    /// Tells whether this process was granted the lease; it may have lapsed since.
    pub fn is_own(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the time since the lease's newest record was seen.
    pub fn seen(&self, now: Instant) -> Duration {
        now - self.seen
    }

    /// Returns the time since the log was last asked.
    pub fn asked(&self, now: Instant) -> Option<Duration> {
        self.asked.last().map(|(_, at)| now - *at)
    }

    /// Stops acting under the lease and returns its epoch.
    pub fn give_up(&mut self) -> Option<Epoch> {
        self.held.take().map(|(epoch, _)| epoch)
    }

    /// Returns the epoch of the lease once after it has lapsed.
    pub fn take_lapse(&mut self, now: Instant) -> Option<Epoch> {
        let (epoch, until) = self.held?;
        let is_news = now >= until && !self.lapsed;
        self.lapsed |= is_news;
        is_news.then_some(epoch)
    }

    /// Returns the epoch and the end of the time to act when this process asked for the
    /// lease's newest record.
    fn granted(&mut self, lease: &Lease, margin: Duration) -> Option<(Epoch, Instant)> {
        let index = self.asked.iter().position(|(id, _)| *id == lease.record)?;
        let (_, at) = self.asked[index];
        self.asked.drain(..index);
        (!lease.released).then(|| (lease.epoch, at + lease.term.saturating_sub(margin)))
    }
}
