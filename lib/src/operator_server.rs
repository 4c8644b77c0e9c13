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

/// Metadata entry with the name of an error's kind.
pub const KIND_METADATA: &str = "hawthornrack-error-kind";

/// Metadata entry with the time to come back, in seconds.
pub const RETRY_METADATA: &str = "retry-after";

/// Largest request that the server reads, in bytes.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;

/// Time between two looks at a move's evidence.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a watcher gets a message although nothing changed.
const PROGRESS_HEARTBEAT: Duration = Duration::from_secs(5);

/// What the operator RPC needs of a controller.
pub trait OperatorBackend: Send + Sync + 'static {
    /// Returns the configuration in force.
    fn config(&self) -> Arc<ConfigState>;

    /// Returns the facts that change without the log.
    fn live(&self) -> Arc<LiveView>;

    /// Returns a receiver that is told of each new configuration in force.
    fn subscribe_config(&self) -> watch::Receiver<Arc<ConfigState>>;

    /// Returns the state of the node.
    fn node_state(&self) -> NodeState;

    /// Returns the current wall time.
    fn now(&self) -> Timestamp;

    /// Returns the share of a running move's new version now, in thousandths.
    fn share_now(&self, spec: &Move) -> u32;

    /// Appends a change and waits until its record came back through the fold.
    ///
    /// # Errors
    ///
    /// Fails when the log does not answer or the process is leaving.
    fn submit(
        &self,
        change: ConfigChange,
    ) -> impl Future<Output = Result<(Offset, Verdict)>> + Send;

    /// Collects the events of this node and of its peers.
    fn timeline(&self, filter: &TimelineFilter) -> impl Future<Output = Timeline> + Send;
}

/// Checks the bearer token of operators.
#[derive(Clone, Debug)]
pub struct OperatorAuth {
    hashes: Arc<[String]>,
}

impl OperatorAuth {
    /// Accepts the tokens with these hashes (SHA-256, lower-case hexadecimal).
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
        // Hashes are compared, so the time that it takes tells nothing about a token.
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

/// Returns the gRPC status of an error, with its kind in the metadata.
pub fn to_status(error: &Error) -> Status {
    let code = Code::from_i32(error.kind.answer().grpc);
    let mut status = Status::new(code, error.to_string());
    let metadata = status.metadata_mut();
    if let Ok(name) = error.kind.name().parse() {
        metadata.insert(KIND_METADATA, name);
    }
    if let Some(secs) = error.retry_after() {
        metadata.insert(RETRY_METADATA, secs.into());
    }
    status
}

/// The operator RPC as a service that a `tonic` server can host.
pub type OperatorRpc<B> = InterceptedService<OperatorServer<OperatorService<B>>, OperatorAuth>;

/// Creates the operator RPC over a backend; watches end once `stopping` is cancelled.
pub fn operator_rpc<B: OperatorBackend>(
    backend: Arc<B>,
    auth: OperatorAuth,
    stopping: CancellationToken,
) -> OperatorRpc<B> {
    let service = OperatorService { backend, stopping };
    let server = OperatorServer::new(service).max_decoding_message_size(MAX_REQUEST_BYTES);
    InterceptedService::new(server, auth)
}

/// Implements the operator RPC over a backend.
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

    /// Submits a change. A change that is refused although what it asks for is in force was
    /// sent again after a lost answer, and counts as accepted.
    async fn submit(&self, change: ConfigChange) -> Result<proto::Verdict> {
        self.check_ready()?;
        let (offset, verdict) = self.backend.submit(change.clone()).await?;
        if verdict != Verdict::Accepted
            && let Some(known) = in_force(&self.backend.config(), &change)
        {
            return Ok(proto::Verdict::new(known, &Verdict::Accepted));
        }
        Ok(proto::Verdict::new(offset, &verdict))
    }
}

/// Returns the offset at which what a change asks for came into force, if it did.
fn in_force(config: &ConfigState, change: &ConfigChange) -> Option<Offset> {
    let last = Offset(config.next.0.saturating_sub(1));
    match change {
        ConfigChange::PutService { service, .. } => {
            let known = config.services.get(&service.name)?;
            (known.value == *service).then_some(known.revision)
        }
        ConfigChange::PutEndpoint { endpoint, .. } => {
            let known = config.endpoints.get(&endpoint.name)?;
            (known.value == *endpoint).then_some(known.revision)
        }
        ConfigChange::PutCustomer { customer, .. } => {
            let known = config.customers.get(&customer.name)?;
            (known.value == *customer).then_some(known.revision)
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
            let known = config.moves.get(&spec.name)?;
            (known.spec == *spec).then_some(last)
        }
        ConfigChange::CancelMove { name } => {
            let end = config.moves.get(name)?.end.as_ref()?;
            (end.result == MoveResult::Cancelled).then_some(last)
        }
        ConfigChange::EndMove { .. } => None,
    }
}

type Answer<T> = Result<Response<T>, Status>;

fn answer<T>(result: Result<T>) -> Answer<T> {
    result.map(Response::new).map_err(|error| to_status(&error))
}

#[tonic::async_trait]
impl<B: OperatorBackend> Operator for OperatorService<B> {
    type WatchMoveStream =
        Pin<Box<dyn Stream<Item = Result<proto::MoveProgress, Status>> + Send + 'static>>;

