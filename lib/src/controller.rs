//! The controller process: applies the log, tracks members, leases and claims, and sends the
//! routing table to gates.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::Methods;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::ConfigState;
use crate::ControllerPlugin;
use crate::ControllerSettings;
use crate::Error;
use crate::ErrorKind;
use crate::HttpLog;
use crate::Kernel;
use crate::LiveView;
use crate::MemberFact;
use crate::MemberState;
use crate::PlatformLog;
use crate::Result;
use crate::RpcClients;
use crate::SharedKey;
use crate::Timestamp;
use crate::claim_store::ClaimStore;
use crate::claim_store::new_claim_store;
use crate::config_store::ConfigStore;
use crate::contact::ContactTracker;
use crate::deferred_rpc::DeferredStore;
use crate::deferred_rpc::new_deferred_store;
use crate::gossip_rpc::announce_leave;
use crate::lease_keeper;
use crate::lease_keeper::LeaseStore;
use crate::live_store::LiveStore;
use crate::metrics::Metrics;
use crate::operator_access::serve_operator_rpc;
use crate::ops::serve_ops;
use crate::relayed_events::RelayedEvents;
use crate::rpc_server::serve_rpc;

/// Maximum time for which a graceful shutdown waits until peers have its announcement and its
/// leases are released.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time for which a stop waits for background tasks.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// State of a controller; shared by its subsystems.
#[derive(Debug)]
pub struct Controller {
    /// Clock, events and tasks of the process.
    pub kernel: Arc<Kernel>,
    pub(crate) settings: ControllerSettings,
    pub(crate) addrs: ControllerAddrs,
    pub(crate) claims: Arc<ClaimStore>,
    pub(crate) config: ConfigStore,
    pub(crate) deferred: Arc<DeferredStore>,
    pub(crate) contact: ContactTracker,
    pub(crate) metrics: Metrics,
    pub(crate) leases: LeaseStore,
    pub(crate) live: LiveStore,
    pub(crate) log: Arc<dyn PlatformLog>,
    /// Events received from gates and peers.
    pub(crate) relayed_events: RelayedEvents,
    /// RPC clients for other processes, by address.
    pub(crate) rpc: RpcClients,
}

/// Listening addresses of a controller.
#[derive(Clone, Copy, Debug)]
pub struct ControllerAddrs {
    /// RPC port for gates and peers.
    pub rpc: SocketAddr,
    /// RPC port for operators.
    pub operators: SocketAddr,
    /// Port for health, readiness and metrics.
    pub ops: SocketAddr,
}

impl Controller {
    /// Starts a controller on the platform's log and returns once its ports are open.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or a subsystem cannot start.
    pub async fn start(settings: ControllerSettings) -> Result<Arc<Self>> {
        let log = Arc::new(HttpLog::new(settings.platform.log));
        Self::start_with_log(settings, log).await
    }

    /// Starts a controller on `log` and returns once its ports are open.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or a subsystem cannot start.
    pub async fn start_with_log(
        settings: ControllerSettings,
        log: Arc<dyn PlatformLog>,
    ) -> Result<Arc<Self>> {
        let process = format!("controller/{}", settings.place.node);
        let key = SharedKey::read(&settings.secret_file)?;
        let rpc = bind(settings.rpc).await?;
        let operators = bind(settings.operators).await?;
        let ops = bind(settings.ops).await?;
        let addrs = ControllerAddrs {
            rpc: bound_addr(&rpc)?,
            operators: bound_addr(&operators)?,
            ops: bound_addr(&ops)?,
        };
        let kernel = Kernel::new(&process, settings.place.node.clone());
        let own = local_member(&settings, addrs, kernel.clock.now());
        let live = LiveStore::new(own, kernel.clock, kernel.events.clone());
        let contact = ContactTracker::new(!settings.peers.is_empty());
        let controller = Arc::new(Self {
            metrics: Metrics::new()?,
            kernel,
            settings,
            addrs,
            claims: new_claim_store(),
            config: ConfigStore::new(),
            deferred: new_deferred_store(),
            contact,
            leases: LeaseStore::new(),
            live,
            log,
            relayed_events: RelayedEvents::default(),
            rpc: RpcClients::new(key.clone()),
        });
        controller.start_plugins()?;
        controller.serve_rpc(rpc, key)?;
        serve_operator_rpc(&controller, operators);
        serve_ops(&controller.kernel, ops, Arc::clone(&controller));
        Ok(controller)
    }

    /// Returns the addresses that the listeners are bound to.
    pub fn addrs(&self) -> ControllerAddrs {
        self.addrs
    }

    /// Returns the configuration in force, or `None` before the first one has been read.
    pub fn config(&self) -> Option<Arc<ConfigState>> {
        self.config.current()
    }

    /// Returns a receiver that is notified of configuration changes.
    pub fn subscribe_config(&self) -> watch::Receiver<Option<Arc<ConfigState>>> {
        self.config.subscribe()
    }

    /// Returns the current view of the live state.
    pub fn live(&self) -> Arc<LiveView> {
        self.live.view()
    }

    /// Returns a receiver that is notified of changes to the live state.
    pub fn subscribe_live(&self) -> watch::Receiver<Arc<LiveView>> {
        self.live.subscribe()
    }

    /// Stops the controller gracefully: announces the stop to peers, releases its leases, then
    /// ends the background tasks.
    pub async fn stop(&self) {
        self.kernel.stopping.cancel();
        let leave = async { tokio::join!(announce_leave(self), lease_keeper::release_all(self)) };
        let _ = tokio::time::timeout(LEAVE_TIMEOUT, leave).await;
        self.kernel.stop(STOP_TIMEOUT).await;
    }

    /// Returns the RPC address given to other processes: the `advertise` setting, or else the
    /// bound address.
    pub(crate) fn advertised_addr(&self) -> SocketAddr {
        self.settings.advertise.unwrap_or(self.addrs.rpc)
    }

    fn start_plugins(self: &Arc<Self>) -> Result<()> {
        for plugin in plugins() {
            (plugin.start)(self)?;
            tracing::debug!(name = plugin.name, "subsystem started");
        }
        Ok(())
    }

    fn serve_rpc(self: &Arc<Self>, listener: TcpListener, key: SharedKey) -> Result<()> {
        let mut methods = Methods::new();
        for plugin in plugins() {
            if let Some(build_methods) = plugin.methods {
                methods.merge(build_methods(self)).map_err(internal_error)?;
            }
        }
        serve_rpc(listener, methods, key, self.kernel.stopped.clone())
    }
}

/// Returns the member fact of this node; its incarnation is the start time.
fn local_member(
    settings: &ControllerSettings,
    addrs: ControllerAddrs,
    now: Timestamp,
) -> MemberFact {
    let place = &settings.place;
    MemberFact {
        node: place.node.clone(),
        incarnation: now.0,
        state: MemberState::Alive,
        since: now,
        domain: place.domain.clone(),
        region: place.region.clone(),
        vm: place.vm.clone(),
        controller: settings.advertise.unwrap_or(addrs.rpc),
    }
}

fn plugins() -> Vec<&'static ControllerPlugin> {
    let mut plugins: Vec<_> = inventory::iter::<ControllerPlugin>.into_iter().collect();
    plugins.sort_by_key(|p| (p.stage, p.name));
    plugins
}

/// Binds a TCP listener to `address`.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        Error::new(
            ErrorKind::Internal,
            format!("cannot bind {address}: {error}"),
        )
    })
}

pub(crate) fn bound_addr(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(internal_error)
}

pub(crate) fn internal_error(error: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Internal, error.to_string())
}
