//! Records of the platform's log.

use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Result as FmtResult;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::AttemptId;
use crate::Customer;
use crate::CustomerName;
use crate::Endpoint;
use crate::EndpointName;
use crate::Epoch;
use crate::Move;
use crate::MoveName;
use crate::MoveResult;
use crate::NodeName;
use crate::Offset;
use crate::RecordId;
use crate::RequestId;
use crate::Service;
use crate::ServiceName;
use crate::Timestamp;

/// The log streams that the system uses.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stream {
    /// Claims on non-idempotent calls.
    Claims,
    /// Services, endpoints, customers and moves.
    Config,
    /// Accepted deferred requests and their results.
    Deferred,
    /// Leases on duties.
    Leases,
}

impl Stream {
    /// Returns the stream's name at the log service.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Claims => "claims",
            Self::Config => "config",
            Self::Deferred => "deferred",
            Self::Leases => "leases",
        }
    }
}

/// Content of a record with its identifier, writer and time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// Identifier, the same in every retry of the append.
    pub id: RecordId,
    /// Node that wrote the record.
    pub writer: NodeName,
    /// Wall-clock time at the writer.
    pub at: Timestamp,
    /// Content.
    pub body: Body,
}

/// A record with its offset.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Offset in its stream.
    pub offset: Offset,
    /// Content with its identifier.
    pub envelope: Envelope,
}

/// Content of a record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "type", content = "value")]
pub enum Body {
    /// Part of a checkpoint: a stream's state up to an offset.
    Checkpoint(CheckpointPart),
    /// A change of a claim.
    Claim(ClaimChange),
    /// A change of configuration.
    Config(ConfigChange),
    /// A change of a deferred request.
    Deferred(DeferredChange),
    /// A change of a lease.
    Lease(LeaseChange),
}

/// Part of a checkpoint: a stream's state up to an offset.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CheckpointPart {
    /// The state covers every record up to and including this offset.
    pub as_of: Offset,
    /// Hash (xxh3, 64 bits) of the whole serialized state.
    pub hash: u64,
    /// Index of this part, from zero.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Slice of the serialized state (JSON text).
    pub data: String,
}

/// A change of configuration.
///
/// `base` is the revision of the object that the change was made against; `None` creates
/// the object. The revision of an object is the offset of the record that last changed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum ConfigChange {
    /// Ends a move at an operator's request.
    CancelMove {
        /// Move to end.
        name: MoveName,
    },
    /// Removes a customer.
    DeleteCustomer {
        /// Revision that the change was made against.
        base: Offset,
        /// Customer to remove.
        name: CustomerName,
    },
    /// Removes an endpoint.
    DeleteEndpoint {
        /// Revision that the change was made against.
        base: Offset,
        /// Endpoint to remove.
        name: EndpointName,
    },
    /// Removes a service with its endpoints.
    DeleteService {
        /// Revision that the change was made against.
        base: Offset,
        /// Service to remove.
        name: ServiceName,
    },
    /// Ends a move with its result; only the first end of a move counts.
    EndMove {
        /// Move to end.
        name: MoveName,
        /// Result.
        result: MoveResult,
        /// Reason, shown to operators.
        reason: String,
    },
    /// Creates or replaces a customer.
    PutCustomer {
        /// Revision that the change was made against.
        base: Option<Offset>,
        /// New value.
        customer: Customer,
    },
    /// Creates or replaces an endpoint.
    PutEndpoint {
        /// Revision that the change was made against.
        base: Option<Offset>,
        /// New value.
        endpoint: Endpoint,
    },
    /// Creates or replaces a service.
    PutService {
        /// Revision that the change was made against.
        base: Option<Offset>,
        /// New value.
        service: Service,
    },
    /// Starts a move.
    StartMove {
        /// Revision of the service that the change was made against.
        base: Offset,
        /// Move to start.
        spec: Move,
    },
}

/// Task of the cluster that one lease holder performs.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// Control of a service's fleet and moves.
    Service(ServiceName),
}

