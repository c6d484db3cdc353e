//! An engine as the model imitates it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use super::plan::EnginePlan;

/// A call at an engine.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) call: usize,
    pub(super) priority: u8,
    /// Parts of the prompt with their sizes; the last one is the call's own.
    pub(super) parts: Vec<(u64, u64)>,
    /// Parts that were fetched and are there when it begins.
    pub(super) fetched_parts: Vec<u64>,
    /// Parts that are saved at a store once they are read.
    pub(super) parts_to_save: Vec<(u64, u64, SocketAddr)>,
    pub(super) output_tokens: u64,
}

impl Job {
    fn tokens(&self) -> u64 {
        self.parts.iter().map(|(_, tokens)| tokens).sum::<u64>() + self.output_tokens
    }
}

/// A prompt that is being read.
#[derive(Debug)]
struct Prefill {
    job: Job,
    remaining_tokens: u64,
}

/// Something that is due at an engine.
#[derive(Clone, Debug)]
pub(super) enum EngineEvent {
    /// A call arrives.
    JobArrives(Job),
    /// A step ends, and with it the reading of these prompts.
    StepEnds(Vec<Job>),
    /// An answer ends.
    AnswerEnds(usize),
}

/// Rank and number of arrival, by which an engine orders its work.
type QueueOrder = (u8, u64);

/// One engine.
#[derive(Debug, Default)]
pub(super) struct Engine {
    /// Counts its lives, so that what was due in an earlier one is told apart.
    pub(super) incarnation: u64,
    pub(super) is_up: bool,
    waiting: BTreeMap<QueueOrder, Job>,
    /// Prompts that are being read, in the order of their admission.
    prefilling: BTreeMap<u64, Prefill>,
    arrivals: u64,
    admissions: u64,
    is_stepping: bool,
    /// Memory of the calls that were admitted.
    running: HashMap<usize, u64>,
    /// Parts that are kept: size and last use.
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

    /// Stops, and returns the calls that are lost with it.
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

    /// Admits what fits, the most urgent first, and returns the parts that are read for it.
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

    /// Returns the parts of a prompt that have to be read: a part is of use only where all before it
    /// are there.
    fn uncached_parts(&self, job: &Job) -> Vec<(u64, u64)> {
        let is_available = |part: u64| self.has_cached(part) || job.fetched_parts.contains(&part);
        let parts = job.parts.iter().copied();
        parts.skip_while(|(part, _)| is_available(*part)).collect()
    }

    /// Begins the next step, and returns how long it takes, in milliseconds, and the prompts whose
    /// reading ends with it; nothing while a step is under way or nothing is to be read.
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

    /// Keeps the parts of a prompt that was read, and returns how long its answer takes, in
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

    /// Drops the least recently used parts until the rest fits beside what runs.
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
