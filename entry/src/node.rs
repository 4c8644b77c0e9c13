//! Shared state of an entry process, in parts with a lock each.

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
use crate::BufferBudget;
use crate::Call;
use crate::Config;
use crate::CrashTracker;
use crate::DurationEstimator;
use crate::EndpointId;
use crate::EndpointTable;
use crate::EntryName;
use crate::EntrySettings;
use crate::EntryState;
use crate::Feed;
use crate::FeedCursor;
use crate::Fingerprint;
use crate::ForwardClient;
use crate::LeaseState;
use crate::LimitTable;
use crate::MedianClock;
use crate::Members;
use crate::Metrics;
use crate::PartCrashTracker;
use crate::PeerClient;
use crate::PermitLedger;
use crate::QuotaLedger;
use crate::Reach;
use crate::ReadProgress;
use crate::RequestBudgets;
use crate::RetryBudget;
use crate::Rollout;
use crate::RolloutOrder;
use crate::Rollouts;
use crate::Route;
use crate::SendEnd;
use crate::ServiceName;
use crate::Usage;
use crate::WindowIndex;
use crate::crashes::part_evidence::Suspicion;
use crate::feeds::feed_news::ToldFeed;
use crate::feeds::feed_state::FeedState;
use crate::feeds::list_copy::GivenCopies;
use crate::feeds::list_start::ListStart;
use crate::feeds::list_supply::ListRelay;
use crate::limits::brittle::BrittleLedger;
use crate::peers::contact::Contact;
use crate::peers::owner::SilentPeers;
use crate::quota::copies::QuotaCopies;
use crate::wall_millis;

/// Shared state of an entry.
#[derive(Debug)]
pub struct Node {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// Endpoints of all services.
    pub endpoints: Mutex<EndpointTable>,
    /// What is known of the endpoint list.
    list: FeedState,
    /// What is known of the operators' orders.
    orders: FeedState,
    /// Where this entry gets the endpoint list after its start.
    pub list_start: ListStart,
    /// Relay of the endpoint list.
    pub(crate) list_relay: ListRelay,
    /// Copies of the endpoint list that this entry has given to peers.
    pub(crate) given_copies: GivenCopies,
    /// Quotas of customers.
    pub quotas: Mutex<QuotaLedger>,
    /// Copies of the quotas that this entry owns, for the entries that take over.
    pub(crate) quota_copies: QuotaCopies,
    /// Rate limits that endpoints have stated.
    pub limits: Mutex<LimitTable>,
    /// Permits for endpoints whose limits this entry owns.
    pub permits: Mutex<PermitLedger>,
    /// Requests at the brittle endpoints whose limits this entry owns.
    pub(crate) brittle: Mutex<BrittleLedger>,
    /// Ends of requests at brittle endpoints that the owners of the limits have not been told yet.
    pub(crate) unreported_ends: Mutex<Vec<SendEnd>>,
    /// Wakes the task that reports them.
    pub(crate) end_added: Notify,
    /// Whether this entry reaches endpoints.
    pub reach: Mutex<Reach>,
    /// Retry budget by service.
    pub retries: Mutex<RetryBudget>,
    /// Rollouts of versions.
    pub rollouts: Mutex<Rollouts>,
    /// Requests that have crashed endpoints.
    pub crashes: Mutex<CrashTracker>,
    /// Prompt parts that crash endpoints.
    pub part_crashes: Mutex<PartCrashTracker>,
    /// Requests of this entry that endpoints responded to, by usage window and customer.
    pub usage: Mutex<Usage>,
    /// Estimators of request durations by service.
    pub durations: Mutex<IndexMap<ServiceName, DurationEstimator>>,
    /// Prompt tokens that endpoints had to prefill since the start, by service.
    pub prefilled: Mutex<IndexMap<ServiceName, u64>>,
    /// Estimate of synchronized time from the clocks of all entries.
    pub clock: Mutex<MedianClock>,
    /// States of the other entries.
    pub members: Mutex<Members>,
    /// Lease that decides which entry carries out the duties.
    pub lease: Mutex<LeaseState>,
    /// Memory for what endpoints, peers and the platform send.
    pub buffers: Arc<BufferBudget>,
    /// Memory and connections for requests.
    pub request_budgets: RequestBudgets,
    /// Client for calls to peers.
    pub peers: PeerClient,
    /// Client for the requests that are forwarded to peers.
    pub forwards: ForwardClient,
    /// Owners of quotas and limits that did not answer lately.
    pub(crate) silent_owners: Mutex<SilentPeers>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Wakes requests that wait for a free slot.
    pub slot_freed: Notify,
    /// Starts an immediate gossip exchange after an urgent change.
    pub gossip_now: Notify,
    /// Wakes the task that announces to peers what endpoints have said.
    pub(crate) news_added: Notify,
    /// Endpoints that leave, with their incarnation, which peers have not been told yet.
    pub(crate) unannounced_leaving: Mutex<IndexMap<EndpointId, u64>>,
    /// Whether peers have not been told of the newest change of the evacuated domains.
    pub(crate) is_evacuation_unannounced: Mutex<bool>,
    /// Wakes tasks that wait for a new configuration.
    pub config_changed: Notify,
    /// Cancelled when graceful shutdown starts.
    pub stopping: CancellationToken,
    /// Cancelled when graceful shutdown no longer waits for requests without a response.
    pub(crate) ending: CancellationToken,
    shutdown_started: OnceLock<Instant>,
    config: RwLock<Option<Arc<Config>>>,
    /// State that is sent to peers, with the time it was built.
    pub(crate) cached_state: Mutex<Option<(Instant, EntryState)>>,
    /// Contact with peers.
    pub(crate) contact: Mutex<Contact>,
    incarnation: u64,
    pub(crate) sequence: AtomicU64,
    in_flight: AtomicU64,
}

