//! From where an engine fetches parts that it doesn't keep.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wisteriahitch_relay::{
    EndpointTable, KeptPart, Load, PartListing, PartNamer, PartStore, PartStores, PlacementRequest,
    PromptShape, WantedVersions, place,
};
use wisteriahitch_types::{TimeUs, TokenCount, WeightNumber, WorkspaceId};

use crate::fixture::{
    CallSetting, address, draining, engine, engine_address, id, model, ms, prompt, wanted_versions,
};

const NOW: TimeUs = TimeUs::new(50_000_000);
const STORE_PORT: u16 = 1;

struct Site {
    table: EndpointTable,
    stores: PartStores,
    wanted: WantedVersions,
    wall: Option<WorkspaceId>,
}

impl Site {
    /// Engine `a` gets the call; the others are full.
    fn new(others: &[&str]) -> Self {
        let mut table = EndpointTable::default();
        table.registered(engine("a"), NOW);
        for name in others {
            table.registered(engine(name), NOW);
            let row = table.get_mut(&id(name)).unwrap();
            row.own.add(Load {
                unread_tokens: 500_000,
                ..Load::default()
            });
        }
        Self {
            table,
            stores: PartStores::default(),
            wanted: wanted_versions(),
            wall: None,
        }
    }

    fn keep(&mut self, name: &str, scope: &str) {
        let namer = PartNamer::new(&model(), scope);
        let row = self.table.get_mut(&id(name)).unwrap();
        for part in &shape().parts {
            row.parts.used(namer.key(part.id), part.tokens.get(), NOW);
        }
    }

    fn keep_at_store(&mut self, scope: &str) {
        let store = PartStore {
            address: address(STORE_PORT),
            zone: "a".parse().unwrap(),
            capacity_tokens: TokenCount::new(100_000),
            link_mbps: 400_000.0,
            first_byte_delay: std::time::Duration::from_millis(6),
            is_managed: true,
        };
        self.stores.configured(std::iter::once(store));
        let part = KeptPart {
            scope: scope.to_owned(),
            id: shape().parts[0].id,
            model: model(),
            tokens: TokenCount::new(9_000),
        };
        let listing = PartListing {
            epoch: 1,
            next: 1,
            parts: vec![part],
            partial_tokens: 0,
        };
        self.stores.listed(address(STORE_PORT), listing, NOW);
    }

    /// Returns where engine `a` fetches the shared part, and the part of the call's own.
    fn sources(&self) -> Vec<Option<SocketAddr>> {
        self.sources_by(1)
    }

