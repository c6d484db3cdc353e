//! Endpoints and which of their lives each one is in.

use std::collections::{BTreeMap, HashMap, HashSet};

use wisteriahitch_types::{
    DurationUs, EndpointId, EndpointInstance, Incarnation, ModelName, ServiceName, TimeUs,
    WeightNumber,
};
use wisteriahitch_wire::object_store::Revision;
use xxhash_rust::xxh3::xxh3_64;

use super::backlog::Load;
use super::cold_limit::ColdState;
use super::endpoint_admission::{ServiceColdness, SharesAsOf};
use super::endpoint_gossip::PeerLoad;
use super::endpoint_row::{EndpointLife, EndpointRow};
use super::endpoint_statements::EndpointStatements;
use super::evacuated_zones::EvacuatedZones;
use super::leaving_lives::LeavingLives;
use super::link_paces::LinkPaces;
use super::outlier::{Outlier, OutlierOptions};
use super::parts::PartCache;
use crate::site::Endpoint;

/// Time after the store's return within which endpoints that live have registered again.
///
/// Registrations lapse while the store is away. Taken for the end of the endpoint, such a lapse
/// would leave a service without endpoints for seconds; callers would be refused for nothing. The
/// platform promises two seconds; the rest covers the way of the news.
pub(crate) const REGISTER_AGAIN_US: DurationUs = DurationUs::from_ms(2_300);

/// Weights that are taken for the memory of an engine which doesn't say how much it has.
const DEFAULT_MEMORY_TOKENS: u64 = 100_000;

/// Says how much an absence from the store means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Absence {
    /// The store was there all the time: the endpoint has left.
    Left,
    /// The store has just been away: the registration may only have lapsed.
    MayHaveLapsed,
}

/// A registration as the store holds it.
#[derive(Clone, Debug, PartialEq)]
pub enum Registration {
    /// One that can be read.
    Good(Endpoint),
    /// One that can't. Something else than the endpoint may have written it.
    Unreadable(EndpointId, Revision),
}

impl From<Endpoint> for Registration {
    fn from(endpoint: Endpoint) -> Self {
        Registration::Good(endpoint)
    }
}

impl Registration {
    fn id(&self) -> &EndpointId {
        match self {
            Registration::Good(endpoint) => &endpoint.instance.id,
            Registration::Unreadable(id, _) => id,
        }
    }
}

/// A change that the log and the connections need to know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndpointChange {
    /// A new one was seen.
    Seen(EndpointInstance),
    /// This life has ended: another one has registered under its id.
    Ended(EndpointInstance),
    /// One is about to leave.
    Draining(EndpointInstance),
    /// One is gone.
    Gone(EndpointInstance),
    /// One has lapsed.
    Lapsed(EndpointInstance),
    /// The registration of one can't be read.
    Unreadable(EndpointInstance),
    /// Another one has its address.
    Displaced(EndpointInstance),
}

/// All endpoints of the site.
#[derive(Debug, Default)]
pub struct EndpointTable {
    pub(super) rows: BTreeMap<EndpointId, EndpointRow>,
    pub(super) by_short_name: HashMap<u32, EndpointId>,
    pub(super) peer_loads: HashMap<Incarnation, PeerLoad>,
    /// Memory of the engines of each service, from the configuration.
    pub(super) memory_tokens: HashMap<ServiceName, u64>,
    /// Services that the configuration names.
    pub(super) services: HashSet<ServiceName>,
    pub(super) evacuated: EvacuatedZones,
    /// What cold endpoints of each service bear, where the deployment bounds it.
    pub(super) cold_limits: HashMap<ServiceName, ServiceColdness>,
    /// As of when the shares of cold endpoints' permits are known, and from when on those of the newest view may be used.
    pub(super) shares: Option<SharesAsOf>,
    /// How fast parts come over the endpoints' and the stores' links.
    pub links: LinkPaces,
    /// Bounds of ejection.
    pub outlier_options: OutlierOptions,
    /// Time for which an endpoint that has left without a word still gets requests where its
    /// service has no other one. It goes on serving for a while, and a silent outage of the store
    /// that nobody has noticed looks the same.
    pub(super) drain_fallback_us: DurationUs,
    /// Lives that have said in an answer that they leave.
    pub(super) leaving: LeavingLives,
    /// How long a limit that an endpoint names holds, if nobody hears of it again.
    pub(super) limit_life_us: DurationUs,
}

impl EndpointTable {
    /// Takes over how long an endpoint that has left without a word still gets requests where its
    /// service has no other one.
    #[must_use]
    pub fn with_drain_fallback(mut self, drain_fallback_us: DurationUs) -> Self {
        self.drain_fallback_us = drain_fallback_us;
        self
    }

