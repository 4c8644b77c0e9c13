//! The operators' configuration: routes, services, customers and limits.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::CustomerName;
use crate::DomainName;
use crate::ServiceName;

/// Time for a request's body where its caller states none.
const BODY_TIME: Duration = Duration::from_secs(15);

/// Bytes that are read ahead at least, and beyond the head.
const BUFFER_LEAST: usize = 16 * 1024;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Answered by a stream of events that runs at most once.
    Stream,
    /// Answered by a stream of events that may go on at another endpoint.
    ResumableStream,
}

impl CallKind {
    /// Tells whether a request that may have run may be sent again.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Tells whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that a route leads to, with its weight among the route's services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Branch {
    /// Service that gets the requests.
    pub service: ServiceName,
    /// Weight, relative to the sum over all branches.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Host that the route belongs to, in lower case.
    pub host: String,
    /// Prefix of the paths that the route serves.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub objective: Duration,
    /// Longest pause between events with which a stream is on time.
    pub max_pause: Duration,
    /// Endpoints to which one request may be sent at most.
    pub attempts: u32,
    /// Rank among requests, 0 first.
    pub priority: u8,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Services that the route leads to; at least one.
    pub branches: Vec<Branch>,
}

/// What a customer's quota counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens, with the number that a request without token counts stands for.
    Tokens {
        /// Tokens of a request that states none.
        plain: u64,
    },
}

/// Quota of one customer over all entries.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// Units a second; 0 for no limit.
    pub rate: f64,
    /// Units beyond the rate.
    pub burst: f64,
    /// What is counted.
    pub unit: QuotaUnit,
}

/// One customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Customer {
    /// Name that endpoints are told.
    pub name: CustomerName,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Quota of the customer.
    pub quota: Quota,
}

/// Bounds and prices of a service's size.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Scaling {
    /// Fewest endpoints in a failure domain.
    pub min: u32,
    /// Most endpoints in a failure domain.
    pub max: u32,
    /// Time from an order until the endpoint serves.
    pub boot: Duration,
    /// Price of a reclaimable endpoint relative to an on-demand one, where they are to be had.
    pub spot_price: Option<f64>,
    /// Price of an endpoint by failure domain.
    pub domain_prices: IndexMap<DomainName, f64>,
}

/// Model engine of a service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that fit into memory.
    pub kv_capacity: u64,
    /// Tokens in one event of a stream.
    pub stride: u32,
}

/// One service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Connections that an endpoint accepts from all callers.
    pub max_connections: u32,
    /// Model engine, if the service has one.
    pub engine: Option<Engine>,
    /// Bounds of its size, if the system orders it.
    pub scaling: Option<Scaling>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for sending a request's head.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Limits {
    /// Returns the time within which the next request's head must have come.
    ///
    /// It also runs while a connection is idle, and callers use one again until shortly before
    /// the idle time-out that they know, which may be an older one.
    pub fn head_time(&self) -> Duration {
        self.idle_timeout * 2
    }

    /// Returns the bytes that are read ahead of a request's body.
    pub fn buffer_bytes(&self) -> usize {
        self.header_bytes.max(BUFFER_LEAST) + BUFFER_LEAST
    }

    /// Returns the time within which a request's body must have come.
    pub fn body_time(&self, patience: Option<Duration>) -> Duration {
        patience.unwrap_or(BODY_TIME)
    }
}

/// One version of the whole configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes by host.
    pub routes: IndexMap<String, Vec<Route>>,
    /// Services by name.
    pub services: IndexMap<ServiceName, Service>,
    /// Customers by key; empty when no keys are in use.
    pub keys: IndexMap<String, usize>,
    /// Customers.
    pub customers: Vec<Customer>,
    /// Bounds on what callers send.
    pub limits: Limits,
}

impl Config {
    /// Returns the route of a request: the longest prefix among its host's routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        let matching = routes.iter().filter(|r| path.starts_with(&r.prefix));
        matching.max_by_key(|r| r.prefix.len())
    }

    /// Tells whether requests need a key.
    pub fn wants_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Returns the customer who holds a key.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.customers.get(*self.keys.get(key)?)
    }
}
