//! Rate limits that endpoints state, over whole systems of entries in simulated time.

mod testutils;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthornrack_entry::EndpointId;
use hawthornrack_entry::EntrySettings;
use hawthornrack_entry::GossipRequest;
use hawthornrack_entry::LimitNotice;
use hawthornrack_entry::Metrics;
use hawthornrack_entry::Node;
use hawthornrack_entry::Permit;
use hawthornrack_entry::PermitRequest;
use hawthornrack_entry::RateLimit;
use hawthornrack_entry::RouteKind;
use hawthornrack_entry::acquire_permit;
use hawthornrack_entry::apply_limit_reports;
use hawthornrack_entry::apply_reply;
use hawthornrack_entry::decide_permit;
use hawthornrack_entry::handle_exchange;
use hawthornrack_entry::refresh_interval;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::metrics::noop::NoopMeterProvider;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rstest::rstest;
use testutils::config;
use testutils::endpoint;
use tokio::time::Instant;

/// Length of a step of a simulation.
const STEP: Duration = Duration::from_millis(20);

/// Time after which a limit binds the entries that have heard of it.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Time after a restart, a freeze or a cut for which an entry's requests do not count.
const EXCUSE_TIME: Duration = Duration::from_secs(3);

/// Time for which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Number of random peers that an entry tells of a change.
const FAN_OUT: usize = 4;

/// A simulated entry.
struct SimEntry {
    node: Arc<Node>,
    /// Whether the entry runs, that is, is neither frozen nor gone.
    is_running: bool,
    /// Entries reach those with the same side only.
    side: u8,
    next_round: Instant,
    excused_until: Option<Instant>,
}

/// A request that reached the endpoint.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Instant,
    is_excused: bool,
}

/// A system of entries in front of one endpoint.
struct Sim {
    endpoint: EndpointId,
    entries: Vec<SimEntry>,
    rng: SmallRng,
    /// Limit that the endpoint states.
    limit: Option<f64>,
    /// Requests per second of all callers.
    demand: f64,
    arrivals: Vec<Arrival>,
    started: u16,
}

impl Sim {
    fn new(endpoint: &str, entries: u16, demand: f64, seed: u64) -> Self {
        let mut sim = Self {
            endpoint: EndpointId::from(endpoint),
            entries: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            limit: None,
            demand,
            arrivals: Vec::new(),
            started: 0,
        };
        for _ in 0..entries {
            sim.start_entry();
        }
        sim
    }

    /// Starts an entry that knows one other entry, as found through the store.
    fn start_entry(&mut self) {
        let number = self.started;
        self.started += 1;
        let [high, low] = number.to_be_bytes();
        let settings = EntrySettings {
            peer_address: SocketAddr::from((Ipv4Addr::new(127, 1, high, low), 1)),
            ..testutils::settings(&format!("entry-{number}"))
        };
        let metrics = Metrics::new(&NoopMeterProvider::new().meter("test"));
        let node = Node::new(settings, metrics);
        let now = Instant::now();
        node.endpoints
            .lock()
            .replace(vec![endpoint(self.endpoint.as_str())], now);
        assert!(node.apply_config(config(RouteKind::Idempotent), "test"));
        self.entries.push(SimEntry {
            node,
            is_running: true,
            side: 0,
            next_round: now,
            excused_until: None,
        });
        let own = self.entries.len() - 1;
        let running = (0..own).filter(|other| self.entries[*other].is_running);
        if let Some(other) = running.choose(&mut self.rng) {
            self.exchange(own, other);
        }
    }

