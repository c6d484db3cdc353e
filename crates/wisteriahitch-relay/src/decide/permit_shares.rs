//! Assigns the permits of an endpoint whose calls are bounded to daemons, without messages about
//! it.
//!
//! A hash of the members' addresses and the endpoint's id ranks the daemons. The first ones get a
//! permit each; if there are more permits than daemons, the assignment starts over with the first.
//! So all daemons that see the same members agree on the one holder of each permit. The remaining
//! problem is times at which they see different members:
//!
//! - **Members join and leave.** A daemon uses a permit only if it has held it in every view of the
//!   last [`PERMIT_ACTIVATION_DELAY_US`], and stops using it as soon as it loses it. That time is
//!   longer than all others take to notice the same change.
//! - **Partitions.** Only a partition that sees more than half of all members of the last
//!   [`MEMBER_RETENTION_US`] uses all permits. A smaller one uses no permits of a cold endpoint,
//!   and of an endpoint that names a limit a share proportional to its size. Together, all
//!   partitions then use at most half as many again, which the unused half of the bound covers.
//! - **Suspended daemons.** A daemon that was suspended counts as having seen no member until it
//!   has observed the members for [`PERMIT_ACTIVATION_DELAY_US`] again. So does one that has just
//!   started, and one that hasn't read the registrations yet.
//!
//! Where no daemon may use a permit, a cold endpoint gets no calls until it is warm, which takes
//! seconds.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{DurationUs, EndpointId, TimeUs};

/// How long a daemon must have held a permit before it uses it. This covers the largest difference
/// between the times at which daemons notice that a member has left (0.9 s after its last message,
/// or 2.7 s through a hub) or has joined (0.6 s), and the window of a cold endpoint's permit. The
/// window of a named limit is longer; calls that the permit's previous holder has sent within it
/// are covered by the unused half of the bound.
pub(crate) const PERMIT_ACTIVATION_DELAY_US: DurationUs = DurationUs::from_ms(3_500);

/// How long a member that has fallen silent still counts as a member of the fleet.
const MEMBER_RETENTION_US: DurationUs = DurationUs::from_ms(60_000);

/// Time between two observations of the members above which the process counts as suspended.
/// Observations are 0.1 to 0.2 s apart.
pub(crate) const MAX_OBSERVATION_GAP_US: DurationUs = DurationUs::from_ms(700);

/// The members that a daemon saw from some time on.
#[derive(Clone, Debug)]
struct View {
    since_us: TimeUs,
    /// Sorted; empty if no permits may be used.
    members: Vec<Ipv4Addr>,
    /// Size of this partition, if it has half of the fleet or less.
    minority: Option<Partition>,
}

/// Size of a partition of the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Partition {
    /// Members that are alive.
    seen: usize,
    /// All members of the last [`MEMBER_RETENTION_US`].
    known: usize,
}

impl Partition {
    /// Returns the partition's proportional share of some permits, rounded down, so that all
    /// partitions together get no more than all permits.
    fn share_of(self, permits: u32) -> u32 {
        let share = f64::from(permits) * self.seen as f64 / self.known.max(1) as f64;
        share as u32
    }
}

/// What a partition that doesn't see more than half of the fleet may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MinorityShare {
    /// No permits. For bounds whose excess breaks the endpoint, and which end by themselves within
    /// seconds.
    Nothing,
    /// A share of the permits proportional to the size of the partition. For bounds of unknown
    /// duration.
    Proportional,
}

/// What a daemon sees of the members at one time.
#[derive(Clone, Debug, Default)]
pub struct ViewObservation {
    /// Daemons that are heard or reported by a hub and aren't leaving, including this one.
    pub alive: BTreeSet<Ipv4Addr>,
    /// Those of `alive` that don't serve calls yet.
    pub starting: BTreeSet<Ipv4Addr>,
    /// Daemons that are registered, whether they are heard or not.
    pub registered: BTreeSet<Ipv4Addr>,
    /// Daemons that have announced their leaving.
    pub leaving: BTreeSet<Ipv4Addr>,
    /// Whether this daemon has read the registrations at least once.
    pub is_complete: bool,
}

/// How many of an endpoint's permits a daemon may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PermitShare {
    /// Number of permits that may be used now.
    pub now: u32,
    /// From when on how many permits may be used, unless the daemon's view of the members changes
    /// before; `None` if there is no usable view.
    pub later: Option<(TimeUs, u32)>,
}

