//! Clients of the RPC ports of the system's processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::time::error::Elapsed;

use crate::MAX_RPC_BYTES;
use crate::SharedKey;

/// Servers for which a client is kept.
const CLIENTS_KEPT: usize = 1024;

/// Why a call of another process failed.
#[derive(Debug, displaydoc::Display, Error)]
pub enum RpcError {
    /// the call failed: {0}
    Client(#[from] ClientError),
    /// no answer within the time limit
    Timeout(#[from] Elapsed),
}

impl RpcError {
    /// Tells whether the other process answered the call with an error.
    pub const fn is_answer(&self) -> bool {
        matches!(self, Self::Client(ClientError::Call(_)))
    }
}

/// Clients by server; clones share them.
#[derive(Clone, Debug)]
pub struct RpcClients {
    key: SharedKey,
    clients: Arc<Mutex<IndexMap<SocketAddr, HttpClient>>>,
}

impl RpcClients {
    /// Creates an empty set of clients that send `key`.
    pub fn new(key: SharedKey) -> Self {
        Self {
            key,
            clients: Arc::default(),
        }
    }

    /// Returns the client for a server; its connections are kept open between calls.
    ///
    /// # Errors
    ///
    /// Fails when the client cannot be built.
    pub fn client(&self, server: SocketAddr) -> Result<HttpClient, ClientError> {
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(&server) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .max_request_size(MAX_RPC_BYTES)
            .max_response_size(MAX_RPC_BYTES)
            .set_headers(self.key.headers())
            .build(format!("http://{server}"))?;
        if clients.len() >= CLIENTS_KEPT {
            clients.shift_remove_index(0);
        }
        clients.insert(server, client.clone());
        Ok(client)
    }

    /// Forgets the connections to a server, so that the next call opens a new one.
    pub fn forget(&self, server: SocketAddr) {
        self.clients.lock().swap_remove(&server);
    }

    /// Calls a server once, within `limit`.
    ///
    /// After a failure other than an answer the connections to the server are forgotten.
    ///
    /// # Errors
    ///
    /// Fails when the server answers with an error or not at all; unless the error is an
    /// answer, the call may have taken effect.
    pub async fn call<T, C, F>(
        &self,
        server: SocketAddr,
        limit: Duration,
        call: C,
    ) -> Result<T, RpcError>
    where
        C: FnOnce(HttpClient) -> F,
        F: Future<Output = Result<T, ClientError>>,
    {
        let client = self.client(server)?;
        let called = tokio::time::timeout(limit, call(client)).await;
        let result = match called {
            Ok(answer) => answer.map_err(RpcError::from),
            Err(elapsed) => Err(RpcError::from(elapsed)),
        };
        if result.as_ref().is_err_and(|e| !e.is_answer()) {
            self.forget(server);
        }
        result
    }

    /// Calls a server with an idempotent call, and once more on a new connection when no
    /// answer came; each of the two calls is given `limit`.
    ///
    /// # Errors
    ///
    /// Fails when the server answers with an error or not at all.
    pub async fn call_twice<T, C, F>(
        &self,
        server: SocketAddr,
        limit: Duration,
        call: C,
    ) -> Result<T, RpcError>
    where
        C: Fn(HttpClient) -> F,
        F: Future<Output = Result<T, ClientError>>,
    {
        match self.call(server, limit, &call).await {
            Err(error) if !error.is_answer() => self.call(server, limit, &call).await,
            result => result,
        }
    }

    /// Opens a WebSocket connection for subscriptions.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot be reached or does not accept the key.
    pub async fn websocket(
        &self,
        server: SocketAddr,
        limit: Duration,
    ) -> Result<WsClient, ClientError> {
        WsClientBuilder::default()
            .connection_timeout(limit)
            .request_timeout(limit)
            .max_request_size(MAX_RPC_BYTES)
            .max_response_size(MAX_RPC_BYTES)
            .set_headers(self.key.headers())
            .build(format!("ws://{server}"))
            .await
    }
}
