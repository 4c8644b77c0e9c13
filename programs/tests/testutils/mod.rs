//! Helpers of the process tests: processes, the proxy, HTTP and waiting.
#![allow(dead_code, reason = "each test file uses its own part")]

pub mod bookings;
pub mod caller;
pub mod deployment;
pub mod gates;
pub mod in_force;
pub mod load;
pub mod moves;
pub mod tokens;

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::future::join_all;
use hawthornrack_lab::LinkInfo;
use hawthornrack_lab::LinkMode;
use hawthornrack_lib::CallBody;
use hawthornrack_lib::CompletionChunk;
use hawthornrack_lib::DONE;
use hawthornrack_lib::HttpClient;
use hawthornrack_lib::Lent;
use hawthornrack_lib::Reuse;
use hawthornrack_lib::SendError;
use hawthornrack_lib::json_request;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use tempfile::NamedTempFile;

/// Path of `hawthorn-lab`.
pub const LAB: &str = env!("CARGO_BIN_EXE_hawthorn-lab");

/// Time limit for a process to become ready and for a call that must be answered.
pub const LIMIT: Duration = Duration::from_secs(20);

/// Pause between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Lines of a process's log that a failing test shows.
const SHOWN_LINES: usize = 40;

/// A process of the system or a stand-in; dropped, it is killed.
pub struct Process {
    name: String,
    child: Child,
    ready: HashMap<String, SocketAddr>,
    log: NamedTempFile,
}

impl Process {
    /// Starts a program and waits for its ready line.
    ///
    /// It has a process group of its own: a group whose starter goes away gets SIGHUP while one
    /// of its processes is stopped (setpgid(2)), and tests stop processes.
    ///
    /// # Panics
    ///
    /// Panics, showing the program's log, when no ready line comes in time.
    pub fn start(program: &str, args: &[&str], env: &[(&str, &str)]) -> Self {
        let log = NamedTempFile::new().unwrap();
        let mut child = Command::new(program)
            .args(args)
            .envs(env.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.reopen().unwrap())
            .process_group(0)
            .spawn()
            .unwrap();
        let stdout = child.stdout.take().unwrap();
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        let program = PathBuf::from(program);
        let program = program.file_name().unwrap_or_default().to_string_lossy();
        let mut process = Self {
            name: format!("{program} {}", args.join(" ")),
            child,
            ready: HashMap::new(),
            log,
        };
        let line = receiver.recv_timeout(LIMIT);
        let line = line.unwrap_or_else(|_| panic!("{} is not ready", process.name));
        let value: Value = serde_json::from_str(&line).unwrap();
        process.ready = serde_json::from_value(value["ready"].clone()).unwrap();
        process
    }

    /// Starts a stand-in of `hawthorn-lab` with settings as `key=value` in TOML syntax.
    pub fn lab(kind: &str, settings: &[&str]) -> Self {
        let mut args = vec![kind];
        for setting in settings {
            args.extend(["--set", setting]);
        }
        Self::start(LAB, &args, &[])
    }

    /// Returns one of the addresses in the ready line.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.ready[name]
    }

    /// Returns the address of the HTTP interface.
    pub fn http(&self) -> SocketAddr {
        self.address("http")
    }

    /// Returns the process's identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once, as a lost machine would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Pauses the process (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a paused process go on (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Tells whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for the process to end.
    pub async fn wait_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
        loop {
            let status = self.child.try_wait().unwrap();
            if status.is_some() || Instant::now() >= deadline {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns what the process has logged.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(self.log.path()).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        nix::sys::signal::kill(Pid::from_raw(id), signal).unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if !std::thread::panicking() {
            return;
        }
        let text = self.log_text();
        let lines: Vec<&str> = text.lines().collect();
        let shown = &lines[lines.len().saturating_sub(SHOWN_LINES)..];
        eprintln!("--- log of {}\n{}\n---", self.name, shown.join("\n"));
    }
}

/// The fault-injecting proxy as a process.
pub struct Proxy {
    process: Process,
    http: Http,
}

