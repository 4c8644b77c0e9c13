//! Facts that nodes spread by gossip, each with its owner and its merge rule.
//!
//! Merging is commutative, associative and idempotent, so that nodes that have heard of the
//! same facts agree, in whatever order and however often these came.

use std::cmp::Reverse;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Counters;
use crate::DomainName;
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
use crate::WINDOW_MS;

/// Time for which an evidence window is kept.
pub const EVIDENCE_KEPT: Duration = Duration::from_mins(1);

/// Time for which a crash of an endpoint is held against the request.
pub const CRASH_KEPT: Duration = Duration::from_mins(10);

/// Time for which dead members and detached gates are remembered.
pub const GONE_KEPT: Duration = Duration::from_mins(10);

/// Time for which a machine is remembered after its notice has ended.
pub const LEAVING_KEPT: Duration = Duration::from_hours(24);

/// Position in what one process says: a later start goes before a higher number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Stamp {
    /// Wall time at which the process started.
    #[serde(rename = "p")]
    pub started: Timestamp,
    /// Number of the statement since then.
    #[serde(rename = "q")]
    pub seq: u64,
}

/// A process that counts something.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Origin {
    /// Node that the process runs on.
    #[serde(rename = "n")]
    pub node: NodeName,
    /// Wall time at which the process started.
    #[serde(rename = "p")]
    pub started: Timestamp,
}

/// Health and addresses of a controller.
///
/// The higher incarnation wins, then the worse state. Only the member itself raises its
/// incarnation. Source: Das, Gupta and Motivala, "SWIM", 2002.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberFact {
    /// Name.
    #[serde(rename = "n")]
    pub node: NodeName,
    /// Incarnation; the first one is the wall time of the start in milliseconds.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Health.
    #[serde(rename = "s")]
    pub state: MemberState,
    /// Wall time at which the state was declared.
    #[serde(rename = "t")]
    pub since: Timestamp,
    /// Failure domain.
    #[serde(rename = "d")]
    pub domain: DomainName,
    /// Region.
    #[serde(rename = "r")]
    pub region: RegionName,
    /// Machine.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// Address of the RPC port.
    #[serde(rename = "a")]
    pub controller: std::net::SocketAddr,
}

/// A gate and the controller that it follows; the newest stamp wins.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GateFact {
    /// Node that the gate runs on.
    #[serde(rename = "n")]
    pub node: NodeName,
    /// The gate's position at its latest statement.
    #[serde(rename = "s")]
    pub stamp: Stamp,
    /// Node of the controller that the gate follows.
    #[serde(rename = "h")]
    pub host: NodeName,
    /// Wall time of the statement.
    #[serde(rename = "t")]
    pub at: Timestamp,
    /// What the gate says of itself; `None` once the link has ended.
    #[serde(rename = "g")]
    pub info: Option<GateInfo>,
    /// Failure domain.
    #[serde(rename = "d")]
    pub domain: DomainName,
    /// Region.
    #[serde(rename = "r")]
    pub region: RegionName,
    /// Machine.
    #[serde(rename = "v")]
    pub vm: VmName,
}

/// A machine under notice; never taken back, and the earliest deadline wins.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingFact {
    /// Machine.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// Time at which it ends.
    #[serde(rename = "t")]
    pub deadline: Timestamp,
}

/// A stopped version; never taken back, and the earliest statement wins.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StopFact {
    /// Move whose new version was stopped.
    #[serde(rename = "m")]
    pub name: MoveName,
    /// Reason and time.
    #[serde(rename = "s")]
    pub stop: Stop,
}

/// A step that a move has reached; the highest wins, then the earliest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepFact {
    /// Move.
    #[serde(rename = "m")]
    pub name: MoveName,
    /// Step.
    #[serde(rename = "s")]
    pub step: Step,
}

/// One process's counters about a version; each counter only grows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceFact {
    /// Process that counted.
    #[serde(rename = "o")]
    pub origin: Origin,
    /// What the counters are about.
    #[serde(rename = "k")]
    pub key: EvidenceKey,
    /// Counters.
    #[serde(rename = "c")]
    pub counters: Counters,
}

/// Endpoint crashes that one process counted for a request; the count only grows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashFact {
    /// Process that counted.
    #[serde(rename = "o")]
    pub origin: Origin,
    /// Digest of customer and body.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Crashes.
    #[serde(rename = "c")]
    pub count: u32,
    /// Wall time of the latest crash.
    #[serde(rename = "t")]
    pub at: Timestamp,
}

/// A fact that nodes spread by gossip.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fact {
    /// Crashes that a request caused.
    #[serde(rename = "c")]
    Crash(CrashFact),
    /// Counters about a version.
    #[serde(rename = "e")]
    Evidence(EvidenceFact),
    /// A gate and its controller.
    #[serde(rename = "g")]
    Gate(GateFact),
    /// A machine under notice.
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

