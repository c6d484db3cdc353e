//! Restarts of endpoints under their id, unreadable registrations, and shared addresses.

use std::collections::{BTreeSet, HashMap, HashSet};

use wisteriahitch_relay::{
    AbsenceCause, ConcurrencyOptions, Endpoint, EndpointChange, EndpointRow, EndpointState,
    EndpointTable, EngineReport, Load, LoadReport, OrderOutcome, PartKey, PermitShare,
    Registration, Rollout, RolloutRow, RolloutStep,
};
use wisteriahitch_types::{
    DurationUs, EndpointInstance, EndpointStart, Incarnation, TimeUs, WeightNumber,
};
use wisteriahitch_wire::object_store::Revision;

use crate::fixture::{
    at_ms, draining, engine, engine_address, id, lapsed_until, model, ms, service,
};

const FIELDS_PAGE: &str = include_str!("../../../../docs/design/endpoint-lives.md");

/// An endpoint that started at `start_ms` by its own clock and registered at this revision.
fn started(name: &str, start_ms: u64, revision: u64) -> Endpoint {
    Endpoint {
        instance: instance(name, start_ms),
        revision: Revision::from_u64(revision),
        ..engine(name)
    }
}

fn instance(name: &str, start_ms: u64) -> EndpointInstance {
    EndpointInstance {
        start: Some(EndpointStart::from_unix_ms(start_ms)),
        ..id(name)
    }
}

fn unreadable(name: &str, revision: u64) -> Registration {
    Registration::Unreadable(id(name).id, Revision::from_u64(revision))
}

fn site() -> EndpointTable {
    let mut table = EndpointTable::default();
    table.set_services(HashSet::from([service()]), HashMap::new());
    table
}

/// Destructures a row and returns the names and values of its fields. A new field doesn't compile
/// until it is named where this is used.
macro_rules! fields {
    ($row:expr; $($field:ident),+; times: $($time:ident),+; $name:ident) => {{
        let EndpointRow { $($field),+, $($time),+, $name } = $row;
        let names = [$(stringify!($field)),+, $(stringify!($time)),+, stringify!($name)];
        (($($field),+, [$(*$time),+], $name), BTreeSet::from(names))
    }};
}

/// Sets everything that can be known of an instance to a value other than the default.
fn set_all_fields(table: &mut EndpointTable, instance: &EndpointInstance, load: Load) {
    let options = table.outlier_options;
    {
        let row = table.get_mut(instance).unwrap();
        row.own_load.add(load);
        row.unsent_load.add(load);
        row.is_displaced = true;
        row.reported_load = Some(Box::new((
            LoadReport {
                running: 1,
                waiting: 1,
                slots: 1,
                work_percent: None,
            },
            at_ms(0),
        )));
        row.pace.record(4.0, at_ms(0));
        row.outlier.eject(&options, at_ms(0));
        row.parts.record_use(PartKey(1), 100, at_ms(0));
        row.parts_tracked_until_us = at_ms(60_000);
        row.unreachable_until_us = at_ms(60_000);
        row.corroborated_until_us = at_ms(60_000);
        row.suspected_until_us = at_ms(60_000);
        row.reserved_until_us = at_ms(60_000);
    }
    table.record_weights(instance, &model(), WeightNumber::new(9));
    table.record_limit(instance, "2.1".parse().ok(), at_ms(0));
    table.record_malformed(instance);
    let short_name = table.get(instance).unwrap().short_name;
    table.record_leaving(short_name, at_ms(0));
    table.record_rest(instance, DurationUs::from_ms(60_000), at_ms(0));
}

