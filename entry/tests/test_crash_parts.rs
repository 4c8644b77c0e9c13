//! Prompt parts that crash the endpoints on which requests with them run, seen by several entries.

mod testutils;

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use bytes::Bytes;
use hawthornrack_entry::Call;
use hawthornrack_entry::CallerResponse;
use hawthornrack_entry::Config;
use hawthornrack_entry::Dispatch;
use hawthornrack_entry::EndpointClient;
use hawthornrack_entry::EndpointNotice;
use hawthornrack_entry::EndpointProcess;
use hawthornrack_entry::EndpointRecord;
use hawthornrack_entry::EndpointResponse;
use hawthornrack_entry::EntryName;
use hawthornrack_entry::EntryState;
use hawthornrack_entry::GossipRequest;
use hawthornrack_entry::Interruption;
use hawthornrack_entry::Metrics;
use hawthornrack_entry::Node;
use hawthornrack_entry::PartCrashTracker;
use hawthornrack_entry::PartId;
use hawthornrack_entry::PartReport;
use hawthornrack_entry::Prompt;
use hawthornrack_entry::PromptPart;
use hawthornrack_entry::RefusalKind;
use hawthornrack_entry::ResponseBody;
use hawthornrack_entry::Rollout;
use hawthornrack_entry::RolloutOrder;
use hawthornrack_entry::RolloutState;
use hawthornrack_entry::RouteKind;
use hawthornrack_entry::SendFailure;
use hawthornrack_entry::ServiceName;
use hawthornrack_entry::Stage;
use hawthornrack_entry::VersionName;
use hawthornrack_entry::apply_reply;
use hawthornrack_entry::handle_exchange;
use hawthornrack_entry::serve;
use hyper::HeaderMap;
use indexmap::IndexMap;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::metrics::noop::NoopMeterProvider;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use testutils::ScriptedBody;
use testutils::ScriptedClient;
use testutils::ScriptedSend;
use testutils::call;
use testutils::config;
use testutils::endpoint;
use testutils::route;
use testutils::settings;
use tokio::sync::watch;
use tokio::time::Instant;

/// Part that crashes every endpoint that runs it.
const BAD: PartId = PartId(0xbad);

/// First part of all other requests.
const FIRST: PartId = PartId(1);

/// Number of subjects: second parts that some sound requests share.
const SUBJECTS: u64 = 60;

/// Number of endpoints.
const ENDPOINTS: usize = 24;

/// Time after which a crashed endpoint is back.
const RESTART_TIME: Duration = Duration::from_secs(4);

/// Time that a sound request runs.
const RUN_TIME: Duration = Duration::from_millis(1200);

/// Time for which a request runs before it crashes its endpoint.
const CRASH_TIME: Duration = Duration::from_millis(120);

/// Time within which all entries must know of crashes.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// An event of a stream.
const EVENT: &str = "id: 1\ndata: a\n\n";

/// Number of live peers that an entry contacts after an urgent change.
const URGENT_FAN_OUT: usize = 12;

/// One process of an endpoint; running requests end when the value turns `true`.
#[derive(Debug)]
struct Process {
    record: EndpointRecord,
    broken: watch::Sender<bool>,
}

/// Entries, endpoints and what happened to them.
#[derive(Debug)]
struct System {
    nodes: Vec<Arc<Node>>,
    clients: Vec<Arc<CrashingClient>>,
    /// Time from which the bad part crashes endpoints.
    bad_from: Mutex<Instant>,
    processes: Mutex<IndexMap<String, Process>>,
    /// Time of each crash.
    crashes: Mutex<Vec<Instant>>,
    /// Time of each send of a request with the bad part.
    bad_sends: Mutex<Vec<Instant>>,
    /// Time of each response to a sound request, and the reason of a refusal.
    sound: Mutex<Vec<(Instant, Option<RefusalKind>)>>,
}

/// Client of one entry, whose endpoints crash when they run the bad part.
#[derive(Debug)]
struct CrashingClient {
    system: Weak<System>,
    /// Breaks all connections of the entry when it changes.
    resets: watch::Sender<u32>,
}

