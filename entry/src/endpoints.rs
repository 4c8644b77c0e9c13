//! Table of the endpoints in the platform's endpoint list, stored by key in an arena.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::EndpointId;
use crate::EndpointKey;
use crate::EndpointLoad;
use crate::EndpointRecord;
use crate::EndpointState;
use crate::Evacuations;
use crate::PartId;
use crate::Prompt;
use crate::RemovedEndpoint;
use crate::ServiceName;
use crate::VersionName;
use crate::limits::warm_up::WarmUps;
use crate::placement::engine_list::shared_prefix;
use crate::placement::prefix_load::PrefixLoads;
use crate::wall_millis;

/// Period after the end of a list outage in which a missing record may still be written again.
const OUTAGE_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Maximum time for which an endpoint keeps receiving requests after its removal from the list was
/// observed, even if [`OUTAGE_GRACE_PERIOD`] ends later.
const MAX_REMOVAL_GRACE_PERIOD: Duration = Duration::from_millis(1200);

/// Period for which peers are informed that an endpoint was removed from the list.
const REMOVAL_RETENTION: Duration = Duration::from_secs(10);

/// Delay before a version that is new to a service gets requests, so that a rollout order for it
/// arrives first.
const NEW_VERSION_DELAY: Duration = Duration::from_millis(1500);

/// Maximum number of removed endpoints whose last revision is kept to reject stale records.
const MAX_TOMBSTONES: usize = 1024;

/// An endpoint in the table.
#[derive(Debug)]
pub struct Endpoint {
    /// Newest record of the endpoint.
    pub record: EndpointRecord,
    /// Load and health as observed by this entry VM and its peers.
    pub load: EndpointLoad,
    /// Whether the endpoint or a peer reported that the endpoint is draining.
    pub is_draining: bool,
    /// Time until which the endpoint is cold, if its service has a warm-up.
    pub(crate) cold_until: Option<Instant>,
    /// Time from which the endpoint counts as removed; `None` while its record is listed.
    removed_at: Option<Instant>,
    id_hash: u64,
}

impl Endpoint {
    /// Returns whether the endpoint's record is in the list.
    pub(crate) fn is_listed(&self) -> bool {
        self.removed_at.is_none()
    }

    /// Returns a hash of the id, kept because the choice of an engine uses it for each request.
    pub(crate) fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// Returns whether new requests may be sent to the endpoint.
    pub fn accepts_requests(&self, now: Instant) -> bool {
        !self.is_draining && self.removed_at.is_none_or(|at| now < at)
    }
}

/// What is kept of an evicted endpoint.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    /// Last revision: start of the incarnation and sequence number.
    revision: (u64, u64),
    /// Whether the endpoint was draining.
    is_draining: bool,
}

/// Effect of an update on the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableChange {
    /// Routing is unchanged.
    None,
    /// An endpoint is new or has a new incarnation.
    Joined,
    /// An endpoint is draining or was removed.
    Leaving,
}

/// The listed endpoints of all services.
#[derive(Debug, Default)]
pub struct EndpointTable {
    arena: IndexMap<EndpointKey, Endpoint>,
    by_id: IndexMap<EndpointId, EndpointKey>,
    /// Last known facts of evicted endpoints.
    tombstones: IndexMap<EndpointId, Tombstone>,
    /// Endpoints recently removed from the list, with their last revision and removal time.
    recently_removed: IndexMap<EndpointId, ((u64, u64), Instant)>,
    /// Failure domains whose endpoints get no requests.
    pub(crate) evacuations: Evacuations,
    /// Warm-ups of the services.
    pub(crate) warm_ups: WarmUps,
    /// Time until which a version that is new to its service gets no requests.
    delayed_until: IndexMap<(ServiceName, VersionName), Instant>,
    next_key: u32,
    is_loaded: bool,
    /// Set after the first full list has been applied; until then no version counts as new.
    is_initialized: bool,
    /// Time of the last failed read of the endpoint list, which counts as the end of the outage.
    last_failure: Option<Instant>,
    prefix_loads: PrefixLoads,
    /// Number of entries that send requests to the endpoints.
    entry_count: usize,
}

impl EndpointTable {
    /// Returns whether the full list has been read at least once.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Records a failed read of the endpoint list; the latest one counts as the end of the outage.
    pub fn record_failed_read(&mut self, now: Instant) {
        self.last_failure = Some(now);
    }

    /// Applies a record unless a newer one is known.
    ///
    /// A record that is not newer does not bring back an endpoint that counts as removed.
    pub fn apply(&mut self, record: EndpointRecord, now: Instant) -> TableChange {
        let revision = (record.incarnation, record.sequence);
        if self
            .tombstones
            .get(&record.id)
            .is_some_and(|old| old.revision >= revision)
        {
            return TableChange::None;
        }
        let key = self.by_id.get(&record.id).copied();
        let Some(endpoint) = key.and_then(|key| self.arena.get_mut(&key)) else {
            self.insert(record);
            return TableChange::Joined;
        };
        let old = (endpoint.record.incarnation, endpoint.record.sequence);
        let is_listed_again = revision > old || endpoint.removed_at.is_none_or(|at| now < at);
        if revision < old || !is_listed_again {
            return TableChange::None;
        }
        if record.incarnation > endpoint.record.incarnation {
            self.insert(record);
            return TableChange::Joined;
        }
        let newly_draining = record.state == EndpointState::Draining && !endpoint.is_draining;
        endpoint.is_draining |= newly_draining;
        endpoint.removed_at = None;
        endpoint.extend_warm_up(record.warm_up, now);
        endpoint.record = record;
        if newly_draining {
            TableChange::Leaving
        } else {
            TableChange::None
        }
    }

