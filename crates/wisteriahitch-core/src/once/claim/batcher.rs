//! Groups claims into conditional writes and settles what became of them.

use std::collections::BTreeMap;

use wisteriahitch_types::TimeUs;

use super::request::ClaimRequest;
use super::work::{Phase, ShardWork};
use super::{ClaimCommand, ClaimLimits, ClaimShard, ClaimState, ClaimTime, UndecidedCause};
use crate::once::{ClaimHolder, ClaimNonce, ClaimSnapshot, Fingerprint, IdempotencyKey};

/// Claims callers' keys in the object store, many with one write.
///
/// While a call on a shard's object is under way, further requests for that shard are collected
/// and go with the next write. Nothing is held in memory of a shard without work, since its object
/// may be large. The shell carries out each command and reports its result exactly once.
pub struct ClaimBatcher {
    pub(super) holder: ClaimHolder,
    pub(super) limits: ClaimLimits,
    pub(super) shards: BTreeMap<ClaimShard, ShardWork>,
    pub(super) unavailable_until: TimeUs,
}

impl ClaimBatcher {
    /// Builds the batcher of one life of a daemon, which `holder` names.
    pub fn new(holder: ClaimHolder, limits: ClaimLimits) -> Self {
        Self {
            holder,
            limits,
            shards: BTreeMap::new(),
            unavailable_until: TimeUs::ZERO,
        }
    }

    /// Asks for a claim on a key under the nonce that the table gave for it.
    ///
    /// Tickets need no claim; one that is passed here is answered as undecided.
    pub fn claim(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
        nonce: ClaimNonce,
        time: ClaimTime,
    ) -> Vec<ClaimCommand> {
        let IdempotencyKey::Claimed { hash, .. } = key else {
            return vec![undecided(key, UndecidedCause::Contended)];
        };
        // Nobody can decide while the platform is away, and holding requests for it would fill
        // the daemon with work that waits for one dead service.
        if time.now < self.unavailable_until {
            return vec![undecided(key, UndecidedCause::PlatformAway)];
        }
        let shard = ClaimShard::of(hash);
        let request = ClaimRequest {
            key: key.clone(),
            hash: *hash,
            fingerprint,
            nonce,
            requested_at: time.now,
            write_attempts: 0,
        };
        self.shard_work(shard).push(request);
        self.start_read(shard).into_iter().collect()
    }

    /// Writes down that a claimed request ran, or that it was refused and will not run.
    ///
    /// This is for repeats at other daemons after this one has died; safety doesn't rest on it.
    pub fn record_outcome(
        &mut self,
        key: &IdempotencyKey,
        nonce: ClaimNonce,
        state: ClaimState,
        time: ClaimTime,
    ) -> Vec<ClaimCommand> {
        let IdempotencyKey::Claimed { hash, .. } = key else {
            return Vec::new();
        };
        if state == ClaimState::Claimed {
            return Vec::new();
        }
        let shard = ClaimShard::of(hash);
        let max_pending_outcomes = self.limits.max_pending_outcomes;
        self.shard_work(shard)
            .push_outcome(*hash, nonce, state, max_pending_outcomes);
        if time.now < self.unavailable_until {
            return Vec::new();
        }
        self.start_read(shard).into_iter().collect()
    }

    /// Goes on with a shard after the wait that [`ClaimCommand::Retry`] asked for.
    pub fn retry(&mut self, shard: ClaimShard) -> Vec<ClaimCommand> {
        let work = self.shard_work(shard);
        if matches!(work.phase, Phase::BackingOff) {
            work.phase = Phase::Idle;
        }
        self.start_read(shard).into_iter().collect()
    }

    /// Gives up requests that waited too long, and takes up outcomes left over from an outage.
    pub fn tick(&mut self, time: ClaimTime) -> Vec<ClaimCommand> {
        let timeout_us = self.limits.claim_timeout_us.get();
        let earliest = TimeUs::new(time.now.get().saturating_sub(timeout_us));
        let timed_out = self
            .shards
            .values_mut()
            .map(|w| w.remove_requested_before(earliest));
        let timed_out: Vec<ClaimRequest> = timed_out.flatten().collect();
        let mut commands = all_undecided(&timed_out, UndecidedCause::HeldTooLong);
        if time.now >= self.unavailable_until {
            let shards: Vec<ClaimShard> = self.shards.keys().copied().collect();
            commands.extend(
                shards
                    .into_iter()
                    .filter_map(|shard| self.start_read(shard)),
            );
        }
        commands
    }

    /// Returns when the platform will be tried again, for the caller's retry time.
    pub fn unavailable_until(&self) -> TimeUs {
        self.unavailable_until
    }

    /// Returns whether something is being claimed or written down that the platform can take now.
    ///
    /// A draining process waits for it, but not for a platform that is away.
    pub fn has_pending_work(&self, now: TimeUs) -> bool {
        now >= self.unavailable_until && !self.shards.is_empty()
    }

    /// Returns what a dump shows.
    pub fn snapshot(&self) -> ClaimSnapshot {
        let shards = self.shards.iter();
        ClaimSnapshot {
            away_until_us: self.unavailable_until,
            shards: shards.map(|(shard, work)| work.snapshot(*shard)).collect(),
        }
    }

    pub(super) fn shard_work(&mut self, shard: ClaimShard) -> &mut ShardWork {
        self.shards.entry(shard).or_default()
    }

    pub(super) fn start_read(&mut self, shard: ClaimShard) -> Option<ClaimCommand> {
        let work = self.shard_work(shard);
        if !work.is_idle() {
            return None;
        }
        if !work.has_work() {
            self.shards.remove(&shard);
            return None;
        }
        work.phase = Phase::Reading;
        Some(ClaimCommand::Read(shard))
    }
}

pub(super) fn undecided(key: &IdempotencyKey, cause: UndecidedCause) -> ClaimCommand {
    ClaimCommand::Undecided(key.clone(), cause)
}

pub(super) fn all_undecided(requests: &[ClaimRequest], cause: UndecidedCause) -> Vec<ClaimCommand> {
    let commands = requests.iter().map(|r| undecided(&r.key, cause));
    commands.collect()
}
