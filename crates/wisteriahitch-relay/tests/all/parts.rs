//! Estimated cache contents of an engine.

use wisteriahitch_relay::{EndpointTable, Load, PartKeyHasher};
use wisteriahitch_types::TimeUs;

use crate::fixture::{MEMORY_TOKENS, at_ms, engine, id, model, ms};

/// A third of the shared parts was read again although engines were estimated to have them cached.
/// Long prompts pass through an engine and each displaces earlier parts, and the prompts of other
/// daemons are known by their load only. The fault was that a part counted as cached until known
/// parts had filled the memory.
#[test]
fn cache_retention_follows_memory_turnover() {
    struct Case {
        what: &'static str,
        running_tokens: u64,
        used_before_ms: u64,
        is_kept: bool,
    }
    let cases = [
        Case {
            what: "half of the memory turns over in 1.2 s",
            running_tokens: MEMORY_TOKENS / 2,
            used_before_ms: 1_100,
            is_kept: true,
        },
        Case {
            what: "the other half is displaced by then",
            running_tokens: MEMORY_TOKENS / 2,
            used_before_ms: 1_300,
            is_kept: false,
        },
        Case {
            what: "low inflow",
            running_tokens: MEMORY_TOKENS / 10,
            used_before_ms: 10_000,
            is_kept: true,
        },
        Case {
            what: "running requests leave nothing",
            running_tokens: MEMORY_TOKENS,
            used_before_ms: 300,
            is_kept: false,
        },
        Case {
            what: "a part that was just used is always cached",
            running_tokens: MEMORY_TOKENS,
            used_before_ms: 100,
            is_kept: true,
        },
        Case {
            what: "an idle engine, too long ago",
            running_tokens: 0,
            used_before_ms: 21_000,
            is_kept: false,
        },
    ];
    for case in cases {
        let (mut table, now) = (EndpointTable::default(), at_ms(60_000));
        table.apply_registration(engine("a"), TimeUs::ZERO);
        let row = table.get_mut(&id("a")).unwrap();
        row.own_load.add(Load {
            memory_tokens: case.running_tokens,
            ..Load::default()
        });
        let key = PartKeyHasher::new(&model(), "w1").key(1);
        row.parts
            .record_use(key, 1_000, at_ms(60_000 - case.used_before_ms));
        let since = row.parts_kept_since(MEMORY_TOKENS, ms(1_200), now);
        assert_eq!(
            row.parts.used_since(key, since),
            case.is_kept,
            "{}",
            case.what
        );
    }
}

#[test]
fn uses_are_reported_at_most_once_a_second() {
    let mut table = EndpointTable::default();
    table.apply_registration(engine("a"), TimeUs::ZERO);
    let row = table.get_mut(&id("a")).unwrap();
    let key = PartKeyHasher::new(&model(), "w1").key(1);
    let updates: Vec<bool> = [0, 400, 800, 1_900]
        .map(|ms| row.parts.record_use(key, 1_000, at_ms(ms)))
        .to_vec();
    assert_eq!(updates, [true, false, false, true]);
}
