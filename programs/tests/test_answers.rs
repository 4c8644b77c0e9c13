//! Process tests of whole and own answers, of true refusals and of crashing requests.

mod testutils;

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use hawthornrack_lab::EngineStats;
use hawthornrack_lab::LinkMode;
use hawthornrack_lab::PlainStats;
use hawthornrack_lab::generate_text;
use hyper::Method;
use rstest::rstest;
use serde_json::json;

use self::testutils::Call;
use self::testutils::Process;
use self::testutils::Proxy;
use self::testutils::gates::OTHER_TOKEN;
use self::testutils::gates::Site;
use self::testutils::gates::TOKEN;
use self::testutils::tokens::read_rest;
use self::testutils::tokens::request;

fn get(path: &str) -> Call {
    Call::new(Method::GET, path).bearer(TOKEN)
}

fn book(number: u32) -> Call {
    Call::post("/booking/book", &json!({"boat": number})).bearer(TOKEN)
}

async fn runs(site: &Site, service: &Process) -> PlainStats {
    site.http.get(service.http(), "/stats").await
}

#[tokio::test]
async fn test_answers_crossed_plain_answer_is_dropped() {
    let mut site = Site::start().await;
    let service = Process::lab("plain", &["faults.crossed=1"]);
    let other = Process::lab("plain", &["faults.crossed=1"]);
    site.add_endpoint("booking", "p1", service.http()).await;
    site.add_endpoint("booking", "p2", other.http()).await;
    let third = Process::lab("plain", &[]);
    let gate = site.add_gate("d1").await;
    site.add_endpoint("booking", "p3", third.http()).await;
    for number in 0..5 {
        let path = format!("/booking/stock/{number}");
        let answer = site.http.send(gate, get(&path)).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.json()["path"], format!("/stock/{number}"));
    }
    for _ in 0..20 {
        site.http.send(gate, get("/booking/stock")).await.unwrap();
    }
    assert_eq!(site.counts(0).await.crossed, 2);
}

