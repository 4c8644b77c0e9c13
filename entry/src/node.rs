//! Shared state of an entry's process, in shards with a lock each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::BootTime;
use crate::Config;
use crate::CrashRecord;
use crate::DomainName;
use crate::EndpointShare;
use crate::EndpointTable;
use crate::EntryName;
use crate::EntryState;
use crate::ExposureBounds;
use crate::LeaseState;
use crate::Members;
use crate::Metrics;
use crate::Pace;
use crate::QuotaLedger;
use crate::RetryBounds;
use crate::RetryBudget;
use crate::Rollout;
use crate::RolloutOrder;
use crate::Rollouts;
use crate::ServiceName;
use crate::StateAge;
use crate::TrialEvidence;
use crate::TrueTime;
use crate::Usage;
use crate::WindowIndex;
use crate::refresh_interval;
use crate::wall_millis;

/// Requests that crashed endpoints of which peers are told.
const SHARED_CRASHES: usize = 8;

/// Usage windows of which peers are told beyond those that are not reported yet.
const SHARED_WINDOWS: u64 = 2;

/// Refresh interval while requests on old versions are waited for.
const URGENT_REFRESH: Duration = Duration::from_millis(50);

/// What an entry is told at its start.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the entry.
    pub name: EntryName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for callers.
    pub front_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Addresses of peers at which to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Bounds of the retry budget.
    pub retry: RetryBounds,
    /// Time that a stopping process is given.
    pub grace: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after its end at which a window's usage is due.
    pub usage_due: Duration,
    /// Time for which an endpoint that leaves still serves.
    pub drain: Duration,
    /// Bounds of the requests that a bad version may get.
    pub exposure: ExposureBounds,
    /// Whether usage is reported.
    pub reports_usage: bool,
    /// Whether endpoints are ordered.
    pub orders_endpoints: bool,
}

/// Shared state of an entry.
#[derive(Debug)]
pub struct Node {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// Endpoints of all services.
    pub endpoints: Mutex<EndpointTable>,
    /// Quotas of customers.
    pub quotas: Mutex<QuotaLedger>,
    /// Budget of repeats.
    pub retries: Mutex<RetryBudget>,
    /// Rollouts of versions.
    pub rollouts: Mutex<Rollouts>,
    /// Requests that crash endpoints.
    pub crashes: Mutex<CrashRecord>,
    /// Requests that began to run here.
    pub usage: Mutex<Usage>,
    /// How long the requests of each service take.
    pub paces: Mutex<IndexMap<ServiceName, Pace>>,
    /// Prompt tokens that endpoints had to read since the start, by service.
    pub prefilled: Mutex<IndexMap<ServiceName, u64>>,
    /// Clock of day.
    pub time: Mutex<TrueTime>,
    /// Other entries.
    pub members: Mutex<Members>,
    /// Lease for duties.
    pub lease: Mutex<LeaseState>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Wakes requests that wait for a place.
    pub freed: Notify,
    /// Wakes gossip when peers are to learn something at once.
    pub urgent: Notify,
    /// Wakes tasks that wait for another configuration.
    pub config_changed: Notify,
    /// Cancelled when the process starts its graceful shutdown.
    pub stopping: CancellationToken,
    stop_begun: OnceLock<Instant>,
    config: RwLock<Option<Arc<Config>>>,
    /// State that peers are told, and when it was made.
    told: Mutex<Option<(Instant, EntryState)>>,
    incarnation: u64,
    sequence: AtomicU64,
    in_flight: AtomicU64,
}

impl Node {
    /// Creates the state of a process that knows nothing yet.
    pub fn new(settings: EntrySettings, metrics: Metrics) -> Arc<Self> {
        let node = Self {
            endpoints: Mutex::default(),
            quotas: Mutex::new(QuotaLedger::new(settings.first_start)),
            retries: Mutex::new(RetryBudget::new(settings.retry)),
            rollouts: Mutex::default(),
            crashes: Mutex::default(),
            usage: Mutex::default(),
            paces: Mutex::default(),
            prefilled: Mutex::default(),
            time: Mutex::default(),
            members: Mutex::default(),
            lease: Mutex::default(),
            metrics,
            freed: Notify::new(),
            urgent: Notify::new(),
            config_changed: Notify::new(),
            stopping: CancellationToken::new(),
            stop_begun: OnceLock::new(),
            config: RwLock::new(None),
            told: Mutex::default(),
            incarnation: wall_millis(),
            sequence: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
            settings,
        };
        let node = Arc::new(node);
        node.note_own_clock();
        node
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.read().clone()
    }

    /// Puts a configuration into force unless one as new is in force; tells whether it did.
    pub fn apply_config(&self, config: Config, source: &'static str) -> bool {
        let mut current = self.config.write();
        let old = current.as_ref().map(|c| c.version);
        if old.is_some_and(|v| v >= config.version) {
            return false;
        }
        tracing::info!(
            event = "config",
            old,
            version = config.version,
            source,
            "configuration in force"
        );
        let customers = config.customers.iter().map(|c| (&c.name, c.quota));
        self.quotas.lock().declare(customers, Instant::now());
        *current = Some(Arc::new(config));
        drop(current);
        self.config_changed.notify_waiters();
        true
    }

