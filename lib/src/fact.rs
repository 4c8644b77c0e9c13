//! Facts replicated between nodes by gossip, and the rules for merging them.
//!
//! Merging is commutative, associative and idempotent, so that nodes that have received the
//! same facts converge, regardless of the order and number of deliveries.

use std::cmp::Reverse;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Counters;
use crate::DomainName;
use crate::EVIDENCE_WINDOW_MS;
use crate::EvidenceKey;
use crate::GateInfo;
use crate::MemberState;
use crate::MoveName;
use crate::NodeName;
use crate::RegionName;
use crate::Step;
use crate::Stop;
use crate::Timestamp;
use crate::VmName;

/// Retention of an evidence window, counted from the start of the window.
pub const EVIDENCE_RETENTION: Duration = Duration::from_mins(1);

/// Retention of endpoint crashes attributed to a request, counted from the latest crash.
pub const CRASH_RETENTION: Duration = Duration::from_mins(10);

/// Retention of dead members and detached gates, counted from the time at which the member was
/// declared dead or the gate was detached.
pub const DEPARTURE_RETENTION: Duration = Duration::from_mins(10);

/// Retention of a VM's reclaim notice, counted from its deadline.
pub const RECLAIM_NOTICE_RETENTION: Duration = Duration::from_hours(24);

/// Logical timestamp of an update published by one process.
///
/// Stamps are ordered by the start of the process, then by sequence number, so that a restarted
/// process supersedes its previous run.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Stamp {
    /// Wall time at which the process started.
    #[serde(rename = "p")]
    pub started_at: Timestamp,
    /// Sequence number of the update within this run of the process.
    #[serde(rename = "q")]
    pub seq: u64,
}

/// One run of a process that reports counters.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Origin {
    /// Node on which the process runs.
    #[serde(rename = "n")]
    pub node: NodeName,
    /// Wall time at which the process started.
    #[serde(rename = "p")]
    pub started_at: Timestamp,
}

/// Health, address and location of a controller.
///
/// The higher incarnation takes precedence, then the worse state. Only the member itself
/// increments its incarnation. Source: Das, Gupta and Motivala, "SWIM", 2002.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberFact {
    /// Node on which the controller runs.
    #[serde(rename = "n")]
    pub node: NodeName,
    /// Incarnation; the initial one is the wall time of the process start, in milliseconds.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Health of the member.
    #[serde(rename = "s")]
    pub state: MemberState,
    /// Wall time at which the member was declared to be in this state.
    #[serde(rename = "t")]
    pub since: Timestamp,
    /// Failure domain of the node.
    #[serde(rename = "d")]
    pub domain: DomainName,
    /// Region of the node.
    #[serde(rename = "r")]
    pub region: RegionName,
    /// VM of the node.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// Address of the controller's RPC port.
    #[serde(rename = "a")]
    pub controller: std::net::SocketAddr,
}

/// A gate and the controller that it follows; the newest stamp takes precedence.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GateFact {
    /// Node on which the gate runs.
    #[serde(rename = "n")]
    pub node: NodeName,
    /// Logical timestamp of the gate's latest update.
    #[serde(rename = "s")]
    pub stamp: Stamp,
    /// Node of the controller that the gate follows.
    #[serde(rename = "h")]
    pub controller_node: NodeName,
    /// Wall time of the update.
    #[serde(rename = "t")]
    pub at: Timestamp,
    /// Addresses and load reported by the gate; `None` once the gate has disconnected from
    /// the controller.
    #[serde(rename = "g")]
    pub info: Option<GateInfo>,
    /// Failure domain of the node.
    #[serde(rename = "d")]
    pub domain: DomainName,
    /// Region of the node.
    #[serde(rename = "r")]
    pub region: RegionName,
    /// VM of the node.
    #[serde(rename = "v")]
    pub vm: VmName,
}

/// A VM with a reclaim notice; it is never withdrawn, and the earliest deadline takes precedence.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingFact {
    /// VM that will be reclaimed.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// Wall time at which the VM is reclaimed.
    #[serde(rename = "t")]
    pub deadline: Timestamp,
}

