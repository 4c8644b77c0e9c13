//! The RPC by which gates claim calls that may not be repeated.

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
use crate::claim_tail;

/// Time within which an acquisition must have come back from the log.
pub(crate) const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time within which a record must have been appended.
const PUT_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest wait for a change of a claim.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Asks what an attempt may do.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClaimQuery {
    /// Call.
    pub key: ClaimKey,
    /// Digest of the call.
    pub digest: u64,
    /// Attempt that asks.
    pub attempt: AttemptId,
    /// Attempt whose end is waited for.
    pub holder: AttemptId,
    /// Time for which to wait while `holder` holds the claim.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub wait: Duration,
}

/// Answer to an acquisition.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum AcquireAnswer {
    /// The acquisition was decided, or was not needed to know the outcome.
    Decided {
        /// What the attempt may do.
        view: ClaimView,
    },
    /// Nothing was sent to the log.
    Refused {
        /// Reason for the reader.
        reason: String,
    },
    /// The acquisition may be in the log, and its verdict is not known.
    Undecided,
}

/// Answer to records sent for the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PutAnswer {
    /// The records are in the log.
    Appended,
    /// The records may not be in the log; they may be sent again.
    Failed,
}

/// Calls of gates on a controller, about claims.
#[rpc(client, server, namespace = "claims")]
pub trait ClaimRpc {
    /// Appends an acquisition and answers once it has been decided by its place in the log.
    #[method(name = "acquire")]
    async fn acquire(&self, record: Envelope) -> RpcResult<AcquireAnswer>;

    /// Appends a record.
    #[method(name = "put")]
    async fn put(&self, record: Envelope) -> RpcResult<PutAnswer>;

    /// Waits while another attempt holds the claim, then tells what the attempt may do.
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
    async fn acquire(&self, record: Envelope) -> RpcResult<AcquireAnswer> {
        Ok(acquire(&self.0, record).await)
    }

    async fn put(&self, record: Envelope) -> RpcResult<PutAnswer> {
        let deadline = Instant::now() + PUT_TIMEOUT;
        match self.0.claims.batcher.append(record, deadline).await {
            Ok(()) => Ok(PutAnswer::Appended),
            Err(_) => Ok(PutAnswer::Failed),
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

async fn acquire(controller: &Controller, record: Envelope) -> AcquireAnswer {
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
        return AcquireAnswer::Decided { view };
    }
    if let Some(reason) = claim_tail::refusal(claims) {
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
            Err(AppendError::MaybeSent) => AcquireAnswer::Undecided,
        }
    };
    tokio::select! {
        view = claims.fold.wait_for(decided) => AcquireAnswer::Decided { view },
        answer = append => answer,
        () = tokio::time::sleep_until(deadline) => AcquireAnswer::Undecided,
    }
}

fn refused(reason: &str) -> AcquireAnswer {
    AcquireAnswer::Refused {
        reason: reason.to_owned(),
    }
}