    /// Takes over an operator's order to roll a version out.
    pub fn note_rollout(&self, order: RolloutOrder) {
        let rollout = Rollout {
            order,
            seen_ms: self.true_millis(),
            stage: None,
        };
        if self.rollouts.lock().merge(&rollout) {
            let order = rollout.order;
            tracing::info!(
                event = "rollout_ordered",
                id = order.id,
                service = %order.service,
                target = %order.target,
                within_ms = crate::millis(order.within),
            );
        }
    }

    /// Tells whether requests can be taken.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled()
            && self.config.read().is_some()
            && self.endpoints.lock().is_loaded()
    }

    /// Starts the graceful shutdown.
    pub fn begin_stop(&self) {
        self.stop_begun.get_or_init(Instant::now);
        self.stopping.cancel();
    }

    /// Tells whether a caller's connection is to be closed after an answer.
    ///
    /// What follows a chunked body may have been read as another request by someone before.
    pub fn closes_after(&self, is_chunked: bool) -> bool {
        is_chunked || self.stopping.is_cancelled()
    }

    /// Returns the start of the graceful shutdown, if it has begun.
    pub fn stopping_since(&self) -> Option<Instant> {
        self.stop_begun.get().copied()
    }

    /// Returns the addresses of entries that take callers, at most `most`.
    pub fn caller_addresses(&self, now: Instant, most: usize) -> Vec<SocketAddr> {
        let members = self.members.lock();
        let peers = members.live(now).filter(|p| p.state.ready);
        let peers = peers.map(|p| p.state.front_address);
        let own = self.is_ready().then_some(self.settings.front_address);
        own.into_iter().chain(peers).take(most).collect()
    }

    /// Returns the start of the process, in milliseconds.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the number of entries that share budgets, with this one.
    pub fn entry_count(&self) -> usize {
        self.members.lock().iter().count() + 1
    }

    /// Notes the VM's own clock of day.
    pub fn note_own_clock(&self) {
        let steady = BootTime::now().millis();
        self.time.lock().note_own(wall_millis(), steady);
    }

    /// Returns true time in milliseconds since 1970.
    pub fn true_millis(&self) -> u64 {
        self.time.lock().at(BootTime::now().millis())
    }

    /// Returns the usage window of this moment.
    pub fn usage_window(&self) -> WindowIndex {
        let length = crate::millis(self.settings.usage_window).max(1);
        WindowIndex(self.true_millis() / length)
    }

    /// Counts a request that is in progress until the guard is dropped.
    pub fn track(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight {
            node: Arc::clone(self),
        }
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns what this entry says of itself, made anew once a refresh interval.
    pub fn own_state(&self) -> EntryState {
        let now = Instant::now();
        let interval = if self.rollouts.lock().is_ending() {
            URGENT_REFRESH
        } else {
            refresh_interval(self.entry_count())
        };
        let mut told = self.told.lock();
        match &*told {
            Some((at, state))
                if now.duration_since(*at) < interval && state.ready == self.is_ready() =>
            {
                state.clone()
            }
            _ => {
                let state = self.make_state();
                *told = Some((now, state.clone()));
                state
            }
        }
    }

    /// Has the state made anew that peers are told next.
    pub fn renew_state(&self) {
        *self.told.lock() = None;
    }

    fn make_state(&self) -> EntryState {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let settings = &self.settings;
        let (shares, leaving) = self.own_endpoints();
        let (rollouts, evidence) = self.own_rollouts();
        EntryState {
            name: settings.name.clone(),
            age: StateAge {
                incarnation: self.incarnation,
                sequence,
            },
            peer_address: settings.peer_address,
            front_address: settings.front_address,
            domain: settings.domain.clone(),
            ready: self.is_ready(),
            config: self.config().map_or(0, |c| c.version),
            lease: self.lease.lock().view(),
            shares,
            admitted: self.quotas.lock().own_totals(),
            prefilled: self.prefilled.lock().clone(),
            usage: self.usage.lock().newest(self.shared_windows()),
            crashes: self.crashes.lock().to_share(SHARED_CRASHES),
            rollouts,
            evidence,
            leaving,
            dropped: self.endpoints.lock().dropped(Instant::now()),
        }
    }

    /// Returns the number of usage windows that a holder may still report.
    fn shared_windows(&self) -> usize {
        let settle = crate::millis(self.settings.usage_due / 2);
        let open = settle.div_ceil(crate::millis(self.settings.usage_window).max(1));
        usize::try_from(open + SHARED_WINDOWS).unwrap_or(usize::MAX)
    }

    fn own_rollouts(&self) -> (Vec<Rollout>, IndexMap<ServiceName, TrialEvidence>) {
        let rollouts = self.rollouts.lock();
        (rollouts.iter().cloned().collect(), rollouts.evidence())
    }

    fn own_endpoints(&self) -> (Vec<EndpointShare>, Vec<crate::EndpointId>) {
        let endpoints = self.endpoints.lock();
        let mut shares = Vec::new();
        let mut leaving = Vec::new();
        for (_, endpoint) in endpoints.iter() {
            let load = &endpoint.load;
            if load.own_running() > 0 {
                shares.push(EndpointShare {
                    id: endpoint.entry.id.clone(),
                    running: load.own_running(),
                    tokens: load.own_tokens(),
                    once: load.own_once(),
                });
            }
            if endpoint.leaving {
                leaving.push(endpoint.entry.id.clone());
            }
        }
        (shares, leaving)
    }
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    node: Arc<Node>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
