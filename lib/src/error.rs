//! Error kinds and their mapping to HTTP and gRPC responses.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error as ThisError;

/// What is known about the effect of a refused or failed request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and failed.
    Failed,
    /// The request was not run and will not be run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Kind of an error; the name and the text are part of the API.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    displaydoc::Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// the request is malformed
    BadRequest,
    /// the credentials are missing or wrong
    Unauthorized,
    /// the caller may not do this
    Forbidden,
    /// no such service
    UnknownService,
    /// no such object
    NotFound,
    /// the method is not allowed here
    MethodNotAllowed,
    /// the body is larger than the limit
    BodyTooLarge,
    /// the header section is larger than the limit
    HeadersTooLarge,
    /// the request did not arrive in time
    ReceiveTimeout,
    /// the object was changed by another writer
    Conflict,
    /// the idempotency key was used with another request
    KeyReused,
    /// the customer or the service is over its limit
    Overloaded,
    /// no endpoint can take the request
    NoEndpoint,
    /// this process has no configuration in force
    NotReady,
    /// the platform's log does not answer
    LogUnavailable,
    /// this process is leaving
    Leaving,
    /// the deadline passed before the request was sent
    DeadlinePassed,
    /// the deadline passed after the request was sent
    DeadlineExceeded,
    /// the endpoint failed
    EndpointFailed,
    /// the request crashed the endpoints that ran it
    CrashingRequest,
    /// the request was sent and its result is not known
    OutcomeUnknown,
    /// an internal fault
    Internal,
}

/// Whether and when a caller may retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryAdvice {
    /// The same request will not succeed.
    Never,
    /// The same request may succeed after this many seconds.
    After(u32),
}

/// Response to a request that failed with an error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorMapping {
    /// HTTP status code.
    pub status: u16,
    /// gRPC status code.
    pub grpc: i32,
    /// Whether the request took effect.
    pub outcome: Outcome,
    /// Whether and when the caller may retry.
    pub retry: RetryAdvice,
}

const fn mapping(status: u16, grpc: i32, outcome: Outcome, retry: RetryAdvice) -> ErrorMapping {
    ErrorMapping {
        status,
        grpc,
        outcome,
        retry,
    }
}

impl ErrorKind {
    /// Every kind, in declaration order.
    pub const ALL: [Self; 22] = [
        Self::BadRequest,
        Self::Unauthorized,
        Self::Forbidden,
        Self::UnknownService,
        Self::NotFound,
        Self::MethodNotAllowed,
        Self::BodyTooLarge,
        Self::HeadersTooLarge,
        Self::ReceiveTimeout,
        Self::Conflict,
        Self::KeyReused,
        Self::Overloaded,
        Self::NoEndpoint,
        Self::NotReady,
        Self::LogUnavailable,
        Self::Leaving,
        Self::DeadlinePassed,
        Self::DeadlineExceeded,
        Self::EndpointFailed,
        Self::CrashingRequest,
        Self::OutcomeUnknown,
        Self::Internal,
    ];

    /// Returns the response that callers and operators receive for this kind.
    pub const fn mapping(self) -> ErrorMapping {
        use Outcome::Failed;
        use Outcome::NotRun;
        use Outcome::Unknown;
        use RetryAdvice::After;
        use RetryAdvice::Never;
        match self {
            Self::BadRequest => mapping(400, 3, NotRun, Never),
            Self::Unauthorized => mapping(401, 16, NotRun, Never),
            Self::Forbidden => mapping(403, 7, NotRun, Never),
            Self::UnknownService | Self::NotFound => mapping(404, 5, NotRun, Never),
            Self::MethodNotAllowed => mapping(405, 3, NotRun, Never),
            Self::BodyTooLarge => mapping(413, 3, NotRun, Never),
            Self::HeadersTooLarge => mapping(431, 3, NotRun, Never),
            Self::ReceiveTimeout => mapping(408, 4, NotRun, After(1)),
            Self::Conflict => mapping(409, 10, NotRun, Never),
            Self::KeyReused => mapping(422, 9, NotRun, Never),
            Self::Overloaded => mapping(429, 8, NotRun, After(1)),
            Self::NoEndpoint | Self::NotReady => mapping(503, 14, NotRun, After(2)),
            Self::LogUnavailable => mapping(503, 14, NotRun, After(5)),
            Self::Leaving => mapping(503, 14, NotRun, After(1)),
            Self::DeadlinePassed => mapping(504, 4, NotRun, After(1)),
            Self::DeadlineExceeded => mapping(504, 4, Unknown, After(1)),
            Self::EndpointFailed => mapping(502, 13, Failed, After(1)),
            Self::CrashingRequest => mapping(502, 13, Failed, After(600)),
            Self::OutcomeUnknown => mapping(502, 2, Unknown, Never),
            Self::Internal => mapping(500, 13, Unknown, After(1)),
        }
    }

    /// Returns the snake-case name, as used in `type` of a problem document.
    pub fn name(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            _ => String::from("internal"),
        }
    }
}

/// An error with its kind, a human-readable detail and an optional retry delay.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, ThisError)]
#[error("{kind}: {detail}")]
pub struct Error {
    /// Kind, which determines the response.
    pub kind: ErrorKind,
    /// Human-readable detail; must not contain secrets, as callers see it.
    pub detail: String,
    /// Retry delay in seconds; overrides the default of the kind.
    pub retry_after: Option<u32>,
    /// Outcome of the request; overrides the default of the kind.
    pub outcome: Option<Outcome>,
}

impl Error {
    /// Creates an error of `kind`.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: None,
            outcome: None,
        }
    }

    /// Sets the retry delay, rounded up to whole seconds and at least 1 s.
    pub fn with_retry(mut self, after: Duration) -> Self {
        let secs = after.as_millis().div_ceil(1000).max(1);
        self.retry_after = Some(u32::try_from(secs).unwrap_or(u32::MAX));
        self
    }

    /// Overrides the kind's default outcome.
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = Some(outcome);
        self
    }

    /// Returns the outcome: the override, or else the default of the kind.
    pub fn outcome(&self) -> Outcome {
        self.outcome.unwrap_or(self.kind.mapping().outcome)
    }

    /// Returns the retry delay in seconds, or `None` if a retry cannot succeed.
    pub fn retry_after(&self) -> Option<u32> {
        match (self.retry_after, self.kind.mapping().retry) {
            (Some(secs), _) | (None, RetryAdvice::After(secs)) => Some(secs),
            (None, RetryAdvice::Never) => None,
        }
    }
}

/// Result with the crate's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
