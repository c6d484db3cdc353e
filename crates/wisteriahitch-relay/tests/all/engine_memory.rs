//! What engines keep: as they tell it, and as daemons that start hear of it.

use wisteriahitch_relay::{
    EndpointTable, KeptPart, Load, PartEvent, PartKey, PartKeyHasher, PartUpdate,
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
    PartKeyHasher::new(&model(), SCOPE).key(part)
}

fn table() -> EndpointTable {
    let mut table = EndpointTable::default();
    table.registered(engine("a"), TimeUs::ZERO);
    table
}

/// Returns whether the engine is believed to keep a part, as a placement asks.
fn is_cached(table: &EndpointTable, part: u64, now: TimeUs) -> bool {
    let row = table.get(&id("a")).unwrap();
    let since = row.parts_kept_since(MEMORY_TOKENS, DurationUs::from_ms(1_000), now);
    row.parts.used_since(key(part), since)
}

/// Symptom: under load, shared parts of prompts are read again by the million tokens although some engine
/// keeps them, and calls are sent to engines for parts that these have dropped. Cause: what an engine
/// keeps was guessed from the load that it has.
#[test]
fn cache_events_of_an_engine_replace_the_estimate() {
    let mut table = table();
    // So much work that by the guess nothing stays for more than a moment.
    table.get_mut(&id("a")).unwrap().own = Load {
        running: 30,
        unread_tokens: 0,
        memory_tokens: MEMORY_TOKENS,
    };
    table
        .get_mut(&id("a"))
        .unwrap()
        .parts
        .record_use(key(1), 800, at_ms(0));
    assert!(!is_cached(&table, 1, at_ms(3_000)), "the guess");
    let until = at_ms(4_000);
    let updates = table.part_events(&id("a"), &[event(true, 1, 800)], until, at_ms(2_900));
    assert!(updates.is_empty(), "what is known is no news");
    assert!(is_cached(&table, 1, at_ms(3_000)));
    assert!(
        !is_cached(&table, 1, at_ms(4_000)),
        "the guess again, once nothing is heard"
    );

    let events = [event(false, 1, 0), event(true, 2, 300), event(false, 3, 0)];
    let updates = table.part_events(&id("a"), &events, at_ms(6_000), at_ms(5_000));
    let endpoint = table.get(&id("a")).unwrap().short_name;
    let update = |part, tokens| PartUpdate {
        endpoint,
        part: key(part).0,
        tokens,
    };
    assert_eq!(updates, [update(1, 0), update(2, 300)]);
    assert!(!is_cached(&table, 1, at_ms(5_100)) && is_cached(&table, 2, at_ms(5_100)));
}

#[test]
fn peer_updates_report_evictions_and_followed_engines() {
    let mut table = table();
    let endpoint = table.get(&id("a")).unwrap().short_name;
    table.has_part(endpoint, key(1), 800, at_ms(0));
    table.followed(endpoint, at_ms(9_000));
    assert!(is_cached(&table, 1, at_ms(8_000)));
    table.has_part(endpoint, key(1), 0, at_ms(8_000));
    assert!(!is_cached(&table, 1, at_ms(8_001)));
}

/// Symptom: after daemons have restarted in turn, millions of tokens are read again that engines keep.
/// Cause: each daemon that starts learns anew, by calls, which engine keeps what.
#[test]
fn a_starting_daemon_merges_the_cache_snapshot_of_a_peer() {
    let mut old = table();
    let endpoint = old.get(&id("a")).unwrap().short_name;
    old.has_part(endpoint, key(1), 800, at_ms(0));
    old.has_part(endpoint, key(2), 900, at_ms(1_000));
    let memory = old.engine_memory(at_ms(1_500));
    let mut young = table();
    // What it has learnt itself is newer.
    young.has_part(endpoint, key(2), 900, at_ms(50_000));
    young.take_over(&memory, at_ms(50_000));
    assert!(is_cached(&young, 1, at_ms(50_000)) && is_cached(&young, 2, at_ms(50_000)));
    let row = young.get(&id("a")).unwrap();
    assert!(
        row.parts.used_since(key(1), at_ms(48_500)),
        "used as long ago as it was"
    );
    assert!(!row.parts.used_since(key(1), at_ms(48_501)));
    assert!(row.parts.used_since(key(2), at_ms(50_000)));
    // Another life of the engine has another short name.
    let mut other = EndpointTable::default();
    other.registered(engine("b"), TimeUs::ZERO);
    other.take_over(&memory, at_ms(50_000));
    assert!(other.get(&id("b")).unwrap().parts.is_empty());
}
