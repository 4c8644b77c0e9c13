//! Helpers for the process tests: child processes, the fault-injecting proxy, an HTTP client and
//! waiting for conditions.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod bookings;
pub mod caller;
pub mod completions;
pub mod deployment;
pub mod gates;
pub mod in_force;
pub mod load;
pub mod moves;

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
use hawthornrack_lib::CompletionChunk;
use hawthornrack_lib::HttpClient;
use hawthornrack_lib::PooledConnection;
use hawthornrack_lib::RequestBody;
use hawthornrack_lib::Reuse;
use hawthornrack_lib::STREAM_END_DATA;
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

/// Path of the `hawthorn-lab` binary.
pub const LAB: &str = env!("CARGO_BIN_EXE_hawthorn-lab");

/// Time within which a process must become ready, a request must get its response and an awaited
/// condition must hold.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of lines at the end of a process's log that a failing test prints.
const LOG_TAIL_LINES: usize = 40;

/// A process under test or a stand-in, killed when the value is dropped. If the test is panicking
/// then, the end of the log of the process is printed.
pub struct Process {
    name: String,
    child: Child,
    addresses: HashMap<String, SocketAddr>,
    log_file: NamedTempFile,
}

impl Process {
    /// Starts a program and waits until it prints its ready line.
    ///
    /// The program gets its own process group. Tests stop processes with SIGSTOP, and a process
    /// group that is orphaned while one of its members is stopped receives SIGHUP (setpgid(2)).
    ///
    /// # Panics
    ///
    /// Panics when the program cannot be started, or when its first line of output does not arrive
    /// within [`TIMEOUT`] or is not a ready line. In the latter cases, the end of the program's log
    /// is printed.
    pub fn start(program: &str, args: &[&str], env: &[(&str, &str)]) -> Self {
        let log_file = NamedTempFile::new().unwrap();
        let mut child = Command::new(program)
            .args(args)
            .envs(env.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file.reopen().unwrap())
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
            addresses: HashMap::new(),
            log_file,
        };
        let line = receiver.recv_timeout(TIMEOUT);
        let line = line.unwrap_or_else(|_| {
            panic!(
                "{} exited or printed no line within {TIMEOUT:?}",
                process.name
            )
        });
        let value: Value = serde_json::from_str(&line).unwrap();
        process.addresses = serde_json::from_value(value["ready"].clone()).unwrap();
        process
    }

    /// Starts the stand-in or proxy that the subcommand `kind` of `hawthorn-lab` runs; `settings`
    /// holds `key=value` pairs in TOML syntax, which the proxy does not take.
    pub fn lab(kind: &str, settings: &[&str]) -> Self {
        let mut args = vec![kind];
        for setting in settings {
            args.extend(["--set", setting]);
        }
        Self::start(LAB, &args, &[])
    }

    /// Returns the address that the ready line lists under `name`.
    ///
    /// # Panics
    ///
    /// Panics if the ready line has no such name.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Returns the address of the HTTP server.
    pub fn http(&self) -> SocketAddr {
        self.address("http")
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process (SIGKILL), as the loss of its VM would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Requests a graceful shutdown (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Suspends the process (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Returns whether the process has not yet exited.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits until the process exits and returns its status, or `None` if it still runs after
    /// `timeout`.
    pub async fn wait_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.child.try_wait().unwrap();
            if status.is_some() || Instant::now() >= deadline {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns what the process has written to standard error.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(self.log_file.path()).unwrap_or_default()
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
        let tail = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
        eprintln!("--- log of {}\n{}\n---", self.name, tail.join("\n"));
    }
}

/// The fault-injecting proxy, run as a process.
pub struct Proxy {
    process: Process,
    http: TestClient,
}

impl Proxy {
    /// Starts a proxy that has no links.
    pub fn start() -> Self {
        Self {
            process: Process::lab("proxy", &[]),
            http: TestClient::new(),
        }
    }

    /// Creates a link to `target` and returns the address on which it accepts connections.
    /// Without a target, the link refuses connections until [`Proxy::set_target`] is called.
    pub async fn add_link(&self, name: &str, target: Option<SocketAddr>) -> SocketAddr {
        let body = json!({"name": name, "target": target});
        let info: LinkInfo = self.http.post(self.process.http(), "/links", &body).await;
        info.listen
    }

    /// Sets how a link treats connections.
    pub async fn set_mode(&self, name: &str, mode: LinkMode) {
        self.update_link(name, &json!({"mode": mode})).await;
    }

    /// Sets how all links whose names start with `prefix` treat connections.
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

    /// Sets the address to which a link forwards connections.
    pub async fn set_target(&self, name: &str, target: SocketAddr) {
        self.update_link(name, &json!({"target": target})).await;
    }

    /// Returns all links.
    pub async fn links(&self) -> Vec<LinkInfo> {
        self.http.get(self.process.http(), "/links").await
    }

    async fn update_link(&self, name: &str, body: &Value) {
        let path = format!("/links/{name}");
        let call = Call::new(Method::PUT, &path).json(body);
        let response = self.http.send(self.process.http(), call).await.unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
    }
}

/// An HTTP request that a test sends.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Value,
}

impl Call {
    /// Creates a request that has no body.
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

    fn request(&self, server: SocketAddr) -> Request<RequestBody> {
        let body = (!self.body.is_null()).then_some(&self.body);
        let mut request = json_request(server, self.method.clone(), &self.path, body).unwrap();
        for (name, value) in &self.headers {
            request.headers_mut().insert(*name, value.parse().unwrap());
        }
        request
    }
}

/// An HTTP response with its complete body.
#[derive(Debug)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: hyper::HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, or null when it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the value of a header, or an empty string when it is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }
}

