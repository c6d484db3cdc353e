//! Which calls go first when callers ask for more than the endpoints of a service can do.
//!
//! Load pattern: many users come at once, or one workspace sends tenfold. Without shares everybody
//! queues at the endpoints, and the calls with the highest rank and the least work are late because
//! of those with the most. With shares, the ranks get what they ask for in their order; within the
//! rank in which it runs out, workspaces get equal amounts of work, and none more than it asks for;
//! the rest is refused at once. `docs/design/work-shares.md` has the reasons.

use std::collections::{BTreeMap, HashMap};

use wisteriahitch_types::{DurationUs, Incarnation, ServiceName, TimeUs, WorkspaceId};
use xxhash_rust::xxh3::xxh3_64;

use super::call_work::bounded_work;
use super::promised_room::PromisedRoom;
use super::work_rate::WorkRate;
use super::work_report::{RankWork, WorkReport};

/// Time after which the last report of a silent daemon no longer counts: a few messages.
const REPORT_TTL_US: DurationUs = DurationUs::from_ms(1_000);

/// Part of the capacity up to which callers get all that they ask for.
const UNSHARED_PART: f64 = 0.9;

/// Smallest share that anybody gets. What endpoints can do is an estimate, and it has to be put to
/// the test.
const MIN_SHARE: f64 = 0.05;

/// Multiple of the level up to which a workspace counts as being within its share: the rate of a
/// workspace with a dozen calls a second varies by as much.
const LEVEL_TOLERANCE: f64 = 1.25;

/// Smallest factor by which a backlog reduces what endpoints can take. Engines that have just started
/// read everything once, and have a backlog for a second or two without any overload.
const MIN_BACKLOG_FACTOR: f64 = 0.5;

/// Largest factor by which the lack of a backlog raises it.
const MAX_BACKLOG_FACTOR: f64 = 100.0;

/// Part of what a rank gets that is kept for calls that return after a refusal. The others still have
/// to get their share.
const PROMISED_PART: f64 = 0.5;

/// Minimum retry time that a refusal states.
const MIN_WAIT_US: DurationUs = DurationUs::from_ms(150);

/// Maximum part of the time that a caller has left for which it waits before it returns.
const MAX_WAIT_PART: f64 = 1.0 / 3.0;

/// Time for which the sum of all reports is used before it is computed anew: half of the time between
/// two messages of a daemon.
const SUM_TTL_US: DurationUs = DurationUs::from_ms(50);

/// Rate of work below which a rank counts as idle and isn't reported, in milliseconds of an endpoint
/// per second.
const MIN_REPORTED_MS_PER_S: f64 = 1.0;

/// Maximum number of workspaces that are told apart in the sum of all reports.
const MAX_KNOWN_WORKSPACES: usize = 200;

/// Maximum number of workspaces of a rank of a service that one daemon counts. A workspace that sends
/// nothing any more is dropped first.
const MAX_OWN_WORKSPACES: usize = 256;

/// A call that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AskedCall<'a> {
    /// Service of the call.
    pub service: &'a ServiceName,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Its workspace; calls without one count as those of one workspace.
    pub workspace: Option<&'a WorkspaceId>,
    /// Its expected work, in milliseconds of an endpoint or of a slot.
    pub work_ms: f64,
    /// Time until its deadline.
    pub left_us: DurationUs,
    /// Whether it has less time than the route gives, as calls have that were refused before.
    pub has_waited: bool,
}

/// What the endpoints of a service can do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceCapacity {
    /// Work of all endpoints together, in milliseconds per second; 0 if it is unknown.
    pub work_ms_per_s: f64,
    /// Mean time that the endpoints need for what they have been sent, in milliseconds.
    pub backlog_ms: f64,
    /// Backlog with which the endpoints are busy and calls still in time, in milliseconds.
    pub wanted_backlog_ms: f64,
}

impl ServiceCapacity {
    /// Returns the work that the endpoints can take, in milliseconds per second.
    ///
    /// The figures of capacity and work are estimates, and both can be wrong by a factor. The backlog
    /// shows which way: as long as there is little, endpoints take what comes, and the more there
    /// is, the less they get.
    fn usable(&self) -> f64 {
        if self.wanted_backlog_ms <= 0.0 {
            return self.work_ms_per_s;
        }
        let factor = self.wanted_backlog_ms / self.backlog_ms.max(f64::MIN_POSITIVE);
        let factor = factor.clamp(MIN_BACKLOG_FACTOR, MAX_BACKLOG_FACTOR);
        self.work_ms_per_s * factor
    }
}

/// Why a call is refused: its rank or its workspace has had its share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareRefusal {
    /// Part of the workspace's work that is admitted, in thousandths.
    pub share_permille: u16,
    /// Time after which the call is likely to be served.
    pub retry_after_us: DurationUs,
    /// Whether room is kept for that time.
    pub is_promised: bool,
}

/// Work of a workspace at this daemon.
#[derive(Clone, Copy, Debug, Default)]
struct OwnWorkspace {
    asked: WorkRate,
    /// Work that it may still have; `None` before its first call that is shared.
    credit_ms: Option<f64>,
}

