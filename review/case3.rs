//! Two servers of four answer for some seconds with interim heads without end, until the entry closes.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Entry;
use crate::deployment::Record;
use crate::deployment::server_entry;
use crate::http::Call;
use crate::http::Conn;
use crate::http::Reply;
use crate::http::respond;
use crate::store::Store;

const ZONES: [&str; 4] = ["hu-west-a", "hu-west-b", "hu-west-c", "hu-west-d"];

/// Work of a request.
const WORK: Duration = Duration::from_millis(60);

/// Time-out of the routes, and the time that clients wait.
const TIMEOUT: Duration = Duration::from_millis(2000);
const DEADLINE_MS: u64 = 4000;

/// Time after the time-out in which an answer still counts.
const SLACK: Duration = Duration::from_millis(500);

/// Requests to one entry, and the time between them.
const REQUESTS: u64 = 128;
const PAUSE: Duration = Duration::from_millis(125);

/// Number of faulty servers, the request before which they turn faulty, and for how long.
const FAULTY_SERVERS: usize = 2;
const FAULTY_BEFORE: u64 = 24;
const FAULTY_TIME: Duration = Duration::from_secs(6);

/// What the faulty servers send in a second, all connections together, in bytes; the link of an entry's
/// machine takes 125,000,000.
const BYTES_PER_S: f64 = 100e6;

/// Bytes that the faulty servers have sent since a time.
struct Sent {
    since: Instant,
    bytes: f64,
}

#[derive(Clone)]
struct Faulty {
    is_on: Arc<AtomicBool>,
    sent: Arc<Mutex<Option<Sent>>>,
    record: Record,
}

impl Faulty {
    /// Waits until the server may send some more bytes.
    fn take(&self, bytes: usize) {
        let mut sent = self.sent.lock().unwrap();
        let sent = sent.get_or_insert_with(|| Sent { since: Instant::now(), bytes: 0.0 });
        // What was not sent in a time without requests is not sent later.
        sent.bytes = sent.bytes.max(sent.since.elapsed().as_secs_f64() * BYTES_PER_S);
        sent.bytes += bytes as f64;
        let due = sent.since + Duration::from_secs_f64(sent.bytes / BYTES_PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }

    /// Sends interim heads until the entry closes the connection.
    fn answer(&self, stream: &mut TcpStream, attempt: &str) {
        self.record.note(&format!("a faulty server begins to answer {attempt}"));
        let head = format!("HTTP/1.1 103 Early Hints\r\n{}\r\n", "a:\r\n".repeat(95));
        let heads = head.repeat(40);
        let mut total = 0;
        while stream.write_all(heads.as_bytes()).is_ok() {
            total += heads.len();
            self.take(heads.len());
        }
        let text = format!("the entry closes the connection of {attempt} after {total} bytes");
        self.record.note(&text);
    }
}

fn start_server(id: String, faulty: Option<Faulty>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, faulty) = (id.clone(), faulty.clone());
            thread::spawn(move || serve(stream, &id, faulty.as_ref()));
        }
    });
    address
}

fn serve(stream: TcpStream, id: &str, faulty: Option<&Faulty>) {
    let mut conn = Conn::new(stream);
    while let Ok(Some(head)) = conn.read_head() {
        let Ok(Some(_)) = conn.read_body(&head) else {
            return;
        };
        let attempt = head.get("Attempt-Id").unwrap_or_default().to_owned();
        let echoed = ("Attempt-Id", attempt.as_str());
        let sent = if head.get("Expect-Instance").is_some_and(|expected| expected != id) {
            respond(&mut conn.stream, 421, &[echoed, ("Not-Executed", "1")], b"")
        } else if let Some(faulty) = faulty.filter(|f| f.is_on.load(Ordering::SeqCst)) {
            faulty.answer(&mut conn.stream, &attempt);
            return;
        } else {
            thread::sleep(WORK);
            let body = format!("answer to {attempt}");
            respond(&mut conn.stream, 200, &[echoed, ("Server-Seal", "s.1")], body.as_bytes())
        };
        if sent.is_err() {
            return;
        }
    }
}

