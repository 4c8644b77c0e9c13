//! A caller that implements `docs/callers.md`: redirects, handovers and resumption.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornrack_lib::STREAM_END_DATA;
use serde_json::Value;
use serde_json::json;

use super::Call;
use super::EventStream;
use super::TestClient;

/// Time without an event after which the caller abandons a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay before the request is sent to the next entry.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of requests sent for one completion.
const MAX_REQUESTS: usize = 40;

/// A caller and the entries that it tries.
#[derive(Clone, Debug)]
pub struct Caller {
    http: TestClient,
    entries: Vec<SocketAddr>,
    token: &'static str,
}

/// What the caller has received of a stream so far.
#[derive(Clone, Debug, Default)]
pub struct ReceivedStream {
    /// Text of all tokens received.
    pub text: String,
    /// Number of the last token received, counted from one; zero before the first.
    pub position: u32,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of redirects followed, given by handover events or by HTTP responses.
    pub redirects: usize,
    resume_token: Option<String>,
}

/// What the caller does after a request.
enum NextStep {
    /// Return the result: the response is complete.
    Done,
    /// Send the request to this address and path.
    Redirect(SocketAddr, String),
    /// Try the next entry.
    TryNextEntry,
}

impl Caller {
    /// Creates a caller that tries `entries` in order, starting over after the last one.
    pub fn new(entries: Vec<SocketAddr>, token: &'static str) -> Self {
        Self {
            http: TestClient::new(),
            entries,
            token,
        }
    }

    /// Reads a streamed completion to its end, over as many connections as needed.
    ///
    /// # Panics
    ///
    /// Panics on a missing or repeated token, an error event, an invalid handover or redirect, or
    /// an unexpected status, and when the stream is incomplete after `MAX_REQUESTS` requests.
    pub async fn complete(&self, path: &str, prompt: &str, tokens: u32) -> ReceivedStream {
        let mut received = ReceivedStream::default();
        let mut entry = 0;
        let mut target = (self.entries[0], path.to_owned());
        while received.requests < MAX_REQUESTS {
            received.requests += 1;
            match self
                .send(&target.0, &target.1, prompt, tokens, &mut received)
                .await
            {
                NextStep::Done => return received,
                NextStep::Redirect(address, path) => {
                    received.redirects += 1;
                    target = (address, path);
                }
                NextStep::TryNextEntry => {
                    tokio::time::sleep(RETRY_DELAY).await;
                    entry = (entry + 1) % self.entries.len();
                    target = (self.entries[entry], path.to_owned());
                }
            }
        }
        panic!("stream incomplete after {MAX_REQUESTS} requests: {received:?}");
    }

    async fn send(
        &self,
        entry: &SocketAddr,
        path: &str,
        prompt: &str,
        tokens: u32,
        received: &mut ReceivedStream,
    ) -> NextStep {
        let mut body = json!({"prompt": prompt, "max_tokens": tokens, "stream": true});
        let mut call = Call::post(path, &body).bearer(self.token);
        if let Some(token) = &received.resume_token {
            body["resume_text"] = json!(received.text);
            call = call
                .json(&body)
                .header("x-resume-token", token)
                .header("last-event-id", &received.position.to_string());
        }
        let Ok(stream) = self.http.stream(*entry, call).await else {
            return NextStep::TryNextEntry;
        };
        match stream.status {
            200 => read(stream, received).await,
            307 => {
                let location = stream.headers["location"].to_str().unwrap();
                parse_redirect(location)
            }
            429 | 503 => NextStep::TryNextEntry,
            status => panic!("unexpected status {status} for {prompt}"),
        }
    }
}

/// Reads events into `received` until the stream ends, breaks or is handed over.
async fn read(mut stream: EventStream, received: &mut ReceivedStream) -> NextStep {
    while let Some(event) = stream.next(IDLE_TIMEOUT).await {
        if event.data == STREAM_END_DATA {
            return NextStep::Done;
        }
        let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
        match event.event.as_str() {
            "error" => panic!("{}", event.data),
            "resume" => received.resume_token = data["resume_token"].as_str().map(str::to_owned),
            "handover" => {
                received.resume_token = data["resume_token"].as_str().map(str::to_owned);
                assert_eq!(data["last_event_id"], received.position);
                return parse_redirect(data["location"].as_str().unwrap());
            }
            _ => {
                received.position += 1;
                assert_eq!(
                    event.id,
                    received.position.to_string(),
                    "token missing or repeated"
                );
                received.text.push_str(&event.text());
            }
        }
    }
    NextStep::TryNextEntry
}

/// Splits an absolute URL into the address and path of the next request.
fn parse_redirect(location: &str) -> NextStep {
    let rest = location.strip_prefix("http://").unwrap();
    let (address, path) = rest.split_once('/').unwrap();
    NextStep::Redirect(address.parse().unwrap(), format!("/{path}"))
}
