//! What is in force at each process of a deployment, and waits for changes of it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hawthornrack_lib::ConfigChange;
use hawthornrack_lib::Customer;
use hawthornrack_lib::CustomerName;
use hawthornrack_lib::GateRpcClient;
use hawthornrack_lib::Offset;
use hawthornrack_lib::RpcClients;
use hawthornrack_lib::Timeline;
use hawthornrack_lib::TimelineFilter;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::operator_proto as proto;
use hawthornrack_lib::token_hash;
use tokio::task::JoinHandle;

use super::deployment::Deployment;
use super::deployment::operator;
use super::deployment::with_token;

/// Time within which an accepted configuration must be in force at every live node.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Time between two readings.
const READ_INTERVAL: Duration = Duration::from_millis(25);

/// Time limit for one reading.
const READ_LIMIT: Duration = Duration::from_millis(500);

/// Watches the offsets in force at some gates, none of which may ever go back.
pub struct OffsetWatch(JoinHandle<()>);

impl OffsetWatch {
    /// Watches all gates of a deployment.
    pub fn start(deployment: &Deployment) -> Self {
        let gates = deployment.entries.iter().map(|e| e.gate.address("rpc"));
        let gates: Vec<SocketAddr> = gates.collect();
        let rpc = deployment.rpc();
        Self(tokio::spawn(async move {
            let mut newest = vec![Offset(0); gates.len()];
            loop {
                for (gate, newest) in gates.iter().zip(&mut newest) {
                    let offset = offset_at(&rpc, *gate).await.unwrap_or(*newest);
                    assert!(offset >= *newest, "{gate} reverts {newest} to {offset}");
                    *newest = offset;
                }
                tokio::time::sleep(READ_INTERVAL).await;
            }
        }))
    }

    /// Ends the watch.
    ///
    /// # Panics
    ///
    /// Panics when a gate has gone back to an older configuration.
    pub async fn finish(self) {
        self.0.abort();
        if let Err(error) = self.0.await
            && error.is_panic()
        {
            std::panic::resume_unwind(error.into_panic());
        }
    }
}

/// Returns the offset in force at a gate, `None` when it does not answer or has none.
pub async fn offset_at(rpc: &RpcClients, gate: SocketAddr) -> Option<Offset> {
    let ask = async |client: jsonrpsee::http_client::HttpClient| client.offset().await;
    rpc.call(gate, READ_LIMIT, ask).await.ok().flatten()
}

/// Waits until the gates of some entries have at least `offset` in force.
///
/// # Panics
///
/// Panics when one does not within [`IN_FORCE_LIMIT`].
pub async fn wait_offset(deployment: &Deployment, entries: &[usize], offset: Offset) {
    let rpc = deployment.rpc();
    let begun = Instant::now();
    for index in entries {
        let gate = deployment.entries[*index].gate.address("rpc");
        loop {
            let in_force = offset_at(&rpc, gate).await;
            if in_force.is_some_and(|o| o >= offset) {
                break;
            }
            assert!(
                begun.elapsed() < IN_FORCE_LIMIT,
                "gate {index} has {in_force:?} in force, not {offset}, after {IN_FORCE_LIMIT:?}"
            );
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }
}

/// Puts a customer by an entry's controller and returns the offset that must come into force.
pub async fn put_customer(deployment: &Deployment, index: usize, name: &str) -> Offset {
    let verdict = deployment.submit(index, customer(name)).await.unwrap();
    assert_eq!(verdict, Verdict::Accepted);
    deployment.status(index).await.unwrap().next
}

/// Returns the change that creates a customer whose token is its name.
pub fn customer(name: &str) -> ConfigChange {
    let customer = Customer {
        name: CustomerName::new(name).unwrap(),
        tokens: vec![token_hash(name)],
        weight: 1,
    };
    ConfigChange::PutCustomer {
        base: None,
        customer,
    }
}

/// Returns the time line of a deployment, read at an entry's controller.
pub async fn timeline(deployment: &Deployment, index: usize, filter: &TimelineFilter) -> Timeline {
    let mut client = operator(deployment.entries[index].operators())
        .await
        .unwrap();
    let request = with_token(proto::TimelineRequest::from(filter));
    let reply = client.timeline(request).await.unwrap();
    Timeline::from(reply.into_inner())
}

/// Tells whether a process has recorded an event.
pub async fn has_event(deployment: &Deployment, index: usize, process: &str, what: &str) -> bool {
    let timeline = timeline(deployment, index, &TimelineFilter::default()).await;
    let mut events = timeline.events.iter();
    events.any(|e| e.process == process && e.what == what)
}