#[derive(Debug, Default)]
struct OwnRank {
    asked: WorkRate,
    workspaces: HashMap<u32, OwnWorkspace>,
    room: PromisedRoom,
}

#[derive(Debug)]
struct PeerReport {
    received_at_us: TimeUs,
    /// Whether the peer was a hub that reports the work of others too.
    is_hub: bool,
    report: WorkReport,
}

/// The work that callers ask for, and what each of them gets.
#[derive(Debug, Default)]
pub struct WorkShares {
    own: HashMap<u32, BTreeMap<u8, OwnRank>>,
    peers: HashMap<Incarnation, PeerReport>,
    /// Work of all daemons, and when it was summed.
    known: WorkReport,
    known_at_us: Option<TimeUs>,
}

impl WorkShares {
    /// Takes the report of another daemon, and returns whether its figures are possible.
    pub fn receive(
        &mut self,
        peer: Incarnation,
        is_hub: bool,
        report: WorkReport,
        now: TimeUs,
    ) -> bool {
        let is_fresh = |peer: &PeerReport| now.since(peer.received_at_us) <= REPORT_TTL_US;
        self.peers.retain(|_, peer| is_fresh(peer));
        if !report.is_plausible() {
            self.peers.remove(&peer);
            return false;
        }
        let report = PeerReport {
            received_at_us: now,
            is_hub,
            report,
        };
        self.peers.insert(peer, report);
        true
    }

    /// Returns the report for daemons that learn the work of others elsewhere: that of this daemon
    /// and, for a hub, of the daemons that it serves.
    pub fn local_report(&self, is_hub: bool, now: TimeUs) -> WorkReport {
        let mut report = self.own_report(now);
        if is_hub {
            for peer in self.fresh_peers(now).filter(|peer| !peer.is_hub) {
                report.add(&peer.report);
            }
        }
        report
    }

    /// Returns the report of a hub for a daemon that it serves: the work of all others.
    pub fn report_for_spoke(&mut self, spoke: Option<Incarnation>, now: TimeUs) -> WorkReport {
        self.update_known(false, now);
        let mut report = self.known.clone();
        let known = spoke.and_then(|spoke| self.peers.get(&spoke));
        if let Some(known) = known.filter(|known| now.since(known.received_at_us) <= REPORT_TTL_US)
        {
            report.subtract(&known.report);
        }
        report
    }

    /// Decides whether a call is admitted, and counts what it asks for.
    ///
    /// `receives_sums` says whether this daemon is served by a hub, whose report holds the work of
    /// all others. `members` is the number of daemons in the fleet; the endpoints serve all of them,
    /// so that only the part of those that are heard of is divided here. `position` from 0 to 1
    /// spreads the retry times of refused callers.
    ///
    /// # Errors
    ///
    /// Refuses the call if its rank or its workspace has had its share.
    pub fn admit(
        &mut self,
        call: &AskedCall<'_>,
        capacity: &ServiceCapacity,
        (receives_sums, members): (bool, usize),
        position: f64,
        now: TimeUs,
    ) -> Result<f64, ShareRefusal> {
        let service = short_name(call.service.as_str());
        let workspace = call.workspace.map_or(0, |id| short_name(id.as_str()));
        let work_ms = bounded_work(call.work_ms);
        self.count(service, call.priority, workspace, work_ms, now);
        self.update_known(receives_sums, now);
        let known = &self.known;
        let heard = f64::from(known.daemons.max(1));
        let part = heard / heard.max(members as f64);
        let usable = capacity.usable() * part;
        let is_usable = usable.is_finite() && usable > 0.0;
        let share = match is_usable {
            true => workspace_share(known, service, call.priority, workspace, usable),
            false => 1.0,
        };
        let rank = self.own.entry(service).or_default();
        let rank = rank.entry(call.priority).or_default();
        let asked = rank.asked.at(now);
        if share >= 1.0 {
            return Ok(1.0);
        }
        if call.has_waited && rank.room.redeem(work_ms, now) {
            return Ok(share);
        }
        // What is kept for calls that return isn't given to others.
        let due = rank.room.due_ms_per_s(now) / (asked * share).max(f64::MIN_POSITIVE);
        let share_now = share * (1.0 - due.clamp(0.0, PROMISED_PART));
        if rank.take_credit(workspace, work_ms, share_now, position) {
            return Ok(share);
        }
        let room_ms_per_s = asked * share * PROMISED_PART;
        let max_wait_us = DurationUs::from_secs_f64(call.left_us.as_secs_f64() * MAX_WAIT_PART);
        let waits_us = (MIN_WAIT_US, max_wait_us);
        let promised = rank
            .room
            .promise(work_ms, room_ms_per_s, waits_us, position, now);
        // Without room the latest return is the likeliest to find the overload gone.
        let latest_us = max_wait_us.as_secs_f64() * (1.0 + position) / 2.0;
        let latest_us = DurationUs::from_secs_f64(latest_us).max(MIN_WAIT_US);
        Err(ShareRefusal {
            share_permille: (share * 1_000.0) as u16,
            retry_after_us: promised.unwrap_or(latest_us),
            is_promised: promised.is_some(),
        })
    }