    /// Runs for a time.
    async fn run(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.run_gossip();
            self.announce_changes();
            self.send_requests().await;
            tokio::time::advance(STEP).await;
        }
    }

    /// Runs until all entries know each other.
    async fn settle(&mut self) {
        let demand = std::mem::take(&mut self.demand);
        let refresh = refresh_interval(self.entries.len());
        self.run(Duration::from_secs(4) + refresh * 2).await;
        self.demand = demand;
    }

    fn run_gossip(&mut self) {
        let now = Instant::now();
        let interval = Duration::from_millis(5) * u32::from(self.started);
        let interval = interval.clamp(Duration::from_millis(300), Duration::from_secs(1));
        for own in 0..self.entries.len() {
            if !self.entries[own].is_running || now < self.entries[own].next_round {
                continue;
            }
            self.entries[own].next_round = now + interval.mul_f64(self.rng.random_range(0.8..1.2));
            if let Some(other) = self.random_peers(own, 1).first().copied() {
                self.exchange(own, other);
            }
        }
    }

    /// Draws peers that an entry takes for live, now and then any; returns those that it reaches.
    fn random_peers(&mut self, own: usize, count: usize) -> Vec<usize> {
        let now = Instant::now();
        let node = Arc::clone(&self.entries[own].node);
        let members = node.members.lock();
        let is_any = self.rng.random_bool(0.15) || members.live(now).count() == 0;
        let known: Vec<SocketAddr> = if is_any {
            members.iter().map(|p| p.state.peer_address).collect()
        } else {
            members.live(now).map(|p| p.state.peer_address).collect()
        };
        let drawn = known.into_iter().choose_multiple(&mut self.rng, count);
        let drawn = drawn.into_iter().map(|address| self.entry_at(address));
        drawn.filter(|other| self.reaches(own, *other)).collect()
    }

    fn entry_at(&self, address: SocketAddr) -> usize {
        let mut entries = self.entries.iter();
        let found = entries.position(|e| e.node.settings.peer_address == address);
        found.unwrap()
    }

    fn reaches(&self, own: usize, other: usize) -> bool {
        let (own, other) = (&self.entries[own], &self.entries[other]);
        own.is_running && other.is_running && own.side == other.side
    }

    fn exchange(&self, own: usize, other: usize) {
        let node = &self.entries[own].node;
        let request = GossipRequest {
            own: node.own_state(),
            digest: node.members.lock().digest(),
            has_endpoints: true,
        };
        apply_reply(node, handle_exchange(&self.entries[other].node, request));
    }

    fn announce_changes(&mut self) {
        for own in 0..self.entries.len() {
            let reports = self.entries[own]
                .node
                .limits
                .lock()
                .take_announcements(Instant::now());
            if reports.is_empty() {
                continue;
            }
            for peer in self.random_peers(own, FAN_OUT) {
                apply_limit_reports(&self.entries[peer].node, &reports, None);
            }
        }
    }

    async fn send_requests(&mut self) {
        let mut expected = self.demand * STEP.as_secs_f64();
        while expected > 0.0 {
            if self.rng.random_bool(expected.min(1.0)) {
                self.send_request().await;
            }
            expected -= 1.0;
        }
    }

    /// Sends a request through a random entry, if it gets a permit.
    async fn send_request(&mut self) {
        let now = Instant::now();
        let running = (0..self.entries.len()).filter(|e| self.entries[*e].is_running);
        let own = running.choose(&mut self.rng).unwrap();
        let node = Arc::clone(&self.entries[own].node);
        let id = self.endpoint.clone();
        let hold = node
            .endpoints
            .lock()
            .by_id_mut(&id)
            .unwrap()
            .load
            .hold_left(now);
        if !hold.is_zero() {
            return;
        }
        let ask = async |address, request| {
            let owner = self.entry_at(address);
            let is_reached = self.reaches(own, owner);
            is_reached.then(|| decide_permit(&self.entries[owner].node, &request))
        };
        match acquire_permit(&node, &id, 1, ask).await {
            Permit::After(wait) => {
                let mut endpoints = node.endpoints.lock();
                endpoints.by_id_mut(&id).unwrap().load.hold(wait, now);
            }
            Permit::Granted => self.receive(own, now),
        }
    }

    /// The endpoint receives a request and responds at once.
    fn receive(&mut self, own: usize, now: Instant) {
        let excused_until = self.entries[own].excused_until;
        self.arrivals.push(Arrival {
            at: now,
            is_excused: excused_until.is_some_and(|until| now < until),
        });
        let limit = self.limit.and_then(RateLimit::new);
        let notice = limit.map_or(LimitNotice::Unlimited, LimitNotice::Limited);
        let node = &self.entries[own].node;
        let id = self.endpoint.clone();
        let change = node.limits.lock().record_response(&id, 1, notice, now, now);
        if change.is_some() {
            node.endpoints
                .lock()
                .by_id_mut(&id)
                .unwrap()
                .load
                .end_hold();
        }
    }

    /// Excuses an entry until some time after `until`.
    fn excuse(&mut self, entry: usize, until: Instant) {
        self.entries[entry].excused_until = Some(until + EXCUSE_TIME);
    }

    /// Returns the maximum number of arrivals in a window that starts at `from` or later.
    fn max_in_window(&self, from: Instant, with_excused: bool) -> usize {
        let counted = self.arrivals.iter().filter(|a| a.at >= from);
        let counted = counted.filter(|a| with_excused || !a.is_excused);
        let times: Vec<Instant> = counted.map(|a| a.at).collect();
        let counts = times.iter().enumerate().map(|(index, start)| {
            let window = times[index..].iter();
            window.take_while(|at| **at < *start + WINDOW).count()
        });
        counts.max().unwrap_or_default()
    }

    fn count_since(&self, from: Instant) -> usize {
        self.arrivals.iter().filter(|a| a.at >= from).count()
    }
}

