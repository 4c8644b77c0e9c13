//! Load experiment: measures routing and admission policies of real gates and controllers.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use hawthornrack_lib::ConfigChange;
use hawthornrack_lib::ControlSettings;
use hawthornrack_lib::Customer;
use hawthornrack_lib::CustomerName;
use hawthornrack_lib::DomainName;
use hawthornrack_lib::Endpoint;
use hawthornrack_lib::EndpointName;
use hawthornrack_lib::FULL_SHARE_PERMILLE;
use hawthornrack_lib::HttpClient;
use hawthornrack_lib::KeySupport;
use hawthornrack_lib::Priority;
use hawthornrack_lib::Route;
use hawthornrack_lib::RoutingSettings;
use hawthornrack_lib::Service;
use hawthornrack_lib::ServiceKind;
use hawthornrack_lib::ServiceName;
use hawthornrack_lib::Version;
use hawthornrack_lib::VersionName;
use hawthornrack_lib::VmName;
use hawthornrack_lib::token_hash;
use hyper::Method;
use indexmap::IndexMap;
use serde::Deserialize;

use crate::CustomerLoad;
use crate::DeploymentError;
use crate::EngineSettings;
use crate::EngineStats;
use crate::LoadResult;
use crate::LocalDeployment;
use crate::PromptShape;
use crate::Report;
use crate::Table;
use crate::load_generator::LoadDestination;
use crate::load_generator::generate_load;
use crate::median;

/// Failure domains to which entries and endpoints are assigned in rotation.
const DOMAINS: [&str; 4] = ["hu-west-a", "hu-west-b", "hu-west-c", "hu-west-d"];

/// Name of the service that receives the load.
const SERVICE: &str = "tutor-llm";

/// Timeout of a request for an engine's counters.
const STATS_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs of generated load under several variants of the gates' policies and of the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadExperiment {
    /// Duration of each run, in seconds.
    pub seconds: u64,
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines.
    pub engines: usize,
    /// The service's target for the time to the first token, in milliseconds.
    pub target_ms: u64,
    /// Seeds of the load; every variant runs once with each.
    pub seeds: Vec<u64>,
    /// Settings of every engine.
    #[serde(default)]
    pub engine: EngineSettings,
    /// Sizes of the prompts and completions.
    pub prompts: PromptShape,
    /// Variants to compare.
    pub variants: Vec<Variant>,
}

/// Variant of the policies and the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name in the report.
    pub name: String,
    /// Routing policies of the gates.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// Whether requests bypass the gates and go directly to the engines.
    #[serde(default)]
    pub direct: bool,
    /// Load of each customer.
    pub customers: Vec<CustomerLoad>,
}

/// Measurements of one run.
struct RunResult {
    /// One per customer, in the order of the variant.
    customers: Vec<LoadResult>,
    /// Counters of each engine.
    engines: Vec<EngineStats>,
}

impl LoadExperiment {
    /// Runs every variant with every seed and reports medians; `seed` replaces the declared seeds.
    ///
    /// # Errors
    ///
    /// Fails if a deployment cannot be started or configured.
    pub async fn run(&self, seed: Option<u64>) -> Result<Report, DeploymentError> {
        let seeds = seed.map_or_else(|| self.seeds.clone(), |seed| vec![seed]);
        let mut runs: Vec<Vec<RunResult>> = self.variants.iter().map(|_| Vec::new()).collect();
        // The variants alternate, so that a change of the host's load affects all of them.
        for seed in seeds {
            for (variant, runs) in self.variants.iter().zip(&mut runs) {
                runs.push(self.run_variant(variant, seed).await?);
            }
        }
        let mut customers = Table::new(
            "Requests by customer, medians over the seeds",
            &[
                "variant",
                "customer",
                "answered",
                "refused",
                "failed",
                "first token p50 ms",
                "first token p95 ms",
                "refusal p95 ms",
            ],
        );
        let mut engines = Table::new(
            "Engines, medians over the seeds",
            &[
                "variant",
                "prompt tokens computed a request",
                "part found in caches",
                "requests at the busiest engine over the mean",
            ],
        );
        for (variant, runs) in self.variants.iter().zip(&runs) {
            add_customer_rows(&mut customers, variant, runs);
            add_engine_rows(&mut engines, variant, runs);
        }
        Ok(Report {
            tables: vec![customers, engines],
        })
    }