fn connection_broken() -> SendFailure {
    SendFailure::MayHaveRun(Interruption::ConnectionBroken("reset".to_owned()))
}

impl EndpointClient for CrashingClient {
    type Body = ScriptedBody;

    // All endpoints have the same address.
    async fn can_connect(&self, _address: SocketAddr) -> bool {
        let system = self.system.upgrade().unwrap();
        let processes = system.processes.lock();
        !processes.is_empty()
    }

    async fn send(
        &self,
        dispatch: Dispatch<'_>,
    ) -> Result<EndpointResponse<ScriptedBody>, SendFailure> {
        let system = self.system.upgrade().unwrap();
        let id = dispatch.endpoint.to_string();
        let process = system
            .processes
            .lock()
            .get(&id)
            .map(|p| p.broken.subscribe());
        let Some(mut broken) = process else {
            return Err(SendFailure::NotWritten("Connection refused".to_owned()));
        };
        let mut resets = self.resets.subscribe();
        let is_bad = has_bad_part(dispatch.call) && Instant::now() >= *system.bad_from.lock();
        if is_bad {
            system.bad_sends.lock().push(Instant::now());
        }
        let run_time = if is_bad { CRASH_TIME } else { RUN_TIME };
        tokio::select! {
            _ = broken.changed() => Err(connection_broken()),
            _ = resets.changed() => Err(connection_broken()),
            () = tokio::time::sleep(run_time) => {
                if is_bad {
                    system.crash(&id);
                    return Err(connection_broken());
                }
                Ok(EndpointResponse {
                    status: 200,
                    headers: HeaderMap::new(),
                    states_end: true,
                    body: ResponseBody::Whole(Bytes::from_static(b"answer")),
                    closing: false,
                    notice: EndpointNotice::default(),
                })
            }
        }
    }
}

fn has_bad_part(call: &Call) -> bool {
    let prompt = call.prompt.as_ref();
    prompt.is_some_and(|p| p.parts.iter().any(|part| part.id == BAD))
}

fn system_config() -> Config {
    let mut config = config(RouteKind::Idempotent);
    let mut route = route("/a/", RouteKind::Idempotent);
    route.anonymous = true;
    route.timeout = Duration::from_secs(8);
    route.objective = Duration::from_secs(4);
    config.routes.insert("h".to_owned(), vec![route]);
    config
}

fn request(id: u64, parts: &[PartId]) -> Call {
    let parts = parts.iter().copied().chain([PartId(1_000_000 + id)]);
    let parts = parts.map(|id| PromptPart { id, tokens: 10 });
    Call {
        body: Bytes::from(id.to_string()),
        timeout: Some(Duration::from_secs(8)),
        prompt: Some(Prompt {
            parts: parts.collect(),
            input: 40,
            max_output: 10,
            hint: None,
        }),
        ..call(&id.to_string())
    }
}

impl System {
    /// Starts a system of `entries` that know each other and exchange state.
    fn start(entries: usize, seed: u64) -> Arc<Self> {
        let records: Vec<_> = (0..ENDPOINTS).map(|i| endpoint(&format!("e{i}"))).collect();
        let nodes: Vec<_> = (0..entries).map(|i| new_node(i, &records)).collect();
        let system = Arc::new_cyclic(|weak| Self {
            clients: (0..entries)
                .map(|_| {
                    Arc::new(CrashingClient {
                        system: Weak::clone(weak),
                        resets: watch::Sender::new(0),
                    })
                })
                .collect(),
            nodes,
            bad_from: Mutex::new(Instant::now()),
            processes: Mutex::new(records.into_iter().map(new_process).collect()),
            crashes: Mutex::default(),
            bad_sends: Mutex::default(),
            sound: Mutex::default(),
        });
        for number in 0..entries {
            exchange(&system.nodes[number], &system.nodes[0]);
        }
        for number in 0..entries {
            exchange(&system.nodes[number], &system.nodes[0]);
            let rng = SmallRng::seed_from_u64(seed * 1000 + number as u64);
            tokio::spawn(run_gossip(Arc::clone(&system), number, rng));
        }
        system
    }

