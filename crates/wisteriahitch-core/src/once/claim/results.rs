//! What a shard does next, by the result of its call on the object store.

use std::sync::Arc;

use super::batcher::{all_undecided, undecided};
use super::request::ClaimRequest;
use super::work::{Phase, Standing};
use super::{
    ClaimBatcher, ClaimCommand, ClaimObject, ClaimShard, ClaimTime, ClaimVersion, ReadResult,
    UndecidedCause, WriteResult,
};

impl ClaimBatcher {
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
