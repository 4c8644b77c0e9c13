//! Completion requests, and streams read token by token.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hawthornrack_lib::DONE;
use serde_json::json;

use super::Call;
use super::EventStream;
use super::Http;
use super::LIMIT;
use super::gates::TOKEN;

/// Path of completions at a gate.
const PATH: &str = "/tutor/v1/completions";

/// Pause before a refused request is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(50);

/// Returns a completion request of the customer `lakeside`.
pub fn request(prompt: &str, tokens: u32, stream: bool) -> Call {
    let body = json!({"prompt": prompt, "max_tokens": tokens, "stream": stream});
    Call::post(PATH, &body).bearer(TOKEN)
}

/// Reads `count` tokens and returns their text.
pub async fn read_tokens(stream: &mut EventStream, count: u32) -> String {
    read_between(stream, 0, count).await
}

/// Reads the tokens after number `from` up to number `to` and returns their text.
pub async fn read_between(stream: &mut EventStream, from: u32, to: u32) -> String {
    let mut text = String::new();
    let mut read = from;
    while read < to {
        let event = stream.next(LIMIT).await.expect("the stream goes on");
        assert_ne!(event.event, "error", "{}", event.data);
        if !event.id.is_empty() {
            read += 1;
            assert_eq!(event.id, read.to_string(), "no gap and no repeat");
            text.push_str(&event.text());
        }
    }
    text
}

/// Reads the rest of a stream after `position`, checking each position.
pub async fn read_rest(stream: &mut EventStream, position: u32) -> String {
    let mut text = String::new();
    let mut read = position;
    loop {
        let event = stream.next(LIMIT).await.expect("the stream ends whole");
        assert_ne!(event.event, "error", "{}", event.data);
        if event.data == DONE {
            return text;
        }
        if !event.id.is_empty() {
            read += 1;
            assert_eq!(event.id, read.to_string(), "no gap and no repeat");
            text.push_str(&event.text());
        }
    }
}

/// Opens a stream, sending again while the request is refused as not run: an engine that loads
/// what it was ordered to run refuses for a while.
pub async fn open_stream(http: &Http, server: SocketAddr, call: &Call) -> EventStream {
    let begun = Instant::now();
    loop {
        let stream = http.stream(server, call.clone()).await.unwrap();
        if stream.status == 200 {
            return stream;
        }
        assert_eq!(stream.status, 503);
        assert!(begun.elapsed() < LIMIT, "refused for {LIMIT:?}");
        tokio::time::sleep(RESEND_PAUSE).await;
    }
}
