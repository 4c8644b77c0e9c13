//! Chooses the endpoint of a send, among the versions that the service's rollout allows, obtains a
//! permit if the endpoint has stated a rate limit, and reserves a slot there.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use tokio::time::Instant;

use crate::Choice;
use crate::EndpointId;
use crate::EndpointKey;
use crate::LimitKind;
use crate::Node;
use crate::Occupancy;
use crate::Permit;
use crate::PlacementRequest;
use crate::SendEnd;
use crate::ServiceName;
use crate::VersionFilter;
use crate::VersionName;
use crate::VersionPlan;
use crate::VersionSide;
use crate::acquire_permit;
use crate::attempt::Attempts;
use crate::choose_endpoint;
use crate::placement::reservation::Reservation;
use crate::rollouts::rollout_driver::propagation_time;

/// The endpoint that was chosen for a send.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    key: EndpointKey,
    endpoint: EndpointId,
    incarnation: u64,
    /// Prompt tokens that are not cached there.
    prefill: u32,
}

impl Attempts {
    /// Chooses an endpoint of the versions that the service's rollout allows.
    ///
    /// # Errors
    ///
    /// Returns the choice if it is not an endpoint.
    pub(crate) fn choose_by_rollout(
        &self,
        node: &Arc<Node>,
        now: Instant,
    ) -> Result<Placement, Choice> {
        let is_retry = self.sends > 0;
        let split_point = (!is_retry).then_some(self.split_point);
        let now_ms = node.synchronized_millis();
        let end_ms = now_ms + crate::millis(self.expected_duration(node));
        let visible_ms = self
            .is_last_send()
            .then(|| now_ms + crate::millis(propagation_time(node.entry_count())));
        let rollouts = node.rollouts.lock();
        let plan = rollouts.version_plan(&self.service, split_point, end_ms, visible_ms);
        drop(rollouts);
        match &plan {
            VersionPlan::Unrestricted => self.choose_among(node, VersionFilter::Any, now),
            VersionPlan::OldOnly(target) => {
                self.choose_among(node, VersionFilter::Without(target), now)
            }
            VersionPlan::TargetFirst(target) => self
                .choose_among(node, VersionFilter::Only(target), now)
                .or_else(|_| self.choose_among(node, VersionFilter::Without(target), now)),
            VersionPlan::TargetIfAny(target) => {
                let new = self.choose_among(node, VersionFilter::Only(target), now);
                if matches!(new, Err(Choice::NoEndpoint)) {
                    return self.choose_among(node, VersionFilter::Without(target), now);
                }
                new
            }
            VersionPlan::OldFirst(target) => {
                let old = self.choose_among(node, VersionFilter::Without(target), now);
                if matches!(old, Err(Choice::NoEndpoint))
                    && !has_old_endpoints(node, &self.service, target, now)
                {
                    return self.choose_among(node, VersionFilter::Only(target), now);
                }
                old
            }
        }
    }

    /// Returns whether the request cannot be sent again after the next send.
    fn is_last_send(&self) -> bool {
        let route = &self.request.route;
        !route.kind.is_retryable() || self.sends + 1 >= route.attempts
    }

    /// Returns a duration within which the request most likely ends.
    fn expected_duration(&self, node: &Node) -> Duration {
        let tokens = self.request.call.prompt.as_ref().map(|p| p.max_output);
        let route = &self.request.route.name;
        let mut durations = node.durations.lock();
        let estimator = durations.entry(self.service.clone()).or_default();
        estimator.upper_bound(route, tokens)
    }

    fn choose_among(
        &self,
        node: &Arc<Node>,
        versions: VersionFilter<'_>,
        now: Instant,
    ) -> Result<Placement, Choice> {
        let request = &self.request;
        let service = request.config.services.get(&self.service);
        let placement_request = PlacementRequest {
            service: &self.service,
            engine: service.and_then(|s| s.engine),
            versions,
            prompt: request.call.prompt.as_ref(),
            domain: &node.settings.domain,
            tried: &self.tried,
            max_wait: request.route.objective.min(request.deadline - now),
        };
        let endpoints = node.endpoints.lock();
        let (key, prefill) = match choose_endpoint(&endpoints, &placement_request, now) {
            Choice::Send { key, prefill } => (key, prefill),
            other => return Err(other),
        };
        let record = &endpoints.get(key).ok_or(Choice::NoEndpoint)?.record;
        Ok(Placement {
            key,
            prefill,
            endpoint: record.id.clone(),
            incarnation: record.incarnation,
        })
    }