fn config() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"desk.example\",\"PathPrefix\":\"/{name}/\",\
             \"RouteKind\":\"{kind}\",\"TimeoutMs\":{},\"SloMs\":300,\"Priority\":1,\
             \"Service\":\"booking-app\",\"MaxAttempts\":{attempts},\"Anonymous\":false}}",
            TIMEOUT.as_millis()
        )
    };
    format!(
        "{{\"Version\":1,\"Routes\":[{},{}],\"Services\":[{{\"Name\":\"booking-app\",\
         \"HealthPath\":\"/healthz\",\"MaxConns\":96}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"balaton\",\"ApiKeys\":[\"key-of-balaton\"],\"RatePerS\":0,\"Burst\":0}}]}}",
        route("booking", "non_idempotent", 1),
        route("schedule", "idempotent", 2),
    )
}

fn call(number: u64) -> Call {
    Call {
        method: "POST",
        path: "/booking/x".to_owned(),
        id: format!("r-{number}"),
        deadline_ms: DEADLINE_MS,
        extra: String::new(),
        body: Vec::new(),
    }
}

/// Asks once a second whether the entry is ready, as the platform does, and notes what fails.
fn watch_readiness(readiness: SocketAddr, record: &Record) {
    for _ in 0..REQUESTS / 8 {
        let asked = Call {
            method: "GET",
            path: "/readyz".to_owned(),
            deadline_ms: 1000,
            ..call(0)
        };
        if asked.send(readiness).status != 200 {
            record.note("the entry does not answer /readyz within a second");
        }
        thread::sleep(Duration::from_millis(800));
    }
}

pub fn run(folder: &str, with_trouble: bool) -> u8 {
    let record = Record::new();
    let code = play(&record, with_trouble);
    record.write(&format!("{folder}/record.txt"));
    code
}

fn play(record: &Record, with_trouble: bool) -> u8 {
    let store = Store::default();
    store.put("keyed.op", "config", &config());
    let faulty = Faulty {
        is_on: Arc::default(),
        sent: Arc::default(),
        record: record.clone(),
    };
    for (number, zone) in ZONES.iter().enumerate() {
        let id = format!("i-{number}");
        let address = start_server(id.clone(), (number < FAULTY_SERVERS).then(|| faulty.clone()));
        store.put("keyed.servers", &id, &server_entry("booking-app", address, zone, 6, 1));
    }
    let address = store.serve(Vec::new());
    let mut entries: Vec<Entry> = ZONES
        .iter()
        .enumerate()
        .map(|(n, zone)| Entry::start(n as u8, zone, address))
        .collect();
    if !entries.iter().all(Entry::wait_until_ready) {
        record.note("the entries did not get ready");
        return 2;
    }
    let front = entries[0].front;
    let (readiness, watch) = (entries[0].readiness, record.clone());
    thread::spawn(move || watch_readiness(readiness, &watch));
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        if with_trouble && number == FAULTY_BEFORE {
            record.note("the answers of two servers have no end from now on");
            faulty.is_on.store(true, Ordering::SeqCst);
            let ending = faulty.clone();
            thread::spawn(move || {
                thread::sleep(FAULTY_TIME);
                ending.record.note("all servers are sound again");
                ending.is_on.store(false, Ordering::SeqCst);
            });
        }
        let record = record.clone();
        clients.push(thread::spawn(move || {
            record.note(&format!("a client sends r-{number}"));
            let reply = call(number).send(front);
            let got = match reply.status {
                0 => "no answer".to_owned(),
                status => status.to_string(),
            };
            record.note(&format!("the client of r-{number} gets {got} after {} ms", reply.took.as_millis()));
            reply
        }));
        thread::sleep(PAUSE);
    }
    let replies: Vec<Reply> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    entries.iter_mut().for_each(Entry::kill);
    // CONFIG: of the requests that are unanswered at the time-out, more than half have no answer half a
    // second later.
    let unanswered_at = |at: Duration| replies.iter().filter(|r| r.status == 0 || r.took > at).count();
    let at_timeout = unanswered_at(TIMEOUT);
    let later = unanswered_at(TIMEOUT + SLACK);
    let on_time = replies.iter().filter(|r| r.status != 0 && r.took <= TIMEOUT).count();
    record.note(&format!(
        "requests: {}, answered by their route's time-out: {on_time}, not answered by then: {at_timeout}, \
         nor half a second later: {later}",
        replies.len()
    ));
    u8::from(later >= 8 && later * 2 > at_timeout)
}
