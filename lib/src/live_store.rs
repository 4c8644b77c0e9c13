//! Live facts known to this node: state that is replicated by gossip and not by the log.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::Clock;
use crate::EventLog;
use crate::Fact;
use crate::FactKey;
use crate::FactStore;
use crate::GateFact;
use crate::LeavingFact;
use crate::LiveView;
use crate::MemberFact;
use crate::MemberState;
use crate::MoveName;
use crate::NodeName;
use crate::Step;
use crate::StepFact;
use crate::Stop;
use crate::StopFact;
use crate::Timestamp;
use crate::VmName;
use crate::step_share;

/// Interval at which views are published that differ only in evidence.
pub(crate) const EVIDENCE_PUBLISH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Inner {
    facts: FactStore,
    /// This node's fact about itself.
    own: MemberFact,
    /// Whether the facts have changed since the last published view.
    stale: bool,
}

/// Store of live facts that publishes a view of them to subscribers.
#[derive(Debug)]
pub(crate) struct LiveStore {
    clock: Clock,
    events: EventLog,
    inner: Mutex<Inner>,
    view: watch::Sender<Arc<LiveView>>,
    urgent: Notify,
}

impl LiveStore {
    pub(crate) fn new(own: MemberFact, clock: Clock, events: EventLog) -> Self {
        let mut facts = FactStore::default();
        facts.merge(Fact::Member(own.clone()), clock.now());
        let view = Arc::new(facts.view());
        let inner = Inner {
            facts,
            own,
            stale: false,
        };
        Self {
            clock,
            events,
            inner: Mutex::new(inner),
            view: watch::Sender::new(view),
            urgent: Notify::new(),
        }
    }

    /// Returns the view published last.
    pub(crate) fn view(&self) -> Arc<LiveView> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns a receiver that is notified of every later view.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<LiveView>> {
        self.view.subscribe()
    }

    /// Returns this node's fact about itself.
    pub(crate) fn own(&self) -> MemberFact {
        self.inner.lock().own.clone()
    }

    /// Returns the facts about all members, including this node and dead members.
    pub(crate) fn members(&self) -> Vec<MemberFact> {
        self.inner.lock().facts.members().cloned().collect()
    }

    /// Returns the fact about a member, if it is known.
    pub(crate) fn member(&self, key: &NodeName) -> Option<MemberFact> {
        match self.inner.lock().facts.get(&FactKey::Member(key.clone())) {
            Some(Fact::Member(member)) => Some(member.clone()),
            _ => None,
        }
    }

    /// Records the reclaim notice of a VM; a notice is never withdrawn.
    pub(crate) fn mark_leaving(&self, vm: VmName, deadline: Timestamp) {
        self.merge(vec![Fact::Leaving(LeavingFact { vm, deadline })]);
    }

    /// Records that a move has reached a step.
    pub(crate) fn mark_step(&self, name: MoveName, step: Step) {
        self.merge(vec![Fact::Step(StepFact {
            move_name: name,
            step,
        })]);
    }

    /// Records that a move's new version is stopped; a stop is never withdrawn.
    pub(crate) fn mark_stopped(&self, name: MoveName, stop: Stop) {
        self.merge(vec![Fact::Stop(StopFact {
            move_name: name,
            stop,
        })]);
    }

    /// Records that the link of a gate to this node (`own`) has ended, unless another node hosts
    /// the gate now.
    pub(crate) fn detach_gate(&self, gate: &NodeName, own: &NodeName, now: Timestamp) {
        let known = match self.inner.lock().facts.get(&FactKey::Gate(gate.clone())) {
            Some(Fact::Gate(known)) if known.controller_node == *own => known.clone(),
            _ => return,
        };
        let ended = GateFact {
            info: None,
            at: now,
            ..known
        };
        self.merge(vec![Fact::Gate(ended)]);
    }

    /// Merges facts from a peer, a gate or this node, and returns whether the store changed.
    pub(crate) fn merge(&self, facts: Vec<Fact>) -> bool {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let mut publish = false;
        let mut urgent = false;
        let mut is_changed = false;
        for fact in facts {
            if let Some(refutation) = inner.refutation(&fact, now) {
                self.record_refutation(&refutation);
                inner.own = refutation.clone();
                inner.facts.merge(Fact::Member(refutation), now);
                publish = true;
                is_changed = true;
                continue;
            }
            let before = self.state_before(&inner, &fact);
            if inner.facts.merge(fact.clone(), now) {
                self.record_change(before, &fact);
                urgent |= fact.is_urgent();
                is_changed = true;
                inner.stale = true;
                publish |= !matches!(fact, Fact::Evidence(_));
            }
        }
        if publish {
            self.publish(inner);
        }
        if urgent {
            self.urgent.notify_one();
        }
        is_changed
    }

