//! Start and stop of a process: settings, logs, the ready line and signals.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tracing_subscriber::EnvFilter;

/// Reads settings from a TOML file.
///
/// # Errors
///
/// Returns a message that names the file, and the line and key at fault.
pub fn read_settings<T>(path: &Path) -> Result<T, String>
where
    T: DeserializeOwned,
{
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("cannot read {}: {error}", path.display()))?;
    toml::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
}

/// Command line of a process that runs on an entry VM.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings file (TOML)
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
    /// print a commented settings file with the defaults and exit
    #[argh(switch)]
    print_default: bool,
}

/// What a command line asks of a process.
#[derive(Debug)]
pub enum Start<T> {
    /// Exits with success.
    Exit,
    /// Runs with these settings.
    Run(T),
}

/// Reads the command line and the settings that it names.
///
/// # Errors
///
/// Returns a message that names the file, and the line and key at fault.
pub fn read_command_line<T, F>(
    default: &str,
    check: impl Fn(&T) -> Result<(), F>,
) -> Result<Start<T>, String>
where
    T: DeserializeOwned,
    F: Display,
{
    let args: Args = argh::from_env();
    if args.print_default {
        print!("{default}");
        return Ok(Start::Exit);
    }
    let path = args
        .settings
        .ok_or("a settings file is needed: --settings FILE (--print-default prints one)")?;
    let settings = read_settings(&path)?;
    check(&settings).map_err(|fault| format!("{}: {fault}", path.display()))?;
    Ok(if args.check {
        Start::Exit
    } else {
        Start::Run(settings)
    })
}

/// Sends logs to standard error; `HAWTHORN_LOG` sets the filter and `HAWTHORN_LOG_FORMAT=json`
/// the format.
pub fn init_logs() {
    let filter = EnvFilter::try_from_env("HAWTHORN_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    if std::env::var("HAWTHORN_LOG_FORMAT").as_deref() == Ok("json") {
        builder.json().init();
    } else {
        builder.init();
    }
}

/// Prints the ready line with the bound addresses.
///
/// # Panics
///
/// Panics when standard output is closed.
pub fn print_ready<T>(addresses: &BTreeMap<&str, T>)
where
    T: Serialize,
{
    let line = serde_json::json!({ "ready": addresses });
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}").expect("standard output is open");
    out.flush().expect("standard output is open");
}

/// Waits until the process is asked to end.
///
/// # Panics
///
/// Panics when signal handlers cannot be installed.
pub async fn wait_for_stop() {
    let mut terminate = signal(SignalKind::terminate()).expect("signals can be handled");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signals can be handled");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
