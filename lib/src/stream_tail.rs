//! Follows a folded log stream, restores its state from checkpoints and writes checkpoints.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Body;
use crate::CheckpointAssembler;
use crate::Controller;
use crate::Offset;
use crate::ReadOutcome;
use crate::Record;
use crate::Result;
use crate::Stream;
use crate::append_batcher::AppendBatcher;
use crate::checkpoint_writer::is_checkpoint_writer;
use crate::fold_store::Fold;
use crate::fold_store::FoldStore;
use crate::split_checkpoint;

/// Maximum number of records in one read.
const MAX_READ_RECORDS: usize = 1000;

/// Time for which a long poll waits at the log for a record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Interval between two checks whether a checkpoint is due.
const CHECKPOINT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of checkpoint parts in one append.
const MAX_APPEND_PARTS: usize = 4;

/// A folded stream at this node, with the batcher that appends to it.
#[derive(Debug)]
pub(crate) struct StreamStore<S> {
    pub(crate) fold: FoldStore<S>,
    pub(crate) batcher: AppendBatcher,
    stream: Stream,
}

impl<S> StreamStore<S>
where
    S: Default + DeserializeOwned + Send + Serialize + 'static,
{
    pub(crate) fn new(stream: Stream, fold: Fold<S>) -> Self {
        Self {
            fold: FoldStore::new(fold),
            batcher: AppendBatcher::new(stream),
            stream,
        }
    }

    /// Spawns the tasks that follow the stream, append to it and write its checkpoints.
    pub(crate) fn start(self: &Arc<Self>, controller: &Arc<Controller>) {
        let (owner, store) = (Arc::clone(controller), Arc::clone(self));
        controller
            .kernel
            .spawn(async move { follow(&owner, store.stream, &store.fold).await });
        let (owner, store) = (Arc::clone(controller), Arc::clone(self));
        controller
            .kernel
            .spawn(async move { write_checkpoints(&owner, store.stream, &store.fold).await });
        let (owner, store) = (Arc::clone(controller), Arc::clone(self));
        controller
            .kernel
            .spawn(async move { store.batcher.run(&owner).await });
    }
}

/// Applies a stream's records to `store` for as long as the process runs.
pub(crate) async fn follow<S>(controller: &Controller, stream: Stream, store: &FoldStore<S>)
where
    S: Default + DeserializeOwned,
{
    let mut assembler = CheckpointAssembler::default();
    loop {
        let from = store.next();
        let wait = if store.is_caught_up() {
            LONG_POLL_TIMEOUT
        } else {
            Duration::ZERO
        };
        match controller
            .log
            .read(stream, from, MAX_READ_RECORDS, wait)
            .await
        {
            Ok(ReadOutcome::Records(reply)) => {
                apply_records(store, &mut assembler, &reply.records);
                if store.next() >= reply.next && !store.is_caught_up() {
                    store.set_caught_up();
                }
            }
            Ok(ReadOutcome::Expired { first }) => {
                tracing::warn!(stream = stream.name(), %from, %first, "records expired unread");
                assembler = CheckpointAssembler::default();
                store.restart(first);
            }
            Err(error) => {
                tracing::warn!(stream = stream.name(), %error, "reading the stream failed");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Applies records. If the state is incomplete because earlier records expired, a complete
/// checkpoint replaces it, and reading continues after the last offset that it covers.
fn apply_records<S>(store: &FoldStore<S>, assembler: &mut CheckpointAssembler, records: &[Record])
where
    S: Default + DeserializeOwned,
{
    store.apply(records);
    for record in records {
        let Body::Checkpoint(part) = &record.envelope.body else {
            continue;
        };
        if part.index + 1 == part.count {
            store.record_checkpoint(part.as_of.next());
        }
        if !store.is_complete()
            && let Some(state) = assembler.add::<S>(part)
        {
            store.install(state, part);
            return;
        }
    }
}

/// Writes a checkpoint of `store` whenever one is due and this node is the chosen writer.
pub(crate) async fn write_checkpoints<S>(
    controller: &Controller,
    stream: Stream,
    store: &FoldStore<S>,
) where
    S: Default + Serialize,
{
    loop {
        tokio::time::sleep(CHECKPOINT_CHECK_INTERVAL).await;
        if !is_due(controller, store) || !is_checkpoint_writer(controller) {
            continue;
        }
        if let Err(error) = write_checkpoint(controller, stream, store).await {
            tracing::warn!(stream = stream.name(), %error, "writing a checkpoint failed");
        }
    }
}

/// Returns whether enough records or enough time have passed since the newest checkpoint.
fn is_due<S>(controller: &Controller, store: &FoldStore<S>) -> bool
where
    S: Default,
{
    let control = &controller.settings.control;
    let newest = store.checkpoint();
    let next = store.next();
    let records = next.0.saturating_sub(newest.next.0);
    let is_overdue = next > Offset(0) && newest.at.elapsed() >= control.checkpoint_age;
    let is_current = store.is_complete() && store.is_caught_up();
    is_current && (records >= control.checkpoint || is_overdue)
}

async fn write_checkpoint<S>(
    controller: &Controller,
    stream: Stream,
    store: &FoldStore<S>,
) -> Result<()>
where
    S: Default + Serialize,
{
    let (parts, next) = store.with_next(|state, next| {
        let as_of = Offset(next.0.saturating_sub(1));
        (split_checkpoint(state, as_of), next)
    });
    let parts = parts.map_err(crate::controller::internal_error)?;
    let records: Vec<_> = parts
        .into_iter()
        .map(|part| controller.envelope(Body::Checkpoint(part)))
        .collect();
    for chunk in records.chunks(MAX_APPEND_PARTS) {
        controller.log.append(stream, chunk.to_vec()).await?;
    }
    store.record_checkpoint(next);
    controller.kernel.events.record(
        "log.checkpoint_written",
        &[("stream", &stream.name()), ("next", &next)],
    );
    Ok(())
}
