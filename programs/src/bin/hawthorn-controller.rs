//! The controller program.

use std::collections::BTreeMap;
use std::process::ExitCode;

use hawthornrack::Start;
use hawthornrack::init_logs;
use hawthornrack::print_ready;
use hawthornrack::read_command_line;
use hawthornrack::wait_for_stop;
use hawthornrack_lib::Controller;
use hawthornrack_lib::ControllerSettings;

/// Commented settings with the defaults.
const DEFAULT_SETTINGS: &str = include_str!("../settings/controller.toml");

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hawthorn-controller: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    let settings = match read_command_line(DEFAULT_SETTINGS, ControllerSettings::check)? {
        Start::Exit => return Ok(()),
        Start::Run(settings) => settings,
    };
    init_logs();
    let controller = Controller::start(settings)
        .await
        .map_err(|e| e.to_string())?;
    let addrs = controller.addrs();
    print_ready(&BTreeMap::from([
        ("operators", addrs.operators),
        ("ops", addrs.ops),
        ("rpc", addrs.rpc),
    ]));
    wait_for_stop().await;
    controller.stop().await;
    Ok(())
}
