//! State shared by all subsystems of a process, and the plug-in registry.

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

/// Clock, event log, shutdown signals and background tasks of a process.
#[derive(Debug)]
pub struct Kernel {
    /// Clock of the process.
    pub clock: Clock,
    /// Event log of the process.
    pub events: EventLog,
    /// Node that the process runs on.
    pub node: NodeName,
    /// Cancelled when the process starts its graceful shutdown.
    pub stopping: CancellationToken,
    /// Cancelled at the end of the shutdown, which aborts background tasks.
    pub stopped: CancellationToken,
    tasks: TaskTracker,
}

impl Kernel {
    /// Creates the kernel of the named process on `node`.
    pub fn new(process: &str, node: NodeName) -> Arc<Self> {
        let clock = Clock::from_system_time();
        Arc::new(Self {
            clock,
            events: EventLog::new(process, clock),
            node,
            stopping: CancellationToken::new(),
            stopped: CancellationToken::new(),
            tasks: TaskTracker::new(),
        })
    }

    /// Spawns a background task, which is dropped when `stopped` is cancelled.
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

    /// Cancels all background tasks and waits up to `timeout` for them to end.
    pub async fn stop(&self, timeout: Duration) {
        self.stopping.cancel();
        self.stopped.cancel();
        self.tasks.close();
        let deadline = Instant::now() + timeout;
        let _ = tokio::time::timeout_at(deadline, self.tasks.wait()).await;
    }
}

/// A subsystem of the controller, registered with [`inventory`].
///
/// Subsystems start in order of `stage`, then `name`.
#[derive(Debug)]
pub struct ControllerPlugin {
    /// Name in logs; orders plug-ins within a stage.
    pub name: &'static str,
    /// Stage at which the subsystem starts.
    pub stage: Stage,
    /// Starts the subsystem's tasks.
    pub start: fn(&Arc<Controller>) -> Result<()>,
    /// Builds the subsystem's RPC methods, if it has any.
    pub methods: Option<fn(&Arc<Controller>) -> Methods>,
}

inventory::collect!(ControllerPlugin);

/// A subsystem of the gate, registered with [`inventory`].
///
/// Subsystems start in order of `stage`, then `name`.
#[derive(Debug)]
pub struct GatePlugin {
    /// Name in logs; orders plug-ins within a stage.
    pub name: &'static str,
    /// Stage at which the subsystem starts.
    pub stage: Stage,
    /// Starts the subsystem's tasks.
    pub start: fn(&Arc<Gate>) -> Result<()>,
    /// Builds the subsystem's RPC methods, if it has any.
    pub methods: Option<fn(&Arc<Gate>) -> Methods>,
}

inventory::collect!(GatePlugin);

/// Start-up stage of a subsystem, in start order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Reads shared state.
    State,
    /// Runs background tasks.
    Background,
    /// Serves other processes.
    Listen,
}
