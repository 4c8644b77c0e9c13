//! Stand-ins for what surrounds the system: the platform's services, endpoints and a
//! fault-injecting proxy.
//!
//! Each stand-in is a function that serves on a listener until its token is cancelled, so that
//! one process can hold several. Settings are read at the start and changed at run time with
//! `POST /control`, whose body is a JSON merge patch (RFC 7396) of the settings.

mod batch;
mod cache;
mod cloud;
mod engine;
mod fault;
mod generation;
mod kv;
mod log;
mod plain;
mod proxy;
mod rate;
mod reply;
mod weights;

pub use cache::CacheEvent;
pub use cache::CacheReply;
pub use cloud::CloudSettings;
pub use cloud::CloudStats;
pub use cloud::NoticeOrder;
pub use cloud::PriceRow;
pub use cloud::ServerEntry;
pub use cloud::StartFilter;
pub use cloud::run_cloud;
pub use engine::EngineSettings;
pub use engine::EngineStats;
pub use engine::run_engine;
pub use fault::Faults;
pub use generation::count_tokens;
pub use generation::generate_text;
pub use log::Expiry;
pub use log::LogSettings;
pub use log::LogStats;
pub use log::Outage;
pub use log::run_log;
pub use plain::PlainAnswer;
pub use plain::PlainSettings;
pub use plain::PlainStats;
pub use plain::run_plain;
pub use proxy::LinkChange;
pub use proxy::LinkInfo;
pub use proxy::LinkMode;
pub use proxy::LinkRequest;
pub use proxy::run_proxy;
pub use reply::SettingsError;
pub use reply::parse_settings;
pub use weights::WeightSettings;
pub use weights::WeightStats;
pub use weights::run_weights;
