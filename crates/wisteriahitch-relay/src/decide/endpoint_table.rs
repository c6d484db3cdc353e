//! Endpoints and which of their lives each one is in.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use wisteriahitch_types::{
    AvailabilityZone, DurationUs, EndpointId, EndpointInstance, Incarnation, ModelName,
    ServiceName, TimeUs, WeightNumber,
};
use wisteriahitch_wire::object_store::Revision;
use xxhash_rust::xxh3::xxh3_64;

use super::backlog::Load;
use super::beacon::PartNews;
use super::cold_limit::{ColdLimit, ColdState};
use super::cold_shares::{ColdShares, LONGEST_GAP_US};
use super::endpoint_row::{EndpointLife, EndpointRow};
use super::evacuated_zones::{EvacuatedZones, ZoneChange};
use super::link_paces::LinkPaces;
use super::outlier::{Outlier, OutlierOptions};
use super::parts::{EngineMemory, PartCache, PartKey, PartNamer};
use crate::border::PartEvent;
use crate::site::Endpoint;

/// Time after the store's return within which endpoints that live have registered again.
///
/// Registrations lapse while the store is away. Taken for the end of the endpoint, such a lapse
/// would leave a service without endpoints for seconds; callers would be refused for nothing. The
/// platform promises two seconds; the rest covers the way of the news.
pub(crate) const REGISTER_AGAIN_US: DurationUs = DurationUs::from_ms(2_300);

/// Time after which what a peer told of its load no longer counts.
const PEER_LOAD_LIFE_US: DurationUs = DurationUs::from_ms(1_000);

/// Daemons that must have failed to connect to an endpoint before it is suspected by all.
const MIN_WITNESSES: usize = 2;

/// How long a failure to connect counts as evidence: some messages, so that others hear of it.
const EVIDENCE_LIFE_US: DurationUs = DurationUs::from_ms(1_200);

/// How long an endpoint is suspected after the last evidence was weighed. Then calls try it again.
const VERDICT_LIFE_US: DurationUs = DurationUs::from_ms(800);

/// Weights that are taken for the memory of an engine which doesn't say how much it has.
const DEFAULT_MEMORY_TOKENS: u64 = 100_000;

/// What a peer told of its load.
#[derive(Debug)]
struct PeerLoad {
    told_at_us: TimeUs,
    loads: HashMap<u32, Load>,
    /// Endpoints that it says an order keeps from taking requests.
    reserved: HashSet<u32>,
    /// Endpoints that it couldn't connect to lately.
    unreachable: HashSet<u32>,
}

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

/// What cold endpoints of a service bear.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceColdness {
    /// Permits of each.
    pub limit: ColdLimit,
    /// How long one is cold after its start.
    pub start_us: DurationUs,
}

/// How fresh the shares of permits are.
#[derive(Clone, Copy, Debug)]
struct SharesAsOf {
    known_at_us: TimeUs,
    usable_at_us: Option<TimeUs>,
}

/// Says whether an endpoint may get a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may.
    Open,
    /// It is cold, and may get one under this permit.
    Permit(usize),
    /// It is cold, and may get none before this time.
    Cold(TimeUs),
    /// Its zone is evacuated.
    Evacuated,
}

impl Admission {
    /// Returns whether the endpoint may get a call now.
    pub fn is_open(self) -> bool {
        matches!(self, Admission::Open | Admission::Permit(_))
    }
}

/// All endpoints of the site.
#[derive(Debug, Default)]
pub struct EndpointTable {
    rows: BTreeMap<EndpointId, EndpointRow>,
    by_short_name: HashMap<u32, EndpointId>,
    peer_loads: HashMap<Incarnation, PeerLoad>,
    /// Memory of the engines of each service, from the configuration.
    memory_tokens: HashMap<ServiceName, u64>,
    /// Services that the configuration names.
    services: HashSet<ServiceName>,
    evacuated: EvacuatedZones,
    /// What cold endpoints of each service bear, where the deployment bounds it.
    cold_limits: HashMap<ServiceName, ServiceColdness>,
    /// As of when the shares of cold endpoints' permits are known, and from when on those of the newest view may be used.
    shares: Option<SharesAsOf>,
    /// How fast parts come over the endpoints' and the stores' links.
    pub links: LinkPaces,
    /// Bounds of ejection.
    pub outlier_options: OutlierOptions,
    /// Time for which an endpoint that has left without a word still gets requests where its
    /// service has no other one. It goes on serving for a while, and a silent outage of the store
    /// that nobody has noticed looks the same.
    drain_fallback_us: DurationUs,
}

