//! The `scale` subcommand.

use std::time::Duration;

use argh::FromArgs;
use hawthornrack_lab::SCALE_HEAD;
use hawthornrack_lab::ScaleSettings;
use hawthornrack_lab::measure_scale;

use super::CommandResult;

/// Measures the cost of the control plane per node, with many nodes (one controller each) in one
/// process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "scale")]
pub(crate) struct ScaleCommand {
    /// number of nodes in a run; can be repeated for several runs; without it, nothing is measured
    #[argh(option)]
    nodes: Vec<usize>,
    /// number of declared endpoints
    #[argh(option, default = "100")]
    endpoints: usize,
    /// number of declared services
    #[argh(option, default = "10")]
    services: usize,
    /// number of configuration changes during a run
    #[argh(option, default = "10")]
    changes: u32,
    /// duration of a run, in seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// count the bytes exchanged between nodes and with the log; counting increases the CPU time in
    /// the report
    #[argh(switch)]
    bytes: bool,
}

impl ScaleCommand {
    pub(crate) async fn run(self) -> CommandResult {
        let dir = tempfile::tempdir()?;
        let secret = dir.path().join("shared-key");
        std::fs::write(&secret, "key of the measurement")?;
        println!("{SCALE_HEAD}");
        for nodes in &self.nodes {
            let settings = ScaleSettings {
                nodes: *nodes,
                endpoints: self.endpoints,
                services: self.services,
                changes: self.changes,
                duration: Duration::from_secs(self.seconds),
                count_bytes: self.bytes,
            };
            println!("{}", measure_scale(settings, &secret).await?);
        }
        Ok(())
    }
}
