//! One request's way: choose an endpoint, send, judge the outcome, try again or give up.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::Answer;
use crate::Branch;
use crate::Call;
use crate::CallKind;
use crate::Choice;
use crate::Config;
use crate::CustomerName;
use crate::Dispatch;
use crate::EndpointEdge;
use crate::EndpointKey;
use crate::Fingerprint;
use crate::Node;
use crate::Occupancy;
use crate::Placement;
use crate::Refusal;
use crate::RefusalKind;
use crate::Route;
use crate::SendFailure;
use crate::ServiceName;
use crate::VersionName;
use crate::VersionPlan;
use crate::VersionSide;
use crate::Versions;
use crate::WHOLE_SHARE;
use crate::choose;
use crate::connection::ONCE_IDLE_LIMIT;
use crate::log_limit;
use crate::place::Place;
use crate::prefill_time;

/// Part of the objective for which a request may wait for a place.
const WAIT_SHARE: u32 = 8;

/// Multiple of the objective after which a request that may be repeated is tried elsewhere.
const TRY_FACTOR: u32 = 2;

/// Shortest time within which a stream's first event must come before it is tried elsewhere.
const FIRST_EVENT_LEAST: Duration = Duration::from_millis(1500);

/// Endpoints that are tried at most, with those that could not be reached.
const MAX_UNREACHED: usize = 5;

/// Time that must be left for a send to make sense.
const LEAST_BUDGET: Duration = Duration::from_millis(20);

/// Time after which callers may come back when no endpoint is known or ready.
const RETRY_AFTER_ENDPOINT: Duration = Duration::from_millis(800);

/// Shortest time after which callers may come back when endpoints are full.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(300);

/// A request that has been admitted, with what was decided about it.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    pub(crate) call: Arc<Call>,
    pub(crate) config: Arc<Config>,
    pub(crate) route: Route,
    pub(crate) customer: Option<CustomerName>,
    pub(crate) priority: u8,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) deadline: Instant,
}

/// Sends of one request so far.
#[derive(Debug)]
pub(crate) struct Attempts {
    pub(crate) request: Admitted,
    service: ServiceName,
    tried: Vec<EndpointKey>,
    sends: u32,
    /// Place on the scale of a new version's share.
    point: u32,
    pub(crate) may_have_run: bool,
    pub(crate) last_event: Option<u64>,
}

impl Attempts {
    /// Begins a request on one of its route's services.
    pub(crate) fn new(request: Admitted) -> Self {
        let last_event = request.call.last_event;
        Self {
            service: pick_branch(&request.route.branches),
            request,
            tried: Vec::new(),
            sends: 0,
            point: rand::rng().random_range(0..WHOLE_SHARE),
            may_have_run: false,
            last_event,
        }
    }

    /// Returns the kind of the request.
    pub(crate) fn kind(&self) -> CallKind {
        self.request.route.kind
    }

    /// Returns the service that the request goes to.
    pub(crate) fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Sends the request until an endpoint answers.
    ///
    /// # Errors
    ///
    /// Returns the final refusal when no endpoint answers.
    pub(crate) async fn run<E: EndpointEdge>(
        &mut self,
        node: &Arc<Node>,
        edge: &E,
    ) -> Result<(Answer<E::Body>, Place), Refusal> {
        loop {
            let place = self.take_place(node).await?;
            match self.send(node, edge, &place).await {
                Ok(answer) if self.is_worth_repeating(&answer) && self.may_retry(node) => {
                    place.note_bad_answer();
                    self.may_have_run = true;
                }
                Ok(answer) => return Ok((answer, place)),
                Err(failure) => {
                    note_send_failure(node, self, &place, &failure);
                    drop(place);
                    self.after_failure(node, &failure)?;
                }
            }
        }
    }

