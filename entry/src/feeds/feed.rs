//! Feeds of the platform: operators' orders, and endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Config;
use crate::DomainName;
use crate::EndpointId;
use crate::EndpointRecord;
use crate::EntryName;
use crate::ReadProgress;
use crate::RolloutOrder;
use crate::StoreEra;

/// Maximum size of a page of operators' orders, in KiB: about one large configuration.
const ORDERS_PAGE_KIB: u64 = 256;

/// A feed of the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Feed {
    /// Operators' orders: the configuration and rollouts.
    Orders,
    /// Endpoints of all services.
    Endpoints,
}

impl Feed {
    /// Returns the name in metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Orders => "orders",
            Self::Endpoints => "endpoints",
        }
    }

    /// Returns the maximum size of a page of updates, in KiB; `None` for the store's own maximum.
    pub const fn max_page_kib(self) -> Option<u64> {
        match self {
            Self::Orders => Some(ORDERS_PAGE_KIB),
            Self::Endpoints => None,
        }
    }
}

/// One update of a feed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Update {
    /// A new configuration.
    Config(Box<Config>),
    /// An order to roll out a version.
    Rollout(RolloutOrder),
    /// An order to evacuate a failure domain, or the end of such an order.
    Evacuation {
        /// Domain whose endpoints get no requests.
        domain: DomainName,
        /// Whether the domain is evacuated from now on.
        is_active: bool,
        /// Position after the order, as [`StoreEra::number`] returns it.
        as_of: u64,
    },
    /// The current state of an endpoint.
    Endpoint(EndpointRecord),
    /// An endpoint that was removed from the list.
    Removed(EndpointId),
}

/// Result of reading a feed.
#[derive(Clone, Debug, Default)]
pub struct Updates {
    /// Updates in order; records that could not be parsed are skipped.
    pub updates: Vec<Update>,
    /// Position of the next read.
    pub next_position: u64,
    /// Whether there are further updates, which did not fit into the response.
    pub has_more: bool,
}

/// request to the platform failed: {0}
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub struct FeedError(pub String);

/// Client for the platform's feeds and its list of entries.
pub trait FeedClient: Send + Sync + 'static {
    /// Returns the newest era of the store that any of its responses has named.
    fn store_era(&self) -> StoreEra;

    /// Reads the current content of a feed.
    ///
    /// # Errors
    ///
    /// Returns a [`FeedError`] when the feed cannot be read.
    fn snapshot(
        &self,
        feed: Feed,
        progress: &ReadProgress,
    ) -> impl Future<Output = Result<Updates, FeedError>> + Send;

    /// Reads updates from a position, waiting for the first update for at most `wait` and returning
    /// at most [`Feed::max_page_kib`]; returns `None` when updates after the position are no longer
    /// retained.
    ///
    /// # Errors
    ///
    /// Returns a [`FeedError`] when the feed cannot be read.
    fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        progress: &ReadProgress,
    ) -> impl Future<Output = Result<Option<Updates>, FeedError>> + Send;

    /// Reads updates from a position like [`FeedClient::read`], without waiting and on a new connection,
    /// as open ones may have fallen silent.
    ///
    /// # Errors
    ///
    /// Returns a [`FeedError`] when the feed cannot be read.
    fn read_now(
        &self,
        feed: Feed,
        from: u64,
        progress: &ReadProgress,
    ) -> impl Future<Output = Result<Option<Updates>, FeedError>> + Send;

    /// Returns the offset after the newest update, without the updates, on a new connection; `None` when
    /// updates after `from` are no longer retained.
    ///
    /// # Errors
    ///
    /// Returns a [`FeedError`] when the feed cannot be read.
    fn end(
        &self,
        feed: Feed,
        from: u64,
    ) -> impl Future<Output = Result<Option<u64>, FeedError>> + Send;

    /// Closes idle connections, so that the next calls open new ones.
    fn close_idle(&self);

    /// Announces an entry's address to its peers.
    ///
    /// # Errors
    ///
    /// Returns a [`FeedError`] when the announcement is not confirmed.
    fn announce(
        &self,
        name: &EntryName,
        address: SocketAddr,
    ) -> impl Future<Output = Result<(), FeedError>> + Send;

    /// Reads the addresses that entries have announced.
    ///
    /// # Errors
    ///
    /// Returns a [`FeedError`] when the addresses cannot be read.
    fn announced_entries(
        &self,
    ) -> impl Future<Output = Result<Vec<(EntryName, SocketAddr)>, FeedError>> + Send;
}
