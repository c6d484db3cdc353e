//! Measured slowdown of links.

use wisteriahitch_relay::LinkSlowdowns;
use wisteriahitch_types::{DurationUs, TimeUs};

use crate::fixture::{address, at_ms, ms};

const SLOW: u16 = 1;
const READER: u16 = 9;

/// Records fetches from four sources that take `all` times the nominal time, and from the slow
/// source another `factor` times as long.
fn record_fetches(links: &mut LinkSlowdowns, factor: u64, all: u64, now: TimeUs) {
    for round in 0..40 {
        for source in 1..=4 {
            let factor = if source == SLOW { factor } else { 1 };
            let reader = address(READER + (round + source) % 5);
            links.record_fetch(address(source), reader, ms(20), ms(20 * factor * all), now);
        }
    }
}

fn slowdown(links: &LinkSlowdowns, source: u16, now: TimeUs) -> f64 {
    links.slowdown(address(source), address(99), now)
}

#[test]
fn a_slow_link_is_distinguished_from_overload() {
    struct Case {
        what: &'static str,
        factor: u64,
        all: u64,
        slow: std::ops::Range<f64>,
        other: std::ops::Range<f64>,
    }
    let cases = [
        Case {
            what: "no link is slow",
            factor: 1,
            all: 1,
            slow: 1.0..1.1,
            other: 1.0..1.1,
        },
        Case {
            what: "one link is slow",
            factor: 8,
            all: 1,
            slow: 2.5..8.1,
            other: 1.0..1.5,
        },
        Case {
            what: "all links are slow, as under overload, when reading instead would make it worse",
            factor: 1,
            all: 6,
            slow: 1.0..1.2,
            other: 1.0..1.2,
        },
    ];
    for case in cases {
        let mut links = LinkSlowdowns::default();
        record_fetches(&mut links, case.factor, case.all, at_ms(1_000));
        let slow = slowdown(&links, SLOW, at_ms(1_000));
        let other = slowdown(&links, 2, at_ms(1_000));
        assert!(case.slow.contains(&slow), "{}: {slow}", case.what);
        assert!(case.other.contains(&other), "{}: {other}", case.what);
    }
}

#[test]
fn slowdown_of_an_unused_link_decays() {
    let mut links = LinkSlowdowns::default();
    record_fetches(&mut links, 8, 1, at_ms(1_000));
    let then = slowdown(&links, SLOW, at_ms(1_000));
    let later = slowdown(&links, SLOW, at_ms(13_000));
    assert!(later < 1.0 + (then - 1.0) / 8.0, "{then} {later}");
}

#[test]
fn short_fetches_are_ignored() {
    let mut links = LinkSlowdowns::default();
    for _ in 0..10 {
        let took = ms(500);
        links.record_fetch(
            address(1),
            address(2),
            DurationUs::from_ms(1),
            took,
            at_ms(0),
        );
    }
    assert_eq!(slowdown(&links, 1, at_ms(0)), 1.0);
}
