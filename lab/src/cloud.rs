//! Stand-in for the cloud API and the platform's lagging list of machines.

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

use crate::reply;
use crate::reply::Answer;
use crate::reply::Call;
use crate::reply::Refusal;
use crate::reply::Reply;

/// Price of a machine for which no row is set, per hour in millionths of the currency unit.
const ON_DEMAND_PRICE: u64 = 1_000_000;

/// Price of a reclaimable machine for which no row is set.
const RECLAIMABLE_PRICE: u64 = 300_000;

/// Milliseconds in an hour.
const HOUR_MS: u64 = 3_600_000;

/// Selects starts; a field that is not set matches all.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StartFilter {
    /// Failure domain.
    pub domain: Option<DomainName>,
    /// Machine class.
    pub class: Option<String>,
    /// How the machine is paid for.
    pub market: Option<Market>,
}

impl StartFilter {
    fn matches(&self, start: &StartRequest) -> bool {
        self.domain.as_ref().is_none_or(|d| *d == start.domain)
            && self.class.as_ref().is_none_or(|c| *c == start.class)
            && self.market.is_none_or(|m| m == start.market)
    }
}

/// Price of the machines that a filter selects.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PriceRow {
    /// Machines.
    pub filter: StartFilter,
    /// Price per hour, in millionths of the currency unit.
    pub price: u64,
}

/// Settings of the cloud.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CloudSettings {
    /// Time from the start of a machine to its server's address, in milliseconds.
    pub start_ms: u64,
    /// Time by which the list of machines lags, in milliseconds.
    pub list_lag_ms: u64,
    /// Starts still to come whose answers are lost after they took effect.
    pub lose_answers: u32,
    /// Starts that are refused.
    pub refuse: Vec<StartFilter>,
    /// Prices; the first row that matches counts.
    pub prices: Vec<PriceRow>,
    /// Whether every request is answered with status 503.
    pub outage: bool,
}

/// A server process that the next machine started in its domain runs:
/// `POST /control/servers`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerEntry {
    /// Failure domain.
    pub domain: DomainName,
    /// Address of the server process.
    pub address: SocketAddr,
}

/// Gives notice to a machine or to all reclaimable machines of a domain:
/// `POST /control/notice`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NoticeOrder {
    /// Machine.
    pub vm: Option<VmName>,
    /// Failure domain.
    pub domain: Option<DomainName>,
    /// Time from now to the machine's end, in milliseconds.
    pub ms: u64,
}

/// Counters of the cloud.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct CloudStats {
    /// Machines started.
    pub started: u64,
    /// Starts refused.
    pub refused: u64,
    /// Starts that repeated a token.
    pub repeated: u64,
    /// Cost so far of all machines, in millionths of the currency unit.
    pub cost: u64,
}

struct Machine {
    vm: Vm,
    born: Instant,
    listed: Timestamp,
    noticed: Option<Timestamp>,
    ends: Option<Timestamp>,
}

struct Inner {
    machines: IndexMap<VmName, Machine>,
    notices: Vec<Notice>,
    servers: IndexMap<DomainName, VecDeque<SocketAddr>>,
    settings: CloudSettings,
    stats: CloudStats,
}

struct Cloud {
    clock: Clock,
    inner: Mutex<Inner>,
    noticed: Notify,
}

/// Serves the cloud and the list of machines until `stop` is cancelled.
pub async fn run_cloud(settings: CloudSettings, listener: TcpListener, stop: CancellationToken) {
    let cloud = Arc::new(Cloud {
        clock: Clock::anchored(),
        inner: Mutex::new(Inner {
            machines: IndexMap::new(),
            notices: Vec::new(),
            servers: IndexMap::new(),
            settings,
            stats: CloudStats::default(),
        }),
        noticed: Notify::new(),
    });
    reply::host(listener, stop, move |call| {
        let cloud = Arc::clone(&cloud);
        async move { cloud.answer(call).await }
    })
    .await;
}

impl Cloud {
    async fn answer(&self, call: Call) -> Answer {
        if let Some(("control", parts)) = call.segments().split_first().map(|(f, r)| (*f, r)) {
            return self.control(parts, &call);
        }
        if self.inner.lock().settings.outage {
            return Err(Refusal::Later(503, 1));
        }
        match (call.method(), call.segments().as_slice()) {
            ("POST", ["vms"]) => {
                let start: StartRequest = call.parse()?;
                self.start(start)
            }
            ("GET", ["vms"]) => Ok(reply::json(200, &self.running())),
            ("DELETE", ["vms", name]) => self.end(name),
            ("GET", ["notices"]) => Ok(self.notices(&call).await),
            ("GET", ["list"]) => Ok(reply::json(200, &self.list())),
            ("GET", ["stats"]) => Ok(reply::json(200, &self.stats())),
            _ => Err(reply::refuse(404, "no such path")),
        }
    }

    fn control(&self, parts: &[&str], call: &Call) -> Answer {
        let mut inner = self.inner.lock();
        match parts {
            [] => call.control(&mut inner.settings),
            ["servers"] => {
                let entry: ServerEntry = call.parse()?;
                let pool = inner.servers.entry(entry.domain).or_default();
                pool.push_back(entry.address);
                Ok(reply::text(200, "registered"))
            }
            ["vms"] => {
                let vm: Vm = call.parse()?;
                inner.add(vm, self.clock.now());
                Ok(reply::text(200, "added"))
            }
            ["notice"] => {
                let order: NoticeOrder = call.parse()?;
                let given = inner.give_notice(&order, self.clock.now());
                self.noticed.notify_waiters();
                Ok(reply::json(200, &given))
            }
            _ => Err(reply::refuse(404, "no such path")),
        }
    }

