//! Rollouts of new versions: the order, its current stage, and the versions that requests may run
//! on in that stage.
//!
//! The holder of the lease decides each stage and records it in the lease stream before peers
//! receive it. Until an entry knows a stage, it keeps requests on the old versions.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use tokio::time::Instant;

use crate::RolloutEvidence;
use crate::ServiceName;
use crate::StoreEra;
use crate::VersionName;
use crate::VersionSide;
use crate::rollouts::rollout_plan::EARLY_COMPLETION_TOLERANCE;

/// Share that stands for all requests of a service, in thousandths.
pub const FULL_SHARE_PERMILLE: u32 = 1000;

/// An operator's order to move a service to a new version.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutOrder {
    /// Number of the order, see [`StoreEra::number`]; a later order of the service has a greater
    /// one.
    pub id: u64,
    /// Service to move.
    pub service: ServiceName,
    /// New version that the service is to run.
    pub target: VersionName,
    /// Time, counted from when the order is first seen, within which the rollout should complete.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub within: Duration,
}

impl RolloutOrder {
    /// Returns whether another order of the service is the same one.
    ///
    /// An order that the store lost is written again and then has another number, of a later era.
    fn is_same(&self, other: &Self) -> bool {
        let era = |order: &Self| StoreEra::of_number(order.id);
        let is_rewritten = era(self) != era(other);
        self.id == other.id
            || is_rewritten && self.target == other.target && self.within == other.within
    }
}

/// Progress of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RolloutState {
    /// Traffic is being moved to the new version.
    InProgress,
    /// All traffic is on the new version.
    Completed,
    /// The new version was found to be bad and gets no traffic.
    RolledBack,
}

/// One step of a rollout.
///
/// Stages are ordered: a later stage is greater. [`RolloutState::Completed`] and
/// [`RolloutState::RolledBack`] are final.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stage {
    /// Progress of the rollout.
    pub state: RolloutState,
    /// Number of the step, from zero.
    pub serial: u32,
    /// Share of the requests that go to the new version, in thousandths.
    pub share: u32,
    /// Synchronized time at which the old versions should be idle, in milliseconds since the Unix
    /// epoch; requests expected to end later go to the new version. `None` before the cutover
    /// begins.
    pub idle_ms: Option<u64>,
}

impl Stage {
    /// Returns the step after this one.
    pub(crate) fn next(self, state: RolloutState, share: u32, idle_ms: Option<u64>) -> Self {
        Self {
            state,
            serial: self.serial + 1,
            share,
            idle_ms,
        }
    }

    /// Returns whether a cutover may complete before a synchronized time, in milliseconds since the
    /// Unix epoch; the old versions then stop in the middle of requests of which the lease holder
    /// does not know.
    fn may_complete_by(&self, time_ms: u64) -> bool {
        let tolerance = crate::millis(EARLY_COMPLETION_TOLERANCE);
        self.idle_ms.is_some_and(|idle| time_ms + tolerance >= idle)
    }
}

/// Rollout order with its newest known stage.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rollout {
    /// Order of the operator.
    pub order: RolloutOrder,
    /// Synchronized time at which an entry first saw the order, in milliseconds since the Unix
    /// epoch.
    pub seen_ms: u64,
    /// Newest known stage; `None` until a lease holder has started the rollout.
    pub stage: Option<Stage>,
}

impl Rollout {
    /// Returns whether the rollout is neither completed nor rolled back.
    pub fn is_open(&self) -> bool {
        self.stage
            .is_none_or(|s| s.state == RolloutState::InProgress)
    }
}

/// Filter on the version of the endpoints that may be chosen for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionFilter<'a> {
    /// Accepts every version.
    Any,
    /// Accepts only this version.
    Only(&'a VersionName),
    /// Accepts every version except this one.
    Without(&'a VersionName),
}

impl VersionFilter<'_> {
    /// Returns whether endpoints of a version may be chosen.
    pub fn allows(self, version: &VersionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == version,
            Self::Without(other) => other != version,
        }
    }
}

/// Order in which a request tries the versions of its service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VersionPlan {
    /// The service has no rollout; any version may serve.
    Unrestricted,
    /// The new version first, then the old ones.
    TargetFirst(VersionName),
    /// The new version; the old ones only if no endpoint of the new version is left to try, but not
    /// if these are full.
    TargetIfAny(VersionName),
    /// The old versions; the new one only if no endpoint of an old version accepts requests.
    OldFirst(VersionName),
    /// Only the old versions.
    OldOnly(VersionName),
}

/// Newest rollout of each service, with the evidence that this entry has collected.
#[derive(Debug, Default)]
pub struct Rollouts {
    services: IndexMap<ServiceName, Rollout>,
    evidence: IndexMap<ServiceName, RolloutEvidence>,
    /// Requests of open rollouts that run, by their number.
    running: IndexMap<u64, RunningRequest>,
    /// Number of the next such request.
    next_running: u64,
}

/// Request of an open rollout that runs.
#[derive(Debug)]
struct RunningRequest {
    service: ServiceName,
    order: u64,
    route: String,
    side: VersionSide,
    started: Instant,
}

impl Rollouts {
    /// Merges a rollout received from a peer or the lease stream.
    ///
    /// Returns whether it brought a newer order or a later stage.
    pub fn merge(&mut self, other: &Rollout) -> bool {
        let service = &other.order.service;
        match self.services.get_mut(service) {
            Some(known) if known.order.is_same(&other.order) => {
                let old_id = known.order.id;
                known.order.id = old_id.max(other.order.id);
                known.seen_ms = known.seen_ms.min(other.seen_ms);
                let is_newer = other.stage > known.stage;
                known.stage = known.stage.max(other.stage);
                if other.order.id > old_id {
                    self.renumber_evidence(service, old_id, other.order.id);
                }
                is_newer
            }
            Some(known) if known.order.id > other.order.id => false,
            _ => {
                self.evidence
                    .insert(service.clone(), RolloutEvidence::new(other.order.id));
                self.services.insert(service.clone(), other.clone());
                true
            }
        }
    }

