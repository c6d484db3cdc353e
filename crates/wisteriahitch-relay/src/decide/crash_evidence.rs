//! Attributes endpoint crashes to the calls that were running at the endpoint when its process
//! ended.
//!
//! A broken connection alone is no evidence of a crash: it may have been reset, a link may have
//! been cut, or the endpoint may have left as planned. It counts as a crash only together with
//! evidence that the process has ended: a connection that is refused right after the break, the
//! registration of the endpoint's next instance, or a report of another daemon.

use std::collections::HashMap;
use std::io::ErrorKind;

use wisteriahitch_types::{DurationUs, TimeUs};

use super::answer_progress::AnswerProgress;
use crate::site::CallAttributes;

/// Time for which a broken call counts as related to later evidence of a crash. A refused
/// connection is evidence at once; the next instance registers after up to three heartbeats of
/// about 1.2 s, and gossip takes up to another 0.6 s.
const EVIDENCE_WINDOW_US: DurationUs = DurationUs::from_ms(5_000);

/// Minimum interval between two probes of the same instance. If its process is still running, for
/// example after a connection reset, each probe costs the endpoint a connection.
const MIN_PROBE_INTERVAL_US: DurationUs = DurationUs::from_ms(500);

/// Time after the end of an answer without a length until the process is probed. Until then the
/// answer to another call may show that the process is running, at no cost.
const ANSWER_END_PROBE_DELAY_US: DurationUs = DurationUs::from_ms(100);

/// Maximum number of tracked instances. Up to 30% of 1,200 endpoints may end at once. Beyond this
/// bound the least recently updated instances are evicted; their crashes are learned from other
/// daemons or not counted.
const MAX_INSTANCES: usize = 512;

/// Maximum number of broken calls recorded for one instance: twice the number of requests that the
/// largest known engine runs at once.
const MAX_BROKEN_CALLS: usize = 128;

/// A call whose connection broke, or ended as the answer did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BrokenCall {
    /// What the call may have in common with others.
    pub attributes: CallAttributes,
    /// How far its answer had got.
    pub progress: AnswerProgress,
}

/// What to do after the connection of a call broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrokenCallVerdict {
    /// The endpoint is already known to have crashed.
    Crashed,
    /// The cause is unknown; the caller must probe the process after this delay.
    Probe(DurationUs),
    /// The cause is unknown, and a probe is already scheduled.
    Unknown,
}

/// What is known of the process of an endpoint after a given time, such as the end of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// It was running after that time, so that an answer which ended then is complete.
    Alive,
    /// It has ended, and isn't known to have been running after that time.
    Crashed,
    /// Neither is known.
    Unknown,
}

impl Liveness {
    /// Returns the label for logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Liveness::Alive => "alive",
            Liveness::Crashed => "crashed",
            Liveness::Unknown => "unknown",
        }
    }
}

/// What a failed connection attempt says about the process at an endpoint's address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectFailure {
    /// No process listens at the address.
    Refused,
    /// A process has just closed its listener: the system had accepted the connection for it and
    /// then reset it.
    Reset,
    /// The cause may also be the network link.
    Unknown,
}

impl ConnectFailure {
    /// Classifies the I/O error of the connection attempt.
    pub fn from_error_kind(error: ErrorKind) -> Self {
        match error {
            ErrorKind::ConnectionRefused => Self::Refused,
            ErrorKind::ConnectionReset => Self::Reset,
            _ => Self::Unknown,
        }
    }
}

/// A call for which it is unknown whether the process ended with its connection.
#[derive(Debug)]
struct PendingCall {
    call: BrokenCall,
    /// Whether the answer may be whole, since one without a length ends with its connection.
    may_be_whole: bool,
    ended_at_us: TimeUs,
}

