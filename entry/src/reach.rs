//! Whether this entry reaches the endpoints, judged by what it hears from them.
//!
//! An entry may be cut off from all endpoints while callers, peers and the store still reach it. One
//! failed send tells nothing of that; several endpoints that fail at the same time do.

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

/// A change of the contact with endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContactChange {
    /// Several endpoints are silent or cannot be connected to.
    Doubted,
    /// An endpoint was heard after this time without contact.
    Heard(Duration),
}

/// What this entry has heard from endpoints lately.
#[derive(Debug, Default)]
pub struct Reach {
    /// Time of the last bytes from any endpoint.
    last_contact: Option<Instant>,
    /// Endpoints to which a request was sent since then, with the time of the first one.
    unanswered: IndexMap<EndpointId, Instant>,
    /// Endpoints that could not be connected to, with the time of the last failure.
    unconnected: IndexMap<EndpointId, Instant>,
    doubted_since: Option<Instant>,
}

impl Reach {
    /// Records a request that is sent to an endpoint.
    pub fn record_send(&mut self, endpoint: &EndpointId, now: Instant) -> Option<ContactChange> {
        if !self.unanswered.contains_key(endpoint) {
            self.unanswered.insert(endpoint.clone(), now);
        }
        self.doubt(now)
    }

    /// Records that no connection to an endpoint was established.
    pub fn record_unconnected(
        &mut self,
        endpoint: &EndpointId,
        now: Instant,
    ) -> Option<ContactChange> {
        self.unconnected
            .retain(|_, at| now.duration_since(*at) < FAILED_CONNECTION_PERIOD);
        self.unconnected.insert(endpoint.clone(), now);
        // The send has failed, so that no response is due.
        self.unanswered.swap_remove(endpoint);
        self.doubt(now)
    }

    /// Records bytes from an endpoint.
    pub fn record_contact(&mut self, now: Instant) -> Option<ContactChange> {
        let last = self.last_contact.replace(now);
        self.unanswered.clear();
        self.doubted_since.take().map(|since| {
            let gap = now.duration_since(last.unwrap_or(since));
            ContactChange::Heard(gap)
        })
    }

    /// Returns whether several endpoints are silent or could not be connected to.
    pub fn is_doubtful(&self, now: Instant) -> bool {
        let silent = self.unanswered.values();
        let silent = silent.filter(|sent| now.duration_since(**sent) >= SILENCE);
        let failed = self.unconnected.values();
        let failed = failed.filter(|at| now.duration_since(**at) < FAILED_CONNECTION_PERIOD);
        silent.count().max(failed.count()) >= MIN_DOUBTFUL_ENDPOINTS
    }

    fn doubt(&mut self, now: Instant) -> Option<ContactChange> {
        if self.doubted_since.is_some() || !self.is_doubtful(now) {
            return None;
        }
        self.doubted_since = Some(now);
        Some(ContactChange::Doubted)
    }
}
