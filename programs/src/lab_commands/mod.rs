//! Subcommands of `hawthorn-lab`, one a module.

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

/// Threads of a stand-in's runtime.
const STAND_IN_THREADS: usize = 2;

type CommandResult = Result<(), Box<dyn Error>>;

/// Stand-ins for what surrounds hawthornrack, for development.
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
    /// Runs the chosen subcommand to its end.
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
            .worker_threads(STAND_IN_THREADS)
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

/// Binds the address and prints the line that tells where the stand-in serves.
async fn bind(listen: SocketAddr) -> Result<TcpListener, Box<dyn Error>> {
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

/// Returns a token that SIGTERM and SIGINT cancel.
fn stop_on_signal() -> Result<CancellationToken, Box<dyn Error>> {
    let stop = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let cancelled = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        cancelled.cancel();
    });
    Ok(stop)
}

/// Returns the address that stand-ins listen on when none is given.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