    /// Ends the process of an endpoint; it is back after [`RESTART_TIME`] under another id, or under
    /// the same id every third time.
    fn crash(self: &Arc<Self>, id: &str) {
        let Some(process) = self.processes.lock().swap_remove(id) else {
            return;
        };
        process.broken.send_replace(true);
        let number = {
            let mut crashes = self.crashes.lock();
            crashes.push(Instant::now());
            crashes.len()
        };
        let mut record = process.record;
        record.incarnation += 1;
        if !number.is_multiple_of(3) {
            record.id = format!("r{number}").as_str().into();
        }
        let system = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(RESTART_TIME).await;
            let (id, process) = new_process(record);
            system.processes.lock().insert(id, process);
            let processes = system.processes.lock();
            let records: Vec<_> = processes.values().map(|p| p.record.clone()).collect();
            for node in &system.nodes {
                let now = Instant::now();
                node.endpoints.lock().replace(records.clone(), now);
            }
        });
    }

    /// Sends a request through a random entry.
    fn send(self: &Arc<Self>, entry: usize, call: Call) {
        let system = Arc::clone(self);
        tokio::spawn(async move {
            let is_bad = has_bad_part(&call);
            let response = serve(&system.nodes[entry], &system.clients[entry], call).await;
            let refused = match response {
                CallerResponse::Refused(refusal) => Some(refusal.kind),
                _ => None,
            };
            if !is_bad {
                system.sound.lock().push((Instant::now(), refused));
            }
        });
    }

    /// Sends sound requests, 30 a second, at random times until `end`.
    async fn send_sound(self: Arc<Self>, end: Instant, mut rng: SmallRng) {
        let mut id = 0;
        while Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..66))).await;
            id += 1;
            let subject = PartId(100 + rng.random_range(0..SUBJECTS));
            let entry = rng.random_range(0..self.nodes.len());
            self.send(entry, request(id, &[FIRST, subject]));
        }
    }

    /// Sends a request with the bad part, no two alike.
    fn send_bad(self: &Arc<Self>, id: u64, rng: &mut SmallRng) {
        let entry = rng.random_range(0..self.nodes.len());
        let subject = PartId(100 + rng.random_range(0..SUBJECTS));
        let parts = match id % 3 {
            0 => vec![FIRST, BAD],
            1 => vec![FIRST, BAD, subject],
            _ => vec![FIRST, subject, BAD],
        };
        self.send(entry, request(1_000_000 + id, &parts));
    }

    /// Returns the time of the fifth crash, or of the last if there are fewer.
    fn fifth_crash(&self) -> Instant {
        let crashes = self.crashes.lock();
        *crashes.get(4).or(crashes.last()).expect("no crash")
    }

    /// Returns how many requests with the bad part were sent later than [`CONTACT_TIME`] after the
    /// fifth crash.
    fn late_bad_sends(&self) -> usize {
        let start = self.fifth_crash() + CONTACT_TIME;
        let sends = self.bad_sends.lock();
        sends.iter().filter(|at| **at > start).count()
    }

    /// Returns how many sound requests were refused for crashes, and how many there were, from
    /// `start` on.
    fn sound_refused(&self, start: Instant) -> (usize, usize) {
        let sound = self.sound.lock();
        let later = || sound.iter().filter(|(at, _)| *at >= start);
        let refused = later().filter(|(_, refused)| *refused == Some(RefusalKind::Crashing));
        (refused.count(), later().count())
    }
}

fn new_process(record: EndpointRecord) -> (String, Process) {
    let process = Process {
        record,
        broken: watch::Sender::new(false),
    };
    (process.record.id.to_string(), process)
}

fn new_node(number: usize, records: &[EndpointRecord]) -> Arc<Node> {
    let metrics = Metrics::new(&NoopMeterProvider::new().meter("test"));
    let node = Node::new(settings(&format!("entry-{number}")), metrics);
    let now = Instant::now();
    node.endpoints.lock().replace(records.to_vec(), now);
    assert!(node.apply_config(system_config(), "test"));
    node
}

