//! Reports of the work that callers ask for, as daemons send them to each other.
//!
//! Load pattern: a fleet of hundreds of daemons serves thousands of workspaces, and each daemon sees
//! a few calls a second. Only the sum over all daemons shows who asks for more than its share. A
//! workspace within its share is never throttled, so only the heaviest ones are reported.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::message_sections::SectionContent;
use super::water_level::{RankDemand, WorkspaceDemand};

/// Maximum number of services in a report.
const MAX_SERVICES: usize = 16;
/// Maximum number of ranks in a report, over all services.
const MAX_RANKS: usize = 24;
/// Maximum number of workspaces in a report, over all services. With these limits a report takes at
/// most 900 bytes.
const MAX_WORKSPACES: usize = 56;
/// Maximum rate of work that a report may state, in milliseconds of an endpoint per second: that of
/// a million endpoints.
const MAX_WORK_MS_PER_S: u32 = 1_000_000_000;
/// Maximum number of daemons that a report may stand for.
const MAX_DAEMONS: u32 = 100_000;

/// Work of one rank of a service, in milliseconds of an endpoint per second.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RankWork {
    /// Work of all workspaces.
    pub total: u32,
    /// Work of the heaviest workspaces, by the hash of their ids.
    pub heavy: BTreeMap<u32, u32>,
}

/// Work that callers ask for at one daemon or several.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkReport {
    /// Number of daemons whose calls are counted.
    pub daemons: u32,
    /// Work by the hash of the service's name and by priority.
    pub services: BTreeMap<u32, BTreeMap<u8, RankWork>>,
}

impl SectionContent for WorkReport {
    const TAG: u8 = 2;
}

impl WorkReport {
    /// Adds the work of other daemons.
    pub fn add(&mut self, other: &Self) {
        self.daemons = self.daemons.saturating_add(other.daemons);
        for (service, ranks) in &other.services {
            let own = self.services.entry(*service).or_default();
            for (priority, work) in ranks {
                let own = own.entry(*priority).or_default();
                own.total = own.total.saturating_add(work.total);
                for (workspace, asked) in &work.heavy {
                    let own = own.heavy.entry(*workspace).or_default();
                    *own = own.saturating_add(*asked);
                }
            }
        }
    }

    /// Subtracts work that the receiver of this report has itself reported.
    ///
    /// The receiver may have reported since this report was summed, so that its figures differ from
    /// those in the sum.
    pub fn subtract(&mut self, other: &Self) {
        self.daemons = self.daemons.saturating_sub(other.daemons).max(1);
        for (service, ranks) in &other.services {
            for (priority, work) in ranks {
                let own = self.services.get_mut(service);
                let Some(own) = own.and_then(|own| own.get_mut(priority)) else {
                    continue;
                };
                own.total = own.total.saturating_sub(work.total);
                for (workspace, asked) in &work.heavy {
                    if let Some(own) = own.heavy.get_mut(workspace) {
                        *own = own.saturating_sub(*asked);
                    }
                }
                let listed = own.heavy.values();
                let listed = listed.fold(0, |sum: u32, asked| sum.saturating_add(*asked));
                own.total = own.total.max(listed);
            }
        }
    }

    /// Leaves out what doesn't fit into a message: services, ranks and workspaces, those with the
    /// least work first.
    pub fn bounded(mut self) -> Self {
        let asked = |ranks: &BTreeMap<u8, RankWork>| {
            let totals = ranks.values().map(|work| u64::from(work.total));
            totals.sum::<u64>()
        };
        while self.services.len() > MAX_SERVICES {
            let lightest = self.services.iter().min_by_key(|(_, ranks)| asked(ranks));
            let lightest = lightest.map(|(service, _)| *service);
            lightest.and_then(|service| self.services.remove(&service));
        }
        let ranks = |report: &Self| report.services.values().map(BTreeMap::len).sum::<usize>();
        while ranks(&self) > MAX_RANKS {
            let all = self.services.iter().flat_map(|(service, ranks)| {
                let ranks = ranks.iter();
                ranks.map(|(rank, work)| (work.total, *service, *rank))
            });
            let Some((_, service, rank)) = all.min() else {
                break;
            };
            if let Some(ranks) = self.services.get_mut(&service) {
                ranks.remove(&rank);
            }
        }
        self.keep_heaviest(MAX_WORKSPACES);
        self
    }

