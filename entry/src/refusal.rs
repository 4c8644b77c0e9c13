//! Reasons for which an entry refuses or ends a request itself, with their HTTP statuses.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSecondsWithFrac;
use serde_with::serde_as;

/// Reason for which an entry refuses or ends a request itself.
#[derive(Clone, Copy, Debug, Deserialize, displaydoc::Display, Eq, Hash, PartialEq, Serialize)]
pub enum RefusalKind {
    /// the request is malformed
    BadRequest,
    /// the body is larger than the limit
    BodyTooLarge,
    /// no memory is left for the body; never sent to peers, as the previous build does not know it
    NoMemory,
    /// no configuration is known yet
    NoConfig,
    /// no route matches
    NoRoute,
    /// the key is unknown
    UnknownKey,
    /// the customer's quota is used up
    OverQuota,
    /// no endpoint of the service is known
    NoEndpoint,
    /// the endpoints cannot serve the request in time
    Overloaded,
    /// every endpoint gets as many requests as the rate limit that it has stated allows
    Limited,
    /// the request has crashed the endpoints that ran it
    Crashing,
    /// the process is shutting down
    Stopping,
    /// every endpoint tried rejected the request unrun
    Rejected,
    /// the endpoint failed after it may have run the request
    Broken,
    /// time ran out after an endpoint may have begun to run the request
    TimedOut,
    /// time ran out before an endpoint began to run the request
    Expired,
}

impl RefusalKind {
    /// Returns the HTTP status of the response.
    ///
    /// 429 and 503 guarantee that the request has not run and never will; 502 and 504 do not.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::BodyTooLarge => 413,
            Self::UnknownKey => 401,
            Self::NoRoute => 404,
            Self::OverQuota => 429,
            Self::NoConfig
            | Self::NoMemory
            | Self::NoEndpoint
            | Self::Overloaded
            | Self::Limited
            | Self::Crashing
            | Self::Stopping
            | Self::Rejected
            | Self::Expired => 503,
            Self::Broken => 502,
            Self::TimedOut => 504,
        }
    }

    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::NoMemory => "no_memory",
            Self::NoConfig => "no_config",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::OverQuota => "over_quota",
            Self::NoEndpoint => "no_endpoint",
            Self::Overloaded => "overloaded",
            Self::Limited => "limited",
            Self::Crashing => "crashing",
            Self::Stopping => "stopping",
            Self::Rejected => "rejected",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
            Self::Expired => "expired",
        }
    }
}

/// Final response of an entry to a request that no endpoint completed.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub kind: RefusalKind,
    /// Time after which the caller may retry; only set if the request has not run.
    #[serde_as(as = "Option<DurationMilliSecondsWithFrac<f64>>")]
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without Retry-After.
    pub const fn new(kind: RefusalKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }

    /// Creates a refusal with Retry-After.
    pub const fn with_retry_after(kind: RefusalKind, delay: Duration) -> Self {
        Self {
            kind,
            retry_after: Some(delay),
        }
    }
}
