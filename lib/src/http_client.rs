//! HTTP/1 client on `hyper`: one request in flight per connection, and errors that tell
//! whether the request may have reached the server.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Idle connections kept for one server.
const IDLE_KEPT: usize = 64;

/// Time for which an idle connection may be used again.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer that [`HttpClient::call`] reads, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Body of a request.
pub type CallBody = Full<Bytes>;

/// Why no answer came.
#[derive(Debug, displaydoc::Display, Error)]
pub enum SendError {
    /// the connection could not be established: {0}
    Connect(std::io::Error),
    /// the connection could not be established in time
    ConnectTimeout,
    /// the connection closed before the request was written: {0}
    NotSent(hyper::Error),
    /// the connection failed after the request may have been written: {0}
    MaybeSent(hyper::Error),
    /// no answer within the time limit
    Timeout,
    /// the answer has status {0}
    Status(u16, Bytes),
    /// the answer cannot be read: {0}
    BadAnswer(String),
}

impl SendError {
    /// Tells whether the server cannot have seen the request.
    pub const fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Connect(_) | Self::ConnectTimeout | Self::NotSent(_)
        )
    }
}

/// Whether a call may use an idle connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// An idle connection may be used.
    Idle,
    /// A new connection is opened.
    Never,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<CallBody>,
    since: Instant,
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.since.elapsed() < IDLE_LIMIT
    }
}

/// Pool of HTTP/1 connections; clones share the pool.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    idle: Arc<Mutex<IndexMap<SocketAddr, VecDeque<IdleConnection>>>>,
}

/// A connection that is in use; given back with [`HttpClient::give_back`] once the whole
/// answer has been read, else closed.
#[derive(Debug)]
pub struct Lent {
    server: SocketAddr,
    sender: SendRequest<CallBody>,
}

impl HttpClient {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and returns the head of the answer with the connection it runs on.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that tells whether the request may have been written.
    pub async fn send(
        &self,
        server: SocketAddr,
        request: Request<CallBody>,
        reuse: Reuse,
    ) -> Result<(Response<Incoming>, Lent), SendError> {
        let mut request = request;
        if reuse == Reuse::Idle {
            while let Some(mut sender) = self.take_idle(server) {
                match sender.try_send_request(request).await {
                    Ok(response) => return Ok((response, Lent { server, sender })),
                    Err(mut error) => match error.take_message() {
                        Some(unsent) => request = unsent,
                        None => return Err(SendError::MaybeSent(error.into_error())),
                    },
                }
            }
        }
        let mut sender = connect(server).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok((response, Lent { server, sender })),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent(error.into_error())),
                None => Err(SendError::MaybeSent(error.into_error())),
            },
        }
    }

    /// Gives a connection back to the pool after its answer has been read to the end.
    pub fn give_back(&self, lent: Lent) {
        if lent.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock();
        let queue = idle.entry(lent.server).or_default();
        if queue.len() < IDLE_KEPT {
            queue.push_back(IdleConnection {
                sender: lent.sender,
                since: Instant::now(),
            });
        }
    }

    /// Sends a JSON request and reads the whole JSON answer.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`]; an answer outside 2xx is [`SendError::Status`].
    pub async fn call<Q, A>(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Q>,
        limit: Duration,
    ) -> Result<A, SendError>
    where
        Q: Serialize + Sync + ?Sized,
        A: DeserializeOwned,
    {
        let bytes = self.call_bytes(server, method, path, body, limit).await?;
        serde_json::from_slice(&bytes).map_err(|error| SendError::BadAnswer(error.to_string()))
    }

    /// Sends a JSON request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`]; an answer outside 2xx is [`SendError::Status`].
    pub async fn call_bytes<Q>(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Q>,
        limit: Duration,
    ) -> Result<Bytes, SendError>
    where
        Q: Serialize + Sync + ?Sized,
    {
        let request = json_request(server, method, path, body)?;
        tokio::time::timeout(limit, self.exchange(server, request))
            .await
            .unwrap_or(Err(SendError::Timeout))
    }

    async fn exchange(
        &self,
        server: SocketAddr,
        request: Request<CallBody>,
    ) -> Result<Bytes, SendError> {
        let (response, lent) = self.send(server, request, Reuse::Idle).await?;
        let status = response.status();
        let limited = http_body_util::Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let bytes = limited
            .collect()
            .await
            .map_err(|error| SendError::BadAnswer(error.to_string()))?
            .to_bytes();
        self.give_back(lent);
        if status.is_success() {
            Ok(bytes)
        } else {
            Err(SendError::Status(status.as_u16(), bytes))
        }
    }

    /// Tells whether an idle connection to a server is kept.
    pub(crate) fn has_idle(&self, server: SocketAddr) -> bool {
        let idle = self.idle.lock();
        let mut kept = idle.get(&server).into_iter().flatten();
        kept.any(IdleConnection::is_usable)
    }

    fn take_idle(&self, server: SocketAddr) -> Option<SendRequest<CallBody>> {
        let mut idle = self.idle.lock();
        let queue = idle.get_mut(&server)?;
        while let Some(connection) = queue.pop_back() {
            if connection.is_usable() {
                return Some(connection.sender);
            }
        }
        None
    }
}

async fn connect(server: SocketAddr) -> Result<SendRequest<CallBody>, SendError> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(server))
        .await
        .map_err(|_elapsed| SendError::ConnectTimeout)?
        .map_err(SendError::Connect)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(SendError::NotSent)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, %server, "client connection ended");
        }
    });
    Ok(sender)
}

/// Builds a request with a JSON body.
///
/// # Errors
///
/// Returns [`SendError::BadAnswer`] when the path or the body cannot be represented.
pub fn json_request<Q>(
    server: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&Q>,
) -> Result<Request<CallBody>, SendError>
where
    Q: Serialize + ?Sized,
{
    let bytes = match body {
        Some(body) => serde_json::to_vec(body).map_err(|e| SendError::BadAnswer(e.to_string()))?,
        None => Vec::new(),
    };
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", server.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(bytes)))
        .map_err(|error| SendError::BadAnswer(error.to_string()))
}
