//! Startup and shutdown of a process: command line, settings, logging, ready line and signals.

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
/// Returns a message that names the file, and the line and key of an invalid setting.
pub fn read_settings<T>(path: &Path) -> Result<T, String>
where
    T: DeserializeOwned,
{
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("cannot read {}: {error}", path.display()))?;
    toml::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
}

/// Runs a hawthornrack process of an entry VM with a settings file.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings file (TOML)
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings file and exit; the exit code is 1 if it is invalid
    #[argh(switch)]
    check: bool,
    /// print a commented settings file with the defaults and exit
    #[argh(switch)]
    print_default: bool,
}

/// What the command line asks the process to do.
#[derive(Debug)]
pub enum Invocation<T> {
    /// Exit with success.
    Exit,
    /// Run with these settings.
    Run(T),
}

/// Parses the command line, and reads and checks the settings file that it names.
///
/// `default` is the text that `--print-default` prints. `check` validates settings that
/// were parsed successfully. Exits the process on `--help` and on invalid arguments.
///
/// # Errors
///
/// Returns a message if no settings file is given, or one that names the file if it cannot be read
/// or parsed or fails the check. A message about an invalid setting names its key; if the parser
/// found it, also its line.
pub fn parse_command_line<T, F>(
    default: &str,
    check: impl Fn(&T) -> Result<(), F>,
) -> Result<Invocation<T>, String>
where
    T: DeserializeOwned,
    F: Display,
{
    let args: Args = argh::from_env();
    if args.print_default {
        print!("{default}");
        return Ok(Invocation::Exit);
    }
    let path = args
        .settings
        .ok_or("no settings file given; use --settings FILE (--print-default prints a template)")?;
    let settings = read_settings(&path)?;
    check(&settings).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(if args.check {
        Invocation::Exit
    } else {
        Invocation::Run(settings)
    })
}

/// Sets up logging to standard error.
///
/// `HAWTHORN_LOG` sets the filter; if it is unset or invalid, the filter is `info`.
/// `HAWTHORN_LOG_FORMAT=json` selects JSON output.
///
/// # Panics
///
/// Panics if a global subscriber is already set.
pub fn init_logging() {
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

/// Prints the ready line, a JSON object with the bound addresses.
///
/// # Panics
///
/// Panics if standard output cannot be written to.
pub fn print_ready_line<T>(addresses: &BTreeMap<&str, T>)
where
    T: Serialize,
{
    let line = serde_json::json!({ "ready": addresses });
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}").expect("standard output can be written to");
    out.flush().expect("standard output can be written to");
}

/// Waits for SIGTERM or SIGINT.
///
/// # Panics
///
/// Panics if the signal handlers cannot be installed.
pub async fn wait_for_shutdown() {
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM handler can be installed");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT handler can be installed");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
