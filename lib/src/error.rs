//! The closed list of error kinds and the table from kind to answer.

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

/// The closed list of error kinds.
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

/// Whether and when a caller may come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ComeBack {
    /// The same request will not succeed.
    Never,
    /// The same request may succeed after this many seconds.
    After(u32),
}

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// gRPC status code.
    pub grpc: i32,
    /// What is known of the effect.
    pub outcome: Outcome,
    /// Whether the caller may come back.
    pub retry: ComeBack,
}

const fn row(status: u16, grpc: i32, outcome: Outcome, retry: ComeBack) -> Answer {
    Answer {
        status,
        grpc,
        outcome,
        retry,
    }
}

impl ErrorKind {
    /// Every kind, in the order of the list.
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

    /// Returns the answer that callers and operators get for this kind.
    pub const fn answer(self) -> Answer {
        use ComeBack::After;
        use ComeBack::Never;
        use Outcome::Failed;
        use Outcome::NotRun;
        use Outcome::Unknown;
        match self {
            Self::BadRequest => row(400, 3, NotRun, Never),
            Self::Unauthorized => row(401, 16, NotRun, Never),
            Self::Forbidden => row(403, 7, NotRun, Never),
            Self::UnknownService | Self::NotFound => row(404, 5, NotRun, Never),
            Self::MethodNotAllowed => row(405, 3, NotRun, Never),
            Self::BodyTooLarge => row(413, 3, NotRun, Never),
            Self::HeadersTooLarge => row(431, 3, NotRun, Never),
            Self::ReceiveTimeout => row(408, 4, NotRun, After(1)),
            Self::Conflict => row(409, 10, NotRun, Never),
            Self::KeyReused => row(422, 9, NotRun, Never),
            Self::Overloaded => row(429, 8, NotRun, After(1)),
            Self::NoEndpoint | Self::NotReady => row(503, 14, NotRun, After(2)),
            Self::LogUnavailable => row(503, 14, NotRun, After(5)),
            Self::Leaving => row(503, 14, NotRun, After(1)),
            Self::DeadlinePassed => row(504, 4, NotRun, After(1)),
            Self::DeadlineExceeded => row(504, 4, Unknown, After(1)),
            Self::EndpointFailed => row(502, 13, Failed, After(1)),
            Self::CrashingRequest => row(502, 13, Failed, After(600)),
            Self::OutcomeUnknown => row(502, 2, Unknown, Never),
            Self::Internal => row(500, 13, Unknown, After(1)),
        }
    }

    /// Returns the kind's name as it stands in `type` of a problem document.
    pub fn name(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            _ => String::from("internal"),
        }
    }
}

/// An error with its kind, a detail for the reader and an optional time to come back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, ThisError)]
#[error("{kind}: {detail}")]
pub struct Error {
    /// Kind from the closed list.
    pub kind: ErrorKind,
    /// Detail for the reader; never holds a secret.
    pub detail: String,
    /// Time after which to come back, in seconds, when known better than the table.
    pub retry_after: Option<u32>,
    /// What is known of the effect, when known better than the table.
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

    /// Sets the time after which to come back, rounded up to whole seconds.
    pub fn with_retry(mut self, after: Duration) -> Self {
        let secs = after.as_millis().div_ceil(1000).max(1);
        self.retry_after = Some(u32::try_from(secs).unwrap_or(u32::MAX));
        self
    }

    /// Sets what is known of the effect.
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = Some(outcome);
        self
    }

    /// Returns what is known of the effect.
    pub fn outcome(&self) -> Outcome {
        self.outcome.unwrap_or(self.kind.answer().outcome)
    }

    /// Returns the time to come back in seconds, if coming back may help.
    pub fn retry_after(&self) -> Option<u32> {
        match (self.retry_after, self.kind.answer().retry) {
            (Some(secs), _) | (None, ComeBack::After(secs)) => Some(secs),
            (None, ComeBack::Never) => None,
        }
    }
}

/// Result with the crate's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
