//! HTTP/1 connections to endpoints and to the platform, one request at a time on each, and
//! for how long they may be idle.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use parking_lot::Mutex;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::SendFailure;

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which unacknowledged bytes end a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between probes of a silent connection, and before the first.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a connection may be idle where the server states none.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Time before a server's own time-out at which its connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Idle time of a connection that a request which may run only once still uses: the server
/// may be closing it, and a request that crosses the close may have run.
pub(crate) const ONCE_IDLE_LIMIT: Duration = Duration::from_secs(1);

/// Idle connections kept for one server.
const MAX_IDLE: usize = 16;

/// Why an exchange brought no answer.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum ExchangeError {
    /// the request was not written: {0}
    NotWritten(String),
    /// the connection failed after the request may have been written: {0}
    MaybeWritten(String),
}

impl From<ExchangeError> for SendFailure {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotWritten(reason) => Self::NotWritten(reason),
            ExchangeError::MaybeWritten(reason) => Self::MayHaveRun(reason),
        }
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub is_used: bool,
    idle_since: Instant,
    idle_limit: Duration,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::NotWritten`] when it is not established in time.
    pub async fn open(server: SocketAddr) -> Result<Self, ExchangeError> {
        let not_written =
            |error: &dyn std::fmt::Display| ExchangeError::NotWritten(error.to_string());
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(server))
            .await
            .map_err(|_elapsed| not_written(&"no connection in time"))?
            .map_err(|error| not_written(&error))?;
        if let Err(error) = configure(&stream) {
            tracing::debug!(event = "socket_option_refused", %server, %error);
        }
        let (sender, driver) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_written(&error))?;
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                tracing::debug!(event = "connection_ended", %server, %error);
            }
        });
        Ok(Self {
            sender,
            is_used: false,
            idle_since: Instant::now(),
            idle_limit: Duration::ZERO,
        })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns an [`ExchangeError`] that tells whether the request may have been written.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.is_used = true;
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unwritten = error.take_message().is_some();
                let reason = error.into_error().to_string();
                Err(if unwritten {
                    ExchangeError::NotWritten(reason)
                } else {
                    ExchangeError::MaybeWritten(reason)
                })
            }
        }
    }

    fn is_usable(&self, longest: Duration) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < self.idle_limit.min(longest)
    }
}

/// Returns the time for which a connection may be idle, given its server's own time-out.
pub fn idle_limit(stated: Option<Duration>) -> Duration {
    stated.map_or(IDLE_LIMIT, |stated| stated.saturating_sub(IDLE_MARGIN))
}

/// Sets what shows a connection that has gone silent.
fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

/// Idle connections by server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<IndexMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Takes an idle connection that has been idle for less than `longest`.
    pub fn take(&self, server: SocketAddr, longest: Duration) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&server)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable(longest) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer has been read to its end.
    pub fn keep(&self, server: SocketAddr, mut connection: Connection, limit: Duration) {
        connection.idle_since = Instant::now();
        connection.idle_limit = limit;
        let mut idle = self.idle.lock();
        let connections = idle.entry(server).or_default();
        connections.retain(|c| c.idle_since.elapsed() < c.idle_limit && !c.sender.is_closed());
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    /// Drops all idle connections to a server.
    pub fn clear(&self, server: SocketAddr) {
        self.idle.lock().swap_remove(&server);
    }

    /// Drops connections that have been idle for too long.
    pub fn sweep(&self) {
        let mut idle = self.idle.lock();
        for connections in idle.values_mut() {
            connections.retain(|c| c.idle_since.elapsed() < c.idle_limit && !c.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