#[derive(Debug, Default)]
struct InstanceEvidence {
    pending: Vec<PendingCall>,
    last_updated_us: TimeUs,
    /// Time of the last probe, or of the next one if it is still scheduled.
    last_probe_us: Option<TimeUs>,
    /// Time of the last probe after the end of an answer, or of the next one.
    last_late_probe_us: Option<TimeUs>,
    /// Latest time at which the process itself is known to have been running.
    last_alive_us: Option<TimeUs>,
    /// Whether a liveness query to the process is in progress.
    is_querying: bool,
    has_crashed: bool,
    /// When the crash became known.
    crash_known_at_us: Option<TimeUs>,
}

impl InstanceEvidence {
    fn add_pending(&mut self, call: BrokenCall, may_be_whole: bool, now: TimeUs) {
        if self.pending.len() < MAX_BROKEN_CALLS {
            self.pending.push(PendingCall {
                call,
                may_be_whole,
                ended_at_us: now,
            });
        }
    }

    /// Schedules a probe for now, or for the earliest time that [`MIN_PROBE_INTERVAL_US`] allows.
    ///
    /// A probe only explains breaks before it: a process that was running when a link was reset may
    /// end a moment later, so a later break needs a probe of its own.
    fn schedule_probe(&mut self, now: TimeUs) -> BrokenCallVerdict {
        if self.last_probe_us.is_some_and(|at| at > now) {
            return BrokenCallVerdict::Unknown;
        }
        let at = self.earliest_probe(now);
        self.last_probe_us = Some(at);
        BrokenCallVerdict::Probe(at.since(now))
    }

    /// Schedules a probe for the end of an answer, which is no sign of a crash by itself.
    fn schedule_late_probe(&mut self, now: TimeUs) -> BrokenCallVerdict {
        let is_scheduled = |at: Option<TimeUs>| at.is_some_and(|at| at > now);
        if is_scheduled(self.last_probe_us) || is_scheduled(self.last_late_probe_us) {
            return BrokenCallVerdict::Unknown;
        }
        let at = self.earliest_probe(now + ANSWER_END_PROBE_DELAY_US);
        self.last_late_probe_us = Some(at);
        BrokenCallVerdict::Probe(at.since(now))
    }

    /// Returns the earliest time from `at` on that [`MIN_PROBE_INTERVAL_US`] allows.
    fn earliest_probe(&self, at: TimeUs) -> TimeUs {
        let last = self.last_probe_us.max(self.last_late_probe_us);
        let last = last.filter(|last| *last <= at);
        last.map_or(at, |last| at.max(last + MIN_PROBE_INTERVAL_US))
    }
}

/// Broken calls and known crashes, by the short name of the endpoint instance.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    instances: HashMap<u32, InstanceEvidence>,
}

impl CrashEvidence {
    /// Records that the connection of a call broke at an endpoint instance.
    pub fn record_broken_call(
        &mut self,
        instance: u32,
        call: BrokenCall,
        now: TimeUs,
    ) -> BrokenCallVerdict {
        let evidence = self.entry(instance, now);
        if evidence.has_crashed {
            return BrokenCallVerdict::Crashed;
        }
        evidence.add_pending(call, false, now);
        evidence.schedule_probe(now)
    }

    /// Records that an answer without a length ended with its connection. It counts as whole once
    /// the process is known to have been running after that ([`Self::record_alive`]).
    pub fn record_answer_end(
        &mut self,
        instance: u32,
        call: BrokenCall,
        now: TimeUs,
    ) -> BrokenCallVerdict {
        let evidence = self.entry(instance, now);
        if evidence.has_crashed {
            return BrokenCallVerdict::Crashed;
        }
        evidence.add_pending(call, true, now);
        evidence.schedule_late_probe(now)
    }

    /// Returns whether an endpoint instance is known to have crashed.
    pub fn has_crashed(&self, instance: u32) -> bool {
        self.instances
            .get(&instance)
            .is_some_and(|evidence| evidence.has_crashed)
    }

