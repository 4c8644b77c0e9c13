//! Helpers that read the offset in force and the timeline from the processes of a deployment,
//! and wait for changes to come into force.

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
use super::deployment::connect_operator;
use super::deployment::with_operator_token;

/// Time within which an accepted configuration must be in force at every live node.
pub const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which the offset in force at a gate is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Timeout for reading the offset of one gate.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Polls the offsets in force at all gates. Polling ends when one has decreased, which
/// [`OffsetWatch::finish`] reports.
pub struct OffsetWatch(JoinHandle<()>);

impl OffsetWatch {
    /// Starts polling all gates of a deployment.
    pub fn start(deployment: &Deployment) -> Self {
        let gates = deployment.entries.iter().map(|e| e.gate.address("rpc"));
        let gates: Vec<SocketAddr> = gates.collect();
        let rpc = deployment.rpc();
        Self(tokio::spawn(async move {
            let mut newest = vec![Offset(0); gates.len()];
            loop {
                for (gate, newest) in gates.iter().zip(&mut newest) {
                    let offset = offset_at(&rpc, *gate).await.unwrap_or(*newest);
                    assert!(
                        offset >= *newest,
                        "gate {gate} went back from offset {newest} to {offset}"
                    );
                    *newest = offset;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }))
    }

    /// Stops polling.
    ///
    /// # Panics
    ///
    /// Panics when a gate went back to an older configuration.
    pub async fn finish(self) {
        self.0.abort();
        if let Err(error) = self.0.await
            && error.is_panic()
        {
            std::panic::resume_unwind(error.into_panic());
        }
    }
}

/// Returns the offset in force at a gate, or `None` when the gate does not respond or has no
/// configuration.
pub async fn offset_at(rpc: &RpcClients, gate: SocketAddr) -> Option<Offset> {
    let read = async |client: jsonrpsee::http_client::HttpClient| client.offset().await;
    rpc.call(gate, READ_TIMEOUT, read).await.ok().flatten()
}

/// Waits until the gates of `entries` have at least `offset` in force.
///
/// # Panics
///
/// Panics when a gate does not reach the offset within [`IN_FORCE_TIMEOUT`].
pub async fn wait_offset(deployment: &Deployment, entries: &[usize], offset: Offset) {
    let rpc = deployment.rpc();
    let started = Instant::now();
    for index in entries {
        let gate = deployment.entries[*index].gate.address("rpc");
        loop {
            let in_force = offset_at(&rpc, gate).await;
            if in_force.is_some_and(|o| o >= offset) {
                break;
            }
            assert!(
                started.elapsed() < IN_FORCE_TIMEOUT,
                "gate {index}: offset {in_force:?} in force, not {offset}, \
                 after {IN_FORCE_TIMEOUT:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Declares a customer through an entry's controller and returns the offset at which the change
/// is in force.
///
/// # Panics
///
/// Panics unless the change is accepted.
pub async fn put_customer(deployment: &Deployment, entry_index: usize, name: &str) -> Offset {
    let verdict = deployment
        .submit(entry_index, customer_change(name))
        .await
        .unwrap();
    assert_eq!(verdict, Verdict::Accepted);
    deployment.status(entry_index).await.unwrap().next
}

/// Returns the change that declares a customer whose bearer token equals its name.
pub fn customer_change(name: &str) -> ConfigChange {
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

/// Returns the timeline of a deployment as an entry's controller reports it.
///
/// # Panics
///
/// Panics when the controller cannot be reached or refuses the call.
pub async fn timeline(
    deployment: &Deployment,
    entry_index: usize,
    filter: &TimelineFilter,
) -> Timeline {
    let mut client = connect_operator(deployment.entries[entry_index].operator_address())
        .await
        .unwrap();
    let request = with_operator_token(proto::TimelineRequest::from(filter));
    let reply = client.timeline(request).await.unwrap();
    Timeline::from(reply.into_inner())
}

/// Returns whether the timeline at an entry holds an event `what` of `process`.
///
/// # Panics
///
/// Panics as [`timeline`] does.
pub async fn has_event(
    deployment: &Deployment,
    entry_index: usize,
    process: &str,
    what: &str,
) -> bool {
    let timeline = timeline(deployment, entry_index, &TimelineFilter::default()).await;
    let mut events = timeline.events.iter();
    events.any(|e| e.process == process && e.what == what)
}
