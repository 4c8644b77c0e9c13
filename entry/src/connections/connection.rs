//! Pooled HTTP/1 client connections to endpoints and to the platform, one request at a time per
//! connection.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONNECTION;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use indexmap::IndexSet;
use parking_lot::Mutex;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::BufferBudget;
use crate::Interruption;
use crate::SendFailure;
use crate::connections::read_meter::MeteredStream;
use crate::connections::read_meter::ReadMeter;

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a connection with unacknowledged data is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Idle timeout of connections to servers that do not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Margin before the server's own idle timeout at which a connection is no longer used.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// Maximum idle time of a connection that is reused for a non-retryable request: the server may
/// be closing it, and a request sent at the same time counts as possibly run.
pub(crate) const MAX_NON_RETRYABLE_IDLE_TIME: Duration = Duration::from_secs(1);

/// Maximum number of idle connections kept per server.
pub const MAX_IDLE_PER_SERVER: usize = 16;

/// Fraction of an endpoint's connections that may be idle; the rest is for requests in progress.
const MAX_IDLE_FRACTION: f64 = 0.75;

/// Size of a connection's read buffer, and maximum size of the head of a response, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Number of rejected requests after which a connection is closed.
const MAX_REJECTIONS: usize = 16;

/// Error of a request that got no response.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum ExchangeError {
    /// request was not written: {0}
    NotWritten(String),
    /// connection failed after the request may have been written: {0}
    MaybeWritten(Interruption),
}

impl From<ExchangeError> for SendFailure {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotWritten(reason) => Self::NotWritten(reason),
            ExchangeError::MaybeWritten(reason) => Self::MayHaveRun(reason),
        }
    }
}

/// An open connection to a server.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    meter: ReadMeter,
    /// Whether a request has been sent on this connection.
    pub is_used: bool,
    /// Ids of the requests that the server has rejected on this connection.
    rejected: IndexSet<String>,
    idle_since: Instant,
    idle_timeout: Duration,
}

impl Connection {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::NotWritten`] when the connection is not established within 300 ms.
    pub async fn open(server: SocketAddr) -> Result<Self, ExchangeError> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(server))
            .await
            .map_err(|_elapsed| not_written(&"connection not established in time"))?
            .map_err(|error| not_written(&error))?;
        Self::start(server, stream).await
    }

    /// Connects to a server that no other can replace: an attempt goes on while others are made every
    /// 300 ms.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::NotWritten`] when the server refuses the connection; otherwise waits until
    /// it is established.
    pub async fn open_patiently(server: SocketAddr) -> Result<Self, ExchangeError> {
        let mut attempts = FuturesUnordered::new();
        let stream = loop {
            attempts.push(TcpStream::connect(server));
            let connected = tokio::time::timeout(CONNECT_TIMEOUT, attempts.next()).await;
            if let Ok(Some(connected)) = connected {
                break connected.map_err(|error| not_written(&error))?;
            }
        };
        Self::start(server, stream).await
    }

    async fn start(server: SocketAddr, stream: TcpStream) -> Result<Self, ExchangeError> {
        if let Err(error) = set_socket_options(&stream) {
            tracing::debug!(event = "socket_option_refused", %server, %error);
        }
        let meter = ReadMeter::default();
        let stream = MeteredStream::new(stream, meter.clone());
        let (sender, driver) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_written(&error))?;
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                tracing::debug!(event = "connection_ended", %server, %error);
            }
        });
        Ok(Self {
            sender,
            meter,
            is_used: false,
            rejected: IndexSet::new(),
            idle_since: Instant::now(),
            idle_timeout: Duration::ZERO,
        })
    }

    /// Sends a request and waits for the head of the response, of at most 16 KiB.
    ///
    /// # Errors
    ///
    /// Returns an [`ExchangeError`] that tells whether the request may have been written, also for a
    /// server that sends 24 KiB, or some interim heads, without such a head.
    pub async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.is_used = true;
        self.meter.begin_exchange();
        let meter = self.meter.clone();
        hyper::ext::on_informational(&mut request, move |_head| meter.record_interim_head());
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.meter.reset();
                Ok(response)
            }
            Err(mut error) => {
                let unwritten = error.take_message().is_some();
                let error = error.into_error();
                Err(if unwritten {
                    ExchangeError::NotWritten(error.to_string())
                } else {
                    ExchangeError::MaybeWritten(interruption_of(&error))
                })
            }
        }
    }

    pub(crate) fn meter(&self) -> ReadMeter {
        self.meter.clone()
    }

    /// Records that the server has rejected the request with this id.
    pub fn record_rejection(&mut self, id: &str) {
        self.rejected.insert(id.to_owned());
    }

    fn is_usable(&self, max_idle: Duration) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < self.idle_timeout.min(max_idle)
    }
}

