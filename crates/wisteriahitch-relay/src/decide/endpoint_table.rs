//! The endpoints of a site, and the state of each.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use wisteriahitch_types::{
    DurationUs, EndpointId, EndpointInstance, Incarnation, ModelName, ServiceName, SoftwareVersion,
    TimeUs, WeightNumber,
};
use wisteriahitch_wire::object_store::{Revision, StoreEpoch};
use xxhash_rust::xxh3::xxh3_64;

use super::backlog::Load;
use super::brittle_services::BrittleServices;
use super::cold_limit::ColdState;
use super::departed_endpoints::DepartedEndpoints;
use super::endpoint_admission::{ServiceColdLimit, ShareTimes};
use super::endpoint_gossip::PeerReport;
use super::endpoint_pace::EndpointPace;
use super::endpoint_row::{EndpointRow, EndpointState};
use super::endpoint_statements::EndpointStatements;
use super::engine_rates::{EngineRates, PaceLesson, ServicePace};
use super::evacuated_zones::EvacuatedZones;
use super::leaving_instances::LeavingInstances;
use super::link_slowdowns::LinkSlowdowns;
use super::outlier::{OutlierDetector, OutlierOptions};
use super::parts::PartCache;
use super::rates_section::RatesSection;
use super::room_lending::EndpointRoom;
use super::shared_names::SharedNames;
use super::software_versions::SoftwareVersions;
use super::store_outages::AbsenceCause;
use crate::site::Endpoint;

/// Memory, in tokens, assumed for an engine that reports none.
const DEFAULT_MEMORY_TOKENS: u64 = 100_000;

/// How long a software version is remembered after its last endpoint was removed.
const SOFTWARE_RETENTION_US: DurationUs = DurationUs::from_ms(60_000);

/// A registration as read from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Registration {
    /// A registration that can be parsed.
    Valid(Endpoint),
    /// A registration that can't be parsed, by id and revision. It may not have been written by the
    /// endpoint.
    Unreadable(EndpointId, Revision),
}

impl From<Endpoint> for Registration {
    fn from(endpoint: Endpoint) -> Self {
        Registration::Valid(endpoint)
    }
}

impl Registration {
    fn id(&self) -> &EndpointId {
        match self {
            Registration::Valid(endpoint) => &endpoint.instance.id,
            Registration::Unreadable(id, _) => id,
        }
    }
}

/// A change of an endpoint, for the log and the connections.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndpointChange {
    /// A new endpoint instance has registered.
    Added(EndpointInstance),
    /// The instance has ended: another one has registered under its id.
    Ended(EndpointInstance),
    /// The endpoint is about to leave.
    Draining(EndpointInstance),
    /// The endpoint was removed from the table.
    Removed(EndpointInstance),
    /// The registration is missing; the endpoint is removed if it doesn't come back.
    Lapsed(EndpointInstance),
    /// The registration can't be parsed.
    Unreadable(EndpointInstance),
    /// A restored copy of the store has the registration of the instance, which has left; it isn't
    /// believed yet.
    HeldBack(EndpointInstance),
    /// Another endpoint has its address.
    Displaced(EndpointInstance),
}

