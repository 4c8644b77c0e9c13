//! Objects of the configuration: services, versions, endpoints, customers and moves.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::CustomerName;
use crate::DomainName;
use crate::EndpointName;
use crate::MoveName;
use crate::ServiceName;
use crate::Timestamp;
use crate::VersionName;
use crate::VmName;

/// Kind of process that serves a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A model engine that speaks the completions protocol.
    Model,
    /// An ordinary HTTP service.
    Plain,
}

/// Support of an endpoint for idempotency keys.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeySupport {
    /// The endpoint ignores keys.
    #[default]
    Ignored,
    /// The endpoint executes each key once and repeats the first response to duplicates.
    Honoured,
    /// The endpoint ignores keys on calls, but the response to a key can be looked up.
    Lookup,
}

/// Priority of a route's requests.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A person waits for the response.
    #[default]
    Interactive,
    /// The request can be delayed.
    Deferred,
}

/// Rules for requests whose path starts with a prefix.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Path prefix below the service, without a leading slash; the longest match applies.
    pub prefix: String,
    /// Whether a call may be executed more than once; `GET` and `HEAD` always may.
    pub repeatable: bool,
    /// Priority of the route's requests.
    pub priority: Priority,
    /// Timeout of a request, until its response is complete.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
}

/// One version of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Version {
    /// Model that the engines load; empty for [`ServiceKind::Plain`].
    pub model: String,
    /// Share of the traffic, in thousandths.
    pub share: u32,
}

/// A declared service.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Unique name, which is the first segment of the request path.
    pub name: ServiceName,
    /// Kind of process that serves it.
    pub kind: ServiceKind,
    /// Versions by name; their shares apply while no move is running.
    pub versions: IndexMap<VersionName, Version>,
    /// Rules by path prefix.
    pub routes: Vec<Route>,
    /// Support of the endpoints for idempotency keys.
    pub keys: KeySupport,
    /// Whether the endpoints reject orders whose epoch is older than that of the order in force.
    pub fenced: bool,
    /// Target for the 95th percentile of the time to first token or first byte.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub target: Duration,
    /// Number of endpoints that the fleet keeps running; 0 leaves endpoints to the operator.
    pub replicas: u32,
}

/// Server process of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Endpoint {
    /// Unique name.
    pub name: EndpointName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: VersionName,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// VM that it runs on.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
}

/// A declared customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Customer {
    /// Unique name.
    pub name: CustomerName,
    /// SHA-256 of each accepted bearer token, in lower-case hexadecimal.
    pub tokens: Vec<String>,
    /// Weight in fair queueing; 1 or more.
    pub weight: u32,
}

/// A move of a service's traffic to another version, as an operator requests it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Move {
    /// Unique name.
    pub name: MoveName,
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Old version, which the traffic moves from.
    pub from: VersionName,
    /// New version, which the traffic moves to.
    pub to: VersionName,
    /// Time at which the move starts.
    pub start: Timestamp,
    /// Time by which all traffic must have moved.
    pub deadline: Timestamp,
}

/// Result of a move.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveResult {
    /// All traffic is on the new version.
    Done,
    /// The new version was bad, and the traffic was rolled back to the old version.
    TakenBack,
    /// An operator cancelled the move.
    Cancelled,
}

/// State of a move as recorded in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveState {
    /// The move as requested.
    pub spec: Move,
    /// Result and reason; `None` while the move is running.
    pub end: Option<MoveEnd>,
}

/// End of a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveEnd {
    /// Result of the move.
    pub result: MoveResult,
    /// Reason for operators, as text.
    pub reason: String,
    /// Time of the log record.
    pub at: Timestamp,
}
