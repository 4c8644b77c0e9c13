//! The routing table that a controller sends to gates.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ConfigState;
use crate::DomainName;
use crate::LiveDelta;
use crate::MoveName;
use crate::NodeName;
use crate::Offset;
use crate::RegionName;
use crate::ServiceName;
use crate::Step;
use crate::Timestamp;
use crate::VersionName;
use crate::VmName;

/// What is known of a member's health.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe and has not yet refuted it.
    Suspect,
    /// Serves what it has and takes nothing new.
    Leaving,
    /// Does not answer.
    Dead,
}

/// Addresses of a gate.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GateInfo {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other gates.
    pub rpc: SocketAddr,
    /// Whether the gate takes new requests.
    pub accepting: bool,
    /// Requests in progress over the limit on them, in thousandths.
    pub load: u32,
}

/// One entry VM as the other members see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name.
    pub node: NodeName,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Address of its controller's RPC port.
    pub controller: SocketAddr,
    /// Its gate, while one is attached.
    pub gate: Option<GateInfo>,
    /// Health.
    pub state: MemberState,
}

/// Counters about one version on one route.
///
/// Latency buckets have the upper bounds of [`LATENCY_BOUNDS_MS`] and a last one above all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Requests that succeeded.
    pub ok: u64,
    /// Requests that failed through the version's fault.
    pub failed: u64,
    /// Requests by time to the first byte.
    pub latency: Vec<u64>,
}

/// Upper bounds of the latency buckets, in milliseconds.
pub const LATENCY_BOUNDS_MS: [u64; 26] = [
    1, 2, 3, 5, 7, 10, 15, 22, 33, 50, 75, 110, 170, 250, 375, 560, 850, 1250, 1900, 2900, 4300,
    6500, 10_000, 15_000, 22_000, 33_000,
];

/// What the counters are about.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EvidenceKey {
    /// Service.
    pub service: ServiceName,
    /// Version.
    pub version: VersionName,
    /// Prefix of the matched route, empty when none matched.
    pub route: String,
    /// Window that the counters cover: wall time divided by [`WINDOW_MS`].
    pub window: u64,
}

/// Length of an evidence window, in milliseconds.
pub const WINDOW_MS: u64 = 1000;

/// Counters merged over all nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceRow {
    /// What the counters are about.
    pub key: EvidenceKey,
    /// Sum over the nodes.
    pub sum: Counters,
}

/// Why a version was stopped.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stop {
    /// Reason for the reader.
    pub reason: String,
    /// Time at which the bound was passed.
    pub at: Timestamp,
}

/// Facts that change without the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LiveView {
    /// Entry VMs by name.
    pub members: IndexMap<NodeName, Member>,
    /// Machines under notice, with the time at which they end.
    pub leaving: IndexMap<VmName, Timestamp>,
    /// Versions stopped, by move.
    pub stops: IndexMap<MoveName, Stop>,
    /// Steps that running moves have reached.
    pub steps: IndexMap<MoveName, Step>,
    /// Evidence about versions, merged over all nodes.
    pub evidence: Vec<EvidenceRow>,
    /// Crashes of endpoints by request digest.
    pub crashes: IndexMap<u64, u32>,
}

/// One message of the table subscription.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableUpdate {
    /// Offset of the configuration that the sender has in force.
    pub offset: Offset,
    /// Configuration, when it changed since the previous message of this subscription.
    pub config: Option<Arc<ConfigState>>,
    /// Time since the sender heard from the log or from a peer, in milliseconds; absent when it
    /// is the whole deployment.
    #[serde(default)]
    pub silence_ms: Option<u64>,
    /// What changed of the facts that change without the log.
    pub live: LiveDelta,
}