/// Runs one exchange, as an entry does with a peer.
fn exchange(node: &Node, peer: &Node) {
    let request = GossipRequest {
        own: node.own_state(),
        digest: node.members.lock().digest(),
        has_endpoints: true,
    };
    let reply = handle_exchange(peer, request);
    apply_reply(node, reply);
}

/// Exchanges state with random peers at the entries' round interval, and with several at once after
/// an urgent change.
async fn run_gossip(system: Arc<System>, number: usize, mut rng: SmallRng) {
    let node = &system.nodes[number];
    let interval = Duration::from_millis(5 * system.nodes.len() as u64);
    let interval = interval.max(Duration::from_millis(300));
    let other = |rng: &mut SmallRng| {
        let step = rng.random_range(1..system.nodes.len());
        &system.nodes[(number + step) % system.nodes.len()]
    };
    loop {
        let round = interval.mul_f64(rng.random_range(0.8..1.2));
        tokio::select! {
            () = tokio::time::sleep(round) => exchange(node, other(&mut rng)),
            () = node.gossip_now.notified() => {
                node.invalidate_state();
                for _ in 0..URGENT_FAN_OUT.min(system.nodes.len() - 1) {
                    exchange(node, other(&mut rng));
                }
            }
        }
    }
}

/// Lets a system run until `end` with sound requests, and requests with the bad part at the given
/// intervals.
async fn run_with_bad_part(system: &Arc<System>, seed: u64, interval_ms: Range<u64>) {
    let start = Instant::now();
    let end = start + Duration::from_secs(40);
    let mut rng = SmallRng::seed_from_u64(seed);
    tokio::spawn(Arc::clone(system).send_sound(end, SmallRng::seed_from_u64(seed + 100)));
    tokio::time::sleep(Duration::from_secs(5)).await;
    let mut id = 0;
    while Instant::now() < end {
        system.send_bad(id, &mut rng);
        id += 1;
        let pause = rng.random_range(interval_ms.clone());
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

// Guards against requests, no two alike, with a prompt part that crashes endpoint after endpoint,
// through any entry: the evidence was kept for whole requests only.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_crash_parts_crashing_part_stops_reaching_endpoints(
    #[values(1, 2)] seed: u64,
    #[values(6, 90)] entries: usize,
    #[values(100..200, 300..700, 1000..3000)] interval_ms: Range<u64>,
) {
    let system = System::start(entries, seed);
    run_with_bad_part(&system, seed, interval_ms).await;
    let late = system.late_bad_sends();
    assert!(late <= 3, "{late} late sends, seed {seed}");
    let start = system.fifth_crash() + CONTACT_TIME * 2;
    let (refused, sound) = system.sound_refused(start);
    assert!(sound > 100, "{sound} sound requests");
    assert_eq!(refused, 0, "of {sound} sound requests, seed {seed}");
}

// Guards against a part that turns bad after it was sound, and is found late because completed
// requests from before outweigh its crashes.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_crash_parts_part_that_turns_bad_stops_reaching_endpoints(
    #[values(1)] seed: u64,
    #[values(6, 90)] entries: usize,
    #[values(100..200, 1000..3000)] interval_ms: Range<u64>,
) {
    let system = System::start(entries, seed);
    *system.bad_from.lock() = Instant::now() + Duration::from_secs(30);
    let mut rng = SmallRng::seed_from_u64(seed + 200);
    for id in 0..100 {
        system.send_bad(1000 + id, &mut rng);
        tokio::time::sleep(Duration::from_millis(290)).await;
    }
    run_with_bad_part(&system, seed, interval_ms).await;
    let late = system.late_bad_sends();
    assert!(late <= 3, "{late} late sends, seed {seed}");
    let start = system.fifth_crash() + CONTACT_TIME * 2;
    let (refused, sound) = system.sound_refused(start);
    assert!(sound > 100, "{sound} sound requests");
    assert_eq!(refused, 0, "of {sound} sound requests, seed {seed}");
}