    async fn run_variant(
        &self,
        variant: &Variant,
        seed: u64,
    ) -> Result<RunResult, DeploymentError> {
        let dir = tempfile::tempdir()?;
        let secret = dir.path().join("shared-key");
        std::fs::write(&secret, "key of the experiment")?;
        let domains: Vec<&str> = DOMAINS.iter().copied().cycle().take(self.entries).collect();
        let control = ControlSettings::default();
        let deployment = LocalDeployment::start_with_routing(
            &domains,
            &secret,
            "operator",
            control,
            variant.routing,
        )
        .await?;
        let engines = self.start_engines_and_declare(&deployment, variant).await?;
        deployment.wait_ready(engines.len()).await?;
        let destination = load_destination(&deployment, variant, &engines);
        let duration = Duration::from_secs(self.seconds);
        let loads = variant.customers.iter().enumerate().map(|(i, customer)| {
            let seed = seed * 1000 + i as u64;
            generate_load(
                destination.clone(),
                customer.clone(),
                self.prompts,
                duration,
                seed,
            )
        });
        let results = futures_util::future::join_all(loads).await;
        let stats = fetch_stats(&engines).await;
        deployment.stop().await;
        Ok(RunResult {
            customers: results,
            engines: stats,
        })
    }

    /// Starts the engines, declares the customers, the service and its endpoints, and returns the
    /// addresses of the engines.
    async fn start_engines_and_declare(
        &self,
        deployment: &LocalDeployment,
        variant: &Variant,
    ) -> Result<Vec<SocketAddr>, DeploymentError> {
        let controller = &deployment.entries[0].controller;
        for customer in &variant.customers {
            let customer = Customer {
                name: CustomerName::new(&customer.name)?,
                tokens: vec![token_hash(&customer.name)],
                weight: 1,
            };
            let change = ConfigChange::PutCustomer {
                base: None,
                customer,
            };
            controller.submit(change).await?;
        }
        let service = self.service()?;
        let change = ConfigChange::PutService {
            base: None,
            service,
        };
        controller.submit(change).await?;
        let mut engines = Vec::new();
        for index in 0..self.engines {
            let settings = EngineSettings {
                fenced: false,
                ..self.engine.clone()
            };
            let address = deployment.add_engine(settings).await?;
            let endpoint = Endpoint {
                name: EndpointName::new(format!("engine-{index}"))?,
                service: ServiceName::new(SERVICE)?,
                version: VersionName::new("v1")?,
                address,
                vm: VmName::new(format!("vm-engine-{index}"))?,
                domain: DomainName::new(DOMAINS[index % DOMAINS.len()])?,
            };
            let change = ConfigChange::PutEndpoint {
                base: None,
                endpoint,
            };
            controller.submit(change).await?;
            engines.push(address);
        }
        Ok(engines)
    }

    fn service(&self) -> Result<Service, DeploymentError> {
        let route = |prefix: &str, priority, seconds| Route {
            prefix: prefix.to_owned(),
            repeatable: true,
            priority,
            timeout: Duration::from_secs(seconds),
        };
        let version = Version {
            model: self.engine.model.clone(),
            share: FULL_SHARE_PERMILLE,
        };
        Ok(Service {
            name: ServiceName::new(SERVICE)?,
            kind: ServiceKind::Model,
            versions: IndexMap::from([(VersionName::new("v1")?, version)]),
            routes: vec![
                route("v1/completions", Priority::Interactive, 10),
                route("v1/drafts", Priority::Deferred, 60),
            ],
            keys: KeySupport::Ignored,
            fenced: false,
            target: Duration::from_millis(self.target_ms),
            replicas: 0,
        })
    }
}

