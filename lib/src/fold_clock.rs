//! The time that a fold takes from its records.

use serde::Deserialize;
use serde::Serialize;

use crate::NodeName;
use crate::Timestamp;

/// The newest time that two writers have reached.
///
/// One writer whose clock runs ahead does not move it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FoldClock {
    ahead: Option<(NodeName, Timestamp)>,
    agreed: Timestamp,
}

impl FoldClock {
    /// Takes a writer's time.
    pub fn observe(&mut self, writer: &NodeName, at: Timestamp) {
        match &mut self.ahead {
            Some((first, newest)) if first == writer => *newest = (*newest).max(at),
            Some((_, newest)) if at <= *newest => self.agreed = self.agreed.max(at),
            Some((_, newest)) => {
                self.agreed = self.agreed.max(*newest);
                self.ahead = Some((writer.clone(), at));
            }
            None => self.ahead = Some((writer.clone(), at)),
        }
    }

    /// Returns the newest time that two writers have reached.
    pub fn now(&self) -> Timestamp {
        self.agreed
    }
}
