//! Completion requests, and streams that are read token by token.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hawthornrack_lib::STREAM_END_DATA;
use serde_json::json;

use super::Call;
use super::EventStream;
use super::TIMEOUT;
use super::TestClient;
use super::gates::TOKEN;

/// Path of the completions of the service `tutor` at a gate.
const COMPLETIONS_PATH: &str = "/tutor/v1/completions";

/// Delay before a refused request is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Returns a completion request for `tokens` tokens from the customer `lakeside`. With `stream`, it
/// asks for the response as server-sent events.
pub fn request(prompt: &str, tokens: u32, stream: bool) -> Call {
    let body = json!({"prompt": prompt, "max_tokens": tokens, "stream": stream});
    Call::post(COMPLETIONS_PATH, &body).bearer(TOKEN)
}

/// Reads the first `count` tokens of a stream and returns their text.
///
/// # Panics
///
/// Panics on a missing or repeated token or an error event, and when the stream ends or no event
/// arrives within [`TIMEOUT`].
pub async fn read_tokens(stream: &mut EventStream, count: u32) -> String {
    read_between(stream, 0, count).await
}

/// Reads the tokens numbered `after + 1` to `last` and returns their text.
///
/// # Panics
///
/// Panics as [`read_tokens`] does.
pub async fn read_between(stream: &mut EventStream, after: u32, last: u32) -> String {
    let mut text = String::new();
    let mut token_number = after;
    while token_number < last {
        let event = stream
            .next(TIMEOUT)
            .await
            .expect("the stream must continue");
        assert_ne!(event.event, "error", "{}", event.data);
        if !event.id.is_empty() {
            token_number += 1;
            assert_eq!(
                event.id,
                token_number.to_string(),
                "token missing or repeated"
            );
            text.push_str(&event.text());
        }
    }
    text
}

/// Reads the tokens after number `position` to the end of the stream and returns their text.
///
/// # Panics
///
/// Panics as [`read_tokens`] does.
pub async fn read_rest(stream: &mut EventStream, position: u32) -> String {
    let mut text = String::new();
    let mut token_number = position;
    loop {
        let event = stream
            .next(TIMEOUT)
            .await
            .expect("the stream must be complete");
        assert_ne!(event.event, "error", "{}", event.data);
        if event.data == STREAM_END_DATA {
            return text;
        }
        if !event.id.is_empty() {
            token_number += 1;
            assert_eq!(
                event.id,
                token_number.to_string(),
                "token missing or repeated"
            );
            text.push_str(&event.text());
        }
    }
}

/// Opens a stream, sending the request again while it is refused with status 503. An engine
/// refuses requests until it has loaded its model.
///
/// # Panics
///
/// Panics on any status other than 200 and 503, and when the request is refused for longer than
/// [`TIMEOUT`].
pub async fn open_stream(http: &TestClient, server: SocketAddr, call: &Call) -> EventStream {
    let started = Instant::now();
    loop {
        let stream = http.stream(server, call.clone()).await.unwrap();
        if stream.status == 200 {
            return stream;
        }
        assert_eq!(stream.status, 503);
        assert!(started.elapsed() < TIMEOUT, "refused for {TIMEOUT:?}");
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