/// All endpoints of a site.
#[derive(Debug, Default)]
pub struct EndpointTable {
    /// Boxed, because the nodes of the map are up to half empty.
    pub(super) rows: BTreeMap<EndpointId, Box<EndpointRow>>,
    pub(super) by_short_name: HashMap<u32, EndpointId>,
    /// Endpoints that are registered at each address; after a crash there may be several.
    pub(super) by_address: HashMap<SocketAddr, Vec<EndpointId>>,
    pub(super) peer_reports: HashMap<Incarnation, PeerReport>,
    /// Memory of the engines of each service in tokens, from the configuration.
    pub(super) memory_tokens: HashMap<ServiceName, u64>,
    /// Services in the configuration.
    pub(super) services: HashSet<ServiceName>,
    /// Whether load is managed, so that parts are fetched from the engines that used them last, and
    /// only changes of shared parts are gossiped.
    pub(super) manages_load: bool,
    pub(super) evacuated: EvacuatedZones,
    /// Limits of cold endpoints by service, where the deployment sets one.
    pub(super) cold_limits: HashMap<ServiceName, ServiceColdLimit>,
    /// When the permit shares of the rows were last updated; `None` before the first update.
    pub(super) shares: Option<ShareTimes>,
    /// Throughput of the links over which endpoints and part stores send parts.
    pub links: LinkSlowdowns,
    /// What the endpoints of each service can do.
    pub rates: EngineRates,
    /// Options of outlier ejection.
    pub outlier_options: OutlierOptions,
    /// How long an endpoint that left without announcing it still gets requests if its service has
    /// no other endpoint. It goes on serving for a while, and an outage of the store that went
    /// unnoticed looks the same. One that announced it still takes resumed streams for as long.
    pub(super) drain_fallback_us: DurationUs,
    /// Endpoints that have left, and registrations that a restored copy of the store brought back.
    departed: DepartedEndpoints,
    /// Instances that have announced their leaving in an answer.
    pub(super) leaving: LeavingInstances,
    /// Services whose endpoints are brittle.
    pub(super) brittle: BrittleServices,
    /// How long a limit that an endpoint names stays in force without being repeated.
    pub(super) limit_ttl_us: DurationUs,
    /// Until when endpoints that have announced their leaving still take streams that no other
    /// endpoint may resume, by short name.
    resumable_until_us: HashMap<u32, TimeUs>,
    /// Software versions of the endpoints.
    pub(super) software: SoftwareVersions,
    names: SharedNames,
}

impl EndpointTable {
    /// Records how long an answer of an endpoint took whose placement had this lesson. Returns the
    /// service and what its endpoints can do; `None` if nothing was learned.
    pub fn record_answer_time(
        &mut self,
        endpoint: &EndpointInstance,
        lesson: PaceLesson,
        elapsed_us: DurationUs,
        now: TimeUs,
    ) -> Option<(ServiceName, ServicePace)> {
        let row = self.get_mut(endpoint)?;
        let (service, reported) = (row.endpoint.service.clone(), row.reported_factor(now));
        let elapsed_ms = elapsed_us.as_secs_f64() * 1_000.0;
        let ratio = self.rates.record(&service, lesson, elapsed_ms, reported)?;
        self.get_mut(endpoint)?.pace.record(ratio, now);
        let pace = self.rates.pace(&service, None);
        Some((service, pace))
    }

    /// Applies the rates that a peer reports. Returns the number of updates with figures out of
    /// range, which are dropped.
    pub fn apply_rates(&mut self, section: &RatesSection) -> usize {
        let known: HashSet<u32> = self
            .services
            .iter()
            .map(|service| short_name(service.as_str()))
            .collect();
        self.rates
            .apply(section, |service| known.contains(&service))
    }

    /// Sets how long an endpoint that left without announcing it still gets requests if its service
    /// has no other endpoint.
    #[must_use]
    pub fn with_drain_fallback(mut self, drain_fallback_us: DurationUs) -> Self {
        self.drain_fallback_us = drain_fallback_us;
        self
    }

    /// Sets the time within which the entry of an endpoint that is gone lapses in a store that has
    /// returned.
    #[must_use]
    pub fn with_registration_lapse(mut self, lapse_us: DurationUs) -> Self {
        self.departed.set_lapse(lapse_us);
        self
    }

    /// Sets how long a limit that an endpoint names stays in force without being repeated. The
    /// default of zero ignores all limits.
    #[must_use]
    pub fn with_limit_ttl(mut self, limit_ttl_us: DurationUs) -> Self {
        self.limit_ttl_us = limit_ttl_us;
        self
    }

    /// Sets the services in the configuration, and the memory of each service's engines in tokens.
    pub fn set_services(
        &mut self,
        services: HashSet<ServiceName>,
        memory_tokens: HashMap<ServiceName, u64>,
    ) {
        self.services = services;
        self.memory_tokens = memory_tokens;
    }

    /// Returns what is known of services whose endpoints are brittle.
    pub fn brittle_services(&self) -> &BrittleServices {
        &self.brittle
    }

    /// Returns what an endpoint of a brittle service can take; `None` for any other endpoint.
    pub fn brittle_room(&self, instance: &EndpointInstance) -> Option<EndpointRoom> {
        let row = self.get(instance)?;
        let service = &row.endpoint.service;
        let max_refusals_per_s = self.brittle.max_refusals_per_s(service)?;
        let mut reported = row.own_load;
        reported.add(row.peers_load);
        Some(EndpointRoom {
            slots: row.endpoint.slots,
            memory_tokens: self.memory_tokens.get(service).copied(),
            max_refusals_per_s,
            reported,
        })
    }