// Guards against a part whose crashes come all at once, which is not told from a failure of many
// endpoints until the next crash.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_crash_parts_crashes_at_one_moment_count_at_the_next_crash(
    #[values(1, 2)] seed: u64,
    #[values(6, 90)] entries: usize,
) {
    let system = System::start(entries, seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    for id in 0..5 {
        system.send_bad(id, &mut rng);
    }
    tokio::time::sleep(CONTACT_TIME + Duration::from_secs(1)).await;
    run_with_bad_part(&system, seed, 400..800).await;
    let late = system.late_bad_sends();
    assert!(late <= 3, "{late} late sends, seed {seed}");
}

// Guards against sound parts that are blamed for failures of many endpoints, or of all of an entry's
// connections, at one moment.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_crash_parts_mass_failures_are_blamed_on_no_part(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(true, false)] endpoints_crash: bool,
) {
    let system = System::start(6, seed);
    let end = Instant::now() + Duration::from_secs(40);
    tokio::spawn(Arc::clone(&system).send_sound(end, SmallRng::seed_from_u64(seed)));
    for round in 0..4 {
        // The first failure comes before any request has completed.
        let pause = if round == 0 { 1 } else { 8 };
        tokio::time::sleep(Duration::from_secs(pause)).await;
        if endpoints_crash {
            let ids: Vec<String> = system.processes.lock().keys().cloned().collect();
            ids.iter()
                .take(ENDPOINTS / 2)
                .for_each(|id| system.crash(id));
        } else {
            let client = &system.clients[round % system.clients.len()];
            client.resets.send_modify(|count| *count += 1);
        }
    }
    tokio::time::sleep(Duration::from_secs(10)).await;
    let (refused, sound) = system.sound_refused(end - Duration::from_secs(40));
    assert!(sound > 500, "{sound} sound requests");
    assert_eq!(refused, 0, "of {sound} sound requests, seed {seed}");
}

/// Tells a node, as a peer, of processes that crashed under the bad part a second apart.
fn learn_crashes(node: &Node, count: u64) {
    let crashes = (1..=count).map(|number| (EndpointProcess(number), number * 1000));
    let mut own = new_node(9, &[]).own_state();
    own.part_crashes = vec![PartReport {
        part: BAD,
        crashes: crashes.collect(),
        completed: 0,
        completed_sends: Vec::new(),
    }];
    let request = GossipRequest {
        own,
        digest: IndexMap::new(),
        has_endpoints: true,
    };
    handle_exchange(node, request);
}

