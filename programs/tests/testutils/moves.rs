//! Moves of traffic between versions, started and watched as an operator does.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthornrack_lib::ConfigChange;
use hawthornrack_lib::Move;
use hawthornrack_lib::MoveEnd;
use hawthornrack_lib::MoveName;
use hawthornrack_lib::MoveProgress;
use hawthornrack_lib::ServiceName;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::VersionName;
use hawthornrack_lib::millis;
use hawthornrack_lib::operator_proto as proto;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tonic::Code;

use super::deployment::Deployment;
use super::deployment::connect_operator;
use super::deployment::revision;
use super::deployment::with_operator_token;

/// Time within which a move accepted at one entry must be known at every other entry.
const MOVE_PROPAGATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the current wall-clock time.
pub fn wall_now() -> Timestamp {
    Timestamp(millis(
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap(),
    ))
}

/// Starts a move named `SERVICE-to-v2` through the first entry. It moves all traffic of a service
/// from `v1` to `v2`, begins now and must be done within `time_limit`.
pub async fn start_move(deployment: &Deployment, service: &str, time_limit: Duration) -> Move {
    let now = wall_now();
    let spec = Move {
        name: MoveName::new(format!("{service}-to-v2")).unwrap(),
        service: ServiceName::new(service).unwrap(),
        from: VersionName::new("v1").unwrap(),
        to: VersionName::new("v2").unwrap(),
        start: now,
        deadline: Timestamp(now.0 + millis(time_limit)),
    };
    let base = revision(deployment, 0, service).await;
    let started = spec.clone();
    deployment
        .apply(ConfigChange::StartMove {
            base,
            spec: started,
        })
        .await;
    spec
}

/// A watch of a move, as an operator starts it. It collects every end of the move that the
/// controller reports; there must be exactly one.
pub struct MoveWatch(JoinHandle<Vec<MoveEnd>>);

impl MoveWatch {
    /// Starts watching a move at an entry's controller. Waits up to `MOVE_PROPAGATION_TIMEOUT`
    /// until the move is known there.
    ///
    /// # Panics
    ///
    /// Panics when the controller cannot be reached or refuses the watch.
    pub async fn start(deployment: &Deployment, entry_index: usize, name: &MoveName) -> Self {
        let mut client = connect_operator(deployment.entries[entry_index].operator_address())
            .await
            .unwrap();
        let name = name.to_string();
        let deadline = Instant::now() + MOVE_PROPAGATION_TIMEOUT;
        let mut stream = loop {
            let request = with_operator_token(proto::WatchMoveRequest { name: name.clone() });
            match client.watch_move(request).await {
                Ok(reply) => break reply.into_inner(),
                // The entry may not know a move yet that another entry has just accepted.
                Err(status) if status.code() == Code::NotFound && Instant::now() < deadline => {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                Err(status) => panic!("controller refused to watch the move: {status}"),
            }
        };
        Self(tokio::spawn(async move {
            let mut ends = Vec::new();
            while let Ok(Some(message)) = stream.message().await {
                ends.extend(MoveProgress::try_from(message).unwrap().end);
            }
            ends
        }))
    }

    /// Returns whether the watch has ended.
    pub fn has_ended(&self) -> bool {
        self.0.is_finished()
    }

    /// Waits for the watch to end and returns the ends of the move that it reported.
    ///
    /// # Panics
    ///
    /// Panics when the watch does not end within `timeout`.
    pub async fn ends(self, timeout: Duration) -> Vec<MoveEnd> {
        let ends = tokio::time::timeout(timeout, self.0).await;
        ends.expect("the watch must end").unwrap()
    }
}
