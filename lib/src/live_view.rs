//! Live view of a controller, and the routing table updates that carry it to gates.

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

/// Health of a member; of two states at the same incarnation, the later variant takes precedence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Responds to probes.
    Alive,
    /// Did not respond to a probe and has not yet refuted the suspicion.
    Suspect,
    /// Completes the work in progress and accepts no new work.
    Leaving,
    /// Failed, or has shut down.
    Dead,
}

/// Addresses and load of a gate.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GateInfo {
    /// Address at which the gate serves callers.
    pub callers: SocketAddr,
    /// Address at which the gate serves RPCs of other gates and of controllers.
    pub rpc: SocketAddr,
    /// Whether the gate accepts new requests.
    pub accepting: bool,
    /// Requests in progress relative to their limit, in thousandths.
    pub load: u32,
}

/// State of an entry VM as known to the other members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the node.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Region of the node.
    pub region: RegionName,
    /// Address of the RPC port of the node's controller.
    pub controller: SocketAddr,
    /// Gate of the node; `None` while none is attached.
    pub gate: Option<GateInfo>,
    /// Health of the node's controller.
    pub state: MemberState,
}

/// Request counters of one version on one route.
///
/// The latency buckets have the upper bounds in [`LATENCY_BOUNDS_MS`], followed by one bucket for
/// all higher latencies.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Number of successful requests.
    pub ok: u64,
    /// Number of requests that failed because of the version.
    pub failed: u64,
    /// Number of requests per bucket of time to first byte.
    pub latency: Vec<u64>,
}

/// Upper bounds of the latency buckets, in milliseconds.
pub const LATENCY_BOUNDS_MS: [u64; 26] = [
    1, 2, 3, 5, 7, 10, 15, 22, 33, 50, 75, 110, 170, 250, 375, 560, 850, 1250, 1900, 2900, 4300,
    6500, 10_000, 15_000, 22_000, 33_000,
];

/// Version, route and time window to which counters apply.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EvidenceKey {
    /// Service of the version.
    pub service: ServiceName,
    /// Version that handled the requests.
    pub version: VersionName,
    /// Path prefix of the matched route, or empty if none matched.
    pub route: String,
    /// Number of the window that the counters cover: wall time in milliseconds divided by
    /// [`EVIDENCE_WINDOW_MS`].
    pub window: u64,
}

/// Length of an evidence window, in milliseconds.
pub const EVIDENCE_WINDOW_MS: u64 = 1000;

/// Counters for one key, summed over all nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceRow {
    /// Version, route and time window to which the counters apply.
    pub key: EvidenceKey,
    /// Sum of the counters over all nodes.
    pub sum: Counters,
}

/// Reason and time at which a version was stopped.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stop {
    /// Human-readable reason.
    pub reason: String,
    /// Wall time at which the stop was decided.
    pub at: Timestamp,
}

/// View of the live facts, which are replicated by gossip and not by the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LiveView {
    /// Entry VMs by node name.
    pub members: IndexMap<NodeName, Member>,
    /// VMs with a reclaim notice, with the wall time at which they are reclaimed.
    pub leaving: IndexMap<VmName, Timestamp>,
    /// Stopped versions, by move.
    pub stops: IndexMap<MoveName, Stop>,
    /// Steps reached by running moves, by move.
    pub steps: IndexMap<MoveName, Step>,
    /// Request counters of versions, summed over all nodes.
    pub evidence: Vec<EvidenceRow>,
    /// Number of endpoint crashes, by request digest.
    pub crashes: IndexMap<u64, u32>,
}

/// Message of the routing table subscription.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableUpdate {
    /// Offset that follows the newest record of the configuration in force at the sender.
    pub offset: Offset,
    /// Configuration, if it has changed since the previous message of this subscription.
    pub config: Option<Arc<ConfigState>>,
    /// Time since the sender's last contact with the log or a peer, in milliseconds; absent if
    /// the sender is the only node of the deployment.
    #[serde(default)]
    pub silence_ms: Option<u64>,
    /// Difference of the live view from the previous message of this subscription.
    pub live: LiveDelta,
}
