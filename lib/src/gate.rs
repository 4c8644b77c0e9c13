//! The gate process: takes callers' requests and runs them on endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::Methods;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::GateInfo;
use crate::GatePlugin;
use crate::GateSettings;
use crate::HttpClient;
use crate::Kernel;
use crate::Result;
use crate::RpcClients;
use crate::ServerLimits;
use crate::SharedKey;
use crate::controller::bind;
use crate::controller::bound;
use crate::controller::internal;
use crate::gate_http;
use crate::in_flight::InFlight;
use crate::once;
use crate::once::Once;
use crate::routing_table::RoutingTable;
use crate::rpc_server::serve_rpc;
use crate::serve;

/// Time within which background tasks end at a stop.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// State of a gate; shared by its subsystems.
#[derive(Debug)]
pub struct Gate {
    /// Clock, events and tasks of the process.
    pub kernel: Arc<Kernel>,
    pub(crate) settings: GateSettings,
    pub(crate) addrs: GateAddrs,
    pub(crate) http: HttpClient,
    pub(crate) in_flight: InFlight,
    pub(crate) once: Once,
    /// Clients of other processes' RPC ports.
    pub(crate) rpc: RpcClients,
    pub(crate) table: watch::Sender<Option<Arc<RoutingTable>>>,
    served: watch::Sender<bool>,
}

/// Addresses that a gate has bound.
#[derive(Clone, Copy, Debug)]
pub struct GateAddrs {
    /// Callers' port.
    pub callers: SocketAddr,
    /// RPC port for other gates.
    pub rpc: SocketAddr,
}

impl Gate {
    /// Starts a gate and returns it once its ports are open.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or a subsystem cannot start.
    pub async fn start(settings: GateSettings) -> Result<Arc<Self>> {
        let process = format!("gate/{}", settings.place.node);
        let key = SharedKey::read(&settings.secret_file)?;
        let callers = bind(settings.listen).await?;
        let rpc = bind(settings.rpc).await?;
        let addrs = GateAddrs {
            callers: bound(&callers)?,
            rpc: bound(&rpc)?,
        };
        let gate = Arc::new(Self {
            kernel: Kernel::new(&process, settings.place.node.clone()),
            settings,
            addrs,
            http: HttpClient::new(),
            in_flight: InFlight::default(),
            once: Once::default(),
            rpc: RpcClients::new(key.clone()),
            table: watch::Sender::new(None),
            served: watch::Sender::new(false),
        });
        for plugin in plugins() {
            (plugin.start)(&gate)?;
        }
        gate.serve_rpc(rpc, key)?;
        gate.serve_callers(callers);
        Ok(gate)
    }

    /// Returns the bound addresses.
    pub fn addrs(&self) -> GateAddrs {
        self.addrs
    }

    /// Returns the routing table in force, if any has been received.
    pub fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.borrow().clone()
    }

    /// Returns a receiver of every later routing table.
    pub fn subscribe_table(&self) -> watch::Receiver<Option<Arc<RoutingTable>>> {
        self.table.subscribe()
    }

    /// Stops the gate gracefully: refuses new requests and finishes those in progress.
    pub async fn stop(&self) {
        self.kernel.stopping.cancel();
        let mut served = self.served.subscribe();
        let _ = served.wait_for(|done| *done).await;
        once::drain(self, self.settings.limits.drain).await;
        self.kernel.stop(STOP_LIMIT).await;
    }

    /// Returns what the gate says of itself to its controller.
    pub(crate) fn info(&self) -> GateInfo {
        GateInfo {
            callers: self.settings.advertise.unwrap_or(self.addrs.callers),
            rpc: self.settings.rpc_advertise.unwrap_or(self.addrs.rpc),
            accepting: !self.kernel.stopping.is_cancelled(),
            load: self.in_flight.load(self.settings.limits.requests),
        }
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

    fn serve_callers(self: &Arc<Self>, listener: TcpListener) {
        let limits = self.settings.limits;
        let limits = ServerLimits {
            connections: limits.connections,
            header_timeout: limits.receive,
            header_bytes: limits.headers,
            drain: limits.drain,
        };
        let stop = self.kernel.stopping.clone();
        let gate = Arc::clone(self);
        tokio::spawn(async move {
            let handler = Arc::clone(&gate);
            serve(listener, limits, stop, move |request, _peer| {
                gate_http::answer(Arc::clone(&handler), request)
            })
            .await;
            let _ = gate.served.send_replace(true);
        });
    }
}

fn plugins() -> Vec<&'static GatePlugin> {
    let mut plugins: Vec<_> = inventory::iter::<GatePlugin>.into_iter().collect();
    plugins.sort_by_key(|p| (p.stage, p.name));
    plugins
}