    /// Takes a place at the best endpoint, waiting briefly while all are full.
    async fn take_place(&mut self, node: &Arc<Node>) -> Result<Place, Refusal> {
        let patience = Instant::now() + self.request.route.objective / WAIT_SHARE;
        loop {
            let now = Instant::now();
            if self.request.deadline.saturating_duration_since(now) < LEAST_BUDGET {
                return Err(self.final_refusal(RefusalKind::Expired, None));
            }
            let freed = node.freed.notified();
            match self.choose(node, now) {
                Ok(place) => {
                    self.log_placed(&place);
                    return Ok(place);
                }
                Err(Choice::Full(wait)) if now >= patience || self.sends > 0 => {
                    self.log_unplaced(node, Some(wait));
                    let after = wait.max(RETRY_AFTER_FULL);
                    return Err(self.final_refusal(RefusalKind::Overloaded, Some(after)));
                }
                Err(Choice::Full(_)) => {
                    // A place that frees up wakes this loop; the refusal follows if none does.
                    let _ = tokio::time::timeout_at(patience, freed).await;
                }
                Err(_) => {
                    self.log_unplaced(node, None);
                    let after = Some(RETRY_AFTER_ENDPOINT);
                    return Err(self.final_refusal(RefusalKind::NoEndpoint, after));
                }
            }
        }
    }

    /// Writes down where the request goes; repeats always.
    fn log_placed(&self, place: &Place) {
        if self.sends == 0 && !log_limit::allows("placed") {
            return;
        }
        tracing::info!(
            event = "placed",
            id = self.request.call.id,
            service = %self.service,
            endpoint = %place.endpoint,
            side = ?place.side,
            prefill = place.occupancy.prefill,
            sends = self.sends,
            last_event = self.last_event,
            config = self.request.config.version,
        );
    }

    /// Writes down what the request could choose from; `wait` is the shortest expected one.
    fn log_unplaced(&self, node: &Node, wait: Option<Duration>) {
        let now = Instant::now();
        let endpoints = node.endpoints.lock();
        let known = || endpoints.candidates(&self.service, now);
        let running: u32 = known().map(|(_, e)| e.load.running()).sum();
        let slots: u32 = known().map(|(_, e)| e.entry.slots).sum();
        tracing::info!(
            event = "unplaced",
            id = self.request.call.id,
            service = %self.service,
            endpoints = known().count(),
            avoided = known().filter(|(_, e)| e.load.is_avoided(now)).count(),
            running,
            slots,
            sends = self.sends,
            wait_ms = wait.map(crate::millis),
            left_ms = crate::millis(self.request.deadline.saturating_duration_since(now)),
            config = self.request.config.version,
        );
    }

    /// Takes a place on the versions that the service's rollout gives the request.
    fn choose(&mut self, node: &Arc<Node>, now: Instant) -> Result<Place, Choice> {
        let is_repeat = self.sends > 0;
        let point = (!is_repeat).then_some(self.point);
        let end_ms = node.true_millis() + crate::millis(self.longest(node));
        let rollouts = node.rollouts.lock();
        let plan = rollouts.plan(&self.service, point, end_ms);
        drop(rollouts);
        match &plan {
            VersionPlan::Free => self.choose_of(node, Versions::Any, now),
            VersionPlan::OldOnly(target) => self.choose_of(node, Versions::Without(target), now),
            VersionPlan::TargetFirst(target) => self
                .choose_of(node, Versions::Only(target), now)
                .or_else(|_| self.choose_of(node, Versions::Without(target), now)),
            VersionPlan::OldFirst(target) => {
                let old = self.choose_of(node, Versions::Without(target), now);
                if matches!(old, Err(Choice::NoEndpoint))
                    && !has_old(node, &self.service, target, now)
                {
                    return self.choose_of(node, Versions::Only(target), now);
                }
                old
            }
        }
    }

    /// Returns a time within which the request most likely ends.
    fn longest(&self, node: &Node) -> Duration {
        let tokens = self.request.call.prompt.as_ref().map(|p| p.output);
        let route = &self.request.route.name;
        let mut paces = node.paces.lock();
        let pace = paces.entry(self.service.clone()).or_default();
        pace.longest(route, tokens)
    }

