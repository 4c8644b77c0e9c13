//! Interface to endpoints: sending one request to one endpoint, and its possible outcomes.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;

use crate::Call;
use crate::CustomerName;
use crate::EndpointId;
use crate::LimitNotice;

/// Maximum size of a response that is buffered, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Time within which the body of a rejection must have ended for its connection to be reused.
pub const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// One send of a request to one endpoint.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// Request to send.
    pub call: &'a Call,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Id of the endpoint that is expected at the address.
    pub endpoint: &'a EndpointId,
    /// Customer that the request belongs to, if authenticated.
    pub customer: Option<&'a CustomerName>,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Priority of a model request; 0 is the highest.
    pub priority: Option<u8>,
    /// Id of the last event received so far; the stream is to resume after it.
    pub last_event: Option<u64>,
    /// Maximum idle time of a connection to reuse.
    pub max_idle: Duration,
    /// Maximum number of idle connections to keep to the endpoint.
    pub max_idle_connections: usize,
    /// Whether a successful response is streamed instead of buffered.
    pub stream: bool,
}

/// What an endpoint says of its availability in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointNotice {
    /// Whether the endpoint leaves and takes no more requests soon.
    pub leaving: bool,
    /// Time for which the endpoint wants no requests from this entry.
    pub retry_after: Option<Duration>,
    /// What the endpoint says of its rate limit.
    pub limit: LimitNotice,
    /// What the endpoint says of the rejections that it survives while it is brittle.
    pub brittle: LimitNotice,
}

/// How a send or a stream ended without the endpoint saying whether it ran the request.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum Interruption {
    /// {0}
    ConnectionBroken(String),
    /// {0}
    TimedOut(String),
    /// {0}
    InvalidResponse(String),
}

impl Interruption {
    /// Returns the name used in logs.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::ConnectionBroken(_) => "connection_broken",
            Self::TimedOut(_) => "timed_out",
            Self::InvalidResponse(_) => "invalid_response",
        }
    }
}

/// Reason why a send failed.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, thiserror::Error)]
pub enum SendFailure {
    /// request was not written: {0}
    NotWritten(String),
    /// endpoint rejected the request with status {status} without running it
    Rejected {
        /// HTTP status of the rejection.
        status: u16,
        /// Whether a different endpoint responded at the address.
        misdirected: bool,
        /// What the endpoint said of its availability.
        notice: EndpointNotice,
    },
    /// endpoint may have run the request: {0}
    MayHaveRun(Interruption),
}

/// Response of an endpoint.
#[derive(Debug)]
pub struct EndpointResponse<B> {
    /// HTTP status.
    pub status: u16,
    /// Headers to forward to the caller.
    pub headers: HeaderMap,
    /// Buffered or streamed body.
    pub body: ResponseBody<B>,
    /// Whether the body states its end, by a length or a last chunk, rather than ending with its
    /// connection.
    pub states_end: bool,
    /// Whether the endpoint announced that it closes the connection.
    pub closing: bool,
    /// What the endpoint said of its availability.
    pub notice: EndpointNotice,
}

impl<B> EndpointResponse<B> {
    /// Converts the body of a streamed response.
    pub(crate) fn map_body<C>(self, convert: impl FnOnce(B) -> C) -> EndpointResponse<C> {
        let body = match self.body {
            ResponseBody::Whole(body) => ResponseBody::Whole(body),
            ResponseBody::Stream(body) => ResponseBody::Stream(convert(body)),
        };
        EndpointResponse {
            status: self.status,
            headers: self.headers,
            body,
            states_end: self.states_end,
            closing: self.closing,
            notice: self.notice,
        }
    }
}

/// Body of a response.
#[derive(Debug)]
pub enum ResponseBody<B> {
    /// Complete body.
    Whole(Bytes),
    /// Event stream in progress.
    Stream(B),
}

/// A body that is read in chunks; dropping it cancels the request at the endpoint.
pub trait ChunkStream: fmt::Debug + Send + Sync + Unpin + 'static {
    /// Returns the next chunk, or `None` after a complete body.
    ///
    /// # Errors
    ///
    /// Returns an [`Interruption`] when the body ended before it was complete.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, Interruption>> + Send;

    /// Returns whether the body states its end, by a length or a last chunk, rather than ending
    /// with its connection.
    fn states_end(&self) -> bool;
}

/// Client that sends requests to endpoints.
pub trait EndpointClient: fmt::Debug + Send + Sync + 'static {
    /// Body of a streamed response.
    type Body: ChunkStream;

    /// Sends a request to one endpoint and waits for the response, or for a stream's head.
    ///
    /// Dropping the future closes the connection, which cancels the request at the endpoint.
    ///
    /// # Errors
    ///
    /// Returns a [`SendFailure`] that tells whether the request may have run.
    fn send(
        &self,
        dispatch: Dispatch<'_>,
    ) -> impl Future<Output = Result<EndpointResponse<Self::Body>, SendFailure>> + Send;

    /// Returns whether a new connection to an endpoint can be established.
    fn can_connect(&self, address: SocketAddr) -> impl Future<Output = bool> + Send;
}
