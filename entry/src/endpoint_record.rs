//! Records of the platform's endpoint list.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::DomainName;
use crate::EndpointId;
use crate::ServiceName;
use crate::VersionName;

/// Largest start of an incarnation or sequence number that counts: the largest whole number that all
/// writers of JSON represent exactly.
pub const MAX_REVISION: u64 = 1 << 53;

/// Readiness that an endpoint reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndpointState {
    /// Accepts new requests.
    Ready,
    /// Shuts down and accepts no new requests.
    Draining,
}

/// One record of the platform's endpoint list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointRecord {
    /// Id of the endpoint; a restarted endpoint may keep it.
    pub id: EndpointId,
    /// Service that the endpoint serves.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain of the endpoint's VM.
    pub domain: DomainName,
    /// Version of the endpoint's software.
    pub version: VersionName,
    /// Number of requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
    /// Remaining time of the warm-up after the start, during which the endpoint is slow.
    #[serde(rename = "cold")]
    pub warm_up: Duration,
    /// Whether the endpoint runs on spot capacity, which the cloud may reclaim.
    pub spot: bool,
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Sequence number of this record within the incarnation.
    pub sequence: u64,
}

impl EndpointRecord {
    /// Returns whether an endpoint can have written the record.
    ///
    /// A revision beyond [`MAX_REVISION`] would hide all later records of the endpoint.
    pub fn is_plausible(&self) -> bool {
        let has_address = self.address.port() != 0 && !self.address.ip().is_unspecified();
        has_address && self.sequence.max(self.incarnation) <= MAX_REVISION
    }

    /// Returns whether another record of the endpoint says the same at another time.
    pub(crate) fn differs_in_sequence_only(&self, other: &Self) -> bool {
        let same = Self {
            sequence: other.sequence,
            warm_up: other.warm_up,
            ..self.clone()
        };
        same == *other
    }
}

/// An endpoint that was removed from the list, with the revision of its last record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RemovedEndpoint {
    /// Id of the removed endpoint.
    pub id: EndpointId,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Sequence number of the last record within the incarnation.
    pub sequence: u64,
}
