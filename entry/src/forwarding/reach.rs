//! Whether this entry reaches the endpoints, judged by what it hears from them.
//!
//! An entry may be cut off from all endpoints while callers, peers and the store still reach it. One
//! failed send tells nothing of that. When several endpoints fail at the same time, the entry probes
//! some of them with new connections; it counts as cut off if none is established and none is heard,
//! until one is established.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::EndpointId;

/// Time without a response after which an endpoint to which a request was sent counts as silent.
const SILENCE: Duration = Duration::from_millis(500);

/// Time for which a failed connection counts.
const FAILED_CONNECTION_PERIOD: Duration = Duration::from_secs(2);

/// Number of endpoints that must be silent, or must not have been connected to, for the entry to
/// doubt that it reaches any.
const MIN_DOUBTFUL_ENDPOINTS: usize = 2;

/// Time from the last bytes of an endpoint for which the entry is sure to reach it.
const CONTACT_PERIOD: Duration = Duration::from_secs(1);

/// Minimum time from the end of a probe to the next one.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// A change of the contact with endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReachChange {
    /// Several endpoints are silent or cannot be connected to.
    Doubted,
    /// That has been so for this time, and is no longer.
    Confirmed(Duration),
    /// No probed endpoint can be connected to.
    Lost,
    /// An endpoint can be connected to again, after this time.
    Regained(Duration),
}

/// What this entry has heard from endpoints lately.
#[derive(Debug, Default)]
pub struct Reach {
    /// Time of the last bytes from any endpoint.
    last_contact: Option<Instant>,
    /// Endpoints to which a request was sent since the last bytes from any endpoint, with the time of
    /// the first one.
    unanswered: IndexMap<EndpointId, Instant>,
    /// Endpoints that could not be connected to, with the time of the last failure.
    unconnected: IndexMap<EndpointId, Instant>,
    doubted_since: Option<Instant>,
    is_probing: bool,
    /// End of the last probe.
    probed_at: Option<Instant>,
    cut_since: Option<Instant>,
}

impl Reach {
    /// Records a request that is sent to an endpoint.
    pub fn record_send(&mut self, endpoint: &EndpointId, now: Instant) -> Option<ReachChange> {
        if !self.unanswered.contains_key(endpoint) {
            self.unanswered.insert(endpoint.clone(), now);
        }
        self.update_doubt(now)
    }

    /// Records that no connection to an endpoint was established.
    pub fn record_unconnected(
        &mut self,
        endpoint: &EndpointId,
        now: Instant,
    ) -> Option<ReachChange> {
        self.unconnected
            .retain(|_, at| now.duration_since(*at) < FAILED_CONNECTION_PERIOD);
        self.unconnected.insert(endpoint.clone(), now);
        // The send has failed, so that no response is due.
        self.unanswered.swap_remove(endpoint);
        self.update_doubt(now)
    }

    /// Records bytes from an endpoint.
    pub fn record_contact(&mut self, now: Instant) -> Option<ReachChange> {
        self.last_contact = Some(now);
        self.unanswered.clear();
        self.update_doubt(now)
    }

    /// Begins a probe if it is doubtful whether any endpoint is reached; returns whether it has begun.
    pub fn begin_probe(&mut self, now: Instant) -> bool {
        let is_due = self
            .probed_at
            .is_none_or(|at| now.duration_since(at) >= PROBE_PAUSE);
        is_due && self.is_doubtful(now) && self.begin_check()
    }

    /// Begins a probe unless one is under way; returns whether it has begun.
    pub(crate) fn begin_check(&mut self) -> bool {
        !std::mem::replace(&mut self.is_probing, true)
    }

    /// Returns whether an endpoint was heard just now.
    pub(crate) fn is_sure(&self, now: Instant) -> bool {
        self.cut_since.is_none() && self.is_heard_within(CONTACT_PERIOD, now)
    }

    fn is_heard_within(&self, period: Duration, now: Instant) -> bool {
        let is_recent = |at: Instant| now.duration_since(at) < period;
        self.last_contact.is_some_and(is_recent)
    }

    /// Records whether a probe has reached an endpoint; the probe goes on until it has.
    ///
    /// A failed probe is no sign of a cut while an endpoint is heard: most endpoints may be down.
    pub fn record_probe(&mut self, is_reached: bool, now: Instant) -> Option<ReachChange> {
        if !is_reached {
            if self.is_heard_within(SILENCE, now) {
                return None;
            }
            let is_new = self.cut_since.is_none();
            self.cut_since.get_or_insert(now);
            return is_new.then_some(ReachChange::Lost);
        }
        self.is_probing = false;
        self.probed_at = Some(now);
        self.last_contact = Some(now);
        self.unanswered.clear();
        self.unconnected.clear();
        let since = self.cut_since.take()?;
        Some(ReachChange::Regained(now.duration_since(since)))
    }

    /// Returns since when the entry is cut off from the endpoints; `None` if it is not.
    pub fn cut_since(&self) -> Option<Instant> {
        self.cut_since
    }

    /// Returns whether several endpoints are silent or could not be connected to.
    pub fn is_doubtful(&self, now: Instant) -> bool {
        let silent = self.unanswered.values();
        let silent = silent.filter(|sent| now.duration_since(**sent) >= SILENCE);
        let failed = self.unconnected.values();
        let failed = failed.filter(|at| now.duration_since(**at) < FAILED_CONNECTION_PERIOD);
        silent.count().max(failed.count()) >= MIN_DOUBTFUL_ENDPOINTS
    }

    fn update_doubt(&mut self, now: Instant) -> Option<ReachChange> {
        match (self.doubted_since, self.is_doubtful(now)) {
            (None, true) => {
                self.doubted_since = Some(now);
                Some(ReachChange::Doubted)
            }
            (Some(since), false) => {
                self.doubted_since = None;
                Some(ReachChange::Confirmed(now.duration_since(since)))
            }
            (None, false) | (Some(_), true) => None,
        }
    }
}