    /// Waits until an urgent fact has been merged.
    pub(crate) async fn wait_for_urgent(&self) {
        self.urgent.notified().await;
    }

    /// Returns up to `limit` queued changes and uses up one transmission of each.
    pub(crate) fn take_pending(&self, limit: usize) -> Vec<Fact> {
        self.inner.lock().facts.take_pending(limit)
    }

    /// Adds one transmission for each fact of a message that was not delivered.
    pub(crate) fn requeue(&self, facts: &[Fact]) {
        self.inner.lock().facts.requeue(facts);
    }

    /// Reduces the remaining transmissions of facts that a peer already knew.
    pub(crate) fn reduce_transmissions(&self, facts: &[Fact]) {
        self.inner.lock().facts.reduce_transmissions(facts);
    }

    /// Returns one digest per bucket of facts.
    pub(crate) fn digests(&self) -> Vec<u64> {
        self.inner.lock().facts.digests(self.clock.now())
    }

    /// Returns the facts in the buckets whose digests differ between `digests` and this store.
    pub(crate) fn differing_facts(&self, digests: &[u64]) -> Vec<Fact> {
        let now = self.clock.now();
        self.inner.lock().facts.differing_facts(digests, now)
    }

    /// Drops obsolete facts; `running` are the moves in progress, if known.
    pub(crate) fn prune(&self, running: Option<IndexSet<MoveName>>) {
        let mut inner = self.inner.lock();
        if let Some(running) = running {
            inner.facts.set_running_moves(running);
        }
        inner.stale |= inner.facts.prune(self.clock.now());
    }

    /// Publishes a new view if facts have changed since the last one.
    pub(crate) fn publish_if_stale(&self) {
        let inner = self.inner.lock();
        if inner.stale {
            self.publish(inner);
        }
    }

    /// Marks this node dead, so that peers stop probing it immediately, and returns the fact to
    /// announce. Used before a graceful shutdown.
    pub(crate) fn mark_self_dead(&self) -> Fact {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        inner.own.state = MemberState::Dead;
        inner.own.since = now;
        let fact = Fact::Member(inner.own.clone());
        inner.facts.merge(fact.clone(), now);
        fact
    }

    fn publish(&self, mut inner: MutexGuard<'_, Inner>) {
        inner.stale = false;
        let view = Arc::new(inner.facts.view());
        // Sent while the lock is held, so that an older view never replaces a newer one.
        self.view.send_if_modified(|current| {
            let changed = **current != *view;
            if changed {
                *current = view;
            }
            changed
        });
    }

    fn record_refutation(&self, own: &MemberFact) {
        self.events
            .record("member.refuted", &[("incarnation", &own.incarnation)]);
    }

    /// Returns the state known so far of the member that a fact is about.
    #[expect(clippy::unused_self, reason = "kept with the other event methods")]
    fn state_before(&self, inner: &Inner, fact: &Fact) -> Option<MemberState> {
        let Fact::Member(_) = fact else { return None };
        match inner.facts.get(&fact.key()) {
            Some(Fact::Member(known)) => Some(known.state),
            _ => None,
        }
    }

    fn record_change(&self, before: Option<MemberState>, fact: &Fact) {
        match fact {
            Fact::Member(f) if before != Some(f.state) => self.events.record(
                "member.state",
                &[
                    ("member", &f.node),
                    ("state", &format!("{:?}", f.state)),
                    ("incarnation", &f.incarnation),
                ],
            ),
            Fact::Leaving(f) => self
                .events
                .record("vm.leaving", &[("vm", &f.vm), ("deadline", &f.deadline.0)]),
            Fact::Stop(f) => self.events.record(
                "version.stopped",
                &[("move", &f.move_name), ("reason", &f.stop.reason)],
            ),
            Fact::Step(f) => self.events.record(
                "move.step",
                &[("move", &f.move_name), ("share", &step_share(f.step))],
            ),
            Fact::Crash(f) => self.events.record(
                "request.crashed_endpoint",
                &[("digest", &f.digest), ("count", &f.count)],
            ),
            Fact::Evidence(_) | Fact::Gate(_) | Fact::Member(_) => {}
        }
    }
}

impl Inner {
    /// Returns the fact with which this node refutes a fact about itself that would supersede
    /// its own, or `None` if there is nothing to refute.
    fn refutation(&self, fact: &Fact, now: Timestamp) -> Option<MemberFact> {
        let Fact::Member(fact) = fact else {
            return None;
        };
        if fact.node != self.own.node || !fact.supersedes(&self.own) {
            return None;
        }
        Some(MemberFact {
            incarnation: fact.incarnation + 1,
            since: now,
            ..self.own.clone()
        })
    }
}
