//! Tests of the zones in which calls may run and parts may be saved.

use std::collections::BTreeMap;

use wisteriahitch_relay::{AllowedZones, RegionMap};
use wisteriahitch_types::Region;

fn regions(names: &[&str]) -> Vec<Region> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Guards against a call that runs in a region that its route or its workspace doesn't permit.
#[test]
fn calls_run_only_where_route_and_workspace_permit() {
    struct Case {
        route: &'static [&'static str],
        workspace: &'static [&'static str],
        /// Allowed zones out of a and b in north, c in south, and d without a known region.
        allowed: &'static [&'static str],
    }
    let cases = [
        Case {
            route: &[],
            workspace: &[],
            allowed: &["a", "b", "c", "d"],
        },
        Case {
            route: &["north"],
            workspace: &[],
            allowed: &["a", "b"],
        },
        Case {
            route: &[],
            workspace: &["south"],
            allowed: &["c"],
        },
        Case {
            route: &["north", "south"],
            workspace: &["south"],
            allowed: &["c"],
        },
        Case {
            route: &["north"],
            workspace: &["south"],
            allowed: &[],
        },
        Case {
            route: &["west"],
            workspace: &[],
            allowed: &[],
        },
    ];
    let zones = [("a", "north"), ("b", "north"), ("c", "south")];
    let zones = zones.map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()));
    let map = RegionMap::new(BTreeMap::from(zones));
    for case in cases {
        let allowed = AllowedZones::of(&regions(case.route), &regions(case.workspace), &map);
        let all = ["a", "b", "c", "d"].into_iter();
        let found: Vec<&str> = all
            .filter(|zone| allowed.contains(&zone.parse().unwrap()))
            .collect();
        assert_eq!(found, case.allowed, "{:?} {:?}", case.route, case.workspace);
    }
}

/// Guards against saving parts of a prompt to a store outside the permitted regions of its call.
#[test]
fn parts_are_saved_only_in_allowed_zones() {
    use wisteriahitch_relay::{PartKey, PartListing, PartStores};
    use wisteriahitch_types::TokenCount;

    use crate::fixture::{address, at_ms};

    let store = |port: u16, zone: &str| wisteriahitch_relay::PartStore {
        address: address(port),
        zone: zone.parse().unwrap(),
        capacity_tokens: TokenCount::new(1_000_000),
        link_mbps: 400_000.0,
        first_byte_delay: std::time::Duration::from_millis(1),
        is_managed: true,
    };
    let zones = [("a", "north"), ("b", "south")];
    let zones = zones.map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()));
    let map = RegionMap::new(BTreeMap::from(zones));
    let allowed = AllowedZones::of(&regions(&["south"]), &[], &map);
    let mut stores = PartStores::default();
    for added in stores.configure([store(1, "a"), store(2, "b")].into_iter()) {
        stores.apply_listing(
            added,
            PartListing {
                epoch: 1,
                ..PartListing::default()
            },
            at_ms(0),
        );
    }
    let saved: Vec<_> = (0..40)
        .filter_map(|key| stores.choose_save_target(PartKey(key), 1_000, &allowed, at_ms(10)))
        .collect();
    assert_eq!(saved.len(), 40);
    assert!(saved.iter().all(|to| *to == address(2)), "{saved:?}");
}