    async fn get(&self, _request: Request<proto::GetRequest>) -> Answer<proto::Configuration> {
        let read = || {
            self.check_ready()?;
            Ok(proto::Configuration::from(&*self.backend.config()))
        };
        answer(read())
    }

    async fn apply(&self, request: Request<proto::ApplyRequest>) -> Answer<proto::Verdict> {
        let change = ConfigChange::try_from(request.into_inner()).map_err(Error::from);
        match change {
            Ok(change) => answer(self.submit(change).await),
            Err(error) => answer(Err(error)),
        }
    }

    async fn start_move(
        &self,
        request: Request<proto::StartMoveRequest>,
    ) -> Answer<proto::Verdict> {
        match start_change(request.into_inner()) {
            Ok(change) => answer(self.submit(change).await),
            Err(error) => answer(Err(error)),
        }
    }

    async fn cancel_move(
        &self,
        request: Request<proto::CancelMoveRequest>,
    ) -> Answer<proto::Verdict> {
        match parse("name", &request.into_inner().name) {
            Ok(name) => answer(self.submit(ConfigChange::CancelMove { name }).await),
            Err(error) => answer(Err(error.into())),
        }
    }

    async fn watch_move(
        &self,
        request: Request<proto::WatchMoveRequest>,
    ) -> Answer<Self::WatchMoveStream> {
        let watch = || -> Result<Self::WatchMoveStream> {
            let name = parse("name", &request.into_inner().name)?;
            self.check_ready()?;
            Ok(Box::pin(self.watch(name)?))
        };
        answer(watch())
    }

    async fn status(&self, _request: Request<proto::StatusRequest>) -> Answer<proto::StatusReply> {
        let backend = &self.backend;
        let report = NodeReport::new(backend.node_state(), &backend.config(), &backend.live());
        answer(Ok(proto::StatusReply::from(&report)))
    }

    async fn timeline(
        &self,
        request: Request<proto::TimelineRequest>,
    ) -> Answer<proto::TimelineReply> {
        let filter = TimelineFilter::from(request.into_inner());
        let timeline = self.backend.timeline(&filter).await.merge(&filter);
        answer(Ok(proto::TimelineReply::from(&timeline)))
    }

    async fn entries(
        &self,
        _request: Request<proto::EntriesRequest>,
    ) -> Answer<proto::EntriesReply> {
        let rows = entry_rows(&self.backend.live());
        let entries = rows.iter().map(Into::into).collect();
        answer(Ok(proto::EntriesReply { entries }))
    }
}

fn start_change(message: proto::StartMoveRequest) -> Result<ConfigChange> {
    Ok(ConfigChange::StartMove {
        base: Offset(message.base),
        spec: required("move", message.r#move)?.try_into()?,
    })
}

/// A watch of one move.
struct Watch<B> {
    backend: Arc<B>,
    name: MoveName,
    config: watch::Receiver<Arc<ConfigState>>,
    last: Option<(Instant, MoveProgress)>,
    over: bool,
    stopping: CancellationToken,
}

impl<B: OperatorBackend> OperatorService<B> {
    fn watch(
        &self,
        name: MoveName,
    ) -> Result<impl Stream<Item = Result<proto::MoveProgress, Status>> + Send + use<B>> {
        let watch = Watch {
            backend: Arc::clone(&self.backend),
            name,
            config: self.backend.subscribe_config(),
            last: None,
            over: false,
            stopping: self.stopping.clone(),
        };
        watch.progress()?;
        Ok(unfold(watch, |mut watch| async move {
            let message = watch.next().await?;
            Some((message, watch))
        }))
    }
}

impl<B: OperatorBackend> Watch<B> {
    fn progress(&self) -> Result<MoveProgress> {
        let config = self.backend.config();
        let Some(state) = config.moves.get(&self.name) else {
            let detail = format!("there is no move {}", self.name);
            return Err(Error::new(ErrorKind::NotFound, detail));
        };
        let share = self.backend.share_now(&state.spec);
        let now = self.backend.now();
        Ok(MoveProgress::new(state, &self.backend.live(), share, now))
    }

    async fn next(&mut self) -> Option<Result<proto::MoveProgress, Status>> {
        while !self.over {
            self.config.mark_unchanged();
            match self.progress() {
                Ok(progress) if self.is_due(&progress) => {
                    self.over = progress.end.is_some();
                    let message = proto::MoveProgress::from(&progress);
                    self.last = Some((Instant::now(), progress));
                    return Some(Ok(message));
                }
                Ok(_) => {}
                Err(error) => return Some(Err(self.fail(&error))),
            }
            if self.stopping.is_cancelled() {
                let error = Error::new(ErrorKind::Leaving, "watch the move at another node");
                return Some(Err(self.fail(&error)));
            }
            self.wait().await;
        }
        None
    }

    fn is_due(&self, progress: &MoveProgress) -> bool {
        let Some((at, last)) = &self.last else {
            return true;
        };
        last != progress || at.elapsed() >= PROGRESS_HEARTBEAT
    }

    fn fail(&mut self, error: &Error) -> Status {
        self.over = true;
        to_status(error)
    }

    async fn wait(&mut self) {
        tokio::select! {
            Ok(()) = self.config.changed() => {}
            () = sleep(PROGRESS_INTERVAL) => {}
            () = self.stopping.cancelled() => {}
        }
    }
}
