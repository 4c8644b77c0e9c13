//! Moves of traffic as an operator starts and watches them.

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
use super::deployment::operator;
use super::deployment::revision;
use super::deployment::with_token;

/// Time within which a move that one entry accepted is known at every other.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Returns the wall time.
pub fn wall_now() -> Timestamp {
    Timestamp(millis(
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap(),
    ))
}

/// Starts a move of all traffic of a service from `v1` to `v2`, from now to `deadline`.
pub async fn start_move(deployment: &Deployment, service: &str, deadline: Duration) -> Move {
    let now = wall_now();
    let spec = Move {
        name: MoveName::new(format!("{service}-to-v2")).unwrap(),
        service: ServiceName::new(service).unwrap(),
        from: VersionName::new("v1").unwrap(),
        to: VersionName::new("v2").unwrap(),
        start: now,
        deadline: Timestamp(now.0 + millis(deadline)),
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

/// An operator's watch of a move, which collects the ends that it is told.
pub struct MoveWatch(JoinHandle<Vec<MoveEnd>>);

impl MoveWatch {
    /// Starts to watch a move at an entry's controller.
    pub async fn start(deployment: &Deployment, index: usize, name: &MoveName) -> Self {
        let mut client = operator(deployment.entries[index].operators())
            .await
            .unwrap();
        let name = name.to_string();
        let end = Instant::now() + IN_FORCE_LIMIT;
        let mut stream = loop {
            let request = with_token(proto::WatchMoveRequest { name: name.clone() });
            match client.watch_move(request).await {
                Ok(reply) => break reply.into_inner(),
                // The move may have been accepted at another entry a moment ago.
                Err(status) if status.code() == Code::NotFound && Instant::now() < end => {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                Err(status) => panic!("the watch is refused: {status}"),
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

    /// Tells whether the watch has ended.
    pub fn is_over(&self) -> bool {
        self.0.is_finished()
    }

    /// Returns the ends that the operator was told until the watch ended.
    ///
    /// # Panics
    ///
    /// Panics when the watch does not end within `limit`.
    pub async fn ends(self, limit: Duration) -> Vec<MoveEnd> {
        let ends = tokio::time::timeout(limit, self.0).await;
        ends.expect("the watch ends").unwrap()
    }
}
