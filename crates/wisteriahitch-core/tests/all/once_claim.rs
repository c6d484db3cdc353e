//! Tests of claims in the object store: grouping, conflicts, lost answers, outages and limits.

use std::sync::Arc;

use wisteriahitch_core::once::{
    ClaimBatcher, ClaimCommand, ClaimEntry, ClaimHolder, ClaimLimits, ClaimNonce, ClaimObject,
    ClaimOutcome, ClaimShard, ClaimState, ClaimTime, ClaimVersion, Fingerprint, IdempotencyKey,
    ReadResult, StoredAnswer, UndecidedCause, WriteResult,
};
use wisteriahitch_types::{ByteCount, DurationUs, Incarnation, KeyHash, TimeUs, WorkspaceId};

const HOUR_MS: u64 = 3_600_000;
const WALL_MS: u64 = 1_000 * HOUR_MS;
const NONCE: ClaimNonce = ClaimNonce::new(1);

fn at(ms: u64) -> ClaimTime {
    ClaimTime {
        now: TimeUs::ZERO + DurationUs::from_ms(ms),
        wall_ms: WALL_MS + ms,
    }
}

fn workspace() -> WorkspaceId {
    "kandy".parse().unwrap()
}

fn holder(incarnation: u64) -> ClaimHolder {
    ClaimHolder {
        owner: "entry-1".parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        address: "127.0.0.1:7000".parse().unwrap(),
    }
}

fn batcher() -> ClaimBatcher {
    ClaimBatcher::new(holder(5), ClaimLimits::default())
}

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey::try_claimed(&workspace(), text).unwrap()
}

fn hash(key: &IdempotencyKey) -> KeyHash {
    match key {
        IdempotencyKey::Claimed { hash, .. } => *hash,
        IdempotencyKey::Ticket { .. } => panic!("expected a claimed key, got a ticket"),
    }
}

fn shard(key: &IdempotencyKey) -> ClaimShard {
    ClaimShard::of(&hash(key))
}

/// Returns keys that all belong to one shard.
fn keys_of_one_shard(count: usize) -> Vec<IdempotencyKey> {
    let wanted = shard(&key("order-0"));
    let keys = (0..).map(|number| key(&format!("order-{number}")));
    keys.filter(|key| shard(key) == wanted)
        .take(count)
        .collect()
}

fn fingerprint() -> Fingerprint {
    Fingerprint::new(&workspace(), "POST", "/orders", b"12 kg")
}

fn entry(incarnation: u64, nonce: ClaimNonce, claimed_at_ms: u64) -> ClaimEntry {
    ClaimEntry {
        workspace: workspace(),
        fingerprint: fingerprint(),
        owner: "entry-1".parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        nonce,
        address: "127.0.0.1:7000".parse().unwrap(),
        claimed_at_ms,
        state: ClaimState::Claimed,
    }
}

fn object(key: &IdempotencyKey, entry: ClaimEntry) -> ClaimObject {
    ClaimObject {
        entries: [(hash(key), entry)].into(),
    }
}

fn found(version: u64, object: ClaimObject) -> ReadResult {
    ReadResult::Found(ClaimVersion::new(version), object)
}

fn written(version: u64) -> WriteResult {
    WriteResult::Written(ClaimVersion::new(version))
}

/// Returns expected version and content of the only command, which must be a write.
fn group(commands: &[ClaimCommand]) -> (Option<ClaimVersion>, Arc<ClaimObject>) {
    match commands {
        [
            ClaimCommand::WriteGroup {
                expected, content, ..
            },
        ] => (*expected, content.clone()),
        other => panic!("expected one write, got {other:?}"),
    }
}

