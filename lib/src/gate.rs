//! The gate process: accepts callers' requests and runs them on endpoints.

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
use crate::at_most_once;
use crate::at_most_once::AtMostOnce;
use crate::call::Call;
use crate::concurrency_limit::EndpointLimits;
use crate::controller::bind;
use crate::controller::bound_addr;
use crate::controller::internal_error;
use crate::counters::GateCounters;
use crate::crash::CrashTracker;
use crate::deferred_runner::DeferredRuns;
use crate::gate_http;
use crate::hand_over::ReceivedRequests;
use crate::in_flight::InFlight;
use crate::isolation::Isolation;
use crate::metrics::Metrics;
use crate::metrics::RequestMetrics;
use crate::ops::serve_ops;
use crate::reclaim::TransferEstimator;
use crate::routing_table::RoutingTable;
use crate::rpc_server::serve_rpc;
use crate::serve;

/// Maximum time for which a stop waits for background tasks.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Time reserved at the end of the drain period for handing over requests in progress.
const HANDOVER_MARGIN: Duration = Duration::from_secs(5);

/// State of a gate; shared by its subsystems.
#[derive(Debug)]
pub struct Gate {
    /// Clock, events and tasks of the process.
    pub kernel: Arc<Kernel>,
    pub(crate) settings: GateSettings,
    pub(crate) addrs: GateAddrs,
    pub(crate) http: HttpClient,
    pub(crate) deferred: DeferredRuns,
    pub(crate) in_flight: InFlight,
    /// Facts to report to the controller.
    pub(crate) reports: Reports,
    pub(crate) at_most_once: AtMostOnce,
    /// RPC clients for other processes, by address.
    pub(crate) rpc: RpcClients,
    pub(crate) table: watch::Sender<Option<Arc<RoutingTable>>>,
    pub(crate) key: SharedKey,
    pub(crate) budget: RetryBudget,
    pub(crate) admission: Admission,
    pub(crate) limits: EndpointLimits,
    pub(crate) counters: GateCounters,
    pub(crate) metrics: Metrics,
    pub(crate) request_metrics: RequestMetrics,
    pub(crate) crashes: CrashTracker,
    pub(crate) evidence: EvidenceRecorder,
    pub(crate) received_requests: ReceivedRequests,
    /// Tracks whether the gate can still receive new configurations.
    pub(crate) isolation: Isolation,
    pub(crate) transfers: TransferEstimator,
    /// Time by which the gate must have handed over its requests, once its VM has a reclaim notice
    /// or a graceful shutdown has used up its drain period.
    pub(crate) leave_deadline: watch::Sender<Option<Timestamp>>,
    draining: watch::Sender<bool>,
    status_changes: watch::Sender<u64>,
    drained: watch::Sender<bool>,
}

/// Listening addresses of a gate.
#[derive(Clone, Copy, Debug)]
pub struct GateAddrs {
    /// HTTP port for callers.
    pub callers: SocketAddr,
    /// RPC port for other gates.
    pub rpc: SocketAddr,
    /// Port for health, readiness and metrics.
    pub ops: SocketAddr,
}

