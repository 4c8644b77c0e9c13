//! Serves a process's RPC methods.

use jsonrpsee::Methods;
use jsonrpsee::server::ServerBuilder;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::Result;
use crate::controller::internal;

/// Serves `methods` on `listener` until `stopped` is cancelled.
///
/// # Errors
///
/// Fails when the listener cannot be used.
pub(crate) fn serve_rpc(
    listener: TcpListener,
    methods: Methods,
    stopped: CancellationToken,
) -> Result<()> {
    let std = listener.into_std().map_err(internal)?;
    let server = ServerBuilder::default()
        .build_from_tcp(std)
        .map_err(internal)?;
    let handle = server.start(methods);
    tokio::spawn(async move {
        stopped.cancelled().await;
        let _ = handle.stop();
    });
    Ok(())
}
