//! Follows a folded log stream, restores it from checkpoints and writes these.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Assembler;
use crate::Body;
use crate::Controller;
use crate::Offset;
use crate::ReadOutcome;
use crate::Record;
use crate::Result;
use crate::Stream;
use crate::append_batcher::AppendBatcher;
use crate::checkpoint_writer::is_writer;
use crate::fold_store::Fold;
use crate::fold_store::FoldStore;
use crate::split_checkpoint;

/// Records asked for in one read.
const READ_LIMIT: usize = 1000;

/// Time for which a read waits at the log for a record.
const READ_WAIT: Duration = Duration::from_secs(2);

/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// Time between two looks at whether a checkpoint is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Parts of a checkpoint in one append.
const PARTS_PER_APPEND: usize = 4;

/// A folded stream at this node, with what appends to it.
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

    /// Follows the stream, appends to it and keeps checkpoints of it.
    pub(crate) fn start(self: &Arc<Self>, controller: &Arc<Controller>) {
        let (owner, store) = (Arc::clone(controller), Arc::clone(self));
        controller
            .kernel
            .spawn(async move { follow(&owner, store.stream, &store.fold).await });
        let (owner, store) = (Arc::clone(controller), Arc::clone(self));
        controller
            .kernel
            .spawn(async move { keep_checkpoints(&owner, store.stream, &store.fold).await });
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
    let mut parts = Assembler::default();
    loop {
        let from = store.next();
        let wait = if store.is_caught_up() {
            READ_WAIT
        } else {
            Duration::ZERO
        };
        match controller.log.read(stream, from, READ_LIMIT, wait).await {
            Ok(ReadOutcome::Records(reply)) => {
                take(store, &mut parts, &reply.records);
                if store.next() >= reply.next && !store.is_caught_up() {
                    store.set_caught_up();
                }
            }
            Ok(ReadOutcome::Expired { first }) => {
                tracing::warn!(stream = stream.name(), %from, %first, "records have expired");
                parts = Assembler::default();
                store.restart(first);
            }
            Err(error) => {
                tracing::warn!(stream = stream.name(), %error, "reading the log failed");
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}

/// Applies records; where earlier ones are missing, a whole checkpoint replaces the state, and
/// reading goes on after the records that it covers.
fn take<S>(store: &FoldStore<S>, parts: &mut Assembler, records: &[Record])
where
    S: Default + DeserializeOwned,
{
    store.apply(records);
    for record in records {
        let Body::Checkpoint(part) = &record.envelope.body else {
            continue;
        };
        if part.index + 1 == part.count {
            store.note_checkpoint(part.as_of.next());
        }
        if !store.is_whole()
            && let Some(state) = parts.add::<S>(part)
        {
            store.install(state, part);
            return;
        }
    }
}

/// Writes a checkpoint of `store` whenever one is due and this node is the writer.
pub(crate) async fn keep_checkpoints<S>(
    controller: &Controller,
    stream: Stream,
    store: &FoldStore<S>,
) where
    S: Default + Serialize,
{
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        if !is_due(controller, store) || !is_writer(controller) {
            continue;
        }
        if let Err(error) = write(controller, stream, store).await {
            tracing::warn!(stream = stream.name(), %error, "writing a checkpoint failed");
        }
    }
}

/// Tells whether enough records or enough time have passed since the newest checkpoint.
fn is_due<S>(controller: &Controller, store: &FoldStore<S>) -> bool
where
    S: Default,
{
    let control = &controller.settings.control;
    let mark = store.mark();
    let next = store.next();
    let records = next.0.saturating_sub(mark.next.0);
    let is_old = next > Offset(0) && mark.at.elapsed() >= control.checkpoint_age;
    let is_ready = store.is_whole() && store.is_caught_up();
    is_ready && (records >= control.checkpoint || is_old)
}

async fn write<S>(controller: &Controller, stream: Stream, store: &FoldStore<S>) -> Result<()>
where
    S: Default + Serialize,
{
    let (parts, next) = store.with_next(|state, next| {
        let as_of = Offset(next.0.saturating_sub(1));
        (split_checkpoint(state, as_of), next)
    });
    let parts = parts.map_err(crate::controller::internal)?;
    let records: Vec<_> = parts
        .into_iter()
        .map(|part| controller.envelope(Body::Checkpoint(part)))
        .collect();
    for chunk in records.chunks(PARTS_PER_APPEND) {
        controller.log.append(stream, chunk.to_vec()).await?;
    }
    store.note_checkpoint(next);
    controller.kernel.events.record(
        "log.checkpoint_written",
        &[("stream", &stream.name()), ("next", &next)],
    );
    Ok(())
}