impl Node {
    /// Creates a node without configuration, endpoints or peers.
    pub fn new(settings: EntrySettings, metrics: Metrics) -> Arc<Self> {
        let buffers = Arc::new(BufferBudget::default());
        let node = Self {
            endpoints: Mutex::default(),
            list: FeedState::default(),
            orders: FeedState::default(),
            list_start: ListStart::default(),
            list_relay: ListRelay::default(),
            given_copies: GivenCopies::default(),
            quotas: Mutex::new(QuotaLedger::new(settings.first_start)),
            quota_copies: QuotaCopies::default(),
            limits: Mutex::default(),
            permits: Mutex::default(),
            brittle: Mutex::default(),
            unreported_ends: Mutex::default(),
            end_added: Notify::new(),
            reach: Mutex::default(),
            retries: Mutex::new(RetryBudget::new(settings.retry)),
            rollouts: Mutex::default(),
            crashes: Mutex::default(),
            part_crashes: Mutex::default(),
            usage: Mutex::default(),
            durations: Mutex::default(),
            prefilled: Mutex::default(),
            clock: Mutex::default(),
            members: Mutex::default(),
            lease: Mutex::default(),
            peers: PeerClient::new(&buffers),
            forwards: ForwardClient::new(&buffers),
            buffers,
            silent_owners: Mutex::default(),
            request_budgets: RequestBudgets::new(settings.resources, &metrics),
            metrics,
            slot_freed: Notify::new(),
            gossip_now: Notify::new(),
            news_added: Notify::new(),
            unannounced_leaving: Mutex::default(),
            is_evacuation_unannounced: Mutex::default(),
            config_changed: Notify::new(),
            stopping: CancellationToken::new(),
            ending: CancellationToken::new(),
            shutdown_started: OnceLock::new(),
            config: RwLock::new(None),
            cached_state: Mutex::default(),
            contact: Mutex::new(Contact::new(Instant::now())),
            incarnation: wall_millis(),
            sequence: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
            settings,
        };
        let node = Arc::new(node);
        node.record_own_clock();
        node
    }

    const fn feed(&self, feed: Feed) -> &FeedState {
        match feed {
            Feed::Orders => &self.orders,
            Feed::Endpoints => &self.list,
        }
    }

    /// Returns how much of a feed is known.
    pub(crate) fn cursor(&self, feed: Feed) -> &Mutex<FeedCursor> {
        &self.feed(feed).cursor
    }

    /// Returns what peers have told of a feed.
    pub(crate) fn told(&self, feed: Feed) -> &ToldFeed {
        &self.feed(feed).told
    }

    /// Returns when something of a feed was last received.
    pub(crate) fn progress(&self, feed: Feed) -> &ReadProgress {
        &self.feed(feed).progress
    }