fn not_written(error: &dyn std::fmt::Display) -> ExchangeError {
    ExchangeError::NotWritten(error.to_string())
}

/// Returns how an exchange ended, from the error of its connection.
///
/// A connection whose peer no longer acknowledges data may be cut on the way, so that it counts as
/// a timeout.
pub fn interruption_of(error: &hyper::Error) -> Interruption {
    let reason = error.to_string();
    let io = std::error::Error::source(error).and_then(|e| e.downcast_ref::<std::io::Error>());
    match io.map(std::io::Error::kind) {
        Some(ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable) => {
            Interruption::TimedOut(reason)
        }
        Some(ErrorKind::InvalidData) => Interruption::InvalidResponse(reason),
        _ if error.is_parse() => Interruption::InvalidResponse(reason),
        _ => Interruption::ConnectionBroken(reason),
    }
}

/// Returns how many idle connections each of `entries` entries may keep to an endpoint that accepts
/// `max_connections` from all of them together; at least one.
pub(crate) fn idle_connection_share(max_connections: u32, entries: usize) -> usize {
    let share = f64::from(max_connections) * MAX_IDLE_FRACTION / entries.max(1) as f64;
    (share as usize).clamp(1, MAX_IDLE_PER_SERVER)
}

/// Returns how long a connection may be idle, given the idle timeout that its server stated.
pub fn client_idle_timeout(stated: Option<Duration>) -> Duration {
    stated.map_or(DEFAULT_IDLE_TIMEOUT, |stated| {
        stated.saturating_sub(IDLE_TIMEOUT_MARGIN)
    })
}

/// Returns the idle timeout of a connection after a response with these headers; `None` if the server
/// closes it.
pub fn idle_timeout_of(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| {
        headers
            .get(name)
            .and_then(|v: &HeaderValue| v.to_str().ok())
    };
    let connection = text(CONNECTION).unwrap_or_default();
    if connection.to_ascii_lowercase().contains("close") {
        return None;
    }
    let stated = text(HeaderName::from_static("keep-alive")).and_then(|text| {
        let mut parts = text
            .split(',')
            .filter_map(|part| part.trim().strip_prefix("timeout="));
        parts.find_map(|seconds| seconds.parse().ok())
    });
    Some(client_idle_timeout(stated.map(Duration::from_secs)))
}

/// Sets the TCP options that detect an unresponsive peer, and disables Nagle's algorithm.
fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

/// Pool of idle connections by server.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<IndexMap<SocketAddr, Vec<Connection>>>,
    /// Memory for what the servers send.
    pub(crate) buffers: Arc<BufferBudget>,
}

impl ConnectionPool {
    /// Creates a pool without connections whose responses are buffered within a budget.
    pub fn new(buffers: Arc<BufferBudget>) -> Self {
        Self {
            idle: Mutex::default(),
            buffers,
        }
    }

    /// Removes and returns a usable connection that has been idle for less than `max_idle`.
    ///
    /// A connection on which the server has rejected the request with this id before is left out: a
    /// late copy of the rejection would be taken for the response to it.
    pub fn take(&self, server: SocketAddr, max_idle: Duration, id: &str) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&server)?;
        let is_suitable = |c: &Connection| c.is_usable(max_idle) && !c.rejected.contains(id);
        let index = connections.iter().rposition(is_suitable)?;
        Some(connections.remove(index))
    }

    /// Returns a connection to the pool for at most `idle_timeout`; its last response must have
    /// been read completely. The connection is closed if `max_idle` or [`MAX_IDLE_PER_SERVER`] others
    /// to the server are idle, or after 16 rejections.
    pub fn put_back(
        &self,
        server: SocketAddr,
        mut connection: Connection,
        idle_timeout: Duration,
        max_idle: usize,
    ) {
        if connection.rejected.len() >= MAX_REJECTIONS {
            return;
        }
        connection.idle_since = Instant::now();
        connection.idle_timeout = idle_timeout;
        let mut idle = self.idle.lock();
        let connections = idle.entry(server).or_default();
        connections.retain(|c| c.idle_since.elapsed() < c.idle_timeout && !c.sender.is_closed());
        if connections.len() < max_idle.min(MAX_IDLE_PER_SERVER) {
            connections.push(connection);
        }
    }

    /// Returns whether a connection to a server is idle.
    pub(crate) fn has_idle(&self, server: SocketAddr) -> bool {
        let idle = self.idle.lock();
        idle.get(&server).is_some_and(|c| !c.is_empty())
    }

    /// Closes all idle connections to a server.
    pub fn clear(&self, server: SocketAddr) {
        self.idle.lock().swap_remove(&server);
    }

    /// Closes connections that have exceeded their idle timeout.
    pub fn evict_idle(&self) {
        let mut idle = self.idle.lock();
        for connections in idle.values_mut() {
            connections
                .retain(|c| c.idle_since.elapsed() < c.idle_timeout && !c.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
