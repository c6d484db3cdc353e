//! Endpoints that have said in an answer that they leave.
//!
//! Their registrations may say something else: they are read late, not at all while the store is away, and those that
//! lapse meanwhile come back as they were. So what an answer says is kept apart from the registrations, by the life that
//! said it. `docs/design/endpoint-lives.md` says what that means for the next life.

use std::collections::HashMap;

use wisteriahitch_types::{DurationUs, TimeUs};

/// Time for which a life that has gone is remembered: longer than outages of the store after which its registration could
/// come back.
const MEMORY_US: DurationUs = DurationUs::from_ms(600_000);

/// Time for which others are told of a life whose registration isn't known: some hundred messages.
const TOLD_US: DurationUs = DurationUs::from_ms(60_000);

/// Most lives that are remembered: three times the endpoints of the size to design for (docs/DEVELOPERS.md).
const MOST_LIVES: usize = 3_600;

/// The lives, by short name.
#[derive(Debug, Default)]
pub(super) struct LeavingLives {
    heard_at_us: HashMap<u32, TimeUs>,
}

impl LeavingLives {
    /// Notes a life, and returns whether it wasn't known. What is known already isn't renewed, so that daemons don't keep
    /// it up by telling each other.
    pub(super) fn note(&mut self, life: u32, now: TimeUs) -> bool {
        if self.contains(life) {
            return false;
        }
        if self.heard_at_us.len() >= MOST_LIVES {
            self.forget_oldest();
        }
        self.heard_at_us.insert(life, now);
        true
    }

    /// Returns whether a life has said that it leaves.
    pub(super) fn contains(&self, life: u32) -> bool {
        self.heard_at_us.contains_key(&life)
    }

    /// Lists the lives that others are to be told of: those that `is_there`, and those heard of lately.
    pub(super) fn told(&self, is_there: impl Fn(u32) -> bool, now: TimeUs) -> Vec<u32> {
        let heard = self.heard_at_us.iter();
        let told = heard.filter(|(life, at)| now.since(**at) < TOLD_US || is_there(**life));
        let mut lives: Vec<u32> = told.map(|(life, _)| *life).collect();
        // Messages that take turns need one order.
        lives.sort_unstable();
        lives
    }

    /// Forgets lives that have been gone for long.
    pub(super) fn tick(&mut self, is_there: impl Fn(u32) -> bool, now: TimeUs) {
        self.heard_at_us
            .retain(|life, at| now.since(*at) < MEMORY_US || is_there(*life));
    }

    fn forget_oldest(&mut self) {
        let oldest = self.heard_at_us.iter().min_by_key(|(_, at)| **at);
        if let Some(life) = oldest.map(|(life, _)| *life) {
            self.heard_at_us.remove(&life);
        }
    }
}
