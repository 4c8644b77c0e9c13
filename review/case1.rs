//! An entry that is partitioned from all servers is stopped while it waits for bookings that it has
//! sent through a peer.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::deployment::Entry;
use crate::deployment::Record;
use crate::deployment::SIGTERM;
use crate::deployment::server_entry;
use crate::http::Call;
use crate::http::Conn;
use crate::http::Reply;
use crate::http::respond;
use crate::link::Link;
use crate::store::Store;

const ZONES: [&str; 4] = ["hu-west-a", "hu-west-b", "hu-west-c", "hu-west-d"];

/// Work of a large booking.
const LARGE_WORK: Duration = Duration::from_millis(5600);

/// Work of any other request.
const WORK: Duration = Duration::from_millis(30);

/// The operator's time-out of the routes, and the clients' deadline.
const TIMEOUT_MS: u64 = 6500;

/// Ids of the requests that servers have begun to work on.
type Runs = Arc<Mutex<Vec<String>>>;

fn start_server(id: String, runs: Runs, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs, record) = (id.clone(), Arc::clone(&runs), record.clone());
            thread::spawn(move || serve(stream, &id, &runs, &record));
        }
    });
    address
}

fn serve(stream: TcpStream, id: &str, runs: &Runs, record: &Record) {
    let mut conn = Conn::new(stream);
    while let Ok(Some(head)) = conn.read_head() {
        let Ok(Some(_)) = conn.read_body(&head) else {
            return;
        };
        let attempt = head.get("Attempt-Id").unwrap_or_default().to_owned();
        let echoed = ("Attempt-Id", attempt.as_str());
        let sent = if head.get("Expect-Instance").is_some_and(|expected| expected != id) {
            respond(&mut conn.stream, 421, &[echoed, ("Not-Executed", "1")], b"")
        } else {
            runs.lock().unwrap().push(attempt.clone());
            let is_large = head.path().starts_with("/booking/large");
            if is_large {
                record.note(&format!("server {id} runs {attempt}"));
            }
            thread::sleep(if is_large { LARGE_WORK } else { WORK });
            let body = format!("answer to {attempt}");
            let headers = [echoed, ("Server-Seal", "s.1")];
            let sent = respond(&mut conn.stream, 200, &headers, body.as_bytes());
            if is_large {
                record.note(&format!("server {id} has run {attempt}, answer written: {}", sent.is_ok()));
            }
            sent
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
             \"RouteKind\":\"{kind}\",\"TimeoutMs\":{TIMEOUT_MS},\"SloMs\":300,\"Priority\":1,\
             \"Service\":\"booking-app\",\"MaxAttempts\":{attempts},\"Anonymous\":false}}"
        )
    };
    format!(
        "{{\"Version\":1,\"Routes\":[{},{}],\"Services\":[{{\"Name\":\"booking-app\",\
         \"HealthPath\":\"/healthz\",\"MaxConns\":96}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"balaton\",\"ApiKeys\":[\"key-of-balaton\"],\"RatePerS\":0,\"Burst\":0}}]}}",
        route("booking", "non_idempotent", 1),
        route("lookup", "idempotent", 2),
    )
}

fn call(method: &'static str, path: &str, id: String) -> Call {
    Call {
        method,
        path: path.to_owned(),
        id,
        deadline_ms: TIMEOUT_MS,
        extra: String::new(),
        body: Vec::new(),
    }
}

/// Sends small requests to an entry, ten a second, until the time is over.
fn send_small(front: SocketAddr, name: &str, time: Duration) {
    let count = time.as_millis() / 100;
    for number in 0..count {
        let name = name.to_owned();
        thread::spawn(move || {
            let (method, path) = if number % 2 == 0 { ("POST", "/booking/x") } else { ("GET", "/lookup/x") };
            call(method, path, format!("small-{name}-{number}")).send(front);
        });
        thread::sleep(Duration::from_millis(100));
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
    let runs = Runs::default();
    let mut links = Vec::new();
    let mut view = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let id = format!("i-{number}");
        let address = start_server(id.clone(), Arc::clone(&runs), record.clone());
        store.put("keyed.servers", &id, &server_entry("booking-app", address, zone, 6, 1));
        let link = Link::start(address);
        view.push((address.to_string(), link.address.to_string()));
        links.push(link);
    }
    let plain = store.serve(Vec::new());
    let linked = store.serve(view);
    // The first entry reaches the servers through the links.
    let mut entries: Vec<Entry> = ZONES
        .iter()
        .enumerate()
        .map(|(n, zone)| Entry::start(n as u8, zone, if n == 0 { linked } else { plain }))
        .collect();
    if !entries.iter().all(Entry::wait_until_ready) {
        record.note("the entries did not get ready");
        return 2;
    }
    let front = entries[0].front;
    let others: Vec<SocketAddr> = entries[1..].iter().map(|e| e.front).collect();
    for (n, other) in others.into_iter().enumerate() {
        thread::spawn(move || send_small(other, &format!("other{n}"), Duration::from_secs(8)));
    }
    send_small(front, "before", Duration::from_secs(3));
    if with_trouble {
        record.note(&format!("{} is partitioned from all servers", entries[0].name));
        links.iter().for_each(|link| link.set_cut(true));
    }
    // Open connections of clients, which learn of other entries only later.
    let mut conns: Vec<Conn> = Vec::new();
    for number in 0..4 {
        let Ok(mut conn) = Conn::open(front) else {
            return 2;
        };
        call("GET", "/lookup/x", format!("open-{number}")).send_on(&mut conn);
        conns.push(conn);
    }
    send_small(front, "cut", Duration::from_secs(3));
    record.note(&format!("SIGTERM to {}", entries[0].name));
    entries[0].signal(SIGTERM);
    thread::sleep(Duration::from_millis(2100));
    let clients: Vec<_> = conns
        .into_iter()
        .enumerate()
        .map(|(number, conn)| {
            let record = record.clone();
            thread::spawn(move || send_large(conn, number, &record))
        })
        .collect();
    let replies: Vec<(String, Reply)> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    for line in entries[0].log_lines("\"reach_") {
        record.note(&format!("log of the entry: {line}"));
    }
    entries.iter_mut().for_each(Entry::kill);
    judge(record, &replies, &runs.lock().unwrap())
}

fn send_large(mut conn: Conn, number: usize, record: &Record) -> (String, Reply) {
    let id = format!("large-{number}");
    record.note(&format!("a client sends booking {id} on an open connection"));
    let reply = call("POST", "/booking/large", id.clone()).send_on(&mut conn);
    record.note(&format!(
        "the client of {id} gets {} after {} ms, Retry-After {:?}, body {:?}",
        reply.status,
        reply.took.as_millis(),
        reply.head.get("Retry-After"),
        String::from_utf8_lossy(&reply.body),
    ));
    (id, reply)
}

/// REFUSED: a request that is not idempotent is answered 429, 503, 408 or 421 and has run.
fn judge(record: &Record, replies: &[(String, Reply)], runs: &[String]) -> u8 {
    let has_run = |id: &String| runs.contains(id);
    let refused = |reply: &Reply| [408, 421, 429, 503].contains(&reply.status);
    let broken = replies.iter().filter(|(id, reply)| refused(reply) && has_run(id));
    let broken = broken.count();
    let ran = replies.iter().filter(|(id, _)| has_run(id)).count();
    record.note(&format!(
        "bookings sent: {}, run: {ran}, answered as never run although they ran: {broken}",
        replies.len()
    ));
    if ran == 0 && broken == 0 {
        record.note("no booking reached a server: the case could not run");
        return 2;
    }
    u8::from(broken > 0)
}
