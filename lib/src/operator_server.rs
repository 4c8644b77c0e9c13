//! Server side of the operator RPC.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::Stream;
use futures_util::stream::unfold;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tonic::Code;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::metadata::MetadataMap;
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;

use crate::ConfigChange;
use crate::ConfigState;
use crate::Error;
use crate::ErrorKind;
use crate::LiveView;
use crate::Move;
use crate::MoveName;
use crate::MoveProgress;
use crate::MoveResult;
use crate::NodeReport;
use crate::NodeState;
use crate::Offset;
use crate::Result;
use crate::Timeline;
use crate::TimelineFilter;
use crate::Timestamp;
use crate::Verdict;
use crate::entry_rows;
use crate::operator_convert::parse;
use crate::operator_convert::required;
use crate::operator_proto as proto;
use crate::operator_proto::operator_server::Operator;
use crate::operator_proto::operator_server::OperatorServer;
use crate::token_hash;

/// Metadata key whose value is the name of the [`ErrorKind`].
pub const ERROR_KIND_METADATA_KEY: &str = "hawthornrack-error-kind";

/// Metadata key whose value is the time after which to retry, in seconds.
pub const RETRY_AFTER_METADATA_KEY: &str = "retry-after";

/// Maximum size of a request message.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;

/// Interval at which a watch recomputes the progress of its move; evidence, stops and the share
/// change without a new configuration.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a watch sends its progress again although it has not changed.
const PROGRESS_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Access to a controller's state for the operator RPC.
pub trait OperatorBackend: Send + Sync + 'static {
    /// Returns the configuration in force.
    fn config(&self) -> Arc<ConfigState>;

    /// Returns the state that changes without the log, such as members, evidence and VMs that are
    /// leaving.
    fn live(&self) -> Arc<LiveView>;

    /// Returns a receiver that is notified of each new configuration in force.
    fn subscribe_config(&self) -> watch::Receiver<Arc<ConfigState>>;

    /// Returns the node's readiness, its contact with the log and the leases.
    fn node_state(&self) -> NodeState;

    /// Returns the current wall-clock time.
    fn now(&self) -> Timestamp;

    /// Returns the current traffic share of a running move's new version, in thousandths.
    fn current_share(&self, spec: &Move) -> u32;

    /// Appends a change to the log and waits until its record has been applied. Returns the
    /// record's offset and the verdict on it.
    ///
    /// # Errors
    ///
    /// Fails when the log does not respond or the process is shutting down.
    fn submit(
        &self,
        change: ConfigChange,
    ) -> impl Future<Output = Result<(Offset, Verdict)>> + Send;

    /// Collects the events of this node and of its peers; the result may be unsorted and hold
    /// duplicates.
    fn timeline(&self, filter: &TimelineFilter) -> impl Future<Output = Timeline> + Send;
}

/// Interceptor that rejects calls without a valid operator token.
#[derive(Clone, Debug)]
pub struct OperatorAuth {
    hashes: Arc<[String]>,
}

impl OperatorAuth {
    /// Creates an interceptor that accepts the tokens with these hashes (SHA-256, lower-case
    /// hexadecimal, without prefix).
    pub fn new(hashes: &[String]) -> Self {
        Self {
            hashes: Arc::from(hashes),
        }
    }

    fn accepts(&self, metadata: &MetadataMap) -> bool {
        let header = metadata.get("authorization").and_then(|v| v.to_str().ok());
        let Some(token) = header.and_then(|text| text.strip_prefix("Bearer ")) else {
            return false;
        };
        // Hashes are compared instead of tokens, so that the duration does not reveal a token.
        let hash = token_hash(token);
        self.hashes.contains(&hash)
    }
}

impl Interceptor for OperatorAuth {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        if self.accepts(request.metadata()) {
            return Ok(request);
        }
        let error = Error::new(ErrorKind::Unauthorized, "an operator's token is needed");
        Err(to_status(&error))
    }
}

/// Converts an error to a gRPC status, with the error's kind and any retry time in the metadata.
pub fn to_status(error: &Error) -> Status {
    let code = Code::from_i32(error.kind.mapping().grpc);
    let mut status = Status::new(code, error.to_string());
    let metadata = status.metadata_mut();
    if let Ok(name) = error.kind.name().parse() {
        metadata.insert(ERROR_KIND_METADATA_KEY, name);
    }
    if let Some(secs) = error.retry_after() {
        metadata.insert(RETRY_AFTER_METADATA_KEY, secs.into());
    }
    status
}

/// The operator RPC with its token check, as a service for a `tonic` server.
pub type OperatorRpc<B> = InterceptedService<OperatorServer<OperatorService<B>>, OperatorAuth>;

