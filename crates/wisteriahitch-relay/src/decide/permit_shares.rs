//! Which daemon holds which permits of an endpoint whose calls are bounded, without a message about it.
//!
//! The members' addresses and the endpoint's id rank the daemons; the first ones hold a permit each, and in a fleet
//! smaller than the number of permits they go round. So every permit has one holder among all that see the same members,
//! and what is left are moments at which they don't:
//!
//! - **Members come and go.** A daemon uses a permit only if it has held it in every view of the last [`HOLD_US`],
//!   and gives one up at once. That time is longer than all others take to learn of the same change.
//! - **A fleet in parts.** Only the part that sees more than half of all members of the last [`MEMORY_US`] uses all
//!   permits. A smaller one uses none of a cold endpoint's, and of an endpoint that names a limit as large a part as it
//!   is of the fleet: all parts together then use half as much again at most, which the unused half of the bound covers.
//! - **A daemon that was suspended** counts as having seen nothing, until it has looked around for [`HOLD_US`] again;
//!   so does one that has just started, and one that hasn't yet read who is registered.
//!
//! Where nobody may use a permit a cold endpoint gets nothing until it is warm, which is seconds.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{DurationUs, EndpointId, TimeUs};

/// Time for which a daemon must have held a permit before it uses it: the most by which daemons differ in learning that
/// a member is gone (0.9 s after its last message, or 2.7 s through a hub) and that one is there (0.6 s), and the
/// window of a cold endpoint's permit. The window of a named limit is longer: what a permit's holder before has used within
/// it is covered by the unused half of the bound.
pub(crate) const PERMIT_ACTIVATION_DELAY_US: DurationUs = DurationUs::from_ms(3_500);

/// Time for which a member that has fallen silent still counts as one of all.
const MEMBER_RETENTION_US: DurationUs = DurationUs::from_ms(60_000);

/// Time between two looks at the members from which on the process counts as suspended. They are 0.1 to 0.2 s apart.
pub(crate) const MAX_OBSERVATION_GAP_US: DurationUs = DurationUs::from_ms(700);

/// The members that a daemon saw from a time on.
#[derive(Clone, Debug)]
struct View {
    since_us: TimeUs,
    /// Sorted; empty where permits may not be used.
    members: Vec<Ipv4Addr>,
    /// Which part of the fleet they are, where that is half of it or less.
    minority: Option<FleetPart>,
}

/// A part of the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct FleetPart {
    seen: usize,
    /// All members of the last [`MEMORY_US`].
    known: usize,
}

impl FleetPart {
    /// Returns its part of some permits, rounded down: all parts together have no more than all permits.
    fn share_of(self, permits: u32) -> u32 {
        let part = f64::from(permits) * self.seen as f64 / self.known.max(1) as f64;
        part as u32
    }
}

/// Says what a part of the fleet may use that doesn't see more than half of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MinorityShare {
    /// Nothing: what is bounded breaks if it gets too much, and the bound ends by itself in seconds.
    Nothing,
    /// As large a part of the permits as it is of the fleet: nobody knows when the bound ends.
    Proportional,
}

/// What a daemon sees of the members at one time.
#[derive(Clone, Debug, Default)]
pub struct ViewObservation {
    /// Daemons that are heard or told of and stay, this one included.
    pub alive: BTreeSet<Ipv4Addr>,
    /// Daemons that have registered, whether they are heard or not.
    pub registered: BTreeSet<Ipv4Addr>,
    /// Daemons that have said that they leave.
    pub leaving: BTreeSet<Ipv4Addr>,
    /// Whether this daemon has ever read who is registered.
    pub is_complete: bool,
}

/// How many of an endpoint's permits a daemon may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PermitShare {
    /// How many now.
    pub now: u32,
    /// From when on how many, unless the daemon's view of the members changes before; none without a view.
    pub later: Option<(TimeUs, u32)>,
}

impl PermitShare {
    /// Returns how many it may use at a time.
    pub(super) fn at(&self, now: TimeUs) -> usize {
        let later = self.later.filter(|(usable_at, _)| *usable_at <= now);
        later.map_or(self.now, |(_, share)| share) as usize
    }

    /// Returns how many it may use at one time or another.
    pub(super) fn max(&self) -> usize {
        let later = self.later.map_or(0, |(_, share)| share);
        self.now.max(later) as usize
    }
}

/// The views of one daemon.
#[derive(Debug)]
pub struct PermitShares {
    me: Ipv4Addr,
    views: VecDeque<View>,
    last_seen_us: BTreeMap<Ipv4Addr, TimeUs>,
    observed_at_us: TimeUs,
}

