//! Calls between entries over loopback.

mod testutils;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthornrack_entry::EntryName;
use hawthornrack_entry::PeerClient;
use hawthornrack_entry::RouteKind;
use hawthornrack_entry::Usage;
use hawthornrack_entry::UsageDelivery;
use hawthornrack_entry::run_gossip;
use hawthornrack_entry::serve_peers;
use indexmap::IndexSet;
use testutils::config;
use testutils::node;

/// Number of peers that stay connected.
const PEERS: usize = 400;

// Guards against refused calls in a large system: each entry keeps a connection to the lease holder
// and to the owners of quotas, and the server accepted a hundred connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_peer_rpc_serves_connections_of_hundreds_of_peers() {
    let holder = node(config(RouteKind::Once), 1);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    drop(listener);
    serve_peers(Arc::clone(&holder), address).await.unwrap();
    let clients: Vec<PeerClient> = (0..PEERS).map(|_| PeerClient::default()).collect();
    let calls = clients.iter().enumerate().map(|(number, client)| {
        let delivery = UsageDelivery {
            entry: EntryName::from(format!("entry-{number}").as_str()),
            incarnation: 1,
            usage: Usage::default(),
        };
        client.deliver_usage(address, delivery)
    });
    let confirmed = futures_util::future::join_all(calls).await;
    assert!(confirmed.into_iter().all(|is_confirmed| is_confirmed));
}

// Guards against entries that send their state to many peers again and again when many changes are
// urgent, such as the crashes of many endpoints.
#[tokio::test(start_paused = true)]
async fn test_peer_rpc_urgent_gossip_is_bounded() {
    let node = node(config(RouteKind::Idempotent), 1);
    let gossip = Arc::clone(&node);
    tokio::spawn(async move { run_gossip(&gossip).await });
    let mut sequences = IndexSet::new();
    for _ in 0..500 {
        node.gossip_now.notify_one();
        tokio::time::sleep(Duration::from_millis(10)).await;
        sequences.insert(node.own_state().revision.sequence);
    }
    let count = sequences.len();
    assert!((20..=60).contains(&count), "{count} states in 5 s");
}