#[test]
fn requests_that_come_during_a_call_go_with_the_next_write() {
    let mut batcher = batcher();
    let keys = keys_of_one_shard(3);
    let shard = shard(&keys[0]);
    let first = batcher.claim(&keys[0], fingerprint(), NONCE, at(0));
    assert_eq!(first, [ClaimCommand::Read(shard)]);
    assert_eq!(batcher.claim(&keys[1], fingerprint(), NONCE, at(0)), []);
    let (expected, content) = group(&batcher.on_read(shard, ReadResult::Missing, at(1)));
    assert_eq!((expected, content.entries.len()), (None, 2));
    assert_eq!(batcher.claim(&keys[2], fingerprint(), NONCE, at(1)), []);
    let mut commands = batcher.on_write(shard, written(7), at(2));
    let next = commands.split_off(2);
    let decided = [&keys[0], &keys[1]].map(|key| ClaimCommand::Written(key.clone()));
    assert!(
        decided.iter().all(|command| commands.contains(command)),
        "{commands:?}"
    );
    let (expected, content) = group(&next);
    assert_eq!(
        (expected, content.entries.len()),
        (Some(ClaimVersion::new(7)), 3)
    );
}

#[test]
fn a_read_decides_whose_claim_is_valid() {
    struct Case {
        name: &'static str,
        entry: ClaimEntry,
        is_written: bool,
        is_lost: bool,
    }
    let old = |hours: u64| WALL_MS - hours * HOUR_MS;
    let cases = [
        Case {
            name: "own",
            entry: entry(5, NONCE, old(1)),
            is_written: true,
            is_lost: false,
        },
        Case {
            name: "own, under another nonce",
            entry: entry(5, ClaimNonce::new(9), old(1)),
            is_written: false,
            is_lost: true,
        },
        Case {
            name: "own, past the guaranteed time",
            entry: entry(5, NONCE, old(25)),
            is_written: false,
            is_lost: true,
        },
        Case {
            name: "another daemon's",
            entry: entry(6, NONCE, old(29)),
            is_written: false,
            is_lost: true,
        },
        Case {
            name: "another daemon's, from the future",
            entry: entry(6, NONCE, WALL_MS + HOUR_MS),
            is_written: false,
            is_lost: true,
        },
        Case {
            name: "another daemon's, past retention",
            entry: entry(6, NONCE, old(31)),
            is_written: false,
            is_lost: false,
        },
    ];
    for case in cases {
        let mut batcher = batcher();
        let key = key("k");
        batcher.claim(&key, fingerprint(), NONCE, at(0));
        let commands = batcher.on_read(shard(&key), found(3, object(&key, case.entry)), at(0));
        let is_written = commands == [ClaimCommand::Written(key.clone())];
        let is_lost = matches!(commands[..], [ClaimCommand::Lost(..)]);
        assert_eq!(is_written, case.is_written, "{}: {commands:?}", case.name);
        assert_eq!(is_lost, case.is_lost, "{}: {commands:?}", case.name);
        if !is_written && !is_lost {
            assert_eq!(group(&commands).1.entries[&hash(&key)].incarnation.get(), 5);
        }
    }
}

/// Guards against treating a claim that was written as lost, or a lost one as written. The answer
/// to a write is lost, and only the object itself shows whether the write took effect.
#[test]
fn a_lost_write_response_is_resolved_by_reading_back() {
    struct Case {
        name: &'static str,
        stored: Option<ClaimEntry>,
        expected: fn(&ClaimCommand) -> bool,
    }
    let cases = [
        Case {
            name: "it took effect",
            stored: Some(entry(5, NONCE, WALL_MS)),
            expected: |command| matches!(command, ClaimCommand::Written(_)),
        },
        Case {
            name: "another daemon won",
            stored: Some(entry(6, NONCE, WALL_MS)),
            expected: |command| matches!(command, ClaimCommand::Lost(..)),
        },
        Case {
            name: "it did not take effect",
            stored: None,
            expected: |command| matches!(command, ClaimCommand::WriteGroup { .. }),
        },
    ];
    for case in cases {
        let mut batcher = batcher();
        let key = key("k");
        let shard = shard(&key);
        batcher.claim(&key, fingerprint(), NONCE, at(0));
        batcher.on_read(shard, ReadResult::Missing, at(0));
        let commands = batcher.on_write(shard, WriteResult::AnswerLost, at(0));
        assert_eq!(commands, [ClaimCommand::Read(shard)], "{}", case.name);
        let stored = case.stored.map(|entry| object(&key, entry));
        let result = stored.map_or(ReadResult::Missing, |object| found(4, object));
        let commands = batcher.on_read(shard, result, at(0));
        assert!(
            commands.iter().all(case.expected),
            "{}: {commands:?}",
            case.name
        );
        assert_eq!(commands.len(), 1, "{}", case.name);
    }
}