impl Gate {
    /// Starts a gate and returns once its ports are open.
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
            callers: bound_addr(&callers)?,
            rpc: bound_addr(&rpc)?,
            ops: bound_addr(&ops)?,
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
            deferred: DeferredRuns::default(),
            in_flight: InFlight::default(),
            reports,
            at_most_once: AtMostOnce::default(),
            rpc: RpcClients::new(key.clone()),
            table: watch::Sender::new(None),
            key: key.clone(),
            budget: RetryBudget::default(),
            admission: Admission::default(),
            limits: EndpointLimits::new(routing.limit, routing.concurrency),
            counters: GateCounters::default(),
            request_metrics: RequestMetrics::new(&metrics),
            metrics,
            crashes: CrashTracker::default(),
            received_requests: ReceivedRequests::default(),
            isolation: Isolation::default(),
            transfers: TransferEstimator::default(),
            leave_deadline: watch::Sender::new(None),
            draining: watch::Sender::new(false),
            status_changes: watch::Sender::new(0),
            drained: watch::Sender::new(false),
        });
        for plugin in plugins() {
            (plugin.start)(&gate)?;
        }
        gate.serve_rpc(rpc, key)?;
        gate.serve_callers(callers);
        serve_ops(&gate.kernel, ops, Arc::clone(&gate));
        Ok(gate)
    }

    /// Returns the addresses that the listeners are bound to.
    pub fn addrs(&self) -> GateAddrs {
        self.addrs
    }

    /// Returns the routing table in force, or `None` before the first one has been received.
    pub fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.borrow().clone()
    }

    /// Returns a receiver that is notified of new routing tables.
    pub fn subscribe_table(&self) -> watch::Receiver<Option<Arc<RoutingTable>>> {
        self.table.subscribe()
    }

    /// Returns a snapshot of the counters.
    pub fn counts(&self) -> GateCounts {
        self.counters.read()
    }

    /// Returns the digests of requests that crashed an endpoint since the last call, and clears
    /// them.
    pub fn take_crashes(&self) -> Vec<u64> {
        self.crashes.take_unreported()
    }

    /// Returns the request outcomes recorded since the last call, and clears them.
    pub fn take_evidence(&self) -> Vec<EvidenceRow> {
        self.evidence.take_rows()
    }

    /// Returns a receiver that is notified when the gate's status for its controller changes.
    pub fn subscribe_status(&self) -> watch::Receiver<u64> {
        self.status_changes.subscribe()
    }

    /// Stops the gate gracefully.
    ///
    /// Notifies the controller and keeps serving for the linger period, because callers may not
    /// know of the stop yet. Then accepts no new connections and finishes the requests in
    /// progress. Requests that would not finish within the drain period are handed over to other
    /// gates. Finally waits until the at-most-once calls have ended and their records are in the
    /// log or at another gate, and stops the background tasks.
    pub async fn stop(&self) {
        self.draining.send_replace(true);
        self.notify_status_changed();
        tokio::time::sleep(self.settings.limits.linger).await;
        self.kernel.stopping.cancel();
        let drain = self.settings.limits.drain;
        let grace = drain.saturating_sub(HANDOVER_MARGIN);
        let mut drained = self.drained.subscribe();
        let done = tokio::time::timeout(grace, drained.wait_for(|done| *done)).await;
        if done.is_err() {
            self.leave(self.kernel.clock.now());
        }
        let mut drained = self.drained.subscribe();
        let _ = drained.wait_for(|done| *done).await;
        at_most_once::drain(self, self.settings.limits.drain).await;
        self.kernel.stop(STOP_TIMEOUT).await;
    }

    /// Returns the gate's status as reported to its controller.
    pub(crate) fn info(&self) -> GateInfo {
        GateInfo {
            callers: self.settings.advertise.unwrap_or(self.addrs.callers),
            rpc: self.settings.rpc_advertise.unwrap_or(self.addrs.rpc),
            accepting: !self.is_draining() && self.leave_deadline.borrow().is_none(),
            load: self.in_flight.load_permille(self.settings.limits.requests),
        }
    }

    /// Stops accepting new requests and hands over those in progress before `deadline`.
    pub(crate) fn leave(&self, deadline: Timestamp) {
        self.kernel
            .events
            .record("gate.leaving", &[("deadline", &deadline.0)]);
        self.leave_deadline.send_replace(Some(deadline));
        self.notify_status_changed();
    }

    /// Updates the endpoint's concurrency limit with the time to the first byte of a response.
    pub(crate) fn record_first_byte(
        &self,
        endpoint: &EndpointName,
        call: &Call,
        first_byte: Duration,
    ) {
        let running = self.in_flight.count(endpoint);
        let target = call.service.target;
        self.limits.update(endpoint, |limit| {
            limit.record_response(Instant::now(), running, first_byte, target);
        });
    }

    /// Returns `true` once a graceful shutdown has begun.
    pub(crate) fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Returns the time at which the endpoint's VM is reclaimed, if notice has been received.
    pub(crate) fn reclaim_deadline(&self, endpoint: &Endpoint) -> Option<Timestamp> {
        let table = self.table.borrow();
        table.as_ref()?.live.leaving.get(&endpoint.vm).copied()
    }

    fn notify_status_changed(&self) {
        self.status_changes.send_modify(|count| *count += 1);
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
                gate_http::handle_request(Arc::clone(&handler), request)
            })
            .await;
            let _ = gate.drained.send_replace(true);
        });
    }
}

fn plugins() -> Vec<&'static GatePlugin> {
    let mut plugins: Vec<_> = inventory::iter::<GatePlugin>.into_iter().collect();
    plugins.sort_by_key(|p| (p.stage, p.name));
    plugins
}