/// Guards against a new instance that inherits what was learned of the previous one: it would get
/// prompts for parts that it hasn't cached, or no calls at all. The endpoint is used, fails, leaves
/// and restarts under its id.
#[test]
fn a_restart_discards_the_state_of_the_previous_instance() {
    let mut table = site();
    table.apply_registration(started("a", 1_000, 10), TimeUs::ZERO);
    let before = instance("a", 1_000);
    let short_name_before = table.get(&before).unwrap().short_name;
    let peer = Incarnation::new(7);
    let load = Load {
        running: 3,
        unread_tokens: 10,
        memory_tokens: 20,
    };
    let loads = HashMap::from([(short_name_before, load)]);
    table.apply_peer_load(peer, loads.clone(), at_ms(0));
    set_all_fields(&mut table, &before, load);
    table.get_mut(&before).unwrap().state = EndpointState::Draining;

    let changes = table.apply_registration(started("a", 2_000, 11), TimeUs::ZERO);
    let after = instance("a", 2_000);
    let expected = [
        EndpointChange::Ended(before.clone()),
        EndpointChange::Added(after.clone()),
    ];
    assert_eq!(changes, expected);
    assert!(table.get(&before).is_none() && table.has_ended(&before));
    let row = table.get(&after).unwrap();
    let (parts, names) = fields!(row;
        endpoint, state, is_displaced, own_load, unsent_load, peers_load, reported_load, pace, outlier, parts,
        cold, statements;
        times: parts_tracked_until_us, unreachable_until_us, corroborated_until_us, suspected_until_us,
        reserved_until_us; short_name
    );
    let (
        endpoint,
        state,
        is_displaced,
        own_load,
        unsent_load,
        peers_load,
        reported_load,
        pace,
        outlier,
        cached_parts,
        cold,
        statements,
        times,
        name,
    ) = parts;
    assert_eq!(*endpoint, started("a", 2_000, 11), "registered weights");
    assert_eq!(*state, EndpointState::Ready);
    assert!(!is_displaced);
    assert_eq!((*own_load, *peers_load), (Load::default(), Load::default()));
    assert_eq!(*unsent_load, Load::default());
    assert!(reported_load.is_none());
    assert_eq!(pace.lasting_factor(at_ms(0)), 1.0);
    assert!(!outlier.is_ejected(at_ms(1)) && outlier.failure_rate() == 0.0);
    assert!(cached_parts.is_empty());
    assert!(!cold.is_cold(at_ms(0)) && cold.permits.share == PermitShare::default());
    assert!(statements.limit.notice().is_none() && !statements.has_malformed);
    assert_eq!(statements.rest_until_us, TimeUs::ZERO);
    assert!(!table.has_announced_leaving(row));
    assert!(
        times.iter().all(|until| *until == TimeUs::ZERO),
        "{times:?}"
    );
    assert_ne!(*name, short_name_before);

    let documented: BTreeSet<&str> = FIELDS_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|row| row.split('`').next())
        .collect();
    let missing: Vec<_> = names.difference(&documented).collect();
    assert!(
        missing.is_empty(),
        "fields missing from endpoint-lives.md: {missing:?}"
    );
}

/// Guards against late information about the previous instance that is applied to the new one,
/// which then counts as busy, as having cached parts, or as reserved for an order. A peer's earlier
/// message and the end of a call arrive after the restart; both would match by id alone.
#[test]
fn late_reports_about_the_previous_instance_are_ignored() {
    let mut table = site();
    table.apply_registration(started("a", 1_000, 10), TimeUs::ZERO);
    let (before, after) = (instance("a", 1_000), instance("a", 2_000));
    let name = table.get(&before).unwrap().short_name;
    table.apply_registration(started("a", 2_000, 11), TimeUs::ZERO);

    let peer = Incarnation::new(7);
    let load = Load {
        running: 3,
        ..Load::default()
    };
    table.apply_peer_load(peer, HashMap::from([(name, load)]), at_ms(1));
    table.apply_peer_reservations(peer, HashSet::from([name]), at_ms(500), at_ms(1));
    table.record_part(name, PartKey(1), 100, at_ms(1));
    table.record_weights(&before, &model(), WeightNumber::new(9));
    assert!(table.get_mut(&before).is_none());
    assert!(table.record_misdirection(&before, &id("b").id).is_none());

    let row = table.get(&after).unwrap();
    assert_eq!(row.load(), Load::default());
    assert_eq!(row.reserved_until_us, TimeUs::ZERO);
    assert!(row.parts.is_empty() && !row.is_displaced);
    assert_eq!(row.weights(&model()), Some(WeightNumber::new(1)));
}