impl EndpointTable {
    /// Takes over how long an endpoint that has left without a word still gets requests where its
    /// service has no other one.
    #[must_use]
    pub fn with_drain_fallback(mut self, drain_fallback_us: DurationUs) -> Self {
        self.drain_fallback_us = drain_fallback_us;
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

    /// Takes over which zones are evacuated, and returns what has changed.
    ///
    /// Endpoints of a zone that may be used again count as cold from then on: operators restart them meanwhile, and
    /// what they registered last may be older than that.
    pub fn set_evacuated(
        &mut self,
        zones: BTreeSet<AvailabilityZone>,
        now: TimeUs,
    ) -> Vec<ZoneChange> {
        let changes = self.evacuated.replace(zones);
        for change in &changes {
            if let ZoneChange::Restored(zone) = change {
                self.assume_cold(zone, now);
            }
        }
        changes
    }

    fn assume_cold(&mut self, zone: &AvailabilityZone, now: TimeUs) {
        for row in self
            .rows
            .values_mut()
            .filter(|row| row.endpoint.zone == *zone)
        {
            if let Some(cold) = self.cold_limits.get(&row.endpoint.service) {
                row.cold.assume_until(now + cold.start_us);
            }
        }
    }

    /// Takes over what cold endpoints of each service bear.
    pub fn set_cold_limits(&mut self, limits: HashMap<ServiceName, ServiceColdness>) {
        self.cold_limits = limits;
    }

    /// Takes over how many permits of each cold endpoint this daemon holds. To be called several times a second.
    pub fn set_shares(&mut self, shares: &ColdShares, now: TimeUs) {
        self.shares = Some(SharesAsOf {
            known_at_us: now,
            usable_at_us: shares.usable_at(),
        });
        for row in self.rows.values_mut().filter(|row| row.cold.is_cold(now)) {
            if let Some(cold) = self.cold_limits.get(&row.endpoint.service) {
                let id = &row.endpoint.instance.id;
                row.cold.share = shares.share(id, cold.limit.permits, now);
            }
        }
    }

    /// Returns how many endpoints are cold, for the metrics.
    pub fn cold_count(&self, now: TimeUs) -> usize {
        let is_cold = |row: &&EndpointRow| self.cold_limit(row, now).is_some();
        self.rows.values().filter(is_cold).count()
    }

    /// Returns the limit that an endpoint is under; none where it isn't cold or the deployment has no bound.
    fn cold_limit(&self, row: &EndpointRow, now: TimeUs) -> Option<&ColdLimit> {
        let cold = self.cold_limits.get(&row.endpoint.service)?;
        row.cold.is_cold(now).then_some(&cold.limit)
    }

    /// Says whether an endpoint may get a call now.
    pub fn admission(&self, row: &EndpointRow, now: TimeUs) -> Admission {
        if self.is_evacuated(row) {
            return Admission::Evacuated;
        }
        let Some(limit) = self.cold_limit(row, now) else {
            return Admission::Open;
        };
        let shares = self.fresh_shares(now);
        if let Some(permit) = shares.and_then(|_| row.cold.free_permit(limit, now)) {
            return Admission::Permit(permit);
        }
        let usable_at = shares.and_then(|shares| shares.usable_at_us);
        let free_at = row
            .cold
            .next_free_at(limit)
            .unwrap_or(now + limit.window_us);
        let free_at = usable_at.map_or(row.cold.until_us, |usable_at| free_at.max(usable_at));
        Admission::Cold(free_at.min(row.cold.until_us))
    }

    /// Returns as of when shares are known, unless that is too long ago to go by them.
    fn fresh_shares(&self, now: TimeUs) -> Option<SharesAsOf> {
        let is_fresh = |shares: &SharesAsOf| now.since(shares.known_at_us) <= LONGEST_GAP_US;
        self.shares.filter(is_fresh)
    }

    /// Uses the permit under which a call was placed, so that no other call is placed under it.
    pub fn use_permit(&mut self, instance: &EndpointInstance, permit: usize, now: TimeUs) {
        if let Some(row) = self.get_mut(instance) {
            row.cold.use_permit(permit, now);
        }
    }

    /// Lists the evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &AvailabilityZone> {
        self.evacuated.iter()
    }

    /// Returns whether an endpoint's zone is evacuated.
    pub fn is_evacuated(&self, row: &EndpointRow) -> bool {
        self.evacuated.contains(&row.endpoint.zone)
    }

