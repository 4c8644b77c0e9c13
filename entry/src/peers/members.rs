//! Membership: the known entries and the state that each publishes.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::CustomerName;
use crate::DomainName;
use crate::EndpointId;
use crate::EntryName;
use crate::Evacuations;
use crate::Fingerprint;
use crate::LeaseView;
use crate::LimitReport;
use crate::PartReport;
use crate::QuotaTotals;
use crate::RemovedEndpoint;
use crate::Rollout;
use crate::RolloutEvidence;
use crate::ServiceName;
use crate::Usage;
use crate::UsageCounts;
use crate::UsageDelivery;
use crate::WindowIndex;

/// Minimum refresh interval, used by small systems.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(300);

/// Refresh interval per entry of a large system, so that the rate of updates that an entry receives
/// does not grow with the number of entries.
const REFRESH_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(15);

/// Maximum refresh interval.
const MAX_REFRESH_INTERVAL: Duration = Duration::from_secs(4);

/// Time without updates, in addition to two refresh intervals, after which an entry no longer
/// counts as live and callers are no longer sent to it.
const BASE_LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time without updates after which an entry is removed.
const MIN_REMOVAL_TIMEOUT: Duration = Duration::from_secs(15);

/// Multiple of the time for which an entry counts as live, after which it is removed.
const REMOVAL_FACTOR: u32 = 3;

/// Maximum number of states of entries that a peer does not know in a reply to it. A starting entry asks up
/// to 16 peers at once; with all states of 300 entries, their replies took 15 s on a link of 10 Mbit/s. An
/// entry that knows only a part of the others divides budgets by too few and disagrees on owners, so that
/// systems of up to 100 entries are told of at once.
const MAX_UNKNOWN_STATES: usize = 100;

/// Maximum number of removed entries whose last revision is kept to reject stale states.
const MAX_TOMBSTONES: usize = 1024;

/// Revision of an entry's state, ordered by incarnation and then by sequence number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StateRevision {
    /// Start of the entry's process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

/// Load that an entry places on one endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointLoadReport {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Number of in-flight requests.
    pub running: u32,
    /// KV cache space that the requests occupy, in tokens.
    pub tokens: u64,
    /// Number of in-flight requests that cannot be continued on another endpoint.
    #[serde(rename = "once")]
    pub non_retryable: u32,
    /// Prompt tokens still to be prefilled.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub prefill: u64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde calls"
)]
fn is_zero(value: &u64) -> bool {
    *value == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde calls"
)]
fn is_no_link(link_mbps: &u32) -> bool {
    *link_mbps == 0
}

/// State that an entry publishes to its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryState {
    /// Name of the entry.
    pub name: EntryName,
    /// Revision of this state.
    #[serde(rename = "age")]
    pub revision: StateRevision,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub front_address: SocketAddr,
    /// Address for forwarded requests; `None` if the entry takes none.
    #[serde(default)]
    pub forward_address: Option<SocketAddr>,
    /// Failure domain of the entry VM.
    pub domain: DomainName,
    /// Bandwidth of the VM's link in Mbit/s; 0 if it is not known.
    #[serde(default, skip_serializing_if = "is_no_link")]
    pub link_mbps: u32,
    /// Whether the entry accepts callers.
    pub ready: bool,
    /// Whether the entry reaches endpoints, as far as it knows.
    #[serde(default = "default_reach")]
    pub reaches_endpoints: bool,
    /// Version of the configuration in force.
    pub config: u64,
    /// Newest lease known to the entry.
    pub lease: Option<LeaseView>,
    /// Time since the entry has been in contact with peers without a gap, in milliseconds.
    #[serde(default)]
    pub in_contact_ms: u64,
    /// What the entry has heard of endpoints' rate limits.
    #[serde(default)]
    pub limits: Vec<LimitReport>,
    /// Load that the entry places on endpoints.
    #[serde(rename = "shares")]
    pub loads: Vec<EndpointLoadReport>,
    /// Quota units admitted for each customer since the entry's start; customers without any are
    /// missing.
    pub admitted: IndexMap<CustomerName, f64>,
    /// Quota units returned for requests that did not run, as in `admitted`.
    #[serde(default)]
    pub refunded: IndexMap<CustomerName, f64>,
    /// Prompt tokens that endpoints had to prefill for the entry since its start, by service.
    pub prefilled: IndexMap<ServiceName, u64>,
    /// Counts of requests that endpoints responded to.
    pub usage: Usage,
    /// Requests that crashed endpoints, with the endpoint that crashed.
    pub crashes: Vec<(Fingerprint, EndpointId)>,
    /// Start of the incarnation of each endpoint in `crashes`, in milliseconds since the Unix
    /// epoch; empty if the entry does not report it.
    #[serde(default, rename = "crashes_born")]
    pub crash_starts: Vec<u64>,
    /// Evidence on prompt parts that crash endpoints.
    #[serde(default)]
    pub part_crashes: Vec<PartReport>,
    /// Newest rollout of each service.
    pub rollouts: Vec<Rollout>,
    /// Evidence on the versions of open rollouts, by service.
    pub evidence: IndexMap<ServiceName, RolloutEvidence>,
    /// Endpoints that are draining.
    #[serde(rename = "leaving")]
    pub draining: Vec<EndpointId>,
    /// Start of the incarnation of each endpoint in `draining`, in milliseconds since the Unix
    /// epoch; empty if the entry does not report it.
    #[serde(default, rename = "leaving_born")]
    pub draining_starts: Vec<u64>,
    /// Endpoints recently removed from the list.
    #[serde(rename = "dropped")]
    pub removed: Vec<RemovedEndpoint>,
    /// Evacuated failure domains.
    #[serde(default, skip_serializing_if = "Evacuations::is_unknown")]
    pub evacuations: Evacuations,
}