/// Guards against an overflow when peers report huge loads, which ends the daemon or makes a busy
/// engine look idle.
#[test]
fn huge_loads_of_peers_saturate() {
    let mut table = site();
    table.apply_registration(started("a", 1_000, 10), TimeUs::ZERO);
    let name = table.get(&instance("a", 1_000)).unwrap().short_name;
    let max = Load {
        running: u32::MAX,
        unread_tokens: u64::MAX,
        memory_tokens: u64::MAX,
    };
    for peer in [7, 8] {
        let loads = HashMap::from([(name, max)]);
        table.apply_peer_load(Incarnation::new(peer), loads, at_ms(0));
    }
    assert_eq!(table.get(&instance("a", 1_000)).unwrap().load(), max);
}

/// Guards against a restarted engine that is ignored for good, and against one that is gone and
/// used again, because instances are ordered by their starts. A start may go back with the clock;
/// the store's revision doesn't.
#[test]
fn the_revision_says_which_instance_is_the_later_one() {
    struct Case {
        what: &'static str,
        first: Endpoint,
        second: Endpoint,
        current: EndpointInstance,
    }
    let cases = [
        Case {
            what: "a later start in a newer registration",
            first: started("a", 1_000, 10),
            second: started("a", 2_000, 11),
            current: instance("a", 2_000),
        },
        Case {
            what: "a clock that was set back before the restart",
            first: started("a", 2_000, 10),
            second: started("a", 1_000, 11),
            current: instance("a", 1_000),
        },
        Case {
            what: "an old registration that arrives late",
            first: started("a", 2_000, 11),
            second: started("a", 1_000, 10),
            current: instance("a", 2_000),
        },
        Case {
            what: "an old registration with a later start, before a clock was set back",
            first: started("a", 1_000, 11),
            second: started("a", 2_000, 10),
            current: instance("a", 1_000),
        },
        Case {
            what: "the first registration with a start",
            first: engine("a"),
            second: started("a", 1_000, 10),
            current: instance("a", 1_000),
        },
    ];
    for case in cases {
        let mut table = site();
        table.apply_registration(case.first, TimeUs::ZERO);
        table.apply_registration(case.second, TimeUs::ZERO);
        let row = table.by_id(&id("a").id).unwrap();
        assert_eq!(*row.instance(), case.current, "{}", case.what);
        assert_eq!(row.state, EndpointState::Ready, "{}", case.what);
    }
}

/// Guards against an engine that left, restarted and gets no calls, because the announced leaving
/// is kept by id instead of by instance.
#[test]
fn an_endpoint_that_left_and_starts_again_is_used() {
    let mut table = site();
    table.apply_registration(started("a", 1_000, 10), TimeUs::ZERO);
    let leaving = Endpoint {
        is_draining: true,
        ..started("a", 1_000, 11)
    };
    table.apply_registration(leaving, TimeUs::ZERO);
    table.apply_registration(started("a", 1_000, 12), TimeUs::ZERO);
    let is_used = |table: &EndpointTable| table.by_id(&id("a").id).unwrap().accepts_requests();
    assert!(!is_used(&table), "it isn't used again without a restart");
    table.apply_registration(started("a", 5_000, 13), TimeUs::ZERO);
    assert!(is_used(&table));
}

