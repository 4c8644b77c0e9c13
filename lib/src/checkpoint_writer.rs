//! Appends checkpoints of the configuration well before its records expire.

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

/// Time between two looks at whether a checkpoint is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Rank of the hash that chooses the writer among the members.
const WRITER_SEED: &str = "checkpoint/";

inventory::submit! {
    ControllerPlugin {
        name: "checkpoint-writer",
        stage: Stage::Duty,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let writer = Arc::clone(controller);
    controller
        .kernel
        .spawn(async move { write_forever(&writer).await });
    Ok(())
}

async fn write_forever(controller: &Controller) {
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let Some(state) = controller.config.current() else {
            continue;
        };
        if !is_due(controller, &state) || !is_writer(controller) {
            continue;
        }
        if let Err(error) = write(controller, &state).await {
            tracing::warn!(%error, "writing a checkpoint failed");
        }
    }
}

/// Tells whether enough records or enough time have passed since the newest checkpoint.
///
/// A checkpoint ages even when nothing changes, since it expires like any record.
fn is_due(controller: &Controller, state: &ConfigState) -> bool {
    let control = &controller.settings.control;
    let mark = controller.config.checkpoint();
    let records = state.next.0 - mark.as_of.0.min(state.next.0);
    let age = controller.kernel.clock.now().since(mark.at);
    let anything = state.next > Offset(0);
    anything && (records >= control.checkpoint || age >= control.checkpoint_age)
}

/// Tells whether this node is the first of the members by rendezvous hash.
///
/// Two writers at once are harmless: either checkpoint is whole and true.
pub(crate) fn is_writer(controller: &Controller) -> bool {
    let live = controller.live();
    let first = live
        .members
        .values()
        .filter(|m| m.state == MemberState::Alive)
        .min_by_key(|m| xxh3_64(format!("{WRITER_SEED}{}", m.node).as_bytes()));
    first.is_none_or(|m| m.node == controller.kernel.node)
}

async fn write(controller: &Controller, state: &ConfigState) -> Result<()> {
    let as_of = Offset(state.next.0.saturating_sub(1));
    let parts = split_checkpoint(state, as_of).map_err(crate::controller::internal)?;
    let count = parts.len();
    let records = parts
        .into_iter()
        .map(|part| controller.envelope(Body::Checkpoint(part)))
        .collect();
    controller.log.append(Stream::Config, records).await?;
    controller
        .config
        .note_checkpoint(as_of, controller.kernel.clock.now());
    controller.kernel.events.record(
        "config.checkpoint_written",
        &[("as_of", &as_of), ("parts", &count)],
    );
    Ok(())
}