    /// Reserves a slot at the chosen endpoint, with a permit if it has stated a rate limit.
    ///
    /// Returns `None` if there is no permit or the endpoint takes no more requests; then another
    /// choice is due.
    pub(crate) async fn reserve_with_permit(
        &self,
        node: &Arc<Node>,
        placement: &Placement,
    ) -> Option<Reservation> {
        let (endpoint, incarnation) = (&placement.endpoint, placement.incarnation);
        let ask = async |address, request| node.peers.request_permit(address, request).await;
        let time_left = self.request.deadline - Instant::now();
        let permit = acquire_permit(node, endpoint, incarnation, time_left, ask).await;
        match permit {
            Permit::Granted => {
                let reservation = self.reserve(node, placement, Instant::now());
                if reservation.is_none() {
                    return_permit(node, placement);
                }
                reservation
            }
            Permit::After(wait) => {
                let mut endpoints = node.endpoints.lock();
                let endpoint = endpoints.get_mut(placement.key)?;
                endpoint.load.hold(wait, Instant::now());
                None
            }
        }
    }

    /// Reserves a slot at the chosen endpoint; `None` if it takes no more requests.
    fn reserve(
        &self,
        node: &Arc<Node>,
        placement: &Placement,
        now: Instant,
    ) -> Option<Reservation> {
        let Placement { key, prefill, .. } = *placement;
        let request = &self.request;
        let mut endpoints = node.endpoints.lock();
        // The evacuation of the domain may have begun while the permit was requested.
        if endpoints
            .get(key)
            .is_some_and(|e| endpoints.is_evacuated(e))
        {
            return None;
        }
        let endpoint = endpoints.get_mut(key).filter(|e| e.accepts_requests(now))?;
        let tokens = request
            .call
            .prompt
            .as_ref()
            .map_or(0, crate::Prompt::max_tokens);
        let occupancy = Occupancy {
            tokens,
            prefill,
            non_retryable: self.is_last_send(),
        };
        endpoint.load.begin(occupancy, now);
        if let Some(prompt) = &request.call.prompt {
            endpoint.load.record_prompt(prompt, now);
        }
        let id = endpoint.record.id.clone();
        let incarnation = endpoint.record.incarnation;
        let address = endpoint.record.address;
        let version = endpoint.record.version.clone();
        if let Some(prompt) = &request.call.prompt {
            endpoints.record_prompt(prompt, prefill, now);
        }
        drop(endpoints);
        let (side, rollout_number) = self.record_rollout_send(node, &version);
        if prefill > 0 {
            let mut prefilled = node.prefilled.lock();
            *prefilled.entry(self.service.clone()).or_default() += u64::from(prefill);
        }
        Some(Reservation {
            node: Arc::clone(node),
            key,
            endpoint: id,
            incarnation,
            address,
            occupancy,
            service: self.service.clone(),
            route: self.request.route.name.clone(),
            max_output: self.request.call.prompt.as_ref().map(|p| p.max_output),
            side,
            rollout_number,
            is_counted: is_counted(node, placement),
            is_rejected: AtomicBool::new(false),
            started: now,
        })
    }

    /// Counts a send towards the evidence of an open rollout of its service.
    ///
    /// Returns the side of the version and the number of the running request.
    fn record_rollout_send(
        &self,
        node: &Node,
        version: &VersionName,
    ) -> (Option<VersionSide>, Option<u64>) {
        let mut rollouts = node.rollouts.lock();
        let Some(side) = rollouts.side_of(&self.service, version) else {
            return (None, None);
        };
        let number = rollouts.record_send(&self.service, &self.request.route.name, side);
        (Some(side), number)
    }
}

/// Returns whether the owner of an endpoint's limit counts the requests that run there.
fn is_counted(node: &Node, placement: &Placement) -> bool {
    let limits = node.limits.lock();
    let (endpoint, incarnation) = (&placement.endpoint, placement.incarnation);
    let limit = limits.limit_of(LimitKind::Rejections, endpoint, incarnation);
    limit.is_some()
}

/// Gives back a permit that is not used.
fn return_permit(node: &Node, placement: &Placement) {
    if is_counted(node, placement) {
        node.report_end(SendEnd {
            endpoint: placement.endpoint.clone(),
            incarnation: placement.incarnation,
            is_rejected: false,
        });
    }
}

/// Returns whether endpoints of versions other than `target` accept requests.
fn has_old_endpoints(
    node: &Node,
    service: &ServiceName,
    target: &VersionName,
    now: Instant,
) -> bool {
    let endpoints = node.endpoints.lock();
    let mut candidates = endpoints.candidates(service, now);
    candidates.any(|(_, e)| e.record.version != *target)
}
