//! Clock that a fold derives from the timestamps of its records.

use serde::Deserialize;
use serde::Serialize;

use crate::NodeName;
use crate::Timestamp;

/// Newest time that at least two writers have reached.
///
/// A single writer whose clock runs ahead does not advance it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FoldClock {
    /// Writer of the newest timestamp that no other writer has reached yet, and that timestamp.
    ahead: Option<(NodeName, Timestamp)>,
    /// Newest time that at least two writers have reached.
    agreed: Timestamp,
}

impl FoldClock {
    /// Takes the timestamp of a writer's record into account.
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

    /// Returns the newest time that two writers have reached, zero until then.
    pub fn now(&self) -> Timestamp {
        self.agreed
    }
}