impl PermitShares {
    /// Starts without having seen anybody.
    pub fn new(me: Ipv4Addr, now: TimeUs) -> Self {
        Self {
            me,
            views: VecDeque::from([View {
                since_us: now,
                members: Vec::new(),
                minority: None,
            }]),
            last_seen_us: BTreeMap::new(),
            observed_at_us: now,
        }
    }

    /// Takes over what is seen of the members now. To be called several times a second.
    pub fn observe(&mut self, observation: &ViewObservation, now: TimeUs) {
        if now.since(self.observed_at_us) > MAX_OBSERVATION_GAP_US {
            self.begin_view(Vec::new(), None, now);
        }
        self.observed_at_us = now;
        self.record_last_seen(observation, now);
        let members: Vec<Ipv4Addr> = match observation.is_complete {
            true => observation.alive.iter().copied().collect(),
            false => Vec::new(),
        };
        let minority = self.minority(&observation.alive);
        let is_same = |view: &View| view.members == members && view.minority == minority;
        if !self.views.back().is_some_and(is_same) {
            self.begin_view(members, minority, now);
        }
        // The first one that is kept may have begun before, and was in force within the time.
        while self
            .views
            .get(1)
            .is_some_and(|next| now.since(next.since_us) >= PERMIT_ACTIVATION_DELAY_US)
        {
            self.views.pop_front();
        }
    }

    /// Returns how many of an endpoint's permits this daemon may use.
    pub fn share(
        &self,
        endpoint: &EndpointId,
        permits: u32,
        rule: MinorityShare,
        now: TimeUs,
    ) -> PermitShare {
        let rank = Rendezvous::new("cold", endpoint.as_str());
        let share_in = |view: &View| {
            let permits = match (view.minority, rule) {
                (None, _) => permits,
                (Some(_), MinorityShare::Nothing) => 0,
                (Some(part), MinorityShare::Proportional) => part.share_of(permits),
            };
            self.share_in(view, &rank, permits)
        };
        let mut views = self.views.iter().rev();
        let newest = views.next().map_or(0, share_in);
        let min_of_all = views.map(share_in).fold(newest, u32::min);
        let is_suspended = now.since(self.observed_at_us) > MAX_OBSERVATION_GAP_US;
        PermitShare {
            now: if is_suspended { 0 } else { min_of_all },
            later: self.usable_at().map(|usable_at| (usable_at, newest)),
        }
    }

    /// Returns when the permits of the newest view may be used; none where it gives none, or only a part of them.
    pub fn usable_at(&self) -> Option<TimeUs> {
        let newest = self.views.back()?;
        let is_majority = !newest.members.is_empty() && newest.minority.is_none();
        is_majority.then(|| newest.since_us + PERMIT_ACTIVATION_DELAY_US)
    }

    fn share_in(&self, view: &View, rank: &Rendezvous, permits: u32) -> u32 {
        if view.members.binary_search(&self.me).is_err() {
            return 0;
        }
        let score = |ip: &Ipv4Addr| (rank.score(&ip.octets()), *ip);
        let mine = score(&self.me);
        let before = view.members.iter().filter(|ip| score(ip) > mine).count();
        let members = u32::try_from(view.members.len()).unwrap_or(u32::MAX);
        let before = u32::try_from(before).unwrap_or(u32::MAX);
        permits.saturating_sub(before).div_ceil(members)
    }

    fn begin_view(&mut self, members: Vec<Ipv4Addr>, minority: Option<FleetPart>, now: TimeUs) {
        self.views.push_back(View {
            since_us: now,
            members,
            minority,
        });
    }

    fn record_last_seen(&mut self, observation: &ViewObservation, now: TimeUs) {
        for ip in observation.alive.iter().chain(&observation.registered) {
            self.last_seen_us.insert(*ip, now);
        }
        self.last_seen_us.retain(|ip, seen_at| {
            let is_recent = now.since(*seen_at) < MEMBER_RETENTION_US;
            is_recent && !observation.leaving.contains(ip)
        });
    }

    /// Returns which part of the fleet is alive, unless it is more than half of it.
    fn minority(&self, alive: &BTreeSet<Ipv4Addr>) -> Option<FleetPart> {
        let seen = alive.iter().filter(|ip| self.last_seen_us.contains_key(ip));
        let (seen, known) = (seen.count(), self.last_seen_us.len());
        (seen * 2 <= known).then_some(FleetPart { seen, known })
    }
}
