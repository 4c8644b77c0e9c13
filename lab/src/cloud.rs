//! Stand-in for the cloud API and for the platform's VM list, which lags behind the cloud.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthornrack_lib::Clock;
use hawthornrack_lib::DomainName;
use hawthornrack_lib::ListedState;
use hawthornrack_lib::ListedVm;
use hawthornrack_lib::Market;
use hawthornrack_lib::Notice;
use hawthornrack_lib::NoticeReply;
use hawthornrack_lib::StartRequest;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::Vm;
use hawthornrack_lib::VmName;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::http;
use crate::http::HandlerResult;
use crate::http::HttpError;
use crate::http::HttpRequest;
use crate::http::HttpResponse;

/// Price per hour of an on-demand VM that no rule matches, in millionths of the currency unit.
const DEFAULT_ON_DEMAND_PRICE: u64 = 1_000_000;

/// Price per hour of a reclaimable VM that no rule matches, in millionths of the currency unit.
const DEFAULT_RECLAIMABLE_PRICE: u64 = 300_000;

const HOUR_MS: u64 = 3_600_000;

/// Selects requests to start a VM; a field that is not set matches every request.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StartFilter {
    /// Failure domain.
    pub domain: Option<DomainName>,
    /// VM class.
    pub class: Option<String>,
    /// Pricing model: on demand or reclaimable.
    pub market: Option<Market>,
}

impl StartFilter {
    fn matches(&self, request: &StartRequest) -> bool {
        self.domain.as_ref().is_none_or(|d| *d == request.domain)
            && self.class.as_ref().is_none_or(|c| *c == request.class)
            && self.market.is_none_or(|m| m == request.market)
    }
}

/// Price of the VMs whose start requests match a filter.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PriceRule {
    /// Start requests to which the price applies.
    pub filter: StartFilter,
    /// Price per hour, in millionths of the currency unit.
    pub price: u64,
}

/// Settings of the cloud stand-in.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CloudSettings {
    /// Delay from the creation of a VM until its server's address is known, in milliseconds.
    pub start_ms: u64,
    /// Delay after which changes show in the VM list, in milliseconds.
    pub list_lag_ms: u64,
    /// Number of upcoming start requests that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Start requests that are refused.
    pub refuse: Vec<StartFilter>,
    /// Price rules; the first match applies.
    pub prices: Vec<PriceRule>,
    /// Whether every request except those under `/control` is refused with status 503.
    pub outage: bool,
}

/// Registers a server process, which is assigned to the next VM in its failure domain that needs
/// one: `POST /control/servers`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerRegistration {
    /// Failure domain.
    pub domain: DomainName,
    /// Address of the server process.
    pub address: SocketAddr,
}

/// Gives advance notice of the termination of one VM or of all reclaimable VMs of a failure domain:
/// `POST /control/notice`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NoticeRequest {
    /// VM to terminate.
    pub vm: Option<VmName>,
    /// Failure domain whose reclaimable VMs are terminated.
    pub domain: Option<DomainName>,
    /// Time from now until the VMs are terminated, in milliseconds.
    pub ms: u64,
}

/// Counters of the cloud stand-in.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct CloudStats {
    /// VMs started by start requests.
    pub started: u64,
    /// Start requests refused.
    pub refused: u64,
    /// Start requests that repeated a token.
    pub repeated: u64,
    /// Cost so far of all VMs, including those added with `POST /control/vms`, in millionths of the
    /// currency unit.
    pub cost: u64,
}

struct CloudVm {
    info: Vm,
    /// Creation time on the monotonic clock, from which the start delay counts.
    created_instant: Instant,
    /// Wall-clock creation time, from which the VM list and the cost are computed.
    created_at: Timestamp,
    /// Time at which notice was given.
    notice_given_at: Option<Timestamp>,
    /// Time at which the VM is or was terminated; may lie in the future.
    terminated_at: Option<Timestamp>,
}

struct Inner {
    vms: IndexMap<VmName, CloudVm>,
    notices: Vec<Notice>,
    servers: IndexMap<DomainName, VecDeque<SocketAddr>>,
    settings: CloudSettings,
    stats: CloudStats,
}

struct Cloud {
    clock: Clock,
    inner: Mutex<Inner>,
    notice_given: Notify,
}

