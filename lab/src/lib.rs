//! Development tools: stand-ins for the environment of the system, used in tests and experiments
//! (the platform's services, endpoints and a fault-injecting proxy), and experiments that measure
//! the production code.
//!
//! Each stand-in is a function that serves on a listener until its cancellation token is cancelled,
//! so that one process can run several of them. The proxy has no settings: its links are created
//! and changed under `/links`. The settings of every other stand-in are given at start-up and
//! changed at run time with `POST /control`, whose body is a JSON merge patch (RFC 7396) of the
//! settings.

mod batch;
mod cloud;
mod counting_forwarder;
mod engine;
mod engine_response;
mod experiment;
mod experiment_cost;
mod experiment_load;
mod experiment_rollouts;
mod fault;
mod fleet_model;
mod generation;
mod http;
mod kv;
mod load_generator;
mod local_deployment;
mod log;
mod orders;
mod plain;
mod prefix_cache;
mod proxy;
mod report;
mod rollout_model;
mod scale;
mod token_bucket;
mod weight_store;

pub use cloud::CloudSettings;
pub use cloud::CloudStats;
pub use cloud::NoticeRequest;
pub use cloud::PriceRule;
pub use cloud::ServerRegistration;
pub use cloud::StartFilter;
pub use cloud::run_cloud;
pub use engine::EngineSettings;
pub use engine::EngineStats;
pub use engine::run_engine;
pub use experiment::Experiment;
pub use experiment::ExperimentError;
pub use experiment_cost::CostExperiment;
pub use experiment_load::LoadExperiment;
pub use experiment_load::Variant;
pub use experiment_rollouts::RolloutExperiment;
pub use fault::Faults;
pub use fleet_model::FleetOutcome;
pub use fleet_model::FleetScenario;
pub use fleet_model::simulate_fleet;
pub use generation::count_tokens;
pub use generation::generate_text;
pub use http::SettingsError;
pub use http::parse_settings;
pub use load_generator::CustomerLoad;
pub use load_generator::LoadResult;
pub use load_generator::PromptShape;
pub use local_deployment::DeploymentError;
pub use local_deployment::LocalDeployment;
pub use local_deployment::LocalEntry;
pub use log::ExpireRequest;
pub use log::LogSettings;
pub use log::LogStats;
pub use log::Outage;
pub use log::run_log;
pub use plain::PlainResponse;
pub use plain::PlainSettings;
pub use plain::PlainStats;
pub use plain::run_plain;
pub use prefix_cache::CacheEvent;
pub use prefix_cache::CacheEventsResponse;
pub use proxy::LinkChange;
pub use proxy::LinkInfo;
pub use proxy::LinkMode;
pub use proxy::LinkRequest;
pub use proxy::run_proxy;
pub use report::Report;
pub use report::Table;
pub use report::median;
pub use report::quantile;
pub use rollout_model::Disturbance;
pub use rollout_model::MoveEnding;
pub use rollout_model::MoveOutcome;
pub use rollout_model::Onset;
pub use rollout_model::Regression;
pub use rollout_model::SimulatedVersion;
pub use rollout_model::draw_version;
pub use rollout_model::simulate_move;
pub use scale::SCALE_HEAD;
pub use scale::ScaleReport;
pub use scale::ScaleSettings;
pub use scale::measure_scale;
pub use weight_store::WeightSettings;
pub use weight_store::WeightStats;
pub use weight_store::run_weight_store;
