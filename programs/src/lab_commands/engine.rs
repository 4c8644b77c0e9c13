//! The `engine` subcommand.

use std::net::SocketAddr;

use argh::FromArgs;
use hawthornrack_lab::EngineSettings;
use hawthornrack_lab::parse_settings;
use hawthornrack_lab::run_engine;

use super::CommandResult;
use super::any_port;
use super::bind_and_print_ready;
use super::shutdown_token;

/// Runs a stand-in for a model engine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub(crate) struct EngineCommand {
    /// address to listen on; by default a free port on the loopback interface
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// setting as key=value in TOML syntax; can be repeated
    #[argh(option)]
    set: Vec<String>,
}

impl EngineCommand {
    pub(crate) async fn run(self) -> CommandResult {
        let mut settings: EngineSettings = parse_settings(&self.set)?;
        // The stand-in has a process of its own, so a crash exits the process.
        settings.faults.crash_exit = true;
        let shutdown = shutdown_token()?;
        let listener = bind_and_print_ready(self.listen).await?;
        run_engine(settings, listener, shutdown).await;
        Ok(())
    }
}