// Guards against a request that is sent after its part was found to crash endpoints, because it was
// admitted before and waited for a slot.
#[tokio::test(start_paused = true)]
async fn test_crash_parts_request_that_waits_for_a_slot_is_not_sent() {
    let node = new_node(0, &[endpoint("e0")]);
    let client = ScriptedClient::new(vec![ScriptedSend::Hang; 13]);
    let mut running: Vec<_> = (0..12)
        .map(|id| {
            let (node, client) = (Arc::clone(&node), Arc::clone(&client));
            let call = request(id, &[FIRST]);
            tokio::spawn(async move { serve(&node, &client, call).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(10)).await;
    let waiting = serve(&node, &client, request(9, &[FIRST, BAD]));
    let (response, ()) = tokio::join!(waiting, async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        learn_crashes(&node, 3);
        running.pop().unwrap().abort();
    });
    assert!(
        matches!(&response, CallerResponse::Refused(r)
            if r.kind == RefusalKind::Crashing && r.retry_after.is_some()),
        "{response:?}"
    );
    assert_eq!(client.seen.lock().len(), 12);
}

// Guards against callers of a part that is suspected for a moment, who are told to wait as long as
// those of a part that has crashed many endpoints.
#[rstest]
#[case::suspected(3, 5)]
#[case::certain(6, 60)]
#[tokio::test(start_paused = true)]
async fn test_crash_parts_retry_after_is_long_only_if_certain(
    #[case] crashes: u64,
    #[case] retry_after_s: u64,
) {
    let node = new_node(0, &[endpoint("e0")]);
    let client = ScriptedClient::new([]);
    learn_crashes(&node, crashes);
    let response = serve(&node, &client, request(1, &[FIRST, BAD])).await;
    let CallerResponse::Refused(refusal) = response else {
        panic!("{response:?}");
    };
    let expected = Duration::from_secs(retry_after_s);
    assert_eq!(refusal.retry_after, Some(expected));
}

// Guards against a stream with a crashing part that is resumed at one endpoint after the other.
#[tokio::test(start_paused = true)]
async fn test_crash_parts_stream_is_not_resumed() {
    let node = new_node(0, &[endpoint("e0"), endpoint("e1")]);
    let mut config = system_config();
    config.version += 1;
    config.routes[0][0].kind = RouteKind::ResumableStream;
    node.apply_config(config, "test");
    learn_crashes(&node, 2);
    let broken = ScriptedSend::Stream(vec!["id: 1\ndata: a\n\n"], Err("reset"));
    let client = ScriptedClient::new([broken]);
    let response = serve(&node, &client, request(1, &[FIRST, BAD])).await;
    let CallerResponse::Stream { mut events, .. } = response else {
        panic!("no stream: {response:?}");
    };
    assert!(events.next().await.unwrap().is_some());
    assert!(events.next().await.is_err());
    assert_eq!(client.seen.lock().len(), 1);
}

/// Returns a rollout of `v2` that was rolled back.
fn rolled_back() -> Rollout {
    Rollout {
        order: RolloutOrder {
            id: 1,
            service: ServiceName::from("desk"),
            target: VersionName::from("v2"),
            within: Duration::from_secs(16),
        },
        seen_ms: 1_000,
        stage: Some(Stage {
            state: RolloutState::RolledBack,
            serial: 1,
            share: 0,
            idle_ms: None,
        }),
    }
}

// Guards against a common part that is refused for minutes after a rollout whose new version broke
// connections and was rolled back; failures of the old version still count.
#[rstest]
#[case::new_version("v2", false, false)]
#[case::new_version_after_the_rollback("v2", true, false)]
#[case::old_version("v1", false, true)]
#[case::old_version_after_the_rollback("v1", true, true)]
#[tokio::test(start_paused = true)]
async fn test_crash_parts_failures_of_a_bad_version_are_blamed_on_no_part(
    #[case] version: &str,
    #[case] is_rolled_back_first: bool,
    #[case] crashing: bool,
) {
    let records = (0..6).map(|number| EndpointRecord {
        version: VersionName::from(version),
        slots: 1,
        ..endpoint(&format!("e{number}"))
    });
    let node = new_node(0, &records.collect::<Vec<_>>());
    let mut config = system_config();
    config.version += 1;
    config.routes[0][0].kind = RouteKind::ResumableStream;
    node.apply_config(config, "test");
    node.merge_rollout(&Rollout {
        stage: None,
        ..rolled_back()
    });
    let broken = ScriptedSend::Stream(vec![EVENT], Err("reset"));
    let client = ScriptedClient::new(std::iter::repeat_n(broken, 12));
    let mut streams = Vec::new();
    for id in 0..3 {
        let response = serve(&node, &client, request(id, &[FIRST])).await;
        let CallerResponse::Stream { events, .. } = response else {
            panic!("no stream: {response:?}");
        };
        streams.push(events);
    }
    if is_rolled_back_first {
        node.merge_rollout(&rolled_back());
    }
    for mut events in streams {
        while let Ok(Some(_)) = events.next().await {}
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    node.merge_rollout(&rolled_back());
    let tracker = node.part_crashes.lock();
    assert_eq!(tracker.is_crashing(&[FIRST], Instant::now()), crashing);
}

// Guards against a crashing part that is found late because an endpoint that crashed closed its
// connection in an orderly way between two events, or within a body without a stated end.
#[rstest]
#[case::plain(ScriptedSend::Respond(200), false, false)]
#[case::unframed_plain(ScriptedSend::RespondUnframed(200), false, true)]
#[case::stream(ScriptedSend::Stream(vec![EVENT], Ok(())), false, false)]
#[case::unframed_stream(ScriptedSend::Unframed(vec![EVENT]), false, true)]
#[case::unframed_stream_and_a_later_response(ScriptedSend::Unframed(vec![EVENT]), true, false)]
#[tokio::test(start_paused = true)]
async fn test_crash_parts_end_of_connection_is_no_completion(
    #[case] response: ScriptedSend,
    #[case] responds_later: bool,
    #[case] crashing: bool,
) {
    let node = new_node(0, &[endpoint("e0")]);
    let mut config = system_config();
    config.version += 1;
    config.routes[0][0].kind = RouteKind::ResumableStream;
    node.apply_config(config, "test");
    let client = ScriptedClient::new([response, ScriptedSend::Respond(200)]);
    for number in 1..=3 {
        if number == 2 {
            complete(&node, &client, request(1, &[FIRST, BAD])).await;
        }
        let process = EndpointProcess(number);
        let now = Instant::now();
        node.part_crashes.lock().record_crash(BAD, process, now);
        tokio::time::advance(Duration::from_secs(1)).await;
    }
    if responds_later {
        complete(&node, &client, request(2, &[FIRST])).await;
    }
    let tracker = node.part_crashes.lock();
    assert_eq!(tracker.is_crashing(&[FIRST, BAD], Instant::now()), crashing);
}

// Guards against a sound part that is refused for crashes of endpoints that have since responded to
// resumed streams.
#[rstest]
#[case::not_found(ScriptedSend::Respond(404), false)]
#[case::server_error(ScriptedSend::Respond(503), false)]
#[case::broken(ScriptedSend::Fail(connection_broken()), true)]
#[tokio::test(start_paused = true)]
async fn test_crash_parts_endpoint_that_responds_to_a_resumed_stream_has_not_crashed(
    #[case] resumed: ScriptedSend,
    #[case] crashing: bool,
) {
    let records = [endpoint("e0"), endpoint("e1")];
    let node = new_node(0, &records);
    let mut config = system_config();
    config.version += 1;
    config.routes[0][0].kind = RouteKind::ResumableStream;
    node.apply_config(config, "test");
    let listed = records.map(|r| EndpointProcess::new(&r.id, r.incarnation));
    for process in listed.into_iter().chain([EndpointProcess(3)]) {
        let now = Instant::now();
        node.part_crashes.lock().record_crash(BAD, process, now);
        tokio::time::advance(Duration::from_secs(1)).await;
    }
    let broken = ScriptedSend::Stream(vec![EVENT], Err("reset"));
    let client = ScriptedClient::new([broken, resumed]);
    let response = serve(&node, &client, request(1, &[FIRST])).await;
    let CallerResponse::Stream { mut events, .. } = response else {
        panic!("no stream: {response:?}");
    };
    while let Ok(Some(_)) = events.next().await {}
    assert_eq!(client.seen.lock().len(), 2);
    let tracker = node.part_crashes.lock();
    assert_eq!(tracker.is_crashing(&[BAD], Instant::now()), crashing);
}

/// Sends a request and reads its response to the end.
async fn complete(node: &Arc<Node>, client: &Arc<ScriptedClient>, call: Call) {
    match serve(node, client, call).await {
        CallerResponse::Stream { mut events, .. } => {
            while events.next().await.unwrap().is_some() {}
        }
        response => assert!(matches!(response, CallerResponse::Whole { .. })),
    }
}

// Guards against a part that is refused for good after crashes long ago, because entries tell each
// other of them again and again.
#[tokio::test(start_paused = true)]
async fn test_crash_parts_reports_of_known_crashes_do_not_keep_them() {
    let mut trackers = [PartCrashTracker::default(), PartCrashTracker::default()];
    for process in 0..3 {
        trackers[0].record_crash(BAD, EndpointProcess(process), Instant::now());
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    for round in 0..400 {
        for (from, to) in [(0, 1), (1, 0)] {
            let reports = trackers[from].reports(Instant::now());
            tokio::time::sleep(Duration::from_millis(500)).await;
            let name = EntryName::from(format!("entry-{from}").as_str());
            // The report took 500 ms, which the receiver does not know.
            let now = Instant::now();
            trackers[to].merge(&name, &reports, now, now);
        }
        let now = Instant::now();
        let crashing = trackers.each_ref().map(|t| t.is_crashing(&[BAD], now));
        if round < 200 {
            assert_eq!(crashing, [true; 2], "round {round}");
        }
        if round > 300 {
            assert_eq!(crashing, [false; 2], "round {round}");
        }
    }
}

// Guards against entries of the release before that do not understand the state of this one, and the
// other way round.
#[tokio::test(start_paused = true)]
async fn test_crash_parts_state_without_reports_is_understood() {
    let node = new_node(0, &[]);
    let mut state = serde_json::to_value(node.own_state()).unwrap();
    assert!(
        state
            .as_object_mut()
            .unwrap()
            .remove("part_crashes")
            .is_some()
    );
    let state: EntryState = serde_json::from_value(state).unwrap();
    assert_eq!(state.part_crashes, []);
}

// Guards against a sound part that is refused although the endpoints that broke its requests live on:
// they truncate some responses, or accept no more connections for a while.
#[tokio::test(start_paused = true)]
async fn test_crash_parts_failures_that_endpoints_outlive_are_no_crashes() {
    let mut tracker = PartCrashTracker::default();
    let part = PartId(7);
    for process in 0..5 {
        tracker.record_crash(part, EndpointProcess(process), Instant::now());
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let reports = tracker.reports(Instant::now());
    assert!(tracker.is_crashing(&[part], Instant::now()));
    for process in 0..3 {
        tracker.record_alive(EndpointProcess(process), Instant::now());
    }
    assert!(!tracker.is_crashing(&[part], Instant::now()));
    // A peer that does not know it yet reports the same crashes.
    let published_at = Instant::now();
    tokio::time::sleep(Duration::from_secs(1)).await;
    tracker.merge(
        &EntryName::from("b"),
        &reports,
        published_at,
        Instant::now(),
    );
    assert!(!tracker.is_crashing(&[part], Instant::now()));
    // A process that outlived one failure may crash later.
    tracker.record_crash(part, EndpointProcess(0), Instant::now());
    assert!(tracker.is_crashing(&[part], Instant::now()));
}

// Guards against a completed request of a peer in a large system that counts twice, as the peer
// reports its age late from a state that it built before.
#[tokio::test(start_paused = true)]
async fn test_crash_parts_request_in_a_state_built_before_counts_once() {
    let sender = new_node(0, &[]);
    for number in 10..99 {
        exchange(&new_node(number, &[]), &sender);
    }
    learn_crashes(&sender, 10);
    sender.invalidate_state();
    let mut tracker = PartCrashTracker::default();
    let mut learn = |reports: &[PartReport]| {
        let now = Instant::now();
        tracker.merge(&EntryName::from("entry-0"), reports, now, now);
        tracker.is_crashing(&[BAD], now)
    };
    let mut before_restart = sender.own_state().part_crashes;
    before_restart[0].completed = 2;
    before_restart[0].completed_sends = vec![100, 200];
    learn(&before_restart);
    tokio::time::advance(Duration::from_secs(3)).await;
    let now = Instant::now();
    sender.part_crashes.lock().record_completed(BAD, now, now);
    for elapsed_ms in [0, 1_200] {
        sender.invalidate_state();
        sender.own_state();
        tokio::time::advance(Duration::from_millis(elapsed_ms)).await;
        // Three requests do not outweigh ten crashes.
        let is_crashing = learn(&sender.own_state().part_crashes);
        assert!(is_crashing, "state built {elapsed_ms} ms before");
    }
}