fn load_destination(
    deployment: &LocalDeployment,
    variant: &Variant,
    engines: &[SocketAddr],
) -> LoadDestination {
    if variant.direct {
        return LoadDestination {
            addresses: engines.to_vec(),
            interactive: String::from("/v1/completions"),
            deferred: String::from("/v1/drafts"),
        };
    }
    let gates = deployment.entries.iter().map(|e| e.gate.addrs().callers);
    LoadDestination {
        addresses: gates.collect(),
        interactive: format!("/{SERVICE}/v1/completions"),
        deferred: format!("/{SERVICE}/v1/drafts"),
    }
}

/// Returns the counters of each engine; all zero for an engine that does not respond.
async fn fetch_stats(engines: &[SocketAddr]) -> Vec<EngineStats> {
    let http = HttpClient::new();
    let mut stats = Vec::new();
    for engine in engines {
        let call = http.call(*engine, Method::GET, "/stats", None::<&()>, STATS_TIMEOUT);
        stats.push(call.await.unwrap_or_default());
    }
    stats
}

/// Returns the median of a value over the runs.
fn median_over(runs: &[RunResult], value: impl Fn(&RunResult) -> f64) -> f64 {
    median(&mut runs.iter().map(value).collect::<Vec<_>>())
}

fn format_decimals(value: f64, digits: usize) -> String {
    format!("{value:.digits$}")
}

fn add_customer_rows(table: &mut Table, variant: &Variant, runs: &[RunResult]) {
    for (i, customer) in variant.customers.iter().enumerate() {
        let first_token_us = |q: f64| {
            median_over(runs, |r| {
                r.customers[i].first_token.value_at_quantile(q) as f64
            })
        };
        let refusal_delay_us =
            |r: &RunResult| r.customers[i].refusal_delay.value_at_quantile(0.95) as f64;
        let format_integer = |value: f64| format_decimals(value, 0);
        table.push_row(vec![
            variant.name.clone(),
            customer.name.clone(),
            format_integer(median_over(runs, |r| r.customers[i].completed as f64)),
            format_integer(median_over(runs, |r| r.customers[i].refused as f64)),
            format_integer(median_over(runs, |r| r.customers[i].failed as f64)),
            format_decimals(first_token_us(0.5) / 1000.0, 2),
            format_decimals(first_token_us(0.95) / 1000.0, 2),
            format_decimals(median_over(runs, refusal_delay_us) / 1000.0, 2),
        ]);
    }
}

fn add_engine_rows(table: &mut Table, variant: &Variant, runs: &[RunResult]) {
    let sum = |r: &RunResult, field: fn(&EngineStats) -> u64| {
        r.engines.iter().map(field).sum::<u64>() as f64
    };
    let computed_per_run = |r: &RunResult| sum(r, |s| s.computed) / sum(r, |s| s.runs).max(1.0);
    let cached_share = |r: &RunResult| {
        let cached = sum(r, |s| s.cached);
        cached / (cached + sum(r, |s| s.computed)).max(1.0)
    };
    let busiest_over_mean = |r: &RunResult| {
        let max_runs = r.engines.iter().map(|s| s.runs).max().unwrap_or_default();
        max_runs as f64 * r.engines.len() as f64 / sum(r, |s| s.runs).max(1.0)
    };
    let row: [&dyn Display; 4] = [
        &variant.name,
        &format_decimals(median_over(runs, computed_per_run), 0),
        &format_decimals(median_over(runs, cached_share), 2),
        &format_decimals(median_over(runs, busiest_over_mean), 2),
    ];
    table.push_row(row.iter().map(ToString::to_string).collect());
}
