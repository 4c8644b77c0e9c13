//! Helpers that the stand-ins' tests share.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hawthornrack_lib::ATTEMPT_HEADER;
use hawthornrack_lib::CompletionChunk;
use hawthornrack_lib::CompletionRequest;
use hawthornrack_lib::DONE;
use hawthornrack_lib::HttpClient;
use hawthornrack_lib::Reuse;
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

/// Time limit of a call in tests.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A stand-in under test; dropped, it stops.
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

    pub async fn send(&self, method: Method, path: &str, body: &impl Serialize) -> Bytes {
        let call = self.try_send(method, path, body).await;
        call.unwrap()
            .into_body()
            .collect()
            .await
            .unwrap()
            .to_bytes()
    }

    pub async fn try_send(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Response<Incoming>, SendError> {
        let mut request = json_request(self.address, method, path, Some(body)).unwrap();
        let headers = request.headers_mut();
        headers.insert(ATTEMPT_HEADER, "attempt-1".parse().unwrap());
        headers.insert("idempotency-key", "key-1".parse().unwrap());
        let sent = self.client.send(self.address, request, Reuse::Never);
        let (response, lent) = tokio::time::timeout(CALL_TIMEOUT, sent).await.unwrap()?;
        // The connection stays open until its answer has been read.
        tokio::spawn(async move {
            tokio::time::sleep(CALL_TIMEOUT).await;
            drop(lent);
        });
        Ok(response)
    }

    pub async fn control(&self, patch: &Value) {
        self.post::<Value>("/control", patch).await.unwrap();
    }
}

/// Waits until a condition holds.
pub async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + CALL_TIMEOUT;
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "the condition did not come to hold"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A request for a streamed answer.
pub fn streamed(prompt: &str, max_tokens: u32) -> CompletionRequest {
    CompletionRequest {
        model: String::from("model"),
        prompt: prompt.to_owned(),
        max_tokens,
        stream: true,
    }
}

/// Text of an event stream, the last event's number, and whether the stream is whole.
#[derive(Debug, Eq, PartialEq)]
pub struct Streamed {
    pub text: String,
    pub last: u32,
    pub whole: bool,
}

/// Reads an event stream up to `limit` events or its end.
pub async fn read_events(response: Response<Incoming>, limit: u32) -> Streamed {
    let mut body = response.into_body();
    let mut seen = Streamed {
        text: String::new(),
        last: 0,
        whole: false,
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
                return seen;
            }
            take_event(event, &mut seen);
            count += 1;
            buffer = rest.to_owned();
        }
    }
    seen
}

fn take_event(event: &str, seen: &mut Streamed) {
    for line in event.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            seen.last = id.parse().unwrap();
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == DONE {
            seen.whole = true;
            continue;
        }
        let chunk: CompletionChunk = serde_json::from_str(data).unwrap();
        seen.text.push_str(&chunk.choices[0].text);
    }
}
