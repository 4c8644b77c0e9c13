//! The controller process: log, membership, leases, claims and the table for gates.

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
use crate::claim_tail::ClaimStore;
use crate::claim_tail::claim_store;
use crate::config_store::ConfigStore;
use crate::contact::Contact;
use crate::deferred_rpc::DeferredStore;
use crate::deferred_rpc::deferred_store;
use crate::gossip_rpc::announce_leave;
use crate::lease_keeper;
use crate::lease_keeper::LeaseStore;
use crate::live_store::LiveStore;
use crate::metrics::Metrics;
use crate::operator_access::serve_operators;
use crate::ops::serve_ops;
use crate::relayed_events::RelayedEvents;
use crate::rpc_server::serve_rpc;

/// Time for which a stop waits until peers have heard of it.
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(500);

/// Time within which background tasks end at a stop.
const STOP_LIMIT: Duration = Duration::from_secs(2);

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
    pub(crate) contact: Contact,
    pub(crate) metrics: Metrics,
    pub(crate) leases: LeaseStore,
    pub(crate) live: LiveStore,
    pub(crate) log: Arc<dyn PlatformLog>,
    /// Events of gates and peers.
    pub(crate) relayed: RelayedEvents,
    /// Clients of other processes' RPC ports.
    pub(crate) rpc: RpcClients,
}

/// Addresses that a controller has bound.
#[derive(Clone, Copy, Debug)]
pub struct ControllerAddrs {
    /// RPC port for gates and peers.
    pub rpc: SocketAddr,
    /// Operators' RPC port.
    pub operators: SocketAddr,
    /// Port for metrics and health.
    pub ops: SocketAddr,
}

impl Controller {
    /// Starts a controller and returns it once its ports are open.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or a subsystem cannot start.
    pub async fn start(settings: ControllerSettings) -> Result<Arc<Self>> {
        let log = Arc::new(HttpLog::new(settings.platform.log));
        Self::start_with(settings, log).await
    }

    /// Starts a controller on a stated log.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or a subsystem cannot start.
    pub async fn start_with(
        settings: ControllerSettings,
        log: Arc<dyn PlatformLog>,
    ) -> Result<Arc<Self>> {
        let process = format!("controller/{}", settings.place.node);
        let key = SharedKey::read(&settings.secret_file)?;
        let rpc = bind(settings.rpc).await?;
        let operators = bind(settings.operators).await?;
        let ops = bind(settings.ops).await?;
        let addrs = ControllerAddrs {
            rpc: bound(&rpc)?,
            operators: bound(&operators)?,
            ops: bound(&ops)?,
        };
        let kernel = Kernel::new(&process, settings.place.node.clone());
        let own = own_member(&settings, addrs, kernel.clock.now());
        let live = LiveStore::new(own, kernel.clock, kernel.events.clone());
        let contact = Contact::new(!settings.peers.is_empty());
        let controller = Arc::new(Self {
            metrics: Metrics::new()?,
            kernel,
            settings,
            addrs,
            claims: claim_store(),
            config: ConfigStore::new(),
            deferred: deferred_store(),
            contact,
            leases: LeaseStore::new(),
            live,
            log,
            relayed: RelayedEvents::default(),
            rpc: RpcClients::new(key.clone()),
        });
        controller.start_plugins()?;
        controller.serve_rpc(rpc, key)?;
        serve_operators(&controller, operators);
        serve_ops(&controller.kernel, ops, Arc::clone(&controller));
        Ok(controller)
    }

    /// Returns the bound addresses.
    pub fn addrs(&self) -> ControllerAddrs {
        self.addrs
    }

    /// Returns the configuration in force, if any has been read.
    pub fn config(&self) -> Option<Arc<ConfigState>> {
        self.config.current()
    }

    /// Returns a receiver of every later configuration.
    pub fn subscribe_config(&self) -> watch::Receiver<Option<Arc<ConfigState>>> {
        self.config.subscribe()
    }

    /// Returns the live facts.
    pub fn live(&self) -> Arc<LiveView> {
        self.live.view()
    }

    /// Returns a receiver of every later view of the live facts.
    pub fn subscribe_live(&self) -> watch::Receiver<Arc<LiveView>> {
        self.live.subscribe()
    }

    /// Stops the controller gracefully: tells its peers, then ends.
    pub async fn stop(&self) {
        self.kernel.stopping.cancel();
        let told = async { tokio::join!(announce_leave(self), lease_keeper::release_all(self)) };
        let _ = tokio::time::timeout(ANNOUNCE_LIMIT, told).await;
        self.kernel.stop(STOP_LIMIT).await;
    }

    /// Returns the address at which others reach the RPC port.
    pub(crate) fn advertised(&self) -> SocketAddr {
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
            if let Some(make) = plugin.methods {
                methods.merge(make(self)).map_err(internal)?;
            }
        }
        serve_rpc(listener, methods, key, self.kernel.stopped.clone())
    }
}

/// Describes this node as a member that has just started.
fn own_member(settings: &ControllerSettings, addrs: ControllerAddrs, now: Timestamp) -> MemberFact {
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

/// Binds a listening socket.
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

pub(crate) fn bound(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(internal)
}

pub(crate) fn internal(error: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Internal, error.to_string())
}
