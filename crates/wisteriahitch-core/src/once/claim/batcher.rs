//! Groups claims into conditional writes and settles what became of them.

use std::collections::BTreeMap;
use std::sync::Arc;

use wisteriahitch_types::TimeUs;

use super::request::ClaimRequest;
use super::work::{Phase, ShardWork, Standing};
use super::{
    ClaimCommand, ClaimLimits, ClaimObject, ClaimShard, ClaimState, ClaimTime, ClaimVersion,
    ReadResult, UndecidedCause, WriteResult,
};
use crate::once::{ClaimHolder, ClaimNonce, ClaimSnapshot, Fingerprint, OnceKey};

/// Claims callers' keys in the object store, many with one write.
///
/// While a call on a shard's object is under way, further requests for that shard are collected
/// and go with the next write. Nothing is held in memory of a shard without work, since its object
/// may be large. The shell carries out each command and reports its result exactly once.
pub struct ClaimBatcher {
    holder: ClaimHolder,
    limits: ClaimLimits,
    shards: BTreeMap<ClaimShard, ShardWork>,
    away_until: TimeUs,
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

    /// Takes the result of a [`ClaimCommand::Read`].
    pub fn on_read(
        &mut self,
        shard: ClaimShard,
        result: ReadResult,
        time: ClaimTime,
    ) -> Vec<ClaimCommand> {
        if !matches!(self.work(shard).phase, Phase::Reading) {
            return Vec::new();
        }
        match result {
            ReadResult::Found(version, object) => {
                self.advance(shard, Some(version), Arc::new(object), time)
            }
            ReadResult::Missing => self.advance(shard, None, Arc::default(), time),
            ReadResult::Unavailable => self.give_up(shard, time),
        }
    }

    /// Takes the result of a [`ClaimCommand::WriteGroup`].
    pub fn on_write(
        &mut self,
        shard: ClaimShard,
        result: WriteResult,
        time: ClaimTime,
    ) -> Vec<ClaimCommand> {
        let Phase::Writing(content) = self.work(shard).phase.clone() else {
            return Vec::new();
        };
        match result {
            WriteResult::Written(version) => {
                self.work(shard).conflicts = 0;
                self.advance(shard, Some(version), content, time)
            }
            WriteResult::Conflict => self.back_off(shard),
            // The write may have taken effect or still may. Only a later version of the object
            // shows it, by the nonce; until then neither claim nor refusal is certain.
            WriteResult::AnswerLost => self.read_back(shard),
            WriteResult::Unavailable => self.give_up(shard, time),
        }
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

    fn work(&mut self, shard: ClaimShard) -> &mut ShardWork {
        self.shards.entry(shard).or_default()
    }

    fn start(&mut self, shard: ClaimShard) -> Option<ClaimCommand> {
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

    /// Decides what a version of the object decides, and writes the rest on top of it.
    fn advance(
        &mut self,
        shard: ClaimShard,
        version: Option<ClaimVersion>,
        object: Arc<ClaimObject>,
        time: ClaimTime,
    ) -> Vec<ClaimCommand> {
        let (holder, limits) = (self.holder.clone(), self.limits);
        let work = self.work(shard);
        let decided = work.resolve(&object, holder.incarnation, &limits, time);
        let mut commands: Vec<ClaimCommand> = decided.into_iter().map(decide).collect();
        if !work.has_work() {
            self.shards.remove(&shard);
            return commands;
        }
        let (content, refused) = work.build(&object, &holder, &limits, time);
        commands.extend(all_undecided(&refused, UndecidedCause::ShardFull));
        if !work.has_work() {
            self.shards.remove(&shard);
            return commands;
        }
        let content = Arc::new(content);
        work.phase = Phase::Writing(content.clone());
        commands.push(ClaimCommand::WriteGroup {
            shard,
            expected: version,
            content,
        });
        commands
    }

    fn back_off(&mut self, shard: ClaimShard) -> Vec<ClaimCommand> {
        let max_tries = self.limits.max_tries;
        let work = self.work(shard);
        work.conflicts += 1;
        work.phase = Phase::BackingOff;
        let tries = work.conflicts;
        let tired = work.take_tired(max_tries);
        let mut commands = all_undecided(&tired, UndecidedCause::Contended);
        commands.push(ClaimCommand::Retry { shard, tries });
        commands
    }

    fn read_back(&mut self, shard: ClaimShard) -> Vec<ClaimCommand> {
        let max_tries = self.limits.max_tries;
        let work = self.work(shard);
        work.phase = Phase::Idle;
        let tired = work.take_tired(max_tries);
        let mut commands = all_undecided(&tired, UndecidedCause::Contended);
        // Outcomes alone wait for the next tick: nobody waits for them, and a platform that loses
        // every answer would otherwise be called without a pause.
        if work.has_requests() {
            commands.extend(self.start(shard));
        }
        commands
    }

    fn give_up(&mut self, shard: ClaimShard, time: ClaimTime) -> Vec<ClaimCommand> {
        self.away_until = time.now + self.limits.away_us;
        let work = self.work(shard);
        work.phase = Phase::Idle;
        let waiting = work.take_all();
        all_undecided(&waiting, UndecidedCause::PlatformAway)
    }
}

fn decide((request, standing): (ClaimRequest, Standing)) -> ClaimCommand {
    match standing {
        Standing::Ours => ClaimCommand::Written(request.key),
        Standing::Other(claim) => ClaimCommand::Lost(request.key, claim),
        Standing::Absent => undecided(&request.key, UndecidedCause::Contended),
    }
}

fn undecided(key: &OnceKey, cause: UndecidedCause) -> ClaimCommand {
    ClaimCommand::Undecided(key.clone(), cause)
}

fn all_undecided(requests: &[ClaimRequest], cause: UndecidedCause) -> Vec<ClaimCommand> {
    let commands = requests.iter().map(|r| undecided(&r.key, cause));
    commands.collect()
}
