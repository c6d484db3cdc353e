//! Which daemon holds which permits of a cold endpoint, without a message about it.
//!
//! The members' addresses and the endpoint's id rank the daemons; the first ones hold a permit each, and in a fleet
//! smaller than the number of permits they go round. So every permit has one holder among all that see the same members,
//! and what is left are moments at which they don't:
//!
//! - **Members come and go.** A daemon uses a permit only if it has held it in every view of the last [`HOLD_US`],
//!   and gives one up at once. That time is longer than all others take to learn of the same change.
//! - **A fleet in parts.** Only the part that sees more than half of all members of the last [`MEMORY_US`] uses permits.
//! - **A daemon that was suspended** counts as having seen nothing, until it has looked around for [`HOLD_US`] again;
//!   so does one that has just started, and one that hasn't yet read who is registered.
//!
//! Where nobody may use a permit the endpoint gets nothing until it is warm, which is seconds.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{DurationUs, EndpointId, TimeUs};

/// Time for which a daemon must have held a permit before it uses it: the most by which daemons differ in learning that
/// a member is gone (0.9 s after its last message, or 2.7 s through a hub) and that one is there (0.6 s), and the
/// window of a permit.
pub(crate) const HOLD_US: DurationUs = DurationUs::from_ms(3_500);

/// Time for which a member that has fallen silent still counts as one of all.
const MEMORY_US: DurationUs = DurationUs::from_ms(60_000);

/// Time between two looks at the members from which on the process counts as suspended. They are 0.1 to 0.2 s apart.
pub(crate) const LONGEST_GAP_US: DurationUs = DurationUs::from_ms(700);

/// The members that a daemon saw from a time on.
#[derive(Clone, Debug)]
struct View {
    since_us: TimeUs,
    /// Sorted; empty where permits may not be used.
    members: Vec<Ipv4Addr>,
}

/// What a daemon sees of the members at one time.
#[derive(Clone, Debug, Default)]
pub struct Sighting {
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
    pub(super) fn most(&self) -> usize {
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
    looked_at_us: TimeUs,
}

impl PermitShares {
    /// Starts without having seen anybody.
    pub fn new(me: Ipv4Addr, now: TimeUs) -> Self {
        Self {
            me,
            views: VecDeque::from([View {
                since_us: now,
                members: Vec::new(),
            }]),
            last_seen_us: BTreeMap::new(),
            looked_at_us: now,
        }
    }

    /// Takes over what is seen of the members now. To be called several times a second.
    pub fn look(&mut self, sighting: &Sighting, now: TimeUs) {
        if now.since(self.looked_at_us) > LONGEST_GAP_US {
            self.begin_view(Vec::new(), now);
        }
        self.looked_at_us = now;
        self.remember(sighting, now);
        let members = match sighting.is_complete && self.is_majority(&sighting.alive) {
            true => sighting.alive.iter().copied().collect(),
            false => Vec::new(),
        };
        let is_changed = self.views.back().is_none_or(|view| view.members != members);
        if is_changed {
            self.begin_view(members, now);
        }
        // The first one that is kept may have begun before, and was in force within the time.
        while self
            .views
            .get(1)
            .is_some_and(|next| now.since(next.since_us) >= HOLD_US)
        {
            self.views.pop_front();
        }
    }

    /// Returns how many of an endpoint's permits this daemon may use.
    pub fn share(&self, endpoint: &EndpointId, permits: u32, now: TimeUs) -> PermitShare {
        let rank = Rendezvous::new("cold", endpoint.as_str());
        let mut views = self.views.iter().rev();
        let newest = views
            .next()
            .map_or(0, |view| self.share_in(view, &rank, permits));
        let in_all = views
            .map(|view| self.share_in(view, &rank, permits))
            .fold(newest, u32::min);
        let is_suspended = now.since(self.looked_at_us) > LONGEST_GAP_US;
        PermitShare {
            now: if is_suspended { 0 } else { in_all },
            later: self.usable_at().map(|usable_at| (usable_at, newest)),
        }
    }

    /// Returns when the permits of the newest view may be used; none where it gives none.
    pub fn usable_at(&self) -> Option<TimeUs> {
        let newest = self.views.back()?;
        (!newest.members.is_empty()).then(|| newest.since_us + HOLD_US)
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

    fn begin_view(&mut self, members: Vec<Ipv4Addr>, now: TimeUs) {
        self.views.push_back(View {
            since_us: now,
            members,
        });
    }

    fn remember(&mut self, sighting: &Sighting, now: TimeUs) {
        for ip in sighting.alive.iter().chain(&sighting.registered) {
            self.last_seen_us.insert(*ip, now);
        }
        self.last_seen_us.retain(|ip, seen_at| {
            let is_recent = now.since(*seen_at) < MEMORY_US;
            is_recent && !sighting.leaving.contains(ip)
        });
    }

    fn is_majority(&self, alive: &BTreeSet<Ipv4Addr>) -> bool {
        let seen = alive.iter().filter(|ip| self.last_seen_us.contains_key(ip));
        seen.count() * 2 > self.last_seen_us.len()
    }
}
