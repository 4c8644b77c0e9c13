//! Serves the RPC methods of a process's subsystems.

use jsonrpsee::Methods;
use jsonrpsee::server::ServerBuilder;
use jsonrpsee::server::ServerHandle;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::Result;
use crate::controller::internal;

/// Serves the methods of all subsystems on `listener` until `stopped` is cancelled.
///
/// # Errors
///
/// Fails when two subsystems name the same method or the listener cannot be used.
pub(crate) fn serve_rpc(
    parts: impl IntoIterator<Item = Methods>,
    listener: TcpListener,
    stopped: CancellationToken,
) -> Result<()> {
    let mut methods = Methods::new();
    for part in parts {
        methods.merge(part).map_err(internal)?;
    }
    let listener = listener.into_std().map_err(internal)?;
    let server = ServerBuilder::default()
        .build_from_tcp(listener)
        .map_err(internal)?;
    let handle: ServerHandle = server.start(methods);
    tokio::spawn(async move {
        stopped.cancelled().await;
        let _ = handle.stop();
    });
    Ok(())
}