    /// Returns whether a call that was placed at an endpoint may be sent there now, and counts it against the
    /// endpoint's permits as of now: between placement and sending a connection may have been opened. An endpoint that
    /// is no longer known gets it: nothing is held against it.
    pub fn admits(
        &mut self,
        instance: &EndpointInstance,
        permit: Option<usize>,
        now: TimeUs,
    ) -> bool {
        let Some(row) = self.get(instance) else {
            return true;
        };
        let permit = match (self.admission(row, now), permit) {
            (Admission::Evacuated, _) => return false,
            (Admission::Open, _) => return true,
            (_, Some(permit)) if self.fresh_shares(now).is_some() => permit,
            // It has turned cold since.
            (Admission::Permit(permit), None) => permit,
            _ => return false,
        };
        let row = self.get_mut(instance);
        row.is_some_and(|row| row.cold.use_permit(permit, now))
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
        let limit = self.cold_limits.get(&endpoint.service);
        let Some(row) = self.rows.get_mut(&instance.id) else {
            return Vec::new();
        };
        if endpoint.revision > row.endpoint.revision {
            row.told_cold(endpoint.cold_left_us, limit.map(|cold| &cold.limit), now);
        }
        let was = row.life;
        let life = life_of(&endpoint);
        // An endpoint that has announced its leaving doesn't come back in the same life; a
        // registration that says so is an old one.
        if was != EndpointLife::Draining {
            row.life = life;
        }
        if endpoint.revision > row.endpoint.revision {
            row.is_displaced = false;
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
        let life = life_of(&endpoint);
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
        let is_old = |load: &PeerLoad| now.since(load.told_at_us) > PEER_LOAD_LIFE_US;
        let old: Vec<Incarnation> = self
            .peer_loads
            .iter()
            .filter(|(_, load)| is_old(load))
            .map(|(peer, _)| *peer)
            .collect();
        for peer in old {
            self.peer_load(peer, HashMap::new(), now);
            self.peer_loads.remove(&peer);
        }
        gone
    }

    /// Takes over what a peer has sent to endpoints.
    pub fn peer_load(&mut self, peer: Incarnation, loads: HashMap<u32, Load>, now: TimeUs) {
        let old = self.peer_loads.remove(&peer);
        let reserved = old.as_ref().map(|old| old.reserved.clone());
        let unreachable = old.as_ref().map(|old| old.unreachable.clone());
        for (hash, load) in old.iter().flat_map(|old| &old.loads) {
            if let Some(row) = self.row_by_short_name(*hash) {
                row.peers.sub(*load);
            }
        }
        for (hash, load) in &loads {
            if let Some(row) = self.row_by_short_name(*hash) {
                row.peers.add(*load);
            }
        }
        let told = PeerLoad {
            told_at_us: now,
            loads,
            reserved: reserved.unwrap_or_default(),
            unreachable: unreachable.unwrap_or_default(),
        };
        self.peer_loads.insert(peer, told);
    }

    /// Takes over which endpoints a peer says an order keeps from taking requests until `until`, and
    /// returns whether one of them is new.
    ///
    /// One that it no longer names is free at once, unless another peer still names it: engines with
    /// new weights are the ones that are missed most, and each was idle until the time was over.
    pub fn peer_reserved(
        &mut self,
        peer: Incarnation,
        reserved: HashSet<u32>,
        until: TimeUs,
        now: TimeUs,
    ) -> bool {
        let mut is_new = false;
        for hash in &reserved {
            is_new |= self.reserve(*hash, until, now);
        }
        let Some(told) = self.peer_loads.get_mut(&peer) else {
            return is_new;
        };
        let before = std::mem::replace(&mut told.reserved, reserved);
        for hash in before {
            let mut peers = self.peer_loads.values();
            if peers.any(|told| told.reserved.contains(&hash)) {
                continue;
            }
            if let Some(row) = self.row_by_short_name(hash) {
                row.reserved_until_us = row.reserved_until_us.min(now);
            }
        }
        is_new
    }

    /// Returns what a peer has sent, by the endpoints' short names.
    pub fn load_of(&self, peer: Incarnation) -> Option<&HashMap<u32, Load>> {
        self.peer_loads.get(&peer).map(|told| &told.loads)
    }

    /// Notes that an endpoint with this short name has read a part; one of no tokens is gone.
    pub fn has_part(&mut self, hash: u32, key: PartKey, tokens: u64, now: TimeUs) {
        if let Some(row) = self.row_by_short_name(hash) {
            match tokens {
                0 => row.parts.evicted(key),
                _ => row.parts.used(key, tokens, now),
            };
        }
    }

    /// Notes that this daemon couldn't connect to an endpoint.
    pub fn unreachable(&mut self, instance: &EndpointInstance, now: TimeUs) {
        if let Some(row) = self.get_mut(instance) {
            row.unreachable_until_us = now + EVIDENCE_LIFE_US;
            let short_name = row.short_name;
            self.weigh_evidence(short_name, now);
        }
    }

    /// Takes over which endpoints a peer couldn't connect to lately. `is_verdict` says that the peer has
    /// weighed what several daemons said.
    pub fn peer_unreachable(
        &mut self,
        peer: Incarnation,
        unreachable: HashSet<u32>,
        is_verdict: bool,
        now: TimeUs,
    ) {
        for short_name in unreachable.iter().filter(|_| is_verdict) {
            if let Some(row) = self.row_by_short_name(*short_name) {
                row.suspected_until_us = now + VERDICT_LIFE_US;
            }
        }
        let Some(told) = self.peer_loads.get_mut(&peer) else {
            return;
        };
        told.unreachable.clone_from(&unreachable);
        for short_name in unreachable {
            self.weigh_evidence(short_name, now);
        }
    }

    /// Suspects an endpoint that two daemons couldn't connect to.
    ///
    /// Load pattern: engines fall silent, and each daemon of a large fleet finds out about each of them by
    /// a call that waits for nothing. One daemon alone may itself be cut off; so may two, but then the
    /// others lose at most what those two can't reach, and where all are suspected none counts as such.
    fn weigh_evidence(&mut self, short_name: u32, now: TimeUs) {
        let peers = self.peer_loads.values();
        let peers = peers.filter(|told| told.unreachable.contains(&short_name));
        let peers = peers.take(MIN_WITNESSES).count();
        let Some(row) = self.row_by_short_name(short_name) else {
            return;
        };
        let own = usize::from(row.unreachable_until_us > now);
        if peers + own >= MIN_WITNESSES {
            row.weighed_until_us = now + VERDICT_LIFE_US;
            row.suspected_until_us = now + VERDICT_LIFE_US;
        }
    }

    /// Takes over what an engine tells of its memory, and returns what is news to the other daemons.
    pub fn part_events(
        &mut self,
        instance: &EndpointInstance,
        events: &[PartEvent],
        until: TimeUs,
        now: TimeUs,
    ) -> Vec<PartNews> {
        let Some(row) = self.get_mut(instance) else {
            return Vec::new();
        };
        row.followed_until_us = until;
        let mut news = Vec::new();
        for event in events {
            let part = &event.part;
            let key = PartNamer::new(&part.model, &part.scope).key(part.id);
            let tokens = if event.is_kept { part.tokens.get() } else { 0 };
            let is_news = match event.is_kept {
                true => row.parts.kept(key, tokens, now),
                false => row.parts.evicted(key),
            };
            if is_news {
                news.push(PartNews {
                    endpoint: row.short_name,
                    part: key.0,
                    tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
                });
            }
        }
        news
    }

    /// Notes until when somebody follows an engine's memory, as a peer tells.
    pub fn followed(&mut self, short_name: u32, until: TimeUs) {
        if let Some(row) = self.row_by_short_name(short_name) {
            row.followed_until_us = row.followed_until_us.max(until);
        }
    }

    /// Lists which parts engines are believed to keep, for a daemon that has just started.
    pub fn engine_memory(&self, now: TimeUs) -> Vec<EngineMemory> {
        let rows = self.rows.values().filter(|row| !row.parts.is_empty());
        let memory = rows.map(|row| EngineMemory {
            endpoint: row.short_name,
            parts: row.parts.newest(now),
        });
        memory.collect()
    }

    /// Takes over which parts engines keep, from a daemon that has been there for longer.
    pub fn take_over(&mut self, memory: &[EngineMemory], now: TimeUs) {
        for engine in memory {
            let Some(row) = self.row_by_short_name(engine.endpoint) else {
                continue;
            };
            // The oldest first, so that the order of last uses is theirs.
            for part in engine.parts.iter().rev() {
                row.parts.take_over(part, now);
            }
        }
    }

    /// Notes that an order keeps an endpoint from taking requests until `until`, and returns
    /// whether that is new.
    pub fn reserve(&mut self, hash: u32, until: TimeUs, now: TimeUs) -> bool {
        let Some(row) = self.row_by_short_name(hash) else {
            return false;
        };
        let is_new = row.reserved_until_us <= now;
        row.reserved_until_us = row.reserved_until_us.max(until);
        is_new
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
            cold: ColdState::until(now + endpoint.cold_left_us),
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

    fn row_by_short_name(&mut self, short_name: u32) -> Option<&mut EndpointRow> {
        let id = self.by_short_name.get(&short_name)?;
        self.rows.get_mut(id)
    }
}

fn life_of(endpoint: &Endpoint) -> EndpointLife {
    match endpoint.is_draining {
        true => EndpointLife::Draining,
        false => EndpointLife::Ready,
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
