//! Admits calls by the shares of their ranks and workspaces, and tells other daemons what callers
//! ask for.

use std::collections::HashMap;

use parking_lot::Mutex;
use rand::RngExt;
use wisteriahitch_types::{Code, DurationUs, ServiceName, TimeUs, WorkspaceId};

use super::shared::Shared;
use crate::border::Refusal;
use crate::decide::call_work::{CallWork, WorkRates};
use crate::decide::endpoint_round::RoundTarget;
use crate::decide::gossip_message::GossipMessage;
use crate::decide::hubs::HubPlan;
use crate::decide::service_capacity::service_capacity;
use crate::decide::work_report::WorkReport;
use crate::decide::work_shares::{AskedCall, ServiceCapacity, WorkShares, rank};
use crate::observe::Event;
use crate::site::{EngineSpec, PromptShape, Route, SiteConfig};

/// Time for which the capacity of a service is used before it is computed anew. It is a pass over
/// all endpoints.
const CAPACITY_TTL_US: DurationUs = DurationUs::from_ms(50);

/// Time that a call has less than its route gives if it was refused before: the shortest wait that
/// a refusal states.
const WAITED_US: DurationUs = DurationUs::from_ms(150);

/// What a daemon knows of the work that callers ask for. Each table is locked for one step at a time.
#[derive(Default)]
pub(super) struct WorkState {
    shares: Mutex<WorkShares>,
    work: Mutex<CallWork>,
    capacities: Mutex<HashMap<ServiceName, (TimeUs, ServiceCapacity)>>,
}

impl WorkState {
    /// Records how much of a prompt the chosen engine has to read.
    pub(super) fn record_placement(
        &self,
        service: &ServiceName,
        prompt: Option<&PromptShape>,
        unread_tokens: u64,
    ) {
        if let Some(prompt) = prompt {
            self.work
                .lock()
                .record_placement(service, prompt, unread_tokens);
        }
    }
}

/// A call that asks to be admitted.
pub(super) struct ArrivedCall<'a> {
    pub(super) route: &'a Route,
    pub(super) service: &'a ServiceName,
    pub(super) priority: u8,
    pub(super) workspace: Option<&'a WorkspaceId>,
    pub(super) prompt: Option<&'a PromptShape>,
    /// Time that the caller gives for the call.
    pub(super) deadline_us: DurationUs,
}

/// Refuses a call if its rank or its workspace has had its share of what the endpoints can do.
pub(super) fn admit_by_share(
    shared: &Shared,
    config: &SiteConfig,
    call: &ArrivedCall<'_>,
) -> Result<(), Refusal> {
    let now = shared.now();
    let rates = work_rates(shared, call.service);
    let (duration_us, _) = shared.durations.estimate(call.service);
    let work_ms = match call.prompt {
        Some(prompt) => {
            let slots = engine_of(config, call.service).map_or(1, |engine| engine.slots);
            let route_us = shared.recent_durations.lock().mean(&call.route.name);
            let work = shared.work.work.lock();
            work.of_prompt(call.service, prompt, &rates, route_us, slots)
        }
        None => CallWork::of_plain_call(duration_us),
    };
    let capacity = capacity(shared, config, call.service, &rates, duration_us, now);
    let asked = AskedCall {
        service: call.service,
        priority: rank(call.priority, call.route.priority),
        workspace: call.workspace,
        work_ms,
        left_us: call.deadline_us,
        has_waited: call.deadline_us + WAITED_US < call.route.timeout_us,
    };
    let receives_sums = {
        let plan = shared.peers.current_hub_plan.lock();
        !plan.is_small && !plan.is_hub(shared.settings.ip)
    };
    let members = shared.permit_shares.lock().member_count();
    let members = members.max(shared.peers.daemon_count());
    let position = rand::rng().random_range(0.0..1.0);
    let admitted = {
        let mut shares = shared.work.shares.lock();
        shares.admit(&asked, &capacity, (receives_sums, members), position, now)
    };
    let Err(refusal) = admitted else {
        return Ok(());
    };
    let priority = call.priority.to_string();
    let refusals = &shared.metrics.share_refusals;
    refusals.with_label_values(&[priority.as_str()]).inc();
    let refused = Refusal::new(Code::ShareUsedUp).with_share(refusal.share_permille);
    Err(refused.retry_after(refusal.retry_after_us))
}

/// Returns what the endpoints of a service do in a millisecond, as far as it is learned.
fn work_rates(shared: &Shared, service: &ServiceName) -> WorkRates {
    WorkRates {
        read_tokens_per_ms: shared.endpoints.lock().rates.read_tokens_per_ms(service),
        ..WorkRates::default()
    }
}

fn engine_of<'a>(config: &'a SiteConfig, service: &ServiceName) -> Option<&'a EngineSpec> {
    config.services.get(service)?.engine.as_ref()
}

fn capacity(
    shared: &Shared,
    config: &SiteConfig,
    service: &ServiceName,
    rates: &WorkRates,
    duration_us: DurationUs,
    now: TimeUs,
) -> ServiceCapacity {
    let mut capacities = shared.work.capacities.lock();
    let known = capacities.get(service).copied();
    if let Some((_, capacity)) = known.filter(|(at, _)| now.since(*at) < CAPACITY_TTL_US) {
        return capacity;
    }
    let engine = engine_of(config, service);
    let wanted_us = config.urgency.wanted_backlog(service);
    let capacity = {
        let endpoints = shared.endpoints.lock();
        ServiceCapacity {
            wanted_backlog_ms: wanted_us.as_secs_f64() * 1_000.0,
            ..service_capacity(&endpoints, service, engine, rates, duration_us, now)
        }
    };
    // The services are those of the configuration, so the map stays small.
    capacities.insert(service.clone(), (now, capacity));
    capacity
}

/// Adds what callers ask for to a message, as far as its receiver learns it from nobody else.
pub(super) fn add_work_report(
    shared: &Shared,
    plan: &HubPlan,
    message: &mut GossipMessage,
    target: RoundTarget,
    now: TimeUs,
) {
    let management = shared.settings.load.management;
    let config = shared.site.config();
    if !config.is_some_and(|config| management.applies_to(&config)) {
        return;
    }
    let is_hub = !plan.is_small && plan.is_hub(shared.settings.ip);
    let report = {
        let mut shares = shared.work.shares.lock();
        match target {
            RoundTarget::Spoke(spoke) => shares.report_for_spoke(spoke, now),
            RoundTarget::Other => shares.local_report(is_hub, now),
        }
    };
    if let Err(error) = message.sections.push(&report.bounded()) {
        log_failure(shared, "encoding a report of work", error.to_string());
    }
}

/// Takes what another daemon says that callers ask for.
pub(super) fn receive_work_report(shared: &Shared, message: &GossipMessage, now: TimeUs) {
    let is_accepted = match message.sections.get::<WorkReport>() {
        Ok(None) => return,
        Ok(Some(report)) => {
            let is_hub = message.is_hub && !shared.peers.current_hub_plan.lock().is_small;
            let mut shares = shared.work.shares.lock();
            shares.receive(message.incarnation, is_hub, report, now)
        }
        Err(_) => false,
    };
    if !is_accepted {
        let invalid = &shared.metrics.invalid_peer_figures;
        invalid.with_label_values(&["work"]).inc();
        log_failure(shared, "reading a report of work", message.ip.to_string());
    }
}

fn log_failure(shared: &Shared, what: &'static str, detail: String) {
    shared.log.write(&Event::Failure { what, detail });
}
