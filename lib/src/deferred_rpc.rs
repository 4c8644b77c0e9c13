//! The controller's store of deferred requests, and the RPC through which gates accept and run
//! them.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::Methods;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::AppendRecordReply;
use crate::Body;
use crate::Controller;
use crate::ControllerPlugin;
use crate::DeferredChange;
use crate::DeferredRequest;
use crate::DeferredState;
use crate::Envelope;
use crate::JobView;
use crate::RequestId;
use crate::Result;
use crate::Stage;
use crate::Stream;
use crate::append_batcher::AppendError;
use crate::fold_store::Fold;
use crate::request_digest;
use crate::stream_tail::StreamStore;

/// Timeout for appending a request and reading it back from the log.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout for appending a record.
const APPEND_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time for which one `job` call waits for a request that is not known yet.
const MAX_JOB_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of unanswered requests returned by one call.
const MAX_LISTED_JOBS: usize = 1000;

/// Number of stored requests at which new ones are refused.
const MAX_JOBS: usize = 50_000;

/// Store of the deferred requests at this node.
pub(crate) type DeferredStore = StreamStore<DeferredState>;

/// Creates an empty store of deferred requests.
pub(crate) fn new_deferred_store() -> Arc<DeferredStore> {
    let fold = Fold {
        apply: DeferredState::apply,
        after_gap: DeferredState::after_gap,
        is_complete: DeferredState::is_complete,
    };
    Arc::new(StreamStore::new(Stream::Deferred, fold))
}

/// Reply to a request to accept a deferred request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AcceptReply {
    /// The request is in the log.
    Accepted,
    /// The log holds a different request under the same key.
    KeyReused,
    /// The request is not in the log and will not be written to it.
    NotSent,
    /// The request may be in the log or be written to it later.
    MaybeSent,
}

/// Calls about deferred requests from a gate to a controller.
#[rpc(client, server, namespace = "deferred")]
pub trait DeferredRpc {
    /// Appends the record that accepts a request.
    #[method(name = "accept")]
    async fn accept(&self, record: Envelope) -> RpcResult<AcceptReply>;

    /// Appends a record.
    #[method(name = "put")]
    async fn append_deferred_record(&self, record: Envelope) -> RpcResult<AppendRecordReply>;

    /// Lists the oldest requests without a response.
    #[method(name = "pending")]
    async fn pending(&self) -> RpcResult<Vec<RequestId>>;

    /// Returns a request, or `None` if it is unknown or has a response.
    #[method(name = "fetch")]
    async fn fetch(&self, id: RequestId) -> RpcResult<Option<DeferredRequest>>;

    /// Returns the state of a request, after a short wait if it is not known yet.
    #[method(name = "job")]
    async fn job(&self, id: RequestId) -> RpcResult<JobView>;
}

inventory::submit! {
    ControllerPlugin {
        name: "deferred",
        stage: Stage::State,
        start,
        methods: Some(|controller| {
            Methods::from(DeferredService(Arc::clone(controller)).into_rpc())
        }),
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "signature required by ControllerPlugin"
)]
fn start(controller: &Arc<Controller>) -> Result<()> {
    controller.deferred.start(controller);
    Ok(())
}

struct DeferredService(Arc<Controller>);

#[async_trait]
impl DeferredRpcServer for DeferredService {
    async fn accept(&self, record: Envelope) -> RpcResult<AcceptReply> {
        Ok(accept(&self.0.deferred, record).await)
    }

    async fn append_deferred_record(&self, record: Envelope) -> RpcResult<AppendRecordReply> {
        let deadline = Instant::now() + APPEND_TIMEOUT;
        match self.0.deferred.batcher.append(record, deadline).await {
            Ok(()) => Ok(AppendRecordReply::Appended),
            Err(_) => Ok(AppendRecordReply::Failed),
        }
    }

    async fn pending(&self) -> RpcResult<Vec<RequestId>> {
        Ok(self.0.deferred.fold.with(|s| s.pending(MAX_LISTED_JOBS)))
    }

    async fn fetch(&self, id: RequestId) -> RpcResult<Option<DeferredRequest>> {
        let fold = &self.0.deferred.fold;
        Ok(fold.with(|state| {
            let job = state.job(id).filter(|j| j.reply.is_none());
            job.and_then(|j| j.request.clone())
        }))
    }

    async fn job(&self, id: RequestId) -> RpcResult<JobView> {
        let fold = &self.0.deferred.fold;
        let known = fold.wait_for(|state| match state.view(id) {
            JobView::NotFound | JobView::Unknown => None,
            view => Some(view),
        });
        if let Ok(view) = tokio::time::timeout(MAX_JOB_WAIT, known).await {
            return Ok(view);
        }
        let view = fold.with(|s| s.view(id));
        let is_current = fold.is_caught_up();
        Ok(if is_current { view } else { JobView::Unknown })
    }
}

async fn accept(deferred: &DeferredStore, record: Envelope) -> AcceptReply {
    let Body::Deferred(DeferredChange::Accept { request }) = &record.body else {
        return AcceptReply::NotSent;
    };
    let (id, digest) = (request.id, request_digest(request));
    let decided = |state: &DeferredState| {
        let job = state.job(id).filter(|j| j.request.is_some())?;
        let is_same = job.digest == digest;
        Some(if is_same {
            AcceptReply::Accepted
        } else {
            AcceptReply::KeyReused
        })
    };
    if let Some(reply) = deferred.fold.with(decided) {
        return reply;
    }
    let is_full = deferred.fold.with(DeferredState::len) >= MAX_JOBS;
    if deferred.batcher.is_down() || is_full {
        return AcceptReply::NotSent;
    }
    let deadline = Instant::now() + ACCEPT_TIMEOUT;
    let append = async {
        match deferred.batcher.append(record, deadline).await {
            Ok(()) => std::future::pending().await,
            Err(AppendError::NotSent) => AcceptReply::NotSent,
            Err(AppendError::MaybeSent) => AcceptReply::MaybeSent,
        }
    };
    tokio::select! {
        reply = deferred.fold.wait_for(decided) => reply,
        reply = append => reply,
        () = tokio::time::sleep_until(deadline) => AcceptReply::MaybeSent,
    }
}