const fn default_reach() -> bool {
    true
}

impl EntryState {
    /// Returns the endpoints that are draining, each with the start of its incarnation if known.
    pub fn draining(&self) -> impl Iterator<Item = (&EndpointId, Option<u64>)> {
        let starts = self.draining_starts.iter().copied().map(Some);
        self.draining
            .iter()
            .zip(starts.chain(std::iter::repeat(None)))
    }

    /// Returns the requests that crashed endpoints, each with the endpoint and the start of its
    /// incarnation if known.
    pub fn crashes(&self) -> impl Iterator<Item = (Fingerprint, &EndpointId, Option<u64>)> {
        let starts = self.crash_starts.iter().copied().map(Some);
        self.crashes
            .iter()
            .zip(starts.chain(std::iter::repeat(None)))
            .map(|((request, endpoint), start)| (*request, endpoint, start))
    }

    /// Returns what the entry has charged to each customer since its start.
    pub fn quota_totals(&self) -> IndexMap<CustomerName, QuotaTotals> {
        let totals = self.admitted.iter().map(|(customer, admitted)| {
            let totals = QuotaTotals {
                admitted: *admitted,
                refunded: self.refunded.get(customer).copied().unwrap_or_default(),
            };
            (customer.clone(), totals)
        });
        totals.collect()
    }
}

/// Returns the interval at which an entry publishes its state in a system of this size.
pub fn refresh_interval(entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    let unclamped = REFRESH_INTERVAL_PER_ENTRY.saturating_mul(entries);
    unclamped.clamp(MIN_REFRESH_INTERVAL, MAX_REFRESH_INTERVAL)
}

/// A peer's state that an entry forwards.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayedState {
    /// Forwarded state.
    pub state: EntryState,
    /// Time since the entry published the state, in milliseconds; each relaying entry adds the
    /// time for which it kept the state.
    pub silent_ms: u64,
}

impl RelayedState {
    /// Returns the time at which the entry published the state, on this process's clock.
    pub fn updated_at(&self, now: Instant) -> Instant {
        let elapsed = Duration::from_millis(self.silent_ms);
        now.checked_sub(elapsed).unwrap_or(now)
    }
}

/// A peer as known to this entry.
#[derive(Debug)]
pub struct Peer {
    /// Newest state of the peer.
    pub state: EntryState,
    /// Time at which the peer published that state, on this process's clock.
    pub updated_at: Instant,
}

impl Peer {
    /// Returns the time since the peer has been in contact with others without a gap.
    pub fn time_in_contact(&self, now: Instant) -> Duration {
        let before_update = Duration::from_millis(self.state.in_contact_ms);
        before_update.saturating_add(now.saturating_duration_since(self.updated_at))
    }
}

/// The known peers of an entry.
#[derive(Debug, Default)]
pub struct Members {
    peers: IndexMap<EntryName, Peer>,
    /// Accumulated usage of incarnations that ended and of removed entries.
    retired_usage: Usage,
    /// Last revision of each removed entry.
    tombstones: IndexMap<EntryName, StateRevision>,
}

