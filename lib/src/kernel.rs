//! The kernel that every process is built on, and the registry of its plug-ins.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::Methods;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Clock;
use crate::Controller;
use crate::EventLog;
use crate::Gate;
use crate::NodeName;
use crate::Result;

/// What every subsystem of a process shares.
#[derive(Debug)]
pub struct Kernel {
    /// Clock of the process.
    pub clock: Clock,
    /// Event record of the process.
    pub events: EventLog,
    /// Node that the process runs on.
    pub node: NodeName,
    /// Cancelled when the process starts its graceful shutdown.
    pub stopping: CancellationToken,
    /// Cancelled when the process must end.
    pub stopped: CancellationToken,
    tasks: TaskTracker,
}

impl Kernel {
    /// Creates a kernel for the named process on `node`.
    pub fn new(process: &str, node: NodeName) -> Arc<Self> {
        let clock = Clock::anchored();
        Arc::new(Self {
            clock,
            events: EventLog::new(process, clock),
            node,
            stopping: CancellationToken::new(),
            stopped: CancellationToken::new(),
            tasks: TaskTracker::new(),
        })
    }

    /// Runs a background task until it ends or the process must end.
    pub fn spawn<F>(&self, task: F) -> JoinHandle<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let stopped = self.stopped.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = task => {}
            }
        })
    }

    /// Ends all background tasks and waits for them, at most for `limit`.
    pub async fn stop(&self, limit: Duration) {
        self.stopping.cancel();
        self.stopped.cancel();
        self.tasks.close();
        let deadline = Instant::now() + limit;
        let _ = tokio::time::timeout_at(deadline, self.tasks.wait()).await;
    }
}

/// A subsystem of the controller that registers itself.
///
/// Started in the order of `stage`, then of `name`.
#[derive(Debug)]
pub struct ControllerPlugin {
    /// Name for logs.
    pub name: &'static str,
    /// Stage of the start.
    pub stage: Stage,
    /// Starts the subsystem's tasks.
    pub start: fn(&Arc<Controller>) -> Result<()>,
    /// Makes the subsystem's RPC methods.
    pub methods: Option<fn(&Arc<Controller>) -> Methods>,
}

inventory::collect!(ControllerPlugin);

/// A subsystem of the gate that registers itself.
///
/// Started in the order of `stage`, then of `name`.
#[derive(Debug)]
pub struct GatePlugin {
    /// Name for logs.
    pub name: &'static str,
    /// Stage of the start.
    pub stage: Stage,
    /// Starts the subsystem's tasks.
    pub start: fn(&Arc<Gate>) -> Result<()>,
    /// Makes the subsystem's RPC methods.
    pub methods: Option<fn(&Arc<Gate>) -> Methods>,
}

inventory::collect!(GatePlugin);

/// Stage of a process's start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Reads shared state.
    State,
    /// Keeps duties in the background.
    Duty,
    /// Opens ports to others.
    Listen,
}
