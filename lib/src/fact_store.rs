//! Store of the facts known to a node, with its transmission queue and digests.

use indexmap::IndexMap;
use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64;

use crate::Counters;
use crate::CrashFact;
use crate::EvidenceFact;
use crate::EvidenceKey;
use crate::EvidenceRow;
use crate::Fact;
use crate::FactKey;
use crate::GateFact;
use crate::LiveView;
use crate::Member;
use crate::MemberFact;
use crate::MemberState;
use crate::MoveName;
use crate::NodeName;
use crate::Timestamp;
use crate::VmName;
use crate::window_start;

/// Number of digest buckets for evidence facts; all other facts together have the same number of
/// buckets of their own.
const DIGEST_BUCKETS: u64 = 32;

/// Time after the start of an evidence window before which digests leave it out, because its
/// counters still change, in milliseconds.
const EVIDENCE_STABILIZATION_DELAY_MS: u64 = 5000;

/// Maximum number of evidence facts; further ones are rejected.
const MAX_EVIDENCE_FACTS: usize = 40_000;

/// Maximum number of crash facts; further ones are rejected.
const MAX_CRASH_FACTS: usize = 4096;

/// Time for which a stop or step is retained although its move is not known to be running, and
/// by which an evidence window may start in the future, in milliseconds.
const FACT_GRACE_PERIOD_MS: u64 = 60_000;

/// Number of times a change is transmitted, per binary digit of the member count.
const TRANSMISSION_MULTIPLIER: u32 = 3;

/// Facts known to a node.
#[derive(Clone, Debug, Default)]
pub struct FactStore {
    facts: IndexMap<FactKey, Fact>,
    /// Remaining transmissions of each change.
    pending: IndexMap<FactKey, u32>,
    /// Evidence summed over the processes that report it.
    totals: IndexMap<EvidenceKey, Counters>,
    evidence_count: usize,
    crash_count: usize,
    /// Moves in progress; `None` until the configuration is known.
    running_moves: Option<IndexSet<MoveName>>,
}

impl FactStore {
    /// Merges a fact and returns whether the store changed; a change is queued for transmission.
    pub fn merge(&mut self, fact: Fact, now: Timestamp) -> bool {
        if self.is_obsolete(&fact, now) || self.is_full(&fact) {
            return false;
        }
        let key = fact.key();
        let changed = match &fact {
            Fact::Evidence(f) => self.merge_evidence(&key, f),
            _ => self.merge_other(&key, fact),
        };
        if changed {
            let transmissions_left = self.transmission_limit();
            self.pending.insert(key, transmissions_left);
        }
        changed
    }

    /// Returns up to `limit` queued changes, those with the most transmissions left first, and
    /// uses up one transmission of each.
    pub fn take_pending(&mut self, limit: usize) -> Vec<Fact> {
        if self.pending.len() > limit {
            self.pending.sort_by(|_, a, _, b| b.cmp(a));
        }
        let keys: Vec<FactKey> = self.pending.keys().take(limit).cloned().collect();
        let facts = keys.iter().filter_map(|k| self.facts.get(k)).cloned();
        let facts = facts.collect();
        for key in &keys {
            if let Some(transmissions_left) = self.pending.get_mut(key) {
                *transmissions_left -= 1;
            }
        }
        self.pending
            .retain(|_, transmissions_left| *transmissions_left > 0);
        facts
    }

    /// Adds one transmission for each fact of a message that was not delivered.
    pub fn requeue(&mut self, facts: &[Fact]) {
        for key in facts.iter().map(Fact::key) {
            if self.facts.contains_key(&key) {
                *self.pending.entry(key).or_insert(0) += 1;
            }
        }
    }

    /// Reduces the remaining transmissions of facts that a peer already knew.
    pub fn reduce_transmissions(&mut self, facts: &[Fact]) {
        for key in facts.iter().map(Fact::key) {
            if let Some(transmissions_left) = self.pending.get_mut(&key) {
                *transmissions_left = transmissions_left.saturating_sub(TRANSMISSION_MULTIPLIER);
            }
        }
        self.pending
            .retain(|_, transmissions_left| *transmissions_left > 0);
    }

    /// Returns whether any change is queued for transmission.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Sets the moves in progress; [`Self::prune`] drops the stops and steps of other moves after a
    /// grace period.
    pub fn set_running_moves(&mut self, moves: IndexSet<MoveName>) {
        self.running_moves = Some(moves);
    }

    /// Drops obsolete facts and returns whether there were any.
    pub fn prune(&mut self, now: Timestamp) -> bool {
        let obsolete: Vec<FactKey> = self
            .facts
            .values()
            .filter(|fact| self.is_obsolete(fact, now))
            .map(Fact::key)
            .collect();
        for key in &obsolete {
            self.remove(key);
        }
        !obsolete.is_empty()
    }

