//! Start-time fair queueing of the workspaces that wait for one service.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use wisteriahitch_types::WorkspaceId;

/// Virtual time: cost divided by weight, scaled to an integer so that it can be ordered.
type VirtualTime = u128;

/// Maximum number of waiting workspaces whose weights are read to estimate the mean weight.
///
/// It bounds the cost of a step with thousands of waiting workspaces.
const MAX_SAMPLED_WEIGHTS: usize = 64;

/// Virtual time of one unit of cost at weight one.
const VIRTUAL_TIME_SCALE: u128 = 1 << 20;

/// Position of a request in its workspace's queue: highest priority first, then by arrival.
///
/// Ranks are unique within a queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    priority: Reverse<u8>,
    arrival_number: u64,
}

/// The queue of one workspace.
#[derive(Clone, Debug, Default)]
struct Flow {
    /// Virtual time at which the requests it has started end.
    finish: VirtualTime,
    /// Start tag of its next request in `FairQueue::order`; `None` while no request waits.
    start: Option<VirtualTime>,
    /// Costs of the waiting requests.
    waiting: BTreeMap<Rank, u64>,
}

/// Orders workspaces by the virtual time at which their next request starts.
///
/// A workspace that was idle starts at the current virtual time, so it accumulates no credit. One
/// that sends more only lengthens its own queue, because each started request advances its tag.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    /// Largest start tag of a request that was started.
    virtual_now: VirtualTime,
    flows: HashMap<WorkspaceId, Flow>,
    /// Start tags of the workspaces with waiting requests.
    order: BTreeSet<(VirtualTime, WorkspaceId)>,
    /// Arrival number of the next request.
    next_arrival_number: u64,
    /// Number of waiting requests of all workspaces.
    len: usize,
}

impl FairQueue {
    /// Adds a request with its cost and returns its rank; a cost of zero counts as one.
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

    /// Removes and returns the request that is next, given the workspaces' weights.
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

    /// Removes a request if it is still waiting.
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

    /// Removes workspaces without waiting requests whose tag no longer affects the order.
    pub(crate) fn remove_idle(&mut self) {
        let now = self.virtual_now;
        self.flows
            .retain(|_, flow| flow.start.is_some() || flow.finish > now);
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns how many waiting requests of a workspace precede a new one with this priority.
    pub(crate) fn count_ahead_of(&self, workspace: &WorkspaceId, priority: u8) -> usize {
        let lowest = Rank {
            priority: Reverse(priority),
            arrival_number: u64::MAX,
        };
        let flow = self.flows.get(workspace);
        flow.map_or(0, |flow| flow.waiting.range(..lowest).count())
    }

    /// Estimates the share of the service that a workspace gets beside those that wait now.
    ///
    /// It lies between 0 and 1. The weights of at most [`MAX_SAMPLED_WEIGHTS`] other workspaces are
    /// read.
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

    /// Returns the number of waiting requests of a workspace.
    pub(crate) fn count_waiting_of(&self, workspace: &WorkspaceId) -> usize {
        let flow = self.flows.get(workspace);
        flow.map_or(0, |flow| flow.waiting.len())
    }
}
