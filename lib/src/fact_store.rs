//! The facts that a node knows, what of them it has yet to pass on, and their digests.

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

/// Digest buckets for facts other than evidence, and as many more for evidence.
const BUCKETS: u64 = 32;

/// Age from which an evidence window is compared by digest, in milliseconds.
const SETTLED_MS: u64 = 5000;

/// Evidence facts kept at most.
const MAX_EVIDENCE: usize = 40_000;

/// Crash facts kept at most.
const MAX_CRASHES: usize = 4096;

/// Time for which a stop is kept although its move is not known to run, in milliseconds.
const STOP_GRACE_MS: u64 = 60_000;

/// Times that a change is passed on per doubling of the members.
const SENDS_PER_DOUBLING: u32 = 3;

/// The facts that a node knows.
#[derive(Clone, Debug, Default)]
pub struct FactStore {
    facts: IndexMap<FactKey, Fact>,
    pending: IndexMap<FactKey, u32>,
    sums: IndexMap<EvidenceKey, Counters>,
    evidence: usize,
    crashes: usize,
    running: Option<IndexSet<MoveName>>,
}

impl FactStore {
    /// Merges a fact and tells whether the store changed; a change will be passed on.
    pub fn merge(&mut self, fact: Fact, now: Timestamp) -> bool {
        if self.is_obsolete(&fact, now) || self.is_full(&fact) {
            return false;
        }
        let key = fact.key();
        let changed = match &fact {
            Fact::Evidence(f) => self.merge_evidence(&key, f),
            _ => self.merge_plain(&key, fact),
        };
        if changed {
            let sends = self.sends();
            self.pending.insert(key, sends);
        }
        changed
    }

    /// Takes up to `limit` changes that are to be passed on, those passed on least first.
    pub fn take_pending(&mut self, limit: usize) -> Vec<Fact> {
        if self.pending.len() > limit {
            self.pending.sort_by(|_, a, _, b| b.cmp(a));
        }
        let keys: Vec<FactKey> = self.pending.keys().take(limit).cloned().collect();
        let facts = keys.iter().filter_map(|k| self.facts.get(k)).cloned();
        let facts = facts.collect();
        for key in &keys {
            if let Some(sends) = self.pending.get_mut(key) {
                *sends -= 1;
            }
        }
        self.pending.retain(|_, sends| *sends > 0);
        facts
    }

    /// Passes facts on again whose message was lost.
    pub fn requeue(&mut self, facts: &[Fact]) {
        for key in facts.iter().map(Fact::key) {
            if self.facts.contains_key(&key) {
                *self.pending.entry(key).or_insert(0) += 1;
            }
        }
    }

    /// Passes facts on less often that a peer had already heard of.
    pub fn damp(&mut self, facts: &[Fact]) {
        for key in facts.iter().map(Fact::key) {
            if let Some(sends) = self.pending.get_mut(&key) {
                *sends = sends.saturating_sub(SENDS_PER_DOUBLING);
            }
        }
        self.pending.retain(|_, sends| *sends > 0);
    }

    /// Tells whether any change is to be passed on.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Sets the moves that run, which decide how long stops are kept.
    pub fn set_running(&mut self, moves: IndexSet<MoveName>) {
        self.running = Some(moves);
    }

    /// Drops what no longer matters and tells whether anything was dropped.
    pub fn prune(&mut self, now: Timestamp) -> bool {
        let gone: Vec<FactKey> = self
            .facts
            .values()
            .filter(|fact| self.is_obsolete(fact, now))
            .map(Fact::key)
            .collect();
        for key in &gone {
            self.remove(key);
        }
        !gone.is_empty()
    }

    /// Returns the fact about something.
    pub fn get(&self, key: &FactKey) -> Option<&Fact> {
        self.facts.get(key)
    }

    /// Returns what is known of the members.
    pub fn members(&self) -> impl Iterator<Item = &MemberFact> {
        self.facts.values().filter_map(|fact| match fact {
            Fact::Member(member) => Some(member),
            _ => None,
        })
    }

    /// Returns a digest of each bucket of settled facts.
    pub fn digests(&self, now: Timestamp) -> Vec<u64> {
        let mut digests = vec![0; 2 * BUCKETS as usize];
        for fact in self.facts.values() {
            if let Some(bucket) = bucket_of(fact, now) {
                let text = serde_json::to_vec(fact).unwrap_or_default();
                digests[bucket] ^= xxh3_64(&text);
            }
        }
        digests
    }

    /// Returns the facts of the buckets in which `digests` differ from this store's.
    pub fn differing(&self, digests: &[u64], now: Timestamp) -> Vec<Fact> {
        let own = self.digests(now);
        let differs = |bucket: usize| digests.get(bucket) != own.get(bucket);
        self.facts
            .values()
            .filter(|fact| bucket_of(fact, now).is_some_and(differs))
            .cloned()
            .collect()
    }

    /// Returns the facts as gates and other subsystems see them.
    pub fn view(&self) -> LiveView {
        let mut view = LiveView::default();
        for fact in self.facts.values() {
            match fact {
                Fact::Crash(f) => *view.crashes.entry(f.digest).or_insert(0) += f.count,
                Fact::Leaving(f) => {
                    view.leaving.insert(f.vm.clone(), f.deadline);
                }
                Fact::Step(f) => {
                    view.steps.insert(f.name.clone(), f.step);
                }
                Fact::Stop(f) => {
                    view.stops.insert(f.name.clone(), f.stop.clone());
                }
                Fact::Evidence(_) | Fact::Gate(_) | Fact::Member(_) => {}
            }
        }
        view.members = self.member_views(&view.leaving);
        view.evidence = self.evidence_rows();
        view
    }

