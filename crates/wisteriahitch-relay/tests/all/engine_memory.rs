//! What engines keep: as they tell it, and as daemons that start hear of it.

use wisteriahitch_relay::{
    EndpointTable, KeptPart, Load, PartEvent, PartKey, PartNamer, PartUpdate,
};
use wisteriahitch_types::{DurationUs, TimeUs, TokenCount};

use crate::fixture::{MEMORY_TOKENS, at_ms, engine, id, model};

const SCOPE: &str = "w1";

fn event(is_kept: bool, part: u64, tokens: u64) -> PartEvent {
    PartEvent {
        is_kept,
        part: KeptPart {
            scope: SCOPE.to_owned(),
            id: part,
            model: model(),
            tokens: TokenCount::new(tokens),
        },
    }
}

fn key(part: u64) -> PartKey {
    PartNamer::new(&model(), SCOPE).key(part)
}

fn table() -> EndpointTable {
    let mut table = EndpointTable::default();
    table.apply_registration(engine("a"), TimeUs::ZERO);
    table
}

/// Returns whether the engine is believed to keep a part, as a placement asks.
fn keeps(table: &EndpointTable, part: u64, now: TimeUs) -> bool {
    let row = table.get(&id("a")).unwrap();
    let since = row.parts_kept_since(MEMORY_TOKENS, DurationUs::from_ms(1_000), now);
    row.parts.has(key(part), since)
}

/// Symptom: under load, shared parts of prompts are read again by the million tokens although some engine
/// keeps them, and calls are sent to engines for parts that these have dropped. Cause: what an engine
/// keeps was guessed from the load that it has.
#[test]
fn what_an_engine_tells_of_its_memory_replaces_the_guess() {
    let mut table = table();
    // So much work that by the guess nothing stays for more than a moment.
    table.get_mut(&id("a")).unwrap().own_load = Load {
        running: 30,
        unread_tokens: 0,
        memory_tokens: MEMORY_TOKENS,
    };
    table
        .get_mut(&id("a"))
        .unwrap()
        .parts
        .used(key(1), 800, at_ms(0));
    assert!(!keeps(&table, 1, at_ms(3_000)), "the guess");
    let until = at_ms(4_000);
    let news = table.apply_part_events(&id("a"), &[event(true, 1, 800)], until, at_ms(2_900));
    assert!(news.is_empty(), "what is known is no news");
    assert!(keeps(&table, 1, at_ms(3_000)));
    assert!(
        !keeps(&table, 1, at_ms(4_000)),
        "the guess again, once nothing is heard"
    );

    let events = [event(false, 1, 0), event(true, 2, 300), event(false, 3, 0)];
    let news = table.apply_part_events(&id("a"), &events, at_ms(6_000), at_ms(5_000));
    let endpoint = table.get(&id("a")).unwrap().short_name;
    let told = |part, tokens| PartUpdate {
        endpoint,
        part: key(part).0,
        tokens,
    };
    assert_eq!(news, [told(1, 0), told(2, 300)]);
    assert!(!keeps(&table, 1, at_ms(5_100)) && keeps(&table, 2, at_ms(5_100)));
}

#[test]
fn peers_hear_what_is_gone_and_who_is_followed() {
    let mut table = table();
    let endpoint = table.get(&id("a")).unwrap().short_name;
    table.record_part(endpoint, key(1), 800, at_ms(0));
    table.extend_parts_tracking(endpoint, at_ms(9_000));
    assert!(keeps(&table, 1, at_ms(8_000)));
    table.record_part(endpoint, key(1), 0, at_ms(8_000));
    assert!(!keeps(&table, 1, at_ms(8_001)));
}

/// Symptom: after daemons have restarted in turn, millions of tokens are read again that engines keep.
/// Cause: each daemon that starts learns anew, by calls, which engine keeps what.
#[test]
fn a_daemon_that_starts_takes_over_what_another_one_knows() {
    let mut old = table();
    let endpoint = old.get(&id("a")).unwrap().short_name;
    old.record_part(endpoint, key(1), 800, at_ms(0));
    old.record_part(endpoint, key(2), 900, at_ms(1_000));
    let memory = old.engine_memory(at_ms(1_500));
    let mut young = table();
    // What it has learnt itself is newer.
    young.record_part(endpoint, key(2), 900, at_ms(50_000));
    young.adopt_engine_memory(&memory, at_ms(50_000));
    assert!(keeps(&young, 1, at_ms(50_000)) && keeps(&young, 2, at_ms(50_000)));
    let row = young.get(&id("a")).unwrap();
    assert!(
        row.parts.has(key(1), at_ms(48_500)),
        "used as long ago as it was"
    );
    assert!(!row.parts.has(key(1), at_ms(48_501)));
    assert!(row.parts.has(key(2), at_ms(50_000)));
    // Another life of the engine has another short name.
    let mut other = EndpointTable::default();
    other.apply_registration(engine("b"), TimeUs::ZERO);
    other.adopt_engine_memory(&memory, at_ms(50_000));
    assert!(other.get(&id("b")).unwrap().parts.is_empty());
}