    fn choose_of(
        &mut self,
        node: &Arc<Node>,
        versions: Versions<'_>,
        now: Instant,
    ) -> Result<Place, Choice> {
        let request = &self.request;
        let service = request.config.services.get(&self.service);
        let placement = Placement {
            service: &self.service,
            engine: service.and_then(|s| s.engine),
            versions,
            prompt: request.call.prompt.as_ref(),
            domain: &node.settings.domain,
            tried: &self.tried,
            limit: request.route.objective.min(request.deadline - now),
        };
        let mut endpoints = node.endpoints.lock();
        let (key, prefill) = match choose(&endpoints, &placement, now) {
            Choice::Send { key, prefill } => (key, prefill),
            other => return Err(other),
        };
        let endpoint = endpoints.get_mut(key).ok_or(Choice::NoEndpoint)?;
        let tokens = request
            .call
            .prompt
            .as_ref()
            .map_or(0, crate::Prompt::tokens);
        let occupancy = Occupancy {
            tokens,
            prefill,
            once: !request.route.kind.may_repeat(),
        };
        endpoint.load.begin(occupancy, now);
        if let Some(prompt) = &request.call.prompt {
            endpoint.load.note_prompt(prompt, now);
        }
        let id = endpoint.entry.id.clone();
        let address = endpoint.entry.address;
        let version = endpoint.entry.version.clone();
        drop(endpoints);
        let side = self.begin_trial(node, &version);
        if prefill > 0 {
            let mut prefilled = node.prefilled.lock();
            *prefilled.entry(self.service.clone()).or_default() += u64::from(prefill);
        }
        Ok(Place {
            node: Arc::clone(node),
            key,
            endpoint: id,
            address,
            occupancy,
            service: self.service.clone(),
            route: self.request.route.name.clone(),
            tokens: self.request.call.prompt.as_ref().map(|p| p.output),
            side,
            begun: now,
        })
    }

    /// Counts a send as part of an open rollout of its service.
    fn begin_trial(&self, node: &Node, version: &VersionName) -> Option<VersionSide> {
        let mut rollouts = node.rollouts.lock();
        let side = rollouts.side_of(&self.service, version)?;
        let evidence = rollouts.evidence_mut(&self.service)?;
        evidence.side_mut(&self.request.route.name, side).sent += 1;
        Some(side)
    }

    async fn send<E: EndpointEdge>(
        &mut self,
        node: &Arc<Node>,
        edge: &E,
        place: &Place,
    ) -> Result<Answer<E::Body>, SendFailure> {
        let now = Instant::now();
        self.tried.push(place.key);
        self.sends += 1;
        let request = &self.request;
        let left = request.deadline.saturating_duration_since(now);
        let limit = self.try_limit(place).min(left);
        let send = Dispatch {
            call: &request.call,
            address: place.address,
            endpoint: &place.endpoint,
            customer: request.customer.as_ref(),
            budget: left,
            priority: request.call.prompt.as_ref().map(|_| request.priority),
            last_event: self.last_event,
            max_idle: if request.route.kind.may_repeat() {
                Duration::MAX
            } else {
                ONCE_IDLE_LIMIT
            },
            stream: request.route.kind.is_stream(),
        };
        let answer = tokio::time::timeout(limit, edge.send(send)).await;
        let answer = answer.unwrap_or_else(|_elapsed| {
            Err(SendFailure::MayHaveRun(format!(
                "no answer in {} ms",
                limit.as_millis()
            )))
        });
        node.metrics.note_send(outcome_name(&answer));
        answer
    }

    /// Returns the time after which this send counts as failed.
    fn try_limit(&self, place: &Place) -> Duration {
        let route = &self.request.route;
        let last = self.sends >= route.attempts || !route.kind.may_repeat();
        if last {
            return Duration::MAX;
        }
        match route.kind {
            CallKind::ResumableStream => {
                let reading = prefill_time(place.occupancy.prefill) * 3;
                (route.objective * TRY_FACTOR).max(FIRST_EVENT_LEAST) + reading
            }
            _ => route.objective * TRY_FACTOR,
        }
    }

    /// Tells whether an answer is a failure that another endpoint may not repeat.
    fn is_worth_repeating<B>(&self, answer: &Answer<B>) -> bool {
        answer.status >= 500 && self.kind().may_repeat()
    }

    /// Takes a repeat from the budget if the request may be sent once more.
    pub(crate) fn may_retry(&self, node: &Node) -> bool {
        let now = Instant::now();
        let left = self.request.deadline.saturating_duration_since(now);
        let allowed = self.sends < self.request.route.attempts && left > LEAST_BUDGET * 2;
        if !allowed || node.crashes.lock().is_crashing(self.request.fingerprint) {
            return false;
        }
        let entries = node.entry_count();
        node.retries.lock().take(&self.service, entries, now)
    }