#[test]
fn write_attempts_are_bounded() {
    for result in [WriteResult::Conflict, WriteResult::AnswerLost] {
        let mut batcher = batcher();
        let key = key("k");
        let shard = shard(&key);
        let mut commands = batcher.claim(&key, fingerprint(), NONCE, at(0));
        let mut writes = 0;
        while let Some(command) = commands.pop() {
            commands = match command {
                ClaimCommand::Read(shard) => batcher.on_read(shard, ReadResult::Missing, at(0)),
                ClaimCommand::WriteGroup { shard, .. } => {
                    writes += 1;
                    batcher.on_write(shard, result, at(0))
                }
                ClaimCommand::Retry { shard, .. } => {
                    let mut next = batcher.retry(shard);
                    next.splice(0..0, commands);
                    next
                }
                ClaimCommand::Undecided(decided, UndecidedCause::Contended) => {
                    assert_eq!(decided, key);
                    break;
                }
                other => panic!("{other:?}"),
            };
        }
        assert_eq!(writes, 6, "{result:?}");
        assert_eq!(batcher.retry(shard), []);
    }
}

/// Guards against requests piling up while the platform is unavailable, each waiting for a call
/// that cannot succeed. No claim can be decided in that time, so they are answered immediately.
#[test]
fn claims_fail_fast_while_the_platform_is_unavailable() {
    let mut batcher = batcher();
    let (first, second) = (key("a"), key("b"));
    batcher.claim(&first, fingerprint(), NONCE, at(0));
    let unavailable = |key: &IdempotencyKey| {
        [ClaimCommand::Undecided(
            key.clone(),
            UndecidedCause::PlatformAway,
        )]
    };
    let commands = batcher.on_read(shard(&first), ReadResult::Unavailable, at(0));
    assert_eq!(commands, unavailable(&first));
    assert_eq!(
        batcher.claim(&second, fingerprint(), NONCE, at(499)),
        unavailable(&second)
    );
    let next_read = batcher.claim(&second, fingerprint(), NONCE, at(500));
    assert_eq!(next_read, [ClaimCommand::Read(shard(&second))]);
}

#[test]
fn claims_time_out_on_a_slow_platform() {
    let mut batcher = batcher();
    let key = key("k");
    let shard = shard(&key);
    batcher.claim(&key, fingerprint(), NONCE, at(0));
    batcher.on_read(shard, ReadResult::Missing, at(0));
    assert_eq!(batcher.tick(at(2_000)), []);
    let timed_out = ClaimCommand::Undecided(key.clone(), UndecidedCause::HeldTooLong);
    assert_eq!(batcher.tick(at(2_001)), [timed_out]);
    // The write takes effect after all, and a repeat finds that claim.
    assert_eq!(batcher.on_write(shard, written(4), at(2_500)), []);
    batcher.claim(&key, fingerprint(), NONCE, at(3_000));
    let stored = object(&key, entry(5, NONCE, WALL_MS));
    let commands = batcher.on_read(shard, found(4, stored), at(3_000));
    assert_eq!(commands, [ClaimCommand::Written(key)]);
}

/// Guards against one workspace blocking the claims of all others. It claims keys without end, an
/// object has space for a limited number of claims, and they stay for the whole retention time.
#[test]
fn a_workspace_cannot_exceed_its_quota_of_a_claim_object() {
    let entry_bytes = entry(5, NONCE, WALL_MS).json_bytes_bound().get();
    let limits = ClaimLimits {
        max_object_bytes: ByteCount::new(entry_bytes * 3),
        max_workspace_bytes: ByteCount::new(entry_bytes * 2),
        ..ClaimLimits::default()
    };
    let mut batcher = ClaimBatcher::new(holder(5), limits);
    let keys = keys_of_one_shard(3);
    let shard = shard(&keys[0]);
    for key in &keys {
        batcher.claim(key, fingerprint(), NONCE, at(0));
    }
    let mut commands = batcher.on_read(shard, ReadResult::Missing, at(0));
    let full = ClaimCommand::Undecided(keys[2].clone(), UndecidedCause::ShardFull);
    assert_eq!(commands.remove(0), full);
    assert_eq!(group(&commands).1.entries.len(), 2);
}

