//! Evaluates running moves at a controller: advances steps, stops regressions and records the ends
//! of moves.

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
use crate::decide_with_test;

/// Interval at which running moves are evaluated.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum silence of all peers; beyond it evidence is stale, and moves neither advance nor finish.
const MAX_PEER_SILENCE: Duration = Duration::from_secs(3);

inventory::submit! {
    ControllerPlugin {
        name: "rollout-watch",
        stage: Stage::Background,
        start,
        methods: None,
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "signature required by ControllerPlugin"
)]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let evaluator = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { evaluate_moves(&evaluator).await });
    let recorder = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { record_ends(&recorder).await });
    Ok(())
}

/// Evaluates the running moves at a fixed interval.
async fn evaluate_moves(controller: &Controller) {
    let mut tests: IndexMap<MoveName, VersionTest> = IndexMap::new();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let Some(config) = controller.config() else {
            continue;
        };
        let live = controller.live();
        tests.retain(|name, _| running_moves(&config).any(|spec| spec.name == *name));
        for spec in running_moves(&config) {
            let test = tests.entry(spec.name.clone()).or_default();
            evaluate(controller, &config, &live, spec, test);
        }
    }
}

/// Returns the moves that have not ended.
fn running_moves(config: &ConfigState) -> impl Iterator<Item = &Move> {
    let moves = config.moves.values();
    moves.filter(|m| m.end.is_none()).map(|m| &m.spec)
}

/// Evaluates one running move.
///
/// The result is spread by gossip and merged, so several nodes may evaluate the same move, also
/// while the log is down.
fn evaluate(
    controller: &Controller,
    config: &ConfigState,
    live: &LiveView,
    spec: &Move,
    test: &mut VersionTest,
) {
    if live.stops.contains_key(&spec.name) {
        return;
    }
    match decide(controller, config, live, spec, test) {
        Some(Decision::Advance(step)) if !is_evidence_stale(controller) => {
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

/// Returns the decision on a move, `None` when its service is not declared.
fn decide(
    controller: &Controller,
    config: &ConfigState,
    live: &LiveView,
    spec: &Move,
    test: &mut VersionTest,
) -> Option<Decision> {
    let service = &config.services.get(&spec.service)?.value;
    let step: Option<Step> = live.steps.get(&spec.name).copied();
    let now = controller.kernel.clock.now();
    Some(decide_with_test(
        test,
        spec,
        service,
        step,
        &live.evidence,
        now,
    ))
}

/// Returns whether this node may lack the evidence of the other nodes.
fn is_evidence_stale(controller: &Controller) -> bool {
    let silence = controller.contact.time_since_peer_contact();
    silence.is_some_and(|silence| silence > MAX_PEER_SILENCE)
}

/// Records the ends of moves in the log. A failed append is retried at the next poll, so that an
/// end stays pending while the log is down.
async fn record_ends(controller: &Controller) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let Some(config) = controller.config() else {
            continue;
        };
        let live = controller.live();
        let due = running_moves(&config)
            .filter(|spec| is_end_recorder(controller, &live, &spec.name))
            .find_map(|spec| Some((spec, due_end(controller, &config, &live, spec)?)));
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
            Err(error) => tracing::warn!(%error, name = %spec.name, "failed to record move end"),
        }
    }
}

/// Returns the result and reason of a move that is due to end.
fn due_end(
    controller: &Controller,
    config: &ConfigState,
    live: &LiveView,
    spec: &Move,
) -> Option<(MoveResult, String)> {
    if let Some(stop) = live.stops.get(&spec.name) {
        return Some((MoveResult::TakenBack, stop.reason.clone()));
    }
    // The test starts empty here; regressions that only earlier evidence shows are found by the
    // test that `evaluate` keeps.
    let mut test = VersionTest::default();
    let finished = decide(controller, config, live, spec, &mut test) == Some(Decision::Finish);
    (finished && !is_evidence_stale(controller))
        .then(|| (MoveResult::Done, String::from("all traffic has moved")))
}

/// Returns whether this node records the end of a move.
///
/// Two nodes that record it at once do no harm, since only the first end in the log counts.
fn is_end_recorder(controller: &Controller, live: &LiveView, name: &MoveName) -> bool {
    let rank = |node: &dyn std::fmt::Display| xxh3_64(format!("{name}/{node}").as_bytes());
    let first = live
        .members
        .values()
        .filter(|m| m.state == MemberState::Alive)
        .min_by_key(|m| rank(&m.node));
    first.is_none_or(|m| m.node == controller.kernel.node)
}
