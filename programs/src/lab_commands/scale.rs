//! The `scale` subcommand.

use std::time::Duration;

use argh::FromArgs;
use hawthornrack_lab::SCALE_HEAD;
use hawthornrack_lab::ScaleSettings;
use hawthornrack_lab::measure_scale;

use super::CommandResult;

/// Measures what control costs a node, with many controllers in one process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "scale")]
pub(crate) struct ScaleCommand {
    /// numbers of controllers, one run each
    #[argh(option)]
    nodes: Vec<usize>,
    /// endpoints declared
    #[argh(option, default = "100")]
    endpoints: usize,
    /// services declared
    #[argh(option, default = "10")]
    services: usize,
    /// changes of configuration during a run
    #[argh(option, default = "10")]
    changes: u32,
    /// length of a run, in seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// count the bytes between nodes, which costs processor time
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
                span: Duration::from_secs(self.seconds),
                bytes: self.bytes,
            };
            println!("{}", measure_scale(settings, &secret).await?);
        }
        Ok(())
    }
}
