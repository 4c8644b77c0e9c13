//! JSON-RPC clients for the other processes of the system.

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

/// Maximum number of servers for which a client is cached.
const MAX_CLIENTS: usize = 1024;

/// Error of an RPC call to another process.
#[derive(Debug, displaydoc::Display, Error)]
pub enum RpcError {
    /// the call failed: {0}
    Client(#[from] ClientError),
    /// no answer within the time limit
    Timeout(#[from] Elapsed),
}

impl RpcError {
    /// Returns `true` if the other process responded with an error.
    pub const fn is_error_response(&self) -> bool {
        matches!(self, Self::Client(ClientError::Call(_)))
    }
}

/// Cache of RPC clients by server address; clones share the cache.
#[derive(Clone, Debug)]
pub struct RpcClients {
    key: SharedKey,
    clients: Arc<Mutex<IndexMap<SocketAddr, HttpClient>>>,
}

impl RpcClients {
    /// Creates an empty cache; its clients authenticate with `key`.
    pub fn new(key: SharedKey) -> Self {
        Self {
            key,
            clients: Arc::default(),
        }
    }

    /// Returns the cached client for a server, which reuses its connections, or a new one.
    ///
    /// Evicts another client when the cache is full.
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
        if clients.len() >= MAX_CLIENTS {
            clients.shift_remove_index(0);
        }
        clients.insert(server, client.clone());
        Ok(client)
    }

    /// Drops the client for a server, so that the next call opens a new connection.
    pub fn forget(&self, server: SocketAddr) {
        self.clients.lock().swap_remove(&server);
    }

    /// Calls a server once, within `timeout`.
    ///
    /// Drops the cached client if the call fails without a response from the server.
    ///
    /// # Errors
    ///
    /// Fails when the server responds with an error or not at all. Without a response, the call may
    /// have taken effect.
    pub async fn call<T, C, F>(
        &self,
        server: SocketAddr,
        timeout: Duration,
        call: C,
    ) -> Result<T, RpcError>
    where
        C: FnOnce(HttpClient) -> F,
        F: Future<Output = Result<T, ClientError>>,
    {
        let client = self.client(server)?;
        let called = tokio::time::timeout(timeout, call(client)).await;
        let result = match called {
            Ok(response) => response.map_err(RpcError::from),
            Err(elapsed) => Err(RpcError::from(elapsed)),
        };
        if result.as_ref().is_err_and(|e| !e.is_error_response()) {
            self.forget(server);
        }
        result
    }

    /// Calls a server and retries once on a new connection if there was no response.
    ///
    /// The call must be idempotent. Each of the two attempts may take up to `timeout`.
    ///
    /// # Errors
    ///
    /// Fails when the server responds with an error or not at all.
    pub async fn call_with_retry<T, C, F>(
        &self,
        server: SocketAddr,
        timeout: Duration,
        call: C,
    ) -> Result<T, RpcError>
    where
        C: Fn(HttpClient) -> F,
        F: Future<Output = Result<T, ClientError>>,
    {
        match self.call(server, timeout, &call).await {
            Err(error) if !error.is_error_response() => self.call(server, timeout, &call).await,
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
        timeout: Duration,
    ) -> Result<WsClient, ClientError> {
        WsClientBuilder::default()
            .connection_timeout(timeout)
            .request_timeout(timeout)
            .max_request_size(MAX_RPC_BYTES)
            .max_response_size(MAX_RPC_BYTES)
            .set_headers(self.key.headers())
            .build(format!("ws://{server}"))
            .await
    }
}
