//! Facts that change without the log, as this node knows them.

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
use crate::share_of;

/// Time between two views that differ in evidence only.
pub(crate) const EVIDENCE_PACE: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Inner {
    facts: FactStore,
    own: MemberFact,
    stale: bool,
}

/// The live facts known at this node.
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

    /// Returns the current view.
    pub(crate) fn view(&self) -> Arc<LiveView> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns a receiver of every later view.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<LiveView>> {
        self.view.subscribe()
    }

    /// Returns what this node says of itself.
    pub(crate) fn own(&self) -> MemberFact {
        self.inner.lock().own.clone()
    }

    /// Returns the members, this node included.
    pub(crate) fn members(&self) -> Vec<MemberFact> {
        self.inner.lock().facts.members().cloned().collect()
    }

    /// Returns what is known of a member.
    pub(crate) fn member(&self, key: &NodeName) -> Option<MemberFact> {
        match self.inner.lock().facts.get(&FactKey::Member(key.clone())) {
            Some(Fact::Member(member)) => Some(member.clone()),
            _ => None,
        }
    }

    /// Records that a machine is under notice; a notice is never taken back.
    pub(crate) fn mark_leaving(&self, vm: VmName, deadline: Timestamp) {
        self.merge(vec![Fact::Leaving(LeavingFact { vm, deadline })]);
    }

    /// Records that a move has reached a step.
    pub(crate) fn mark_step(&self, name: MoveName, step: Step) {
        self.merge(vec![Fact::Step(StepFact { name, step })]);
    }

    /// Records that a move's new version is stopped; a stop is never taken back.
    pub(crate) fn mark_stopped(&self, name: MoveName, stop: Stop) {
        self.merge(vec![Fact::Stop(StopFact { name, stop })]);
    }

    /// Records that the link of a gate to this node has ended.
    pub(crate) fn detach_gate(&self, gate: &NodeName, own: &NodeName, now: Timestamp) {
        let known = match self.inner.lock().facts.get(&FactKey::Gate(gate.clone())) {
            Some(Fact::Gate(known)) if known.host == *own => known.clone(),
            _ => return,
        };
        let ended = GateFact {
            info: None,
            at: now,
            ..known
        };
        self.merge(vec![Fact::Gate(ended)]);
    }

    /// Merges facts from a peer, a gate or this node, and tells whether any was news.
    pub(crate) fn merge(&self, facts: Vec<Fact>) -> bool {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let mut publish = false;
        let mut urgent = false;
        let mut is_news = false;
        for fact in facts {
            if let Some(refutation) = inner.refutation(&fact, now) {
                self.record_refutation(&refutation);
                inner.own = refutation.clone();
                inner.facts.merge(Fact::Member(refutation), now);
                publish = true;
                is_news = true;
                continue;
            }
            let before = self.record_before(&inner, &fact);
            if inner.facts.merge(fact.clone(), now) {
                self.record_change(before, &fact);
                urgent |= fact.is_urgent();
                is_news = true;
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
        is_news
    }

    /// Waits until a fact has come that is sent at once.
    pub(crate) async fn urgent(&self) {
        self.urgent.notified().await;
    }

    /// Takes up to `limit` changes that are to be passed on.
    pub(crate) fn take_pending(&self, limit: usize) -> Vec<Fact> {
        self.inner.lock().facts.take_pending(limit)
    }

    /// Passes facts on again whose message was lost.
    pub(crate) fn requeue(&self, facts: &[Fact]) {
        self.inner.lock().facts.requeue(facts);
    }

    /// Passes facts on less often that a peer had already heard of.
    pub(crate) fn damp(&self, facts: &[Fact]) {
        self.inner.lock().facts.damp(facts);
    }

    /// Returns a digest of each bucket of facts.
    pub(crate) fn digests(&self) -> Vec<u64> {
        self.inner.lock().facts.digests(self.clock.now())
    }

    /// Returns the facts of the buckets in which `digests` differ.
    pub(crate) fn differing(&self, digests: &[u64]) -> Vec<Fact> {
        let now = self.clock.now();
        self.inner.lock().facts.differing(digests, now)
    }

    /// Drops what no longer matters, given the moves that run.
    pub(crate) fn prune(&self, running: Option<IndexSet<MoveName>>) {
        let mut inner = self.inner.lock();
        if let Some(running) = running {
            inner.facts.set_running(running);
        }
        inner.stale |= inner.facts.prune(self.clock.now());
    }

    /// Publishes a new view when facts have changed since the last one.
    pub(crate) fn refresh(&self) {
        let inner = self.inner.lock();
        if inner.stale {
            self.publish(inner);
        }
    }

    /// Declares this node gone, ahead of a graceful stop, and returns the declaration.
    pub(crate) fn leave(&self) -> Fact {
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
        // Sent under the lock, so that an older view never follows a newer one.
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

    /// Returns the state of the member that a fact is about, as known before it.
    #[expect(clippy::unused_self, reason = "stands beside the other event methods")]
    fn record_before(&self, inner: &Inner, fact: &Fact) -> Option<MemberState> {
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
                &[("move", &f.name), ("reason", &f.stop.reason)],
            ),
            Fact::Step(f) => self.events.record(
                "move.step",
                &[("move", &f.name), ("share", &share_of(f.step))],
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
    /// Returns what this node answers to a statement about itself that goes before its own.
    fn refutation(&self, fact: &Fact, now: Timestamp) -> Option<MemberFact> {
        let Fact::Member(fact) = fact else {
            return None;
        };
        if fact.node != self.own.node || !fact.beats(&self.own) {
            return None;
        }
        Some(MemberFact {
            incarnation: fact.incarnation + 1,
            since: now,
            ..self.own.clone()
        })
    }
}
