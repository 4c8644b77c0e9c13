//! The place that one send takes at an endpoint, and what its outcome tells.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;

use crate::EndpointId;
use crate::EndpointKey;
use crate::Node;
use crate::Occupancy;
use crate::Sample;
use crate::ServiceName;
use crate::VersionSide;

/// Place that a request takes at an endpoint until it is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) node: Arc<Node>,
    pub(crate) key: EndpointKey,
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    pub(crate) occupancy: Occupancy,
    pub(crate) service: ServiceName,
    pub(crate) route: String,
    /// Most tokens of the answer.
    pub(crate) tokens: Option<u32>,
    /// Side of an open rollout that the endpoint is on.
    pub(crate) side: Option<VersionSide>,
    pub(crate) begun: Instant,
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(endpoint) = self.node.endpoints.lock().get_mut(self.key) {
            endpoint.load.end(self.occupancy);
        }
        self.node.freed.notify_waiters();
    }
}

impl Place {
    /// Notes a good answer.
    pub(crate) fn note_success(&self, now: Instant) {
        let took = now.duration_since(self.begun);
        if let Some(endpoint) = self.node.endpoints.lock().get_mut(self.key) {
            endpoint.load.note_success(took);
        }
        self.note_trial(|sample| sample.note_answer(took));
        let mut paces = self.node.paces.lock();
        let pace = paces.entry(self.service.clone()).or_default();
        pace.note(&self.route, self.tokens, took);
    }

    /// Notes a failure that the endpoint answered.
    pub(crate) fn note_bad_answer(&self) {
        self.note_failure();
        self.note_trial(|sample| sample.failed += 1);
    }

    /// Notes that the endpoint broke off or stayed silent.
    pub(crate) fn note_broken(&self, now: Instant) {
        self.note_trouble(now);
        self.note_trial(|sample| sample.failed += 1);
    }

    fn note_trial(&self, note: impl FnOnce(&mut Sample)) {
        let Some(side) = self.side else {
            return;
        };
        let mut rollouts = self.node.rollouts.lock();
        if let Some(evidence) = rollouts.evidence_mut(&self.service) {
            note(evidence.side_mut(&self.route, side));
        }
    }

    /// Notes an answer that is the endpoint's failure.
    pub(crate) fn note_failure(&self) {
        if let Some(endpoint) = self.node.endpoints.lock().get_mut(self.key) {
            endpoint.load.note_failure();
        }
    }

    /// Notes that the endpoint could not be reached, broke off or stayed silent.
    pub(crate) fn note_trouble(&self, now: Instant) {
        if let Some(endpoint) = self.node.endpoints.lock().get_mut(self.key) {
            endpoint.load.note_trouble(now);
        }
    }

    /// Notes that the endpoint takes no more requests.
    pub(crate) fn note_leaving(&self) {
        self.node.endpoints.lock().note_leaving(&self.endpoint);
    }
}
