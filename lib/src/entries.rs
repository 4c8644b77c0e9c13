//! The list of entry addresses that callers ask for.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Response;
use serde::Deserialize;
use serde::Serialize;

use crate::CustomerName;
use crate::GateInfo;
use crate::Member;
use crate::MemberState;
use crate::ReplyBody;
use crate::RoutingTable;
use crate::full_body;
use crate::millis;

/// Time for which a caller may keep the list.
const LIST_LIFETIME: Duration = Duration::from_secs(30);

/// Load above which an entry is left out, in thousandths.
pub const OVERLOADED: u32 = 900;

/// Addresses of entries, best first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryList {
    /// Addresses in the order in which to try them.
    pub entries: Vec<SocketAddr>,
    /// Time for which the list may be kept, in milliseconds.
    pub lifetime_ms: u64,
}

/// Ranks the entries for a customer.
///
/// Ranks by rendezvous hash, so that customers spread over the entries and each keeps its
/// order while the members stay the same. Source: Thaler and Ravishankar, "Using name-based
/// mappings to increase hit rates", 1998.
pub fn rank_entries(table: &RoutingTable, customer: &CustomerName) -> EntryList {
    let mut ranked: Vec<(bool, u64, SocketAddr)> = table
        .live
        .members
        .values()
        .filter_map(|m| usable(m, table).map(|gate| (m, gate)))
        .map(|(m, gate)| {
            let key = format!("{customer}/{}", m.node);
            let hash = xxhash_rust::xxh3::xxh3_64(key.as_bytes());
            (gate.load > OVERLOADED, hash, gate.callers)
        })
        .collect();
    ranked.sort_unstable();
    EntryList {
        entries: ranked.into_iter().map(|(_, _, address)| address).collect(),
        lifetime_ms: millis(LIST_LIFETIME),
    }
}

/// Returns the gate of a member that takes new callers.
///
/// A gate whose own controller is dead stays usable while it follows another one.
fn usable<'a>(member: &'a Member, _table: &RoutingTable) -> Option<&'a GateInfo> {
    let stays = member.state != MemberState::Leaving;
    member.gate.as_ref().filter(|g| stays && g.accepting)
}

/// Returns the answer that holds a list.
pub(crate) fn entry_answer(list: &EntryList) -> Response<ReplyBody> {
    let body = serde_json::to_vec(list).unwrap_or_default();
    let mut response = Response::new(full_body(body));
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}
