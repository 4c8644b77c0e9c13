//! The `proxy` subcommand.

use std::net::SocketAddr;

use argh::FromArgs;
use hawthornrack_lab::run_proxy;

use super::CommandResult;
use super::any_port;
use super::bind_and_print_ready;
use super::shutdown_token;

/// Runs the fault-injecting TCP proxy.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "proxy")]
pub(crate) struct ProxyCommand {
    /// address to listen on; by default a free port on the loopback interface
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
}

impl ProxyCommand {
    pub(crate) async fn run(self) -> CommandResult {
        let shutdown = shutdown_token()?;
        let listener = bind_and_print_ready(self.listen).await?;
        run_proxy(listener, shutdown).await;
        Ok(())
    }
}
