//! Stand-ins for what surrounds the system: the platform's services, endpoints and a
//! fault-injecting proxy.
//!
//! Each stand-in is a function that serves on a listener until its token is cancelled, so that
//! one process can hold several. Settings are read at the start and changed at run time with
//! `POST /control`, whose body is a JSON merge patch (RFC 7396) of the settings.

mod batch;
mod byte_count;
mod cache;
mod cloud;
mod engine;
mod experiment;
mod experiment_cost;
mod experiment_load;
mod experiment_rollouts;
mod fault;
mod fleet_model;
mod generation;
mod kv;
mod load;
mod log;
mod orders;
mod plain;
mod proxy;
mod rate;
mod reply;
mod report;
mod rollout_model;
mod scale;
mod site;
mod stream;
mod weights;

pub use cache::*;
pub use cloud::*;
pub use engine::*;
pub use experiment::*;
pub use experiment_cost::*;
pub use experiment_load::*;
pub use experiment_rollouts::*;
pub use fault::*;
pub use fleet_model::*;
pub use generation::*;
pub use load::*;
pub use log::*;
pub use plain::*;
pub use proxy::*;
pub use reply::*;
pub use report::*;
pub use rollout_model::*;
pub use scale::SCALE_HEAD;
pub use scale::ScaleReport;
pub use scale::ScaleSettings;
pub use scale::measure_scale;
pub use site::Site;
pub use site::SiteEntry;
pub use site::SiteError;
pub use weights::*;
