//! Which entries read operator commands from the store, and which get them from those.

use crate::ListRole;
use crate::Node;
use crate::list_role;

/// Number of entries from which pages are passed on. With fewer, the store sends a configuration of 256 KiB to all
/// within a fraction of a second, while pages take up to 0.9 s on the slowest VMs.
const MIN_ENTRIES: usize = 101;

/// Returns the part that this entry takes in reading operator commands.
pub(crate) fn orders_role(node: &Node) -> ListRole {
    if node.entry_count() < MIN_ENTRIES {
        ListRole::Single
    } else {
        list_role(node)
    }
}

/// Returns whether this entry gets operator commands from the readers of its domain.
pub(crate) fn are_orders_supplied(node: &Node) -> bool {
    orders_role(node) == ListRole::Follower
}
