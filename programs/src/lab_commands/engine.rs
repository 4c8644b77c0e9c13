//! The `engine` subcommand.

use std::net::SocketAddr;

use argh::FromArgs;
use hawthornrack_lab::EngineSettings;
use hawthornrack_lab::parse_settings;
use hawthornrack_lab::run_engine;

use super::CommandResult;
use super::any_port;
use super::bind;
use super::stop_on_signal;

/// Serves a stand-in for a model engine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub(crate) struct EngineCommand {
    /// address to serve on, by default a free port of the loopback interface
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// setting as key=value in TOML syntax; may be repeated
    #[argh(option)]
    set: Vec<String>,
}

impl EngineCommand {
    pub(crate) async fn run(self) -> CommandResult {
        let mut settings: EngineSettings = parse_settings(&self.set)?;
        settings.faults.crash_exit = true;
        let stop = stop_on_signal()?;
        let listener = bind(self.listen).await?;
        run_engine(settings, listener, stop).await;
        Ok(())
    }
}
