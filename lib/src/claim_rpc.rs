//! RPC through which gates claim at-most-once calls at a controller.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::Methods;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use tokio::time::Instant;

use crate::AttemptId;
use crate::Body;
use crate::ClaimChange;
use crate::ClaimKey;
use crate::ClaimView;
use crate::Controller;
use crate::ControllerPlugin;
use crate::Envelope;
use crate::Stage;
use crate::append_batcher::AppendError;
use crate::claim_store;

/// Timeout for appending an acquire record and reading its verdict back from the log.
pub(crate) const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout for appending a record.
const APPEND_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time for which one `wait` call is kept open; longer waits are shortened to it.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Query for the state of a claim, as seen by one attempt.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClaimQuery {
    /// Key of the call.
    pub key: ClaimKey,
    /// Digest of the call's customer, service, method, path and body.
    pub digest: u64,
    /// Attempt on whose behalf the query is made.
    pub attempt: AttemptId,
    /// Attempt whose end the query waits for.
    pub holder: AttemptId,
    /// Maximum time to wait while `holder` holds the claim, in milliseconds on the wire.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub wait: Duration,
}

/// Reply to an acquire request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum AcquireReply {
    /// The acquire record was decided, or the outcome was known without it.
    Decided {
        /// State of the claim as seen by the attempt.
        view: ClaimView,
    },
    /// The acquire record was not sent to the log.
    Refused {
        /// Human-readable reason.
        reason: String,
    },
    /// The acquire record may be in the log, and its verdict is unknown.
    Undecided,
}

/// Reply to a request to append a record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AppendRecordReply {
    /// The record is in the log.
    Appended,
    /// The append was not confirmed, and the record may or may not be in the log; it is safe to
    /// send it again.
    Failed,
}

/// Calls about claims from a gate to a controller.
#[rpc(client, server, namespace = "claims")]
pub trait ClaimRpc {
    /// Appends an acquire record and replies once its position in the log has decided it.
    #[method(name = "acquire")]
    async fn acquire(&self, record: Envelope) -> RpcResult<AcquireReply>;

    /// Appends a record.
    #[method(name = "put")]
    async fn append_claim_record(&self, record: Envelope) -> RpcResult<AppendRecordReply>;

    /// Waits while `holder` holds the claim, then returns the state of the claim.
    #[method(name = "wait")]
    async fn wait(&self, query: ClaimQuery) -> RpcResult<ClaimView>;
}

inventory::submit! {
    ControllerPlugin {
        name: "claims",
        stage: Stage::Listen,
        start: |_| Ok(()),
        methods: Some(|controller| Methods::from(ClaimService(Arc::clone(controller)).into_rpc())),
    }
}

struct ClaimService(Arc<Controller>);

#[async_trait]
impl ClaimRpcServer for ClaimService {
    async fn acquire(&self, record: Envelope) -> RpcResult<AcquireReply> {
        Ok(acquire(&self.0, record).await)
    }

    async fn append_claim_record(&self, record: Envelope) -> RpcResult<AppendRecordReply> {
        let deadline = Instant::now() + APPEND_TIMEOUT;
        match self.0.claims.batcher.append(record, deadline).await {
            Ok(()) => Ok(AppendRecordReply::Appended),
            Err(_) => Ok(AppendRecordReply::Failed),
        }
    }

    async fn wait(&self, query: ClaimQuery) -> RpcResult<ClaimView> {
        let fold = &self.0.claims.fold;
        let ended = fold.wait_for(|state| {
            let view = state.view(&query.key, query.digest, query.attempt);
            match &view {
                ClaimView::Held { attempt, .. } if *attempt == query.holder => None,
                _ => Some(view),
            }
        });
        let limit = query.wait.min(MAX_WAIT);
        if let Ok(view) = tokio::time::timeout(limit, ended).await {
            return Ok(view);
        }
        Ok(fold.with(|s| s.view(&query.key, query.digest, query.attempt)))
    }
}

async fn acquire(controller: &Controller, record: Envelope) -> AcquireReply {
    let Body::Claim(ClaimChange::Acquire {
        key,
        attempt,
        digest,
        ..
    }) = &record.body
    else {
        return refused("not an acquisition");
    };
    let (key, attempt, digest) = (key.clone(), *attempt, *digest);
    let claims = &controller.claims;
    let decided = |state: &crate::ClaimState| match state.view(&key, digest, attempt) {
        ClaimView::Pending => None,
        view => Some(view),
    };
    if let Some(view) = claims.fold.with(decided) {
        return AcquireReply::Decided { view };
    }
    if let Some(reason) = claim_store::unavailable_reason(claims) {
        return refused(reason);
    }
    if claims.batcher.is_down() {
        return refused("the log does not answer");
    }
    let deadline = Instant::now() + ACQUIRE_TIMEOUT;
    let append = async {
        match claims.batcher.append(record, deadline).await {
            Ok(()) => std::future::pending().await,
            Err(AppendError::NotSent) => refused("the log does not answer"),
            Err(AppendError::MaybeSent) => AcquireReply::Undecided,
        }
    };
    tokio::select! {
        view = claims.fold.wait_for(decided) => AcquireReply::Decided { view },
        reply = append => reply,
        () = tokio::time::sleep_until(deadline) => AcquireReply::Undecided,
    }
}

fn refused(reason: &str) -> AcquireReply {
    AcquireReply::Refused {
        reason: reason.to_owned(),
    }
}