    /// Takes over how long a limit that an endpoint names holds, if nobody hears of it again; until then none does.
    #[must_use]
    pub fn with_limit_life(mut self, limit_life_us: DurationUs) -> Self {
        self.limit_life_us = limit_life_us;
        self
    }

    /// Takes over which services there are, and how much memory the engines of each have.
    pub fn set_services(
        &mut self,
        services: HashSet<ServiceName>,
        memory_tokens: HashMap<ServiceName, u64>,
    ) {
        self.services = services;
        self.memory_tokens = memory_tokens;
    }

    /// Returns whether the configuration names an endpoint's service. A registration with another
    /// one names nothing that can be used or given orders.
    pub fn has_known_service(&self, row: &EndpointRow) -> bool {
        self.services.contains(&row.endpoint.service)
    }

    /// Takes over a whole listing.
    pub fn listed(
        &mut self,
        registrations: Vec<Registration>,
        absence: Absence,
        now: TimeUs,
    ) -> Vec<EndpointChange> {
        let named = registrations.iter().map(|r| r.id().clone());
        let ids: HashSet<EndpointId> = named.collect();
        let mut changes = Vec::new();
        for registration in registrations {
            changes.extend(self.registered(registration, now));
        }
        let is_missing = |id: &&EndpointId| !ids.contains(id);
        let missing: Vec<EndpointId> = self.rows.keys().filter(is_missing).cloned().collect();
        for id in missing {
            changes.extend(self.unregistered(&id, absence, now));
        }
        changes
    }

    /// Takes over a registration.
    ///
    /// Of two registrations of one id the one with the higher revision is the newer one. Their starts
    /// don't say: a clock that was set back before a restart gives the later life the earlier start, and
    /// ordered by starts it would be shut out for good.
    pub fn registered(
        &mut self,
        registration: impl Into<Registration>,
        now: TimeUs,
    ) -> Vec<EndpointChange> {
        let endpoint = match registration.into() {
            Registration::Good(endpoint) => endpoint,
            Registration::Unreadable(id, revision) => return self.unreadable(&id, revision),
        };
        let id = endpoint.instance.id.clone();
        let Some(row) = self.rows.get(&id) else {
            return self.begin(endpoint, now);
        };
        if endpoint.revision < row.endpoint.revision {
            return Vec::new();
        }
        let known = row.instance();
        if known.start.is_some() && endpoint.instance.start.is_none() {
            // Where starts are told all registrations tell them; somebody else has written this one.
            return self.unreadable(&id, endpoint.revision);
        }
        match *known == endpoint.instance {
            true => self.renewed(endpoint, now),
            false => self.restarted(endpoint, now),
        }
    }

    /// Takes over a registration of the life that is known.
    fn renewed(&mut self, endpoint: Endpoint, now: TimeUs) -> Vec<EndpointChange> {
        let instance = endpoint.instance.clone();
        let life = self.life_of(&endpoint);
        let limit = self.cold_limits.get(&endpoint.service);
        let Some(row) = self.rows.get_mut(&instance.id) else {
            return Vec::new();
        };
        if endpoint.revision > row.endpoint.revision {
            let until_us = now + endpoint.remaining_cold_us;
            row.cold.turn(limit.map(|cold| &cold.limit), now, |cold| {
                cold.told_until(until_us);
            });
            row.is_displaced = false;
        }
        let was = row.life;
        // An endpoint that has announced its leaving doesn't come back in the same life; a
        // registration that says so is an old one.
        if was != EndpointLife::Draining {
            row.life = life;
        }
        let has_moved = endpoint.address != row.endpoint.address;
        let told = endpoint.weights.clone();
        let known = std::mem::take(&mut row.endpoint.weights);
        row.endpoint = endpoint;
        row.endpoint.weights = known;
        for (model, version) in told {
            self.saw_weights(&instance, &model, version);
        }
        let mut changes = Vec::new();
        if has_moved {
            changes.extend(self.claim_address(&instance));
        }
        if life == EndpointLife::Draining && was != EndpointLife::Draining {
            changes.push(EndpointChange::Draining(instance));
        }
        changes
    }

