//! Sources from which an engine fetches parts that it has not cached.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wisteriahitch_relay::{
    EndpointTable, Load, PartKeyHasher, PartListing, PartStore, PartStores, PlacementRequest,
    PromptShape, StoredPart, WantedVersions, place,
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
    isolated_workspace: Option<WorkspaceId>,
}

impl Site {
    /// Engine `a` gets the call; the other engines are full.
    fn new(others: &[&str]) -> Self {
        let mut table = EndpointTable::default();
        table.apply_registration(engine("a"), NOW);
        for name in others {
            table.apply_registration(engine(name), NOW);
            let row = table.get_mut(&id(name)).unwrap();
            row.own_load.add(Load {
                unread_tokens: 500_000,
                ..Load::default()
            });
        }
        Self {
            table,
            stores: PartStores::default(),
            wanted: wanted_versions(),
            isolated_workspace: None,
        }
    }

    fn cache_parts(&mut self, name: &str, scope: &str) {
        let hasher = PartKeyHasher::new(&model(), scope);
        let row = self.table.get_mut(&id(name)).unwrap();
        for part in &shape().parts {
            row.parts
                .record_use(hasher.key(part.id), part.tokens.get(), NOW);
        }
    }

    fn store_part(&mut self, scope: &str) {
        let store = PartStore {
            address: address(STORE_PORT),
            zone: "a".parse().unwrap(),
            capacity_tokens: TokenCount::new(100_000),
            link_mbps: 400_000.0,
            first_byte_delay: std::time::Duration::from_millis(6),
            is_managed: true,
        };
        self.stores.configure(std::iter::once(store));
        let part = StoredPart {
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
        self.stores.apply_listing(address(STORE_PORT), listing, NOW);
    }

    /// Returns the sources from which engine `a` fetches the shared part and the call's own part.
    fn sources(&self) -> Vec<Option<SocketAddr>> {
        self.sources_by(1)
    }

    fn sources_by(&self, seed: u64) -> Vec<Option<SocketAddr>> {
        let (setting, shape) = (CallSetting::in_zone("a"), shape());
        let request = PlacementRequest {
            isolated_workspace: self.isolated_workspace.as_ref(),
            max_queue_us: ms(3_200),
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
        assert_eq!(sources[1], None, "{}: no other call shares it", case.what);
    }
}

fn shape() -> PromptShape {
    prompt(9_000, 1_000)
}

/// While new weights were rolled out, prompts were read again by one engine after the other, since
/// the stores were full of parts of the old weights. An engine read a part that no store had
/// capacity for, and the next call with it went to another engine. The fault was that engines
/// fetched from stores only.
#[test]
fn an_engine_fetches_from_another_engine_that_caches_a_part() {
    let cases = [
        Case {
            what: "no engine has it cached",
            change: |_| {},
            expected: None,
        },
        Case {
            what: "another engine has it cached",
            change: |site| site.cache_parts("b", "w1"),
            expected: Some(engine_address("b")),
        },
        Case {
            what: "only under other weights",
            change: |site| site.cache_parts("b", "w2"),
            expected: None,
        },
        Case {
            what: "only for another workspace",
            change: |site| {
                site.isolated_workspace = Some("seller".parse().unwrap());
                site.cache_parts("b", "w1");
            },
            expected: None,
        },
        Case {
            what: "for this workspace",
            change: |site| {
                site.isolated_workspace = Some("seller".parse().unwrap());
                site.cache_parts("b", "w1.seller");
            },
            expected: Some(engine_address("b")),
        },
        Case {
            what: "an engine that is about to leave",
            change: |site| {
                site.cache_parts("b", "w1");
                site.table.apply_registration(draining("b"), NOW);
            },
            expected: None,
        },
        Case {
            what: "an engine that is reserved to get new weights",
            change: |site| {
                site.cache_parts("b", "w1");
                let hash = site.table.get(&id("b")).unwrap().short_name;
                site.table.reserve(hash, NOW + ms(500), NOW);
            },
            expected: None,
        },
    ];
    check(&cases);
}

#[test]
fn stores_are_preferred_to_engine_caches() {
    let cases = [
        Case {
            what: "a store is preferred to an engine cache",
            change: |site| {
                site.cache_parts("b", "w1");
                site.store_part("w1");
            },
            expected: Some(address(STORE_PORT)),
        },
        Case {
            what: "the store also serves parts of weights that are being replaced",
            change: |site| {
                site.wanted.record_version(WeightNumber::new(2), NOW);
                site.store_part("w1");
            },
            expected: Some(address(STORE_PORT)),
        },
        Case {
            what: "a source is also given if the engine probably has the part cached",
            change: |site| {
                site.cache_parts("a", "w1");
                site.store_part("w1");
            },
            expected: Some(address(STORE_PORT)),
        },
    ];
    check(&cases);
}

/// Calls waited for one store although engines and other stores were idle. The fault was that all
/// engines fetched a part at the start of most prompts from the one store that had it.
#[test]
fn widely_cached_parts_are_fetched_from_engines() {
    let mut site = Site::new(&["b", "c", "d", "e"]);
    site.store_part("w1");
    for name in ["b", "c", "d"] {
        site.cache_parts(name, "w1");
    }
    assert_eq!(site.sources()[0], Some(address(STORE_PORT)));
    site.cache_parts("e", "w1");
    let source = site.sources()[0].unwrap();
    assert!(["b", "c", "d", "e"].map(engine_address).contains(&source));
}

/// First events were late although all parts were found: the link of a store became slow, and all
/// calls with parts there went on fetching them. The fault was that the nominal rate of the link
/// was used whatever the fetches took.
#[test]
fn nothing_is_fetched_over_a_slow_link() {
    let mut site = Site::new(&[]);
    site.store_part("w1");
    let (store, reader) = (address(STORE_PORT), engine_address("a"));
    assert_eq!(site.sources()[0], Some(store));
    for _ in 0..10 {
        let links = &mut site.table.links;
        links.record_fetch(store, reader, ms(50), ms(800), NOW);
        for other in 2..6 {
            let (source, reader) = (address(other), address(20 + other));
            links.record_fetch(source, reader, ms(50), ms(50), NOW);
        }
    }
    assert_eq!(site.sources()[0], None);
}

/// All daemons fetched a part from the same engine, whose link then delayed everyone. The fault was
/// that the source was the first in an order that all daemons share.
#[test]
fn fetches_of_a_part_are_spread_over_engines() {
    let mut site = Site::new(&["b", "c"]);
    site.cache_parts("b", "w1");
    site.cache_parts("c", "w1");
    let mut seen = std::collections::BTreeSet::new();
    for seed in 0..20 {
        seen.extend(site.sources_by(seed)[0]);
    }
    assert_eq!(seen.len(), 2);
}