    /// Marks an endpoint as no longer listed.
    ///
    /// Shortly after a list outage the endpoint stays in use for a grace period, because records
    /// that expired during the outage are written again.
    ///
    /// Returns [`TableChange::None`] if the endpoint is unknown, already marked or in its grace
    /// period.
    pub fn remove(&mut self, id: &EndpointId, now: Instant) -> TableChange {
        let Some(key) = self.by_id.get(id).copied() else {
            return TableChange::None;
        };
        let Some(endpoint) = self.arena.get_mut(&key) else {
            return TableChange::None;
        };
        if endpoint.removed_at.is_some() {
            return TableChange::None;
        }
        let grace_end = self.last_failure.map_or(now, |at| at + OUTAGE_GRACE_PERIOD);
        let removed_at = grace_end.clamp(now, now + MAX_REMOVAL_GRACE_PERIOD);
        endpoint.removed_at = Some(removed_at);
        if removed_at == now {
            let revision = (endpoint.record.incarnation, endpoint.record.sequence);
            self.recently_removed.insert(id.clone(), (revision, now));
        }
        if removed_at > now {
            TableChange::None
        } else {
            TableChange::Leaving
        }
    }

    /// Replaces the table's contents with a full listing.
    pub fn replace(&mut self, records: Vec<EndpointRecord>, now: Instant) {
        self.is_loaded = true;
        let listed: IndexSet<EndpointId> = records.iter().map(|e| e.id.clone()).collect();
        let known_ids: Vec<EndpointId> = self.by_id.keys().cloned().collect();
        for id in known_ids {
            if !listed.contains(&id) {
                self.remove(&id, now);
            }
        }
        for record in records {
            self.apply(record, now);
        }
        self.is_initialized = true;
    }

    /// Marks an endpoint as draining, as reported by a peer, unless it has started again since the
    /// incarnation that the peer knows.
    ///
    /// Returns whether the endpoint was marked and had not been before.
    pub fn mark_draining_as_of(&mut self, id: &EndpointId, incarnation: Option<u64>) -> bool {
        let known = self.by_id_mut(id).map(|e| e.record.incarnation);
        let is_restarted = known > incarnation && incarnation.is_some();
        !is_restarted && self.mark_draining(id)
    }

    /// Marks an endpoint as draining.
    ///
    /// Returns whether the endpoint is known and was not marked before.
    pub fn mark_draining(&mut self, id: &EndpointId) -> bool {
        let key = self.by_id.get(id).copied();
        let Some(endpoint) = key.and_then(|key| self.arena.get_mut(&key)) else {
            return false;
        };
        !std::mem::replace(&mut endpoint.is_draining, true)
    }

    /// Returns the endpoints recently removed from the list, to be sent to peers.
    pub fn recently_removed(&self, now: Instant) -> Vec<RemovedEndpoint> {
        let removed = self.recently_removed.iter();
        removed
            .filter(|(_, (_, at))| now.duration_since(*at) < REMOVAL_RETENTION)
            .map(|(id, ((incarnation, sequence), _))| RemovedEndpoint {
                id: id.clone(),
                incarnation: *incarnation,
                sequence: *sequence,
            })
            .collect()
    }

    /// Marks an endpoint as removed because a peer without a list outage observed its removal from
    /// the list; this ends a grace period.
    ///
    /// Returns `false` if the endpoint is unknown, already counts as removed, or has a newer
    /// record.
    pub fn mark_removed(&mut self, removed: &RemovedEndpoint, now: Instant) -> bool {
        let Some(endpoint) = self.by_id_mut(&removed.id) else {
            return false;
        };
        let revision = (endpoint.record.incarnation, endpoint.record.sequence);
        let is_removed = endpoint.removed_at.is_some_and(|at| now >= at);
        if is_removed || revision > (removed.incarnation, removed.sequence) {
            return false;
        }
        endpoint.removed_at = Some(now);
        true
    }

    /// Evicts idle endpoints that count as removed; discards expired delays and removal notices.
    pub fn remove_expired(&mut self, now: Instant) {
        self.delayed_until.retain(|_, until| now < *until);
        self.recently_removed
            .retain(|_, (_, at)| now.duration_since(*at) < REMOVAL_RETENTION);
        let removed: Vec<EndpointKey> = self
            .arena
            .iter()
            .filter(|(_, e)| e.removed_at.is_some_and(|at| now >= at))
            .filter(|(_, e)| e.load.is_idle())
            .map(|(key, _)| *key)
            .collect();
        for key in removed {
            self.evict(key);
        }
    }