    /// Tells whether the request may be sent to one more endpoint, budgets aside.
    pub(crate) fn can_repeat(&self) -> bool {
        self.kind().may_repeat() && self.sends < self.request.route.attempts
    }

    /// Notes that an endpoint broke off after it may have run the request.
    pub(crate) fn note_broken(&self, node: &Node, place: &Place, failure: &SendFailure) {
        note_send_failure(node, self, place, failure);
    }

    /// Decides whether the request goes on after a send that brought no answer.
    pub(crate) fn after_failure(
        &mut self,
        node: &Node,
        failure: &SendFailure,
    ) -> Result<(), Refusal> {
        match failure {
            SendFailure::NotWritten(_) => {
                // Nothing arrived anywhere, so that it counts neither as an attempt nor as a
                // repeat.
                self.sends -= 1;
                if self.tried.len() >= MAX_UNREACHED {
                    let after = Some(RETRY_AFTER_ENDPOINT);
                    return Err(self.final_refusal(RefusalKind::NoEndpoint, after));
                }
            }
            SendFailure::Rejected { misdirected, .. } => {
                if *misdirected {
                    // No endpoint of the service has seen the request.
                    self.sends -= 1;
                }
                if !self.may_retry(node) {
                    let after = Some(RETRY_AFTER_FULL);
                    return Err(self.final_refusal(RefusalKind::Rejected, after));
                }
            }
            SendFailure::MayHaveRun(_) => {
                self.may_have_run = true;
                if !self.kind().may_repeat() || !self.may_retry(node) {
                    return Err(self.final_refusal(RefusalKind::Broken, None));
                }
            }
        }
        Ok(())
    }

    /// Returns the refusal that is true of what has happened to the request.
    fn final_refusal(&self, kind: RefusalKind, after: Option<Duration>) -> Refusal {
        if !self.may_have_run {
            return Refusal {
                kind,
                retry_after: after,
            };
        }
        let late = Instant::now() + LEAST_BUDGET >= self.request.deadline;
        Refusal::new(if late {
            RefusalKind::TimedOut
        } else {
            RefusalKind::Broken
        })
    }
}

/// Tells whether endpoints of versions other than a new one take requests.
fn has_old(node: &Node, service: &ServiceName, target: &VersionName, now: Instant) -> bool {
    let endpoints = node.endpoints.lock();
    let mut listed = endpoints.candidates(service, now);
    listed.any(|(_, e)| e.entry.version != *target)
}

fn note_send_failure(node: &Node, attempts: &Attempts, place: &Place, failure: &SendFailure) {
    let now = Instant::now();
    let request = &attempts.request;
    tracing::info!(
        event = "send_failed",
        id = request.call.id,
        endpoint = %place.endpoint,
        sends = attempts.sends,
        after_ms = crate::millis(now.duration_since(place.begun)),
        %failure,
    );
    match failure {
        SendFailure::Rejected {
            misdirected: true, ..
        } => place.note_leaving(),
        SendFailure::Rejected { .. } => place.note_failure(),
        SendFailure::NotWritten(_) => place.note_trouble(now),
        SendFailure::MayHaveRun(_) => {
            place.note_broken(now);
            let mut crashes = node.crashes.lock();
            crashes.note(request.fingerprint, &place.endpoint, now);
        }
    }
}

fn outcome_name<B>(answer: &Result<Answer<B>, SendFailure>) -> &'static str {
    match answer {
        Ok(answer) if answer.status < 500 => "answered",
        Ok(_) => "failed",
        Err(SendFailure::NotWritten(_)) => "not_written",
        Err(SendFailure::Rejected { .. }) => "rejected",
        Err(SendFailure::MayHaveRun(_)) => "may_have_run",
    }
}

fn pick_branch(branches: &[Branch]) -> ServiceName {
    let sum: u32 = branches.iter().map(|b| b.weight).sum();
    let mut drawn = rand::rng().random_range(0..sum.max(1));
    for branch in branches {
        if drawn < branch.weight {
            return branch.service.clone();
        }
        drawn -= branch.weight;
    }
    branches[0].service.clone()
}