#[test]
fn outcomes_are_written_to_their_claim_entries() {
    struct Case {
        name: &'static str,
        body: Vec<u8>,
        stored: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "small text",
            body: b"booked".to_vec(),
            stored: Some("booked"),
        },
        Case {
            name: "large",
            body: vec![b'x'; 8_193],
            stored: None,
        },
        Case {
            name: "not text",
            body: vec![0xff],
            stored: None,
        },
    ];
    for case in cases {
        let mut batcher = batcher();
        let key = key("k");
        let shard = shard(&key);
        let answer = StoredAnswer {
            status: 201,
            content_type: None,
            body: case.body,
        };
        let state = ClaimState::finished(&answer, ClaimLimits::default().max_answer_bytes);
        let read = batcher.record_outcome(&key, NONCE, state.clone(), at(0));
        assert_eq!(read, [ClaimCommand::Read(shard)]);
        let before = object(&key, entry(5, NONCE, WALL_MS));
        let (_, content) = group(&batcher.on_read(shard, found(3, before), at(0)));
        let stored = content.entries[&hash(&key)].state.outcome();
        let expected = case.stored.map(|_| Arc::new(answer));
        assert_eq!(stored, ClaimOutcome::Finished(expected), "{}", case.name);
        assert_eq!(
            batcher.on_write(shard, written(4), at(0)),
            [],
            "{}",
            case.name
        );
    }
}

#[test]
fn outcomes_never_overwrite_claims_of_other_daemons() {
    let mut batcher = batcher();
    let key = key("k");
    batcher.record_outcome(&key, NONCE, ClaimState::Refused, at(0));
    let other = object(&key, entry(6, NONCE, WALL_MS));
    assert_eq!(batcher.on_read(shard(&key), found(3, other), at(0)), []);
}

#[test]
fn outcomes_are_written_after_an_outage() {
    let mut batcher = batcher();
    let key = key("k");
    let shard = shard(&key);
    batcher.record_outcome(&key, NONCE, ClaimState::Refused, at(0));
    assert_eq!(batcher.on_read(shard, ReadResult::Unavailable, at(0)), []);
    assert_eq!(batcher.tick(at(499)), []);
    let shown = serde_json::to_string(&batcher.snapshot().shards).unwrap();
    assert!(
        shown.contains(r#""call":"none","requests":0,"outcomes":1"#),
        "{shown}"
    );
    assert_eq!(batcher.tick(at(500)), [ClaimCommand::Read(shard)]);
}

#[test]
fn sizes_are_never_underestimated_and_content_round_trips() {
    let mut entry = entry(u64::MAX, ClaimNonce::new(u64::MAX), u64::MAX);
    entry.owner = "o".repeat(128).parse().unwrap();
    entry.address = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535"
        .parse()
        .unwrap();
    let text = "\u{1}\"\\\n\r\t\u{8}é\u{7f}\u{2028}".repeat(50);
    let states = [
        ClaimState::Claimed,
        ClaimState::Refused,
        ClaimState::Finished {
            status: 999,
            content_type: None,
            body: None,
        },
        ClaimState::Finished {
            status: 999,
            content_type: Some(text.clone()),
            body: Some(text),
        },
    ];
    for state in states {
        entry.state = state;
        let object = object(&key("k"), entry.clone());
        let json = serde_json::to_string(&object).unwrap();
        assert!(
            json.len() as u64 <= object.json_bytes_bound().get(),
            "{} {json}",
            json.len()
        );
        assert_eq!(serde_json::from_str::<ClaimObject>(&json).unwrap(), object);
        let value = serde_json::to_value(&object).unwrap();
        assert_eq!(
            serde_json::from_value::<ClaimObject>(value).unwrap(),
            object
        );
    }
}

#[test]
fn shard_object_names_are_unique() {
    let names: std::collections::BTreeSet<_> = ClaimShard::all().map(|s| s.to_string()).collect();
    assert_eq!(names.len(), 256);
    assert!(names.contains("claims-007"));
}