impl Proxy {
    /// Starts a proxy without links.
    pub fn start() -> Self {
        Self {
            process: Process::lab("proxy", &[]),
            http: Http::new(),
        }
    }

    /// Creates a link to a server, or one that refuses until it has a server, and returns
    /// the address on which it accepts connections.
    pub async fn link(&self, name: &str, target: Option<SocketAddr>) -> SocketAddr {
        let body = json!({"name": name, "target": target});
        let info: LinkInfo = self.http.post(self.process.http(), "/links", &body).await;
        info.listen
    }

    /// Sets what a link does with connections.
    pub async fn set_mode(&self, name: &str, mode: LinkMode) {
        self.change(name, &json!({"mode": mode})).await;
    }

    /// Sets what every link whose name starts with `prefix` does with connections.
    pub async fn set_modes(&self, prefix: &str, mode: LinkMode) {
        let links = self.links().await;
        let names = links.iter().map(|l| l.name.as_str());
        join_all(
            names
                .filter(|n| n.starts_with(prefix))
                .map(|n| self.set_mode(n, mode)),
        )
        .await;
    }

    /// Sets a link's server.
    pub async fn set_target(&self, name: &str, target: SocketAddr) {
        self.change(name, &json!({"target": target})).await;
    }

    /// Returns all links.
    pub async fn links(&self) -> Vec<LinkInfo> {
        self.http.get(self.process.http(), "/links").await
    }

    async fn change(&self, name: &str, body: &Value) {
        let path = format!("/links/{name}");
        let call = Call::new(Method::PUT, &path).json(body);
        let answer = self.http.send(self.process.http(), call).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

/// A request of a test.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Value,
}

impl Call {
    /// Creates a request without a body.
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Value::Null,
        }
    }

    /// Creates a `POST` request with a JSON body.
    pub fn post(path: &str, body: &Value) -> Self {
        Self::new(Method::POST, path).json(body)
    }

    /// Sets the JSON body.
    pub fn json(mut self, body: &Value) -> Self {
        self.body = body.clone();
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Adds a bearer token.
    pub fn bearer(self, token: &str) -> Self {
        self.header("authorization", &format!("Bearer {token}"))
    }

    fn request(&self, server: SocketAddr) -> Request<CallBody> {
        let body = (!self.body.is_null()).then_some(&self.body);
        let mut request = json_request(server, self.method.clone(), &self.path, body).unwrap();
        for (name, value) in &self.headers {
            request.headers_mut().insert(*name, value.parse().unwrap());
        }
        request
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, null when it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns a header as text, empty when it is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }
}

/// HTTP client of a test; every call has its own connection.
#[derive(Clone, Debug, Default)]
pub struct Http {
    client: HttpClient,
}

impl Http {
    /// Creates a client.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(&self, server: SocketAddr, call: Call) -> Result<Answer, SendError> {
        let exchange = async {
            let (response, _lent) = self.open(server, &call).await?;
            let (head, body) = response.into_parts();
            let body = body.collect().await;
            Ok(Answer {
                status: head.status.as_u16(),
                headers: head.headers,
                body: body
                    .map_err(|error| SendError::BadAnswer(error.to_string()))?
                    .to_bytes(),
            })
        };
        let answer = tokio::time::timeout(LIMIT, exchange).await;
        answer.unwrap_or(Err(SendError::Timeout))
    }

    /// Sends a request and returns the answer's events as they come.
    pub async fn stream(&self, server: SocketAddr, call: Call) -> Result<EventStream, SendError> {
        let opened = tokio::time::timeout(LIMIT, self.open(server, &call)).await;
        let (response, lent) = opened.unwrap_or(Err(SendError::Timeout))?;
        Ok(EventStream::new(response, lent))
    }

    /// Gets a JSON document that must be there.
    pub async fn get<A: DeserializeOwned>(&self, server: SocketAddr, path: &str) -> A {
        let none = None::<&Value>;
        let call = self.client.call(server, Method::GET, path, none, LIMIT);
        call.await
            .unwrap_or_else(|error| panic!("GET {path}: {error:?}"))
    }

    /// Posts a JSON document and reads the JSON answer, which must be a success.
    pub async fn post<A: DeserializeOwned>(
        &self,
        server: SocketAddr,
        path: &str,
        body: &(impl Serialize + Sync),
    ) -> A {
        let call = self
            .client
            .call(server, Method::POST, path, Some(body), LIMIT);
        call.await
            .unwrap_or_else(|error| panic!("POST {path}: {error:?}"))
    }

    /// Changes the settings of a stand-in.
    pub async fn control(&self, server: SocketAddr, patch: &Value) {
        self.post::<Value>(server, "/control", patch).await;
    }

    async fn open(
        &self,
        server: SocketAddr,
        call: &Call,
    ) -> Result<(Response<Incoming>, Lent), SendError> {
        let request = call.request(server);
        self.client.send(server, request, Reuse::Never).await
    }
}

