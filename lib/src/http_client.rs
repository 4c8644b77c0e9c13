//! HTTP/1 client on `hyper` with a connection pool.
//!
//! A connection carries one request at a time. Errors distinguish requests that cannot have
//! reached the server from those that may have.

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

/// Maximum number of idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 64;

/// Idle time after which a connection is not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a response body that [`HttpClient::call`] reads, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Body of a request.
pub type RequestBody = Full<Bytes>;

/// Error of a request for which no usable response was received.
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
    BadResponse(String),
}

impl SendError {
    /// Returns `true` if the request cannot have reached the server.
    pub const fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Connect(_) | Self::ConnectTimeout | Self::NotSent(_)
        )
    }
}

/// Whether a request may be sent on an idle connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// Uses an idle connection if there is one.
    Idle,
    /// Always opens a new connection.
    Never,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<RequestBody>,
    since: Instant,
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.since.elapsed() < IDLE_TIMEOUT
    }
}

/// HTTP/1 client with a connection pool; clones share the pool.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    idle: Arc<Mutex<IndexMap<SocketAddr, VecDeque<IdleConnection>>>>,
}

/// A connection in use.
///
/// Pass it to [`HttpClient::return_to_pool`] after the whole response has been read; dropping it
/// closes the connection.
#[derive(Debug)]
pub struct PooledConnection {
    server: SocketAddr,
    sender: SendRequest<RequestBody>,
}

impl HttpClient {
    /// Creates a client with an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and returns the response, whose body is still to be read, with its
    /// connection.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that says whether the request may have been written.
    pub async fn send(
        &self,
        server: SocketAddr,
        request: Request<RequestBody>,
        reuse: Reuse,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        let mut request = request;
        if reuse == Reuse::Idle {
            while let Some(mut sender) = self.take_idle(server) {
                match sender.try_send_request(request).await {
                    Ok(response) => return Ok((response, PooledConnection { server, sender })),
                    Err(mut error) => match error.take_message() {
                        Some(unsent) => request = unsent,
                        None => return Err(SendError::MaybeSent(error.into_error())),
                    },
                }
            }
        }
        let mut sender = connect(server).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok((response, PooledConnection { server, sender })),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent(error.into_error())),
                None => Err(SendError::MaybeSent(error.into_error())),
            },
        }
    }

    /// Returns a connection to the pool; its last response must have been read to the end.
    pub fn return_to_pool(&self, connection: PooledConnection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock();
        let queue = idle.entry(connection.server).or_default();
        if queue.len() < MAX_IDLE_PER_SERVER {
            queue.push_back(IdleConnection {
                sender: connection.sender,
                since: Instant::now(),
            });
        }
    }

    /// Sends a JSON request and decodes the JSON response; `timeout` bounds the whole exchange.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`]; a status outside 2xx is [`SendError::Status`], and a request that
    /// cannot be built is [`SendError::BadResponse`].
    pub async fn call<Q, A>(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<A, SendError>
    where
        Q: Serialize + Sync + ?Sized,
        A: DeserializeOwned,
    {
        let bytes = self.call_bytes(server, method, path, body, timeout).await?;
        serde_json::from_slice(&bytes).map_err(|error| SendError::BadResponse(error.to_string()))
    }

    /// Sends a JSON request and returns the response body; `timeout` bounds the whole exchange.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`]; a status outside 2xx is [`SendError::Status`], and a request that
    /// cannot be built is [`SendError::BadResponse`].
    pub async fn call_bytes<Q>(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<Bytes, SendError>
    where
        Q: Serialize + Sync + ?Sized,
    {
        let request = json_request(server, method, path, body)?;
        tokio::time::timeout(timeout, self.exchange(server, request))
            .await
            .unwrap_or(Err(SendError::Timeout))
    }

    async fn exchange(
        &self,
        server: SocketAddr,
        request: Request<RequestBody>,
    ) -> Result<Bytes, SendError> {
        let (response, connection) = self.send(server, request, Reuse::Idle).await?;
        let status = response.status();
        let limited = http_body_util::Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let bytes = limited
            .collect()
            .await
            .map_err(|error| SendError::BadResponse(error.to_string()))?
            .to_bytes();
        self.return_to_pool(connection);
        if status.is_success() {
            Ok(bytes)
        } else {
            Err(SendError::Status(status.as_u16(), bytes))
        }
    }

    /// Returns `true` if the pool holds a usable connection to the server.
    pub(crate) fn has_idle(&self, server: SocketAddr) -> bool {
        let idle = self.idle.lock();
        let mut connections = idle.get(&server).into_iter().flatten();
        connections.any(IdleConnection::is_usable)
    }

    fn take_idle(&self, server: SocketAddr) -> Option<SendRequest<RequestBody>> {
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

async fn connect(server: SocketAddr) -> Result<SendRequest<RequestBody>, SendError> {
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
            tracing::debug!(%error, %server, "HTTP client connection failed");
        }
    });
    Ok(sender)
}

/// Builds a request with a JSON body.
///
/// # Errors
///
/// Returns [`SendError::BadResponse`] when the path is not a valid URI or the body cannot
/// be serialized.
pub fn json_request<Q>(
    server: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&Q>,
) -> Result<Request<RequestBody>, SendError>
where
    Q: Serialize + ?Sized,
{
    let bytes = match body {
        Some(body) => {
            serde_json::to_vec(body).map_err(|e| SendError::BadResponse(e.to_string()))?
        }
        None => Vec::new(),
    };
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", server.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(bytes)))
        .map_err(|error| SendError::BadResponse(error.to_string()))
}
