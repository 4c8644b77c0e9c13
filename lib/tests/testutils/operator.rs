//! Server and client of the operator RPC over an in-memory backend.
#![allow(dead_code, reason = "each test file uses its own part")]

use hawthornrack_lib::Body;
use hawthornrack_lib::Clock;
use hawthornrack_lib::ConfigChange;
use hawthornrack_lib::ConfigState;
use hawthornrack_lib::ERROR_KIND_METADATA_KEY;
use hawthornrack_lib::Envelope;
use hawthornrack_lib::Error;
use hawthornrack_lib::ErrorKind;
use hawthornrack_lib::EventLog;
use hawthornrack_lib::KeySupport;
use hawthornrack_lib::LeaseRow;
use hawthornrack_lib::LiveView;
use hawthornrack_lib::Move;
use hawthornrack_lib::MoveProgress;
use hawthornrack_lib::MoveResult;
use hawthornrack_lib::NodeState;
use hawthornrack_lib::Offset;
use hawthornrack_lib::OperatorAuth;
use hawthornrack_lib::OperatorBackend;
use hawthornrack_lib::Priority;
use hawthornrack_lib::Record;
use hawthornrack_lib::RecordId;
use hawthornrack_lib::Result;
use hawthornrack_lib::Route;
use hawthornrack_lib::Service;
use hawthornrack_lib::ServiceKind;
use hawthornrack_lib::Timeline;
use hawthornrack_lib::TimelineFilter;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::Version;
use hawthornrack_lib::operator_proto as proto;
use hawthornrack_lib::operator_proto::operator_client::OperatorClient;
use hawthornrack_lib::operator_rpc;
use hawthornrack_lib::token_hash;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::sync::CancellationToken;
use tonic::Request;
use tonic::Status;
use tonic::metadata::MetadataValue;
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Channel;
use tonic::transport::Server;

pub const OPERATOR_TOKEN: &str = "the operators' token";

pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Backend without a log: a submitted change is in force at once.
///
/// Its timeline ignores the filter, is in reverse order and holds each event twice, as may happen
/// when several peers return the same events. It always reports the events of `n2` as missing.
pub struct InMemoryBackend {
    pub clock: Clock,
    pub config: watch::Sender<Arc<ConfigState>>,
    pub events: EventLog,
    /// Kind of the error with which `submit` fails instead of applying the change, if any.
    pub submit_error: Mutex<Option<ErrorKind>>,
    pub live: Mutex<Arc<LiveView>>,
    /// Readiness that `node_state` reports.
    pub ready: Mutex<bool>,
    /// Share of the moving traffic that `current_share` reports, in thousandths.
    pub share: Mutex<u32>,
}

impl InMemoryBackend {
    pub fn new() -> Arc<Self> {
        let clock = Clock::from_system_time();
        Arc::new(Self {
            clock,
            config: watch::Sender::new(Arc::default()),
            events: EventLog::new("n1", clock),
            submit_error: Mutex::new(None),
            live: Mutex::default(),
            ready: Mutex::new(true),
            share: Mutex::new(0),
        })
    }

    pub fn commit(&self, change: ConfigChange) -> (Offset, Verdict) {
        let mut state = ConfigState::clone(&self.config.borrow());
        let offset = state.next;
        let envelope = Envelope {
            id: RecordId::random(),
            writer: name("n1"),
            at: self.clock.now(),
            body: Body::Config(change),
        };
        let verdict = state.apply(&Record { offset, envelope });
        self.config.send_replace(Arc::new(state));
        (offset, verdict.expect("a verdict"))
    }

    pub fn end_move(&self, result: MoveResult) {
        let change = ConfigChange::EndMove {
            name: name("to-v2"),
            result,
            reason: String::from("the reason"),
        };
        assert_eq!(self.commit(change).1, Verdict::Accepted);
    }
}

impl OperatorBackend for InMemoryBackend {
    fn config(&self) -> Arc<ConfigState> {
        Arc::clone(&self.config.borrow())
    }

    fn live(&self) -> Arc<LiveView> {
        Arc::clone(&self.live.lock())
    }

    fn subscribe_config(&self) -> watch::Receiver<Arc<ConfigState>> {
        self.config.subscribe()
    }

    fn node_state(&self) -> NodeState {
        NodeState {
            node: name("n1"),
            ready: *self.ready.lock(),
            log_reachable: true,
            leases: vec![LeaseRow {
                duty: String::from("service advisor"),
                holder: name("n1"),
                epoch: hawthornrack_lib::Epoch(7),
            }],
        }
    }

    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    fn current_share(&self, _spec: &Move) -> u32 {
        *self.share.lock()
    }

    async fn submit(&self, change: ConfigChange) -> Result<(Offset, Verdict)> {
        if let Some(kind) = *self.submit_error.lock() {
            return Err(Error::new(kind, "error injected by the test"));
        }
        Ok(self.commit(change))
    }