/// One server-sent event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SseEvent {
    /// Identifier, empty without one.
    pub id: String,
    /// Type, empty for the usual one.
    pub event: String,
    /// Data.
    pub data: String,
}

impl SseEvent {
    /// Returns the text of a completion chunk, empty for other events.
    pub fn text(&self) -> String {
        let chunk = serde_json::from_str::<CompletionChunk>(&self.data);
        chunk.map_or_else(|_| String::new(), |c| c.choices[0].text.clone())
    }
}

/// Events of an answer as they come.
pub struct EventStream {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: hyper::HeaderMap,
    body: Incoming,
    buffer: Vec<u8>,
    _lent: Lent,
}

impl EventStream {
    fn new(response: Response<Incoming>, lent: Lent) -> Self {
        let (head, body) = response.into_parts();
        Self {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
            buffer: Vec::new(),
            _lent: lent,
        }
    }

    /// Returns the next event, or `None` when the connection ends or stays silent for `limit`.
    pub async fn next(&mut self, limit: Duration) -> Option<SseEvent> {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            if let Some(event) = self.take_event() {
                return Some(event);
            }
            let frame = tokio::time::timeout_at(deadline, self.body.frame()).await;
            let data = frame.ok()??.ok()?.into_data().ok()?;
            self.buffer.extend_from_slice(&data);
        }
    }

    /// Reads on to the last event of a completion.
    ///
    /// Returns the text, and whether the last event came.
    pub async fn read_text(&mut self, limit: Duration) -> (String, bool) {
        let mut text = String::new();
        while let Some(event) = self.next(limit).await {
            if event.data == DONE {
                return (text, true);
            }
            text.push_str(&event.text());
        }
        (text, false)
    }

    /// Takes the next whole event from the buffer; comments alone are no event.
    fn take_event(&mut self) -> Option<SseEvent> {
        loop {
            let end = self.buffer.windows(2).position(|w| w == b"\n\n")?;
            let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let event = parse_event(&String::from_utf8_lossy(&block));
            if event != SseEvent::default() {
                return Some(event);
            }
        }
    }
}

fn parse_event(block: &str) -> SseEvent {
    let mut event = SseEvent::default();
    for line in block.lines() {
        let Some((field, value)) = line.split_once(':') else {
            continue;
        };
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => event.data.push_str(value),
            "event" => value.clone_into(&mut event.event),
            "id" => value.clone_into(&mut event.id),
            _ => {}
        }
    }
    event
}

/// Waits until a condition holds and returns the time that this took.
///
/// # Panics
///
/// Panics when it does not hold within `limit`.
pub async fn wait_until(
    what: &str,
    limit: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Duration {
    let begun = Instant::now();
    while !condition().await {
        assert!(begun.elapsed() < limit, "not within {limit:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    begun.elapsed()
}

/// Returns the seed of a randomised test, from `HAWTHORN_SEED` or `default`, and prints it.
pub fn seed(default: u64) -> u64 {
    let chosen = std::env::var("HAWTHORN_SEED")
        .ok()
        .and_then(|s| s.parse().ok());
    let seed = chosen.unwrap_or(default);
    println!("seed: {seed}");
    seed
}

/// Writes a settings file that lives as long as the value returned.
pub fn settings_file(text: &str) -> NamedTempFile {
    let file = NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    file
}