/// Returns an endpoint whose limit belongs to one of the first `entries` entries: the one whose name
/// has the highest hash.
fn endpoint_owned_by(owner: u16, entries: u16) -> String {
    let mut ids = (0..).map(|number| format!("e{number}"));
    ids.find(|id| {
        let seed = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
        let rank = |entry: &u16| {
            let name = format!("entry-{entry}");
            xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), seed)
        };
        (0..entries).max_by_key(rank) == Some(owner)
    })
    .unwrap()
}

/// Returns how many requests an endpoint may get in a [`WINDOW`].
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

// Guards against an endpoint in need that gets a multiple of its limit, because each of many entries
// sends a little, and against one that is hardly used because a fixed share of the limit is far below
// one request a second.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_limits_of_all_sizes_are_kept_and_used(
    #[values(6, 88, 300)] entries: u16,
    #[values(0.2, 1.0, 7.0, 60.0)] limit: f64,
) {
    let mut sim = Sim::new("e0", entries, 100.0_f64.max(limit * 3.0), 1);
    sim.settle().await;
    sim.limit = Some(limit);
    let from = Instant::now() + NOTICE_TIME;
    sim.run(NOTICE_TIME + Duration::from_secs(20)).await;
    let most = sim.max_in_window(from, true);
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
    let used = sim.count_since(from) as f64;
    assert!(used >= 0.7 * limit * 20.0 - 1.0, "{used} in 20 s");
}

// Guards against a burst of requests from entries to which the endpoint has not responded since it
// stated its limit: they learn of it from those that have heard.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_limits_are_known_to_all_entries_soon(#[values(6, 88, 300)] entries: u16) {
    let mut sim = Sim::new("e0", entries, 40.0, 4);
    sim.settle().await;
    sim.limit = Some(1.0);
    let from = Instant::now() + Duration::from_secs(1);
    sim.run(Duration::from_secs(8)).await;
    let most = sim.max_in_window(from, true);
    assert!(most <= allowed(1.0), "{most} of {}", allowed(1.0));
}

// Guards against two owners of one limit: an entry that is asked though it does not own the limit, as
// far as it knows, grants nothing.
#[tokio::test(start_paused = true)]
async fn test_limits_permits_are_granted_by_their_owner_only() {
    let endpoint = endpoint_owned_by(0, 3);
    let mut sim = Sim::new(&endpoint, 3, 10.0, 5);
    sim.settle().await;
    sim.limit = Some(100.0);
    sim.run(Duration::from_secs(2)).await;
    let id = EndpointId::from(endpoint.as_str());
    let reports = sim.entries[2].node.limits.lock().reports(Instant::now());
    let limit = reports.into_iter().find(|r| r.endpoint == id).unwrap();
    let request = PermitRequest { limit };
    let granted = |entry: usize| {
        decide_permit(&sim.entries[entry].node, &request)
            .wait_ms
            .is_none()
    };
    for _ in 0..3 {
        tokio::time::advance(Duration::from_secs(1)).await;
        assert!(granted(0));
        assert!(!granted(1));
    }
}

/// What happens to entries while an endpoint states a limit.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    /// A tenth of the entries starts in addition, one after the other.
    Start,
    /// A tenth of the entries freezes for some seconds, one after the other.
    Freeze,
    /// A tenth of the entries ends without a word, one after the other.
    End,
    /// A third of the entries is cut off from the others.
    Cut,
    /// Each tenth entry begins to shut down, and ends a while later.
    ShutDown,
}

