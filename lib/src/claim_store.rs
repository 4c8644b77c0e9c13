//! Store of the controller's claims, which follows the claims stream and appends to it.

use std::sync::Arc;

use crate::ClaimState;
use crate::Controller;
use crate::ControllerPlugin;
use crate::Result;
use crate::Stage;
use crate::Stream;
use crate::fold_store::Fold;
use crate::stream_tail::StreamStore;

/// Number of kept keys at which new claims are refused.
const MAX_KEYS: usize = 200_000;

inventory::submit! {
    ControllerPlugin {
        name: "claim-tail",
        stage: Stage::State,
        start,
        methods: None,
    }
}

/// Claims stream as folded at this node.
pub(crate) type ClaimStore = StreamStore<ClaimState>;

/// Creates an empty store of claims.
pub(crate) fn new_claim_store() -> Arc<ClaimStore> {
    let fold = Fold {
        apply: ClaimState::apply,
        after_gap: ClaimState::after_gap,
        is_complete: ClaimState::is_complete,
    };
    Arc::new(StreamStore::new(Stream::Claims, fold))
}

/// Returns the reason why this node cannot grant claims, or `None` if it can.
///
/// When records expired before this node read them, a key may be in use that it does not know;
/// it grants no claims until every such key has passed its retention period.
pub(crate) fn unavailable_reason(claims: &ClaimStore) -> Option<&'static str> {
    if !claims.fold.is_caught_up() {
        return Some("the claims have not been read from the log yet");
    }
    if !claims.fold.is_complete() {
        return Some("earlier claims have expired from the log, and no checkpoint holds them");
    }
    if claims.fold.with(ClaimState::len) >= MAX_KEYS {
        return Some("the limit on remembered idempotency keys is reached");
    }
    None
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "signature required by ControllerPlugin"
)]
fn start(controller: &Arc<Controller>) -> Result<()> {
    controller.claims.start(controller);
    Ok(())
}