/// Creates the operator RPC over a backend. Cancelling `stopping` ends open watches with
/// [`ErrorKind::Leaving`].
pub fn operator_rpc<B: OperatorBackend>(
    backend: Arc<B>,
    auth: OperatorAuth,
    stopping: CancellationToken,
) -> OperatorRpc<B> {
    let service = OperatorService { backend, stopping };
    let server = OperatorServer::new(service).max_decoding_message_size(MAX_REQUEST_BYTES);
    InterceptedService::new(server, auth)
}

/// Implementation of the operator RPC. Calls that read, change or watch the configuration fail with
/// [`ErrorKind::NotReady`] until the backend has one in force.
#[derive(Debug)]
pub struct OperatorService<B> {
    backend: Arc<B>,
    stopping: CancellationToken,
}

impl<B: OperatorBackend> OperatorService<B> {
    fn check_ready(&self) -> Result<()> {
        if self.backend.node_state().ready {
            return Ok(());
        }
        let detail = "this node has no configuration in force yet";
        Err(Error::new(ErrorKind::NotReady, detail))
    }

    /// Submits a change. A rejected change whose outcome is already in force counts as accepted: it
    /// is most likely a retry after a lost response.
    async fn submit(&self, change: ConfigChange) -> Result<proto::Verdict> {
        self.check_ready()?;
        let (offset, verdict) = self.backend.submit(change.clone()).await?;
        if verdict != Verdict::Accepted
            && let Some(current) = offset_in_force(&self.backend.config(), &change)
        {
            return Ok(proto::Verdict::new(current, &Verdict::Accepted));
        }
        Ok(proto::Verdict::new(offset, &verdict))
    }
}

/// Returns an offset at which the outcome of a change is in force; `None` if it is not. This is the
/// revision for an object that is put, otherwise the offset of the last applied record.
fn offset_in_force(config: &ConfigState, change: &ConfigChange) -> Option<Offset> {
    let last = Offset(config.next.0.saturating_sub(1));
    match change {
        ConfigChange::PutService { service, .. } => {
            let current = config.services.get(&service.name)?;
            (current.value == *service).then_some(current.revision)
        }
        ConfigChange::PutEndpoint { endpoint, .. } => {
            let current = config.endpoints.get(&endpoint.name)?;
            (current.value == *endpoint).then_some(current.revision)
        }
        ConfigChange::PutCustomer { customer, .. } => {
            let current = config.customers.get(&customer.name)?;
            (current.value == *customer).then_some(current.revision)
        }
        ConfigChange::DeleteService { name, .. } => {
            (!config.services.contains_key(name)).then_some(last)
        }
        ConfigChange::DeleteEndpoint { name, .. } => {
            (!config.endpoints.contains_key(name)).then_some(last)
        }
        ConfigChange::DeleteCustomer { name, .. } => {
            (!config.customers.contains_key(name)).then_some(last)
        }
        ConfigChange::StartMove { spec, .. } => {
            let current = config.moves.get(&spec.name)?;
            (current.spec == *spec).then_some(last)
        }
        ConfigChange::CancelMove { name } => {
            let end = config.moves.get(name)?.end.as_ref()?;
            (end.result == MoveResult::Cancelled).then_some(last)
        }
        ConfigChange::EndMove { .. } => None,
    }
}

type RpcResult<T> = Result<Response<T>, Status>;

fn to_response<T>(result: Result<T>) -> RpcResult<T> {
    result.map(Response::new).map_err(|error| to_status(&error))
}

#[tonic::async_trait]
impl<B: OperatorBackend> Operator for OperatorService<B> {
    type WatchMoveStream =
        Pin<Box<dyn Stream<Item = Result<proto::MoveProgress, Status>> + Send + 'static>>;

    async fn get(&self, _request: Request<proto::GetRequest>) -> RpcResult<proto::Configuration> {
        let read = || {
            self.check_ready()?;
            Ok(proto::Configuration::from(&*self.backend.config()))
        };
        to_response(read())
    }

    async fn apply(&self, request: Request<proto::ApplyRequest>) -> RpcResult<proto::Verdict> {
        let change = ConfigChange::try_from(request.into_inner()).map_err(Error::from);
        match change {
            Ok(change) => to_response(self.submit(change).await),
            Err(error) => to_response(Err(error)),
        }
    }

    async fn start_move(
        &self,
        request: Request<proto::StartMoveRequest>,
    ) -> RpcResult<proto::Verdict> {
        match start_move_change(request.into_inner()) {
            Ok(change) => to_response(self.submit(change).await),
            Err(error) => to_response(Err(error)),
        }
    }

