//! What daemons believe of each other.

use std::net::Ipv4Addr;

use wisteriahitch_relay::{Beacon, Heard, MemberPhase, PeerTable};
use wisteriahitch_types::Incarnation;

use crate::fixture::at_ms;

fn beacon(last: u8, incarnation: u64, number: u64, phase: MemberPhase) -> Beacon {
    Beacon {
        incarnation: Incarnation::new(incarnation),
        number,
        ip: Ipv4Addr::new(10, 0, 0, last),
        zone: "a".to_owned(),
        phase,
        is_store_reachable: true,
        revisions: vec![],
        endpoints: vec![],
        parts: vec![],
        heard: vec![Ipv4Addr::new(10, 0, 0, 9)],
    }
}

#[test]
fn callers_are_sent_to_those_that_serve_and_are_heard() {
    let mut table = PeerTable::default();
    table.heard(&beacon(1, 11, 1, MemberPhase::Ready), at_ms(0));
    table.heard(&beacon(2, 12, 1, MemberPhase::Draining), at_ms(0));
    table.heard(&beacon(3, 13, 1, MemberPhase::Starting), at_ms(0));
    let ready = |table: &PeerTable, ms| table.ready(at_ms(ms)).count();
    assert_eq!(ready(&table, 100), 1);
    assert_eq!(table.alive(at_ms(100)).count(), 3);
    assert_eq!(ready(&table, 1_000), 0, "a silent one is no longer named");
}

/// Symptom: a daemon that has said it leaves is named again. Sequence: its older message arrives
/// after the newer one. Cause: messages were taken in the order of their arrival.
#[test]
fn a_late_message_changes_nothing() {
    let mut table = PeerTable::default();
    table.heard(&beacon(1, 11, 2, MemberPhase::Draining), at_ms(0));
    let heard = table.heard(&beacon(1, 11, 1, MemberPhase::Ready), at_ms(1));
    assert_eq!(heard, Heard::Old);
    assert_eq!(table.ready(at_ms(2)).count(), 0);
    // A new life begins to count anew.
    let heard = table.heard(&beacon(1, 21, 1, MemberPhase::Ready), at_ms(3));
    assert_eq!(heard, Heard::Joined);
    assert_eq!(table.ready(at_ms(4)).count(), 1);
}

#[test]
fn daemons_learn_of_each_other_and_forget() {
    let mut table = PeerTable::default();
    table.heard(&beacon(1, 11, 1, MemberPhase::Ready), at_ms(0));
    assert_eq!(
        table.addresses().len(),
        2,
        "the sender and the one that it hears"
    );
    assert_eq!(
        table.tick(at_ms(0), at_ms(1_000)),
        [Incarnation::new(11)],
        "it fell silent"
    );
    assert!(
        table.tick(at_ms(1_000), at_ms(1_100)).is_empty(),
        "which is told once"
    );
    table.tick(at_ms(1_100), at_ms(40_000));
    assert!(table.addresses().is_empty());
}