/// HTTP client. [`TestClient::send`] and [`TestClient::stream`] open a new connection for every
/// request; the other methods reuse idle connections.
#[derive(Clone, Debug, Default)]
pub struct TestClient {
    client: HttpClient,
}

impl TestClient {
    /// Creates a client with an empty connection pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or takes longer than [`TIMEOUT`].
    pub async fn send(&self, server: SocketAddr, call: Call) -> Result<HttpResponse, SendError> {
        let exchange = async {
            let (response, _connection) = self.open(server, &call).await?;
            let (head, body) = response.into_parts();
            let body = body.collect().await;
            Ok(HttpResponse {
                status: head.status.as_u16(),
                headers: head.headers,
                body: body
                    .map_err(|error| SendError::BadResponse(error.to_string()))?
                    .to_bytes(),
            })
        };
        let response = tokio::time::timeout(TIMEOUT, exchange).await;
        response.unwrap_or(Err(SendError::Timeout))
    }

    /// Sends a request and returns the response as a stream of events.
    ///
    /// # Errors
    ///
    /// Returns an error when the response headers do not arrive within [`TIMEOUT`].
    pub async fn stream(&self, server: SocketAddr, call: Call) -> Result<EventStream, SendError> {
        let opened = tokio::time::timeout(TIMEOUT, self.open(server, &call)).await;
        let (response, connection) = opened.unwrap_or(Err(SendError::Timeout))?;
        Ok(EventStream::new(response, connection))
    }

    /// Fetches a JSON document.
    ///
    /// # Panics
    ///
    /// Panics unless the response has a success status and a JSON body of type `T`.
    pub async fn get<T: DeserializeOwned>(&self, server: SocketAddr, path: &str) -> T {
        let none = None::<&Value>;
        let response = self.client.call(server, Method::GET, path, none, TIMEOUT);
        response
            .await
            .unwrap_or_else(|error| panic!("GET {path}: {error:?}"))
    }

