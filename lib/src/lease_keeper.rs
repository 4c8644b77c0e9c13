//! Takes, renews and gives up the leases on this deployment's duties.
//!
//! The holder counts its term from before it asked the log, on its own clock, and acts only
//! until the term's end less a margin. Source: Gray and Cheriton, "Leases", 1989.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::Body;
use crate::ControlSettings;
use crate::Controller;
use crate::ControllerPlugin;
use crate::Duty;
use crate::Epoch;
use crate::Error;
use crate::ErrorKind;
use crate::LeaseChange;
use crate::LeaseRow;
use crate::LeaseState;
use crate::LeaseStep;
use crate::LeaseView;
use crate::LeaseWatch;
use crate::MemberState;
use crate::Offset;
use crate::RENEWALS_PER_TERM;
use crate::Result;
use crate::Service;
use crate::Stage;
use crate::Stream;
use crate::decide_lease;
use crate::fold_store::Fold;
use crate::fold_store::FoldStore;
use crate::millis;
use crate::rank_nodes;
use crate::stream_tail;

/// Members that may take a lease.
const CANDIDATES: usize = 3;

/// Time between two looks at the leases.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Time within which an endpoint must have answered an order; a later one is not in flight.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

inventory::submit! {
    ControllerPlugin {
        name: "lease-keeper",
        stage: Stage::Duty,
        start,
        methods: None,
    }
}

/// Leases at this node.
#[derive(Debug)]
pub(crate) struct LeaseStore {
    fold: FoldStore<LeaseState>,
    watched: Mutex<IndexMap<Duty, LeaseWatch>>,
}

impl LeaseStore {
    pub(crate) fn new() -> Self {
        Self {
            fold: FoldStore::new(Fold {
                apply: LeaseState::apply,
                after_gap: LeaseState::default,
                is_whole: |_| true,
            }),
            watched: Mutex::default(),
        }
    }

    /// Returns the epoch under which this node may act on a duty now, if it may.
    pub(crate) fn may_act(&self, duty: &Duty) -> Option<Epoch> {
        self.may_act_for(duty, Duration::ZERO)
    }

    /// Returns the epoch under which this node may act on a duty for a while from now on.
    pub(crate) fn may_act_for(&self, duty: &Duty, span: Duration) -> Option<Epoch> {
        let watched = self.watched.lock();
        watched.get(duty)?.may_act(Instant::now(), span)
    }

    /// Returns the leases that are not released, as the log records them.
    pub(crate) fn rows(&self) -> Vec<LeaseRow> {
        self.fold.with(|state| {
            let held = state.iter().filter(|(_, lease)| !lease.released);
            held.map(|(Duty::Service(service), lease)| LeaseRow {
                duty: service.to_string(),
                holder: lease.holder.clone(),
                epoch: lease.epoch,
            })
            .collect()
        })
    }
}

fn start(controller: &Arc<Controller>) -> Result<()> {
    check_term(&controller.settings.control)?;
    let tail = Arc::clone(controller);
    controller.kernel.spawn(async move {
        stream_tail::follow(&tail, Stream::Leases, &tail.leases.fold).await;
    });
    let keeper = Arc::clone(controller);
    controller.kernel.spawn(async move { keep(&keeper).await });
    Ok(())
}

/// Checks that an order fits into what is left of a term at its renewal.
fn check_term(control: &ControlSettings) -> Result<()> {
    let renewed = control.term / RENEWALS_PER_TERM;
    let least = renewed + control.margin + ORDER_TIMEOUT + LOOK_INTERVAL;
    if control.term > least {
        return Ok(());
    }
    let detail = format!(
        "control.term of {} ms is too short: it must exceed {} ms with this margin",
        millis(control.term),
        millis(least),
    );
    Err(Error::new(ErrorKind::Internal, detail))
}

async fn keep(controller: &Arc<Controller>) {
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let Some(config) = controller.config() else {
            continue;
        };
        if !controller.leases.fold.is_caught_up() || controller.kernel.stopping.is_cancelled() {
            continue;
        }
        let services = config.services.values().map(|s| &s.value);
        for service in services {
            look_at(controller, service);
        }
        let mut watched = controller.leases.watched.lock();
        watched.retain(|Duty::Service(name), _| config.services.contains_key(name));
    }
}

