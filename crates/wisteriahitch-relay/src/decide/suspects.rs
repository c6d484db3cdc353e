//! Detects what crashes endpoints, and blocks the calls that have it.
//!
//! Load pattern: a request, or any request with a certain part in its prompt, crashes each endpoint
//! which begins to run it, and is sent again and again, to any daemon. With each endpoint all
//! requests that run there, about fifteen others, and its cached parts are lost; a fleet of nine
//! engines lost 31 of them in 35 s. A single crash does not show which of the running requests
//! caused it, so all attributes of all of them are suspects, and the evidence is added up over all
//! daemons:
//!
//! - A complete answer of any endpoint clears all attributes of a call: what crashes every endpoint
//!   never gets one. Prompt parts are also cleared by an endpoint that goes on writing.
//! - A request under which [`CRASHES_TO_BLOCK`] endpoints have crashed is blocked: no daemon sends
//!   it to an endpoint any more. A prompt part is blocked after as many crashes, unless another one
//!   explains them as well ([`SuspectTable::block_due`]).
//! - Crashes that are explained by a blocked attribute no longer count against others.
//!
//! `docs/design/crashing-requests.md` gives the reasons of each limit.

use std::collections::{BTreeMap, HashMap};

use wisteriahitch_types::{DurationUs, TimeUs};

use super::answer_progress::AnswerProgress;
use super::blocked_attributes::Blocked;
use super::call_histories::CallHistories;
use super::explained_crashes::ExplainedCrashes;
use super::gossip_message::CrashUpdate;
use super::recent_updates::RecentUpdates;
use super::suspect_gossip::crash_priority;
use crate::site::{CallAttribute, CallAttributes};

/// Number of crashes after which a request is blocked. The users allow three, and fewer would block
/// more innocent requests: one that is retried after each of two unrelated crashes has seen two.
pub const CRASHES_TO_BLOCK: usize = 3;

/// Number of crashes after which a prompt part is blocked although a less specific one was in the
/// prompts at all of them too. The users allow five.
const CRASHES_TO_BLOCK_AMBIGUOUS: usize = 5;

/// Number of crashes from which on a call is sent to the endpoint with the fewest running requests.
/// All requests that ran during one crash have seen one; an innocent one hardly ever sees two
/// without an answer in between.
const CRASHES_TO_ISOLATE: usize = 2;

/// Minimum number of crashes of a prompt part that no blocked request explains, if one explains the
/// others. A request that is repeated leaves the same evidence against its own parts.
const UNEXPLAINED_CRASHES: usize = 2;

/// Minimum time from the first crash of a prompt part to its block. Endpoints that lose power at the
/// same moment have popular parts in common, which calls at the other endpoints clear within this
/// time, and other daemons report their answers.
const PART_OBSERVATION_US: DurationUs = DurationUs::from_ms(1_000);

/// Time after which the crashes of an attribute expire. A caller that repeats for longer than an
/// hour has paused by then; if the request crashes endpoints again, three are lost per hour.
const RECORD_TTL_US: DurationUs = DurationUs::from_ms(3_600_000);

/// Time for which a lifted block is not applied again from daemons that have not yet received the
/// lift.
const LIFTED_TTL_US: DurationUs = DurationUs::from_ms(10_000);

/// Maximum number of suspects: all requests that run on 30% of 1,200 engines with ten requests
/// each. Beyond that, those with the fewest crashes are evicted, the oldest first.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of blocked attributes. Beyond that, the one that has not arrived for longest is
/// unblocked.
const MAX_BLOCKED: usize = 256;

/// A crash of an endpoint while a call was running there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Short name of the endpoint instance.
    pub instance: u32,
    /// How far the answer to the call had got.
    pub progress: AnswerProgress,
}

/// A crash that counts against an attribute.
#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    /// Furthest progress of the calls with the attribute at the endpoint.
    progress: AnswerProgress,
    recorded_at_us: TimeUs,
}

/// Crashes that count against one attribute.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    /// By the short name of the endpoint instance.
    crashes: BTreeMap<u32, CrashRecord>,
    /// Whether this daemon observed one of the crashes itself.
    is_direct: bool,
    last_crash_us: TimeUs,
}

impl Suspect {
    /// Returns the number of crashes.
    pub(super) fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether calls with this attribute were running at all crashes of `other`.
    fn covers(&self, other: &Suspect) -> bool {
        let mut instances = other.crashes.keys();
        self.crash_count() >= other.crash_count()
            && instances.all(|instance| self.crashes.contains_key(instance))
    }

    fn first_crash(&self) -> Option<TimeUs> {
        self.crashes
            .values()
            .map(|record| record.recorded_at_us)
            .min()
    }
}

/// An attribute that is blocked from now on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewBlock {
    /// What is blocked.
    pub attribute: CallAttribute,
    /// Whether this daemon observed one of the crashes itself, which decides who stores the block.
    pub is_direct: bool,
}

/// Blocks and unblocks that an update of another daemon caused.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BlockChanges {
    /// Attributes that are blocked now.
    pub blocked: Vec<NewBlock>,
    /// Attributes that are no longer blocked.
    pub unblocked: Vec<CallAttribute>,
}