    /// Returns the evidence, summed over the processes that counted it.
    pub fn evidence_rows(&self) -> Vec<EvidenceRow> {
        let row = |(key, sum): (&EvidenceKey, &Counters)| EvidenceRow {
            key: key.clone(),
            sum: sum.clone(),
        };
        self.sums.iter().map(row).collect()
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
            .filter_map(|gate| Some((gate, self.live_member(&gate.host)?)))
            .collect();
        for (gate, host) in attached {
            let mut info = gate.info.clone();
            if let Some(info) = &mut info {
                info.accepting &= !leaving.contains_key(&gate.vm);
            }
            members
                .entry(gate.node.clone())
                .or_insert_with(|| member_of_gate(gate, host))
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

    fn merge_plain(&mut self, key: &FactKey, fact: Fact) -> bool {
        if let Some(known) = self.facts.get_mut(key) {
            return known.merge(fact);
        }
        self.crashes += usize::from(matches!(fact, Fact::Crash(_)));
        self.facts.insert(key.clone(), fact);
        true
    }

    /// Merges evidence and raises the sum over all processes by what is new.
    fn merge_evidence(&mut self, key: &FactKey, fact: &EvidenceFact) -> bool {
        let known = self.facts.entry(key.clone()).or_insert_with(|| {
            self.evidence += 1;
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
        let sum = self.sums.entry(fact.key.clone()).or_default();
        add_difference(sum, &known.counters, &before);
        true
    }

    fn remove(&mut self, key: &FactKey) {
        self.pending.swap_remove(key);
        match self.facts.swap_remove(key) {
            Some(Fact::Evidence(f)) => {
                self.evidence -= 1;
                self.sums.swap_remove(&f.key);
            }
            Some(Fact::Crash(_)) => self.crashes -= 1,
            _ => {}
        }
    }

    fn is_obsolete(&self, fact: &Fact, now: Timestamp) -> bool {
        if fact.is_expired(now) {
            return true;
        }
        match fact {
            Fact::Step(f) => self.is_over(&f.name, f.step.at, now),
            Fact::Stop(f) => self.is_over(&f.name, f.stop.at, now),
            Fact::Evidence(f) => window_start(f.key.window).0 > now.0 + STOP_GRACE_MS,
            _ => false,
        }
    }

    /// Tells whether a fact about a move that was stated at `at` belongs to none that runs.
    fn is_over(&self, name: &MoveName, at: Timestamp, now: Timestamp) -> bool {
        let running = self.running.as_ref();
        let over = running.is_some_and(|moves| !moves.contains(name));
        over && at.0 + STOP_GRACE_MS < now.0
    }

    fn is_full(&self, fact: &Fact) -> bool {
        match fact {
            Fact::Evidence(_) => {
                self.evidence >= MAX_EVIDENCE && !self.facts.contains_key(&fact.key())
            }
            Fact::Crash(_) => self.crashes >= MAX_CRASHES && !self.facts.contains_key(&fact.key()),
            _ => false,
        }
    }

    /// Returns how often a change is passed on: three times the logarithm of the members.
    fn sends(&self) -> u32 {
        let members = self.members().count() as u32;
        SENDS_PER_DOUBLING * (u32::BITS - members.leading_zeros()).max(1)
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

/// Describes the node of a gate whose own controller is not known.
fn member_of_gate(gate: &GateFact, host: &MemberFact) -> Member {
    Member {
        node: gate.node.clone(),
        domain: gate.domain.clone(),
        region: gate.region.clone(),
        controller: host.controller,
        gate: None,
        state: MemberState::Dead,
    }
}

fn add_difference(sum: &mut Counters, after: &Counters, before: &Counters) {
    sum.ok += after.ok - before.ok;
    sum.failed += after.failed - before.failed;
    if sum.latency.len() < after.latency.len() {
        sum.latency.resize(after.latency.len(), 0);
    }
    for (i, bucket) in after.latency.iter().enumerate() {
        sum.latency[i] += bucket - before.latency.get(i).copied().unwrap_or(0);
    }
}

/// Returns the digest bucket of a fact; `None` for evidence that still changes.
fn bucket_of(fact: &Fact, now: Timestamp) -> Option<usize> {
    let bucket = match fact {
        Fact::Evidence(f) => {
            if now.0 < window_start(f.key.window).0 + SETTLED_MS {
                return None;
            }
            BUCKETS + f.key.window % BUCKETS
        }
        Fact::Crash(CrashFact { digest, .. }) => digest % BUCKETS,
        Fact::Gate(f) => xxh3_64(f.node.as_str().as_bytes()) % BUCKETS,
        Fact::Leaving(f) => xxh3_64(f.vm.as_str().as_bytes()) % BUCKETS,
        Fact::Member(f) => xxh3_64(f.node.as_str().as_bytes()) % BUCKETS,
        Fact::Step(f) => xxh3_64(f.name.as_str().as_bytes()) % BUCKETS,
        Fact::Stop(f) => xxh3_64(f.name.as_str().as_bytes()) % BUCKETS,
    };
    usize::try_from(bucket).ok()
}
