//! Which calls were under way at an endpoint when its process ended.
//!
//! A connection that breaks says little: it may have been reset, a link may have been cut, the endpoint may have
//! left. Only together with proof that the process is gone does it say that the endpoint crashed with the call on board.
//! The proof is a connection that is refused right after the break, the next start that registers, or
//! the word of another daemon.

use std::collections::HashMap;
use std::io::ErrorKind;

use wisteriahitch_types::{DurationUs, TimeUs};

use crate::site::RequestFingerprint;

/// Time after a break within which proof of a crash still speaks of it. A refused connection proves it at once;
/// the next start registers after up to three heartbeats of some 1.2 s, and the news takes up to 0.6 s.
const PROOF_WITHIN_US: DurationUs = DurationUs::from_ms(5_000);

/// Least time between two looks at the same life. Where the process lives, as after a reset, each look costs the
/// endpoint a connection.
const LOOK_AGAIN_US: DurationUs = DurationUs::from_ms(500);

/// Lives that are remembered. Thirty in a hundred of 1,200 endpoints may end at once; of more, the oldest are
/// forgotten, and a crash there is learnt from other daemons or not counted.
const MAX_LIVES: usize = 512;

/// Calls that are remembered of one life: twice the requests that the largest known engine runs at once.
const MAX_BROKEN: usize = 128;

/// What follows from a call that broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakMeaning {
    /// The endpoint is known to have crashed.
    Crashed,
    /// Nobody knows yet; it is to be looked whether the process is there, after this time.
    Look(DurationUs),
    /// Nobody knows yet, and somebody will look.
    Unknown,
}

/// Says what a connection that can't be opened tells of the process at an endpoint's address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectFailure {
    /// No process listens there.
    Gone,
    /// A process has just stopped listening: the system had accepted the connection for it and took it back.
    Ending,
    /// It may be the link.
    Unknown,
}

impl ConnectFailure {
    /// Concludes from the error of the connection.
    pub fn of(error: ErrorKind) -> Self {
        match error {
            ErrorKind::ConnectionRefused => Self::Gone,
            ErrorKind::ConnectionReset => Self::Ending,
            _ => Self::Unknown,
        }
    }
}

#[derive(Debug, Default)]
struct Life {
    /// Calls that broke, and when.
    broken: Vec<(RequestFingerprint, TimeUs)>,
    last_at_us: TimeUs,
    /// When it was looked at last, or will be.
    looked_at_us: Option<TimeUs>,
    has_crashed: bool,
}

impl Life {
    /// Has it looked at now, or as soon as that may be again.
    ///
    /// A look answers for the breaks before it alone: a process that lived when a link was reset may end a moment
    /// later, and nobody would look any more.
    fn next_look(&mut self, now: TimeUs) -> BreakMeaning {
        if self.looked_at_us.is_some_and(|at| at > now) {
            return BreakMeaning::Unknown;
        }
        let earliest = self.looked_at_us.map(|at| at + LOOK_AGAIN_US);
        let at = earliest.map_or(now, |earliest| earliest.max(now));
        self.looked_at_us = Some(at);
        BreakMeaning::Look(at.since(now))
    }
}

/// Calls that broke, by the short name of the endpoint's life.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    lives: HashMap<u32, Life>,
}

impl CrashEvidence {
    /// Notes that a call broke at a life.
    pub fn broke(&mut self, life: u32, request: RequestFingerprint, now: TimeUs) -> BreakMeaning {
        let life = self.life(life, now);
        if life.has_crashed {
            return BreakMeaning::Crashed;
        }
        if life.broken.len() < MAX_BROKEN {
            life.broken.push((request, now));
        }
        life.next_look(now)
    }

    /// Returns whether a life is known to have crashed.
    pub fn has_crashed(&self, life: u32) -> bool {
        self.lives.get(&life).is_some_and(|life| life.has_crashed)
    }

    /// Notes proof that a life has ended, and returns the calls that broke there, if that is new.
    pub fn crashed(&mut self, life: u32, now: TimeUs) -> Option<Vec<RequestFingerprint>> {
        let life = self.life(life, now);
        let is_new = !std::mem::replace(&mut life.has_crashed, true);
        let broken = std::mem::take(&mut life.broken).into_iter();
        is_new.then(|| broken.map(|(request, _)| request).collect())
    }

    /// Notes that a process was there when it was looked at.
    ///
    /// What broke before has another cause. Kept, it would be held against the calls that the process ends as planned
    /// some seconds later, and starts again.
    pub fn found_alive(&mut self, life: u32, looked_at: TimeUs) {
        if let Some(life) = self.lives.get_mut(&life) {
            life.broken.retain(|(_, at)| *at > looked_at);
        }
    }

    /// Returns the life, without what is too old to be proven.
    fn life(&mut self, name: u32, now: TimeUs) -> &mut Life {
        if self.lives.len() >= MAX_LIVES && !self.lives.contains_key(&name) {
            self.make_room();
        }
        let life = self.lives.entry(name).or_default();
        if now.since(life.last_at_us) > PROOF_WITHIN_US {
            life.broken.clear();
        }
        life.last_at_us = now;
        life
    }

    fn make_room(&mut self) {
        let oldest = self.lives.iter().min_by_key(|(_, life)| life.last_at_us);
        if let Some(oldest) = oldest.map(|(name, _)| *name) {
            self.lives.remove(&oldest);
        }
    }
}
