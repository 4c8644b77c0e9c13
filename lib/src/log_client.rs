//! Client of the platform's log service.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use hyper::Method;

use crate::AppendReply;
use crate::AppendRequest;
use crate::Envelope;
use crate::Error;
use crate::ErrorKind;
use crate::HttpClient;
use crate::Offset;
use crate::ReadReply;
use crate::Result;
use crate::SendError;
use crate::Stream;
use crate::millis;

/// Timeout for the response to an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Time allowed for a response beyond the wait that the read requests from the log.
const READ_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// HTTP status of a read from an offset that has expired.
const STATUS_GONE: u16 = 410;

/// Boxed future of a call to the log service.
pub type LogFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// Result of a read.
#[derive(Clone, Debug)]
pub enum ReadOutcome {
    /// The requested offset has expired.
    Expired {
        /// Oldest offset that the log retains.
        first: Offset,
    },
    /// Records from the requested offset on, possibly none.
    Records(ReadReply),
}

/// The platform's append-only log.
pub trait PlatformLog: Debug + Send + Sync {
    /// Atomically appends records to a stream and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::LogUnavailable`]; the records may have been appended nevertheless.
    fn append(&self, stream: Stream, records: Vec<Envelope>) -> LogFuture<'_, Offset>;

    /// Reads at most `limit` records from an offset on and waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::LogUnavailable`].
    fn read(
        &self,
        stream: Stream,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> LogFuture<'_, ReadOutcome>;
}

/// Log service reached over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    address: SocketAddr,
    http: HttpClient,
}

impl HttpLog {
    /// Creates a client for the log service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            http: HttpClient::new(),
        }
    }
}

impl PlatformLog for HttpLog {
    fn append(&self, stream: Stream, records: Vec<Envelope>) -> LogFuture<'_, Offset> {
        Box::pin(async move {
            let path = format!("/streams/{}/records", stream.name());
            let body = AppendRequest { records };
            let reply: AppendReply = self
                .http
                .call(
                    self.address,
                    Method::POST,
                    &path,
                    Some(&body),
                    APPEND_TIMEOUT,
                )
                .await
                .map_err(|error| unavailable(&error))?;
            Ok(reply.first)
        })
    }

    fn read(
        &self,
        stream: Stream,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> LogFuture<'_, ReadOutcome> {
        Box::pin(async move {
            let path = format!(
                "/streams/{}/records?from={from}&limit={limit}&wait_ms={}",
                stream.name(),
                millis(wait),
            );
            let response: Result<ReadReply, SendError> = self
                .http
                .call(
                    self.address,
                    Method::GET,
                    &path,
                    None::<&()>,
                    wait + READ_GRACE_PERIOD,
                )
                .await;
            match response {
                Ok(reply) => Ok(ReadOutcome::Records(reply)),
                Err(SendError::Status(STATUS_GONE, bytes)) => {
                    let reply: ReadReply = serde_json::from_slice(&bytes)
                        .map_err(|e| Error::new(ErrorKind::LogUnavailable, e.to_string()))?;
                    Ok(ReadOutcome::Expired { first: reply.first })
                }
                Err(error) => Err(unavailable(&error)),
            }
        })
    }
}

fn unavailable(error: &SendError) -> Error {
    Error::new(ErrorKind::LogUnavailable, error.to_string())
}
