//! Reservation of endpoint capacity for one send, and accounting of its outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::time::Instant;

use crate::EndpointId;
use crate::EndpointKey;
use crate::EndpointNotice;
use crate::EndpointProcess;
use crate::LimitKind;
use crate::LimitNotice;
use crate::Node;
use crate::Occupancy;
use crate::Outcomes;
use crate::RateLimit;
use crate::SendEnd;
use crate::ServiceName;
use crate::VersionSide;
use crate::log_limit;
use crate::peers::news::NewsSource;
use crate::peers::news::announce_leaving;
use crate::peers::news::apply_limit_change;

/// Capacity that a request occupies at an endpoint; released when the value is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) node: Arc<Node>,
    pub(crate) key: EndpointKey,
    pub(crate) endpoint: EndpointId,
    pub(crate) incarnation: u64,
    pub(crate) address: SocketAddr,
    pub(crate) occupancy: Occupancy,
    pub(crate) service: ServiceName,
    pub(crate) route: String,
    /// Maximum number of output tokens.
    pub(crate) max_output: Option<u32>,
    /// Side of an open rollout to which the endpoint's version belongs.
    pub(crate) side: Option<VersionSide>,
    /// Number of the request among those of open rollouts.
    pub(crate) rollout_number: Option<u64>,
    /// Whether the owner of the brittle endpoint's limit counts the request as running.
    pub(crate) is_counted: bool,
    /// Whether the endpoint rejected the request for want of room.
    pub(crate) is_rejected: AtomicBool,
    pub(crate) started: Instant,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(endpoint) = self.node.endpoints.lock().get_mut(self.key) {
            endpoint.load.end(self.occupancy);
        }
        if let Some(number) = self.rollout_number {
            self.node.rollouts.lock().end_running(number);
        }
        if self.is_counted {
            self.node.report_end(SendEnd {
                endpoint: self.endpoint.clone(),
                incarnation: self.incarnation,
                is_rejected: self.is_rejected.load(Ordering::Relaxed),
            });
        }
        self.node.slot_freed.notify_waiters();
    }
}

impl Reservation {
    /// Records a successful response in the endpoint's load, the evidence of an open rollout and
    /// the duration estimates.
    pub(crate) fn record_success(&self, now: Instant) {
        self.record_alive();
        let latency = now.duration_since(self.started);
        if let Some(endpoint) = self.node.endpoints.lock().get_mut(self.key) {
            endpoint.load.record_success(latency);
        }
        self.update_evidence(|outcomes| outcomes.record_response(latency));
        let mut durations = self.node.durations.lock();
        let estimator = durations.entry(self.service.clone()).or_default();
        let mean = estimator.mean(&self.route, self.max_output);
        estimator.record(&self.route, self.max_output, latency);
        drop(durations);
        let mean = mean.filter(|mean| !mean.is_zero());
        if let Some(mean) = mean
            && let Some(endpoint) = self.node.endpoints.lock().get_mut(self.key)
        {
            let ratio = latency.as_secs_f64() / mean.as_secs_f64();
            endpoint.load.record_relative_duration(ratio, now);
        }
    }

    /// Records a response that reports a failure, in the endpoint's load and in the evidence of an
    /// open rollout.
    pub(crate) fn record_failed_response(&self) {
        self.record_alive();
        self.record_failure_in_load();
        self.update_evidence(|outcomes| outcomes.failed += 1);
    }

    /// Records that the endpoint closed the connection early or timed out, in its load and in the
    /// evidence of an open rollout.
    pub(crate) fn record_interrupted(&self, now: Instant) {
        self.record_unavailable_in_load(now);
        self.update_evidence(|outcomes| outcomes.failed += 1);
    }

    /// Records that the endpoint rejected the request for want of room.
    pub(crate) fn record_rejected(&self) {
        self.is_rejected.store(true, Ordering::Relaxed);
        self.record_failure_in_load();
    }

