//! Groups claims into conditional writes and settles what became of them.

use std::collections::BTreeMap;

use wisteriahitch_types::TimeUs;

use super::request::ClaimRequest;
use super::work::{Phase, ShardWork};
use super::{ClaimCommand, ClaimLimits, ClaimShard, ClaimState, ClaimTime, UndecidedCause};
use crate::once::{ClaimHolder, ClaimNonce, ClaimSnapshot, Fingerprint, OnceKey};

/// Claims callers' keys in the object store, many with one write.
///
/// While a call on a shard's object is under way, further requests for that shard are collected
/// and go with the next write. Nothing is held in memory of a shard without work, since its object
/// may be large. The shell carries out each command and reports its result exactly once.
pub struct ClaimBatcher {
    pub(super) holder: ClaimHolder,
    pub(super) limits: ClaimLimits,
    pub(super) shards: BTreeMap<ClaimShard, ShardWork>,
    pub(super) away_until: TimeUs,
}

impl ClaimBatcher {
    /// Builds the batcher of one life of a daemon, which `holder` names.
    pub fn new(holder: ClaimHolder, limits: ClaimLimits) -> Self {
        Self {
            holder,
            limits,
            shards: BTreeMap::new(),
            away_until: TimeUs::ZERO,
        }
    }

    /// Asks for a claim on a key under the nonce that the table gave for it.
    ///
    /// Tickets need no claim; one that is passed here is answered as undecided.
    pub fn claim(
        &mut self,
        key: &OnceKey,
        fingerprint: Fingerprint,
        nonce: ClaimNonce,
        time: ClaimTime,
    ) -> Vec<ClaimCommand> {
        let OnceKey::Claimed { hash, .. } = key else {
            return vec![undecided(key, UndecidedCause::Contended)];
        };
        // Nobody can decide while the platform is away, and holding requests for it would fill
        // the daemon with work that waits for one dead service.
        if time.now < self.away_until {
            return vec![undecided(key, UndecidedCause::PlatformAway)];
        }
        let shard = ClaimShard::of(hash);
        let request = ClaimRequest {
            key: key.clone(),
            hash: *hash,
            fingerprint,
            nonce,
            since: time.now,
            tries: 0,
        };
        self.work(shard).push(request);
        self.start(shard).into_iter().collect()
    }

    /// Writes down that a claimed request ran, or that it was refused and will not run.
    ///
    /// This is for repeats at other daemons after this one has died; safety doesn't rest on it.
    pub fn settle(
        &mut self,
        key: &OnceKey,
        nonce: ClaimNonce,
        state: ClaimState,
        time: ClaimTime,
    ) -> Vec<ClaimCommand> {
        let OnceKey::Claimed { hash, .. } = key else {
            return Vec::new();
        };
        if state == ClaimState::Claimed {
            return Vec::new();
        }
        let shard = ClaimShard::of(hash);
        let max_outcomes = self.limits.max_outcomes;
        self.work(shard)
            .push_outcome(*hash, nonce, state, max_outcomes);
        if time.now < self.away_until {
            return Vec::new();
        }
        self.start(shard).into_iter().collect()
    }

    /// Goes on with a shard after the wait that [`ClaimCommand::Retry`] asked for.
    pub fn retry(&mut self, shard: ClaimShard) -> Vec<ClaimCommand> {
        let work = self.work(shard);
        if matches!(work.phase, Phase::BackingOff) {
            work.phase = Phase::Idle;
        }
        self.start(shard).into_iter().collect()
    }

    /// Gives up requests that waited too long, and takes up outcomes left over from an outage.
    pub fn tick(&mut self, time: ClaimTime) -> Vec<ClaimCommand> {
        let hold_us = self.limits.hold_us.get();
        let limit = TimeUs::new(time.now.get().saturating_sub(hold_us));
        let late = self.shards.values_mut().map(|w| w.take_older_than(limit));
        let late: Vec<ClaimRequest> = late.flatten().collect();
        let mut commands = all_undecided(&late, UndecidedCause::HeldTooLong);
        if time.now >= self.away_until {
            let shards: Vec<ClaimShard> = self.shards.keys().copied().collect();
            commands.extend(shards.into_iter().filter_map(|shard| self.start(shard)));
        }
        commands
    }

    /// Returns when the platform will be tried again, for the caller's retry time.
    pub fn away_until(&self) -> TimeUs {
        self.away_until
    }

    /// Returns whether something is being claimed or written down that the platform can take now.
    ///
    /// A draining process waits for it, but not for a platform that is away.
    pub fn has_open_work(&self, now: TimeUs) -> bool {
        now >= self.away_until && !self.shards.is_empty()
    }

    /// Returns what a dump shows.
    pub fn snapshot(&self) -> ClaimSnapshot {
        let shards = self.shards.iter();
        ClaimSnapshot {
            away_until_us: self.away_until,
            shards: shards.map(|(shard, work)| work.snapshot(*shard)).collect(),
        }
    }

    pub(super) fn work(&mut self, shard: ClaimShard) -> &mut ShardWork {
        self.shards.entry(shard).or_default()
    }

    pub(super) fn start(&mut self, shard: ClaimShard) -> Option<ClaimCommand> {
        let work = self.work(shard);
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

pub(super) fn undecided(key: &OnceKey, cause: UndecidedCause) -> ClaimCommand {
    ClaimCommand::Undecided(key.clone(), cause)
}

pub(super) fn all_undecided(requests: &[ClaimRequest], cause: UndecidedCause) -> Vec<ClaimCommand> {
    let commands = requests.iter().map(|r| undecided(&r.key, cause));
    commands.collect()
}
