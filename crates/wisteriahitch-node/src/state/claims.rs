//! Writes claims on callers' keys to the platform.

use std::sync::Arc;
use std::time::Duration;

use chrono::Utc;
use wisteriahitch_core::once::{
    ClaimCommand, ClaimNonce, ClaimObject, ClaimShard, ClaimState, ClaimTime, ClaimVersion,
    Fingerprint, IdempotencyKey, ReadResult, WriteResult,
};
use wisteriahitch_wire::platform::{FailedWrite, Object, ObjectKind, ObjectVersion, PlatformError};

use crate::shared::Shared;

/// Maximum backoff, in milliseconds, before the first retry after a write conflict. It doubles with
/// each further retry.
const BASE_CONFLICT_BACKOFF_MS: u64 = 5;

/// Number of doublings after which the backoff stays constant.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

impl Shared {
    /// Requests a claim on a key.
    pub(crate) fn claim(
        self: &Arc<Self>,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
        nonce: ClaimNonce,
    ) {
        let time = self.claim_time();
        let commands = self.once.lock().claims.claim(key, fingerprint, nonce, time);
        self.execute_claim_commands(commands);
    }

    /// Records the outcome of a claimed request at the platform, for repeats that arrive after this
    /// process has ended.
    pub(crate) fn settle_claim(
        self: &Arc<Self>,
        key: &IdempotencyKey,
        nonce: ClaimNonce,
        state: ClaimState,
    ) {
        let time = self.claim_time();
        let commands = self
            .once
            .lock()
            .claims
            .record_outcome(key, nonce, state, time);
        self.execute_claim_commands(commands);
    }

    /// Gives up claims that waited too long.
    pub(crate) fn tick_claims(self: &Arc<Self>) {
        let time = self.claim_time();
        let commands = self.once.lock().claims.tick(time);
        self.execute_claim_commands(commands);
    }

    fn claim_time(&self) -> ClaimTime {
        let wall_ms = u64::try_from(Utc::now().timestamp_millis()).unwrap_or(0);
        ClaimTime {
            now: self.clock.now(),
            wall_ms,
        }
    }

    fn execute_claim_commands(self: &Arc<Self>, commands: Vec<ClaimCommand>) {
        for command in commands {
            match command {
                ClaimCommand::Written(key) => self.apply_claim_written(&key),
                ClaimCommand::Lost(key, winning_claim) => {
                    let now = self.clock.now();
                    let mut once = self.once.lock();
                    if let Some(delivery) = once.table.claim_lost(&key, &winning_claim) {
                        once.deliver(&key, delivery, now);
                    }
                }
                ClaimCommand::Undecided(key, cause) => {
                    log::warn!("claim on a key is undecided, cause {cause:?}");
                    let now = self.clock.now();
                    let mut once = self.once.lock();
                    if let Some(delivery) = once.table.claim_undecided(&key, now) {
                        once.deliver(&key, delivery, now);
                    }
                }
                command => {
                    tokio::spawn(call_platform(Arc::clone(self), command));
                }
            }
        }
    }

    fn apply_claim_written(&self, key: &IdempotencyKey) {
        let now = self.clock.now();
        let mut once = self.once.lock();
        if let Some(delivery) = once.table.claim_written(key) {
            once.deliver(key, delivery, now);
        }
    }
}

/// Executes one platform call. Its result may lead to further commands.
async fn call_platform(shared: Arc<Shared>, command: ClaimCommand) {
    let commands = match command {
        ClaimCommand::Read(shard) => {
            let result = read(&shared, shard).await;
            let time = shared.claim_time();
            shared.once.lock().claims.on_read(shard, result, time)
        }
        ClaimCommand::WriteGroup {
            shard,
            expected,
            content,
        } => {
            let result = write(&shared, shard, expected, &content).await;
            let time = shared.claim_time();
            shared.once.lock().claims.on_write(shard, result, time)
        }
        ClaimCommand::Retry { shard, tries } => {
            tokio::time::sleep(conflict_backoff(tries)).await;
            shared.once.lock().claims.retry(shard)
        }
        ClaimCommand::Written(_) | ClaimCommand::Lost(..) | ClaimCommand::Undecided(..) => return,
    };
    shared.execute_claim_commands(commands);
}

/// Returns a random backoff, so that daemons whose writes conflicted don't retry at the same time.
fn conflict_backoff(tries: u32) -> Duration {
    let longest_ms = BASE_CONFLICT_BACKOFF_MS << tries.min(MAX_BACKOFF_DOUBLINGS);
    Duration::from_millis(rand::random_range(1..=longest_ms))
}

async fn read(shared: &Shared, shard: ClaimShard) -> ReadResult {
    match shared
        .clients
        .platform
        .get(ObjectKind::Claim, &shard.to_string())
        .await
    {
        Ok(None) => ReadResult::Missing,
        Ok(Some(object)) => parse(object),
        Err(error) => {
            log::warn!("claim object {shard} can't be read: {error}");
            ReadResult::Unavailable
        }
    }
}

fn parse(object: Object) -> ReadResult {
    let version = ClaimVersion::new(object.version.get());
    match serde_json::from_value::<ClaimObject>(object.spec) {
        Ok(content) => ReadResult::Found(version, content),
        Err(error) => {
            // serde's message would quote the object's content, which may be a stored answer.
            log::error!("{} don't parse: {:?} error", object.name, error.classify());
            ReadResult::Unavailable
        }
    }
}

async fn write(
    shared: &Shared,
    shard: ClaimShard,
    expected: Option<ClaimVersion>,
    content: &ClaimObject,
) -> WriteResult {
    let Ok(spec) = serde_json::to_value(content) else {
        return WriteResult::Unavailable;
    };
    let platform = &shared.clients.platform;
    let name = shard.to_string();
    let written = match expected {
        None => platform.create(ObjectKind::Claim, &name, spec).await,
        Some(version) => {
            let version = ObjectVersion::new(version.get());
            platform
                .update(ObjectKind::Claim, &name, spec, version)
                .await
        }
    };
    match written {
        Ok(object) => WriteResult::Written(ClaimVersion::new(object.version.get())),
        Err(error) => write_failure(&error),
    }
}

fn write_failure(error: &PlatformError) -> WriteResult {
    match error.failed_write() {
        FailedWrite::Conflict => WriteResult::Conflict,
        FailedWrite::Unknown => WriteResult::AnswerLost,
        FailedWrite::NotWritten => {
            log::warn!("claim object can't be written: {error}");
            WriteResult::Unavailable
        }
    }
}