    /// Returns the fact with the given key.
    pub fn get(&self, key: &FactKey) -> Option<&Fact> {
        self.facts.get(key)
    }

    /// Returns the facts about members, including dead ones.
    pub fn members(&self) -> impl Iterator<Item = &MemberFact> {
        self.facts.values().filter_map(|fact| match fact {
            Fact::Member(member) => Some(member),
            _ => None,
        })
    }

    /// Returns one digest per bucket, leaving out evidence windows that still change.
    pub fn digests(&self, now: Timestamp) -> Vec<u64> {
        let mut digests = vec![0; 2 * DIGEST_BUCKETS as usize];
        for fact in self.facts.values() {
            if let Some(bucket) = digest_bucket(fact, now) {
                let text = serde_json::to_vec(fact).unwrap_or_default();
                digests[bucket] ^= xxh3_64(&text);
            }
        }
        digests
    }

    /// Returns the facts in the buckets whose digests differ between `digests` and this store.
    pub fn differing_facts(&self, digests: &[u64], now: Timestamp) -> Vec<Fact> {
        let own = self.digests(now);
        let differs = |bucket: usize| digests.get(bucket) != own.get(bucket);
        self.facts
            .values()
            .filter(|fact| digest_bucket(fact, now).is_some_and(differs))
            .cloned()
            .collect()
    }

    /// Builds the view of the facts that gates and other subsystems use.
    pub fn view(&self) -> LiveView {
        let mut view = LiveView::default();
        for fact in self.facts.values() {
            match fact {
                Fact::Crash(f) => *view.crashes.entry(f.digest).or_insert(0) += f.count,
                Fact::Leaving(f) => {
                    view.leaving.insert(f.vm.clone(), f.deadline);
                }
                Fact::Step(f) => {
                    view.steps.insert(f.move_name.clone(), f.step);
                }
                Fact::Stop(f) => {
                    view.stops.insert(f.move_name.clone(), f.stop.clone());
                }
                Fact::Evidence(_) | Fact::Gate(_) | Fact::Member(_) => {}
            }
        }
        view.members = self.member_views(&view.leaving);
        view.evidence = self.evidence_rows();
        view
    }

    /// Returns the evidence, summed over the processes that report it.
    pub fn evidence_rows(&self) -> Vec<EvidenceRow> {
        let row = |(key, sum): (&EvidenceKey, &Counters)| EvidenceRow {
            key: key.clone(),
            sum: sum.clone(),
        };
        self.totals.iter().map(row).collect()
    }

    fn member_views(&self, leaving: &IndexMap<VmName, Timestamp>) -> IndexMap<NodeName, Member> {
        let mut members: IndexMap<NodeName, Member> = self
            .members()
            .map(|fact| (fact.node.clone(), member_view(fact, leaving)))
            .collect();
        let gates = self.facts.values().filter_map(|fact| match fact {
            Fact::Gate(gate) if gate.info.is_some() => Some(gate),
            _ => None,
        });
        let attached: Vec<(&GateFact, &MemberFact)> = gates
            .filter_map(|gate| Some((gate, self.live_member(&gate.controller_node)?)))
            .collect();
        for (gate, controller) in attached {
            let mut info = gate.info.clone();
            if let Some(info) = &mut info {
                info.accepting &= !leaving.contains_key(&gate.vm);
            }
            members
                .entry(gate.node.clone())
                .or_insert_with(|| member_from_gate(gate, controller))
                .gate = info;
        }
        members.sort_unstable_keys();
        members
    }

    fn live_member(&self, node: &NodeName) -> Option<&MemberFact> {
        match self.facts.get(&FactKey::Member(node.clone()))? {
            Fact::Member(member) if member.state != MemberState::Dead => Some(member),
            _ => None,
        }
    }

    fn merge_other(&mut self, key: &FactKey, fact: Fact) -> bool {
        if let Some(known) = self.facts.get_mut(key) {
            return known.merge(fact);
        }
        self.crash_count += usize::from(matches!(fact, Fact::Crash(_)));
        self.facts.insert(key.clone(), fact);
        true
    }

    /// Merges evidence and adds the increase to the sum over all processes.
    fn merge_evidence(&mut self, key: &FactKey, fact: &EvidenceFact) -> bool {
        let known = self.facts.entry(key.clone()).or_insert_with(|| {
            self.evidence_count += 1;
            Fact::Evidence(EvidenceFact {
                counters: Counters::default(),
                ..fact.clone()
            })
        });
        let Fact::Evidence(known) = known else {
            return false;
        };
        let before = known.counters.clone();
        if !crate::merge_counters(&mut known.counters, &fact.counters) {
            return false;
        }
        let sum = self.totals.entry(fact.key.clone()).or_default();
        add_increase(sum, &known.counters, &before);
        true
    }

