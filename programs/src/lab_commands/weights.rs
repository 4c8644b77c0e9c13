//! The `weights` subcommand.

use std::net::SocketAddr;

use argh::FromArgs;
use hawthornrack_lab::WeightSettings;
use hawthornrack_lab::parse_settings;
use hawthornrack_lab::run_weight_store;

use super::CommandResult;
use super::any_port;
use super::bind_and_print_ready;
use super::shutdown_token;

/// Runs a stand-in for the model weight store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "weights")]
pub(crate) struct WeightsCommand {
    /// address to listen on; by default a free port on the loopback interface
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// setting as key=value in TOML syntax; can be repeated
    #[argh(option)]
    set: Vec<String>,
}

impl WeightsCommand {
    pub(crate) async fn run(self) -> CommandResult {
        let settings: WeightSettings = parse_settings(&self.set)?;
        let shutdown = shutdown_token()?;
        let listener = bind_and_print_ready(self.listen).await?;
        run_weight_store(settings, listener, shutdown).await;
        Ok(())
    }
}