    fn sources_by(&self, seed: u64) -> Vec<Option<SocketAddr>> {
        let (setting, shape) = (CallSetting::in_zone("a"), shape());
        let request = PlacementRequest {
            wall: self.wall.as_ref(),
            longest_queue_us: ms(3_200),
            wanted_weights: Some(&self.wanted),
            ..setting.request(&shape)
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let placed = place(&self.table, &self.stores, &request, NOW, &mut rng).unwrap();
        assert_eq!(placed.endpoint, id("a"));
        placed.fetch_from
    }
}

struct Case {
    what: &'static str,
    change: fn(&mut Site),
    expected: Option<SocketAddr>,
}

fn check(cases: &[Case]) {
    for case in cases {
        let mut site = Site::new(&["b", "c", "d", "e"]);
        (case.change)(&mut site);
        let sources = site.sources();
        assert_eq!(sources.len(), 2, "{}", case.what);
        assert_eq!(sources[0], case.expected, "{}", case.what);
        assert_eq!(sources[1], None, "{}: no other call has it", case.what);
    }
}

fn shape() -> PromptShape {
    prompt(9_000, 1_000)
}

/// Symptom: prompts are read again by one engine after the other while new weights are brought in,
/// since stores are full of parts of the old ones. Sequence: an engine reads a part that no store has
/// room for; the next call with it goes to another engine. Cause: engines fetched from stores alone.
#[test]
fn an_engine_fetches_from_another_one_that_keeps_a_part() {
    let cases = [
        Case {
            what: "nobody keeps it",
            change: |_| {},
            expected: None,
        },
        Case {
            what: "another engine does",
            change: |site| site.keep("b", "w1"),
            expected: Some(engine_address("b")),
        },
        Case {
            what: "only under other weights",
            change: |site| site.keep("b", "w2"),
            expected: None,
        },
        Case {
            what: "only for another workspace",
            change: |site| {
                site.wall = Some("seller".parse().unwrap());
                site.keep("b", "w1");
            },
            expected: None,
        },
        Case {
            what: "for this workspace",
            change: |site| {
                site.wall = Some("seller".parse().unwrap());
                site.keep("b", "w1.seller");
            },
            expected: Some(engine_address("b")),
        },
        Case {
            what: "an engine that is about to leave",
            change: |site| {
                site.keep("b", "w1");
                site.table.registered(draining("b"), NOW);
            },
            expected: None,
        },
        Case {
            what: "an engine that gets new weights",
            change: |site| {
                site.keep("b", "w1");
                let hash = site.table.get(&id("b")).unwrap().short_name;
                site.table.reserve(hash, NOW + ms(500), NOW);
            },
            expected: None,
        },
    ];
    check(&cases);
}

#[test]
fn what_a_store_says_goes_before_what_is_believed() {
    let cases = [
        Case {
            what: "a store's word goes before a belief",
            change: |site| {
                site.keep("b", "w1");
                site.keep_at_store("w1");
            },
            expected: Some(address(STORE_PORT)),
        },
        Case {
            what: "the store also gives parts of weights that are being replaced",
            change: |site| {
                site.wanted.named(WeightNumber::new(2), NOW);
                site.keep_at_store("w1");
            },
            expected: Some(address(STORE_PORT)),
        },
        Case {
            what: "the source is named also where the engine is believed to keep the part",
            change: |site| {
                site.keep("a", "w1");
                site.keep_at_store("w1");
            },
            expected: Some(address(STORE_PORT)),
        },
    ];
    check(&cases);
}

/// Symptom: calls wait for one store although engines and other stores are idle. Cause: a part at the
/// start of most prompts was fetched by all engines from the one store that keeps it.
#[test]
fn a_part_that_many_use_is_fetched_from_engines() {
    let mut site = Site::new(&["b", "c", "d", "e"]);
    site.keep_at_store("w1");
    for name in ["b", "c", "d"] {
        site.keep(name, "w1");
    }
    assert_eq!(site.sources()[0], Some(address(STORE_PORT)));
    site.keep("e", "w1");
    let source = site.sources()[0].unwrap();
    assert!(["b", "c", "d", "e"].map(engine_address).contains(&source));
}

/// Symptom: first events are late although all parts were found. Sequence: the link of a store turns
/// slow; all calls with parts there go on fetching them. Cause: fetches were taken to be as quick as
/// the link's rate, whatever they took.
#[test]
fn nothing_is_fetched_over_a_link_that_has_turned_slow() {
    let mut site = Site::new(&[]);
    site.keep_at_store("w1");
    let (store, reader) = (address(STORE_PORT), engine_address("a"));
    assert_eq!(site.sources()[0], Some(store));
    for _ in 0..10 {
        let links = &mut site.table.links;
        links.fetched(store, reader, ms(50), ms(800), NOW);
        for other in 2..6 {
            let (source, reader) = (address(other), address(20 + other));
            links.fetched(source, reader, ms(50), ms(50), NOW);
        }
    }
    assert_eq!(site.sources()[0], None);
}

/// Symptom: all daemons fetch a part from the same engine, whose link then holds everybody up.
/// Cause: the source was the first in an order that all share.
#[test]
fn sources_of_a_part_are_spread() {
    let mut site = Site::new(&["b", "c"]);
    site.keep("b", "w1");
    site.keep("c", "w1");
    let mut seen = std::collections::BTreeSet::new();
    for seed in 0..20 {
        seen.extend(site.sources_by(seed)[0]);
    }
    assert_eq!(seen.len(), 2);
}