/// A stopped version; a stop is never withdrawn, and the earliest one takes precedence.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StopFact {
    /// Move whose new version was stopped.
    #[serde(rename = "m")]
    pub move_name: MoveName,
    /// Reason and time.
    #[serde(rename = "s")]
    pub stop: Stop,
}

/// A step that a move has reached; the highest step takes precedence, then the earliest time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepFact {
    /// Move that reached the step.
    #[serde(rename = "m")]
    pub move_name: MoveName,
    /// Step that was reached.
    #[serde(rename = "s")]
    pub step: Step,
}

/// Counters of one process for a version; each counter is monotonic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceFact {
    /// Process that reports the count.
    #[serde(rename = "o")]
    pub origin: Origin,
    /// Version, route and time window to which the counters apply.
    #[serde(rename = "k")]
    pub key: EvidenceKey,
    /// Counters of the process.
    #[serde(rename = "c")]
    pub counters: Counters,
}

/// Endpoint crashes that one process attributes to a request; the count is monotonic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashFact {
    /// Process that reports the count.
    #[serde(rename = "o")]
    pub origin: Origin,
    /// Digest of the request's customer, service, method, path and body.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Number of crashes.
    #[serde(rename = "c")]
    pub count: u32,
    /// Wall time of the latest crash.
    #[serde(rename = "t")]
    pub at: Timestamp,
}

/// A fact replicated between nodes by gossip.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fact {
    /// Endpoint crashes attributed to a request.
    #[serde(rename = "c")]
    Crash(CrashFact),
    /// Counters for a version.
    #[serde(rename = "e")]
    Evidence(EvidenceFact),
    /// A gate and the controller that it follows.
    #[serde(rename = "g")]
    Gate(GateFact),
    /// A VM with a reclaim notice.
    #[serde(rename = "l")]
    Leaving(LeavingFact),
    /// Health of a controller.
    #[serde(rename = "m")]
    Member(MemberFact),
    /// A step that a move has reached.
    #[serde(rename = "p")]
    Step(StepFact),
    /// A stopped version.
    #[serde(rename = "s")]
    Stop(StopFact),
}

/// Identifies the subject of a fact; facts with equal keys are merged.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FactKey {
    /// Crashes that one process attributes to a request digest.
    Crash(Origin, u64),
    /// Counters of one process for a version.
    Evidence(Origin, EvidenceKey),
    /// The gate of a node.
    Gate(NodeName),
    /// The reclaim notice of a VM.
    Leaving(VmName),
    /// The controller of a node.
    Member(NodeName),
    /// The step of a move.
    Step(MoveName),
    /// The stop of a move.
    Stop(MoveName),
}

impl Fact {
    /// Returns the key of the fact's subject.
    pub fn key(&self) -> FactKey {
        match self {
            Self::Crash(f) => FactKey::Crash(f.origin.clone(), f.digest),
            Self::Evidence(f) => FactKey::Evidence(f.origin.clone(), f.key.clone()),
            Self::Gate(f) => FactKey::Gate(f.node.clone()),
            Self::Leaving(f) => FactKey::Leaving(f.vm.clone()),
            Self::Member(f) => FactKey::Member(f.node.clone()),
            Self::Step(f) => FactKey::Step(f.move_name.clone()),
            Self::Stop(f) => FactKey::Stop(f.move_name.clone()),
        }
    }

    /// Merges another fact with the same key into this one and returns whether this one changed.
    ///
    /// A fact of a different kind leaves this one unchanged.
    pub fn merge(&mut self, other: Self) -> bool {
        match (self, other) {
            (Self::Crash(a), Self::Crash(b)) => merge_crash(a, &b),
            (Self::Evidence(a), Self::Evidence(b)) => merge_counters(&mut a.counters, &b.counters),
            (Self::Gate(a), Self::Gate(b)) => replace_if_higher(a, b, GateFact::rank),
            (Self::Leaving(a), Self::Leaving(b)) => {
                replace_if_higher(a, b, |f| Reverse(f.deadline))
            }
            (Self::Member(a), Self::Member(b)) => replace_if_higher(a, b, MemberFact::rank),
            (Self::Step(a), Self::Step(b)) => replace_if_higher(a, b, StepFact::rank),
            (Self::Stop(a), Self::Stop(b)) => replace_if_higher(a, b, StopFact::rank),
            _ => false,
        }
    }

