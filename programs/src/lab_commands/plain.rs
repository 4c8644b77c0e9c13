//! The `plain` subcommand.

use std::net::SocketAddr;

use argh::FromArgs;
use hawthornrack_lab::PlainSettings;
use hawthornrack_lab::parse_settings;
use hawthornrack_lab::run_plain;

use super::CommandResult;
use super::any_port;
use super::bind;
use super::stop_on_signal;

/// Serves a stand-in for a plain service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plain")]
pub(crate) struct PlainCommand {
    /// address to serve on, by default a free port of the loopback interface
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// setting as key=value in TOML syntax; may be repeated
    #[argh(option)]
    set: Vec<String>,
}

impl PlainCommand {
    pub(crate) async fn run(self) -> CommandResult {
        let mut settings: PlainSettings = parse_settings(&self.set)?;
        settings.faults.crash_exit = true;
        let stop = stop_on_signal()?;
        let listener = bind(self.listen).await?;
        run_plain(settings, listener, stop).await;
        Ok(())
    }
}
