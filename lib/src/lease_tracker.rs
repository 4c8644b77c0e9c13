//! Tracks a lease by the process's own clock, in addition to the state computed from the log.

use std::time::Duration;

use tokio::time::Instant;

use crate::Epoch;
use crate::Lease;
use crate::Offset;
use crate::RecordId;

/// Maximum number of requests to the log remembered for one lease.
const REQUEST_CAPACITY: usize = 32;

/// Process-local state of a lease: when its records were observed, which requests are
/// outstanding and until when the process may act.
#[derive(Clone, Debug)]
pub struct LeaseTracker {
    last: Option<Offset>,
    observed_at: Instant,
    /// Requests by record, oldest first, with the time at which each was made.
    requests: Vec<(RecordId, Instant)>,
    /// Epoch of the lease held by this process, and the time until which it may act.
    grant: Option<(Epoch, Instant)>,
    expiry_reported: bool,
}

impl LeaseTracker {
    /// Creates a tracker of a lease of which no record has been observed.
    pub fn new(now: Instant) -> Self {
        Self {
            last: None,
            observed_at: now,
            requests: Vec::new(),
            grant: None,
            expiry_reported: false,
        }
    }

    /// Observes the newest record of the lease and returns its epoch if the record newly grants
    /// the lease to this process.
    ///
    /// `margin` is the time before the end of the term at which this process stops acting.
    pub fn observe(
        &mut self,
        lease: Option<&Lease>,
        margin: Duration,
        now: Instant,
    ) -> Option<Epoch> {
        let last = lease.map(|l| l.last);
        if last == self.last {
            return None;
        }
        self.last = last;
        self.observed_at = now;
        let previous = self.grant.map(|(epoch, _)| epoch);
        self.grant = lease.and_then(|l| self.take_grant(l, margin));
        self.expiry_reported = false;
        let held = self.grant.map(|(epoch, _)| epoch);
        held.filter(|_| held != previous)
    }

    /// Remembers a record that is about to be appended to the log; must be called before the
    /// append, since the term is measured from `now`.
    pub fn record_request(&mut self, id: RecordId, now: Instant) {
        if self.requests.len() == REQUEST_CAPACITY {
            self.requests.remove(0);
        }
        self.requests.push((id, now));
    }

    /// Returns the epoch under which this process may act for `span` from `now` on, or `None` if
    /// it may not.
    pub fn active_epoch(&self, now: Instant, span: Duration) -> Option<Epoch> {
        let (epoch, until) = self.grant?;
        (now + span < until).then_some(epoch)
    }

    /// Returns whether the lease was granted to this process, even if it has expired since.
    pub fn is_own(&self) -> bool {
        self.grant.is_some()
    }

    /// Returns the time since the newest record of the lease was observed.
    pub fn since_record(&self, now: Instant) -> Duration {
        now - self.observed_at
    }

    /// Returns the time since the last request to the log, or `None` if none is remembered.
    pub fn since_request(&self, now: Instant) -> Option<Duration> {
        self.requests.last().map(|(_, at)| now - *at)
    }

    /// Stops acting under the lease and returns its epoch, if it was held.
    pub fn relinquish(&mut self) -> Option<Epoch> {
        self.grant.take().map(|(epoch, _)| epoch)
    }

    /// Returns the epoch of an expired lease, once after each expiry.
    pub fn take_expiry(&mut self, now: Instant) -> Option<Epoch> {
        let (epoch, until) = self.grant?;
        let newly_expired = now >= until && !self.expiry_reported;
        self.expiry_reported |= newly_expired;
        newly_expired.then_some(epoch)
    }

    /// Returns the epoch and the time until which this process may act, if it requested the
    /// newest record of the lease; forgets that request and those made before it.
    fn take_grant(&mut self, lease: &Lease, margin: Duration) -> Option<(Epoch, Instant)> {
        let index = self
            .requests
            .iter()
            .position(|(id, _)| *id == lease.record)?;
        let (_, at) = self.requests[index];
        self.requests.drain(..index);
        (!lease.released).then(|| (lease.epoch, at + lease.term.saturating_sub(margin)))
    }
}