    fn count(&mut self, service: u32, priority: u8, workspace: u32, work_ms: f64, now: TimeUs) {
        let ranks = self.own.entry(service).or_default();
        let rank = ranks.entry(priority).or_default();
        rank.asked.add(work_ms, now);
        if !rank.workspaces.contains_key(&workspace) && rank.workspaces.len() >= MAX_OWN_WORKSPACES
        {
            let work = |(_, own): &(&u32, &OwnWorkspace)| own.asked.at(now);
            let by_work =
                |a: &(&u32, &OwnWorkspace), b: &(&u32, &OwnWorkspace)| work(a).total_cmp(&work(b));
            let lightest = rank.workspaces.iter().min_by(by_work).map(|(key, _)| *key);
            lightest.and_then(|lightest| rank.workspaces.remove(&lightest));
        }
        let own = rank.workspaces.entry(workspace).or_default();
        own.asked.add(work_ms, now);
    }

    fn own_report(&self, now: TimeUs) -> WorkReport {
        let mut report = WorkReport {
            daemons: 1,
            services: BTreeMap::new(),
        };
        for (service, ranks) in &self.own {
            let is_idle = |rank: &OwnRank| rank.asked.at(now) < MIN_REPORTED_MS_PER_S;
            let works = ranks.iter().filter(|(_, rank)| !is_idle(rank));
            let works = works.map(|(priority, rank)| {
                let heavy = rank.workspaces.iter();
                let heavy = heavy.map(|(key, own)| (*key, own.asked.at(now) as u32));
                let work = RankWork {
                    total: rank.asked.at(now).ceil() as u32,
                    heavy: heavy.filter(|(_, asked)| *asked > 0).collect(),
                };
                (*priority, work)
            });
            let works: BTreeMap<u8, RankWork> = works.collect();
            if !works.is_empty() {
                report.services.insert(*service, works);
            }
        }
        report
    }

    fn fresh_peers(&self, now: TimeUs) -> impl Iterator<Item = &PeerReport> {
        let is_fresh = move |peer: &&PeerReport| now.since(peer.received_at_us) <= REPORT_TTL_US;
        self.peers.values().filter(is_fresh)
    }

    /// Sums the work of this daemon and all others, as far as it is known.
    fn update_known(&mut self, receives_sums: bool, now: TimeUs) {
        let is_current = |at| now.since(at) < SUM_TTL_US;
        if self.known_at_us.is_some_and(is_current) {
            return;
        }
        let mut report = self.own_report(now);
        if receives_sums {
            // Two hubs that both serve this daemon for a moment report the same work.
            let hubs = self.fresh_peers(now).filter(|peer| peer.is_hub);
            if let Some(newest) = hubs.max_by_key(|peer| peer.received_at_us) {
                report.add(&newest.report);
            }
        } else {
            for peer in self.fresh_peers(now) {
                report.add(&peer.report);
            }
        }
        report.keep_heaviest(MAX_KNOWN_WORKSPACES);
        self.known = report;
        self.known_at_us = Some(now);
    }
}

impl OwnRank {
    /// Returns whether a workspace has saved up enough for a call. Each call adds its share.
    ///
    /// The first one begins at `position` from 0 to 1 of its work, so that the daemons of a fleet don't
    /// all admit or all refuse their first calls.
    fn take_credit(&mut self, workspace: u32, work_ms: f64, share: f64, position: f64) -> bool {
        let own = self.workspaces.entry(workspace).or_default();
        let credit_ms = own.credit_ms.unwrap_or(work_ms * position) + work_ms * share;
        let is_admitted = credit_ms >= work_ms;
        let left_ms = match is_admitted {
            true => credit_ms - work_ms,
            false => credit_ms,
        };
        own.credit_ms = Some(left_ms);
        is_admitted
    }
}

/// Returns the part of a workspace's work that is admitted.
fn workspace_share(
    known: &WorkReport,
    service: u32,
    priority: u8,
    workspace: u32,
    usable: f64,
) -> f64 {
    let (total, more_urgent) = known.totals(service, priority);
    if total <= usable * UNSHARED_PART {
        return 1.0;
    }
    let rank = known.demand(service, priority);
    let Some(level) = rank.level((usable - more_urgent).max(0.0)) else {
        return 1.0;
    };
    let mut demand = known.workspace(service, priority, workspace);
    if demand.asked <= 0.0 {
        demand.asked = rank.unlisted_size();
    }
    if demand.more_urgent + demand.asked <= level * LEVEL_TOLERANCE {
        return 1.0;
    }
    ((level - demand.more_urgent) / demand.asked).clamp(MIN_SHARE, 1.0)
}

/// Returns the rank of a call: by its priority, which a workspace may set, and among calls of the same
/// priority by that of the route.
pub fn rank(priority: u8, route_priority: u8) -> u8 {
    /// Number of priorities; larger ones count as the largest.
    const PRIORITIES: u8 = 16;
    let last = PRIORITIES - 1;
    priority.min(last) * PRIORITIES + route_priority.min(last)
}

/// Returns the hash by which a service or a workspace is named in reports.
fn short_name(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