/// All suspects and blocked attributes.
#[derive(Debug, Default)]
pub struct SuspectTable {
    pub(super) suspects: HashMap<CallAttribute, Suspect>,
    pub(super) blocked: HashMap<CallAttribute, Blocked>,
    pub(super) histories: CallHistories,
    pub(super) lifted: HashMap<CallAttribute, TimeUs>,
    explained: ExplainedCrashes,
    pub(super) recent_crashes: RecentUpdates<CrashUpdate>,
    pub(super) recent_cleared: RecentUpdates<CallAttribute>,
    pub(super) recent_lifted: RecentUpdates<CallAttribute>,
}

impl SuspectTable {
    /// Records that an attempt at a call is sent to an endpoint.
    pub fn record_sent(&mut self, attributes: &CallAttributes) {
        self.histories.record_sent(attributes);
    }

    /// Records that an endpoint instance crashed while a call with `attribute` was running there.
    /// `is_direct` says whether this daemon observed the crash itself or another daemon reported
    /// it.
    pub fn record_crash(
        &mut self,
        attribute: CallAttribute,
        crash: Crash,
        is_direct: bool,
        now: TimeUs,
    ) {
        if self
            .histories
            .progress(attribute, now)
            .refutes(crash.progress)
        {
            // A daemon that still suspects the attribute has not received the answer.
            self.recent_cleared.add(attribute, now);
            return;
        }
        let is_explained = self.explained.is_explained(attribute, crash.instance);
        if self.blocked.contains_key(&attribute) || is_explained {
            return;
        }
        self.evict_suspects();
        let suspect = self.suspects.entry(attribute).or_default();
        if now.since(suspect.last_crash_us) > RECORD_TTL_US {
            *suspect = Suspect::default();
        }
        suspect.is_direct |= is_direct;
        suspect.last_crash_us = now;
        if let Some(record) = suspect.crashes.get_mut(&crash.instance) {
            record.progress = record.progress.max(crash.progress);
            return;
        }
        let record = CrashRecord {
            progress: crash.progress,
            recorded_at_us: now,
        };
        suspect.crashes.insert(crash.instance, record);
        let update = CrashUpdate {
            attribute,
            endpoint: crash.instance,
            progress: crash.progress,
        };
        if self.recent_crashes.is_full() {
            self.recent_crashes
                .remove_least_important(|update| crash_priority(&self.suspects, update));
        }
        self.recent_crashes.add(update, now);
    }

    /// Blocks every attribute against which there is enough evidence, and returns them.
    ///
    /// A request is blocked after [`CRASHES_TO_BLOCK`] crashes. A prompt part is too, once it has
    /// been observed for long enough, if it is the only part that was in the prompts at all of
    /// these crashes. The first part of most prompts, for example, is at every crash until an answer
    /// clears it; so while there are others, the part is blocked only after more crashes, and only
    /// if it is the most specific one.
    pub fn block_due(&mut self, now: TimeUs) -> Vec<NewBlock> {
        let mut blocks = Vec::new();
        while let Some(attribute) = self.next_due(now) {
            let suspect = self.suspects.get(&attribute);
            let is_direct = suspect.is_some_and(|suspect| suspect.is_direct);
            self.block(attribute, now, now);
            blocks.push(NewBlock {
                attribute,
                is_direct,
            });
        }
        blocks
    }

    fn next_due(&self, now: TimeUs) -> Option<CallAttribute> {
        let suspects = self.suspects.iter();
        let due = suspects.filter(|(attribute, suspect)| {
            suspect.crash_count() >= CRASHES_TO_BLOCK
                && match attribute {
                    CallAttribute::Request(_) => true,
                    CallAttribute::PromptPart(_) => self.is_part_due(**attribute, suspect, now),
                }
        });
        due.map(|(attribute, _)| *attribute).min()
    }

    /// Returns whether a prompt part with enough crashes is to be blocked.
    fn is_part_due(&self, part: CallAttribute, suspect: &Suspect, now: TimeUs) -> bool {
        let first_crash = suspect.first_crash().unwrap_or(now);
        if now.since(first_crash) < PART_OBSERVATION_US {
            return false;
        }
        let crashes = suspect.crashes.keys();
        let explained = crashes.filter(|instance| self.explained.by_request(**instance));
        let explained = explained.count();
        if explained > 0 && suspect.crash_count() - explained < UNEXPLAINED_CRASHES {
            return false;
        }
        let specificity = self.histories.specificity(part);
        let rivals = self.suspects.iter().filter(|(rival, other)| {
            **rival != part
                && matches!(rival, CallAttribute::PromptPart(_))
                && other.covers(suspect)
        });
        let mut rivals = rivals.map(|(rival, _)| self.histories.specificity(*rival));
        match suspect.crash_count() < CRASHES_TO_BLOCK_AMBIGUOUS {
            true => rivals.next().is_none(),
            false => rivals.all(|rival| specificity < rival),
        }
    }

