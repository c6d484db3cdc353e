//! Groups claims into conditional writes and tracks their results.

use std::collections::BTreeMap;

use wisteriahitch_types::TimeUs;

use super::request::ClaimRequest;
use super::work::{Phase, ShardWork};
use super::{ClaimCommand, ClaimLimits, ClaimShard, ClaimState, ClaimTime, UndecidedCause};
use crate::once::{ClaimHolder, ClaimNonce, ClaimSnapshot, Fingerprint, IdempotencyKey};

/// Claims callers' keys in the object store, many with one write.
///
/// While a call on the object of a shard is in progress, further requests for that shard are
/// collected for the next write. The object of a shard without pending work is not cached, since it
/// may be large. The caller of the batcher must carry out each command and report its result
/// exactly once.
pub struct ClaimBatcher {
    pub(super) holder: ClaimHolder,
    pub(super) limits: ClaimLimits,
    pub(super) shards: BTreeMap<ClaimShard, ShardWork>,
    pub(super) unavailable_until: TimeUs,
}

impl ClaimBatcher {
    /// Creates the batcher of one incarnation of a daemon, which `holder` identifies.
    pub fn new(holder: ClaimHolder, limits: ClaimLimits) -> Self {
        Self {
            holder,
            limits,
            shards: BTreeMap::new(),
            unavailable_until: TimeUs::ZERO,
        }
    }

    /// Requests a claim on a key, with the nonce that the table returned for it.
    ///
    /// Tickets need no claim; a ticket passed here is reported as undecided.
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
        // No claim can be decided while the platform is unavailable, and queueing requests would
        // fill the daemon with work that waits for one failed service.
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

    /// Records in the object store that a claimed request ran, or was refused and will not run.
    ///
    /// Repeats at other daemons use this after this daemon has died. At-most-once execution does
    /// not depend on it.
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

    /// Continues with a shard after the delay that [`ClaimCommand::Retry`] requested.
    pub fn retry(&mut self, shard: ClaimShard) -> Vec<ClaimCommand> {
        let work = self.shard_work(shard);
        if matches!(work.phase, Phase::BackingOff) {
            work.phase = Phase::Idle;
        }
        self.start_read(shard).into_iter().collect()
    }

    /// Times out requests that waited too long, and starts work that was left over from an outage.
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

    /// Returns when the platform will be called again after a failure, for the retry time that
    /// callers are given.
    pub fn unavailable_until(&self) -> TimeUs {
        self.unavailable_until
    }

    /// Returns whether claims or outcomes are pending while the platform is considered available.
    ///
    /// A draining process waits for such work, but not for a platform that is unavailable.
    pub fn has_pending_work(&self, now: TimeUs) -> bool {
        now >= self.unavailable_until && !self.shards.is_empty()
    }

    /// Returns the state of the claims for diagnostics.
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
