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
const EVIDENCE_WINDOW_US: DurationUs = DurationUs::from_ms(5_000);

/// Least time between two looks at the same life. Where the process lives, as after a reset, each look costs the
/// endpoint a connection.
const MIN_PROBE_INTERVAL_US: DurationUs = DurationUs::from_ms(500);

/// Lives that are remembered. Thirty in a hundred of 1,200 endpoints may end at once; of more, the oldest are
/// forgotten, and a crash there is learnt from other daemons or not counted.
const MAX_INSTANCES: usize = 512;

/// Calls that are remembered of one life: twice the requests that the largest known engine runs at once.
const MAX_BROKEN_CALLS: usize = 128;

/// What follows from a call that broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrokenCallVerdict {
    /// The endpoint is known to have crashed.
    Crashed,
    /// Nobody knows yet; it is to be looked whether the process is there, after this time.
    Probe(DurationUs),
    /// Nobody knows yet, and somebody will look.
    Unknown,
}

/// Says what a connection that can't be opened tells of the process at an endpoint's address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectFailure {
    /// No process listens there.
    Refused,
    /// A process has just stopped listening: the system had accepted the connection for it and took it back.
    Reset,
    /// It may be the link.
    Unknown,
}

impl ConnectFailure {
    /// Concludes from the error of the connection.
    pub fn from_error_kind(error: ErrorKind) -> Self {
        match error {
            ErrorKind::ConnectionRefused => Self::Refused,
            ErrorKind::ConnectionReset => Self::Reset,
            _ => Self::Unknown,
        }
    }
}

#[derive(Debug, Default)]
struct InstanceEvidence {
    /// Calls that broke, and when.
    broken_calls: Vec<(RequestFingerprint, TimeUs)>,
    last_updated_us: TimeUs,
    /// When it was looked at last, or will be.
    last_probe_us: Option<TimeUs>,
    has_crashed: bool,
}

impl InstanceEvidence {
    /// Has it looked at now, or as soon as that may be again.
    ///
    /// A look answers for the breaks before it alone: a process that lived when a link was reset may end a moment
    /// later, and nobody would look any more.
    fn schedule_probe(&mut self, now: TimeUs) -> BrokenCallVerdict {
        if self.last_probe_us.is_some_and(|at| at > now) {
            return BrokenCallVerdict::Unknown;
        }
        let earliest = self.last_probe_us.map(|at| at + MIN_PROBE_INTERVAL_US);
        let at = earliest.map_or(now, |earliest| earliest.max(now));
        self.last_probe_us = Some(at);
        BrokenCallVerdict::Probe(at.since(now))
    }
}

/// Calls that broke, by the short name of the endpoint's life.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    instances: HashMap<u32, InstanceEvidence>,
}

impl CrashEvidence {
    /// Notes that a call broke at a life.
    pub fn record_broken_call(
        &mut self,
        instance: u32,
        request: RequestFingerprint,
        now: TimeUs,
    ) -> BrokenCallVerdict {
        let evidence = self.entry(instance, now);
        if evidence.has_crashed {
            return BrokenCallVerdict::Crashed;
        }
        if evidence.broken_calls.len() < MAX_BROKEN_CALLS {
            evidence.broken_calls.push((request, now));
        }
        evidence.schedule_probe(now)
    }

    /// Returns whether a life is known to have crashed.
    pub fn has_crashed(&self, instance: u32) -> bool {
        self.instances
            .get(&instance)
            .is_some_and(|evidence| evidence.has_crashed)
    }

    /// Notes proof that a life has ended, and returns the calls that broke there, if that is new.
    pub fn record_crash(&mut self, instance: u32, now: TimeUs) -> Option<Vec<RequestFingerprint>> {
        let evidence = self.entry(instance, now);
        let is_new = !std::mem::replace(&mut evidence.has_crashed, true);
        let broken_calls = std::mem::take(&mut evidence.broken_calls).into_iter();
        is_new.then(|| broken_calls.map(|(request, _)| request).collect())
    }

    /// Notes that a process was there when it was looked at.
    ///
    /// What broke before has another cause. Kept, it would be held against the calls that the process ends as planned
    /// some seconds later, and starts again.
    pub fn record_alive(&mut self, instance: u32, probed_at: TimeUs) {
        if let Some(evidence) = self.instances.get_mut(&instance) {
            evidence.broken_calls.retain(|(_, at)| *at > probed_at);
        }
    }

    /// Returns the life, without what is too old to be proven.
    fn entry(&mut self, instance: u32, now: TimeUs) -> &mut InstanceEvidence {
        if self.instances.len() >= MAX_INSTANCES && !self.instances.contains_key(&instance) {
            self.evict_oldest();
        }
        let evidence = self.instances.entry(instance).or_default();
        if now.since(evidence.last_updated_us) > EVIDENCE_WINDOW_US {
            evidence.broken_calls.clear();
        }
        evidence.last_updated_us = now;
        evidence
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .instances
            .iter()
            .min_by_key(|(_, evidence)| evidence.last_updated_us);
        if let Some(oldest) = oldest.map(|(instance, _)| *instance) {
            self.instances.remove(&oldest);
        }
    }
}
