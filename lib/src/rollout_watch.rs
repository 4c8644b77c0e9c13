//! Watches running moves at a controller: raises steps, stops bad versions, writes ends.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::ConfigChange;
use crate::ConfigState;
use crate::Controller;
use crate::ControllerPlugin;
use crate::Decision;
use crate::LiveView;
use crate::MemberState;
use crate::Move;
use crate::MoveName;
use crate::MoveResult;
use crate::Result;
use crate::Stage;
use crate::Step;
use crate::Stop;
use crate::VersionTest;
use crate::decide_on;

/// Time between two looks at the running moves.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Silence of all peers after which evidence counts as stale and shares are held.
const STALE_AFTER: Duration = Duration::from_secs(3);

inventory::submit! {
    ControllerPlugin {
        name: "rollout-watch",
        stage: Stage::Duty,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let looker = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { look_forever(&looker).await });
    let writer = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { write_ends_forever(&writer).await });
    Ok(())
}

async fn look_forever(controller: &Controller) {
    let mut tests: IndexMap<MoveName, VersionTest> = IndexMap::new();
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let Some(config) = controller.config() else {
            continue;
        };
        let live = controller.live();
        tests.retain(|name, _| running(&config).any(|spec| spec.name == *name));
        for spec in running(&config) {
            let test = tests.entry(spec.name.clone()).or_default();
            look(controller, &config, &live, spec, test);
        }
    }
}

fn running(config: &ConfigState) -> impl Iterator<Item = &Move> {
    let moves = config.moves.values();
    moves.filter(|m| m.end.is_none()).map(|m| &m.spec)
}

/// Acts on one running move; what it does is safe without the log and at several nodes at once.
fn look(
    controller: &Controller,
    config: &ConfigState,
    live: &LiveView,
    spec: &Move,
    test: &mut VersionTest,
) {
    if live.stops.contains_key(&spec.name) {
        return;
    }
    match judge(controller, config, live, spec, test) {
        Some(Decision::Raise(step)) if !is_stale(controller) => {
            controller.live.mark_step(spec.name.clone(), step);
        }
        Some(Decision::Stop(reason)) => {
            let at = controller.kernel.clock.now();
            let stop = Stop { reason, at };
            controller.live.mark_stopped(spec.name.clone(), stop);
        }
        _ => {}
    }
}

fn judge(
    controller: &Controller,
    config: &ConfigState,
    live: &LiveView,
    spec: &Move,
    test: &mut VersionTest,
) -> Option<Decision> {
    let service = &config.services.get(&spec.service)?.value;
    let step: Option<Step> = live.steps.get(&spec.name).copied();
    let now = controller.kernel.clock.now();
    Some(decide_on(test, spec, service, step, &live.evidence, now))
}

/// Tells whether this node lacks the other nodes' evidence.
fn is_stale(controller: &Controller) -> bool {
    let silence = controller.contact.peer_silence();
    silence.is_some_and(|silence| silence > STALE_AFTER)
}

/// Writes the ends of moves to the log; a failed append is tried again at the next look, so
/// that an end is queued while the log is down.
async fn write_ends_forever(controller: &Controller) {
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let Some(config) = controller.config() else {
            continue;
        };
        let live = controller.live();
        let due = running(&config)
            .filter(|spec| is_writer(controller, &live, &spec.name))
            .find_map(|spec| Some((spec, end_of(controller, &config, &live, spec)?)));
        let Some((spec, (result, reason))) = due else {
            continue;
        };
        let change = ConfigChange::EndMove {
            name: spec.name.clone(),
            result,
            reason,
        };
        match controller.submit(change).await {
            Ok((offset, verdict)) => controller.kernel.events.record(
                "move.end_written",
                &[
                    ("move", &spec.name),
                    ("offset", &offset),
                    ("verdict", &format!("{verdict:?}")),
                ],
            ),
            Err(error) => tracing::warn!(%error, name = %spec.name, "writing a move's end failed"),
        }
    }
}

/// Returns the end that is due for a move.
fn end_of(
    controller: &Controller,
    config: &ConfigState,
    live: &LiveView,
    spec: &Move,
) -> Option<(MoveResult, String)> {
    if let Some(stop) = live.stops.get(&spec.name) {
        return Some((MoveResult::TakenBack, stop.reason.clone()));
    }
    // Badness that only earlier evidence shows is found by the look at the move.
    let mut test = VersionTest::default();
    let finished = judge(controller, config, live, spec, &mut test) == Some(Decision::Finish);
    (finished && !is_stale(controller))
        .then(|| (MoveResult::Done, String::from("all traffic has moved")))
}

/// Tells whether this node writes the end of a move.
///
/// Two writers at once are harmless, since only the first end in the log counts.
fn is_writer(controller: &Controller, live: &LiveView, name: &MoveName) -> bool {
    let rank = |node: &dyn std::fmt::Display| xxh3_64(format!("{name}/{node}").as_bytes());
    let first = live
        .members
        .values()
        .filter(|m| m.state == MemberState::Alive)
        .min_by_key(|m| rank(&m.node));
    first.is_none_or(|m| m.node == controller.kernel.node)
}