    async fn timeline(&self, _filter: &TimelineFilter) -> Timeline {
        let mut events = self.events.since(0);
        events.extend(events.clone());
        events.reverse();
        Timeline {
            events,
            missing: vec![String::from("n2")],
        }
    }
}

/// Parses a name of any kind.
pub fn name<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

pub fn service() -> Service {
    let version = |share| Version {
        model: String::from("advisor-7b"),
        share,
    };
    Service {
        name: name("advisor"),
        kind: ServiceKind::Model,
        versions: IndexMap::from([(name("v1"), version(1000)), (name("v2"), version(0))]),
        routes: vec![Route {
            prefix: String::from("fit-check"),
            repeatable: true,
            priority: Priority::Deferred,
            timeout: Duration::from_millis(1500),
        }],
        keys: KeySupport::Lookup,
        fenced: true,
        target: Duration::from_millis(960),
        replicas: 3,
    }
}

/// Returns a request that creates the service, or replaces it if `base` is its current revision.
pub fn put_service_request(base: Option<u64>, service: &Service) -> proto::ApplyRequest {
    let change = ConfigChange::PutService {
        base: base.map(Offset),
        service: service.clone(),
    };
    proto::ApplyRequest::from_change(&change).expect("a change of a service")
}

/// Returns a request to start the move `to-v2` on revision `base` of its service. The revision is
/// the offset of the service's last change: 0 if the service was created by the first record.
pub fn start_move_request(base: u64) -> proto::StartMoveRequest {
    let spec = Move {
        name: name("to-v2"),
        service: name("advisor"),
        from: name("v1"),
        to: name("v2"),
        start: Timestamp(1),
        deadline: Timestamp(u64::MAX),
    };
    proto::StartMoveRequest {
        base,
        r#move: Some((&spec).into()),
    }
}

pub type Client = OperatorClient<InterceptedService<Channel, AddBearerToken>>;

#[derive(Clone, Debug)]
pub struct AddBearerToken;

impl Interceptor for AddBearerToken {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        let value: MetadataValue<_> = format!("Bearer {OPERATOR_TOKEN}")
            .parse()
            .expect("an ASCII token");
        request.metadata_mut().insert("authorization", value);
        Ok(request)
    }
}

pub struct OperatorFixture {
    pub backend: Arc<InMemoryBackend>,
    pub client: Client,
    pub channel: Channel,
    pub stopping: CancellationToken,
}

/// Starts a server on a free port and connects a client with a valid token.
pub async fn start_server() -> OperatorFixture {
    let backend = InMemoryBackend::new();
    let stopping = CancellationToken::new();
    let auth = OperatorAuth::new(&[token_hash(OPERATOR_TOKEN)]);
    let rpc = operator_rpc(Arc::clone(&backend), auth, stopping.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let server = Server::builder().add_service(rpc);
    let incoming = TcpListenerStream::new(listener);
    let stopped = stopping.clone().cancelled_owned();
    tokio::spawn(server.serve_with_incoming_shutdown(incoming, stopped));
    let endpoint = Channel::from_shared(format!("http://{address}")).expect("a valid address");
    let channel = endpoint.connect().await.expect("a connection");
    OperatorFixture {
        backend,
        client: OperatorClient::with_interceptor(channel.clone(), AddBearerToken),
        channel,
        stopping,
    }
}

impl OperatorFixture {
    pub async fn apply(&mut self, request: proto::ApplyRequest) -> Verdict {
        let reply = self.client.apply(request).await.expect("a verdict");
        reply.into_inner().try_into().expect("a known verdict")
    }

    /// Puts the service and starts a move of its traffic from `v1` to `v2`.
    pub async fn start_move(&mut self) {
        assert_eq!(
            self.apply(put_service_request(None, &service())).await,
            Verdict::Accepted
        );
        let reply = self.client.start_move(start_move_request(0)).await;
        let verdict = reply.expect("a verdict").into_inner().try_into();
        assert_eq!(verdict, Ok(Verdict::Accepted));
    }

    pub async fn watch(&mut self) -> tonic::Streaming<proto::MoveProgress> {
        let name = String::from("to-v2");
        let request = proto::WatchMoveRequest { name };
        let reply = self.client.watch_move(request).await;
        reply.expect("a stream").into_inner()
    }
}

/// Returns the next message of a watch; `None` once the stream has ended.
pub async fn next_progress(
    stream: &mut tonic::Streaming<proto::MoveProgress>,
) -> Option<MoveProgress> {
    let message = timeout(MESSAGE_TIMEOUT, stream.message())
        .await
        .expect("a message in time");
    message
        .expect("no error")
        .map(|message| message.try_into().expect("a known message"))
}

pub fn error_kind(status: &Status) -> Option<&str> {
    status
        .metadata()
        .get(ERROR_KIND_METADATA_KEY)?
        .to_str()
        .ok()
}