    /// Returns the active configuration, if one is known.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.read().clone()
    }

    /// Returns the version of the active configuration; 0 if none is known.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.read().as_ref().map_or(0, |c| c.version)
    }

    /// Activates a configuration if it is newer than the active one; returns whether it was.
    pub fn apply_config(&self, config: Config, source: &'static str) -> bool {
        let mut current = self.config.write();
        let old = current.as_ref().map(|c| c.version);
        if old.is_some_and(|v| v >= config.version) {
            return false;
        }
        let orders_age = self.cursor(Feed::Orders).lock().age(Instant::now());
        let orders_age_ms = orders_age.map(crate::millis);
        tracing::info!(
            event = "config",
            old,
            version = config.version,
            source,
            orders_age_ms,
            "configuration activated"
        );
        let customers = config.customers.iter().map(|c| (&c.name, c.quota));
        self.quotas.lock().create_buckets(customers, Instant::now());
        let mut endpoints = self.endpoints.lock();
        endpoints.apply_warm_ups(&config, self.incarnation, Instant::now());
        drop(endpoints);
        *current = Some(Arc::new(config));
        drop(current);
        self.config_changed.notify_waiters();
        true
    }

    /// Merges an operator's order to roll out a version.
    pub fn apply_rollout_order(&self, order: RolloutOrder) {
        let rollout = Rollout {
            order,
            seen_ms: self.synchronized_millis(),
            stage: None,
        };
        if self.merge_rollout(&rollout) {
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

    /// Returns whether the entry has a configuration and the endpoint list and is not shutting down.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled()
            && self.config.read().is_some()
            && self.endpoints.lock().is_loaded()
    }

    /// Starts graceful shutdown; later calls have no effect.
    pub fn begin_shutdown(&self) {
        self.shutdown_started.get_or_init(Instant::now);
        self.stopping.cancel();
    }

    /// Returns whether to close a caller's connection after a response.
    /// A chunked request always closes it: an intermediary may have read the bytes after the body as a
    /// separate request (request smuggling).
    pub fn should_close(&self, is_chunked: bool) -> bool {
        is_chunked || self.stopping.is_cancelled()
    }

    /// Returns when graceful shutdown started.
    pub fn shutdown_started(&self) -> Option<Instant> {
        self.shutdown_started.get().copied()
    }

    /// Returns whether this entry reaches endpoints, as far as it knows.
    pub fn reaches_endpoints(&self) -> bool {
        self.reach.lock().cut_since().is_none()
    }

    /// Returns the start of the process, in milliseconds since the Unix epoch.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the number of known entries that share budgets, including this one.
    pub fn entry_count(&self) -> usize {
        self.members.lock().iter().count() + 1
    }

    /// Records the VM's wall-clock time for the estimate of synchronized time.
    pub fn record_own_clock(&self) {
        let monotonic_ms = BootTime::now().millis();
        self.clock.lock().record_own(wall_millis(), monotonic_ms);
    }

    /// Returns the estimated synchronized time, in milliseconds since the Unix epoch.
    pub fn synchronized_millis(&self) -> u64 {
        self.clock.lock().wall_ms_at(BootTime::now().millis())
    }

    /// Returns the current usage window.
    pub fn usage_window(&self) -> WindowIndex {
        let length = crate::millis(self.settings.usage_window).max(1);
        WindowIndex(self.synchronized_millis() / length)
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            node: Arc::clone(self),
        }
    }

    /// Returns a duration within which a request of a route most likely ends, at whichever of the
    /// route's services takes longest.
    pub(crate) fn expected_duration(&self, route: &Route, call: &Call) -> Duration {
        let tokens = call.prompt.as_ref().map(|p| p.max_output);
        let durations = self.durations.lock();
        let branches = route.branches.iter().filter(|b| b.weight > 0);
        let bounds = branches.map(|branch| {
            let estimator = durations.get(&branch.service);
            estimator.map_or_else(
                || DurationEstimator::default().upper_bound(&route.name, tokens),
                |e| e.upper_bound(&route.name, tokens),
            )
        });
        bounds.max().unwrap_or_default()
    }

    /// Returns how sure it is that a request, by its fingerprint or by a part of its prompt,
    /// crashes the endpoint that runs it; `None` if it is not expected to.
    pub(crate) fn crash_suspicion(
        &self,
        fingerprint: Fingerprint,
        call: &Call,
    ) -> Option<Suspicion> {
        let now = Instant::now();
        if self.crashes.lock().is_crashing(fingerprint, now) {
            return Some(Suspicion::Certain);
        }
        let parts = call.shared_parts();
        let tracker = self.part_crashes.lock();
        tracker.suspicion(&parts, now)
    }

    /// Logs prompt parts that have become suspected of crashing endpoints, and tells peers at once.
    pub(crate) fn announce_crashing_parts(&self, peer: Option<&EntryName>) {
        let parts = self.part_crashes.lock().take_new_culprits(Instant::now());
        for part in &parts {
            let peer = peer.map(EntryName::as_str);
            tracing::info!(event = "part_crashing", %part, peer);
        }
        if !parts.is_empty() {
            self.gossip_now.notify_one();
        }
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Guard that counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    node: Arc<Node>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