    /// Replaces all that is believed of one life by what the next one says of itself.
    ///
    /// The new process holds and knows nothing. Without this, calls would be sent to it for parts that
    /// it doesn't keep, or none at all because the life before had said that it leaves.
    fn restarted(&mut self, endpoint: Endpoint, now: TimeUs) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        if let Some(before) = self.remove(&endpoint.instance.id) {
            self.links.forget(before.endpoint.address);
            changes.push(EndpointChange::Ended(before.endpoint.instance));
        }
        changes.extend(self.begin(endpoint, now));
        changes
    }

    /// Takes in a life that wasn't known.
    fn begin(&mut self, endpoint: Endpoint, now: TimeUs) -> Vec<EndpointChange> {
        let instance = endpoint.instance.clone();
        let life = self.life_of(&endpoint);
        self.insert(endpoint, life, now);
        let mut changes = vec![EndpointChange::Seen(instance.clone())];
        changes.extend(self.claim_address(&instance));
        changes
    }

    /// Notes that a registration can't be read.
    fn unreadable(&mut self, id: &EndpointId, revision: Revision) -> Vec<EndpointChange> {
        let Some(row) = self.rows.get_mut(id) else {
            return Vec::new();
        };
        if revision < row.endpoint.revision {
            return Vec::new();
        }
        row.endpoint.revision = revision;
        if !row.takes_requests() {
            return Vec::new();
        }
        row.life = EndpointLife::Unreadable;
        let instance = row.endpoint.instance.clone();
        self.release_address(&instance);
        vec![EndpointChange::Unreadable(instance)]
    }

    /// Notes that a registration is gone.
    pub fn unregistered(
        &mut self,
        id: &EndpointId,
        absence: Absence,
        now: TimeUs,
    ) -> Option<EndpointChange> {
        let row = self.rows.get_mut(id)?;
        match row.life {
            EndpointLife::Ready => {
                let grace = match absence {
                    Absence::Left => self.drain_fallback_us,
                    Absence::MayHaveLapsed => REGISTER_AGAIN_US,
                };
                row.life = EndpointLife::Lapsed(now + grace);
                Some(EndpointChange::Lapsed(row.endpoint.instance.clone()))
            }
            EndpointLife::Lapsed(_) => None,
            EndpointLife::Draining | EndpointLife::Unreadable => {
                let row = self.remove(id)?;
                Some(EndpointChange::Gone(row.endpoint.instance))
            }
        }
    }

    /// Notes that an endpoint refused a call as meant for somebody else, and who is at its address.
    ///
    /// The answer shows what registrations only claim: who isn't there gets no more calls, and who is
    /// there gets them again if another registration had claimed its address.
    pub fn misdirected(
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
        let there = self.rows.get_mut(found);
        if let Some(there) = there.filter(|there| there.endpoint.address == address) {
            there.is_displaced = false;
        }
        (!was_displaced).then(|| EndpointChange::Displaced(instance.clone()))
    }

    /// Returns whether this life is known to have ended: another one has registered under its id.
    pub fn has_ended(&self, instance: &EndpointInstance) -> bool {
        let row = self.rows.get(&instance.id);
        row.is_some_and(|row| row.instance() != instance)
    }

    /// Removes endpoints whose registration lapsed and didn't come back, and old news of peers.
    pub fn tick(&mut self, now: TimeUs) -> Vec<EndpointChange> {
        self.links.tick(now);
        let is_over =
            |row: &EndpointRow| matches!(row.life, EndpointLife::Lapsed(until) if until <= now);
        let over: Vec<EndpointId> = self
            .rows
            .iter()
            .filter(|(_, row)| is_over(row))
            .map(|(id, _)| id.clone())
            .collect();
        let gone: Vec<EndpointChange> = over
            .iter()
            .filter_map(|id| self.remove(id))
            .map(|row| EndpointChange::Gone(row.endpoint.instance))
            .collect();
        self.forget_silent_peers(now);
        let by_short_name = &self.by_short_name;
        self.leaving
            .tick(|life| by_short_name.contains_key(&life), now);
        gone
    }

    /// Notes the weights that an endpoint was seen with; they never go back within its life.
    pub fn saw_weights(
        &mut self,
        instance: &EndpointInstance,
        model: &ModelName,
        version: WeightNumber,
    ) {
        let Some(row) = self.get_mut(instance) else {
            return;
        };
        let known = row.endpoint.weights.entry(model.clone()).or_default();
        if version > *known {
            *known = version;
            row.parts.clear();
        }
    }

    /// Returns an endpoint, if it is still in this life: what is learnt late of one life must not
    /// touch the next.
    pub fn get(&self, instance: &EndpointInstance) -> Option<&EndpointRow> {
        let row = self.rows.get(&instance.id)?;
        (row.instance() == instance).then_some(row)
    }

    /// Returns an endpoint to change, if it is still in this life.
    pub fn get_mut(&mut self, instance: &EndpointInstance) -> Option<&mut EndpointRow> {
        let row = self.rows.get_mut(&instance.id)?;
        (*row.instance() == *instance).then_some(row)
    }

    /// Returns an endpoint, whichever life it is in.
    pub fn by_id(&self, id: &EndpointId) -> Option<&EndpointRow> {
        self.rows.get(id)
    }

    /// Lists all endpoints in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRow> {
        self.rows.values()
    }

    /// Counts endpoints by life, for the metrics.
    pub fn count_by_life(&self) -> [(&'static str, usize); 4] {
        let count =
            |is: fn(&EndpointLife) -> bool| self.rows.values().filter(|row| is(&row.life)).count();
        [
            ("ready", count(|life| *life == EndpointLife::Ready)),
            ("draining", count(|life| *life == EndpointLife::Draining)),
            (
                "lapsed",
                count(|life| matches!(life, EndpointLife::Lapsed(_))),
            ),
            (
                "unreadable",
                count(|life| *life == EndpointLife::Unreadable),
            ),
        ]
    }

    /// Returns how many endpoints there are.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn insert(&mut self, endpoint: Endpoint, life: EndpointLife, now: TimeUs) {
        let short_name = life_name(&endpoint.instance);
        let memory = self.memory_tokens.get(&endpoint.service).copied();
        let mut peers = Load::default();
        for told in self.peer_loads.values() {
            if let Some(load) = told.loads.get(&short_name) {
                peers.add(*load);
            }
        }
        let id = endpoint.instance.id.clone();
        self.by_short_name.insert(short_name, id.clone());
        let row = EndpointRow {
            cold: ColdState::until(now + endpoint.remaining_cold_us),
            endpoint,
            life,
            is_displaced: false,
            own: Load::default(),
            peers,
            told: None,
            outlier: Outlier::default(),
            parts: PartCache::new(memory.unwrap_or(DEFAULT_MEMORY_TOKENS)),
            followed_until_us: TimeUs::ZERO,
            unreachable_until_us: TimeUs::ZERO,
            weighed_until_us: TimeUs::ZERO,
            suspected_until_us: TimeUs::ZERO,
            reserved_until_us: TimeUs::ZERO,
            statements: EndpointStatements::default(),
            short_name,
        };
        self.rows.insert(id, row);
    }

    fn remove(&mut self, id: &EndpointId) -> Option<EndpointRow> {
        let instance = self.rows.get(id)?.instance().clone();
        self.release_address(&instance);
        let row = self.rows.remove(id)?;
        self.by_short_name.remove(&row.short_name);
        Some(row)
    }

    /// Takes the address of an endpoint that has just been seen there from the others that registered
    /// before it, or from itself where another one registered later.
    ///
    /// Addresses are used again soon after a crash, and the registration of the one that crashed stays
    /// for some heartbeats. One with an unknown service claims nothing: nobody would ever find out by
    /// a call whether it is there.
    fn claim_address(&mut self, instance: &EndpointInstance) -> Vec<EndpointChange> {
        let Some(row) = self.get(instance) else {
            return Vec::new();
        };
        if !self.has_known_service(row) || !row.takes_requests() {
            return Vec::new();
        }
        let (address, revision) = (row.endpoint.address, row.endpoint.revision);
        let others = self.rows.values_mut().filter(|row| {
            row.endpoint.address == address && row.instance() != instance && !row.is_displaced
        });
        let mut changes = Vec::new();
        let mut is_late = false;
        for row in others {
            if row.takes_requests() && row.endpoint.revision > revision {
                is_late = true;
                continue;
            }
            row.is_displaced = true;
            changes.push(EndpointChange::Displaced(row.endpoint.instance.clone()));
        }
        if let Some(row) = self.get_mut(instance).filter(|_| is_late) {
            row.is_displaced = true;
            changes.push(EndpointChange::Displaced(instance.clone()));
        }
        changes
    }

    /// Gives the address of an endpoint that is no longer used back to others that name it.
    fn release_address(&mut self, instance: &EndpointInstance) {
        let Some(address) = self.by_id(&instance.id).map(|row| row.endpoint.address) else {
            return;
        };
        let gains =
            |row: &&mut EndpointRow| row.endpoint.address == address && row.instance() != instance;
        for row in self.rows.values_mut().filter(gains) {
            row.is_displaced = false;
        }
    }

    /// Returns whether an endpoint gets new calls, by its registration and by what it has said in answers.
    fn life_of(&self, endpoint: &Endpoint) -> EndpointLife {
        let has_said_so = self.leaving.contains(life_name(&endpoint.instance));
        match endpoint.is_draining || has_said_so {
            true => EndpointLife::Draining,
            false => EndpointLife::Ready,
        }
    }

    pub(super) fn row_by_short_name(&mut self, short_name: u32) -> Option<&mut EndpointRow> {
        let id = self.by_short_name.get(&short_name)?;
        self.rows.get_mut(id)
    }
}

/// Returns the short name of one life of an endpoint.
pub(crate) fn life_name(instance: &EndpointInstance) -> u32 {
    short_name(&instance.to_string())
}

/// Returns the short name under which daemons tell each other of something.
///
/// Two things with the same one would share their load; with some thousand names that happens in
/// one fleet of some thousand, and costs a little balance.
pub(crate) fn short_name(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) >> u32::BITS) as u32
}