/// What a fact is about.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FactKey {
    /// Crashes that one process counted for a request.
    Crash(Origin, u64),
    /// Counters of one process about a version.
    Evidence(Origin, EvidenceKey),
    /// The gate of a node.
    Gate(NodeName),
    /// A machine.
    Leaving(VmName),
    /// The controller of a node.
    Member(NodeName),
    /// The step of a move.
    Step(MoveName),
    /// The stop of a move.
    Stop(MoveName),
}

impl Fact {
    /// Returns what the fact is about.
    pub fn key(&self) -> FactKey {
        match self {
            Self::Crash(f) => FactKey::Crash(f.origin.clone(), f.digest),
            Self::Evidence(f) => FactKey::Evidence(f.origin.clone(), f.key.clone()),
            Self::Gate(f) => FactKey::Gate(f.node.clone()),
            Self::Leaving(f) => FactKey::Leaving(f.vm.clone()),
            Self::Member(f) => FactKey::Member(f.node.clone()),
            Self::Step(f) => FactKey::Step(f.name.clone()),
            Self::Stop(f) => FactKey::Stop(f.name.clone()),
        }
    }

    /// Merges another fact about the same thing into this one, and tells whether this one
    /// changed.
    ///
    /// Facts about different things leave this one unchanged.
    pub fn merge(&mut self, other: Self) -> bool {
        match (self, other) {
            (Self::Crash(a), Self::Crash(b)) => merge_crash(a, &b),
            (Self::Evidence(a), Self::Evidence(b)) => merge_counters(&mut a.counters, &b.counters),
            (Self::Gate(a), Self::Gate(b)) => replace_lower(a, b, GateFact::rank),
            (Self::Leaving(a), Self::Leaving(b)) => replace_lower(a, b, |f| Reverse(f.deadline)),
            (Self::Member(a), Self::Member(b)) => replace_lower(a, b, MemberFact::rank),
            (Self::Step(a), Self::Step(b)) => replace_lower(a, b, StepFact::rank),
            (Self::Stop(a), Self::Stop(b)) => replace_lower(a, b, StopFact::rank),
            _ => false,
        }
    }

    /// Tells whether the fact no longer matters, from its own content and the time alone.
    ///
    /// Every node drops and refuses it from the same time on, so that no two nodes pass it
    /// back and forth.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        match self {
            Self::Crash(f) => now.since(f.at) > CRASH_KEPT,
            Self::Evidence(f) => now.since(window_start(f.key.window)) > EVIDENCE_KEPT,
            Self::Gate(f) => f.info.is_none() && now.since(f.at) > GONE_KEPT,
            Self::Leaving(f) => now.since(f.deadline) > LEAVING_KEPT,
            Self::Member(f) => f.state == MemberState::Dead && now.since(f.since) > GONE_KEPT,
            Self::Step(_) | Self::Stop(_) => false,
        }
    }

    /// Tells whether the fact is sent at once and to several peers.
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
        let place = (self.vm.clone(), self.domain.clone(), self.region.clone());
        let since = Reverse(self.since);
        (self.incarnation, self.state, since, self.controller, place)
    }

    /// Tells whether this statement goes before another about the same member.
    pub fn beats(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }
}

impl GateFact {
    fn rank(&self) -> impl Ord + use<> {
        let place = (self.vm.clone(), self.domain.clone(), self.region.clone());
        let ended = self.info.is_none();
        let info = self.info.clone();
        (self.stamp, ended, self.at, self.host.clone(), info, place)
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

/// Returns the wall time at which an evidence window starts.
pub fn window_start(window: u64) -> Timestamp {
    Timestamp(window.saturating_mul(WINDOW_MS))
}

/// Raises counters to those of a later reading and tells whether any was raised.
pub fn merge_counters(counters: &mut Counters, other: &Counters) -> bool {
    let before = counters.clone();
    counters.ok = counters.ok.max(other.ok);
    counters.failed = counters.failed.max(other.failed);
    if counters.latency.len() < other.latency.len() {
        counters.latency.resize(other.latency.len(), 0);
    }
    for (bucket, seen) in counters.latency.iter_mut().zip(&other.latency) {
        *bucket = (*bucket).max(*seen);
    }
    *counters != before
}

fn merge_crash(crash: &mut CrashFact, other: &CrashFact) -> bool {
    let before = (crash.count, crash.at);
    crash.count = crash.count.max(other.count);
    crash.at = crash.at.max(other.at);
    (crash.count, crash.at) != before
}

fn replace_lower<T, K>(current: &mut T, other: T, rank: impl Fn(&T) -> K) -> bool
where
    K: Ord,
{
    let higher = rank(&other) > rank(current);
    if higher {
        *current = other;
    }
    higher
}
