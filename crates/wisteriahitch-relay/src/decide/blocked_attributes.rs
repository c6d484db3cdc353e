//! Blocked attributes of calls, and the trials that end wrong blocks.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{DurationUs, TimeUs};

use super::suspects::SuspectTable;
use crate::site::{CallAttribute, CallAttributes};

/// Time after which a blocked attribute that no longer arrives is unblocked.
const BLOCK_TTL_US: DurationUs = DurationUs::from_ms(3_600_000);

/// Time from a block of a prompt part to its first trial. Each further one takes twice as long.
const FIRST_TRIAL_INTERVAL_US: DurationUs = DurationUs::from_ms(60_000);

/// Maximum time between two trials of a blocked prompt part.
const MAX_TRIAL_INTERVAL_US: DurationUs = DurationUs::from_ms(3_600_000);

/// An attribute whose calls are sent to no endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Blocked {
    pub(super) blocked_at_us: TimeUs,
    pub(super) last_seen_us: TimeUs,
    next_trial_us: TimeUs,
    trial_interval_us: DurationUs,
}

/// Time of the next trial of a blocked attribute, as daemons gossip it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TrialUpdate {
    /// Time until the next trial, in milliseconds.
    pub next_ms: u32,
    /// Time from the last trial, or from the block, to the next one, in milliseconds.
    pub interval_ms: u32,
}

impl Blocked {
    pub(super) fn new(seen_at_us: TimeUs, now: TimeUs) -> Self {
        Self {
            blocked_at_us: now,
            last_seen_us: seen_at_us,
            next_trial_us: now + FIRST_TRIAL_INTERVAL_US,
            trial_interval_us: FIRST_TRIAL_INTERVAL_US,
        }
    }

    /// Returns whether the attribute hasn't arrived for so long that the block ends.
    pub(super) fn is_expired(&self, now: TimeUs) -> bool {
        now.since(self.last_seen_us) > BLOCK_TTL_US
    }

    /// Returns when the attribute is tried next.
    pub(super) fn trial_update(&self, now: TimeUs) -> TrialUpdate {
        let in_ms = |time_us: DurationUs| u32::try_from(time_us.as_ms()).unwrap_or(u32::MAX);
        TrialUpdate {
            next_ms: in_ms(self.next_trial_us.since(now)),
            interval_ms: in_ms(self.trial_interval_us),
        }
    }

    /// Applies what another daemon knows of trials, so that one that takes them over after others
    /// doesn't begin anew.
    pub(super) fn apply_trial_update(&mut self, update: TrialUpdate, now: TimeUs) {
        let in_us = |time_ms: u32| DurationUs::from_ms(time_ms.into()).min(MAX_TRIAL_INTERVAL_US);
        self.next_trial_us = self.next_trial_us.max(now + in_us(update.next_ms));
        self.trial_interval_us = self.trial_interval_us.max(in_us(update.interval_ms));
    }

    fn start_trial(&mut self, now: TimeUs) {
        let doubled = DurationUs::new(self.trial_interval_us.get() * 2);
        self.trial_interval_us = doubled.min(MAX_TRIAL_INTERVAL_US);
        self.next_trial_us = now + self.trial_interval_us;
    }
}

/// Whether a call that has arrived may be sent to endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallAdmission {
    /// Nothing that it has is blocked.
    Allowed,
    /// A part of its prompt is blocked, and the call tries whether it still crashes an endpoint.
    Trial,
    /// It has this blocked attribute.
    Blocked(CallAttribute),
}

impl SuspectTable {
    /// Returns the first blocked attribute of a call.
    pub fn blocked_attribute(&self, attributes: &CallAttributes) -> Option<CallAttribute> {
        let mut attributes = attributes.iter();
        attributes.find(|attribute| self.blocked.contains_key(attribute))
    }

    /// Returns whether an attribute is blocked.
    pub fn is_blocked(&self, attribute: CallAttribute) -> bool {
        self.blocked.contains_key(&attribute)
    }

    /// Records that a call has arrived, and decides whether it may be sent to endpoints.
    ///
    /// No call with a blocked part runs, so that no answer could clear a part that was blocked by
    /// mistake, and all callers that share it would be refused for as long as they come. Therefore
    /// one call is sent all the same after a minute, and after twice the time as long as it
    /// crashes an endpoint again. `may_try` says whether this daemon is the one that tries.
    pub fn admit(
        &mut self,
        attributes: &CallAttributes,
        may_try: bool,
        now: TimeUs,
    ) -> CallAdmission {
        let mut admission = CallAdmission::Allowed;
        for attribute in attributes.iter() {
            let Some(blocked) = self.blocked.get_mut(&attribute) else {
                continue;
            };
            blocked.last_seen_us = now;
            let is_trial = admission == CallAdmission::Allowed
                && matches!(attribute, CallAttribute::PromptPart(_))
                && may_try
                && blocked.next_trial_us <= now;
            admission = match admission {
                CallAdmission::Blocked(_) => admission,
                _ if is_trial => CallAdmission::Trial,
                _ => CallAdmission::Blocked(attribute),
            };
        }
        if admission == CallAdmission::Trial {
            for attribute in attributes.iter() {
                if let Some(blocked) = self.blocked.get_mut(&attribute) {
                    blocked.start_trial(now);
                }
            }
        }
        admission
    }

    /// Restores a block from persistent storage. Returns whether it is new.
    pub fn restore_block(&mut self, attribute: CallAttribute, now: TimeUs) -> bool {
        if self.is_blocked(attribute) || self.is_cleared(attribute, now) {
            return false;
        }
        self.block(attribute, now, now);
        true
    }

    /// Returns the blocked attributes, and the time since each last arrived.
    pub fn blocked(&self, now: TimeUs) -> Vec<(CallAttribute, DurationUs)> {
        let absent = |blocked: &Blocked| now.since(blocked.last_seen_us);
        let mut blocked: Vec<_> = self
            .blocked
            .iter()
            .map(|(attribute, blocked)| (*attribute, absent(blocked)))
            .collect();
        blocked.sort_unstable();
        blocked
    }

    /// Returns the number of blocked attributes.
    pub fn blocked_count(&self) -> usize {
        self.blocked.len()
    }
}