    /// Returns the instance with a short name.
    pub fn by_short_name(&self, short_name: u32) -> Option<&EndpointInstance> {
        let id = self.by_short_name.get(&short_name)?;
        self.rows.get(id).map(|row| row.instance())
    }

    /// Sets whether load is managed.
    pub fn set_load_managed(&mut self, is_managed: bool) {
        self.manages_load = is_managed;
        self.links.count_short_fetches(is_managed);
    }

    /// Returns whether load is managed.
    pub fn manages_load(&self) -> bool {
        self.manages_load
    }

    /// Returns whether the configuration has the endpoint's service. An endpoint of an unknown
    /// service can't be used or get orders.
    pub fn has_known_service(&self, row: &EndpointRow) -> bool {
        self.services.contains(&row.endpoint.service)
    }

    /// Applies a complete listing of registrations.
    pub fn apply_listing(
        &mut self,
        registrations: Vec<Registration>,
        absence: AbsenceCause,
        now: TimeUs,
    ) -> Vec<EndpointChange> {
        let named = registrations.iter().map(|r| r.id().clone());
        let ids: HashSet<EndpointId> = named.collect();
        let mut changes = Vec::new();
        for registration in registrations {
            changes.extend(self.apply_registration(registration, now));
        }
        self.departed.retain_held_back(|id| ids.contains(id));
        let is_missing = |id: &&EndpointId| !ids.contains(id);
        let missing: Vec<EndpointId> = self.rows.keys().filter(is_missing).cloned().collect();
        for id in missing {
            changes.extend(self.apply_unregistration(&id, absence, now));
        }
        changes
    }

    /// Applies a registration.
    ///
    /// Of two registrations of one id the one with the higher revision is the newer one. Their
    /// starts don't give the order: if the clock was set back before a restart, the later instance
    /// has the earlier start, and ordered by starts it would be ignored for good.
    pub fn apply_registration(
        &mut self,
        registration: impl Into<Registration>,
        now: TimeUs,
    ) -> Vec<EndpointChange> {
        let mut endpoint = match registration.into() {
            Registration::Valid(endpoint) => endpoint,
            Registration::Unreadable(id, revision) => return self.mark_unreadable(&id, revision),
        };
        self.names.share(&mut endpoint);
        let id = endpoint.instance.id.clone();
        if self.departed.hold_back(&endpoint, now) {
            return vec![EndpointChange::HeldBack(endpoint.instance)];
        }
        let Some(row) = self.rows.get(&id) else {
            self.departed.forget(&id);
            return self.add(endpoint, now);
        };
        if endpoint.revision < row.endpoint.revision {
            return Vec::new();
        }
        let known = row.instance();
        if endpoint.revision.may_restore(row.endpoint.revision)
            && endpoint.instance.start < known.start
        {
            // A restored copy has the registration of the instance before this one.
            return Vec::new();
        }
        self.departed.forget(&id);
        if known.start.is_some() && endpoint.instance.start.is_none() {
            // An endpoint that has reported its start always does, so this registration was written
            // by something else.
            return self.mark_unreadable(&id, endpoint.revision);
        }
        match *known == endpoint.instance {
            true => self.renew(endpoint, now),
            false => self.replace_restarted(endpoint, now),
        }
    }

