//! Follows the log's configuration stream.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::Body;
use crate::CheckpointAssembler;
use crate::ConfigState;
use crate::Controller;
use crate::ControllerPlugin;
use crate::MemberState;
use crate::NodeName;
use crate::Offset;
use crate::ReadOutcome;
use crate::Record;
use crate::Result;
use crate::Stage;
use crate::Stream;
use crate::relay;

/// Maximum number of records in one read.
const MAX_READ_RECORDS: usize = 1000;

/// Time for which a long poll waits at the log for a record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Number of members in each failure domain that long-poll the log.
const LONG_POLLERS_PER_DOMAIN: usize = 2;

/// Interval between two reads by a member that does not long-poll the log.
///
/// Such a member gets records from its peers; these reads are a fallback in case the relay
/// fails.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(3);

inventory::submit! {
    ControllerPlugin {
        name: "config-tail",
        stage: Stage::State,
        start,
        methods: None,
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "signature required by ControllerPlugin"
)]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let tail = Arc::clone(controller);
    controller.kernel.spawn(async move { follow(&tail).await });
    Ok(())
}

async fn follow(controller: &Controller) {
    relay::pull_initial(controller).await;
    while controller.config.current().is_none() {
        read_initial(controller).await;
    }
    loop {
        let from = controller.config.next_offset();
        let is_long_poller = is_long_poller(controller);
        let wait = if is_long_poller {
            LONG_POLL_TIMEOUT
        } else {
            Duration::ZERO
        };
        let read = controller
            .log
            .read(Stream::Config, from, MAX_READ_RECORDS, wait);
        match read.await {
            Ok(ReadOutcome::Records(reply)) => {
                controller.contact.record_log_contact();
                controller.apply_config(&reply.records);
                if !is_long_poller && reply.records.is_empty() {
                    tokio::time::sleep(FALLBACK_INTERVAL).await;
                }
            }
            Ok(ReadOutcome::Expired { first }) => {
                controller.contact.record_log_contact();
                restore(controller, first).await;
            }
            Err(error) => {
                tracing::warn!(%error, "reading the configuration stream failed");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the stream to its end before the first state takes effect, so that a starting node
/// never serves an incomplete configuration.
async fn read_initial(controller: &Controller) {
    let mut pending: Vec<Record> = Vec::new();
    let mut from = Offset(0);
    loop {
        let read = controller
            .log
            .read(Stream::Config, from, MAX_READ_RECORDS, Duration::ZERO);
        match read.await {
            Ok(ReadOutcome::Records(reply)) => {
                controller.contact.record_log_contact();
                from = reply.records.last().map_or(from, |r| r.offset.next());
                pending.extend(reply.records);
                if from >= reply.next {
                    controller.apply_config(&pending);
                    return;
                }
            }
            Ok(ReadOutcome::Expired { first }) => return restore(controller, first).await,
            Err(error) => {
                tracing::warn!(%error, "reading the configuration stream failed");
                tokio::time::sleep(RETRY_DELAY).await;
                return;
            }
        }
    }
}

/// Returns whether this node is one of the members of its failure domain that long-poll the log.
///
/// The members are ranked by a hash of their names, so every node makes the same choice.
fn is_long_poller(controller: &Controller) -> bool {
    let place = &controller.settings.place;
    let live = controller.live();
    let mut ranked: Vec<(u64, &NodeName)> = live
        .members
        .values()
        .filter(|m| m.domain == place.domain && m.state == MemberState::Alive)
        .map(|m| (xxh3_64(m.node.as_str().as_bytes()), &m.node))
        .collect();
    ranked.sort_unstable();
    let is_long_poller = ranked
        .iter()
        .take(LONG_POLLERS_PER_DOMAIN)
        .any(|(_, n)| **n == place.node);
    is_long_poller || ranked.is_empty()
}

/// Reads the stream from its oldest retained record until a complete checkpoint is found, and
/// installs it.
async fn restore(controller: &Controller, first: Offset) {
    let mut assembler = CheckpointAssembler::default();
    let mut pending: Vec<Record> = Vec::new();
    let mut from = first;
    loop {
        let read = controller
            .log
            .read(Stream::Config, from, MAX_READ_RECORDS, Duration::ZERO);
        let Ok(ReadOutcome::Records(reply)) = read.await else {
            tokio::time::sleep(RETRY_DELAY).await;
            return;
        };
        let Some(last) = reply.records.last() else {
            tracing::error!(
                %first,
                "no complete checkpoint in the log; retrying unless a peer provides the state"
            );
            tokio::time::sleep(RETRY_DELAY).await;
            return;
        };
        from = last.offset.next();
        let state = find_checkpoint(&mut assembler, &reply.records, first);
        pending.extend(reply.records);
        if let Some(state) = state {
            let offset = state.next;
            controller.config.install(state);
            controller
                .kernel
                .events
                .record("config.checkpoint_loaded", &[("offset", &offset)]);
            controller.apply_config(&pending);
            return;
        }
    }
}

/// Returns the state of the first complete checkpoint that the retained records continue.
fn find_checkpoint(
    assembler: &mut CheckpointAssembler,
    records: &[Record],
    first: Offset,
) -> Option<ConfigState> {
    records
        .iter()
        .filter_map(|record| match &record.envelope.body {
            Body::Checkpoint(part) => assembler.add::<ConfigState>(part),
            _ => None,
        })
        .find(|state| state.next >= first)
}

impl Controller {
    /// Applies those records that follow the configuration in force.
    pub(crate) fn apply_config(&self, records: &[Record]) {
        for (record, verdict) in self.config.apply(records) {
            let Some(verdict) = verdict else { continue };
            self.kernel.events.record(
                "config.applied",
                &[
                    ("offset", &record.offset),
                    ("record", &record.envelope.id),
                    ("verdict", &format!("{verdict:?}")),
                ],
            );
        }
    }
}
