//! The `plain` subcommand.

use std::net::SocketAddr;

use argh::FromArgs;
use hawthornrack_lab::PlainSettings;
use hawthornrack_lab::parse_settings;
use hawthornrack_lab::run_plain;

use super::CommandResult;
use super::any_port;
use super::bind_and_print_ready;
use super::shutdown_token;

/// Runs a stand-in for a plain HTTP service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plain")]
pub(crate) struct PlainCommand {
    /// address to listen on; by default a free port on the loopback interface
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// setting as key=value in TOML syntax; can be repeated
    #[argh(option)]
    set: Vec<String>,
}

impl PlainCommand {
    pub(crate) async fn run(self) -> CommandResult {
        let mut settings: PlainSettings = parse_settings(&self.set)?;
        // The stand-in has a process of its own, so a crash exits the process.
        settings.faults.crash_exit = true;
        let shutdown = shutdown_token()?;
        let listener = bind_and_print_ready(self.listen).await?;
        run_plain(settings, listener, shutdown).await;
        Ok(())
    }
}
