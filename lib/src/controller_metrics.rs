//! Metrics and readiness of a controller.

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
use crate::ops::Observed;

inventory::submit! {
    ControllerPlugin {
        name: "metrics",
        stage: Stage::Listen,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let level = |name, unit, read: fn(&Controller) -> u64| {
        let weak = Arc::downgrade(controller);
        let read = move || weak.upgrade().map_or(0, |c| read(&c));
        controller.metrics.observe_level(name, unit, read);
    };
    level("hawthornrack.config.offset", "{record}", |c| {
        c.config.next().0
    });
    level("hawthornrack.log.silence", "ms", |c| {
        millis(c.contact.log_silence())
    });
    level("hawthornrack.member.alive", "{member}", alive);
    level("hawthornrack.move.done_in_time", "{move}", |c| {
        count(c, is_done_in_time)
    });
    level("hawthornrack.move.done_late", "{move}", |c| {
        count(c, is_done_late)
    });
    level("hawthornrack.move.taken_back", "{move}", |c| {
        count(c, is_taken_back)
    });
    level("hawthornrack.vm.leaving", "{vm}", |c| {
        c.live().leaving.len() as u64
    });
    Ok(())
}

fn alive(controller: &Controller) -> u64 {
    let live = controller.live();
    let alive = live
        .members
        .values()
        .filter(|m| m.state == MemberState::Alive);
    alive.count() as u64
}

/// Counts the moves that the configuration still remembers.
fn count(controller: &Controller, is_counted: fn(&MoveState) -> bool) -> u64 {
    let config: Option<Arc<ConfigState>> = controller.config();
    config.map_or(0, |c| {
        c.moves.values().filter(|m| is_counted(m)).count() as u64
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

impl Observed for Controller {
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
