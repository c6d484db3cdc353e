//! What an engine is believed to keep.

use wisteriahitch_relay::{EndpointTable, Load, PartNamer};
use wisteriahitch_types::TimeUs;

use crate::fixture::{MEMORY_TOKENS, at_ms, engine, id, model, ms};

/// Symptom: a third of the shared parts is read again although engines are believed to keep them.
/// Sequence: long prompts pass through an engine, and each displaces what was there; other daemons'
/// prompts are known by their load alone. Cause: a part counted as kept until known parts had filled
/// the memory.
#[test]
fn a_busy_engine_keeps_parts_for_as_long_as_its_memory_lasts() {
    struct Case {
        what: &'static str,
        running_tokens: u64,
        used_before_ms: u64,
        is_kept: bool,
    }
    let cases = [
        Case {
            what: "half of the memory is used anew in 1.2 s",
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
            what: "little comes in",
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
            what: "what was used just now is there in any case",
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
        let key = PartNamer::new(&model(), "w1").key(1);
        row.parts
            .used(key, 1_000, at_ms(60_000 - case.used_before_ms));
        let since = row.parts_kept_since(MEMORY_TOKENS, ms(1_200), now);
        assert_eq!(row.parts.has(key, since), case.is_kept, "{}", case.what);
    }
}

#[test]
fn a_use_is_news_once_a_second() {
    let mut table = EndpointTable::default();
    table.apply_registration(engine("a"), TimeUs::ZERO);
    let row = table.get_mut(&id("a")).unwrap();
    let key = PartNamer::new(&model(), "w1").key(1);
    let told: Vec<bool> = [0, 400, 800, 1_900]
        .map(|ms| row.parts.used(key, 1_000, at_ms(ms)))
        .to_vec();
    assert_eq!(told, [true, false, false, true]);
}