    /// Applies a new registration of a known instance.
    fn renew(&mut self, endpoint: Endpoint, now: TimeUs) -> Vec<EndpointChange> {
        let instance = endpoint.instance.clone();
        if let Some(row) = self.rows.get(&instance.id) {
            let known = &row.endpoint;
            self.software.add(&endpoint.service, &endpoint.software);
            self.software.remove(&known.service, &known.software, now);
        }
        let state = self.state_of(&endpoint);
        let limit = self.cold_limits.get(&endpoint.service);
        let Some(row) = self.rows.get_mut(&instance.id) else {
            return Vec::new();
        };
        let is_newer = endpoint.revision > row.endpoint.revision;
        // What a restored copy brings back was known before.
        if is_newer && !endpoint.revision.may_restore(row.endpoint.revision) {
            let until_us = now + endpoint.remaining_cold_us;
            row.cold
                .apply_change(limit.map(|cold| &cold.limit), now, |cold| {
                    cold.set_reported_until(until_us);
                });
            row.is_displaced = false;
        }
        let previous_state = row.state;
        // An endpoint that has announced its leaving doesn't become ready again without a restart;
        // a registration that says so is outdated.
        if previous_state != EndpointState::Draining {
            row.state = state;
        }
        let previous_address = row.endpoint.address;
        let has_moved = endpoint.address != previous_address;
        let reported_weights = endpoint.weights.clone();
        let known = std::mem::take(&mut row.endpoint.weights);
        row.endpoint = endpoint;
        row.endpoint.weights = known;
        for (model, version) in reported_weights.iter() {
            self.record_weights(&instance, model, version);
        }
        let mut changes = Vec::new();
        if has_moved {
            self.forget_address(previous_address, &instance.id);
            self.record_address(&instance);
            changes.extend(self.claim_address(&instance));
        }
        if state == EndpointState::Draining && previous_state == EndpointState::Ready {
            self.keep_for_resumed(instance_short_name(&instance), now);
        }
        if state == EndpointState::Draining && previous_state != EndpointState::Draining {
            changes.push(EndpointChange::Draining(instance));
        }
        changes
    }

