//! The gate process of an entry VM.

use std::collections::BTreeMap;
use std::process::ExitCode;

use hawthornrack::Invocation;
use hawthornrack::init_logging;
use hawthornrack::parse_command_line;
use hawthornrack::print_ready_line;
use hawthornrack::wait_for_shutdown;
use hawthornrack_lib::Gate;
use hawthornrack_lib::GateSettings;

/// Settings file that `--print-default` prints.
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
    let settings = match parse_command_line(DEFAULT_SETTINGS, GateSettings::check)? {
        Invocation::Exit => return Ok(()),
        Invocation::Run(settings) => settings,
    };
    init_logging();
    let gate = Gate::start(settings).await.map_err(|e| e.to_string())?;
    let addrs = gate.addrs();
    print_ready_line(&BTreeMap::from([
        ("callers", addrs.callers),
        ("ops", addrs.ops),
        ("rpc", addrs.rpc),
    ]));
    wait_for_shutdown().await;
    gate.stop().await;
    Ok(())
}
