//! The controller's deferred requests, and the RPC by which gates accept and run them.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::Methods;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::Body;
use crate::Controller;
use crate::ControllerPlugin;
use crate::DeferredChange;
use crate::DeferredRequest;
use crate::DeferredState;
use crate::Envelope;
use crate::JobView;
use crate::PutAnswer;
use crate::RequestId;
use crate::Result;
use crate::Stage;
use crate::Stream;
use crate::append_batcher::AppendError;
use crate::fold_store::Fold;
use crate::request_digest;
use crate::stream_tail::StreamStore;

/// Time within which an accepted request must be in the log.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time within which a record must have been appended.
const PUT_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which a request that is not known yet is waited for.
const APPEAR_WAIT: Duration = Duration::from_secs(1);

/// Requests listed at once.
const PENDING_LISTED: usize = 1000;

/// Requests at which new ones are refused.
const MAX_JOBS: usize = 50_000;

/// Deferred requests at this node.
pub(crate) type DeferredStore = StreamStore<DeferredState>;

/// Creates the store of deferred requests.
pub(crate) fn deferred_store() -> Arc<DeferredStore> {
    let fold = Fold {
        apply: DeferredState::apply,
        after_gap: DeferredState::after_gap,
        is_whole: DeferredState::is_whole,
    };
    Arc::new(StreamStore::new(Stream::Deferred, fold))
}

/// Answer to a request that is to be accepted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AcceptAnswer {
    /// The request is in the log.
    Accepted,
    /// The request's key stands in the log with another request.
    KeyReused,
    /// The request is not in the log and will not get there.
    NotSent,
    /// The request may get into the log.
    MaybeSent,
}

/// Calls of gates on a controller, about deferred requests.
#[rpc(client, server, namespace = "deferred")]
pub trait DeferredRpc {
    /// Appends the acceptance of a request.
    #[method(name = "accept")]
    async fn accept(&self, record: Envelope) -> RpcResult<AcceptAnswer>;

    /// Appends a record.
    #[method(name = "put")]
    async fn put_deferred(&self, record: Envelope) -> RpcResult<PutAnswer>;

    /// Lists the oldest requests that are not answered.
    #[method(name = "pending")]
    async fn pending(&self) -> RpcResult<Vec<RequestId>>;

    /// Returns a request that is not answered.
    #[method(name = "fetch")]
    async fn fetch(&self, id: RequestId) -> RpcResult<Option<DeferredRequest>>;

    /// Tells what is known of a request.
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

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(controller: &Arc<Controller>) -> Result<()> {
    controller.deferred.start(controller);
    Ok(())
}

struct DeferredService(Arc<Controller>);

#[async_trait]
impl DeferredRpcServer for DeferredService {
    async fn accept(&self, record: Envelope) -> RpcResult<AcceptAnswer> {
        Ok(accept(&self.0.deferred, record).await)
    }

    async fn put_deferred(&self, record: Envelope) -> RpcResult<PutAnswer> {
        let deadline = Instant::now() + PUT_TIMEOUT;
        match self.0.deferred.batcher.append(record, deadline).await {
            Ok(()) => Ok(PutAnswer::Appended),
            Err(_) => Ok(PutAnswer::Failed),
        }
    }

    async fn pending(&self) -> RpcResult<Vec<RequestId>> {
        Ok(self.0.deferred.fold.with(|s| s.pending(PENDING_LISTED)))
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
            JobView::Absent | JobView::Missing => None,
            view => Some(view),
        });
        if let Ok(view) = tokio::time::timeout(APPEAR_WAIT, known).await {
            return Ok(view);
        }
        let view = fold.with(|s| s.view(id));
        let is_read = fold.is_caught_up();
        Ok(if is_read { view } else { JobView::Missing })
    }
}

async fn accept(deferred: &DeferredStore, record: Envelope) -> AcceptAnswer {
    let Body::Deferred(DeferredChange::Accept { request }) = &record.body else {
        return AcceptAnswer::NotSent;
    };
    let (id, digest) = (request.id, request_digest(request));
    let decided = |state: &DeferredState| {
        let job = state.job(id).filter(|j| j.request.is_some())?;
        let is_same = job.digest == digest;
        Some(if is_same {
            AcceptAnswer::Accepted
        } else {
            AcceptAnswer::KeyReused
        })
    };
    if let Some(answer) = deferred.fold.with(decided) {
        return answer;
    }
    let is_full = deferred.fold.with(DeferredState::len) >= MAX_JOBS;
    if deferred.batcher.is_down() || is_full {
        return AcceptAnswer::NotSent;
    }
    let deadline = Instant::now() + ACCEPT_TIMEOUT;
    let append = async {
        match deferred.batcher.append(record, deadline).await {
            Ok(()) => std::future::pending().await,
            Err(AppendError::NotSent) => AcceptAnswer::NotSent,
            Err(AppendError::MaybeSent) => AcceptAnswer::MaybeSent,
        }
    };
    tokio::select! {
        answer = deferred.fold.wait_for(decided) => answer,
        answer = append => answer,
        () = tokio::time::sleep_until(deadline) => AcceptAnswer::MaybeSent,
    }
}