    /// Returns the process that the request is sent to.
    pub(crate) fn process(&self) -> EndpointProcess {
        EndpointProcess::new(&self.endpoint, self.incarnation)
    }

    /// Returns the rate limit that the endpoint has stated, if any.
    pub(crate) fn limit(&self) -> Option<RateLimit> {
        let limits = self.node.limits.lock();
        limits.limit_of(LimitKind::Requests, &self.endpoint, self.incarnation)
    }

    /// Returns whether the endpoint is still expected to serve requests.
    pub(crate) fn is_endpoint_serving(&self, now: Instant) -> bool {
        let endpoints = self.node.endpoints.lock();
        let endpoint = endpoints.get(self.key);
        endpoint.is_some_and(|e| e.accepts_requests(now))
    }

    /// Records that the endpoint has not crashed before this send.
    fn record_alive(&self) {
        let mut tracker = self.node.part_crashes.lock();
        tracker.record_alive(self.process(), self.started);
    }

    fn update_evidence(&self, update: impl FnOnce(&mut Outcomes)) {
        let (Some(side), Some(number)) = (self.side, self.rollout_number) else {
            return;
        };
        let mut rollouts = self.node.rollouts.lock();
        if let Some(evidence) = rollouts.evidence_of(number) {
            update(evidence.side_mut(&self.route, side));
        }
    }

    /// Records a response that reports a failure in the endpoint's load only, not in the evidence
    /// of a rollout.
    pub(crate) fn record_failure_in_load(&self) {
        if let Some(endpoint) = self.node.endpoints.lock().get_mut(self.key) {
            endpoint.load.record_failure();
        }
    }

    /// Records that the endpoint was unreachable, closed the connection early or timed out, in its
    /// load only, not in the evidence of a rollout.
    pub(crate) fn record_unavailable_in_load(&self, now: Instant) {
        if let Some(endpoint) = self.node.endpoints.lock().get_mut(self.key) {
            endpoint.load.record_unavailable(now);
        }
    }

    /// Applies what the endpoint said of its availability.
    pub(crate) fn apply_notice(&self, notice: EndpointNotice, now: Instant) {
        if notice.leaving {
            self.mark_draining();
        }
        if let Some(duration) = notice.retry_after
            && let Some(endpoint) = self.node.endpoints.lock().get_mut(self.key)
        {
            endpoint.load.pause(duration, now);
            tracing::info!(
                event = "endpoint_paused",
                endpoint = %self.endpoint,
                pause_ms = crate::millis(duration),
            );
        }
        self.apply_limit(LimitKind::Requests, notice.limit, now);
        self.apply_limit(LimitKind::Rejections, notice.brittle, now);
    }

    /// Applies what the endpoint said of a rate limit.
    fn apply_limit(&self, kind: LimitKind, notice: LimitNotice, now: Instant) {
        if notice == LimitNotice::Malformed && log_limit::allows("endpoint_limit_malformed") {
            tracing::warn!(event = "endpoint_limit_malformed", endpoint = %self.endpoint, ?kind);
        }
        let mut limits = self.node.limits.lock();
        let (id, incarnation) = (&self.endpoint, self.incarnation);
        let change = limits.record_response(kind, id, incarnation, notice, self.started, now);
        drop(limits);
        if let Some(change) = change {
            apply_limit_change(&self.node, id, kind, change, NewsSource::Response);
        }
    }

    /// Marks the endpoint as accepting no more requests.
    pub(crate) fn mark_draining(&self) {
        let mut endpoints = self.node.endpoints.lock();
        let Some(endpoint) = endpoints.get_mut(self.key) else {
            return;
        };
        let is_new = !std::mem::replace(&mut endpoint.is_draining, true);
        drop(endpoints);
        if is_new {
            tracing::info!(event = "leaving_announced", endpoint = %self.endpoint);
            announce_leaving(&self.node, &self.endpoint, self.incarnation);
        }
    }
}
