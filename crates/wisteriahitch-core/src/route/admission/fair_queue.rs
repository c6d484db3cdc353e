//! Start-time fair queueing of the workspaces that wait for one service.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use wisteriahitch_types::WorkspaceId;

/// Virtual time, in cost over weight, scaled to whole numbers so that it can be ordered.
type VirtualTime = u128;

/// Workspaces whose weights stand for those of all that wait, so that a step costs no more with
/// thousands of them.
const MAX_SAMPLED_WEIGHTS: usize = 64;

/// Virtual time of one unit of cost at weight one.
const VIRTUAL_TIME_SCALE: u128 = 1 << 20;

/// Place of a request in its workspace's queue: highest priority first, then in order of arrival.
///
/// No two requests of one queue share a place.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    priority: Reverse<u8>,
    arrival_number: u64,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    /// Virtual time at which what it has begun would have ended.
    finish: VirtualTime,
    /// Start tag under which it stands in the order; nothing while it waits for nothing.
    start: Option<VirtualTime>,
    waiting: BTreeMap<Rank, u64>,
}

/// Orders workspaces by the virtual time at which their next request starts.
///
/// A workspace that was idle starts at the present virtual time: it banks no credit. One that
/// sends more only lengthens its own queue, because each start moves its own tag on.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    virtual_now: VirtualTime,
    flows: HashMap<WorkspaceId, Flow>,
    order: BTreeSet<(VirtualTime, WorkspaceId)>,
    next_arrival_number: u64,
    len: usize,
}

impl FairQueue {
    /// Adds a request with its cost.
    pub(crate) fn push(&mut self, workspace: &WorkspaceId, priority: u8, cost: u64) -> Rank {
        let rank = Rank {
            priority: Reverse(priority),
            arrival_number: self.next_arrival_number,
        };
        self.next_arrival_number += 1;
        self.len += 1;
        let flow = self.flows.entry(workspace.clone()).or_default();
        flow.waiting.insert(rank, cost.max(1));
        if flow.start.is_none() {
            let start = flow.finish.max(self.virtual_now);
            flow.start = Some(start);
            self.order.insert((start, workspace.clone()));
        }
        rank
    }

    /// Takes the request that is next, by the weight of its workspace.
    pub(crate) fn pop(&mut self, weight: impl Fn(&WorkspaceId) -> u32) -> Option<Rank> {
        let (start, workspace) = self.order.pop_first()?;
        let flow = self.flows.get_mut(&workspace)?;
        let (rank, cost) = flow.waiting.pop_first()?;
        self.len -= 1;
        self.virtual_now = self.virtual_now.max(start);
        let weight = u128::from(weight(&workspace).max(1));
        flow.finish = start + u128::from(cost) * VIRTUAL_TIME_SCALE / weight;
        flow.start = None;
        if !flow.waiting.is_empty() {
            flow.start = Some(flow.finish);
            self.order.insert((flow.finish, workspace));
        }
        Some(rank)
    }

    /// Removes a request that still waits.
    pub(crate) fn remove(&mut self, workspace: &WorkspaceId, rank: Rank) {
        let Some(flow) = self.flows.get_mut(workspace) else {
            return;
        };
        if flow.waiting.remove(&rank).is_none() {
            return;
        }
        self.len -= 1;
        if flow.waiting.is_empty()
            && let Some(start) = flow.start.take()
        {
            self.order.remove(&(start, workspace.clone()));
        }
    }

    /// Forgets workspaces that wait for nothing and whose past no longer matters.
    pub(crate) fn remove_idle(&mut self) {
        let now = self.virtual_now;
        self.flows
            .retain(|_, flow| flow.start.is_some() || flow.finish > now);
    }

    /// Returns how many requests wait.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns how many requests of a workspace go before one more of this priority.
    pub(crate) fn count_ahead_of(&self, workspace: &WorkspaceId, priority: u8) -> usize {
        let lowest = Rank {
            priority: Reverse(priority),
            arrival_number: u64::MAX,
        };
        let flow = self.flows.get(workspace);
        flow.map_or(0, |flow| flow.waiting.range(..lowest).count())
    }

    /// Returns the part of the service that a workspace gets beside those that wait now.
    pub(crate) fn share_of(
        &self,
        workspace: &WorkspaceId,
        weight: impl Fn(&WorkspaceId) -> u32,
    ) -> f64 {
        let own = f64::from(weight(workspace).max(1));
        let others = self.order.iter().filter(|(_, other)| other != workspace);
        let sampled = others.take(MAX_SAMPLED_WEIGHTS);
        let weights: Vec<f64> = sampled
            .map(|(_, other)| f64::from(weight(other).max(1)))
            .collect();
        if weights.is_empty() {
            return 1.0;
        }
        let flow = self.flows.get(workspace);
        let is_own_waiting = flow.is_some_and(|flow| flow.start.is_some());
        let count = (self.order.len() - usize::from(is_own_waiting)) as f64;
        let mean = weights.iter().sum::<f64>() / weights.len() as f64;
        own / (own + mean * count)
    }

    /// Returns how many requests of a workspace wait.
    pub(crate) fn count_waiting_of(&self, workspace: &WorkspaceId) -> usize {
        let flow = self.flows.get(workspace);
        flow.map_or(0, |flow| flow.waiting.len())
    }
}
