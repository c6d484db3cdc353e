//! A simulated engine.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use super::plan::EnginePlan;

/// A call as an engine receives it.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) call: usize,
    pub(super) priority: u8,
    /// Parts of the prompt with their sizes in tokens; the last one is not shared with other calls.
    pub(super) parts: Vec<(u64, u64)>,
    /// Parts that were fetched from another engine or a store before the call is enqueued.
    pub(super) fetched_parts: Vec<u64>,
    /// Parts to save after the prefill: part, tokens and address of the store.
    pub(super) parts_to_save: Vec<(u64, u64, SocketAddr)>,
    pub(super) output_tokens: u64,
}

impl Job {
    fn tokens(&self) -> u64 {
        self.parts.iter().map(|(_, tokens)| tokens).sum::<u64>() + self.output_tokens
    }
}

/// A prompt whose prefill is in progress.
#[derive(Debug)]
struct Prefill {
    job: Job,
    remaining_tokens: u64,
}

/// An event at an engine.
#[derive(Clone, Debug)]
pub(super) enum EngineEvent {
    /// A call arrives.
    JobArrives(Job),
    /// A step ends and completes the prefill of these calls.
    StepEnds(Vec<Job>),
    /// The answer of this call ends.
    AnswerEnds(usize),
}

/// Priority and arrival number, in whose order waiting calls are admitted.
type QueueOrder = (u8, u64);

/// An engine with its queue, running calls and cache.
#[derive(Debug, Default)]
pub(super) struct Engine {
    /// Incremented at each start and stop, so that events of an earlier incarnation are ignored.
    pub(super) incarnation: u64,
    pub(super) is_up: bool,
    waiting: BTreeMap<QueueOrder, Job>,
    /// Prefills in progress, by admission number.
    prefilling: BTreeMap<u64, Prefill>,
    arrivals: u64,
    admissions: u64,
    is_stepping: bool,
    /// Memory in tokens that each admitted call uses.
    running: HashMap<usize, u64>,
    /// Cached parts: size in tokens and the use count at the last use.
    cached_parts: HashMap<u64, (u64, u64)>,
    use_count: u64,
}

impl Engine {
    pub(super) fn start(&mut self) {
        *self = Self {
            incarnation: self.incarnation + 1,
            is_up: true,
            ..Self::default()
        };
    }

    /// Stops the engine and returns the calls that fail with it.
    pub(super) fn stop(&mut self) -> Vec<usize> {
        let waiting = self.waiting.values().map(|job| job.call);
        let lost = waiting.chain(self.running.keys().copied()).collect();
        *self = Self {
            incarnation: self.incarnation + 1,
            ..Self::default()
        };
        lost
    }

    pub(super) fn clear_cache(&mut self) {
        self.cached_parts.clear();
    }

    pub(super) fn has_cached(&self, part: u64) -> bool {
        self.cached_parts.contains_key(&part)
    }

    pub(super) fn enqueue(&mut self, job: Job) {
        self.arrivals += 1;
        self.waiting.insert((job.priority, self.arrivals), job);
    }

    /// Admits waiting calls in order of priority while slots and memory suffice, and returns the
    /// parts that must be prefilled for them.
    pub(super) fn admit(&mut self, plan: &EnginePlan) -> Vec<(u64, u64)> {
        let mut unread = Vec::new();
        while let Some(entry) = self.waiting.first_entry() {
            let used: u64 = self.running.values().sum();
            let fits = used == 0 || used + entry.get().tokens() <= plan.memory_tokens;
            if !fits || self.running.len() >= plan.slots as usize {
                break;
            }
            let job = entry.remove();
            self.running.insert(job.call, job.tokens());
            let own_unread = self.uncached_parts(&job);
            let remaining_tokens = own_unread.iter().map(|(_, tokens)| tokens).sum();
            unread.extend(own_unread);
            self.admissions += 1;
            self.prefilling.insert(
                self.admissions,
                Prefill {
                    job,
                    remaining_tokens,
                },
            );
        }
        unread
    }

    /// Returns the parts of a prompt that must be prefilled. A cached part is usable only if all
    /// parts before it are available too.
    fn uncached_parts(&self, job: &Job) -> Vec<(u64, u64)> {
        let is_available = |part: u64| self.has_cached(part) || job.fetched_parts.contains(&part);
        let parts = job.parts.iter().copied();
        parts.skip_while(|(part, _)| is_available(*part)).collect()
    }

    /// Starts the next step and returns its duration in milliseconds and the calls whose prefill it
    /// completes. Returns `None` if a step is in progress or there is nothing to prefill.
    pub(super) fn start_step(&mut self, plan: &EnginePlan) -> Option<(f64, Vec<Job>)> {
        if self.is_stepping || self.prefilling.is_empty() {
            return None;
        }
        let mut budget = plan.chunk_tokens;
        let mut finished = Vec::new();
        for (admission, prefilling) in &mut self.prefilling {
            let tokens = prefilling.remaining_tokens.min(budget);
            prefilling.remaining_tokens -= tokens;
            budget -= tokens;
            if prefilling.remaining_tokens == 0 {
                finished.push(*admission);
            }
            if budget == 0 {
                break;
            }
        }
        self.is_stepping = true;
        let prefilled = (plan.chunk_tokens - budget) as f64;
        let took_ms = prefilled / plan.read_tokens_per_ms + self.step_ms(plan);
        let finished = finished
            .iter()
            .filter_map(|admission| self.prefilling.remove(admission));
        Some((took_ms, finished.map(|prefilling| prefilling.job).collect()))
    }

    pub(super) fn end_step(&mut self) {
        self.is_stepping = false;
    }

    /// Caches the parts of a prefilled prompt and returns how long its answer takes, in
    /// milliseconds.
    pub(super) fn end_prefill(&mut self, job: &Job, plan: &EnginePlan) -> f64 {
        for (part, tokens) in &job.parts {
            self.use_count += 1;
            self.cached_parts.insert(*part, (*tokens, self.use_count));
        }
        self.evict_parts(plan);
        job.output_tokens as f64 * self.step_ms(plan)
    }

    pub(super) fn end_call(&mut self, call: usize) {
        self.running.remove(&call);
    }

    fn step_ms(&self, plan: &EnginePlan) -> f64 {
        plan.step_ms + plan.step_ms_per_running * self.running.len() as f64
    }

    /// Evicts the least recently used parts until the rest fits beside the running calls.
    fn evict_parts(&mut self, plan: &EnginePlan) {
        let used: u64 = self.running.values().sum();
        let free_tokens = plan.memory_tokens.saturating_sub(used);
        let mut by_use: Vec<(u64, u64, u64)> = self
            .cached_parts
            .iter()
            .map(|(part, (tokens, used_at))| (*used_at, *part, *tokens))
            .collect();
        by_use.sort_by_key(|(used_at, _, _)| Reverse(*used_at));
        let mut retained_tokens = 0;
        for (_, part, tokens) in by_use {
            retained_tokens += tokens;
            if retained_tokens > free_tokens {
                self.cached_parts.remove(&part);
            }
        }
    }
}
