//! The controller process of an entry VM.

use std::collections::BTreeMap;
use std::process::ExitCode;

use hawthornrack::Invocation;
use hawthornrack::init_logging;
use hawthornrack::parse_command_line;
use hawthornrack::print_ready_line;
use hawthornrack::wait_for_shutdown;
use hawthornrack_lib::Controller;
use hawthornrack_lib::ControllerSettings;

/// Settings file that `--print-default` prints.
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
    let settings = match parse_command_line(DEFAULT_SETTINGS, ControllerSettings::check)? {
        Invocation::Exit => return Ok(()),
        Invocation::Run(settings) => settings,
    };
    init_logging();
    let controller = Controller::start(settings)
        .await
        .map_err(|e| e.to_string())?;
    let addrs = controller.addrs();
    print_ready_line(&BTreeMap::from([
        ("operators", addrs.operators),
        ("ops", addrs.ops),
        ("rpc", addrs.rpc),
    ]));
    wait_for_shutdown().await;
    controller.stop().await;
    Ok(())
}