// Guards against owners of a limit that change: while entries disagree on the owner, or an owner is
// back from a freeze, two of them must not grant the whole limit each.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_limits_are_kept_while_entries_come_and_go(
    #[values(6, 88, 300)] entries: u16,
    #[values(1.0, 20.0)] limit: f64,
    #[values(
        Disruption::Start,
        Disruption::Freeze,
        Disruption::End,
        Disruption::Cut,
        Disruption::ShutDown
    )]
    disruption: Disruption,
) {
    let affected = entries.div_ceil(10).max(2);
    let owner = match disruption {
        Disruption::Start => entries,
        _ => 0,
    };
    let endpoint = endpoint_owned_by(owner, entries + affected);
    let mut sim = Sim::new(&endpoint, entries, 100.0, 2);
    sim.settle().await;
    sim.limit = Some(limit);
    let from = Instant::now() + NOTICE_TIME;
    sim.run(NOTICE_TIME).await;
    disrupt(&mut sim, disruption, affected).await;
    sim.run(Duration::from_secs(8)).await;
    // What entries that are cut off send counts too: each side has its part of the limit.
    let with_excused = matches!(disruption, Disruption::Cut);
    let most = sim.max_in_window(from, with_excused);
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
    let last = Instant::now();
    sim.run(Duration::from_secs(12)).await;
    let used = sim.count_since(last) as f64;
    assert!(used >= 0.5 * limit * 12.0, "{used} in 12 s after it");
}

async fn disrupt(sim: &mut Sim, disruption: Disruption, affected: u16) {
    let affected = usize::from(affected);
    let gap = Duration::from_millis(400).min(Duration::from_secs(6) / affected as u32);
    match disruption {
        Disruption::Start => {
            for _ in 0..affected {
                sim.start_entry();
                sim.run(gap).await;
            }
        }
        Disruption::Freeze => {
            // Longer than an entry without updates counts as live.
            let refresh = refresh_interval(sim.entries.len());
            let freeze = Duration::from_secs(4) + refresh * 2;
            for entry in 0..affected {
                sim.entries[entry].is_running = false;
                sim.run(gap).await;
            }
            sim.run(freeze).await;
            for entry in 0..affected {
                sim.entries[entry].is_running = true;
                sim.excuse(entry, Instant::now());
            }
        }
        Disruption::End => {
            for entry in 0..affected {
                sim.entries[entry].is_running = false;
                sim.run(gap).await;
            }
        }
        Disruption::Cut => {
            let cut = Duration::from_secs(8);
            for entry in 0..sim.entries.len() / 3 {
                sim.entries[entry].side = 1;
                sim.excuse(entry, Instant::now() + cut);
            }
            sim.run(cut).await;
            for entry in &mut sim.entries {
                entry.side = 0;
            }
        }
        Disruption::ShutDown => {
            for entry in 0..affected {
                sim.entries[entry].node.begin_shutdown();
                sim.run(gap).await;
            }
            sim.run(Duration::from_secs(2)).await;
            for entry in 0..affected {
                sim.entries[entry].is_running = false;
            }
        }
    }
}

// Guards against entries that keep to a limit that has changed or ended long ago.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_limits_that_change_or_end_take_effect_soon(#[values(6, 88, 300)] entries: u16) {
    let mut sim = Sim::new("e0", entries, 60.0, 3);
    sim.settle().await;
    for limit in [2.0, 30.0, 0.5, 8.0] {
        sim.limit = Some(limit);
        let from = Instant::now() + NOTICE_TIME;
        sim.run(NOTICE_TIME + Duration::from_secs(8)).await;
        let most = sim.max_in_window(from, true);
        assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
        let used = sim.count_since(from) as f64;
        assert!(
            used >= 0.5 * limit * 8.0,
            "{used} in 8 s at {limit} a second"
        );
    }
    sim.limit = None;
    sim.run(NOTICE_TIME).await;
    let from = Instant::now();
    sim.run(Duration::from_secs(2)).await;
    let served = sim.count_since(from) as f64;
    assert!(
        served >= 0.9 * 60.0 * 2.0,
        "{served} in 2 s without a limit"
    );
}