    async fn cancel_move(
        &self,
        request: Request<proto::CancelMoveRequest>,
    ) -> RpcResult<proto::Verdict> {
        match parse("name", &request.into_inner().name) {
            Ok(name) => to_response(self.submit(ConfigChange::CancelMove { name }).await),
            Err(error) => to_response(Err(error.into())),
        }
    }

    async fn watch_move(
        &self,
        request: Request<proto::WatchMoveRequest>,
    ) -> RpcResult<Self::WatchMoveStream> {
        let open = || -> Result<Self::WatchMoveStream> {
            let name = parse("name", &request.into_inner().name)?;
            self.check_ready()?;
            Ok(Box::pin(self.progress_stream(name)?))
        };
        to_response(open())
    }

    async fn status(
        &self,
        _request: Request<proto::StatusRequest>,
    ) -> RpcResult<proto::StatusReply> {
        let backend = &self.backend;
        let report = NodeReport::new(backend.node_state(), &backend.config(), &backend.live());
        to_response(Ok(proto::StatusReply::from(&report)))
    }

    async fn timeline(
        &self,
        request: Request<proto::TimelineRequest>,
    ) -> RpcResult<proto::TimelineReply> {
        let filter = TimelineFilter::from(request.into_inner());
        let timeline = self.backend.timeline(&filter).await.merge(&filter);
        to_response(Ok(proto::TimelineReply::from(&timeline)))
    }

    async fn entries(
        &self,
        _request: Request<proto::EntriesRequest>,
    ) -> RpcResult<proto::EntriesReply> {
        let rows = entry_rows(&self.backend.live());
        let entries = rows.iter().map(Into::into).collect();
        to_response(Ok(proto::EntriesReply { entries }))
    }
}

fn start_move_change(message: proto::StartMoveRequest) -> Result<ConfigChange> {
    Ok(ConfigChange::StartMove {
        base: Offset(message.base),
        spec: required("move", message.r#move)?.try_into()?,
    })
}

/// Stream of one move's progress.
struct MoveWatch<B> {
    backend: Arc<B>,
    name: MoveName,
    config: watch::Receiver<Arc<ConfigState>>,
    last_sent: Option<(Instant, MoveProgress)>,
    finished: bool,
    stopping: CancellationToken,
}

impl<B: OperatorBackend> OperatorService<B> {
    fn progress_stream(
        &self,
        name: MoveName,
    ) -> Result<impl Stream<Item = Result<proto::MoveProgress, Status>> + Send + use<B>> {
        let watch = MoveWatch {
            backend: Arc::clone(&self.backend),
            name,
            config: self.backend.subscribe_config(),
            last_sent: None,
            finished: false,
            stopping: self.stopping.clone(),
        };
        watch.progress()?;
        Ok(unfold(watch, |mut watch| async move {
            let message = watch.next().await?;
            Some((message, watch))
        }))
    }
}

impl<B: OperatorBackend> MoveWatch<B> {
    fn progress(&self) -> Result<MoveProgress> {
        let config = self.backend.config();
        let Some(state) = config.moves.get(&self.name) else {
            let detail = format!("there is no move {}", self.name);
            return Err(Error::new(ErrorKind::NotFound, detail));
        };
        let share = self.backend.current_share(&state.spec);
        let now = self.backend.now();
        Ok(MoveProgress::new(state, &self.backend.live(), share, now))
    }

    async fn next(&mut self) -> Option<Result<proto::MoveProgress, Status>> {
        while !self.finished {
            self.config.mark_unchanged();
            match self.progress() {
                Ok(progress) if self.is_due(&progress) => {
                    self.finished = progress.end.is_some();
                    let message = proto::MoveProgress::from(&progress);
                    self.last_sent = Some((Instant::now(), progress));
                    return Some(Ok(message));
                }
                Ok(_) => {}
                Err(error) => return Some(Err(self.fail(&error))),
            }
            if self.stopping.is_cancelled() {
                let error = Error::new(ErrorKind::Leaving, "watch the move at another node");
                return Some(Err(self.fail(&error)));
            }
            self.wait_for_change().await;
        }
        None
    }

    fn is_due(&self, progress: &MoveProgress) -> bool {
        let Some((at, last)) = &self.last_sent else {
            return true;
        };
        last != progress || at.elapsed() >= PROGRESS_HEARTBEAT_INTERVAL
    }

    fn fail(&mut self, error: &Error) -> Status {
        self.finished = true;
        to_status(error)
    }

    async fn wait_for_change(&mut self) {
        tokio::select! {
            Ok(()) = self.config.changed() => {}
            () = sleep(PROGRESS_POLL_INTERVAL) => {}
            () = self.stopping.cancelled() => {}
        }
    }
}