    /// Moves the evidence and the running requests of an order to its new number; requests of
    /// earlier orders keep theirs.
    fn renumber_evidence(&mut self, service: &ServiceName, old_id: u64, new_id: u64) {
        if let Some(evidence) = self.evidence.get_mut(service) {
            evidence.order = new_id;
        }
        let running = self.running.values_mut();
        for request in running.filter(|r| r.service == *service && r.order == old_id) {
            request.order = new_id;
        }
    }

    /// Returns whether an open rollout is in its cutover, which requires fresh load data from
    /// peers to see when the old versions are idle.
    pub fn is_cutting_over(&self) -> bool {
        let stages = self.services.values().filter(|r| r.is_open());
        let mut stages = stages.filter_map(|r| r.stage);
        stages.any(|stage| stage.idle_ms.is_some())
    }

    /// Returns the newest rollout of a service.
    pub fn get(&self, service: &ServiceName) -> Option<&Rollout> {
        self.services.get(service)
    }

    /// Iterates over the newest rollout of each service.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.services.values()
    }

    /// Returns the evidence collected by this entry for open rollouts, by service.
    pub fn evidence(&self) -> IndexMap<ServiceName, RolloutEvidence> {
        let is_open = |name: &ServiceName| self.get(name).is_some_and(Rollout::is_open);
        let evidence = self.evidence.iter().filter(|(name, _)| is_open(name));
        let mut evidence: IndexMap<_, _> = evidence.map(|(n, e)| (n.clone(), e.clone())).collect();
        for request in self.running.values() {
            let evidence = evidence.get_mut(&request.service);
            if let Some(evidence) = evidence.filter(|e| e.order == request.order) {
                let age = request.started.elapsed();
                evidence.record_running(&request.route, request.side, age);
            }
        }
        evidence
    }

    /// Counts a request that is sent to one side of an open rollout.
    ///
    /// Returns the request's number; [`Self::end_running`] must be called with it when the request
    /// has ended.
    pub(crate) fn record_send(
        &mut self,
        service: &ServiceName,
        route: &str,
        side: VersionSide,
    ) -> Option<u64> {
        let evidence = self.evidence.get_mut(service)?;
        evidence.side_mut(route, side).sent += 1;
        let request = RunningRequest {
            service: service.clone(),
            order: evidence.order,
            route: route.to_owned(),
            side,
            started: Instant::now(),
        };
        let number = self.next_running;
        self.next_running += 1;
        self.running.insert(number, request);
        Some(number)
    }

    /// Returns a mutable reference to the evidence to which a running request belongs, or `None` if
    /// a later order has replaced its order.
    pub(crate) fn evidence_of(&mut self, number: u64) -> Option<&mut RolloutEvidence> {
        let request = self.running.get(&number)?;
        let evidence = self.evidence.get_mut(&request.service);
        evidence.filter(|e| e.order == request.order)
    }

    /// Removes a request that has ended.
    pub(crate) fn end_running(&mut self, number: u64) {
        self.running.swap_remove(&number);
    }

    /// Returns the order in which a request tries versions.
    ///
    /// `split_point` is the random position of the request on the scale of shares, below
    /// [`FULL_SHARE_PERMILLE`], or `None` for a retry, which is not used to try the new version.
    /// `end_ms` is the synchronized time by which the request is expected to end, in milliseconds
    /// since the Unix epoch. `visible_ms` is the time, likewise, by which the lease holder knows of
    /// a request that cannot be sent again if it is cut, or `None` for any other.
    pub fn version_plan(
        &self,
        service: &ServiceName,
        split_point: Option<u32>,
        end_ms: u64,
        visible_ms: Option<u64>,
    ) -> VersionPlan {
        let Some(rollout) = self.services.get(service) else {
            return VersionPlan::Unrestricted;
        };
        let target = rollout.order.target.clone();
        let Some(stage) = rollout.stage else {
            return VersionPlan::OldFirst(target);
        };
        match stage.state {
            RolloutState::RolledBack => VersionPlan::OldOnly(target),
            RolloutState::Completed => VersionPlan::TargetIfAny(target),
            RolloutState::InProgress => {
                let is_sampled = split_point.is_some_and(|point| point < stage.share);
                let ends_too_late = stage.idle_ms.is_some_and(|idle| end_ms >= idle);
                if ends_too_late && visible_ms.is_some_and(|at| stage.may_complete_by(at)) {
                    VersionPlan::TargetIfAny(target)
                } else if is_sampled || ends_too_late {
                    VersionPlan::TargetFirst(target)
                } else {
                    VersionPlan::OldFirst(target)
                }
            }
        }
    }

    /// Returns whether a version is the new or an old one, or `None` without an open rollout.
    pub fn side_of(&self, service: &ServiceName, version: &VersionName) -> Option<VersionSide> {
        let rollout = self.services.get(service).filter(|r| r.is_open())?;
        Some(if rollout.order.target == *version {
            VersionSide::Target
        } else {
            VersionSide::Old
        })
    }

    /// Returns a mutable reference to the evidence of a service's newest rollout.
    pub fn evidence_mut(&mut self, service: &ServiceName) -> Option<&mut RolloutEvidence> {
        self.evidence.get_mut(service)
    }
}