    /// Posts a JSON document and returns the JSON response.
    ///
    /// # Panics
    ///
    /// Panics unless the response has a success status and a JSON body of type `T`.
    pub async fn post<T: DeserializeOwned>(
        &self,
        server: SocketAddr,
        path: &str,
        body: &(impl Serialize + Sync),
    ) -> T {
        let response = self
            .client
            .call(server, Method::POST, path, Some(body), TIMEOUT);
        response
            .await
            .unwrap_or_else(|error| panic!("POST {path}: {error:?}"))
    }

    /// Changes settings of a running stand-in; settings that `patch` omits keep their value.
    ///
    /// # Panics
    ///
    /// Panics unless the stand-in accepts them.
    pub async fn configure(&self, server: SocketAddr, patch: &Value) {
        self.post::<Value>(server, "/control", patch).await;
    }

    async fn open(
        &self,
        server: SocketAddr,
        call: &Call,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        let request = call.request(server);
        self.client.send(server, request, Reuse::Never).await
    }
}

/// A server-sent event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SseEvent {
    /// Identifier, or empty if the event has none.
    pub id: String,
    /// Event type, or empty for the default type.
    pub event: String,
    /// Text of all `data` lines, joined without separators.
    pub data: String,
}

impl SseEvent {
    /// Returns the text of a completion chunk, or an empty string for other events.
    pub fn text(&self) -> String {
        let chunk = serde_json::from_str::<CompletionChunk>(&self.data);
        chunk.map_or_else(|_| String::new(), |c| c.choices[0].text.clone())
    }
}

/// The server-sent events of a response, read as they arrive.
pub struct EventStream {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: hyper::HeaderMap,
    body: Incoming,
    buffer: Vec<u8>,
    _connection: PooledConnection,
}

impl EventStream {
    fn new(response: Response<Incoming>, connection: PooledConnection) -> Self {
        let (head, body) = response.into_parts();
        Self {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
            buffer: Vec::new(),
            _connection: connection,
        }
    }

    /// Returns the next event, or `None` when the response ends or fails, or no event arrives
    /// within `timeout`.
    pub async fn next(&mut self, timeout: Duration) -> Option<SseEvent> {
        let deadline = tokio::time::Instant::now() + timeout;
        loop {
            if let Some(event) = self.take_event() {
                return Some(event);
            }
            let frame = tokio::time::timeout_at(deadline, self.body.frame()).await;
            let data = frame.ok()??.ok()?.into_data().ok()?;
            self.buffer.extend_from_slice(&data);
        }
    }

    /// Reads to the last event of a completion, waiting at most `timeout` for each event.
    ///
    /// Returns the text read, and whether the last event arrived.
    pub async fn read_text(&mut self, timeout: Duration) -> (String, bool) {
        let mut text = String::new();
        while let Some(event) = self.next(timeout).await {
            if event.data == STREAM_END_DATA {
                return (text, true);
            }
            text.push_str(&event.text());
        }
        (text, false)
    }

    /// Removes the next complete event from the buffer, skipping blocks that hold only comments.
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

/// Waits until a condition holds and returns how long that took.
///
/// # Panics
///
/// Panics when the condition does not hold within `timeout`. The time is checked between polls: a
/// poll that hangs is not interrupted.
pub async fn wait_until(
    description: &str,
    timeout: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Duration {
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < timeout,
            "condition not met within {timeout:?}: {description}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    started.elapsed()
}

/// Returns the seed of a randomised test and prints it. The seed is taken from `HAWTHORN_SEED`, or
/// is `default` if that is not set or not a number.
pub fn seed(default: u64) -> u64 {
    let given = std::env::var("HAWTHORN_SEED")
        .ok()
        .and_then(|s| s.parse().ok());
    let seed = given.unwrap_or(default);
    println!("seed: {seed}");
    seed
}

/// Writes a settings file, which is deleted when the returned value is dropped.
pub fn settings_file(text: &str) -> NamedTempFile {
    let file = NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    file
}
