//! Acquires, renews and releases the leases on this deployment's duties.
//!
//! The holder measures its term on its own clock, from before it sent the request to the log,
//! and acts only until the end of the term minus a safety margin.
//!
//! Source: Gray and Cheriton, "Leases", 1989.

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
use crate::LeaseInput;
use crate::LeaseRow;
use crate::LeaseState;
use crate::LeaseStep;
use crate::LeaseTracker;
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

/// Maximum number of members that may acquire a given lease.
const MAX_CANDIDATES: usize = 3;

/// Interval between checks of the leases.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for an endpoint's response to an order, the holder's instruction which version, model
/// and role to run; after it, the order is no longer in flight.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

inventory::submit! {
    ControllerPlugin {
        name: "lease-keeper",
        stage: Stage::Background,
        start,
        methods: None,
    }
}

/// Leases known to this node.
#[derive(Debug)]
pub(crate) struct LeaseStore {
    fold: FoldStore<LeaseState>,
    trackers: Mutex<IndexMap<Duty, LeaseTracker>>,
}

impl LeaseStore {
    pub(crate) fn new() -> Self {
        Self {
            fold: FoldStore::new(Fold {
                apply: LeaseState::apply,
                after_gap: LeaseState::default,
                is_complete: |_| true,
            }),
            trackers: Mutex::default(),
        }
    }

    /// Returns the epoch under which this node may act on a duty now, or `None` if it may not.
    pub(crate) fn active_epoch(&self, duty: &Duty) -> Option<Epoch> {
        self.active_epoch_for_span(duty, Duration::ZERO)
    }

    /// Returns the epoch under which this node may act on a duty for `span` from now on, or
    /// `None` if it may not.
    pub(crate) fn active_epoch_for_span(&self, duty: &Duty, span: Duration) -> Option<Epoch> {
        let trackers = self.trackers.lock();
        trackers.get(duty)?.active_epoch(Instant::now(), span)
    }

    /// Returns the leases that are not released according to the log.
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
    let follower = Arc::clone(controller);
    controller.kernel.spawn(async move {
        stream_tail::follow(&follower, Stream::Leases, &follower.leases.fold).await;
    });
    let keeper = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { run_check_loop(&keeper).await });
    Ok(())
}

/// Checks that the term is long enough: when the lease is due for renewal, the time left before the
/// safety margin must exceed the timeout of an order plus one check interval.
///
/// # Errors
///
/// Returns an error that states the minimum if the configured term is too short.
fn check_term(control: &ControlSettings) -> Result<()> {
    let renewal_interval = control.term / RENEWALS_PER_TERM;
    let min_term = renewal_interval + control.margin + ORDER_TIMEOUT + CHECK_INTERVAL;
    if control.term > min_term {
        return Ok(());
    }
    let detail = format!(
        "control.term of {} ms is too short: it must exceed {} ms with this margin",
        millis(control.term),
        millis(min_term),
    );
    Err(Error::new(ErrorKind::Internal, detail))
}

async fn run_check_loop(controller: &Arc<Controller>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(config) = controller.config() else {
            continue;
        };
        if !controller.leases.fold.is_caught_up() || controller.kernel.stopping.is_cancelled() {
            continue;
        }
        let services = config.services.values().map(|s| &s.value);
        for service in services {
            check_lease(controller, service);
        }
        let mut trackers = controller.leases.trackers.lock();
        trackers.retain(|Duty::Service(name), _| config.services.contains_key(name));
    }
}

/// Observes a service's lease and takes the step that is due.
fn check_lease(controller: &Arc<Controller>, service: &Service) {
    let duty = Duty::Service(service.name.clone());
    let control = controller.settings.control;
    let (lease, next) = controller
        .leases
        .fold
        .with_next(|state, next| (state.get(&duty).cloned(), next));
    let now = Instant::now();
    let rank = own_rank(controller, &duty);
    let mut guard = controller.leases.trackers.lock();
    let tracker = guard
        .entry(duty.clone())
        .or_insert_with(|| LeaseTracker::new(now));
    let acquired = tracker.observe(lease.as_ref(), control.margin, now);
    let expired = tracker.take_expiry(now);
    let max_order_time = if service.fenced {
        Duration::ZERO
    } else {
        ORDER_TIMEOUT
    };
    let step = decide_lease(&LeaseInput {
        lease: lease.as_ref(),
        is_own: tracker.is_own(),
        since_record: tracker.since_record(now),
        since_request: tracker.since_request(now),
        rank,
        is_leaving: is_leaving(controller),
        term: control.term,
        margin: control.margin,
        max_order_time,
    });
    drop(guard);
    if let Some(epoch) = acquired {
        record_event(controller, "lease.acquired", &duty, epoch);
    }
    if let Some(epoch) = expired {
        record_event(controller, "lease.lapsed", &duty, epoch);
    }
    execute_step(controller, duty, step, next);
}

fn record_event(controller: &Controller, name: &str, duty: &Duty, epoch: Epoch) {
    let Duty::Service(service) = duty;
    controller
        .kernel
        .events
        .record(name, &[("service", service), ("epoch", &epoch)]);
}

/// Returns this node's rank among the candidates for a duty, or `None` if it is not one.
pub(crate) fn own_rank(controller: &Controller, duty: &Duty) -> Option<u32> {
    let Duty::Service(service) = duty;
    let live = controller.live();
    // This node counts itself even while its peers consider it dead, unless it is leaving.
    let usable = live.members.values().filter(|m| {
        let is_live = matches!(m.state, MemberState::Alive | MemberState::Suspect);
        is_live || m.node == controller.kernel.node && m.state != MemberState::Leaving
    });
    let ranked = rank_nodes(&format!("lease/{service}"), usable.map(|m| &m.node));
    let rank = ranked
        .into_iter()
        .take(MAX_CANDIDATES)
        .position(|node| *node == controller.kernel.node)?;
    u32::try_from(rank).ok()
}

fn is_leaving(controller: &Controller) -> bool {
    let live = controller.live();
    let own = live.members.get(&controller.kernel.node);
    own.is_some_and(|m| m.state == MemberState::Leaving)
}

fn execute_step(controller: &Arc<Controller>, duty: Duty, step: LeaseStep, next: Offset) {
    let term = controller.settings.control.term;
    let change = match step {
        LeaseStep::Wait => return,
        LeaseStep::Acquire => LeaseChange::Acquire {
            duty: duty.clone(),
            next_unread: next,
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
    if let Some(tracker) = controller.leases.trackers.lock().get_mut(&duty) {
        // The term is measured from before the request is sent to the log.
        tracker.record_request(envelope.id, Instant::now());
        if matches!(step, LeaseStep::Release(_)) {
            tracker.relinquish();
        }
    }
    let task = Arc::clone(controller);
    controller.kernel.spawn(async move {
        let appended = task.log.append(Stream::Leases, vec![envelope]).await;
        if let (Err(error), LeaseStep::Renew(epoch)) = (appended, step) {
            tracing::warn!(%error, "failed to renew lease");
            record_event(&task, "lease.renew_failed", &duty, epoch);
        }
    });
}

/// Stops acting on all duties and releases their leases, before a graceful shutdown.
pub(crate) async fn release_all(controller: &Controller) {
    let held: Vec<(Duty, Epoch)> = {
        let mut trackers = controller.leases.trackers.lock();
        let held = trackers.iter_mut();
        held.filter_map(|(duty, tracker)| Some((duty.clone(), tracker.relinquish()?)))
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
                record_event(controller, "lease.released", duty, *epoch);
            }
        }
        Err(error) => tracing::warn!(%error, "failed to release leases"),
    }
}