    /// Leaves out all but the heaviest workspaces.
    pub(super) fn keep_heaviest(&mut self, max_workspaces: usize) {
        let ranks = self.services.values().flat_map(BTreeMap::values);
        let mut asked: Vec<u32> = ranks
            .flat_map(|work| work.heavy.values())
            .copied()
            .collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        let least = asked.get(max_workspaces).copied().unwrap_or(0);
        let above = asked.iter().filter(|asked| **asked > least).count();
        let mut ties_left = max_workspaces.saturating_sub(above);
        for work in self.services.values_mut().flat_map(BTreeMap::values_mut) {
            work.heavy.retain(|_, asked| match (*asked).cmp(&least) {
                Ordering::Greater => true,
                Ordering::Equal if ties_left > 0 && *asked > 0 => {
                    ties_left -= 1;
                    true
                }
                _ => false,
            });
        }
    }

    /// Returns whether all figures are possible. A report that isn't must not be used: a single
    /// absurd figure would have the callers of all daemons refused.
    pub fn is_plausible(&self) -> bool {
        let ranks = || self.services.values().flat_map(BTreeMap::values);
        let is_plausible = |work: &RankWork| {
            let listed: u64 = work.heavy.values().copied().map(u64::from).sum();
            // Each listed figure is rounded on its own.
            let rounding = work.heavy.len() as u64 + u64::from(self.daemons);
            work.total <= MAX_WORK_MS_PER_S && listed <= u64::from(work.total) + rounding
        };
        (1..=MAX_DAEMONS).contains(&self.daemons)
            && self.services.len() <= MAX_SERVICES
            && ranks().count() <= MAX_RANKS
            && ranks().map(|work| work.heavy.len()).sum::<usize>() <= MAX_WORKSPACES
            && ranks().all(is_plausible)
    }

    /// Returns what all ranks of a service ask for together, and the more urgent ones than
    /// `priority`, in milliseconds of an endpoint per second.
    pub(super) fn totals(&self, service: u32, priority: u8) -> (f64, f64) {
        let ranks = || self.services.get(&service).into_iter().flatten();
        let total = ranks().map(|(_, work)| f64::from(work.total)).sum();
        let more_urgent = ranks().filter(|(rank, _)| **rank < priority);
        let more_urgent = more_urgent.map(|(_, work)| f64::from(work.total)).sum();
        (total, more_urgent)
    }

    /// Returns what the workspaces of a rank ask for.
    pub(super) fn demand(&self, service: u32, priority: u8) -> RankDemand {
        let ranks = self.services.get(&service);
        let Some(work) = ranks.and_then(|ranks| ranks.get(&priority)) else {
            return RankDemand::default();
        };
        let heavy = work.heavy.keys();
        RankDemand {
            total: f64::from(work.total),
            heavy: heavy
                .map(|workspace| self.workspace(service, priority, *workspace))
                .filter(|workspace| workspace.asked > 0.0)
                .collect(),
        }
    }

    /// Returns what a workspace asks for, as far as it is listed.
    pub(super) fn workspace(&self, service: u32, priority: u8, workspace: u32) -> WorkspaceDemand {
        let mut demand = WorkspaceDemand::default();
        for (rank, work) in self.services.get(&service).into_iter().flatten() {
            let asked = work.heavy.get(&workspace).copied().map_or(0.0, f64::from);
            match rank.cmp(&priority) {
                Ordering::Less => demand.more_urgent += asked,
                Ordering::Equal => demand.asked = asked,
                Ordering::Greater => {}
            }
        }
        demand
    }
}