    /// Returns whether it is unknown for a call at an endpoint instance whether the process ended.
    pub fn is_open(&self, instance: u32) -> bool {
        let evidence = self.instances.get(&instance);
        evidence.is_some_and(|evidence| !evidence.has_crashed && !evidence.pending.is_empty())
    }

    /// Records evidence that an endpoint instance has ended. Returns the calls that broke there, or
    /// `None` if the crash was already known.
    pub fn record_crash(&mut self, instance: u32, now: TimeUs) -> Option<Vec<BrokenCall>> {
        let evidence = self.entry(instance, now);
        let is_new = !std::mem::replace(&mut evidence.has_crashed, true);
        if is_new {
            evidence.crash_known_at_us = Some(now);
        }
        let pending = std::mem::take(&mut evidence.pending).into_iter();
        is_new.then(|| pending.map(|pending| pending.call).collect())
    }

    /// Records that the process itself was still running at `alive_at`, and discards the calls that
    /// ended before. Returns those whose answers are now known to be whole.
    ///
    /// Calls that broke did so for another reason. If they were kept, they would be blamed for a
    /// planned shutdown and restart some seconds later.
    pub fn record_alive(&mut self, instance: u32, alive_at: TimeUs) -> Vec<CallAttributes> {
        let Some(evidence) = self.instances.get_mut(&instance) else {
            return Vec::new();
        };
        evidence.last_alive_us = evidence.last_alive_us.max(Some(alive_at));
        // A process that runs later than its crash was recorded hasn't crashed.
        evidence.has_crashed &= evidence.crash_known_at_us >= Some(alive_at);
        let ended = evidence
            .pending
            .extract_if(.., |pending| pending.ended_at_us <= alive_at);
        let whole = ended.filter(|pending| pending.may_be_whole);
        whole.map(|pending| pending.call.attributes).collect()
    }

    /// Records that some process was listening at the address of an instance at `listened_at`, and
    /// discards the calls that broke before.
    ///
    /// It may be the instance's successor, so this doesn't show that an answer is whole.
    pub fn record_listening(&mut self, instance: u32, listened_at: TimeUs) {
        if let Some(evidence) = self.instances.get_mut(&instance) {
            evidence
                .pending
                .retain(|pending| pending.may_be_whole || pending.ended_at_us > listened_at);
        }
    }

    /// Returns what is known of an instance after `ended_at`, when an answer of it ended with its
    /// connection.
    pub fn liveness_after(&self, instance: u32, ended_at: TimeUs) -> Liveness {
        match self.instances.get(&instance) {
            Some(evidence) if evidence.last_alive_us > Some(ended_at) => Liveness::Alive,
            Some(evidence) if evidence.has_crashed => Liveness::Crashed,
            _ => Liveness::Unknown,
        }
    }

    /// Returns whether a liveness query to an instance is in progress.
    pub fn is_querying(&self, instance: u32) -> bool {
        let evidence = self.instances.get(&instance);
        evidence.is_some_and(|evidence| evidence.is_querying)
    }

    /// Records that a liveness query is sent to an instance; it is in progress until
    /// [`Self::end_query`].
    pub fn begin_query(&mut self, instance: u32, now: TimeUs) {
        self.entry(instance, now).is_querying = true;
    }

    /// Records that a liveness query has ended, with or without a response.
    pub fn end_query(&mut self, instance: u32) {
        if let Some(evidence) = self.instances.get_mut(&instance) {
            evidence.is_querying = false;
        }
    }

    /// Returns the record of an instance, without calls that broke too long ago for new evidence.
    fn entry(&mut self, instance: u32, now: TimeUs) -> &mut InstanceEvidence {
        if self.instances.len() >= MAX_INSTANCES && !self.instances.contains_key(&instance) {
            self.evict_oldest();
        }
        let evidence = self.instances.entry(instance).or_default();
        if now.since(evidence.last_updated_us) > EVIDENCE_WINDOW_US {
            evidence.pending.clear();
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
