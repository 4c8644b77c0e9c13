//! The gate process: takes callers' requests and runs them on endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::Methods;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::Endpoint;
use crate::EndpointName;
use crate::EvidenceRecorder;
use crate::EvidenceRow;
use crate::GateCounts;
use crate::GateInfo;
use crate::GatePlugin;
use crate::GateSettings;
use crate::HttpClient;
use crate::Kernel;
use crate::Reports;
use crate::Result;
use crate::RetryBudget;
use crate::RpcClients;
use crate::ServerLimits;
use crate::SharedKey;
use crate::Timestamp;
use crate::admission::Admission;
use crate::call::Call;
use crate::concurrency_limit::EndpointLimits;
use crate::controller::bind;
use crate::controller::bound;
use crate::controller::internal;
use crate::counters::GateCounters;
use crate::crash::Crashes;
use crate::deferred_runner::Runs;
use crate::gate_http;
use crate::hand_over::HandedStates;
use crate::in_flight::InFlight;
use crate::isolation::Isolation;
use crate::metrics::Metrics;
use crate::metrics::RequestMetrics;
use crate::once;
use crate::once::Once;
use crate::ops::serve_ops;
use crate::reclaim::TransferCosts;
use crate::routing_table::RoutingTable;
use crate::rpc_server::serve_rpc;
use crate::serve;

/// Time within which background tasks end at a stop.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// Time kept at the end of the drain limit for handing requests over.
const HAND_OVER_TIME: Duration = Duration::from_secs(5);

/// State of a gate; shared by its subsystems.
#[derive(Debug)]
pub struct Gate {
    /// Clock, events and tasks of the process.
    pub kernel: Arc<Kernel>,
    pub(crate) settings: GateSettings,
    pub(crate) addrs: GateAddrs,
    pub(crate) http: HttpClient,
    pub(crate) deferred: Runs,
    pub(crate) in_flight: InFlight,
    /// What the gate has to report to its controller.
    pub(crate) reports: Reports,
    pub(crate) once: Once,
    /// Clients of other processes' RPC ports.
    pub(crate) rpc: RpcClients,
    pub(crate) table: watch::Sender<Option<Arc<RoutingTable>>>,
    pub(crate) key: SharedKey,
    pub(crate) budget: RetryBudget,
    pub(crate) admission: Admission,
    pub(crate) limits: EndpointLimits,
    pub(crate) counters: GateCounters,
    pub(crate) metrics: Metrics,
    pub(crate) requests: RequestMetrics,
    pub(crate) crashes: Crashes,
    pub(crate) evidence: EvidenceRecorder,
    pub(crate) handed: HandedStates,
    /// Whether the gate can still learn of a new configuration.
    pub(crate) isolation: Isolation,
    pub(crate) transfers: TransferCosts,
    /// Time at which the gate's own machine ends, once it is under notice.
    pub(crate) notice: watch::Sender<Option<Timestamp>>,
    draining: watch::Sender<bool>,
    changes: watch::Sender<u64>,
    served: watch::Sender<bool>,
}

/// Addresses that a gate has bound.
#[derive(Clone, Copy, Debug)]
pub struct GateAddrs {
    /// Callers' port.
    pub callers: SocketAddr,
    /// RPC port for other gates.
    pub rpc: SocketAddr,
    /// Port for metrics and health.
    pub ops: SocketAddr,
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
        let ops = bind(settings.ops).await?;
        let metrics = Metrics::new()?;
        let addrs = GateAddrs {
            callers: bound(&callers)?,
            rpc: bound(&rpc)?,
            ops: bound(&ops)?,
        };
        let kernel = Kernel::new(&process, settings.place.node.clone());
        let reports = Reports::new(kernel.node.clone(), kernel.clock.now());
        let routing = settings.routing;
        let gate = Arc::new(Self {
            evidence: EvidenceRecorder::new(kernel.clock),
            kernel,
            settings,
            addrs,
            http: HttpClient::new(),
            deferred: Runs::default(),
            in_flight: InFlight::default(),
            reports,
            once: Once::default(),
            rpc: RpcClients::new(key.clone()),
            table: watch::Sender::new(None),
            key: key.clone(),
            budget: RetryBudget::default(),
            admission: Admission::default(),
            limits: EndpointLimits::new(routing.limit, routing.concurrency),
            counters: GateCounters::default(),
            requests: RequestMetrics::new(&metrics),
            metrics,
            crashes: Crashes::default(),
            handed: HandedStates::default(),
            isolation: Isolation::default(),
            transfers: TransferCosts::default(),
            notice: watch::Sender::new(None),
            draining: watch::Sender::new(false),
            changes: watch::Sender::new(0),
            served: watch::Sender::new(false),
        });
        for plugin in plugins() {
            (plugin.start)(&gate)?;
        }
        gate.serve_rpc(rpc, key)?;
        gate.serve_callers(callers);
        serve_ops(&gate.kernel, ops, Arc::clone(&gate));
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

    /// Returns the readings of the counters.
    pub fn counts(&self) -> GateCounts {
        self.counters.read()
    }

    /// Returns the digests of requests that crashed an endpoint since the last call.
    pub fn take_crashes(&self) -> Vec<u64> {
        self.crashes.take_reports()
    }

    /// Returns how requests went since the last call.
    pub fn take_evidence(&self) -> Vec<EvidenceRow> {
        self.evidence.take_rows()
    }

    /// Returns a receiver that changes whenever what the gate says of itself has changed.
    pub fn subscribe_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Stops the gate gracefully.
    ///
    /// Tells its controller, serves for a while the callers that have not heard of it, then
    /// takes no new connection and finishes the requests in progress. Those that would not be
    /// finished within the drain limit are handed over to other gates.
    pub async fn stop(&self) {
        self.draining.send_replace(true);
        self.touch();
        tokio::time::sleep(self.settings.limits.linger).await;
        self.kernel.stopping.cancel();
        let drain = self.settings.limits.drain;
        let last = drain.saturating_sub(HAND_OVER_TIME);
        let mut served = self.served.subscribe();
        let done = tokio::time::timeout(last, served.wait_for(|done| *done)).await;
        if done.is_err() {
            self.leave(self.kernel.clock.now());
        }
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
            accepting: !self.is_draining() && self.notice.borrow().is_none(),
            load: self.in_flight.load(self.settings.limits.requests),
        }
    }

    /// Takes no new requests from now on, and hands those in progress over.
    pub(crate) fn leave(&self, deadline: Timestamp) {
        self.kernel
            .events
            .record("gate.leaving", &[("deadline", &deadline.0)]);
        self.notice.send_replace(Some(deadline));
        self.touch();
    }

    /// Takes the time to the first byte of an answer into the limit of its endpoint.
    pub(crate) fn learn(&self, endpoint: &EndpointName, call: &Call, first_byte: Duration) {
        let running = self.in_flight.on(endpoint);
        let target = call.service.target;
        self.limits.update(endpoint, |limit| {
            limit.answered(Instant::now(), running, first_byte, target);
        });
    }

    /// Tells whether the gate is being stopped.
    pub(crate) fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Returns the time at which an endpoint's machine ends, if it is under notice.
    pub(crate) fn leaving(&self, endpoint: &Endpoint) -> Option<Timestamp> {
        let table = self.table.borrow();
        table.as_ref()?.live.leaving.get(&endpoint.vm).copied()
    }

    fn touch(&self) {
        self.changes.send_modify(|count| *count += 1);
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
