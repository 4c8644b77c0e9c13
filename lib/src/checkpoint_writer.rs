//! Appends checkpoints of the configuration to the log before its records expire.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::Body;
use crate::ConfigState;
use crate::Controller;
use crate::ControllerPlugin;
use crate::MemberState;
use crate::Offset;
use crate::Result;
use crate::Stage;
use crate::Stream;
use crate::split_checkpoint;

/// Interval between two checks whether a checkpoint is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Prefix of the hashed node name, so that this ranking of members differs from others.
const WRITER_SEED: &str = "checkpoint/";

inventory::submit! {
    ControllerPlugin {
        name: "checkpoint-writer",
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
    let writer = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { write_checkpoints(&writer).await });
    Ok(())
}

async fn write_checkpoints(controller: &Controller) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(state) = controller.config.current() else {
            continue;
        };
        if !is_due(controller, &state) || !is_checkpoint_writer(controller) {
            continue;
        }
        if let Err(error) = write_checkpoint(controller, &state).await {
            tracing::warn!(%error, "writing a checkpoint failed");
        }
    }
}

/// Returns whether enough records or enough time have passed since the newest checkpoint.
///
/// The age counts even when nothing changes, since a checkpoint expires like any record.
fn is_due(controller: &Controller, state: &ConfigState) -> bool {
    let control = &controller.settings.control;
    let newest = controller.config.checkpoint();
    let records = state.next.0 - newest.as_of.0.min(state.next.0);
    let age = controller.kernel.clock.now().since(newest.at);
    let has_records = state.next > Offset(0);
    has_records && (records >= control.checkpoint || age >= control.checkpoint_age)
}

/// Returns whether this node ranks first by rendezvous hash among the members that are alive.
///
/// Two concurrent writers are harmless: both checkpoints are complete and correct.
pub(crate) fn is_checkpoint_writer(controller: &Controller) -> bool {
    let live = controller.live();
    let chosen = live
        .members
        .values()
        .filter(|m| m.state == MemberState::Alive)
        .min_by_key(|m| xxh3_64(format!("{WRITER_SEED}{}", m.node).as_bytes()));
    chosen.is_none_or(|m| m.node == controller.kernel.node)
}

async fn write_checkpoint(controller: &Controller, state: &ConfigState) -> Result<()> {
    let as_of = Offset(state.next.0.saturating_sub(1));
    let parts = split_checkpoint(state, as_of).map_err(crate::controller::internal_error)?;
    let count = parts.len();
    let records = parts
        .into_iter()
        .map(|part| controller.envelope(Body::Checkpoint(part)))
        .collect();
    controller.log.append(Stream::Config, records).await?;
    controller
        .config
        .record_checkpoint(as_of, controller.kernel.clock.now());
    controller.kernel.events.record(
        "config.checkpoint_written",
        &[("as_of", &as_of), ("parts", &count)],
    );
    Ok(())
}