/// A change of a lease. The offset of the record that granted it is its epoch.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum LeaseChange {
    /// Requests the lease; granted if the candidate had read every record about the duty.
    Acquire {
        /// Duty that the lease is for.
        duty: Duty,
        /// Offset of the first record that the candidate had not read.
        #[serde(rename = "as_of")]
        next_unread: Offset,
        /// Length of the term.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        term: Duration,
    },
    /// Ends the lease early.
    Release {
        /// Duty that the lease is for.
        duty: Duty,
        /// Epoch of the lease.
        epoch: Epoch,
    },
    /// Extends the lease by a term.
    Renew {
        /// Duty that the lease is for.
        duty: Duty,
        /// Epoch of the lease.
        epoch: Epoch,
        /// Length of the term.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        term: Duration,
    },
}

/// Identity of a non-idempotent call.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// Customer that made the call.
    pub customer: CustomerName,
    /// Service that it calls.
    pub service: ServiceName,
    /// The caller's idempotency key.
    pub key: String,
}

impl Display for ClaimKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        write!(f, "{}/{}/{}", self.customer, self.service, self.key)
    }
}

/// A complete HTTP response, stored as the response to repeated calls.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers returned to the caller.
    pub headers: IndexMap<String, String>,
    /// Body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
    /// Length in bytes of a body that was dropped; `None` if the body is kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub omitted: Option<u64>,
}

impl StoredResponse {
    /// Returns the response without its body, with the length of the body in `omitted`.
    pub fn without_body(&self) -> Self {
        Self {
            status: self.status,
            headers: self.headers.clone(),
            body: Vec::new(),
            omitted: self.omitted.or(Some(self.body.len() as u64)),
        }
    }
}

/// A change of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum ClaimChange {
    /// Records that the attempt's result can no longer be learned.
    Abandon {
        /// Key of the call.
        key: ClaimKey,
        /// Attempt that held the claim.
        attempt: AttemptId,
    },
    /// Requests the claim on the call; the first request in log order gets it.
    Acquire {
        /// Key of the call.
        key: ClaimKey,
        /// Attempt that would run the call.
        attempt: AttemptId,
        /// Node of the gate that would run the call.
        gate: NodeName,
        /// Digest (xxh3, 64 bits) of the call's customer, service, method, path and body.
        digest: u64,
    },
    /// Records the response to the call.
    Finish {
        /// Key of the call.
        key: ClaimKey,
        /// Attempt that ran the call.
        attempt: AttemptId,
        /// Response to the call.
        reply: StoredResponse,
    },
    /// Releases the claim without having run the call.
    Release {
        /// Key of the call.
        key: ClaimKey,
        /// Attempt that held the claim or would have.
        attempt: AttemptId,
    },
}

impl ClaimChange {
    /// Returns the call and the attempt that the change is about.
    pub fn subject(&self) -> (&ClaimKey, AttemptId) {
        match self {
            Self::Abandon { key, attempt }
            | Self::Acquire { key, attempt, .. }
            | Self::Finish { key, attempt, .. }
            | Self::Release { key, attempt } => (key, *attempt),
        }
    }
}

/// A request that is accepted now and answered later.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DeferredRequest {
    /// Identifier; part of the URL at which the result is read.
    pub id: RequestId,
    /// Customer that made the request.
    pub customer: CustomerName,
    /// Service that it calls.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path below the service, without a leading slash.
    pub path: String,
    /// Headers sent to the endpoint.
    pub headers: IndexMap<String, String>,
    /// Body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

/// A change of a deferred request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum DeferredChange {
    /// Accepts the request.
    Accept {
        /// Request.
        request: DeferredRequest,
    },
    /// Records the response; only the first for a request counts.
    Finish {
        /// Identifier of the request.
        id: RequestId,
        /// Response to the call.
        reply: StoredResponse,
    },
}

/// Address of a peer's RPC port.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RpcAddr(pub SocketAddr);
