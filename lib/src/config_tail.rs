//! Follows the log's configuration stream.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::Assembler;
use crate::Body;
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

/// Records asked for in one read.
const READ_LIMIT: usize = 1000;

/// Time for which a read waits at the log for a record.
const READ_WAIT: Duration = Duration::from_secs(2);

/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(300);

/// Members of each failure domain that follow the log closely.
const TAILERS: usize = 2;

/// Pause between two reads of a member that does not follow the log closely.
const SAFETY_INTERVAL: Duration = Duration::from_secs(3);

inventory::submit! {
    ControllerPlugin {
        name: "config-tail",
        stage: Stage::State,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(controller: &Arc<Controller>) -> Result<()> {
    let tail = Arc::clone(controller);
    controller.kernel.spawn(async move { follow(&tail).await });
    Ok(())
}

async fn follow(controller: &Controller) {
    relay::join(controller).await;
    while controller.config.current().is_none() {
        read_whole(controller).await;
    }
    loop {
        let from = controller.config.next();
        let close = is_tailer(controller);
        let wait = if close { READ_WAIT } else { Duration::ZERO };
        let read = controller.log.read(Stream::Config, from, READ_LIMIT, wait);
        match read.await {
            Ok(ReadOutcome::Records(reply)) => {
                controller.contact.log_heard();
                controller.apply_config(&reply.records);
                if !close && reply.records.is_empty() {
                    tokio::time::sleep(SAFETY_INTERVAL).await;
                }
            }
            Ok(ReadOutcome::Expired { first }) => {
                controller.contact.log_heard();
                recover(controller, first).await;
            }
            Err(error) => {
                tracing::warn!(%error, "reading the log failed");
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}

/// Reads the stream to its end before the first state comes into force, so that a starting
/// node never serves a part of the configuration.
async fn read_whole(controller: &Controller) {
    let mut kept: Vec<Record> = Vec::new();
    let mut from = Offset(0);
    loop {
        let read = controller
            .log
            .read(Stream::Config, from, READ_LIMIT, Duration::ZERO);
        match read.await {
            Ok(ReadOutcome::Records(reply)) => {
                controller.contact.log_heard();
                from = reply.records.last().map_or(from, |r| r.offset.next());
                kept.extend(reply.records);
                if from >= reply.next {
                    controller.apply_config(&kept);
                    return;
                }
            }
            Ok(ReadOutcome::Expired { first }) => return recover(controller, first).await,
            Err(error) => {
                tracing::warn!(%error, "reading the log failed");
                tokio::time::sleep(READ_PAUSE).await;
                return;
            }
        }
    }
}

/// Tells whether this node is one of its failure domain's members that follow the log closely.
///
/// The members are ranked by rendezvous hash, so that every node comes to the same choice.
fn is_tailer(controller: &Controller) -> bool {
    let place = &controller.settings.place;
    let live = controller.live();
    let mut ranked: Vec<(u64, &NodeName)> = live
        .members
        .values()
        .filter(|m| m.domain == place.domain && m.state == MemberState::Alive)
        .map(|m| (xxh3_64(m.node.as_str().as_bytes()), &m.node))
        .collect();
    ranked.sort_unstable();
    let close = ranked.iter().take(TAILERS).any(|(_, n)| **n == place.node);
    close || ranked.is_empty()
}

/// Reads the stream from its oldest kept record until it has put a whole checkpoint together.
async fn recover(controller: &Controller, first: Offset) {
    let mut assembler = Assembler::default();
    let mut kept: Vec<Record> = Vec::new();
    let mut from = first;
    loop {
        let read = controller
            .log
            .read(Stream::Config, from, READ_LIMIT, Duration::ZERO);
        let Ok(ReadOutcome::Records(reply)) = read.await else {
            tokio::time::sleep(READ_PAUSE).await;
            return;
        };
        let Some(last) = reply.records.last() else {
            tracing::error!(%first, "the log holds no whole checkpoint; peers may have the state");
            tokio::time::sleep(READ_PAUSE).await;
            return;
        };
        from = last.offset.next();
        let state = find_state(&mut assembler, &reply.records, first);
        kept.extend(reply.records);
        if let Some(state) = state {
            let offset = state.next;
            controller.config.install(state);
            controller
                .kernel
                .events
                .record("config.checkpoint_loaded", &[("offset", &offset)]);
            controller.apply_config(&kept);
            return;
        }
    }
}

/// Returns the state of the first whole checkpoint that the kept records can continue.
fn find_state(assembler: &mut Assembler, records: &[Record], first: Offset) -> Option<ConfigState> {
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