/// Serves the cloud API and the VM list until `stop` is cancelled.
///
/// `POST /control/vms` adds an existing VM, given as a [`Vm`], without a start request.
pub async fn run_cloud(settings: CloudSettings, listener: TcpListener, stop: CancellationToken) {
    let cloud = Arc::new(Cloud {
        clock: Clock::from_system_time(),
        inner: Mutex::new(Inner {
            vms: IndexMap::new(),
            notices: Vec::new(),
            servers: IndexMap::new(),
            settings,
            stats: CloudStats::default(),
        }),
        notice_given: Notify::new(),
    });
    http::serve_requests(listener, stop, move |call| {
        let cloud = Arc::clone(&cloud);
        async move { cloud.handle(call).await }
    })
    .await;
}

impl Cloud {
    async fn handle(&self, call: HttpRequest) -> HandlerResult {
        if let Some(("control", path)) = call.path_segments().split_first().map(|(f, r)| (*f, r)) {
            return self.control(path, &call);
        }
        if self.inner.lock().settings.outage {
            return Err(HttpError::RetryAfter(503, 1));
        }
        match (call.method(), call.path_segments().as_slice()) {
            ("POST", ["vms"]) => {
                let request: StartRequest = call.parse_json()?;
                self.start_vm(request)
            }
            ("GET", ["vms"]) => Ok(http::json(200, &self.running_vms())),
            ("DELETE", ["vms", name]) => self.terminate_vm(name),
            ("GET", ["notices"]) => Ok(self.poll_notices(&call).await),
            ("GET", ["list"]) => Ok(http::json(200, &self.listed_vms())),
            ("GET", ["stats"]) => Ok(http::json(200, &self.stats())),
            _ => Err(http::status_error(404, "no such path")),
        }
    }

    fn control(&self, path: &[&str], call: &HttpRequest) -> HandlerResult {
        let mut inner = self.inner.lock();
        match path {
            [] => call.update_settings(&mut inner.settings),
            ["servers"] => {
                let server: ServerRegistration = call.parse_json()?;
                let pool = inner.servers.entry(server.domain).or_default();
                pool.push_back(server.address);
                Ok(http::text(200, "registered"))
            }
            ["vms"] => {
                let vm: Vm = call.parse_json()?;
                inner.add_vm(vm, self.clock.now());
                Ok(http::text(200, "added"))
            }
            ["notice"] => {
                let request: NoticeRequest = call.parse_json()?;
                let notices = inner.give_notice(&request, self.clock.now());
                self.notice_given.notify_waiters();
                Ok(http::json(200, &notices))
            }
            _ => Err(http::status_error(404, "no such path")),
        }
    }

    fn start_vm(&self, request: StartRequest) -> HandlerResult {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        let now = self.clock.now();
        inner.assign_servers(now);
        let existing = inner.vms.values().find(|v| v.info.token == request.token);
        if let Some(vm) = existing {
            inner.stats.repeated += 1;
            return Ok(http::json(200, &vm.info));
        }
        if inner.settings.refuse.iter().any(|f| f.matches(&request)) {
            inner.stats.refused += 1;
            return Err(HttpError::RetryAfter(503, 1));
        }
        let vm = inner.build_vm(request)?;
        inner.add_vm(vm.clone(), now);
        inner.assign_servers(now);
        inner.stats.started += 1;
        if inner.settings.lose_answers > 0 {
            inner.settings.lose_answers -= 1;
            return Err(HttpError::Abort);
        }
        Ok(http::json(200, &inner.vms[&vm.name].info))
    }

    fn running_vms(&self) -> Vec<Vm> {
        let mut inner = self.inner.lock();
        let now = self.clock.now();
        inner.assign_servers(now);
        let running = inner.vms.values().filter(|v| v.is_running(now));
        running.map(|v| v.info.clone()).collect()
    }

    fn terminate_vm(&self, name: &str) -> HandlerResult {
        let mut inner = self.inner.lock();
        let now = self.clock.now();
        let vm = inner
            .vms
            .values_mut()
            .find(|v| v.info.name.as_str() == name);
        let vm = vm.ok_or_else(|| http::status_error(404, "no such machine"))?;
        vm.terminated_at = Some(vm.terminated_at.map_or(now, |at| at.min(now)));
        Ok(http::text(200, "ended"))
    }