/// Guards against calls to an endpoint whose registration was overwritten with something
/// unreadable, because the last readable registration stays in use. Later the endpoint registers
/// again.
#[test]
fn an_unreadable_registration_stops_calls_until_it_can_be_read_again() {
    let mut table = site();
    table.apply_registration(started("a", 1_000, 10), TimeUs::ZERO);
    table.apply_registration(started("b", 1_000, 11), TimeUs::ZERO);
    let a = instance("a", 1_000);
    table.get_mut(&a).unwrap().own_load.running = 2;
    let changes = table.apply_registration(unreadable("a", 12), TimeUs::ZERO);
    assert_eq!(changes, [EndpointChange::Unreadable(a.clone())]);
    assert!(!table.get(&a).unwrap().accepts_requests());
    // Another unreadable version, or an older listing, is no change.
    assert!(
        table
            .apply_registration(unreadable("a", 13), TimeUs::ZERO)
            .is_empty()
    );
    assert!(
        table
            .apply_registration(unreadable("b", 9), TimeUs::ZERO)
            .is_empty()
    );
    let b = table.get(&instance("b", 1_000)).unwrap();
    assert!(b.accepts_requests(), "other endpoints are unaffected");
    // An unreadable registration isn't missing from a listing: running calls still count.
    let listing = vec![unreadable("a", 13), started("b", 1_000, 11).into()];
    assert!(
        table
            .apply_listing(listing, AbsenceCause::Left, at_ms(1))
            .is_empty()
    );
    table.apply_registration(started("a", 1_000, 14), TimeUs::ZERO);
    let row = table.get(&a).unwrap();
    assert!(row.accepts_requests());
    assert_eq!(row.own_load.running, 2);
    // A registration without a start, from an endpoint that has reported one, was written by
    // something else.
    let startless = Endpoint {
        revision: Revision::from_u64(15),
        ..engine("a")
    };
    assert_eq!(
        table.apply_registration(startless, TimeUs::ZERO),
        [EndpointChange::Unreadable(a.clone())]
    );
    let removed = table.apply_unregistration(&a.id, lapsed_until(2_302), at_ms(2));
    assert_eq!(removed, Some(EndpointChange::Removed(a)));
}

/// Guards against calls to two engines that both refuse them as misdirected, while others are free.
/// An engine crashes, another one starts at its address, and the registration of the first stays
/// for some heartbeats.
#[test]
fn an_address_belongs_to_one_endpoint() {
    let at_a = |name: &str, revision| Endpoint {
        address: engine_address("a"),
        ..started(name, 1_000, revision)
    };
    let is_displaced =
        |table: &EndpointTable, name: &str| table.get(&instance(name, 1_000)).unwrap().is_displaced;
    let mut table = site();
    table.apply_registration(started("a", 1_000, 10), TimeUs::ZERO);
    let changes = table.apply_registration(at_a("b", 11), TimeUs::ZERO);
    let displaced = EndpointChange::Displaced(instance("a", 1_000));
    assert_eq!(
        changes,
        [
            EndpointChange::Added(instance("b", 1_000)),
            displaced.clone()
        ]
    );
    // An answer takes precedence over whichever registration came last.
    let change = table.record_misdirection(&instance("b", 1_000), &id("a").id);
    assert_eq!(
        change,
        Some(EndpointChange::Displaced(instance("b", 1_000)))
    );
    assert!(is_displaced(&table, "b") && !is_displaced(&table, "a"));
    assert_eq!(
        table.record_misdirection(&instance("a", 1_000), &id("a").id),
        None
    );
    assert_eq!(
        table.record_misdirection(&instance("a", 1_000), &id("b").id),
        Some(displaced)
    );
    // An endpoint that no longer claims the address gives it back.
    table.apply_registration(unreadable("b", 12), TimeUs::ZERO);
    assert!(!is_displaced(&table, "a"));
    // An endpoint of an unknown service claims no address.
    let unknown = Endpoint {
        service: "elsewhere".parse().unwrap(),
        ..at_a("c", 13)
    };
    table.apply_registration(unknown, TimeUs::ZERO);
    assert!(!is_displaced(&table, "a"));
    // A new registration of the endpoint claims its address again.
    table.record_misdirection(&instance("a", 1_000), &id("d").id);
    table.apply_registration(started("a", 1_000, 14), TimeUs::ZERO);
    assert!(!is_displaced(&table, "a"));
    // Nor does an endpoint that leaves claim one.
    let leaving = Endpoint {
        address: engine_address("a"),
        instance: instance("e", 1_000),
        revision: Revision::from_u64(15),
        ..draining("e")
    };
    table.apply_registration(leaving, TimeUs::ZERO);
    assert!(!is_displaced(&table, "a"));
}

