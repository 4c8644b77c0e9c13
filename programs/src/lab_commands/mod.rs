//! Subcommands of `hawthorn-lab`, one per module.

mod cloud;
mod demo;
mod engine;
mod experiment;
mod log;
mod plain;
mod proxy;
mod scale;
mod weights;

use std::error::Error;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;
use tracing_subscriber::EnvFilter;

use self::cloud::CloudCommand;
use self::demo::DemoCommand;
use self::engine::EngineCommand;
use self::experiment::ExperimentCommand;
use self::log::LogCommand;
use self::plain::PlainCommand;
use self::proxy::ProxyCommand;
use self::scale::ScaleCommand;
use self::weights::WeightsCommand;

/// Number of worker threads of the Tokio runtime.
const WORKER_THREADS: usize = 2;

type CommandResult = Result<(), Box<dyn Error>>;

/// Development tool: stand-ins for the platform and the endpoints, a fault-injecting proxy,
/// experiments, a scale measurement and a demo.
#[derive(Debug, FromArgs)]
pub struct Lab {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Cloud(CloudCommand),
    Demo(DemoCommand),
    Engine(EngineCommand),
    Experiment(ExperimentCommand),
    Log(LogCommand),
    Plain(PlainCommand),
    Proxy(ProxyCommand),
    Scale(ScaleCommand),
    Weights(WeightsCommand),
}

impl Lab {
    /// Runs the subcommand to completion and returns its exit code; errors are printed to standard
    /// error.
    ///
    /// Sets up logging to standard error first; `RUST_LOG` sets the filter, which is `warn` if the
    /// variable is unset or invalid.
    ///
    /// # Panics
    ///
    /// Panics if a global subscriber is already set.
    pub fn run(self) -> ExitCode {
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("warn"));
        tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_writer(std::io::stderr)
            .init();
        match self.command.run() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("hawthorn-lab: {error}");
                ExitCode::FAILURE
            }
        }
    }
}

impl Command {
    fn run(self) -> CommandResult {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()?;
        runtime.block_on(async {
            match self {
                Self::Cloud(command) => command.run().await,
                Self::Demo(command) => command.run().await,
                Self::Engine(command) => command.run().await,
                Self::Experiment(command) => command.run().await,
                Self::Log(command) => command.run().await,
                Self::Plain(command) => command.run().await,
                Self::Proxy(command) => command.run().await,
                Self::Scale(command) => command.run().await,
                Self::Weights(command) => command.run().await,
            }
        })
    }
}

/// Binds the address and prints a ready line in JSON with the bound address.
async fn bind_and_print_ready(listen: SocketAddr) -> Result<TcpListener, Box<dyn Error>> {
    let listener = TcpListener::bind(listen).await?;
    let http = listener.local_addr()?;
    let mut stdout = std::io::stdout().lock();
    writeln!(
        stdout,
        "{}",
        serde_json::json!({ "ready": { "http": http } })
    )?;
    stdout.flush()?;
    Ok(listener)
}

/// Returns a token that is cancelled on SIGTERM or SIGINT.
fn shutdown_token() -> Result<CancellationToken, Box<dyn Error>> {
    let shutdown = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let token = shutdown.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        token.cancel();
    });
    Ok(shutdown)
}

/// Returns the default listen address: an ephemeral port on the loopback interface.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
