//! The platform's feeds: reading, confirming and passing on updates.

pub(crate) mod endpoint_relay;
pub(crate) mod feed;
pub(crate) mod feed_check;
pub(crate) mod feed_cursor;
pub(crate) mod feed_follow;
pub(crate) mod feed_news;
pub(crate) mod feed_read;
pub(crate) mod feed_schedule;
pub(crate) mod feed_state;
pub(crate) mod feed_updates;
pub(crate) mod feed_watch;
pub(crate) mod list_copy;
pub(crate) mod list_start;
pub(crate) mod list_supply;
pub(crate) mod order_relay;
pub(crate) mod order_role;
pub(crate) mod page_history;
pub(crate) mod read_progress;
pub(crate) mod reader_order;
