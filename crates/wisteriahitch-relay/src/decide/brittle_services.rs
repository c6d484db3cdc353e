//! Services whose endpoints state that they are brittle: they fail if they have to refuse more than a
//! few calls in a second.
//!
//! Load pattern: dozens of daemons in front of a service, most of which get an answer of a given
//! endpoint once in many seconds. A statement counts for the whole service and is gossiped, because
//! daemons that had to find out for themselves, endpoint by endpoint and again after each restart,
//! would do so by calls that are refused. `docs/design/brittle-endpoints.md` gives the reasons.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{DurationUs, EndpointInstance, ServiceName, TimeUs};

use super::endpoint_row::EndpointRow;
use super::endpoint_table::{EndpointTable, short_name};
use super::message_sections::SectionContent;

/// How much later than the last statement an answer without one must arrive to end it. Answers of
/// many endpoints overtake each other on their way, and are read late by a busy daemon.
const END_MARGIN_US: DurationUs = DurationUs::from_ms(1_000);

/// How much newer than the known time a time in a message must be to be taken over. Ages lose the
/// time that messages take, so that without this a message that travels in circles would keep a
/// statement young.
const MIN_ADVANCE_US: DurationUs = DurationUs::from_ms(200);

/// How long the end of a statement is gossiped: several messages, some of which may be lost.
const END_GOSSIP_US: DurationUs = DurationUs::from_ms(10_000);

/// How long no room is asked for at an endpoint that had none: a few times the way to another daemon
/// and back.
const NO_ROOM_BACKOFF_US: DurationUs = DurationUs::from_ms(20);

/// How long no room is asked for at an endpoint whose lender didn't answer. Each further question
/// would keep a caller waiting.
const NO_ANSWER_BACKOFF_US: DurationUs = DurationUs::from_ms(500);

/// What a service's endpoints have last stated, by any daemon's knowledge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Brittleness {
    /// Calls that an endpoint may refuse in a second without failing.
    max_refusals_per_s: u32,
    /// When an answer last stated it.
    stated_at_us: TimeUs,
    /// When an answer last arrived that didn't state it.
    unstated_at_us: Option<TimeUs>,
}

impl Brittleness {
    /// A statement has no expiry: without answers there is no evidence that it has ended.
    fn is_in_force(&self) -> bool {
        self.unstated_at_us
            .is_none_or(|at| at < self.stated_at_us + END_MARGIN_US)
    }

    fn limit(&self) -> Option<u32> {
        self.is_in_force().then_some(self.max_refusals_per_s)
    }
}

/// Services whose endpoints are brittle or were a moment ago, by their short names.
#[derive(Clone, Debug, Default)]
pub struct BrittleServices {
    services: HashMap<u32, Brittleness>,
    /// Until when endpoints had no room for a call of this daemon, by their short names.
    no_room_until_us: HashMap<u32, TimeUs>,
}

impl BrittleServices {
    /// Returns how many calls an endpoint of a service may refuse in a second; `None` if the
    /// service isn't known to be brittle.
    pub fn max_refusals_per_s(&self, service: &ServiceName) -> Option<u32> {
        // Hardly any deployment has a brittle service at any time, and this is asked for each
        // candidate of each call.
        if self.services.is_empty() {
            return None;
        }
        self.services
            .get(&short_name(service.as_str()))
            .and_then(Brittleness::limit)
    }

    /// Returns how many services are brittle, for the metrics.
    pub fn count(&self) -> usize {
        let states = self.services.values();
        states.filter(|state| state.is_in_force()).count()
    }

    /// Records what an answer states of its endpoint; `None` if it states nothing. Returns whether
    /// the service's limit has changed.
    fn record_answer(&mut self, service: &ServiceName, stated: Option<u32>, now: TimeUs) -> bool {
        let key = short_name(service.as_str());
        let Some(max_refusals_per_s) = stated else {
            let Some(state) = self.services.get_mut(&key) else {
                return false;
            };
            let before = state.limit();
            state.unstated_at_us = Some(now);
            return state.limit() != before;
        };
        let known = self.services.get(&key).copied();
        let state = Brittleness {
            max_refusals_per_s,
            stated_at_us: now,
            unstated_at_us: known.and_then(|state| state.unstated_at_us),
        };
        self.services.insert(key, state);
        state.limit() != known.and_then(|state| state.limit())
    }