    fn start(&self, start: StartRequest) -> Answer {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        let now = self.clock.now();
        inner.assign_servers(now);
        let known = inner.machines.values().find(|m| m.vm.token == start.token);
        if let Some(machine) = known {
            inner.stats.repeated += 1;
            return Ok(reply::json(200, &machine.vm));
        }
        if inner.settings.refuse.iter().any(|f| f.matches(&start)) {
            inner.stats.refused += 1;
            return Err(Refusal::Later(503, 1));
        }
        let vm = inner.create(start)?;
        inner.add(vm.clone(), now);
        inner.assign_servers(now);
        inner.stats.started += 1;
        if inner.settings.lose_answers > 0 {
            inner.settings.lose_answers -= 1;
            return Err(Refusal::Abort);
        }
        Ok(reply::json(200, &inner.machines[&vm.name].vm))
    }

    fn running(&self) -> Vec<Vm> {
        let mut inner = self.inner.lock();
        let now = self.clock.now();
        inner.assign_servers(now);
        let running = inner.machines.values().filter(|m| m.runs(now));
        running.map(|m| m.vm.clone()).collect()
    }

    fn end(&self, name: &str) -> Answer {
        let mut inner = self.inner.lock();
        let now = self.clock.now();
        let machine = inner
            .machines
            .values_mut()
            .find(|m| m.vm.name.as_str() == name);
        let machine = machine.ok_or_else(|| reply::refuse(404, "no such machine"))?;
        machine.ends = Some(machine.ends.map_or(now, |at| at.min(now)));
        Ok(reply::text(200, "ended"))
    }

    async fn notices(&self, call: &Call) -> Reply {
        let from = call.query("from") as usize;
        let wait = Duration::from_millis(call.query("wait_ms"));
        let deadline = Instant::now() + wait;
        loop {
            let noticed = self.noticed.notified();
            let given = self.inner.lock().notices.clone();
            if given.len() > from || Instant::now() >= deadline {
                let reply = NoticeReply {
                    next: given.len() as u64,
                    notices: given.into_iter().skip(from).collect(),
                };
                return reply::json(200, &reply);
            }
            let _ = tokio::time::timeout_at(deadline, noticed).await;
        }
    }

    fn list(&self) -> Vec<ListedVm> {
        let inner = self.inner.lock();
        let lag = inner.settings.list_lag_ms;
        let then = Timestamp(self.clock.now().0.saturating_sub(lag));
        let listed = inner
            .machines
            .values()
            .filter(|m| m.listed <= then && m.runs(then));
        let rows = listed.map(|m| ListedVm {
            name: m.vm.name.clone(),
            domain: m.vm.domain.clone(),
            state: if m.noticed.is_some_and(|at| at <= then) {
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
        let costs = inner.machines.values().map(|m| {
            let end = m.ends.map_or(now, |at| at.min(now));
            m.vm.price * hawthornrack_lib::millis(end.since(m.listed)) / HOUR_MS
        });
        CloudStats {
            cost: costs.sum(),
            ..inner.stats
        }
    }
}

impl Machine {
    fn runs(&self, now: Timestamp) -> bool {
        self.ends.is_none_or(|at| now < at)
    }
}

impl Inner {
    fn create(&self, start: StartRequest) -> Result<Vm, Refusal> {
        let name = format!("vm-{}-{}", start.domain, self.machines.len());
        let name = VmName::new(name).map_err(|error| reply::refuse(400, &error.to_string()))?;
        let row = self
            .settings
            .prices
            .iter()
            .find(|r| r.filter.matches(&start));
        let usual = match start.market {
            Market::OnDemand => ON_DEMAND_PRICE,
            Market::Reclaimable => RECLAIMABLE_PRICE,
        };
        Ok(Vm {
            name,
            token: start.token,
            class: start.class,
            domain: start.domain,
            market: start.market,
            address: None,
            price: row.map_or(usual, |r| r.price),
        })
    }

    fn add(&mut self, vm: Vm, now: Timestamp) {
        let machine = Machine {
            vm,
            born: Instant::now(),
            listed: now,
            noticed: None,
            ends: None,
        };
        self.machines.insert(machine.vm.name.clone(), machine);
    }

    fn assign_servers(&mut self, now: Timestamp) {
        let start = Duration::from_millis(self.settings.start_ms);
        for machine in self.machines.values_mut() {
            let ready = machine.born.elapsed() >= start && machine.runs(now);
            if ready && machine.vm.address.is_none() {
                let pool = self.servers.get_mut(&machine.vm.domain);
                machine.vm.address = pool.and_then(VecDeque::pop_front);
            }
        }
    }

    fn give_notice(&mut self, order: &NoticeOrder, now: Timestamp) -> Vec<Notice> {
        let deadline = now.plus(Duration::from_millis(order.ms));
        let mut given = Vec::new();
        for machine in self.machines.values_mut() {
            let named = order.vm.as_ref() == Some(&machine.vm.name);
            let swept = order.domain.as_ref() == Some(&machine.vm.domain)
                && machine.vm.market == Market::Reclaimable;
            if !(named || swept) || machine.noticed.is_some() || !machine.runs(now) {
                continue;
            }
            machine.noticed = Some(now);
            machine.ends = Some(deadline);
            let vm = machine.vm.name.clone();
            given.push(Notice { vm, deadline });
        }
        self.notices.extend(given.iter().cloned());
        given
    }
}
