//! The `cloud` subcommand.

use std::net::SocketAddr;

use argh::FromArgs;
use hawthornrack_lab::CloudSettings;
use hawthornrack_lab::parse_settings;
use hawthornrack_lab::run_cloud;

use super::CommandResult;
use super::any_port;
use super::bind;
use super::stop_on_signal;

/// Serves a stand-in for the cloud API and the list of machines.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cloud")]
pub(crate) struct CloudCommand {
    /// address to serve on, by default a free port of the loopback interface
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// setting as key=value in TOML syntax; may be repeated
    #[argh(option)]
    set: Vec<String>,
}

impl CloudCommand {
    pub(crate) async fn run(self) -> CommandResult {
        let settings: CloudSettings = parse_settings(&self.set)?;
        let stop = stop_on_signal()?;
        let listener = bind(self.listen).await?;
        run_cloud(settings, listener, stop).await;
        Ok(())
    }
}