impl Members {
    /// Stores a state that a peer published at `updated_at`, unless a newer one is known.
    ///
    /// Returns whether the state was stored.
    pub fn merge(&mut self, mut state: EntryState, updated_at: Instant) -> bool {
        match self.peers.get_mut(&state.name) {
            Some(peer) if peer.state.revision >= state.revision => false,
            Some(peer) => {
                if peer.state.revision.incarnation == state.revision.incarnation {
                    // Counts may have been delivered directly after the state was built.
                    state.usage.raise_to(&peer.state.usage);
                } else {
                    self.retired_usage.merge(&peer.state.usage);
                }
                *peer = Peer { state, updated_at };
                true
            }
            None => {
                if self
                    .tombstones
                    .get(&state.name)
                    .is_some_and(|revision| *revision >= state.revision)
                {
                    return false;
                }
                self.peers
                    .insert(state.name.clone(), Peer { state, updated_at });
                true
            }
        }
    }

    /// Records counts that a peer delivered directly; those of another incarnation than the known
    /// one are ignored.
    pub fn record_usage(&mut self, delivery: &UsageDelivery) {
        let Some(peer) = self.peers.get_mut(&delivery.entry) else {
            return;
        };
        if peer.state.revision.incarnation == delivery.incarnation {
            peer.state.usage.raise_to(&delivery.usage);
        }
    }

    /// Returns the revision of each known state.
    pub fn digest(&self) -> IndexMap<EntryName, StateRevision> {
        let peers = self.peers.iter();
        peers
            .map(|(name, p)| (name.clone(), p.state.revision))
            .collect()
    }

    /// Returns the states of live entries that are newer than in a digest, at most `MAX_UNKNOWN_STATES`
    /// of entries that the digest lacks.
    ///
    /// States of silent entries are not forwarded, since the receiver would take them for a sign
    /// of life.
    pub fn newer_than(
        &self,
        digest: &IndexMap<EntryName, StateRevision>,
        now: Instant,
    ) -> Vec<RelayedState> {
        let newer = |p: &&Peer| {
            let revision = digest.get(&p.state.name);
            revision.is_some_and(|revision| *revision < p.state.revision)
        };
        let unknown = self.live(now);
        let unknown = unknown.filter(|p| !digest.contains_key(&p.state.name));
        let mut rng = SmallRng::seed_from_u64(self.reply_seed(digest.len()));
        let unknown = unknown.choose_multiple(&mut rng, MAX_UNKNOWN_STATES);
        let peers = self.live(now).filter(newer).chain(unknown);
        let relayed = |p: &Peer| RelayedState {
            state: p.state.clone(),
            silent_ms: crate::millis(now.duration_since(p.updated_at)),
        };
        peers.map(relayed).collect()
    }

    /// Returns a seed for the states of a reply. It differs between entries, since they have heard of each other
    /// in different orders, and repeats in a test with the same course.
    fn reply_seed(&self, known_count: usize) -> u64 {
        let first = self.peers.keys().next();
        let name = first.map_or(&b""[..], |name| name.as_str().as_bytes());
        xxhash_rust::xxh3::xxh3_64_with_seed(name, known_count as u64)
    }

    /// Removes the entries whose last update is older than the removal timeout, and returns their
    /// names.
    pub fn remove_silent(&mut self, now: Instant) -> Vec<EntryName> {
        let timeout = (self.liveness_timeout() * REMOVAL_FACTOR).max(MIN_REMOVAL_TIMEOUT);
        let is_silent = |p: &Peer| now.duration_since(p.updated_at) >= timeout;
        let removed_names = self.peers.iter().filter(|(_, p)| is_silent(p));
        let removed_names: Vec<EntryName> = removed_names.map(|(name, _)| name.clone()).collect();
        for name in &removed_names {
            if let Some(peer) = self.peers.shift_remove(name) {
                self.retired_usage.merge(&peer.state.usage);
                self.tombstones.insert(name.clone(), peer.state.revision);
            }
        }
        while self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstones.shift_remove_index(0);
        }
        removed_names
    }

    /// Adds the usage that all peers reported for a window to `sum`.
    pub fn add_usage(&self, window: WindowIndex, sum: &mut UsageCounts) {
        self.retired_usage.add_to(window, sum);
        for peer in self.peers.values() {
            peer.state.usage.add_to(window, sum);
        }
    }

    /// Iterates over all known peers, including silent ones.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    fn liveness_timeout(&self) -> Duration {
        BASE_LIVENESS_TIMEOUT + refresh_interval(self.peers.len() + 1) * 2
    }

    /// Iterates over the peers with a recent update.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let limit = self.liveness_timeout();
        let live = move |p: &&Peer| now.duration_since(p.updated_at) < limit;
        self.peers.values().filter(live)
    }
}