/// Guards against a starting daemon that calls an engine that is gone instead of the one now at its
/// address, because the registration that was read last in a listing counts as the later one.
#[test]
fn of_two_listed_at_one_address_the_later_registration_has_it() {
    struct Case {
        displaced: (&'static str, u64),
        present: (&'static str, u64),
    }
    let cases = [
        Case {
            displaced: ("a", 10),
            present: ("b", 11),
        },
        Case {
            displaced: ("b", 10),
            present: ("a", 11),
        },
    ];
    for case in cases {
        let at_one_address = |(name, revision): (&str, u64)| {
            let endpoint = Endpoint {
                address: engine_address("a"),
                ..started(name, 1_000, revision)
            };
            Registration::Valid(endpoint)
        };
        let mut table = site();
        let mut listing = vec![at_one_address(case.displaced), at_one_address(case.present)];
        listing.sort_by_key(|registration| format!("{registration:?}"));
        table.apply_listing(listing, AbsenceCause::Left, at_ms(0));
        let is_displaced = |name| table.get(&instance(name, 1_000)).unwrap().is_displaced;
        assert!(is_displaced(case.displaced.0), "{}", case.displaced.0);
        assert!(!is_displaced(case.present.0), "{}", case.present.0);
    }
}

/// Guards against an engine that keeps its old weights for seconds because an order to the previous
/// instance still counts as running. The engine accepts the order, crashes while it loads the
/// weights, and restarts at once with the old ones.
#[test]
fn an_order_ends_with_the_instance_that_accepted_it() {
    let mut rollout = Rollout::new(ConcurrencyOptions {
        parallel_min: 1,
        parallel_share: 0.0,
        completion_timeout_us: ms(10_000),
    });
    let row = |instance: &EndpointInstance| RolloutRow {
        endpoint: instance.clone(),
        model: model(),
        current: WeightNumber::new(1),
        wanted: WeightNumber::new(2),
        replaced_at_us: at_ms(0),
        dispatch_deadline_us: Some(at_ms(8_000)),
        running: 0,
    };
    let report = EngineReport {
        weights: [(model(), WeightNumber::new(1))].into(),
        ..EngineReport::default()
    };
    let (before, after) = (instance("a", 1_000), instance("a", 2_000));
    rollout.tick(&[row(&before)], 1, at_ms(0));
    rollout.tick(&[row(&before)], 1, at_ms(200));
    rollout.apply_report(&before, Some(&report), at_ms(210));
    rollout.tick(&[row(&before)], 1, at_ms(220));
    rollout.record_order_outcome(&before, &OrderOutcome::Accepted, at_ms(230));
    // The next instance is reported like any other engine, and gets an order of its own.
    rollout.tick(&[row(&after)], 1, at_ms(300));
    rollout.apply_report(&before, Some(&report), at_ms(310));
    let steps = rollout.tick(&[row(&after)], 1, at_ms(500));
    assert_eq!(steps, [RolloutStep::ReadReport(after.clone())]);
    rollout.apply_report(&after, Some(&report), at_ms(510));
    let steps = rollout.tick(&[row(&after)], 1, at_ms(520));
    assert!(
        matches!(&steps[..], [RolloutStep::GiveOrder { endpoint, expected_orders: 0, .. }]
            if *endpoint == after),
        "{steps:?}"
    );
}
