//! Configuration by the operators: routes, services, customers and limits.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::CustomerName;
use crate::DomainName;
use crate::ServiceName;
use crate::WarmUp;

/// Time to read a request's body when the caller states no timeout.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Minimum size of the buffer for a request's head, and the space added to it for the body.
const MIN_BUFFER_BYTES: usize = 16 * 1024;

/// Retry and streaming semantics of a route's requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Responds with an event stream; runs at most once.
    Stream,
    /// Responds with an event stream that can be resumed at another endpoint.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may be sent again after it may have run.
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is an event stream.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Branch {
    /// Service that receives the requests.
    pub service: ServiceName,
    /// Weight, relative to the sum over all branches of the route.
    pub weight: u32,
}

/// A route, matched by host and path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name in logs and statistics.
    pub name: String,
    /// Host to match, in lower case.
    pub host: String,
    /// Path prefix to match.
    pub prefix: String,
    /// Retry and streaming semantics.
    pub kind: RouteKind,
    /// Maximum time that a caller waits; the default if the caller states none.
    pub timeout: Duration,
    /// Latency objective for the response or a stream's first event.
    pub objective: Duration,
    /// Latency objective for the time between two events of a stream.
    pub max_pause: Duration,
    /// Maximum number of endpoints that one request is sent to.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests without an API key are accepted.
    pub anonymous: bool,
    /// Services that receive the requests; at least one.
    pub branches: Vec<Branch>,
}

/// Unit in which a customer's quota is counted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotaUnit {
    /// One per request.
    Requests,
    /// Prompt and output tokens.
    Tokens {
        /// Tokens charged for a request that states no token counts.
        #[serde(rename = "plain")]
        default_tokens: u64,
    },
}

/// Quota of one customer, shared by all entries.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// Units per second; 0 for no limit.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// Unit of `rate` and `burst`.
    pub unit: QuotaUnit,
}

impl Quota {
    /// Returns the units that the customer's bucket holds; a bucket for less than one unit would
    /// admit nothing.
    pub(crate) fn capacity(&self) -> f64 {
        self.burst.max(1.0)
    }
}

/// A customer with its priority and quota.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Customer {
    /// Name that is sent to endpoints.
    pub name: CustomerName,
    /// Priority that replaces the route's.
    pub priority: Option<u8>,
    /// Quota over all routes.
    pub quota: Quota,
}

/// Bounds and prices for sizing a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Scaling {
    /// Minimum number of spot endpoints per failure domain; on-demand endpoints have no minimum.
    pub min: u32,
    /// Maximum number of endpoints per failure domain.
    pub max: u32,
    /// Time from ordering an endpoint until it accepts requests.
    pub boot: Duration,
    /// Price of a reclaimable endpoint relative to an on-demand one; `None` if not available.
    pub spot_price: Option<f64>,
    /// Price of an endpoint by failure domain.
    pub domain_prices: IndexMap<DomainName, f64>,
}

/// Model engine parameters of a service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity: u64,
    /// Tokens per event of a stream.
    pub stride: u32,
}

/// A service that routes lead to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Unique name.
    pub name: ServiceName,
    /// Maximum number of connections that an endpoint accepts in total.
    pub max_connections: u32,
    /// Model engine, if the service has one.
    pub engine: Option<Engine>,
    /// Bounds for automatic scaling; `None` if the service is not scaled by the entries.
    pub scaling: Option<Scaling>,
    /// Warm-up of the endpoints; `None` if they take their full load from the start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<WarmUp>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Configured time within which a request's head must have arrived; not enforced, see
    /// [`Limits::header_read_timeout`].
    pub header_timeout: Duration,
    /// Time for which a connection may be idle between requests.
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
    /// Returns the time, including idle time, that a connection may take until the next request's
    /// head has arrived.
    ///
    /// Twice the idle timeout: it also runs while a connection is idle, and callers reuse a
    /// connection until shortly before the idle timeout they know, which may be an older value.
    pub fn header_read_timeout(&self) -> Duration {
        self.idle_timeout * 2
    }

    /// Returns the size of a connection's read buffer, in bytes.
    pub fn read_buffer_bytes(&self) -> usize {
        let head = self.header_bytes.max(MIN_BUFFER_BYTES);
        head.saturating_add(MIN_BUFFER_BYTES)
    }

    /// Returns the time within which a request's body must have arrived, given the caller's
    /// timeout.
    pub fn body_read_timeout(&self, timeout: Option<Duration>) -> Duration {
        timeout.unwrap_or(DEFAULT_BODY_TIMEOUT)
    }
}

/// One version of the complete configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Version number; a higher version replaces a lower one.
    pub version: u64,
    /// Routes by host.
    pub routes: IndexMap<String, Vec<Route>>,
    /// Services by name.
    pub services: IndexMap<ServiceName, Service>,
    /// Index into `customers` by API key.
    pub keys: IndexMap<String, usize>,
    /// All customers; if empty, requests need no key.
    pub customers: Vec<Customer>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
}

impl Config {
    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        let matching = routes.iter().filter(|r| path.starts_with(&r.prefix));
        matching.max_by_key(|r| r.prefix.len())
    }

    /// Returns whether requests need an API key unless their route is anonymous.
    pub fn requires_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Returns the customer that an API key belongs to.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.customers.get(*self.keys.get(key)?)
    }
}
