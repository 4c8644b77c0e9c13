//! Declarations that operators make: services, versions, endpoints, customers and moves.

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

/// What kind of process serves a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A model engine that speaks the completions protocol.
    Model,
    /// An ordinary HTTP service.
    Plain,
}

/// What an endpoint does with idempotency keys.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeySupport {
    /// The endpoint ignores keys.
    #[default]
    Ignored,
    /// The endpoint runs a key once and answers a repeat with the first answer.
    Honoured,
    /// The endpoint ignores keys on calls but can look up the answer of a key.
    Lookup,
}

/// How urgent a route's requests are.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A person waits for the answer.
    #[default]
    Interactive,
    /// The work can wait.
    Deferred,
}

/// Rules for the requests whose path starts with a prefix.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Path prefix below the service, without a leading slash; the longest match applies.
    pub prefix: String,
    /// Whether a call may run more than once; `GET` and `HEAD` always may.
    pub repeatable: bool,
    /// Urgency of the route's requests.
    pub priority: Priority,
    /// Time within which an answer must be complete.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
}

/// One version of a service's back end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Version {
    /// Model that the engines load; empty for plain services.
    pub model: String,
    /// Share of the traffic, in thousandths.
    pub share: u32,
}

/// A declared service.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Unique name, the first segment of the caller's path.
    pub name: ServiceName,
    /// Kind of process that serves it.
    pub kind: ServiceKind,
    /// Versions by name, with their shares while no move runs.
    pub versions: IndexMap<VersionName, Version>,
    /// Rules by path prefix.
    pub routes: Vec<Route>,
    /// What the endpoints do with idempotency keys.
    pub keys: KeySupport,
    /// Whether the endpoints refuse orders that carry an old epoch.
    pub fenced: bool,
    /// Time to the first token or byte that the service aims at, at p95.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub target: Duration,
    /// Endpoints that the fleet keeps running; zero leaves the fleet to the operator.
    pub replicas: u32,
}

/// One server process of a service.
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
    /// Machine that it runs on.
    pub vm: VmName,
    /// Failure domain of the machine.
    pub domain: DomainName,
}

/// A declared customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Customer {
    /// Unique name.
    pub name: CustomerName,
    /// SHA-256 of each accepted bearer token, in lower-case hexadecimal.
    pub tokens: Vec<String>,
    /// Weight in fair sharing; 1 or more.
    pub weight: u32,
}

/// A declared move of a service's traffic to another version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Move {
    /// Unique name.
    pub name: MoveName,
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version that the traffic leaves.
    pub from: VersionName,
    /// Version that the traffic reaches.
    pub to: VersionName,
    /// Time at which the move starts.
    pub start: Timestamp,
    /// Time by which the whole of the traffic must have moved.
    pub deadline: Timestamp,
}

/// How a move ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveResult {
    /// All traffic is on the new version.
    Done,
    /// The new version was bad, and all traffic is back on the old version.
    TakenBack,
    /// An operator cancelled the move.
    Cancelled,
}

/// Progress of a move as the log records it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveState {
    /// The move as declared.
    pub spec: Move,
    /// Result and its reason, once the move has ended.
    pub end: Option<MoveEnd>,
}

/// End of a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveEnd {
    /// How the move ended.
    pub result: MoveResult,
    /// Reason for the reader.
    pub reason: String,
    /// Time of the record.
    pub at: Timestamp,
}
