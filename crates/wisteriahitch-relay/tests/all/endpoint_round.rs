//! Endpoint updates of a gossip round.

use std::collections::{BTreeMap, HashMap};

use wisteriahitch_relay::{
    EndpointTable, EndpointUpdate, Load, RoundPeer, RoundScope, RoundTarget,
};
use wisteriahitch_types::Incarnation;

use crate::fixture::{at_ms, engine, id};

fn load(running: u32) -> Load {
    Load {
        running,
        unread_tokens: 0,
        memory_tokens: 100,
    }
}

fn round_peer(incarnation: Incarnation, is_hub: bool) -> RoundPeer {
    RoundPeer {
        incarnation,
        is_hub,
    }
}

fn table_of(names: &[&str]) -> EndpointTable {
    let mut table = EndpointTable::default();
    for name in names {
        table.apply_registration(engine(name), at_ms(0));
    }
    table
}

fn short_name(table: &EndpointTable, name: &str) -> u32 {
    table.get(&id(name)).unwrap().short_name
}

/// Guards against load that is counted twice or not at all: a hub must not send a spoke's own report
/// back to it, nor another hub's report to that hub.
#[test]
fn each_target_receives_the_load_that_it_does_not_know() {
    struct Case {
        what: &'static str,
        is_hub: bool,
        target: RoundTarget,
        /// Requests at the engines `a`, `b` and `c`.
        running: [u32; 3],
    }
    let (spoke, other_spoke, hub) = (
        Incarnation::new(1),
        Incarnation::new(2),
        Incarnation::new(3),
    );
    let cases = [
        Case {
            what: "a hub to one of its spokes",
            is_hub: true,
            target: RoundTarget::Spoke(Some(spoke)),
            running: [1 + 20 + 300, 0, 300],
        },
        Case {
            what: "a hub to a spoke that has sent no message",
            is_hub: true,
            target: RoundTarget::Spoke(None),
            running: [1 + 20 + 300, 4, 300],
        },
        Case {
            what: "a hub to another hub",
            is_hub: true,
            target: RoundTarget::Other,
            running: [1 + 20, 4, 0],
        },
        Case {
            what: "a daemon that is no hub",
            is_hub: false,
            target: RoundTarget::Other,
            running: [1, 0, 0],
        },
    ];
    let mut table = table_of(&["a", "b", "c"]);
    let [a, b, c] = ["a", "b", "c"].map(|name| short_name(&table, name));
    table.get_mut(&id("a")).unwrap().own_load = load(1);
    table.apply_peer_load(spoke, HashMap::from([(b, load(4))]), at_ms(0));
    table.apply_peer_load(other_spoke, HashMap::from([(a, load(20))]), at_ms(0));
    let reported_by_hub = HashMap::from([(a, load(300)), (c, load(300))]);
    table.apply_peer_load(hub, reported_by_hub, at_ms(0));
    for case in cases {
        let scope = RoundScope {
            is_hub: case.is_hub,
            peers: &[
                round_peer(spoke, false),
                round_peer(other_spoke, false),
                round_peer(hub, true),
            ],
            reserved: &[],
        };
        let round = table.collect_round(&scope, |_| false, at_ms(1));
        let updates = round.endpoint_updates(&table, case.target);
        let by_name: BTreeMap<u32, u32> = updates
            .iter()
            .map(|update| (update.endpoint, update.load.running))
            .collect();
        let running = [a, b, c].map(|name| by_name.get(&name).copied().unwrap_or(0));
        assert_eq!(running, case.running, "{}", case.what);
    }
}

/// Guards against calls to an engine that an order has reserved, which may be idle.
#[test]
fn reserved_engines_are_reported() {
    let mut table = table_of(&["a", "b"]);
    let [a, b] = ["a", "b"].map(|name| short_name(&table, name));
    table.reserve(b, at_ms(600), at_ms(0));
    let scope = RoundScope {
        is_hub: true,
        peers: &[],
        reserved: &[id("a")],
    };
    let round = table.collect_round(&scope, |_| false, at_ms(1));
    let reported = |target| {
        let updates: Vec<EndpointUpdate> = round.endpoint_updates(&table, target);
        let mut names: Vec<u32> = updates.iter().map(|update| update.endpoint).collect();
        assert!(updates.iter().all(|update| update.is_reserved));
        names.sort_unstable();
        names
    };
    let mut both = vec![a, b];
    both.sort_unstable();
    assert_eq!(reported(RoundTarget::Other), [a]);
    assert_eq!(reported(RoundTarget::Spoke(None)), both);
}

/// Guards against busy engines that never count as followed. With thousands of engines, a message has
/// room for a few hundred, and it always contained the same ones.
#[test]
fn busy_engines_are_reported_as_followed_among_thousands() {
    let names: Vec<String> = (0..3_000).map(|number| format!("i-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut table = table_of(&names);
    let busy = ["i-2999", "i-17", "i-1500"];
    for name in &names {
        let short_name = short_name(&table, name);
        table.extend_parts_tracking(short_name, at_ms(800));
    }
    for name in busy {
        table.get_mut(&id(name)).unwrap().own_load = load(1);
    }
    let scope = RoundScope {
        is_hub: true,
        peers: &[],
        reserved: &[],
    };
    let round = table.collect_round(&scope, |_| true, at_ms(1));
    for target in [RoundTarget::Other, RoundTarget::Spoke(None)] {
        let followed = round.followed(target);
        assert!(followed.len() <= 400, "{}", followed.len());
        for name in busy {
            assert!(followed.contains(&short_name(&table, name)), "{name}");
        }
    }
}