    async fn poll_notices(&self, call: &HttpRequest) -> HttpResponse {
        let from = call.query_number("from") as usize;
        let wait = Duration::from_millis(call.query_number("wait_ms"));
        let deadline = Instant::now() + wait;
        loop {
            let notice_given = self.notice_given.notified();
            let notices = self.inner.lock().notices.clone();
            if notices.len() > from || Instant::now() >= deadline {
                let reply = NoticeReply {
                    next: notices.len() as u64,
                    notices: notices.into_iter().skip(from).collect(),
                };
                return http::json(200, &reply);
            }
            let _ = tokio::time::timeout_at(deadline, notice_given).await;
        }
    }

    fn listed_vms(&self) -> Vec<ListedVm> {
        let inner = self.inner.lock();
        let lag = inner.settings.list_lag_ms;
        let as_of = Timestamp(self.clock.now().0.saturating_sub(lag));
        let listed = inner
            .vms
            .values()
            .filter(|v| v.created_at <= as_of && v.is_running(as_of));
        let rows = listed.map(|v| ListedVm {
            name: v.info.name.clone(),
            domain: v.info.domain.clone(),
            state: if v.notice_given_at.is_some_and(|at| at <= as_of) {
                ListedState::Leaving
            } else {
                ListedState::Live
            },
        });
        rows.collect()
    }

    fn stats(&self) -> CloudStats {
        let inner = self.inner.lock();
        let now = self.clock.now();
        let costs = inner.vms.values().map(|v| {
            let end = v.terminated_at.map_or(now, |at| at.min(now));
            v.info.price * hawthornrack_lib::millis(end.since(v.created_at)) / HOUR_MS
        });
        CloudStats {
            cost: costs.sum(),
            ..inner.stats
        }
    }
}

impl CloudVm {
    fn is_running(&self, now: Timestamp) -> bool {
        self.terminated_at.is_none_or(|at| now < at)
    }
}

impl Inner {
    /// Builds the VM for a start request, with a new name and the price of the first matching rule.
    fn build_vm(&self, request: StartRequest) -> Result<Vm, HttpError> {
        let name = format!("vm-{}-{}", request.domain, self.vms.len());
        let name =
            VmName::new(name).map_err(|error| http::status_error(400, &error.to_string()))?;
        let rule = self
            .settings
            .prices
            .iter()
            .find(|r| r.filter.matches(&request));
        let default_price = match request.market {
            Market::OnDemand => DEFAULT_ON_DEMAND_PRICE,
            Market::Reclaimable => DEFAULT_RECLAIMABLE_PRICE,
        };
        Ok(Vm {
            name,
            token: request.token,
            class: request.class,
            domain: request.domain,
            market: request.market,
            address: None,
            price: rule.map_or(default_price, |r| r.price),
        })
    }

    fn add_vm(&mut self, info: Vm, now: Timestamp) {
        let vm = CloudVm {
            info,
            created_instant: Instant::now(),
            created_at: now,
            notice_given_at: None,
            terminated_at: None,
        };
        self.vms.insert(vm.info.name.clone(), vm);
    }

    /// Assigns registered servers to running VMs whose start delay has passed. Called by the
    /// handlers that return VMs with their addresses, as there is no timer.
    fn assign_servers(&mut self, now: Timestamp) {
        let delay = Duration::from_millis(self.settings.start_ms);
        for vm in self.vms.values_mut() {
            let is_ready = vm.created_instant.elapsed() >= delay && vm.is_running(now);
            if is_ready && vm.info.address.is_none() {
                let pool = self.servers.get_mut(&vm.info.domain);
                vm.info.address = pool.and_then(VecDeque::pop_front);
            }
        }
    }

    fn give_notice(&mut self, request: &NoticeRequest, now: Timestamp) -> Vec<Notice> {
        let deadline = now.plus(Duration::from_millis(request.ms));
        let mut notices = Vec::new();
        for vm in self.vms.values_mut() {
            let is_named = request.vm.as_ref() == Some(&vm.info.name);
            let in_domain = request.domain.as_ref() == Some(&vm.info.domain)
                && vm.info.market == Market::Reclaimable;
            if !(is_named || in_domain) || vm.notice_given_at.is_some() || !vm.is_running(now) {
                continue;
            }
            vm.notice_given_at = Some(now);
            vm.terminated_at = Some(deadline);
            let vm = vm.info.name.clone();
            notices.push(Notice { vm, deadline });
        }
        self.notices.extend(notices.iter().cloned());
        notices
    }
}
