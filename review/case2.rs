//! An entry is stopped while it passes on streams that may be resumed, and the servers, which are
//! sound, fall silent for a second or so and go on.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Entry;
use crate::deployment::Record;
use crate::deployment::SIGTERM;
use crate::deployment::server_entry;
use crate::http::Call;
use crate::http::Conn;
use crate::http::respond;
use crate::store::Store;

const ZONES: [&str; 4] = ["hu-west-a", "hu-west-b", "hu-west-c", "hu-west-d"];

/// Number of events of a stream, and the time between them.
const EVENTS: u64 = 46;
const PAUSE: Duration = Duration::from_millis(100);

/// The event before which the servers are silent, and for how long.
const SILENT_BEFORE: u64 = 40;
const SILENCE: Duration = Duration::from_millis(1400);

/// `GraceS`.
const GRACE: Duration = Duration::from_secs(8);

/// Streams that an entry passes on when it is stopped.
const STREAMS: usize = 6;

/// How the work of servers on a stream ended: its id, and whether the caller closed the connection.
type Ends = Arc<Mutex<Vec<(String, bool)>>>;

#[derive(Clone)]
struct Servers {
    ends: Ends,
    is_silent: bool,
    record: Record,
}

fn start_server(id: String, servers: Servers) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, servers) = (id.clone(), servers.clone());
            thread::spawn(move || serve(stream, &id, &servers));
        }
    });
    address
}

fn serve(stream: TcpStream, id: &str, servers: &Servers) {
    let mut conn = Conn::new(stream);
    while let Ok(Some(head)) = conn.read_head() {
        let Ok(Some(_)) = conn.read_body(&head) else {
            return;
        };
        let attempt = head.get("Attempt-Id").unwrap_or_default().to_owned();
        if head.get("Expect-Instance").is_some_and(|expected| expected != id) {
            let headers = [("Attempt-Id", attempt.as_str()), ("Not-Executed", "1")];
            if respond(&mut conn.stream, 421, &headers, b"").is_err() {
                return;
            }
            continue;
        }
        let last = head.get("Last-Event-Id").and_then(|l| l.parse().ok()).unwrap_or(0);
        let is_watched = attempt.starts_with("draft");
        if is_watched {
            servers.record.note(&format!("server {id} runs {attempt} after event {last}"));
        }
        let is_sent = stream_events(&mut conn.stream, &attempt, last, servers.is_silent && is_watched);
        if is_watched {
            let text = if is_sent { "has sent all events of" } else { "finds the connection closed, at" };
            servers.record.note(&format!("server {id} {text} {attempt}"));
            servers.ends.lock().unwrap().push((attempt, !is_sent));
        }
        if !is_sent {
            return;
        }
    }
}

/// Returns whether the connection is closed by its other end.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Sends the events after `last`; returns whether all were sent.
fn stream_events(stream: &mut TcpStream, attempt: &str, last: u64, is_silent: bool) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: s.1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_sent = stream.write_all(head.as_bytes()).is_ok();
    for number in last + 1..=EVENTS {
        let until = Instant::now() + if is_silent && number == SILENT_BEFORE { SILENCE } else { PAUSE };
        while Instant::now() < until {
            if is_closed(stream) {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        let event = format!("id: {number}\ndata: {attempt}-{number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_sent = is_sent && stream.write_all(chunk.as_bytes()).is_ok();
    }
    is_sent && stream.write_all(b"0\r\n\r\n").is_ok()
}

fn config() -> String {
    "{\"Version\":1,\"Routes\":[{\"Name\":\"draft\",\"Host\":\"desk.example\",\
     \"PathPrefix\":\"/draft/\",\"RouteKind\":\"streaming\",\"TimeoutMs\":15000,\"SloMs\":1200,\
     \"Priority\":1,\"Service\":\"tutor-llm\",\"MaxAttempts\":2,\"Anonymous\":false,\"Sticky\":true,\
     \"Resumable\":true,\"ItlTargetMs\":400}],\"Services\":[{\"Name\":\"tutor-llm\",\
     \"HealthPath\":\"/healthz\",\"MaxConns\":360,\"Engine\":{\"Slots\":64,\"KvCapacity\":569166,\
     \"Stride\":6}}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
     \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"balaton\",\
     \"ApiKeys\":[\"key-of-balaton\"],\"RatePerS\":0,\"Burst\":0}]}"
        .to_owned()
}

fn call(id: String, number: usize) -> Call {
    let extra = format!(
        "Model: m\r\nToken-Usage: 1200,{}\r\nPrefix-Hash: 5c1e07a2:800,{:x}:400\r\n",
        EVENTS * 6,
        0x91bd_3f06 + number
    );
    Call {
        method: "POST",
        path: "/draft/2f".to_owned(),
        id,
        deadline_ms: 15000,
        extra,
        body: Vec::new(),
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
    let servers = Servers {
        ends: Ends::default(),
        is_silent: with_trouble,
        record: record.clone(),
    };
    for (number, zone) in ZONES.iter().enumerate() {
        let id = format!("i-{number}");
        let address = start_server(id.clone(), servers.clone());
        store.put("keyed.servers", &id, &server_entry("tutor-llm", address, zone, 64, 1));
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
    // A calm time, in which the entries see how long streams take.
    let fronts: Vec<SocketAddr> = entries.iter().map(|e| e.front).collect();
    let calm: Vec<_> = (0..24)
        .map(|n| {
            let front = fronts[n % fronts.len()];
            thread::spawn(move || call(format!("calm-{n}"), n).send(front))
        })
        .collect();
    let served = calm.into_iter().filter_map(|c| c.join().ok());
    if served.filter(|reply| reply.status == 200).count() < 24 {
        record.note("not all streams of the calm time were served");
        return 2;
    }
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (front, record) = (fronts[0], record.clone());
            thread::spawn(move || {
                let id = format!("draft-{n}");
                record.note(&format!("a client sends {id}"));
                let reply = call(id.clone(), 100 + n).send(front);
                let text = if reply.status == 0 { "a connection that ends before the answer does" } else { "the whole answer" };
                record.note(&format!("the client of {id} gets {text}, after {} ms", reply.took.as_millis()));
                (id, reply, Instant::now())
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    record.note(&format!("SIGTERM to {}", entries[0].name));
    let stopped = Instant::now();
    entries[0].signal(SIGTERM);
    let replies: Vec<_> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    // The servers note the end of their work within some milliseconds.
    thread::sleep(Duration::from_millis(300));
    for line in entries[0].log_lines("\"stream_broken\"") {
        record.note(&format!("log of the entry: {line}"));
    }
    entries.iter_mut().for_each(Entry::kill);
    // LOST, around planned work: the connection ends without a complete answer once the request has
    // been passed on. Not counted: the server broke off, the time is up, or the server was still at work
    // in the last sixth of the grace period.
    let ends = servers.ends.lock().unwrap();
    let closed_by_entry = |id: &String| ends.iter().any(|(end, is_closed)| end == id && *is_closed);
    let last_sixth = stopped + GRACE.mul_f64(5.0 / 6.0);
    let lost = replies.iter().filter(|(id, reply, at)| {
        reply.status == 0 && reply.took < Duration::from_secs(15) && *at < last_sixth && closed_by_entry(id)
    });
    let lost = lost.count();
    record.note(&format!("streams: {}, lost in the stop: {lost}", replies.len()));
    u8::from(lost > 0)
}
