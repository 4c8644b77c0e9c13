//! Helpers shared by the tests of the stand-ins.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hawthornrack_lib::ATTEMPT_ID_HEADER;
use hawthornrack_lib::CompletionChunk;
use hawthornrack_lib::CompletionRequest;
use hawthornrack_lib::HttpClient;
use hawthornrack_lib::Reuse;
use hawthornrack_lib::STREAM_END_DATA;
use hawthornrack_lib::SendError;
use hawthornrack_lib::json_request;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Response;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Timeout of a call in tests.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Stand-in under test, which stops when it is dropped.
pub struct Server {
    pub address: SocketAddr,
    pub client: HttpClient,
    stop: CancellationToken,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Starts a stand-in on a free port.
pub async fn start<F>(run: impl FnOnce(TcpListener, CancellationToken) -> F) -> Server
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    tokio::spawn(run(listener, stop.clone()));
    Server {
        address,
        client: HttpClient::new(),
        stop,
    }
}

impl Server {
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, SendError> {
        let none = None::<&Value>;
        let call = self
            .client
            .call(self.address, Method::GET, path, none, CALL_TIMEOUT);
        call.await
    }

    pub async fn post<A: DeserializeOwned>(
        &self,
        path: &str,
        body: &(impl Serialize + Sync),
    ) -> Result<A, SendError> {
        let call = self
            .client
            .call(self.address, Method::POST, path, Some(body), CALL_TIMEOUT);
        call.await
    }

    /// Sends a request with attempt identifier `attempt-1` and idempotency key `key-1`, and returns
    /// the body of the response.
    pub async fn send(&self, method: Method, path: &str, body: &impl Serialize) -> Bytes {
        let call = self.try_send(method, path, body).await;
        call.unwrap()
            .into_body()
            .collect()
            .await
            .unwrap()
            .to_bytes()
    }

    /// Sends a request with attempt identifier `attempt-1` and idempotency key `key-1`, and returns
    /// the response.
    pub async fn try_send(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Response<Incoming>, SendError> {
        let mut request = json_request(self.address, method, path, Some(body)).unwrap();
        let headers = request.headers_mut();
        headers.insert(ATTEMPT_ID_HEADER, "attempt-1".parse().unwrap());
        headers.insert("idempotency-key", "key-1".parse().unwrap());
        let sent = self.client.send(self.address, request, Reuse::Never);
        let (response, connection) = tokio::time::timeout(CALL_TIMEOUT, sent).await.unwrap()?;
        // Keeps the connection for `CALL_TIMEOUT`, so that the caller can read the response.
        tokio::spawn(async move {
            tokio::time::sleep(CALL_TIMEOUT).await;
            drop(connection);
        });
        Ok(response)
    }

    /// Applies a JSON merge patch to the settings of the stand-in.
    pub async fn change_settings(&self, patch: &Value) {
        self.post::<Value>("/control", patch).await.unwrap();
    }
}

/// Waits until a condition holds.
pub async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + CALL_TIMEOUT;
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "the condition was not met within {CALL_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns a request for a streamed completion.
pub fn stream_request(prompt: &str, max_tokens: u32) -> CompletionRequest {
    CompletionRequest {
        model: String::from("model"),
        prompt: prompt.to_owned(),
        max_tokens,
        stream: true,
    }
}

/// Part of an event stream that has been read.
#[derive(Debug, Eq, PartialEq)]
pub struct StreamContent {
    pub text: String,
    /// Identifier of the last event that has one, or zero.
    pub last_event_id: u32,
    /// Whether the end marker has been read.
    pub is_complete: bool,
}

/// Reads an event stream until it ends or until event `limit + 1` arrives, which is discarded. The
/// end marker counts as an event.
pub async fn read_events(response: Response<Incoming>, limit: u32) -> StreamContent {
    let mut body = response.into_body();
    let mut content = StreamContent {
        text: String::new(),
        last_event_id: 0,
        is_complete: false,
    };
    let mut buffer = String::new();
    let mut count = 0;
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.push_str(std::str::from_utf8(&data).unwrap());
        while let Some((event, rest)) = buffer.split_once("\n\n") {
            if count == limit {
                return content;
            }
            apply_event(event, &mut content);
            count += 1;
            buffer = rest.to_owned();
        }
    }
    content
}

fn apply_event(event: &str, content: &mut StreamContent) {
    for line in event.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            content.last_event_id = id.parse().unwrap();
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == STREAM_END_DATA {
            content.is_complete = true;
            continue;
        }
        let chunk: CompletionChunk = serde_json::from_str(data).unwrap();
        content.text.push_str(&chunk.choices[0].text);
    }
}
