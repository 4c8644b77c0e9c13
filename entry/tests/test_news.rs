//! What an endpoint says to one entry and binds all: how soon the others know.

mod testutils;

use std::sync::Arc;
use std::time::Duration;

use hawthornrack_entry::EndpointId;
use hawthornrack_entry::EndpointNotice;
use hawthornrack_entry::serve;
use rstest::rstest;
use testutils::ScriptedClient;
use testutils::ScriptedSend;
use testutils::call;
use testutils::sim::Sim;
use tokio::time::Instant;

/// Time within which all entries know of an endpoint that leaves: half of the time for which it still
/// serves.
const MAX_NEWS_TIME: Duration = Duration::from_secs(1);

// Guards against requests that are sent to an endpoint which has told another entry that it leaves, and
// which has gone when they arrive.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_news_of_an_endpoint_that_leaves_reaches_all_entries_soon(
    #[values(6, 88, 300)] entries: u16,
) {
    let mut sim = Sim::new("e0", entries, 0.0, 6);
    sim.settle().await;
    let leaving = EndpointNotice {
        leaving: true,
        ..EndpointNotice::default()
    };
    let client = ScriptedClient::new([ScriptedSend::Notify(200, leaving)]);
    let node = Arc::clone(&sim.entries[0].node);
    serve(&node, &client, call("1")).await;
    sim.run(MAX_NEWS_TIME).await;
    let id = EndpointId::from("e0");
    let knows = sim.entries.iter().filter(|entry| {
        let mut endpoints = entry.node.endpoints.lock();
        let endpoint = endpoints.by_id_mut(&id).unwrap();
        !endpoint.accepts_requests(Instant::now())
    });
    assert_eq!(knows.count(), usize::from(entries));
}
