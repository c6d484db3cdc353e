//! Handles the results of calls on the object store.

use std::sync::Arc;

use super::batcher::{all_undecided, undecided};
use super::request::ClaimRequest;
use super::work::{ClaimStatus, Phase};
use super::{
    ClaimBatcher, ClaimCommand, ClaimObject, ClaimShard, ClaimTime, ClaimVersion, ReadResult,
    UndecidedCause, WriteResult,
};

impl ClaimBatcher {
    /// Handles the result of a [`ClaimCommand::Read`].
    pub fn on_read(
        &mut self,
        shard: ClaimShard,
        result: ReadResult,
        time: ClaimTime,
    ) -> Vec<ClaimCommand> {
        if !matches!(self.shard_work(shard).phase, Phase::Reading) {
            return Vec::new();
        }
        match result {
            ReadResult::Found(version, object) => {
                self.advance(shard, Some(version), Arc::new(object), time)
            }
            ReadResult::Missing => self.advance(shard, None, Arc::default(), time),
            ReadResult::Unavailable => self.handle_outage(shard, time),
        }
    }

    /// Handles the result of a [`ClaimCommand::WriteGroup`].
    pub fn on_write(
        &mut self,
        shard: ClaimShard,
        result: WriteResult,
        time: ClaimTime,
    ) -> Vec<ClaimCommand> {
        let Phase::Writing(content) = self.shard_work(shard).phase.clone() else {
            return Vec::new();
        };
        match result {
            WriteResult::Written(version) => {
                self.shard_work(shard).conflicts = 0;
                self.advance(shard, Some(version), content, time)
            }
            WriteResult::Conflict => self.back_off(shard),
            // The write may have taken effect, or may still do so. Only the nonces in a later
            // version of the object show it; until then neither the claim nor a refusal is certain.
            WriteResult::AnswerLost => self.read_back(shard),
            WriteResult::Unavailable => self.handle_outage(shard, time),
        }
    }

    /// Decides the requests that this version of the object decides, and writes the remaining
    /// claims on top of it.
    fn advance(
        &mut self,
        shard: ClaimShard,
        version: Option<ClaimVersion>,
        object: Arc<ClaimObject>,
        time: ClaimTime,
    ) -> Vec<ClaimCommand> {
        let (holder, limits) = (self.holder.clone(), self.limits);
        let work = self.shard_work(shard);
        let decided = work.resolve(&object, holder.incarnation, &limits, time);
        let mut commands: Vec<ClaimCommand> = decided.into_iter().map(decision_command).collect();
        if !work.has_work() {
            self.shards.remove(&shard);
            return commands;
        }
        let (content, refused) = work.build_content(&object, &holder, &limits, time);
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
        let max_write_attempts = self.limits.max_write_attempts;
        let work = self.shard_work(shard);
        work.conflicts += 1;
        work.phase = Phase::BackingOff;
        let tries = work.conflicts;
        let exhausted = work.record_failed_write(max_write_attempts);
        let mut commands = all_undecided(&exhausted, UndecidedCause::Contended);
        commands.push(ClaimCommand::Retry { shard, tries });
        commands
    }

    fn read_back(&mut self, shard: ClaimShard) -> Vec<ClaimCommand> {
        let max_write_attempts = self.limits.max_write_attempts;
        let work = self.shard_work(shard);
        work.phase = Phase::Idle;
        let exhausted = work.record_failed_write(max_write_attempts);
        let mut commands = all_undecided(&exhausted, UndecidedCause::Contended);
        // If only outcomes are pending, they wait for the next tick: no caller waits for them, and
        // a platform that loses every answer would otherwise be called in a tight loop.
        if work.has_requests() {
            commands.extend(self.start_read(shard));
        }
        commands
    }

    fn handle_outage(&mut self, shard: ClaimShard, time: ClaimTime) -> Vec<ClaimCommand> {
        self.unavailable_until = time.now + self.limits.outage_backoff_us;
        let work = self.shard_work(shard);
        work.phase = Phase::Idle;
        let requests = work.take_requests();
        all_undecided(&requests, UndecidedCause::PlatformAway)
    }
}

fn decision_command((request, status): (ClaimRequest, ClaimStatus)) -> ClaimCommand {
    match status {
        ClaimStatus::Ours => ClaimCommand::Written(request.key),
        ClaimStatus::Other(claim) => ClaimCommand::Lost(request.key, claim),
        ClaimStatus::Absent => undecided(&request.key, UndecidedCause::Contended),
    }
}