    /// Returns whether the fact's retention has passed.
    ///
    /// The result depends only on the fact's content and the time, so that all nodes drop and
    /// reject it from the same time on and do not keep sending it to each other.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        match self {
            Self::Crash(f) => now.since(f.at) > CRASH_RETENTION,
            Self::Evidence(f) => now.since(window_start(f.key.window)) > EVIDENCE_RETENTION,
            Self::Gate(f) => f.info.is_none() && now.since(f.at) > DEPARTURE_RETENTION,
            Self::Leaving(f) => now.since(f.deadline) > RECLAIM_NOTICE_RETENTION,
            Self::Member(f) => {
                f.state == MemberState::Dead && now.since(f.since) > DEPARTURE_RETENTION
            }
            Self::Step(_) | Self::Stop(_) => false,
        }
    }

    /// Returns whether the fact is sent immediately and to more peers than usual.
    pub fn is_urgent(&self) -> bool {
        match self {
            Self::Crash(_) | Self::Leaving(_) | Self::Stop(_) => true,
            Self::Gate(f) => f.info.as_ref().is_some_and(|info| !info.accepting),
            Self::Evidence(_) | Self::Member(_) | Self::Step(_) => false,
        }
    }
}

impl MemberFact {
    fn rank(&self) -> impl Ord + use<> {
        let location = (self.vm.clone(), self.domain.clone(), self.region.clone());
        let since = Reverse(self.since);
        (
            self.incarnation,
            self.state,
            since,
            self.controller,
            location,
        )
    }

    /// Returns whether this fact takes precedence over another one about the same member.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }
}

impl GateFact {
    fn rank(&self) -> impl Ord + use<> {
        let location = (self.vm.clone(), self.domain.clone(), self.region.clone());
        let is_detached = self.info.is_none();
        let info = self.info.clone();
        (
            self.stamp,
            is_detached,
            self.at,
            self.controller_node.clone(),
            info,
            location,
        )
    }
}

impl StepFact {
    fn rank(&self) -> impl Ord + use<> {
        (self.step.index, Reverse(self.step.at))
    }
}

impl StopFact {
    fn rank(&self) -> impl Ord + use<> {
        Reverse((self.stop.at, self.stop.reason.clone()))
    }
}

/// Returns the wall time at which the evidence window with this number starts.
pub fn window_start(window: u64) -> Timestamp {
    Timestamp(window.saturating_mul(EVIDENCE_WINDOW_MS))
}

/// Raises each counter to the maximum of both and returns whether any of them increased.
pub fn merge_counters(counters: &mut Counters, other: &Counters) -> bool {
    let before = counters.clone();
    counters.ok = counters.ok.max(other.ok);
    counters.failed = counters.failed.max(other.failed);
    if counters.latency.len() < other.latency.len() {
        counters.latency.resize(other.latency.len(), 0);
    }
    for (bucket, value) in counters.latency.iter_mut().zip(&other.latency) {
        *bucket = (*bucket).max(*value);
    }
    *counters != before
}

fn merge_crash(crash: &mut CrashFact, other: &CrashFact) -> bool {
    let before = (crash.count, crash.at);
    crash.count = crash.count.max(other.count);
    crash.at = crash.at.max(other.at);
    (crash.count, crash.at) != before
}

fn replace_if_higher<T, K>(current: &mut T, other: T, rank: impl Fn(&T) -> K) -> bool
where
    K: Ord,
{
    let is_higher = rank(&other) > rank(current);
    if is_higher {
        *current = other;
    }
    is_higher
}
