//! Experiment on routing and admission: a declared load on real gates and controllers.

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
use hawthornrack_lib::FULL_SHARE;
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
use crate::EngineSettings;
use crate::EngineStats;
use crate::LoadResult;
use crate::PromptShape;
use crate::Report;
use crate::Site;
use crate::SiteError;
use crate::Table;
use crate::load::Target;
use crate::load::send_load;
use crate::median;

/// Failure domains of the entries and endpoints, in turn.
const DOMAINS: [&str; 4] = ["hu-west-a", "hu-west-b", "hu-west-c", "hu-west-d"];

/// Service under load.
const SERVICE: &str = "tutor-llm";

/// Time within which an engine answers with its counters.
const STATS_LIMIT: Duration = Duration::from_secs(5);

/// A declared load under several variants of the gates' policies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadExperiment {
    /// Length of each run, in seconds.
    pub seconds: u64,
    /// Entries.
    pub entries: usize,
    /// Model engines.
    pub engines: usize,
    /// Time to the first token that the service aims at, in milliseconds.
    pub target_ms: u64,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Settings of each engine.
    #[serde(default)]
    pub engine: EngineSettings,
    /// What the requests ask for.
    pub prompts: PromptShape,
    /// Variants compared.
    pub variants: Vec<Variant>,
}

/// One variant of policies and load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name for the reader.
    pub name: String,
    /// Policies of the gates.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// Whether the requests go straight to the engines.
    #[serde(default)]
    pub direct: bool,
    /// Load.
    pub customers: Vec<CustomerLoad>,
}

/// What one run measured.
struct Run {
    results: Vec<LoadResult>,
    stats: Vec<EngineStats>,
}

impl LoadExperiment {
    /// Runs every variant with every seed; `seed` replaces the declared seeds.
    ///
    /// # Errors
    ///
    /// Fails when a deployment cannot be started.
    pub async fn run(&self, seed: Option<u64>) -> Result<Report, SiteError> {
        let seeds = seed.map_or_else(|| self.seeds.clone(), |seed| vec![seed]);
        let mut runs: Vec<Vec<Run>> = self.variants.iter().map(|_| Vec::new()).collect();
        // Seed by seed, so that a change of the machine's load meets every variant.
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
            add_customers(&mut customers, variant, runs);
            add_engines(&mut engines, variant, runs);
        }
        Ok(Report {
            tables: vec![customers, engines],
        })
    }

    async fn run_variant(&self, variant: &Variant, seed: u64) -> Result<Run, SiteError> {
        let dir = tempfile::tempdir()?;
        let secret = dir.path().join("shared-key");
        std::fs::write(&secret, "key of the experiment")?;
        let domains: Vec<&str> = DOMAINS.iter().copied().cycle().take(self.entries).collect();
        let control = ControlSettings::default();
        let site =
            Site::start_with(&domains, &secret, "operator", control, variant.routing).await?;
        let engines = self.declare(&site, variant).await?;
        site.wait_ready(engines.len()).await?;
        let target = target(&site, variant, &engines);
        let length = Duration::from_secs(self.seconds);
        let loads = variant.customers.iter().enumerate().map(|(i, customer)| {
            let seed = seed * 1000 + i as u64;
            send_load(target.clone(), customer.clone(), self.prompts, length, seed)
        });
        let results = futures_util::future::join_all(loads).await;
        let stats = read_stats(&engines).await;
        site.stop().await;
        Ok(Run { results, stats })
    }

    /// Starts the engines and declares the service, its endpoints and the customers.
    async fn declare(&self, site: &Site, variant: &Variant) -> Result<Vec<SocketAddr>, SiteError> {
        let operator = &site.entries[0].controller;
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
            operator.submit(change).await?;
        }
        let service = self.service()?;
        let change = ConfigChange::PutService {
            base: None,
            service,
        };
        operator.submit(change).await?;
        let mut engines = Vec::new();
        for index in 0..self.engines {
            let settings = EngineSettings {
                fenced: false,
                ..self.engine.clone()
            };
            let address = site.add_engine(settings).await?;
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
            operator.submit(change).await?;
            engines.push(address);
        }
        Ok(engines)
    }

    fn service(&self) -> Result<Service, SiteError> {
        let route = |prefix: &str, priority, seconds| Route {
            prefix: prefix.to_owned(),
            repeatable: true,
            priority,
            timeout: Duration::from_secs(seconds),
        };
        let version = Version {
            model: self.engine.model.clone(),
            share: FULL_SHARE,
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

fn target(site: &Site, variant: &Variant, engines: &[SocketAddr]) -> Target {
    if variant.direct {
        return Target {
            addresses: engines.to_vec(),
            interactive: String::from("/v1/completions"),
            deferred: String::from("/v1/drafts"),
        };
    }
    let gates = site.entries.iter().map(|e| e.gate.addrs().callers);
    Target {
        addresses: gates.collect(),
        interactive: format!("/{SERVICE}/v1/completions"),
        deferred: format!("/{SERVICE}/v1/drafts"),
    }
}

async fn read_stats(engines: &[SocketAddr]) -> Vec<EngineStats> {
    let http = HttpClient::new();
    let mut stats = Vec::new();
    for engine in engines {
        let call = http.call(*engine, Method::GET, "/stats", None::<&()>, STATS_LIMIT);
        stats.push(call.await.unwrap_or_default());
    }
    stats
}

/// Returns the median over the runs of a figure.
fn figure(runs: &[Run], of: impl Fn(&Run) -> f64) -> f64 {
    median(&mut runs.iter().map(of).collect::<Vec<_>>())
}

fn digits(value: f64, digits: usize) -> String {
    format!("{value:.digits$}")
}

fn add_customers(table: &mut Table, variant: &Variant, runs: &[Run]) {
    for (i, customer) in variant.customers.iter().enumerate() {
        let first = |q: f64| figure(runs, |r| r.results[i].first.value_at_quantile(q) as f64);
        let refusal = |r: &Run| r.results[i].refusal.value_at_quantile(0.95) as f64;
        let whole = |value: f64| digits(value, 0);
        table.push(vec![
            variant.name.clone(),
            customer.name.clone(),
            whole(figure(runs, |r| r.results[i].answered as f64)),
            whole(figure(runs, |r| r.results[i].refused as f64)),
            whole(figure(runs, |r| r.results[i].failed as f64)),
            digits(first(0.5) / 1000.0, 2),
            digits(first(0.95) / 1000.0, 2),
            digits(figure(runs, refusal) / 1000.0, 2),
        ]);
    }
}

fn add_engines(table: &mut Table, variant: &Variant, runs: &[Run]) {
    let sum = |r: &Run, of: fn(&EngineStats) -> u64| r.stats.iter().map(of).sum::<u64>() as f64;
    let computed = |r: &Run| sum(r, |s| s.computed) / sum(r, |s| s.runs).max(1.0);
    let cached = |r: &Run| {
        let cached = sum(r, |s| s.cached);
        cached / (cached + sum(r, |s| s.computed)).max(1.0)
    };
    let busiest = |r: &Run| {
        let most = r.stats.iter().map(|s| s.runs).max().unwrap_or_default();
        most as f64 * r.stats.len() as f64 / sum(r, |s| s.runs).max(1.0)
    };
    let row: [&dyn Display; 4] = [
        &variant.name,
        &digits(figure(runs, computed), 0),
        &digits(figure(runs, cached), 2),
        &digits(figure(runs, busiest), 2),
    ];
    table.push(row.iter().map(ToString::to_string).collect());
}
