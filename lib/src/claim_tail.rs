//! The controller's claims: follows the claims stream and appends to it.

use std::sync::Arc;

use crate::ClaimState;
use crate::Controller;
use crate::ControllerPlugin;
use crate::Result;
use crate::Stage;
use crate::Stream;
use crate::fold_store::Fold;
use crate::stream_tail::StreamStore;

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
pub(crate) type ClaimStore = StreamStore<ClaimState>;

/// Creates the store of claims.
pub(crate) fn claim_store() -> Arc<ClaimStore> {
    let fold = Fold {
        apply: ClaimState::apply,
        after_gap: ClaimState::after_gap,
        is_whole: ClaimState::is_whole,
    };
    Arc::new(StreamStore::new(Stream::Claims, fold))
}

/// Returns why this node cannot grant claims, if it cannot.
///
/// Where records have expired unread, a key may be in use without this node's knowing it,
/// until every such key has passed its lifetime.
pub(crate) fn refusal(claims: &ClaimStore) -> Option<&'static str> {
    if !claims.fold.is_caught_up() {
        return Some("the claims have not been read from the log yet");
    }
    if !claims.fold.is_whole() {
        return Some("earlier claims have expired from the log, and no checkpoint holds them");
    }
    if claims.fold.with(ClaimState::len) >= MAX_KEYS {
        return Some("the limit on remembered idempotency keys is reached");
    }
    None
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(controller: &Arc<Controller>) -> Result<()> {
    controller.claims.start(controller);
    Ok(())
}