    /// Returns the endpoint stored under a key.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.arena.get(&key)
    }

    /// Returns a mutable reference to the endpoint stored under a key.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.arena.get_mut(&key)
    }

    /// Returns a mutable reference to the endpoint with an id.
    pub fn by_id_mut(&mut self, id: &EndpointId) -> Option<&mut Endpoint> {
        let key = self.by_id.get(id)?;
        self.arena.get_mut(key)
    }

    /// Returns the endpoint with an id.
    pub fn by_id(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.arena.get(self.by_id.get(id)?)
    }

    /// Iterates over all endpoints in the table, including those that are draining or removed from
    /// the list.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.arena.iter().map(|(key, endpoint)| (*key, endpoint))
    }

    /// Iterates mutably over all endpoints in the table, including those that are draining or
    /// removed from the list.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.arena.values_mut()
    }

    /// Iterates over the endpoints of a service that accept new requests, are in no evacuated domain,
    /// and whose version is not delayed because it is new.
    pub fn candidates<'a>(
        &'a self,
        service: &'a ServiceName,
        now: Instant,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> {
        self.accepting(service, now)
            .filter(|(_, e)| !self.is_evacuated(e))
    }

    /// Iterates over the endpoints of a service like [`EndpointTable::candidates`], including those
    /// in evacuated domains.
    pub(crate) fn accepting<'a>(
        &'a self,
        service: &'a ServiceName,
        now: Instant,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> {
        self.iter()
            .filter(move |(_, e)| e.record.service == *service && e.accepts_requests(now))
            .filter(move |(_, e)| !self.is_delayed(service, &e.record.version, now))
    }

    /// Records the number of entries that send requests to the endpoints.
    pub fn set_entry_count(&mut self, count: usize) {
        self.entry_count = count;
    }

    /// Records a prompt that is sent, of which `prefill` tokens are not cached.
    pub fn record_prompt(&mut self, prompt: &Prompt, prefill: u32, now: Instant) {
        if let Some(prefix) = shared_prefix(prompt) {
            self.prefix_loads.record(prefix, prefill, now);
        }
    }

    /// Returns the number of engines that the prompts of all entries with a shared prefix need.
    pub(crate) fn engines_for_prefix(&self, prefix: PartId, now: Instant) -> usize {
        let entries = self.entry_count.max(1);
        self.prefix_loads.needed_engines(prefix, entries, now)
    }

    fn insert(&mut self, record: EndpointRecord) {
        let tombstone = self.tombstones.shift_remove(&record.id);
        let was_draining =
            tombstone.is_some_and(|t| t.is_draining && t.revision.0 == record.incarnation);
        self.delay_new_version(&record);
        let key = EndpointKey(self.next_key);
        self.next_key += 1;
        if let Some(old) = self.by_id.insert(record.id.clone(), key) {
            // In-flight requests on the previous incarnation end on their own.
            self.arena.shift_remove(&old);
        }
        let cold_until = self
            .warm_ups
            .cold_until(&record, Instant::now(), wall_millis());
        let id_hash = xxhash_rust::xxh3::xxh3_64(record.id.as_str().as_bytes());
        let endpoint = Endpoint {
            cold_until,
            is_draining: was_draining || record.state == EndpointState::Draining,
            record,
            id_hash,
            load: EndpointLoad::default(),
            removed_at: None,
        };
        self.arena.insert(key, endpoint);
    }

    /// Delays requests to a version that is new to the service, if other endpoints can serve.
    fn delay_new_version(&mut self, record: &EndpointRecord) {
        let service_endpoints = || {
            let endpoints = self.arena.values();
            endpoints.filter(|e| e.record.service == record.service)
        };
        let now = Instant::now();
        let others_can_serve =
            service_endpoints().any(|e| e.accepts_requests(now) && !self.is_evacuated(e));
        let is_known = service_endpoints().any(|e| e.record.version == record.version);
        if self.is_initialized && others_can_serve && !is_known {
            let key = (record.service.clone(), record.version.clone());
            self.delayed_until.insert(key, now + NEW_VERSION_DELAY);
        }
    }

    /// Returns whether requests to a version of a service are delayed because it is new.
    pub fn is_delayed(&self, service: &ServiceName, version: &VersionName, now: Instant) -> bool {
        if self.delayed_until.is_empty() {
            return false;
        }
        let key = (service.clone(), version.clone());
        self.delayed_until
            .get(&key)
            .is_some_and(|until| now < *until)
    }

    /// Returns whether requests to any version of a service are delayed because it is new.
    pub fn has_delayed_version(&self, service: &ServiceName, now: Instant) -> bool {
        let mut delayed_until = self.delayed_until.iter();
        delayed_until.any(|((name, _), until)| name == service && now < *until)
    }

    fn evict(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.arena.shift_remove(&key) else {
            return;
        };
        let record = endpoint.record;
        self.by_id.shift_remove(&record.id);
        let tombstone = Tombstone {
            revision: (record.incarnation, record.sequence),
            is_draining: endpoint.is_draining,
        };
        self.tombstones.insert(record.id, tombstone);
        if self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstones.shift_remove_index(0);
        }
    }
}