#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
#[tokio::test]
async fn test_answers_crossed_model_answer_is_dropped(#[case] streamed: bool) {
    let mut site = Site::start().await;
    let engine = Process::lab("engine", &["faults.crossed=1"]);
    site.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = site.add_gate("d1").await;
    let call = request("a b", 20, streamed);
    let text = if streamed {
        let mut stream = site.http.stream(gate, call).await.unwrap();
        read_rest(&mut stream, 0).await
    } else {
        let answer = site.http.send(gate, call).await.unwrap();
        answer.json()["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    assert_eq!(text, generate_text("a b", 20));
    assert_eq!(site.counts(0).await.crossed, 1);
}

#[tokio::test]
async fn test_answers_late_answer_is_overtaken_by_the_retry() {
    let mut site = Site::start().await;
    let faults = &["faults.late=1", "faults.late_ms=1500"];
    let service = Process::lab("plain", faults);
    site.add_endpoint("booking", "p1", service.http()).await;
    let gate = site.add_gate_with("d1", "progress = 300").await;
    let other = Process::lab("plain", &[]);
    site.add_endpoint("booking", "p2", other.http()).await;
    let mut late = 0;
    for number in 0..30 {
        let path = format!("/booking/quick/{number}");
        let begun = Instant::now();
        let answer = site.http.send(gate, get(&path)).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.json()["path"], format!("/quick/{number}"));
        assert!(
            begun.elapsed() < Duration::from_secs(2),
            "within the route's timeout"
        );
        late += u32::from(begun.elapsed() > Duration::from_millis(300));
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let answer = site
        .http
        .send(gate, get("/booking/quick/last"))
        .await
        .unwrap();
    assert_eq!(
        answer.json()["path"],
        "/quick/last",
        "the late answer reaches nobody"
    );
    assert_eq!((late, site.counts(0).await.retries), (1, 1));
}

#[tokio::test]
async fn test_answers_concurrent_streams_are_each_callers_own() {
    let mut site = Site::start().await;
    let engines = [
        Process::lab("engine", &["slots=64"]),
        Process::lab("engine", &["slots=64"]),
    ];
    let proxy = Proxy::start();
    for (number, engine) in engines.iter().enumerate() {
        let name = format!("e{number}");
        let address = proxy.link(&name, Some(engine.http())).await;
        site.add_endpoint("tutor", &name, address).await;
    }
    let gates = [site.add_gate("d1").await, site.add_gate("d2").await];
    let streams = (0..40).map(|number| {
        let http = site.http.clone();
        async move {
            let prompt = format!("prompt {number}");
            let call = request(&prompt, 80, true);
            let mut stream = http.stream(gates[number % 2], call).await.unwrap();
            assert_eq!(read_rest(&mut stream, 0).await, generate_text(&prompt, 80));
        }
    });
    let cuts = async {
        for name in ["e0", "e1"] {
            tokio::time::sleep(Duration::from_millis(100)).await;
            proxy.set_mode(name, LinkMode::Cut).await;
        }
    };
    tokio::join!(join_all(streams), cuts);
    let counts = [site.counts(0).await, site.counts(1).await];
    assert!(
        counts.iter().map(|c| c.resumed).sum::<u64>() > 0,
        "{counts:?}"
    );
}

#[rstest]
#[case::answers_lost(LinkMode::DropAnswers)]
#[case::requests_lost(LinkMode::DropRequests)]
#[case::refused(LinkMode::Refuse)]
#[case::silent(LinkMode::Freeze)]
#[tokio::test]
async fn test_answers_refusals_are_true(#[case] mode: LinkMode) {
    let mut site = Site::start().await;
    let service = Process::lab("plain", &[]);
    let proxy = Proxy::start();
    let address = proxy.link("plain", Some(service.http())).await;
    site.add_endpoint("booking", "p1", address).await;
    let gate = site.add_gate_with("d1", "progress = 300").await;
    assert_eq!(site.http.send(gate, book(0)).await.unwrap().status, 200);
    proxy.set_mode("plain", mode).await;
    let calls = (1..6).map(|number| site.http.send(gate, book(number)));
    let mut refused = 0;
    for answer in join_all(calls).await {
        let answer = answer.unwrap();
        assert!(answer.status >= 500, "{}", answer.text());
        refused += u64::from(answer.json()["outcome"] == "not_run");
        assert_ne!(answer.json()["outcome"], "failed", "{}", answer.text());
    }
    proxy.set_mode("plain", LinkMode::Pass).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let stats = runs(&site, &service).await;
    assert!(
        stats.runs - 1 + refused <= 5,
        "{refused} said not run, {stats:?}"
    );
    let by_digest = stats.by_digest.values().copied().max();
    assert_eq!(by_digest, Some(1), "none ran twice");
}

#[tokio::test]
async fn test_answers_unreachable_endpoint_is_not_run_and_says_when_to_come_back() {
    let mut site = Site::start().await;
    let mut service = Process::lab("plain", &[]);
    site.add_endpoint("booking", "p1", service.http()).await;
    let gate = site.add_gate("d1").await;
    service.kill();
    let answer = site.http.send(gate, book(1)).await.unwrap();
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert_eq!(answer.json()["outcome"], "not_run");
    assert!(!answer.header("retry-after").is_empty());
}

#[tokio::test]
async fn test_answers_unsent_booking_goes_to_another_endpoint() {
    let mut site = Site::start().await;
    let mut dead = Process::lab("plain", &[]);
    let live = Process::lab("plain", &[]);
    site.add_endpoint("booking", "p1", dead.http()).await;
    site.add_endpoint("booking", "p2", live.http()).await;
    let gate = site.add_gate("d1").await;
    dead.kill();
    for number in 0..10 {
        let answer = site.http.send(gate, book(number)).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(runs(&site, &live).await.runs, 10);
}

#[tokio::test]
async fn test_answers_refused_connections_use_up_no_retries() {
    let mut site = Site::start().await;
    let mut endpoints = Vec::new();
    for number in 0..4 {
        let endpoint = Process::lab("plain", &[]);
        site.add_endpoint("booking", &format!("p{number}"), endpoint.http())
            .await;
        endpoints.push(endpoint);
    }
    let gate = site.add_gate("d1").await;
    for dead in &mut endpoints[..2] {
        dead.kill();
    }
    // All at once, before a probe can take the dead endpoints out.
    let calls = (0..80).map(|number| {
        let call = Call::post("/booking/stock", &json!({"number": number})).bearer(TOKEN);
        site.http.send(gate, call)
    });
    for answer in futures_util::future::join_all(calls).await {
        let answer = answer.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

#[rstest]
#[case::model("tutor", "engine")]
#[case::plain("booking", "plain")]
#[tokio::test]
async fn test_answers_crashing_request_takes_down_two_endpoints_at_most(
    #[case] service: &str,
    #[case] kind: &str,
) {
    let mut site = Site::start().await;
    let mut endpoints = Vec::new();
    for number in 0..4 {
        let settings = &["faults.crash_marker='boom'", "faults.crash_exit=true"];
        let endpoint = Process::lab(kind, settings);
        site.add_endpoint(service, &format!("x{number}"), endpoint.http())
            .await;
        endpoints.push(endpoint);
    }
    let gate = site.add_gate("d1").await;
    let call = |prompt: &str, token: &str| {
        if service == "tutor" {
            request(prompt, 5, true).bearer(token)
        } else {
            Call::post("/booking/stock", &json!({"prompt": prompt})).bearer(token)
        }
    };
    for _ in 0..5 {
        let begun = Instant::now();
        let answer = site.http.send(gate, call("boom", TOKEN)).await.unwrap();
        assert_eq!(answer.status, 502, "{}", answer.text());
        let kind = "urn:hawthornrack:problem:crashing_request";
        assert_eq!(answer.json()["type"], kind, "{}", answer.text());
        assert!(!answer.header("retry-after").is_empty());
        assert!(
            begun.elapsed() < Duration::from_secs(2),
            "the final answer comes at once"
        );
    }
    let mut down = 0;
    for endpoint in &mut endpoints {
        down += u32::from(!endpoint.is_running());
    }
    assert_eq!(down, 2);
    for _ in 0..10 {
        let answer = site
            .http
            .send(gate, call("fine", OTHER_TOKEN))
            .await
            .unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

#[tokio::test]
async fn test_answers_busy_engine_is_passed_over() {
    let mut site = Site::start().await;
    let busy = Process::lab("engine", &["max_waiting=0"]);
    let free = Process::lab("engine", &[]);
    site.add_endpoint("tutor", "e1", busy.http()).await;
    site.add_endpoint("tutor", "e2", free.http()).await;
    let gate = site.add_gate("d1").await;
    for number in 0..10 {
        let call = request(&format!("p{number}"), 3, false);
        let answer = site.http.send(gate, call).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let stats: EngineStats = site.http.get(free.http(), "/stats").await;
    assert_eq!(stats.runs, 10);
}
