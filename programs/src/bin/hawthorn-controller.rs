//! The controller program.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use hawthornrack::init_logs;
use hawthornrack::print_ready;
use hawthornrack::read_settings;
use hawthornrack::wait_for_stop;
use hawthornrack_lib::Controller;
use hawthornrack_lib::ControllerSettings;

/// Runs a hawthornrack controller.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings file (TOML)
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hawthorn-controller: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<(), String> {
    let settings: ControllerSettings = read_settings(&args.settings)?;
    if args.check {
        return Ok(());
    }
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
