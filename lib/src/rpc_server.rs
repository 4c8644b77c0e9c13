//! JSON-RPC server of a process.

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
use crate::controller::internal_error;
use crate::shared_key::SharedKeyLayer;

/// Maximum size of an RPC request or response, in bytes.
pub const MAX_RPC_BYTES: u32 = 64 * 1024 * 1024;

/// Maximum number of open connections.
const MAX_CONNECTIONS: u32 = 4096;

/// Interval between pings on a WebSocket connection.
const PING_INTERVAL: Duration = Duration::from_secs(5);

/// Inactivity after which a WebSocket connection is closed.
const PONG_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts serving RPC methods to clients with the shared key until `stopped` is cancelled.
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
        .inactive_limit(PONG_TIMEOUT);
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_RPC_BYTES)
        .max_response_body_size(MAX_RPC_BYTES)
        .enable_ws_ping(pings)
        .set_tcp_no_delay(true)
        .build();
    let std_listener = listener.into_std().map_err(internal_error)?;
    let server = ServerBuilder::with_config(config)
        .set_http_middleware(ServiceBuilder::new().layer(SharedKeyLayer(key)))
        .build_from_tcp(std_listener)
        .map_err(internal_error)?;
    let handle = server.start(methods);
    tokio::spawn(async move {
        stopped.cancelled().await;
        let _ = handle.stop();
        handle.stopped().await;
    });
    Ok(())
}
