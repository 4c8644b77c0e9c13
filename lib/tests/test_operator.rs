//! Tests of the operator RPC over a backend in memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthornrack_lib::Body;
use hawthornrack_lib::Clock;
use hawthornrack_lib::ConfigChange;
use hawthornrack_lib::ConfigState;
use hawthornrack_lib::Counters;
use hawthornrack_lib::Customer;
use hawthornrack_lib::Envelope;
use hawthornrack_lib::Error;
use hawthornrack_lib::ErrorKind;
use hawthornrack_lib::Event;
use hawthornrack_lib::EventLog;
use hawthornrack_lib::EvidenceKey;
use hawthornrack_lib::EvidenceRow;
use hawthornrack_lib::GateInfo;
use hawthornrack_lib::KIND_METADATA;
use hawthornrack_lib::KeySupport;
use hawthornrack_lib::LeaseRow;
use hawthornrack_lib::LiveView;
use hawthornrack_lib::Member;
use hawthornrack_lib::MemberState;
use hawthornrack_lib::Move;
use hawthornrack_lib::MovePhase;
use hawthornrack_lib::MoveProgress;
use hawthornrack_lib::MoveResult;
use hawthornrack_lib::NodeReport;
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
use hawthornrack_lib::Stop;
use hawthornrack_lib::Timeline;
use hawthornrack_lib::TimelineFilter;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::Version;
use hawthornrack_lib::Versioned;
use hawthornrack_lib::WINDOW_MS;
use hawthornrack_lib::operator_proto as proto;
use hawthornrack_lib::operator_proto::operator_client::OperatorClient;
use hawthornrack_lib::operator_rpc;
use hawthornrack_lib::to_status;
use hawthornrack_lib::token_hash;
use indexmap::IndexMap;
use parking_lot::Mutex;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::sync::CancellationToken;
use tonic::Code;
use tonic::Request;
use tonic::Status;
use tonic::metadata::MetadataValue;
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Channel;
use tonic::transport::Server;

const TOKEN: &str = "the operators' token";

const PATIENCE: Duration = Duration::from_secs(10);

/// A backend without a log: a change is in force once it is submitted.
struct Memory {
    clock: Clock,
    config: watch::Sender<Arc<ConfigState>>,
    events: EventLog,
    fault: Mutex<Option<ErrorKind>>,
    live: Mutex<Arc<LiveView>>,
    ready: Mutex<bool>,
    share: Mutex<u32>,
}

impl Memory {
    fn new() -> Arc<Self> {
        let clock = Clock::anchored();
        Arc::new(Self {
            clock,
            config: watch::Sender::new(Arc::default()),
            events: EventLog::new("n1", clock),
            fault: Mutex::new(None),
            live: Mutex::default(),
            ready: Mutex::new(true),
            share: Mutex::new(0),
        })
    }

    fn commit(&self, change: ConfigChange) -> (Offset, Verdict) {
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

    fn end_move(&self, result: MoveResult) {
        let change = ConfigChange::EndMove {
            name: name("to-v2"),
            result,
            reason: String::from("the reason"),
        };
        assert_eq!(self.commit(change).1, Verdict::Accepted);
    }
}

impl OperatorBackend for Memory {
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

    fn share_now(&self, _spec: &Move) -> u32 {
        *self.share.lock()
    }

