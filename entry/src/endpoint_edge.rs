//! The edge towards endpoints: what one send to one endpoint can end in.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;

use crate::Call;
use crate::CustomerName;
use crate::EndpointId;

/// Largest answer that is read whole, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// What is set on one send beside the caller's own request.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// Request to send.
    pub call: &'a Call,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Endpoint that is expected at the address.
    pub endpoint: &'a EndpointId,
    /// Customer whose request it is.
    pub customer: Option<&'a CustomerName>,
    /// Time that the endpoint may take.
    pub budget: Duration,
    /// Rank of the request, 0 first.
    pub priority: Option<u8>,
    /// Last event that is not wanted again.
    pub last_event: Option<u64>,
    /// Time for which a connection that is used again may have been idle.
    pub max_idle: Duration,
    /// Whether the answer is passed on while it is made.
    pub stream: bool,
}

/// Why a send brought no answer.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum SendFailure {
    /// the request was not written: {0}
    NotWritten(String),
    /// the endpoint rejected the request unrun with status {status}
    Rejected {
        /// Status of the rejection.
        status: u16,
        /// Whether another endpoint was found at the address.
        misdirected: bool,
    },
    /// the endpoint may have run the request: {0}
    MayHaveRun(String),
}

/// An endpoint's answer.
#[derive(Debug)]
pub struct Answer<B> {
    /// Status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: AnswerBody<B>,
    /// Whether the endpoint said that it takes no more requests on this connection.
    pub closing: bool,
}

/// Body of an answer.
#[derive(Debug)]
pub enum AnswerBody<B> {
    /// The whole body.
    Whole(Bytes),
    /// A stream of events that is being made.
    Stream(B),
}

/// A body whose bytes arrive one chunk after the other; dropping it cancels the run.
pub trait ChunkStream: fmt::Debug + Send + Sync + Unpin + 'static {
    /// Returns the next bytes, `None` at the clean end.
    ///
    /// # Errors
    ///
    /// Returns a description when the body broke off.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, String>> + Send;
}

/// The edge towards endpoints.
pub trait EndpointEdge: fmt::Debug + Send + Sync + 'static {
    /// Body of a streamed answer.
    type Body: ChunkStream;

    /// Sends a request to one endpoint and waits for its answer, or for a stream's head.
    ///
    /// Dropping the future closes the connection, by which the endpoint drops the request.
    ///
    /// # Errors
    ///
    /// Returns a [`SendFailure`] that tells whether the request may have run.
    fn send(
        &self,
        send: Dispatch<'_>,
    ) -> impl Future<Output = Result<Answer<Self::Body>, SendFailure>> + Send;
}