impl PermitShare {
    /// Returns how many permits may be used at a time.
    pub(super) fn at(&self, now: TimeUs) -> usize {
        let later = self.later.filter(|(usable_at, _)| *usable_at <= now);
        later.map_or(self.now, |(_, share)| share) as usize
    }

    /// Returns the maximum number of permits that may be used now or later.
    pub(super) fn max(&self) -> usize {
        let later = self.later.map_or(0, |(_, share)| share);
        self.now.max(later) as usize
    }
}

/// The recent views of one daemon.
#[derive(Debug)]
pub struct PermitShares {
    me: Ipv4Addr,
    /// Views in force within the last [`PERMIT_ACTIVATION_DELAY_US`], the oldest first.
    views: VecDeque<View>,
    /// Daemons that served calls at the last observation, whether or not permits may be used.
    ready: BTreeSet<Ipv4Addr>,
    /// When each member of the fleet was last alive or registered.
    last_seen_us: BTreeMap<Ipv4Addr, TimeUs>,
    observed_at_us: TimeUs,
}

impl PermitShares {
    /// Starts with a view without any members.
    pub fn new(me: Ipv4Addr, now: TimeUs) -> Self {
        Self {
            me,
            views: VecDeque::from([View {
                since_us: now,
                members: Vec::new(),
                minority: None,
            }]),
            ready: BTreeSet::new(),
            last_seen_us: BTreeMap::new(),
            observed_at_us: now,
        }
    }

    /// Records an observation of the members. Must be called several times a second.
    pub fn observe(&mut self, observation: &ViewObservation, now: TimeUs) {
        if now.since(self.observed_at_us) > MAX_OBSERVATION_GAP_US {
            self.begin_view(Vec::new(), None, now);
        }
        self.observed_at_us = now;
        self.record_last_seen(observation, now);
        self.ready = &observation.alive - &observation.starting;
        let members: Vec<Ipv4Addr> = match observation.is_complete {
            true => observation.alive.iter().copied().collect(),
            false => Vec::new(),
        };
        let minority = self.minority(&observation.alive);
        let is_same = |view: &View| view.members == members && view.minority == minority;
        if !self.views.back().is_some_and(is_same) {
            self.begin_view(members, minority, now);
        }
        // The oldest view that is kept may have begun earlier, but was still in force within that
        // time.
        while self
            .views
            .get(1)
            .is_some_and(|next| now.since(next.since_us) >= PERMIT_ACTIVATION_DELAY_US)
        {
            self.views.pop_front();
        }
    }

    /// Returns the number of daemons among which a bound on all of them is divided: this one, and all
    /// that were alive or registered in the last minute and haven't announced that
    /// they are leaving.
    ///
    /// In a partition, the daemons on the other side go on using their shares. If each side divided
    /// the bound among the daemons that it sees, all together would exceed it.
    pub fn member_count(&self) -> usize {
        let is_counted = self.last_seen_us.contains_key(&self.me);
        self.last_seen_us.len() + usize::from(!is_counted)
    }

    /// Returns the daemons that served calls at the last observation.
    pub fn ready(&self) -> &BTreeSet<Ipv4Addr> {
        &self.ready
    }

    /// Returns whether at most half of the fleet was alive at the last observation, so that the rest may
    /// be alive in another partition.
    pub fn is_minority(&self) -> bool {
        let newest = self.views.back();
        newest.is_some_and(|view| view.minority.is_some())
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
                (Some(partition), MinorityShare::Proportional) => partition.share_of(permits),
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

    /// Returns when the permits of the newest view may be used; `None` if it allows no permits or
    /// only a proportional share of them.
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

    fn begin_view(&mut self, members: Vec<Ipv4Addr>, minority: Option<Partition>, now: TimeUs) {
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

    /// Returns the size of the partition that is alive, if it isn't more than half of the fleet.
    fn minority(&self, alive: &BTreeSet<Ipv4Addr>) -> Option<Partition> {
        let seen = alive.iter().filter(|ip| self.last_seen_us.contains_key(ip));
        let (seen, known) = (seen.count(), self.last_seen_us.len());
        (seen * 2 <= known).then_some(Partition { seen, known })
    }
}
