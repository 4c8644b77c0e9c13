//! Tests of the fault-injecting proxy.

mod testutils;

use std::net::SocketAddr;
use std::time::Duration;

use hawthornrack_lab::LinkInfo;
use hawthornrack_lab::run_proxy;
use hyper::Method;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;

use self::testutils::Server;
use self::testutils::start;

/// Time without a response after which a connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of an operation that must complete.
const TIMEOUT: Duration = Duration::from_secs(10);

async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                tokio::io::copy(&mut from, &mut to).await
            });
        }
    });
    address
}

struct Fixture {
    proxy: Server,
    link: SocketAddr,
}

impl Fixture {
    async fn new() -> Self {
        let proxy = start(run_proxy).await;
        let request = json!({"name": "a", "target": start_echo_server().await});
        let info: LinkInfo = proxy.post("/links", &request).await.unwrap();
        Self {
            link: info.listen,
            proxy,
        }
    }

    async fn set_mode(&self, mode: Value) {
        let change = json!({"mode": mode});
        self.proxy.send(Method::PUT, "/links/a", &change).await;
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.link).await.unwrap()
    }
}

/// Sends a message and returns whether it is echoed; false if the connection ends. Panics after
/// `TIMEOUT`.
async fn echoes(stream: &mut TcpStream) -> bool {
    stream.write_all(b"ping").await.unwrap();
    let mut buffer = [0; 4];
    let read = tokio::time::timeout(TIMEOUT, stream.read_exact(&mut buffer)).await;
    read.unwrap().is_ok()
}

/// Sends a message and returns whether the connection neither responds nor ends within
/// `SILENCE_TIMEOUT`.
async fn is_silent(stream: &mut TcpStream) -> bool {
    stream.write_all(b"ping").await.unwrap();
    let mut buffer = [0; 4];
    let read = tokio::time::timeout(SILENCE_TIMEOUT, stream.read(&mut buffer)).await;
    read.is_err()
}

/// Returns whether the peer closes or resets a connection.
async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 4];
    let read = tokio::time::timeout(TIMEOUT, stream.read(&mut buffer)).await;
    read.is_ok_and(|r| matches!(r, Ok(0) | Err(_)))
}

#[tokio::test]
async fn test_proxy_freeze_existing_silences_open_connections_for_good() {
    let fixture = Fixture::new().await;
    let mut old = fixture.connect().await;
    assert!(echoes(&mut old).await);
    fixture.set_mode(json!("freeze_existing")).await;
    assert!(is_silent(&mut old).await);
    let mut new = fixture.connect().await;
    assert!(echoes(&mut new).await);
    fixture.set_mode(json!("pass")).await;
    assert!(is_silent(&mut old).await);
}

#[tokio::test]
async fn test_proxy_freeze_silences_new_connections_too() {
    let fixture = Fixture::new().await;
    fixture.set_mode(json!("freeze")).await;
    let mut frozen = fixture.connect().await;
    assert!(is_silent(&mut frozen).await);
    fixture.set_mode(json!("pass")).await;
    assert!(is_silent(&mut frozen).await);
    assert!(echoes(&mut fixture.connect().await).await);
}

#[tokio::test]
async fn test_proxy_cut_resets_open_connections_once() {
    let fixture = Fixture::new().await;
    let mut old = fixture.connect().await;
    assert!(echoes(&mut old).await);
    fixture.set_mode(json!("cut")).await;
    assert!(is_closed(&mut old).await);
    assert!(echoes(&mut fixture.connect().await).await);
    fixture.set_mode(json!("refuse")).await;
    assert!(is_closed(&mut fixture.connect().await).await);
}

#[tokio::test]
async fn test_proxy_drop_answers_discards_and_closes() {
    let fixture = Fixture::new().await;
    let mut stream = fixture.connect().await;
    fixture.set_mode(json!("drop_answers")).await;
    stream.write_all(b"ping").await.unwrap();
    assert!(is_closed(&mut stream).await);
}

#[tokio::test]
async fn test_proxy_delays_both_directions() {
    let fixture = Fixture::new().await;
    fixture.set_mode(json!({"delay": 30})).await;
    let started = Instant::now();
    assert!(echoes(&mut fixture.connect().await).await);
    assert!(started.elapsed() >= Duration::from_millis(60));
}

#[tokio::test]
async fn test_proxy_forwards_large_responses_and_counts_connections() {
    let fixture = Fixture::new().await;
    let mut stream = fixture.connect().await;
    let sent = vec![7_u8; 2_000_000];
    let (mut from, mut to) = stream.split();
    let mut received = Vec::new();
    let (written, read) = tokio::join!(
        async {
            to.write_all(&sent).await?;
            to.shutdown().await
        },
        from.read_to_end(&mut received),
    );
    written.unwrap();
    read.unwrap();
    assert_eq!(received, sent);
    let links: Vec<LinkInfo> = fixture.proxy.get("/links").await.unwrap();
    assert_eq!((links[0].accepted, links[0].name.as_str()), (1, "a"));
}
