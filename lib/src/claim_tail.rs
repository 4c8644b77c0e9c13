//! The controller's claims: follows the claims stream and appends to it.

use std::sync::Arc;

use crate::ClaimState;
use crate::Controller;
use crate::ControllerPlugin;
use crate::Result;
use crate::Stage;
use crate::Stream;
use crate::append_batcher::AppendBatcher;
use crate::fold_store::Fold;
use crate::fold_store::FoldStore;
use crate::stream_tail;

/// Keys at which new claims are refused.
const MAX_KEYS: usize = 200_000;

inventory::submit! {
    ControllerPlugin {
        name: "claim-tail",
        stage: Stage::State,
        start,
        methods: None,
    }
}

/// Claims at this node.
#[derive(Debug)]
pub(crate) struct ClaimStore {
    pub(crate) fold: FoldStore<ClaimState>,
    pub(crate) batcher: AppendBatcher,
}

impl ClaimStore {
    pub(crate) fn new() -> Self {
        Self {
            fold: FoldStore::new(Fold {
                apply: ClaimState::apply,
                after_gap: ClaimState::after_gap,
                is_whole: ClaimState::is_whole,
            }),
            batcher: AppendBatcher::new(Stream::Claims),
        }
    }

    /// Returns why this node cannot grant claims, if it cannot.
    ///
    /// Where records have expired unread, a key may be in use without this node's knowing it,
    /// until every such key has passed its lifetime.
    pub(crate) fn refusal(&self) -> Option<&'static str> {
        if !self.fold.is_caught_up() {
            return Some("the claims have not been read from the log yet");
        }
        if !self.fold.is_whole() {
            return Some("earlier claims have expired from the log, and no checkpoint holds them");
        }
        if self.fold.with(ClaimState::len) >= MAX_KEYS {
            return Some("the limit on remembered idempotency keys is reached");
        }
        None
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let tail = Arc::clone(controller);
    let store = Arc::clone(&controller.claims);
    controller
        .kernel
        .spawn(async move { stream_tail::follow(&tail, Stream::Claims, &store.fold).await });
    let writer = Arc::clone(controller);
    let store = Arc::clone(&controller.claims);
    controller.kernel.spawn(async move {
        stream_tail::keep_checkpoints(&writer, Stream::Claims, &store.fold).await;
    });
    let appender = Arc::clone(controller);
    let store = Arc::clone(&controller.claims);
    controller
        .kernel
        .spawn(async move { store.batcher.run(&appender).await });
    Ok(())
}
