//! Metrics and readiness check of a controller.

use std::sync::Arc;

use crate::ConfigState;
use crate::Controller;
use crate::ControllerPlugin;
use crate::Error;
use crate::ErrorKind;
use crate::MemberState;
use crate::MoveResult;
use crate::MoveState;
use crate::Result;
use crate::Stage;
use crate::metrics::Metrics;
use crate::millis;
use crate::ops::OpsSource;

inventory::submit! {
    ControllerPlugin {
        name: "metrics",
        stage: Stage::Listen,
        start,
        methods: None,
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "signature required by ControllerPlugin"
)]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let gauge = |name, unit, read: fn(&Controller) -> u64| {
        let weak = Arc::downgrade(controller);
        let read = move || weak.upgrade().map_or(0, |c| read(&c));
        controller.metrics.register_gauge(name, unit, read);
    };
    gauge("hawthornrack.config.offset", "{record}", |c| {
        c.config.next_offset().0
    });
    gauge("hawthornrack.log.silence", "ms", |c| {
        millis(c.contact.time_since_log_contact())
    });
    gauge("hawthornrack.member.alive", "{member}", count_alive_members);
    gauge("hawthornrack.move.done_in_time", "{move}", |c| {
        count_moves(c, is_done_in_time)
    });
    gauge("hawthornrack.move.done_late", "{move}", |c| {
        count_moves(c, is_done_late)
    });
    gauge("hawthornrack.move.taken_back", "{move}", |c| {
        count_moves(c, is_taken_back)
    });
    gauge("hawthornrack.vm.leaving", "{vm}", |c| {
        c.live().leaving.len() as u64
    });
    Ok(())
}

fn count_alive_members(controller: &Controller) -> u64 {
    let live = controller.live();
    let alive = live
        .members
        .values()
        .filter(|m| m.state == MemberState::Alive);
    alive.count() as u64
}

/// Counts the matching moves among those that the configuration retains.
fn count_moves(controller: &Controller, matches_state: fn(&MoveState) -> bool) -> u64 {
    let config: Option<Arc<ConfigState>> = controller.config();
    config.map_or(0, |c| {
        c.moves.values().filter(|m| matches_state(m)).count() as u64
    })
}

fn is_done_in_time(state: &MoveState) -> bool {
    let end = state.end.as_ref();
    end.is_some_and(|e| e.result == MoveResult::Done && e.at <= state.spec.deadline)
}

fn is_done_late(state: &MoveState) -> bool {
    let end = state.end.as_ref();
    end.is_some_and(|e| e.result == MoveResult::Done && e.at > state.spec.deadline)
}

fn is_taken_back(state: &MoveState) -> bool {
    let end = state.end.as_ref();
    end.is_some_and(|e| e.result == MoveResult::TakenBack)
}

impl OpsSource for Controller {
    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn check_ready(&self) -> Result<()> {
        if self.config().is_none() {
            let detail = "no configuration is in force yet";
            return Err(Error::new(ErrorKind::NotReady, detail));
        }
        Ok(())
    }
}