    /// Applies what a peer knows of a service. Returns whether the service's limit has changed.
    fn apply_update(&mut self, update: &BrittleUpdate, delay_us: DurationUs, now: TimeUs) -> bool {
        let at = |age_ms: u64| {
            let age_us = age_ms.saturating_mul(1_000).saturating_add(delay_us.get());
            TimeUs::new(now.get().saturating_sub(age_us))
        };
        let reported = Brittleness {
            max_refusals_per_s: update.max_refusals_per_s,
            stated_at_us: at(update.stated_age_ms),
            unstated_at_us: update.unstated_age_ms.map(at),
        };
        let Some(state) = self.services.get_mut(&update.service) else {
            self.services.insert(update.service, reported);
            return reported.limit().is_some();
        };
        let before = state.limit();
        if reported.stated_at_us > state.stated_at_us + MIN_ADVANCE_US {
            state.stated_at_us = reported.stated_at_us;
            state.max_refusals_per_s = reported.max_refusals_per_s;
        }
        let known = state.unstated_at_us.map(|at| at + MIN_ADVANCE_US);
        if reported.unstated_at_us > known {
            state.unstated_at_us = reported.unstated_at_us;
        }
        state.limit() != before
    }

    /// Returns the section for the other daemons; `None` if there is nothing to report.
    pub fn section(&self, now: TimeUs) -> Option<BrittleSection> {
        let age_ms = |at: TimeUs| now.since(at).as_ms();
        let is_recent = |state: &Brittleness| {
            let ended_at = state.unstated_at_us.filter(|_| !state.is_in_force());
            ended_at.is_none_or(|at| now.since(at) < END_GOSSIP_US)
        };
        let recent = self.services.iter().filter(|(_, state)| is_recent(state));
        let services: Vec<BrittleUpdate> = recent
            .map(|(service, state)| BrittleUpdate {
                service: *service,
                max_refusals_per_s: state.max_refusals_per_s,
                stated_age_ms: age_ms(state.stated_at_us),
                unstated_age_ms: state.unstated_at_us.map(age_ms),
            })
            .collect();
        (!services.is_empty()).then_some(BrittleSection { services })
    }
}

impl EndpointTable {
    /// Records what an answer states about the brittleness of its endpoint; `None` if it states
    /// nothing. Returns the endpoint's service if its limit has changed.
    pub fn record_brittleness(
        &mut self,
        endpoint: &EndpointInstance,
        stated: Option<u32>,
        now: TimeUs,
    ) -> Option<ServiceName> {
        let service = self.get(endpoint)?.endpoint.service.clone();
        let is_changed = self.brittle.record_answer(&service, stated, now);
        is_changed.then_some(service)
    }

    /// Applies what a peer knows of brittle services. `delay_us` is how long its message was held up.
    /// Returns the services whose limits have changed.
    ///
    /// Services that aren't configured are passed over: this daemon sends no call there.
    pub fn apply_brittle_services(
        &mut self,
        section: &BrittleSection,
        delay_us: DurationUs,
        now: TimeUs,
    ) -> Vec<ServiceName> {
        let mut changes = Vec::new();
        for update in &section.services {
            let mut services = self.services.iter();
            let service = services.find(|name| short_name(name.as_str()) == update.service);
            let Some(service) = service.cloned() else {
                continue;
            };
            if self.brittle.apply_update(update, delay_us, now) {
                changes.push(service);
            }
        }
        changes
    }

    /// Returns whether an endpoint is brittle.
    pub fn is_brittle(&self, row: &EndpointRow) -> bool {
        let limit = self.brittle.max_refusals_per_s(&row.endpoint.service);
        limit.is_some()
    }

    /// Returns whether an endpoint may have room for a call of this daemon. Only a brittle one may be
    /// known to have none.
    pub fn may_have_room(&self, row: &EndpointRow, now: TimeUs) -> bool {
        let until = self.brittle.no_room_until_us.get(&row.short_name);
        until.is_none_or(|until| *until <= now) || !self.is_brittle(row)
    }

    /// Records that an endpoint had no room for a call of this daemon, or that its lender didn't
    /// answer.
    pub fn record_no_room(&mut self, short_name: u32, has_answered: bool, now: TimeUs) {
        let backoff_us = match has_answered {
            true => NO_ROOM_BACKOFF_US,
            false => NO_ANSWER_BACKOFF_US,
        };
        let no_room_until_us = &mut self.brittle.no_room_until_us;
        no_room_until_us.retain(|_, until| *until > now);
        no_room_until_us.insert(short_name, now + backoff_us);
    }
}

/// Section of a gossip message with the services whose endpoints are brittle.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct BrittleSection {
    /// One update for each service.
    pub services: Vec<BrittleUpdate>,
}

impl SectionContent for BrittleSection {
    const TAG: u8 = 3;
}

/// What the sender knows of the brittleness of a service's endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BrittleUpdate {
    /// Short name of the service.
    pub service: u32,
    /// Calls that an endpoint may refuse in a second without failing.
    pub max_refusals_per_s: u32,
    /// Time since an answer last stated it, in milliseconds.
    pub stated_age_ms: u64,
    /// Time since an answer last arrived that didn't state it, in milliseconds.
    pub unstated_age_ms: Option<u64>,
}
