//! The gate program.

use std::collections::BTreeMap;
use std::process::ExitCode;

use hawthornrack::Start;
use hawthornrack::init_logs;
use hawthornrack::print_ready;
use hawthornrack::read_command_line;
use hawthornrack::wait_for_stop;
use hawthornrack_lib::Gate;
use hawthornrack_lib::GateSettings;

/// Commented settings with the defaults.
const DEFAULT_SETTINGS: &str = include_str!("../settings/gate.toml");

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hawthorn-gate: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    let settings = match read_command_line(DEFAULT_SETTINGS, GateSettings::check)? {
        Start::Exit => return Ok(()),
        Start::Run(settings) => settings,
    };
    init_logs();
    let gate = Gate::start(settings).await.map_err(|e| e.to_string())?;
    let addrs = gate.addrs();
    print_ready(&BTreeMap::from([
        ("callers", addrs.callers),
        ("ops", addrs.ops),
        ("rpc", addrs.rpc),
    ]));
    wait_for_stop().await;
    gate.stop().await;
    Ok(())
}