    async fn submit(&self, change: ConfigChange) -> Result<(Offset, Verdict)> {
        if let Some(kind) = *self.fault.lock() {
            return Err(Error::new(kind, "a fault of the test"));
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

fn name<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn service() -> Service {
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

fn put_service(base: Option<u64>, service: &Service) -> proto::ApplyRequest {
    let change = ConfigChange::PutService {
        base: base.map(Offset),
        service: service.clone(),
    };
    proto::ApplyRequest::from_change(&change).expect("a change of a service")
}

fn start_request(base: u64) -> proto::StartMoveRequest {
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

type Client = OperatorClient<InterceptedService<Channel, AddToken>>;

#[derive(Clone, Debug)]
struct AddToken;

impl Interceptor for AddToken {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        let value: MetadataValue<_> = format!("Bearer {TOKEN}").parse().expect("an ASCII token");
        request.metadata_mut().insert("authorization", value);
        Ok(request)
    }
}

struct Bench {
    backend: Arc<Memory>,
    client: Client,
    channel: Channel,
    stopping: CancellationToken,
}

async fn start() -> Bench {
    let backend = Memory::new();
    let stopping = CancellationToken::new();
    let auth = OperatorAuth::new(&[token_hash(TOKEN)]);
    let rpc = operator_rpc(Arc::clone(&backend), auth, stopping.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let server = Server::builder().add_service(rpc);
    let incoming = TcpListenerStream::new(listener);
    let stopped = stopping.clone().cancelled_owned();
    tokio::spawn(server.serve_with_incoming_shutdown(incoming, stopped));
    let endpoint = Channel::from_shared(format!("http://{address}")).expect("a valid address");
    let channel = endpoint.connect().await.expect("a connection");
    Bench {
        backend,
        client: OperatorClient::with_interceptor(channel.clone(), AddToken),
        channel,
        stopping,
    }
}

impl Bench {
    async fn apply(&mut self, request: proto::ApplyRequest) -> Verdict {
        let reply = self.client.apply(request).await.expect("a verdict");
        reply.into_inner().try_into().expect("a known verdict")
    }

    async fn start_move(&mut self) {
        assert_eq!(
            self.apply(put_service(None, &service())).await,
            Verdict::Accepted
        );
        let reply = self.client.start_move(start_request(0)).await;
        let verdict = reply.expect("a verdict").into_inner().try_into();
        assert_eq!(verdict, Ok(Verdict::Accepted));
    }

    async fn watch(&mut self) -> tonic::Streaming<proto::MoveProgress> {
        let name = String::from("to-v2");
        let request = proto::WatchMoveRequest { name };
        let reply = self.client.watch_move(request).await;
        reply.expect("a stream").into_inner()
    }
}

async fn next(stream: &mut tonic::Streaming<proto::MoveProgress>) -> Option<MoveProgress> {
    let message = timeout(PATIENCE, stream.message())
        .await
        .expect("a message in time");
    message
        .expect("no error")
        .map(|message| message.try_into().expect("a known message"))
}

fn kind(status: &Status) -> Option<&str> {
    status.metadata().get(KIND_METADATA)?.to_str().ok()
}

#[rstest]
#[case::none(None)]
#[case::wrong(Some("Bearer another token"))]
#[case::hash(Some("Bearer 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"))]
#[case::basic(Some("Basic dXNlcjpwYXNz"))]
#[tokio::test]
async fn test_operator_wrong_token_learns_nothing(#[case] header: Option<&'static str>) {
    let bench = start().await;
    *bench.backend.ready.lock() = false;
    let mut client = OperatorClient::new(bench.channel.clone());
    let request = || {
        let mut request = Request::new(proto::WatchMoveRequest::default());
        if let Some(header) = header {
            let value = MetadataValue::from_static(header);
            request.metadata_mut().insert("authorization", value);
        }
        request
    };
    let watch = client.watch_move(request()).await.expect_err("refused");
    let get = client.get(request().map(|_| proto::GetRequest {})).await;
    for status in [watch, get.expect_err("refused")] {
        assert_eq!(status.code(), Code::Unauthenticated);
        assert_eq!(kind(&status), Some("unauthorized"));
        assert!(!status.message().contains("token hash"), "{status}");
    }
}

#[tokio::test]
async fn test_operator_configuration_comes_back_as_applied() {
    let mut bench = start().await;
    assert_eq!(
        bench.apply(put_service(None, &service())).await,
        Verdict::Accepted
    );
    let customer = Customer {
        name: name("kanem"),
        tokens: vec![token_hash("secret")],
        weight: 2,
    };
    let change = ConfigChange::PutCustomer {
        base: None,
        customer: customer.clone(),
    };
    let request = proto::ApplyRequest::from_change(&change).expect("a change");
    assert_eq!(bench.apply(request).await, Verdict::Accepted);
    let reply = bench
        .client
        .get(proto::GetRequest {})
        .await
        .expect("an answer");
    let state = ConfigState::try_from(reply.into_inner()).expect("a configuration");
    assert_eq!(state.next, Offset(2));
    let kept = Versioned {
        revision: Offset(0),
        value: service(),
    };
    assert_eq!(state.services[&service().name], kept);
    assert_eq!(state.customers[&customer.name].value, customer);
}

#[tokio::test]
async fn test_operator_racing_changes_conflict_and_repeats_do_not() {
    let mut bench = start().await;
    let first = put_service(None, &service());
    assert_eq!(bench.apply(first.clone()).await, Verdict::Accepted);
    assert_eq!(bench.apply(first).await, Verdict::Accepted, "sent again");
    let mut other = service();
    other.replicas = 9;
    let verdict = bench.apply(put_service(None, &other)).await;
    let current = Some(Offset(0));
    assert_eq!(verdict, Verdict::Conflict { current });
    assert_eq!(
        bench.apply(put_service(Some(0), &other)).await,
        Verdict::Accepted
    );
    let verdict = bench.apply(put_service(Some(0), &service())).await;
    assert!(matches!(verdict, Verdict::Conflict { current: Some(_) }));
}

#[tokio::test]
async fn test_operator_change_that_breaks_a_rule_is_invalid() {
    let mut bench = start().await;
    let mut bad = service();
    bad.versions[1].share = 1;
    let verdict = bench.apply(put_service(None, &bad)).await;
    let Verdict::Invalid { reason } = verdict else {
        panic!("{verdict:?}");
    };
    assert!(reason.contains("add up to 1000"), "{reason}");
}

fn without_change(_request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    proto::ApplyRequest::default()
}

fn edited(request: &mut proto::ApplyRequest, edit: fn(&mut proto::Service)) -> proto::ApplyRequest {
    let Some(proto::apply_request::Change::PutService(put)) = &mut request.change else {
        panic!("a change of a service");
    };
    edit(put.service.as_mut().expect("a service"));
    request.clone()
}

fn without_kind(request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    edited(request, |service| service.kind = 0)
}

fn with_bad_name(request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    edited(request, |service| service.name = String::from("a b"))
}

fn with_version_twice(request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    edited(request, |service| {
        service.versions[1].name = String::from("v1");
    })
}

fn with_no_timeout(request: &mut proto::ApplyRequest) -> proto::ApplyRequest {
    edited(request, |service| service.routes[0].timeout_ms = 0)
}

#[rstest]
#[case::no_change(without_change, "change is missing")]
#[case::no_kind(without_kind, "service.kind")]
#[case::bad_name(with_bad_name, "service.name")]
#[case::twice(with_version_twice, "service.versions is given twice: v1")]
#[case::timeout(with_no_timeout, "route.timeout_ms")]
#[tokio::test]
async fn test_operator_bad_field_is_named(
    #[case] edit: fn(&mut proto::ApplyRequest) -> proto::ApplyRequest,
    #[case] field: &str,
) {
    let mut bench = start().await;
    let request = edit(&mut put_service(None, &service()));
    let status = bench.client.apply(request).await.expect_err("refused");
    assert_eq!(status.code(), Code::InvalidArgument);
    assert_eq!(kind(&status), Some("bad_request"));
    assert!(status.message().contains(field), "{status}");
    assert_eq!(
        bench.backend.config().next,
        Offset(0),
        "nothing was submitted"
    );
}

#[tokio::test]
async fn test_operator_refusal_names_its_kind() {
    let mut bench = start().await;
    *bench.backend.fault.lock() = Some(ErrorKind::LogUnavailable);
    let request = put_service(None, &service());
    let status = bench.client.apply(request).await.expect_err("refused");
    assert_eq!(status.code(), Code::Unavailable);
    assert_eq!(kind(&status), Some("log_unavailable"));
    assert_eq!(status.metadata().get("retry-after").expect("a time"), "5");
    *bench.backend.ready.lock() = false;
    let status = bench
        .client
        .get(proto::GetRequest {})
        .await
        .expect_err("refused");
    assert_eq!(kind(&status), Some("not_ready"));
}

#[test]
fn test_operator_status_follows_the_table() {
    for kind in ErrorKind::ALL {
        let error = Error::new(kind, "a fault of the test");
        let status = to_status(&error);
        assert_eq!(status.code() as i32, kind.answer().grpc);
        let name = status.metadata().get(KIND_METADATA).expect("a kind");
        assert_eq!(name.to_str().expect("ASCII"), kind.name());
        let known = status.metadata().contains_key("retry-after");
        assert_eq!(known, error.retry_after().is_some());
    }
}

#[rstest]
#[case(MoveResult::Done, 1000)]
#[case(MoveResult::TakenBack, 0)]
#[tokio::test]
async fn test_operator_watch_ends_once(#[case] result: MoveResult, #[case] last: u32) {
    let mut bench = start().await;
    bench.start_move().await;
    *bench.backend.share.lock() = 50;
    let mut stream = bench.watch().await;
    let first = next(&mut stream).await.expect("progress");
    assert_eq!((first.phase, first.share), (MovePhase::Moving, 50));
    *bench.backend.share.lock() = 1000;
    let second = next(&mut stream).await.expect("progress");
    assert_eq!((second.phase, second.share), (MovePhase::Watching, 1000));
    assert_eq!(second.end, None);
    bench.backend.end_move(result);
    let third = next(&mut stream).await.expect("the end");
    assert_eq!((third.phase, third.share), (MovePhase::Ended, last));
    assert_eq!(third.end.expect("an end").result, result);
    assert_eq!(next(&mut stream).await, None, "nothing follows the end");
}

#[tokio::test]
async fn test_operator_watch_after_the_end_gets_the_end_first() {
    let mut bench = start().await;
    bench.start_move().await;
    bench.backend.end_move(MoveResult::Done);
    for _ in 0..2 {
        let mut stream = bench.watch().await;
        let only = next(&mut stream).await.expect("the end");
        assert_eq!(only.end.expect("an end").result, MoveResult::Done);
        assert_eq!(next(&mut stream).await, None);
    }
}

#[tokio::test]
async fn test_operator_watch_shows_a_stop_and_the_evidence() {
    let mut bench = start().await;
    bench.start_move().await;
    *bench.backend.share.lock() = 50;
    let window = bench.backend.now().0 / WINDOW_MS;
    let row = |version: &str, window: u64, ok, failed| EvidenceRow {
        key: EvidenceKey {
            service: name("advisor"),
            version: name(version),
            route: String::from("fit-check"),
            window,
        },
        sum: Counters {
            ok,
            failed,
            latency: vec![0, ok + failed],
        },
    };
    let stop = Stop {
        reason: String::from("it fails"),
        at: Timestamp(5),
    };
    let live = LiveView {
        stops: IndexMap::from([(name("to-v2"), stop)]),
        evidence: vec![
            row("v2", window, 3, 4),
            row("v2", window - 1, 10, 20),
            row("v2", window - 1000, 500, 500),
            row("v1", window, 7, 0),
        ],
        ..LiveView::default()
    };
    *bench.backend.live.lock() = Arc::new(live);
    let mut stream = bench.watch().await;
    let progress = next(&mut stream).await.expect("progress");
    assert_eq!((progress.phase, progress.share), (MovePhase::Stopped, 0));
    assert_eq!(progress.stop.as_deref(), Some("it fails"));
    let seen: Vec<_> = progress
        .evidence
        .iter()
        .map(|e| (e.version.as_str(), e.ok, e.failed, e.p95))
        .collect();
    assert_eq!(seen, [("v1", 7, 0, Some(2)), ("v2", 13, 24, Some(2))]);
}

#[tokio::test]
async fn test_operator_watch_of_a_leaving_node_says_so() {
    let mut bench = start().await;
    bench.start_move().await;
    let mut stream = bench.watch().await;
    assert!(next(&mut stream).await.is_some());
    bench.stopping.cancel();
    let status = timeout(PATIENCE, stream.message()).await.expect("in time");
    let status = status.expect_err("the stream ends with an error");
    assert_eq!(status.code(), Code::Unavailable);
    assert_eq!(kind(&status), Some("leaving"));
}

#[tokio::test]
async fn test_operator_unknown_move_is_not_found() {
    let mut bench = start().await;
    let name = String::from("no-such");
    let request = proto::WatchMoveRequest { name };
    let status = bench.client.watch_move(request).await.expect_err("refused");
    assert_eq!(status.code(), Code::NotFound);
    assert!(status.message().contains("no-such"));
}

#[tokio::test]
async fn test_operator_cancelled_move_stays_cancelled() {
    let mut bench = start().await;
    bench.start_move().await;
    let name = String::from("to-v2");
    let request = proto::CancelMoveRequest { name };
    for _ in 0..2 {
        let reply = bench.client.cancel_move(request.clone()).await;
        let verdict = reply.expect("a verdict").into_inner().try_into();
        assert_eq!(verdict, Ok(Verdict::Accepted));
    }
    let mut stream = bench.watch().await;
    let progress = next(&mut stream).await.expect("the end");
    assert_eq!(progress.end.expect("an end").result, MoveResult::Cancelled);
    let again = bench.client.start_move(start_request(0)).await;
    let verdict = again.expect("a verdict").into_inner().try_into();
    assert_eq!(verdict, Ok(Verdict::Accepted), "the same move sent again");
}

fn member(node: &str, state: MemberState, accepting: bool, load: u32) -> Member {
    let address: SocketAddr = "127.0.0.1:4000".parse().expect("an address");
    Member {
        node: name(node),
        domain: name("bukuru"),
        region: name("jos-plateau"),
        controller: address,
        gate: Some(GateInfo {
            callers: address,
            rpc: address,
            accepting,
            load,
        }),
        state,
    }
}

#[tokio::test]
async fn test_operator_status_and_entries_show_the_live_view() {
    let mut bench = start().await;
    let members = [
        member("n3", MemberState::Alive, true, 500),
        member("n5", MemberState::Dead, true, 0),
        member("n1", MemberState::Alive, true, 700),
        member("n2", MemberState::Leaving, true, 0),
        member("n4", MemberState::Alive, false, 0),
    ];
    let live = LiveView {
        members: members
            .iter()
            .map(|m| (m.node.clone(), m.clone()))
            .collect(),
        leaving: IndexMap::from([(name("vm-9"), Timestamp(99))]),
        ..LiveView::default()
    };
    *bench.backend.live.lock() = Arc::new(live);
    let reply = bench
        .client
        .status(proto::StatusRequest {})
        .await
        .expect("an answer");
    let report = NodeReport::try_from(reply.into_inner()).expect("a report");
    assert_eq!(report.members.len(), 5);
    assert_eq!(report.members[1], members[3]);
    assert_eq!(report.leaving[0].deadline, Timestamp(99));
    assert_eq!(report.state, bench.backend.node_state());
    let reply = bench
        .client
        .entries(proto::EntriesRequest {})
        .await
        .expect("an answer");
    let nodes: Vec<String> = reply
        .into_inner()
        .entries
        .into_iter()
        .map(|e| e.node)
        .collect();
    assert_eq!(nodes, ["n3", "n1"]);
}

#[tokio::test]
async fn test_operator_timeline_is_ordered_filtered_and_without_repeats() {
    let mut bench = start().await;
    let events = bench.backend.events.clone();
    events.record("request.accepted", &[("request", &"r1")]);
    events.record("move.started", &[("move", &"m1")]);
    events.record(
        "request.answered",
        &[("request", &"r1"), ("endpoint", &"e1")],
    );
    let mut ask = async |filter: TimelineFilter| -> Timeline {
        let request = proto::TimelineRequest::from(&filter);
        let reply = bench.client.timeline(request).await.expect("an answer");
        reply.into_inner().into()
    };
    let all = ask(TimelineFilter::default()).await;
    assert_eq!(all.events, events.since(0));
    assert_eq!(all.missing, ["n2"]);
    let what = |timeline: Timeline| -> Vec<String> {
        timeline.events.into_iter().map(|e: Event| e.what).collect()
    };
    let filter = TimelineFilter {
        id: Some(String::from("r1")),
        ..TimelineFilter::default()
    };
    assert_eq!(
        what(ask(filter).await),
        ["request.accepted", "request.answered"]
    );
    let filter = TimelineFilter {
        limit: 1,
        ..TimelineFilter::default()
    };
    assert_eq!(what(ask(filter).await), ["request.answered"]);
}