    fn remove(&mut self, key: &FactKey) {
        self.pending.swap_remove(key);
        match self.facts.swap_remove(key) {
            Some(Fact::Evidence(f)) => {
                self.evidence_count -= 1;
                // The facts of one window expire together, so the total is removed with the first.
                self.totals.swap_remove(&f.key);
            }
            Some(Fact::Crash(_)) => self.crash_count -= 1,
            _ => {}
        }
    }

    fn is_obsolete(&self, fact: &Fact, now: Timestamp) -> bool {
        if fact.is_expired(now) {
            return true;
        }
        match fact {
            Fact::Step(f) => self.is_for_ended_move(&f.move_name, f.step.at, now),
            Fact::Stop(f) => self.is_for_ended_move(&f.move_name, f.stop.at, now),
            Fact::Evidence(f) => window_start(f.key.window).0 > now.0 + FACT_GRACE_PERIOD_MS,
            _ => false,
        }
    }

    /// Returns whether a fact of the given time belongs to a move that is not running, and is older
    /// than [`FACT_GRACE_PERIOD_MS`].
    fn is_for_ended_move(&self, name: &MoveName, at: Timestamp, now: Timestamp) -> bool {
        let running = self.running_moves.as_ref();
        let ended = running.is_some_and(|moves| !moves.contains(name));
        ended && at.0 + FACT_GRACE_PERIOD_MS < now.0
    }

    fn is_full(&self, fact: &Fact) -> bool {
        match fact {
            Fact::Evidence(_) => {
                self.evidence_count >= MAX_EVIDENCE_FACTS && !self.facts.contains_key(&fact.key())
            }
            Fact::Crash(_) => {
                self.crash_count >= MAX_CRASH_FACTS && !self.facts.contains_key(&fact.key())
            }
            _ => false,
        }
    }

    /// Returns the number of transmissions of a change: [`TRANSMISSION_MULTIPLIER`] times the
    /// number of binary digits of the member count.
    fn transmission_limit(&self) -> u32 {
        let members = self.members().count() as u32;
        TRANSMISSION_MULTIPLIER * (u32::BITS - members.leading_zeros()).max(1)
    }
}

fn member_view(fact: &MemberFact, leaving: &IndexMap<VmName, Timestamp>) -> Member {
    let is_leaving = leaving.contains_key(&fact.vm) && fact.state != MemberState::Dead;
    Member {
        node: fact.node.clone(),
        domain: fact.domain.clone(),
        region: fact.region.clone(),
        controller: fact.controller,
        gate: None,
        state: if is_leaving {
            MemberState::Leaving
        } else {
            fact.state
        },
    }
}

/// Creates the member entry for a gate's node when the node's own controller is unknown.
fn member_from_gate(gate: &GateFact, controller: &MemberFact) -> Member {
    Member {
        node: gate.node.clone(),
        domain: gate.domain.clone(),
        region: gate.region.clone(),
        controller: controller.controller,
        gate: None,
        state: MemberState::Dead,
    }
}

fn add_increase(sum: &mut Counters, after: &Counters, before: &Counters) {
    sum.ok += after.ok - before.ok;
    sum.failed += after.failed - before.failed;
    if sum.latency.len() < after.latency.len() {
        sum.latency.resize(after.latency.len(), 0);
    }
    for (i, bucket) in after.latency.iter().enumerate() {
        sum.latency[i] += bucket - before.latency.get(i).copied().unwrap_or(0);
    }
}

/// Returns the digest bucket of a fact, or `None` for an evidence window that still changes.
fn digest_bucket(fact: &Fact, now: Timestamp) -> Option<usize> {
    let bucket = match fact {
        Fact::Evidence(f) => {
            if now.0 < window_start(f.key.window).0 + EVIDENCE_STABILIZATION_DELAY_MS {
                return None;
            }
            DIGEST_BUCKETS + f.key.window % DIGEST_BUCKETS
        }
        Fact::Crash(CrashFact { digest, .. }) => digest % DIGEST_BUCKETS,
        Fact::Gate(f) => xxh3_64(f.node.as_str().as_bytes()) % DIGEST_BUCKETS,
        Fact::Leaving(f) => xxh3_64(f.vm.as_str().as_bytes()) % DIGEST_BUCKETS,
        Fact::Member(f) => xxh3_64(f.node.as_str().as_bytes()) % DIGEST_BUCKETS,
        Fact::Step(f) => xxh3_64(f.move_name.as_str().as_bytes()) % DIGEST_BUCKETS,
        Fact::Stop(f) => xxh3_64(f.move_name.as_str().as_bytes()) % DIGEST_BUCKETS,
    };
    usize::try_from(bucket).ok()
}