/// Takes note of a service's lease and does what is to be done about it.
fn look_at(controller: &Arc<Controller>, service: &Service) {
    let duty = Duty::Service(service.name.clone());
    let control = controller.settings.control;
    let (lease, next) = controller
        .leases
        .fold
        .with_next(|state, next| (state.get(&duty).cloned(), next));
    let now = Instant::now();
    let rank = own_rank(controller, &duty);
    let mut guard = controller.leases.watched.lock();
    let watched = guard
        .entry(duty.clone())
        .or_insert_with(|| LeaseWatch::new(now));
    let acquired = watched.look(lease.as_ref(), control.margin, now);
    let lapsed = watched.take_lapse(now);
    let in_flight = if service.fenced {
        Duration::ZERO
    } else {
        ORDER_TIMEOUT
    };
    let step = decide_lease(&LeaseView {
        lease: lease.as_ref(),
        is_own: watched.is_own(),
        seen: watched.seen(now),
        asked: watched.asked(now),
        rank,
        is_leaving: is_leaving(controller),
        term: control.term,
        margin: control.margin,
        in_flight,
    });
    drop(guard);
    if let Some(epoch) = acquired {
        record(controller, "lease.acquired", &duty, epoch);
    }
    if let Some(epoch) = lapsed {
        record(controller, "lease.lapsed", &duty, epoch);
    }
    take_step(controller, duty, step, next);
}

fn record(controller: &Controller, what: &str, duty: &Duty, epoch: Epoch) {
    let Duty::Service(service) = duty;
    controller
        .kernel
        .events
        .record(what, &[("service", service), ("epoch", &epoch)]);
}

/// Returns this node's place among the candidates for a duty.
pub(crate) fn own_rank(controller: &Controller, duty: &Duty) -> Option<u32> {
    let Duty::Service(service) = duty;
    let live = controller.live();
    let usable = live.members.values().filter(|m| {
        let stays = matches!(m.state, MemberState::Alive | MemberState::Suspect);
        stays || m.node == controller.kernel.node && m.state != MemberState::Leaving
    });
    let ranked = rank_nodes(&format!("lease/{service}"), usable.map(|m| &m.node));
    let place = ranked
        .into_iter()
        .take(CANDIDATES)
        .position(|node| *node == controller.kernel.node)?;
    u32::try_from(place).ok()
}

fn is_leaving(controller: &Controller) -> bool {
    let live = controller.live();
    let own = live.members.get(&controller.kernel.node);
    own.is_some_and(|m| m.state == MemberState::Leaving)
}

fn take_step(controller: &Arc<Controller>, duty: Duty, step: LeaseStep, next: Offset) {
    let term = controller.settings.control.term;
    let change = match step {
        LeaseStep::Wait => return,
        LeaseStep::Acquire => LeaseChange::Acquire {
            duty: duty.clone(),
            as_of: next,
            term,
        },
        LeaseStep::Release(epoch) => LeaseChange::Release {
            duty: duty.clone(),
            epoch,
        },
        LeaseStep::Renew(epoch) => LeaseChange::Renew {
            duty: duty.clone(),
            epoch,
            term,
        },
    };
    let envelope = controller.envelope(Body::Lease(change));
    if let Some(watched) = controller.leases.watched.lock().get_mut(&duty) {
        // The term counts from before the log is asked.
        watched.ask(envelope.id, Instant::now());
        if matches!(step, LeaseStep::Release(_)) {
            watched.give_up();
        }
    }
    let task = Arc::clone(controller);
    controller.kernel.spawn(async move {
        let appended = task.log.append(Stream::Leases, vec![envelope]).await;
        if let (Err(error), LeaseStep::Renew(epoch)) = (appended, step) {
            tracing::warn!(%error, "renewing a lease failed");
            record(&task, "lease.renew_failed", &duty, epoch);
        }
    });
}

/// Stops acting on all duties and gives their leases up, ahead of a graceful stop.
pub(crate) async fn release_all(controller: &Controller) {
    let held: Vec<(Duty, Epoch)> = {
        let mut watched = controller.leases.watched.lock();
        let held = watched.iter_mut();
        held.filter_map(|(duty, w)| Some((duty.clone(), w.give_up()?)))
            .collect()
    };
    if held.is_empty() {
        return;
    }
    let records = held
        .iter()
        .map(|(duty, epoch)| {
            let duty = duty.clone();
            let epoch = *epoch;
            controller.envelope(Body::Lease(LeaseChange::Release { duty, epoch }))
        })
        .collect();
    match controller.log.append(Stream::Leases, records).await {
        Ok(_) => {
            for (duty, epoch) in &held {
                record(controller, "lease.released", duty, *epoch);
            }
        }
        Err(error) => tracing::warn!(%error, "giving the leases up failed"),
    }
}
