//! The `proxy` subcommand.

use std::net::SocketAddr;

use argh::FromArgs;
use hawthornrack_lab::run_proxy;

use super::CommandResult;
use super::any_port;
use super::bind;
use super::stop_on_signal;

/// Serves the fault-injecting TCP proxy.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "proxy")]
pub(crate) struct ProxyCommand {
    /// address to serve on, by default a free port of the loopback interface
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
}

impl ProxyCommand {
    pub(crate) async fn run(self) -> CommandResult {
        let stop = stop_on_signal()?;
        let listener = bind(self.listen).await?;
        run_proxy(listener, stop).await;
        Ok(())
    }
}
