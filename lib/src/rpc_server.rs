//! The RPC port of a process.

use std::time::Duration;

use jsonrpsee::Methods;
use jsonrpsee::server::PingConfig;
use jsonrpsee::server::ServerBuilder;
use jsonrpsee::server::ServerConfig;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tower::ServiceBuilder;

use crate::Result;
use crate::SharedKey;
use crate::controller::internal;
use crate::shared_key::KeyLayer;

/// Largest message of a call or its answer, in bytes.
pub const MAX_RPC_BYTES: u32 = 64 * 1024 * 1024;

/// Connections open at once on an RPC port.
const MAX_CONNECTIONS: u32 = 4096;

/// Time between two pings on a WebSocket connection.
const PING_INTERVAL: Duration = Duration::from_secs(5);

/// Silence after which a WebSocket connection is closed.
const PING_LIMIT: Duration = Duration::from_secs(10);

/// Serves RPC methods to the holders of the shared key until `stopped` is cancelled.
///
/// # Errors
///
/// Fails when the listener cannot be used.
pub(crate) fn serve_rpc(
    listener: TcpListener,
    methods: Methods,
    key: SharedKey,
    stopped: CancellationToken,
) -> Result<()> {
    let pings = PingConfig::new()
        .ping_interval(PING_INTERVAL)
        .inactive_limit(PING_LIMIT);
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_RPC_BYTES)
        .max_response_body_size(MAX_RPC_BYTES)
        .enable_ws_ping(pings)
        .set_tcp_no_delay(true)
        .build();
    let std = listener.into_std().map_err(internal)?;
    let server = ServerBuilder::with_config(config)
        .set_http_middleware(ServiceBuilder::new().layer(KeyLayer(key)))
        .build_from_tcp(std)
        .map_err(internal)?;
    let handle = server.start(methods);
    tokio::spawn(async move {
        stopped.cancelled().await;
        let _ = handle.stop();
        handle.stopped().await;
    });
    Ok(())
}