    /// Records how far an answer to a call got, which clears attributes of their crashes: a request
    /// by the whole answer alone, a prompt part also by an endpoint that wrote on for longer than
    /// those that crashed. Returns the attributes whose block that ends.
    pub fn record_progress(
        &mut self,
        attributes: &CallAttributes,
        progress: AnswerProgress,
        now: TimeUs,
    ) -> Vec<CallAttribute> {
        let attributes = attributes.iter();
        attributes
            .filter(|attribute| self.record_attribute_progress(*attribute, progress, now))
            .collect()
    }

    /// Records how far an answer to a call with `attribute` got. Returns whether that ends a block.
    pub(super) fn record_attribute_progress(
        &mut self,
        attribute: CallAttribute,
        progress: AnswerProgress,
        now: TimeUs,
    ) -> bool {
        let is_whole = progress == AnswerProgress::WHOLE;
        if matches!(attribute, CallAttribute::Request(_)) && !is_whole {
            return false;
        }
        self.histories.record_progress(attribute, progress, now);
        let mut is_news = false;
        if let Some(suspect) = self.suspects.get_mut(&attribute) {
            let crashes = suspect.crash_count();
            suspect
                .crashes
                .retain(|_, record| !progress.refutes(record.progress));
            is_news = suspect.crash_count() < crashes;
            if suspect.crashes.is_empty() {
                self.suspects.remove(&attribute);
            }
        }
        let was_blocked = is_whole && self.blocked.remove(&attribute).is_some();
        if is_news || was_blocked {
            self.recent_cleared.add(attribute, now);
        }
        was_blocked
    }

    /// Returns whether other endpoint instances than this one crashed under an attribute of a call.
    pub fn has_crashed_elsewhere(&self, attributes: &CallAttributes, instance: u32) -> bool {
        let mut suspects = attributes.iter().filter_map(|a| self.suspects.get(&a));
        suspects.any(|suspect| suspect.crashes.keys().any(|crashed| *crashed != instance))
    }

    /// Returns whether a call is to be sent to the endpoint with the fewest running requests.
    pub fn needs_isolation(&self, attributes: &CallAttributes) -> bool {
        let mut suspects = attributes.iter().filter_map(|a| self.suspects.get(&a));
        suspects.any(|suspect| suspect.crash_count() >= CRASHES_TO_ISOLATE)
    }

    /// Ends a block by an operator's order. Returns whether there was one.
    ///
    /// Crashes recorded for the attribute so far no longer count.
    pub fn lift_block(&mut self, attribute: CallAttribute, now: TimeUs) -> bool {
        self.suspects.remove(&attribute);
        self.lifted.insert(attribute, now + LIFTED_TTL_US);
        self.recent_lifted.add(attribute, now);
        self.blocked.remove(&attribute).is_some()
    }

    /// Removes expired records, and returns the attributes that are no longer blocked.
    pub fn tick(&mut self, now: TimeUs) -> Vec<CallAttribute> {
        self.lifted.retain(|_, until| *until > now);
        let expired = self.blocked.iter().filter(|(_, b)| b.is_expired(now));
        let expired: Vec<CallAttribute> = expired.map(|(attribute, _)| *attribute).collect();
        for attribute in &expired {
            self.blocked.remove(attribute);
        }
        expired
    }

    /// Blocks an attribute, and removes the crashes that this explains from other suspects.
    pub(super) fn block(&mut self, attribute: CallAttribute, seen_at_us: TimeUs, now: TimeUs) {
        let crashes = self.suspects.remove(&attribute).unwrap_or_default().crashes;
        self.explained.add(attribute, crashes.into_keys());
        let explained = &self.explained;
        self.suspects.retain(|suspected, suspect| {
            suspect
                .crashes
                .retain(|instance, _| !explained.is_explained(*suspected, *instance));
            !suspect.crashes.is_empty()
        });
        if self.blocked.len() >= MAX_BLOCKED {
            let oldest = self.blocked.iter().min_by_key(|(_, b)| b.last_seen_us);
            if let Some(oldest) = oldest.map(|(attribute, _)| *attribute) {
                self.blocked.remove(&oldest);
            }
        }
        self.blocked
            .insert(attribute, Blocked::new(seen_at_us, now));
    }

    /// Returns whether an answer to a call with `attribute` cleared it recently.
    pub(super) fn is_cleared(&self, attribute: CallAttribute, now: TimeUs) -> bool {
        self.histories.progress(attribute, now) == AnswerProgress::WHOLE
    }

    /// Evicts a quarter of the suspects if there are too many.
    fn evict_suspects(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let mut ranked: Vec<_> = self
            .suspects
            .iter()
            .map(|(attribute, suspect)| (suspect.crash_count(), suspect.last_crash_us, *attribute))
            .collect();
        ranked.sort_unstable();
        for (_, _, attribute) in ranked.into_iter().take(MAX_SUSPECTS / 4) {
            self.suspects.remove(&attribute);
        }
    }

    /// Returns the number of suspect requests.
    pub fn suspect_request_count(&self) -> usize {
        let suspects = self.suspects.keys();
        let requests = suspects.filter(|suspect| matches!(suspect, CallAttribute::Request(_)));
        requests.count()
    }

    /// Returns the number of suspects of all kinds.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }
}