    /// Replaces an instance by the one that has registered after it under the same id.
    ///
    /// The new process has cached nothing. If the row were kept, calls would be sent to it for
    /// parts that it doesn't have, or it would get none because the previous instance had announced
    /// its leaving.
    fn replace_restarted(&mut self, endpoint: Endpoint, now: TimeUs) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        if let Some(before) = self.remove(&endpoint.instance.id, now) {
            self.links.remove(before.endpoint.address);
            changes.push(EndpointChange::Ended(before.endpoint.instance));
        }
        changes.extend(self.add(endpoint, now));
        changes
    }

    /// Adds an instance that isn't in the table.
    fn add(&mut self, endpoint: Endpoint, now: TimeUs) -> Vec<EndpointChange> {
        let instance = endpoint.instance.clone();
        let state = self.state_of(&endpoint);
        self.insert(endpoint, state, now);
        self.record_address(&instance);
        let mut changes = vec![EndpointChange::Added(instance.clone())];
        changes.extend(self.claim_address(&instance));
        changes
    }

    /// Records that a registration can't be parsed.
    fn mark_unreadable(&mut self, id: &EndpointId, revision: Revision) -> Vec<EndpointChange> {
        let Some(row) = self.rows.get_mut(id) else {
            return Vec::new();
        };
        if revision < row.endpoint.revision {
            return Vec::new();
        }
        row.endpoint.revision = revision;
        if !row.accepts_requests() {
            return Vec::new();
        }
        row.state = EndpointState::Unreadable;
        let instance = row.endpoint.instance.clone();
        self.release_address(&instance);
        vec![EndpointChange::Unreadable(instance)]
    }

    /// Records that a registration is missing from the store.
    pub fn apply_unregistration(
        &mut self,
        id: &EndpointId,
        absence: AbsenceCause,
        now: TimeUs,
    ) -> Option<EndpointChange> {
        self.departed.retain_held_back(|held_back| held_back != id);
        let row = self.rows.get_mut(id)?;
        match row.state {
            EndpointState::Ready => {
                if absence == AbsenceCause::Left {
                    let endpoint = &row.endpoint;
                    self.departed
                        .record(&endpoint.instance, endpoint.revision, now);
                }
                let left_until_us = now + self.drain_fallback_us;
                let until_us = match absence {
                    AbsenceCause::Left => left_until_us,
                    AbsenceCause::MayHaveLapsed { until_us } => until_us.max(left_until_us),
                };
                row.state = EndpointState::Lapsed(until_us);
                Some(EndpointChange::Lapsed(row.endpoint.instance.clone()))
            }
            EndpointState::Lapsed(_) => None,
            EndpointState::Draining | EndpointState::Unreadable => self.remove_departed(id, now),
        }
    }

    /// Records that an endpoint refused a call as misdirected, because the endpoint `found` is at
    /// its address.
    ///
    /// The answer is better evidence than a registration: the endpoint that isn't there gets no
    /// more calls, and the one that is gets them again if another registration had claimed its
    /// address.
    pub fn record_misdirection(
        &mut self,
        instance: &EndpointInstance,
        found: &EndpointId,
    ) -> Option<EndpointChange> {
        if instance.id == *found {
            return None;
        }
        let row = self.get_mut(instance)?;
        let address = row.endpoint.address;
        let was_displaced = std::mem::replace(&mut row.is_displaced, true);
        let occupant = self.rows.get_mut(found);
        if let Some(occupant) = occupant.filter(|occupant| occupant.endpoint.address == address) {
            occupant.is_displaced = false;
        }
        (!was_displaced).then(|| EndpointChange::Displaced(instance.clone()))
    }

    /// Returns whether another instance has registered under this one's id.
    pub fn has_ended(&self, instance: &EndpointInstance) -> bool {
        let row = self.rows.get(&instance.id);
        row.is_some_and(|row| row.instance() != instance)
    }

    /// Removes endpoints whose registration lapsed and didn't come back, and expired reports of
    /// peers.
    pub fn tick(&mut self, now: TimeUs) -> Vec<EndpointChange> {
        self.links.prune(now);
        let has_lapsed =
            |row: &EndpointRow| matches!(row.state, EndpointState::Lapsed(until) if until <= now);
        let lapsed: Vec<EndpointId> = self
            .rows
            .iter()
            .filter(|(_, row)| has_lapsed(row))
            .map(|(id, _)| id.clone())
            .collect();
        let removed: Vec<EndpointChange> = lapsed
            .iter()
            .filter_map(|id| self.remove_departed(id, now))
            .collect();
        self.departed.prune(now);
        self.prune_silent_peers(now);
        self.resumable_until_us.retain(|_, until| *until > now);
        self.software.prune(SOFTWARE_RETENTION_US, now);
        let by_short_name = &self.by_short_name;
        self.leaving
            .tick(|instance| by_short_name.contains_key(&instance), now);
        removed
    }

    /// Records the store's latest epoch. Must be called before applying registrations of it.
    pub fn set_store_epoch(&mut self, epoch: StoreEpoch) {
        self.departed.set_epoch(epoch);
    }

    /// Adds endpoints whose registrations a restored copy brought back and that haven't lapsed in time.
    /// All registrations are known as of `as_of`.
    pub fn admit_held_back(&mut self, as_of: TimeUs, now: TimeUs) -> Vec<EndpointChange> {
        let confirmed = self.departed.take_confirmed(as_of).into_iter();
        confirmed
            .flat_map(|endpoint| self.apply_registration(endpoint, now))
            .collect()
    }

    /// Records the version of the weights that an endpoint has for a model. Versions never decrease
    /// within an instance. New weights invalidate all cached parts.
    pub fn record_weights(
        &mut self,
        instance: &EndpointInstance,
        model: &ModelName,
        version: WeightNumber,
    ) {
        let Some(row) = self.get_mut(instance) else {
            return;
        };
        if row.endpoint.weights.raise(model, version) {
            row.parts.clear();
        }
    }

    /// Returns the row of an endpoint if it is still this instance, so that late information about
    /// one instance never reaches the next.
    pub fn get(&self, instance: &EndpointInstance) -> Option<&EndpointRow> {
        let row = self.rows.get(&instance.id)?;
        (row.instance() == instance).then_some(row)
    }

    /// Returns the row of an endpoint for changes if it is still this instance.
    pub fn get_mut(&mut self, instance: &EndpointInstance) -> Option<&mut EndpointRow> {
        let row = self.rows.get_mut(&instance.id)?;
        (*row.instance() == *instance).then_some(row)
    }

    /// Lets an endpoint that was ready until it announced its leaving take resumed streams for a
    /// while. If it was not, its announcement may be old.
    pub(super) fn keep_for_resumed(&mut self, short_name: u32, now: TimeUs) {
        let until_us = now + self.drain_fallback_us;
        self.resumable_until_us.insert(short_name, until_us);
    }

    /// Returns whether an endpoint, which has announced its leaving, may still take a stream that no
    /// other endpoint may resume.
    pub fn accepts_resumed(&self, row: &EndpointRow, now: TimeUs) -> bool {
        let until_us = self.resumable_until_us.get(&row.short_name);
        row.state == EndpointState::Draining && until_us.is_some_and(|until_us| now < *until_us)
    }

    /// Returns the row of an endpoint, whichever instance it is.
    pub fn by_id(&self, id: &EndpointId) -> Option<&EndpointRow> {
        self.rows.get(id).map(Box::as_ref)
    }

    /// Lists all endpoints in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRow> {
        self.rows.values().map(Box::as_ref)
    }

    /// Counts the endpoints by state, for the metrics.
    pub fn count_by_state(&self) -> [(&'static str, usize); 4] {
        let count = |is: fn(&EndpointState) -> bool| {
            self.rows.values().filter(|row| is(&row.state)).count()
        };
        [
            ("ready", count(|state| *state == EndpointState::Ready)),
            ("draining", count(|state| *state == EndpointState::Draining)),
            (
                "lapsed",
                count(|state| matches!(state, EndpointState::Lapsed(_))),
            ),
            (
                "unreadable",
                count(|state| *state == EndpointState::Unreadable),
            ),
        ]
    }

    /// Lists the software versions that endpoints of a service have, or had at `since` or later,
    /// whether they take calls or not. `since` may be up to a minute ago.
    pub fn software_in_use(
        &self,
        service: &ServiceName,
        since: TimeUs,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        self.software.in_use_since(service, since)
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn insert(&mut self, endpoint: Endpoint, state: EndpointState, now: TimeUs) {
        self.software.add(&endpoint.service, &endpoint.software);
        let short_name = instance_short_name(&endpoint.instance);
        let memory = self.memory_tokens.get(&endpoint.service).copied();
        let mut peers_load = Load::default();
        for report in self.peer_reports.values() {
            if let Some(load) = report.loads.get(&short_name) {
                peers_load.add(*load);
            }
        }
        let id = endpoint.instance.id.clone();
        self.by_short_name.insert(short_name, id.clone());
        let row = EndpointRow {
            cold: ColdState::cold_until(now + endpoint.remaining_cold_us),
            endpoint,
            state,
            is_displaced: false,
            own_load: Load::default(),
            unsent_load: Load::default(),
            peers_load,
            reported_load: None,
            pace: EndpointPace::default(),
            outlier: OutlierDetector::default(),
            parts: PartCache::new(memory.unwrap_or(DEFAULT_MEMORY_TOKENS)),
            parts_tracked_until_us: TimeUs::ZERO,
            unreachable_until_us: TimeUs::ZERO,
            corroborated_until_us: TimeUs::ZERO,
            suspected_until_us: TimeUs::ZERO,
            reserved_until_us: TimeUs::ZERO,
            statements: EndpointStatements::default(),
            short_name,
        };
        self.rows.insert(id, Box::new(row));
    }

    fn remove(&mut self, id: &EndpointId, now: TimeUs) -> Option<Box<EndpointRow>> {
        let instance = self.rows.get(id)?.instance().clone();
        self.release_address(&instance);
        let row = self.rows.remove(id)?;
        let (service, version) = (&row.endpoint.service, &row.endpoint.software);
        self.software.remove(service, version, now);
        self.by_short_name.remove(&row.short_name);
        self.forget_address(row.endpoint.address, id);
        Some(row)
    }

    /// Removes an endpoint that has left.
    fn remove_departed(&mut self, id: &EndpointId, now: TimeUs) -> Option<EndpointChange> {
        let endpoint = self.remove(id, now)?.endpoint;
        self.departed
            .record(&endpoint.instance, endpoint.revision, now);
        Some(EndpointChange::Removed(endpoint.instance))
    }

    /// Returns the state of an endpoint, from its registration and from what it has announced in
    /// answers.
    fn state_of(&self, endpoint: &Endpoint) -> EndpointState {
        let has_announced_leaving = self
            .leaving
            .contains(instance_short_name(&endpoint.instance));
        match endpoint.is_draining || has_announced_leaving {
            true => EndpointState::Draining,
            false => EndpointState::Ready,
        }
    }

    pub(super) fn row_by_short_name(&mut self, short_name: u32) -> Option<&mut EndpointRow> {
        let id = self.by_short_name.get(&short_name)?;
        self.rows.get_mut(id).map(Box::as_mut)
    }
}

/// Returns the short name of an endpoint instance.
pub(crate) fn instance_short_name(instance: &EndpointInstance) -> u32 {
    short_name(&instance.to_string())
}

/// Returns the hash that names an endpoint or a store in messages between daemons.
///
/// Two names with the same hash would share their load. With some thousand names that happens in
/// one fleet out of some thousand, and makes the balance slightly worse.
pub(crate) fn short_name(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) >> u32::BITS) as u32
}
