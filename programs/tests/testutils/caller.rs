//! A caller that follows `docs/callers.md`: redirects, hand-overs and resumption.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornrack_lib::DONE;
use serde_json::Value;
use serde_json::json;

use super::Call;
use super::EventStream;
use super::Http;

/// Silence after which a caller gives a connection up.
const SILENCE: Duration = Duration::from_secs(4);

/// Pause before an entry is asked again.
const PAUSE: Duration = Duration::from_millis(100);

/// Requests that a caller sends for one answer at most.
const MAX_SENDS: usize = 40;

/// A caller with its list of entries.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Http,
    entries: Vec<SocketAddr>,
    token: &'static str,
}

/// A stream as far as the caller has it.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Text of all tokens.
    pub text: String,
    /// Number of the last token.
    pub position: u32,
    /// Requests sent.
    pub sends: usize,
    /// Hand-over events and redirects followed.
    pub hand_overs: usize,
    resume_token: Option<String>,
}

/// What a caller does next.
enum Next {
    /// The answer is whole.
    Done,
    /// It goes on at another address and path.
    At(SocketAddr, String),
    /// It tries the next entry.
    Elsewhere,
}

impl Caller {
    /// Creates a caller that tries the entries in this order.
    pub fn new(entries: Vec<SocketAddr>, token: &'static str) -> Self {
        Self {
            http: Http::new(),
            entries,
            token,
        }
    }

    /// Reads a streamed completion whole, over as many connections as it takes.
    ///
    /// # Panics
    ///
    /// Panics on a gap, a repeat, an error event and an answer that refuses for good.
    pub async fn complete(&self, path: &str, prompt: &str, tokens: u32) -> Received {
        let mut received = Received::default();
        let mut entry = 0;
        let mut at = (self.entries[0], path.to_owned());
        while received.sends < MAX_SENDS {
            received.sends += 1;
            match self.send(&at.0, &at.1, prompt, tokens, &mut received).await {
                Next::Done => return received,
                Next::At(address, path) => {
                    received.hand_overs += 1;
                    at = (address, path);
                }
                Next::Elsewhere => {
                    tokio::time::sleep(PAUSE).await;
                    entry = (entry + 1) % self.entries.len();
                    at = (self.entries[entry], path.to_owned());
                }
            }
        }
        panic!("not whole after {MAX_SENDS} requests: {received:?}");
    }

    async fn send(
        &self,
        entry: &SocketAddr,
        path: &str,
        prompt: &str,
        tokens: u32,
        received: &mut Received,
    ) -> Next {
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
            return Next::Elsewhere;
        };
        match stream.status {
            200 => read(stream, received).await,
            307 => {
                let location = stream.headers["location"].to_str().unwrap();
                follow(location)
            }
            429 | 503 => Next::Elsewhere,
            status => panic!("status {status} for {prompt}"),
        }
    }
}

async fn read(mut stream: EventStream, received: &mut Received) -> Next {
    while let Some(event) = stream.next(SILENCE).await {
        if event.data == DONE {
            return Next::Done;
        }
        let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
        match event.event.as_str() {
            "error" => panic!("{}", event.data),
            "resume" => received.resume_token = data["resume_token"].as_str().map(str::to_owned),
            "handover" => {
                received.resume_token = data["resume_token"].as_str().map(str::to_owned);
                assert_eq!(data["last_event_id"], received.position);
                return follow(data["location"].as_str().unwrap());
            }
            _ => {
                received.position += 1;
                assert_eq!(event.id, received.position.to_string(), "gap or repeat");
                received.text.push_str(&event.text());
            }
        }
    }
    Next::Elsewhere
}

fn follow(location: &str) -> Next {
    let rest = location.strip_prefix("http://").unwrap();
    let (address, path) = rest.split_once('/').unwrap();
    Next::At(address.parse().unwrap(), format!("/{path}"))
}
