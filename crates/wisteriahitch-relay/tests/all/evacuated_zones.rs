//! Effect of evacuated availability zones on placement and admission.

use std::collections::BTreeSet;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wisteriahitch_relay::{
    CallPermits, Endpoint, EndpointTable, EvacuatedZones, PartStores, ZoneChange, place,
};
use wisteriahitch_types::{AvailabilityZone, Code, TimeUs};

use crate::fixture::{CallSetting, engine, engine_address, id, model, prompt};

const NOW: TimeUs = TimeUs::new(50_000_000);

fn zones(names: &[&str]) -> BTreeSet<AvailabilityZone> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Guards against changes that are returned twice or not at all.
#[test]
fn each_change_is_returned_once() {
    struct Case {
        before: &'static [&'static str],
        after: &'static [&'static str],
        expected: Vec<ZoneChange>,
    }
    let evacuated = |name: &str| ZoneChange::Evacuated(name.parse().unwrap());
    let restored = |name: &str| ZoneChange::Restored(name.parse().unwrap());
    let cases = [
        Case {
            before: &[],
            after: &["a"],
            expected: vec![evacuated("a")],
        },
        Case {
            before: &["a"],
            after: &["a"],
            expected: vec![],
        },
        Case {
            before: &["a", "b"],
            after: &["b", "c"],
            expected: vec![evacuated("c"), restored("a")],
        },
    ];
    for case in cases {
        let mut known = EvacuatedZones::default();
        known.replace(zones(case.before));
        assert_eq!(known.replace(zones(case.after)), case.expected);
    }
}

/// Guards against calls that are placed in an evacuated zone, or fetch parts from an engine there.
#[test]
fn nothing_is_placed_in_or_fetched_from_an_evacuated_zone() {
    struct Case {
        name: &'static str,
        evacuated: &'static [&'static str],
        expected: Result<&'static str, Code>,
    }
    let cases = [
        Case {
            name: "none",
            evacuated: &[],
            expected: Ok("a"),
        },
        Case {
            name: "the zone of the engine that has cached the prompt",
            evacuated: &["zone-a"],
            expected: Ok("b"),
        },
        Case {
            name: "the other zone",
            evacuated: &["zone-b"],
            expected: Ok("a"),
        },
        Case {
            name: "all",
            evacuated: &["zone-a", "zone-b"],
            expected: Err(Code::ZonesEvacuated),
        },
    ];
    for case in cases {
        let mut table = EndpointTable::default();
        for name in ["a", "b"] {
            table.apply_registration(
                Endpoint {
                    zone: format!("zone-{name}").parse().unwrap(),
                    ..engine(name)
                },
                NOW,
            );
        }
        let prompt = prompt(9_000, 1_000);
        let namer = wisteriahitch_relay::PartKeyHasher::new(&model(), "w1");
        let row = table.get_mut(&id("a")).unwrap();
        for part in &prompt.parts {
            row.parts
                .record_use(namer.key(part.id), part.tokens.get(), NOW);
        }
        table.set_evacuated_zones(zones(case.evacuated), NOW);
        let setting = CallSetting::in_zone("zone-a");
        let request = setting.request(&prompt);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let placed = place(&table, &PartStores::default(), &request, NOW, &mut rng);
        let fetches = placed.as_ref().is_ok_and(|placed| {
            let from_a = Some(engine_address("a"));
            placed.fetch_from.contains(&from_a)
        });
        let placed = placed.map(|placed| placed.endpoint.to_string());
        let placed = placed.map_err(|refusal| refusal.code);
        let expected = case.expected.map(str::to_owned);
        assert_eq!(placed, expected, "{}", case.name);
        assert!(!fetches, "{}", case.name);
    }
}

/// Guards against a call that is sent to an evacuated zone because it was placed before the
/// evacuation was known.
#[test]
fn a_call_that_was_placed_before_is_no_longer_admitted() {
    let mut table = EndpointTable::default();
    table.apply_registration(engine("a"), NOW);
    assert!(table.try_admit(&id("a"), CallPermits::default(), NOW));
    table.set_evacuated_zones(zones(&["a"]), NOW);
    assert!(!table.try_admit(&id("a"), CallPermits::default(), NOW));
    table.set_evacuated_zones(zones(&[]), NOW);
    assert!(table.try_admit(&id("a"), CallPermits::default(), NOW));
}
