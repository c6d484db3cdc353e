//! Restarts of endpoints under their id, registrations that can't be read, and shared addresses.

use std::collections::{BTreeSet, HashMap, HashSet};

use wisteriahitch_relay::{
    AbsenceCause, Endpoint, EndpointChange, EndpointRow, EndpointState, EndpointTable,
    EngineReport, Load, LoadReport, OrderOutcome, PaceOptions, PartKey, PermitShare, Registration,
    Rollout, RolloutRow, RolloutStep,
};
use wisteriahitch_types::{
    DurationUs, EndpointInstance, EndpointStart, Incarnation, TimeUs, WeightNumber,
};
use wisteriahitch_wire::object_store::Revision;

use crate::fixture::{at_ms, draining, engine, engine_address, id, model, ms, service};

const LIVES_PAGE: &str = include_str!("../../../../docs/design/endpoint-lives.md");

/// An endpoint that started at `start_ms` by its own clock and registered at this revision.
fn born(name: &str, start_ms: u64, revision: u64) -> Endpoint {
    Endpoint {
        instance: life(name, start_ms),
        revision: Revision(revision),
        ..engine(name)
    }
}

fn life(name: &str, start_ms: u64) -> EndpointInstance {
    EndpointInstance {
        start: Some(EndpointStart::from_unix_ms(start_ms)),
        ..id(name)
    }
}

fn unreadable(name: &str, revision: u64) -> Registration {
    Registration::Unreadable(id(name).id, Revision(revision))
}

fn site() -> EndpointTable {
    let mut table = EndpointTable::default();
    table.set_services(HashSet::from([service()]), HashMap::new());
    table
}

/// Takes a row apart, so that a new field doesn't compile before it is named here, and returns the
/// names with the parts.
macro_rules! fields {
    ($row:expr; $($field:ident),+; times: $($time:ident),+; $name:ident) => {{
        let EndpointRow { $($field),+, $($time),+, $name } = $row;
        let names = [$(stringify!($field)),+, $(stringify!($time)),+, stringify!($name)];
        (($($field),+, [$(*$time),+], $name), BTreeSet::from(names))
    }};
}

/// Lets everything become known of a life that can be.
fn wear(table: &mut EndpointTable, instance: &EndpointInstance, load: Load) {
    let options = table.outlier_options;
    {
        let row = table.get_mut(instance).unwrap();
        row.own_load.add(load);
        row.is_displaced = true;
        row.reported_load = Some((
            LoadReport {
                running: 1,
                waiting: 1,
                slots: 1,
            },
            at_ms(0),
        ));
        row.outlier.eject(&options, at_ms(0));
        row.parts.used(PartKey(1), 100, at_ms(0));
        row.parts_tracked_until_us = at_ms(60_000);
        row.unreachable_until_us = at_ms(60_000);
        row.corroborated_until_us = at_ms(60_000);
        row.suspected_until_us = at_ms(60_000);
        row.reserved_until_us = at_ms(60_000);
    }
    table.record_weights(instance, &model(), WeightNumber::new(9));
    table.record_limit(instance, "2.1".parse().ok(), at_ms(0));
    table.record_malformed(instance);
    let life = table.get(instance).unwrap().short_name;
    table.record_leaving(life, at_ms(0));
    table.record_rest(instance, DurationUs::from_ms(60_000), at_ms(0));
}

/// Symptom: a prompt is sent to an engine for parts that it doesn't keep, or an engine that is well
/// gets nothing. Sequence: it is used, fails, leaves and starts again under its id. Cause: something
/// that was learnt of the life before was taken for true of the next one.
#[test]
fn a_restart_leaves_nothing_of_the_life_before() {
    let mut table = site();
    table.apply_registration(born("a", 1_000, 10), TimeUs::ZERO);
    let before = life("a", 1_000);
    let short_name_before = table.get(&before).unwrap().short_name;
    let peer = Incarnation::new(7);
    let load = Load {
        running: 3,
        unread_tokens: 10,
        memory_tokens: 20,
    };
    let loads = HashMap::from([(short_name_before, load)]);
    table.apply_peer_load(peer, loads.clone(), at_ms(0));
    wear(&mut table, &before, load);
    table.get_mut(&before).unwrap().state = EndpointState::Draining;

    let changes = table.apply_registration(born("a", 2_000, 11), TimeUs::ZERO);
    let after = life("a", 2_000);
    let expected = [
        EndpointChange::Ended(before.clone()),
        EndpointChange::Added(after.clone()),
    ];
    assert_eq!(changes, expected);
    assert!(table.get(&before).is_none() && table.has_ended(&before));
    let row = table.get(&after).unwrap();
    let (parts, names) = fields!(row;
        endpoint, state, is_displaced, own_load, peers_load, reported_load, outlier, parts, cold,
        statements;
        times: parts_tracked_until_us, unreachable_until_us, corroborated_until_us, suspected_until_us,
        reserved_until_us; short_name
    );
    let (
        endpoint,
        state,
        is_displaced,
        own_load,
        peers_load,
        reported_load,
        outlier,
        kept,
        cold,
        statements,
        times,
        name,
    ) = parts;
    assert_eq!(*endpoint, born("a", 2_000, 11), "its weights among them");
    assert_eq!(*state, EndpointState::Ready);
    assert!(!is_displaced);
    assert_eq!((*own_load, *peers_load), (Load::default(), Load::default()));
    assert!(reported_load.is_none());
    assert!(!outlier.is_ejected(at_ms(1)) && outlier.failure_rate() == 0.0);
    assert!(kept.is_empty());
    assert!(!cold.is_cold(at_ms(0)) && cold.permits.share == PermitShare::default());
    assert!(statements.limit.notice().is_none() && !statements.has_malformed);
    assert_eq!(statements.rest_until_us, TimeUs::ZERO);
    assert!(!table.has_announced_leaving(row));
    assert!(
        times.iter().all(|until| *until == TimeUs::ZERO),
        "{times:?}"
    );
    assert_ne!(*name, short_name_before);

    let told: BTreeSet<&str> = LIVES_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|row| row.split('`').next())
        .collect();
    let missing: Vec<_> = names.difference(&told).collect();
    assert!(missing.is_empty(), "the page doesn't say of {missing:?}");
}

/// Symptom: an engine that has just started counts as busy, as keeping parts, or as taken out for an
/// order. Sequence: it restarts; a peer's message of before, and the end of a call to the life before,
/// arrive after. Cause: they name the endpoint by its id alone.
#[test]
fn late_news_of_the_life_before_changes_nothing() {
    let mut table = site();
    table.apply_registration(born("a", 1_000, 10), TimeUs::ZERO);
    let (before, after) = (life("a", 1_000), life("a", 2_000));
    let name = table.get(&before).unwrap().short_name;
    table.apply_registration(born("a", 2_000, 11), TimeUs::ZERO);

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

/// Symptom: a daemon ends, or takes a full engine for an idle one. Sequence: messages name loads beyond all
/// numbers. Cause: they were added up as they stood.
#[test]
fn absurd_loads_of_peers_add_up_to_the_most() {
    let mut table = site();
    table.apply_registration(born("a", 1_000, 10), TimeUs::ZERO);
    let name = table.get(&life("a", 1_000)).unwrap().short_name;
    let most = Load {
        running: u32::MAX,
        unread_tokens: u64::MAX,
        memory_tokens: u64::MAX,
    };
    for peer in [7, 8] {
        let loads = HashMap::from([(name, most)]);
        table.apply_peer_load(Incarnation::new(peer), loads, at_ms(0));
    }
    assert_eq!(table.get(&life("a", 1_000)).unwrap().load(), most);
}

/// Symptom: an engine that restarted is shut out for good, or one that is gone is used again.
/// Sequence: its clock was set back before the restart, or an old registration arrives late. Cause:
/// its start was taken for an order in time. The store's revision is one.
#[test]
fn the_revision_says_which_life_is_the_later_one() {
    struct Case {
        what: &'static str,
        first: Endpoint,
        second: Endpoint,
        lives: EndpointInstance,
    }
    let cases = [
        Case {
            what: "a later start in a newer registration",
            first: born("a", 1_000, 10),
            second: born("a", 2_000, 11),
            lives: life("a", 2_000),
        },
        Case {
            what: "a clock that was set back before the restart",
            first: born("a", 2_000, 10),
            second: born("a", 1_000, 11),
            lives: life("a", 1_000),
        },
        Case {
            what: "an old registration that arrives late",
            first: born("a", 2_000, 11),
            second: born("a", 1_000, 10),
            lives: life("a", 2_000),
        },
        Case {
            what: "an old registration with a later start, before a clock was set back",
            first: born("a", 1_000, 11),
            second: born("a", 2_000, 10),
            lives: life("a", 1_000),
        },
        Case {
            what: "the first registration that tells a start",
            first: engine("a"),
            second: born("a", 1_000, 10),
            lives: life("a", 1_000),
        },
    ];
    for case in cases {
        let mut table = site();
        table.apply_registration(case.first, TimeUs::ZERO);
        table.apply_registration(case.second, TimeUs::ZERO);
        let row = table.by_id(&id("a").id).unwrap();
        assert_eq!(*row.instance(), case.lives, "{}", case.what);
        assert_eq!(row.state, EndpointState::Ready, "{}", case.what);
    }
}

/// Symptom: an engine that was emptied, left and started again gets no call for as long as the daemon
/// lives. Cause: an announced leaving was kept for the id instead of for the life.
#[test]
fn an_endpoint_that_left_and_starts_again_is_used() {
    let mut table = site();
    table.apply_registration(born("a", 1_000, 10), TimeUs::ZERO);
    let leaving = Endpoint {
        is_draining: true,
        ..born("a", 1_000, 11)
    };
    table.apply_registration(leaving, TimeUs::ZERO);
    table.apply_registration(born("a", 1_000, 12), TimeUs::ZERO);
    let takes = |table: &EndpointTable| table.by_id(&id("a").id).unwrap().accepts_requests();
    assert!(!takes(&table), "it doesn't come back in the same life");
    table.apply_registration(born("a", 5_000, 13), TimeUs::ZERO);
    assert!(takes(&table));
}

/// Symptom: calls go on to an endpoint that nobody vouches for. Sequence: something else writes over
/// its registration, so that it can't be read; later the endpoint writes it again. Cause: the last good
/// registration stayed in use.
#[test]
fn an_unreadable_registration_names_nobody_until_it_is_good_again() {
    let mut table = site();
    table.apply_registration(born("a", 1_000, 10), TimeUs::ZERO);
    table.apply_registration(born("b", 1_000, 11), TimeUs::ZERO);
    let a = life("a", 1_000);
    table.get_mut(&a).unwrap().own_load.running = 2;
    let changes = table.apply_registration(unreadable("a", 12), TimeUs::ZERO);
    assert_eq!(changes, [EndpointChange::Unreadable(a.clone())]);
    assert!(!table.get(&a).unwrap().accepts_requests());
    // Told again, or in an older listing, it is no news.
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
    let b = table.get(&life("b", 1_000)).unwrap();
    assert!(b.accepts_requests(), "the others hold");
    // In a listing it isn't missing: what runs there is still counted.
    let listing = vec![unreadable("a", 13), born("b", 1_000, 11).into()];
    assert!(
        table
            .apply_listing(listing, AbsenceCause::Left, at_ms(1))
            .is_empty()
    );
    table.apply_registration(born("a", 1_000, 14), TimeUs::ZERO);
    let row = table.get(&a).unwrap();
    assert!(row.accepts_requests());
    assert_eq!(row.own_load.running, 2);
    // Without its start, where it has told one, it is somebody else's.
    let startless = Endpoint {
        revision: Revision(15),
        ..engine("a")
    };
    assert_eq!(
        table.apply_registration(startless, TimeUs::ZERO),
        [EndpointChange::Unreadable(a.clone())]
    );
    let gone = table.apply_unregistration(&a.id, AbsenceCause::MayHaveLapsed, at_ms(2));
    assert_eq!(gone, Some(EndpointChange::Removed(a)));
}

/// Symptom: a call is sent to two engines in a row that refuse it as meant for somebody else, while
/// others are free. Sequence: an engine crashes; another one starts at its address; the registration
/// of the first stays for some heartbeats. Cause: both were believed to be there.
#[test]
fn an_address_belongs_to_one_endpoint() {
    let at_a = |name: &str, revision| Endpoint {
        address: engine_address("a"),
        ..born(name, 1_000, revision)
    };
    let is_displaced =
        |table: &EndpointTable, name: &str| table.get(&life(name, 1_000)).unwrap().is_displaced;
    let mut table = site();
    table.apply_registration(born("a", 1_000, 10), TimeUs::ZERO);
    let changes = table.apply_registration(at_a("b", 11), TimeUs::ZERO);
    let displaced = EndpointChange::Displaced(life("a", 1_000));
    assert_eq!(
        changes,
        [EndpointChange::Added(life("b", 1_000)), displaced.clone()]
    );
    // The answer of who is there settles it, whatever was registered last.
    let change = table.record_misdirection(&life("b", 1_000), &id("a").id);
    assert_eq!(change, Some(EndpointChange::Displaced(life("b", 1_000))));
    assert!(is_displaced(&table, "b") && !is_displaced(&table, "a"));
    assert_eq!(
        table.record_misdirection(&life("a", 1_000), &id("a").id),
        None
    );
    assert_eq!(
        table.record_misdirection(&life("a", 1_000), &id("b").id),
        Some(displaced)
    );
    // Whoever no longer claims it gives it back.
    table.apply_registration(unreadable("b", 12), TimeUs::ZERO);
    assert!(!is_displaced(&table, "a"));
    // One whose service nobody knows claims nothing.
    let unknown = Endpoint {
        service: "elsewhere".parse().unwrap(),
        ..at_a("c", 13)
    };
    table.apply_registration(unknown, TimeUs::ZERO);
    assert!(!is_displaced(&table, "a"));
    // A new registration of its own says that it is there.
    table.record_misdirection(&life("a", 1_000), &id("d").id);
    table.apply_registration(born("a", 1_000, 14), TimeUs::ZERO);
    assert!(!is_displaced(&table, "a"));
    // One that leaves is no claim either.
    let leaving = Endpoint {
        address: engine_address("a"),
        instance: life("e", 1_000),
        revision: Revision(15),
        ..draining("e")
    };
    table.apply_registration(leaving, TimeUs::ZERO);
    assert!(!is_displaced(&table, "a"));
}

/// Symptom: a daemon that starts sends calls to an engine that is gone, and none to the one at its address.
/// Sequence: both registrations are listed at once. Cause: the one that was read last counted as the later
/// one.
#[test]
fn of_two_listed_at_one_address_the_later_registration_has_it() {
    struct Case {
        gone: (&'static str, u64),
        there: (&'static str, u64),
    }
    let cases = [
        Case {
            gone: ("a", 10),
            there: ("b", 11),
        },
        Case {
            gone: ("b", 10),
            there: ("a", 11),
        },
    ];
    for case in cases {
        let at_one_address = |(name, revision): (&str, u64)| {
            let endpoint = Endpoint {
                address: engine_address("a"),
                ..born(name, 1_000, revision)
            };
            Registration::Valid(endpoint)
        };
        let mut table = site();
        let mut listing = vec![at_one_address(case.gone), at_one_address(case.there)];
        listing.sort_by_key(|registration| format!("{registration:?}"));
        table.apply_listing(listing, AbsenceCause::Left, at_ms(0));
        let is_displaced = |name| table.get(&life(name, 1_000)).unwrap().is_displaced;
        assert!(is_displaced(case.gone.0), "{}", case.gone.0);
        assert!(!is_displaced(case.there.0), "{}", case.there.0);
    }
}

/// Symptom: an engine that crashed while it loaded new weights keeps the old ones for seconds.
/// Sequence: its order is accepted, it crashes and is back at once with the weights of before. Cause:
/// the order was still believed to be under way.
#[test]
fn an_order_ends_with_the_life_that_accepted_it() {
    let mut rollout = Rollout::new(PaceOptions {
        parallel_min: 1,
        parallel_share: 0.0,
        all_weights_within_us: ms(10_000),
    });
    let row = |instance: &EndpointInstance| RolloutRow {
        endpoint: instance.clone(),
        model: model(),
        has: WeightNumber::new(1),
        wanted: WeightNumber::new(2),
        replaced_at_us: at_ms(0),
        running: 0,
    };
    let report = EngineReport {
        weights: [(model(), WeightNumber::new(1))].into(),
        ..EngineReport::default()
    };
    let (before, after) = (life("a", 1_000), life("a", 2_000));
    rollout.tick(&[row(&before)], 1, at_ms(0));
    rollout.tick(&[row(&before)], 1, at_ms(200));
    rollout.reported(&before, Some(&report), at_ms(210));
    rollout.tick(&[row(&before)], 1, at_ms(220));
    rollout.ordered(&before, &OrderOutcome::Accepted, at_ms(230));
    // The next life is announced like any other engine, and gets an order of its own.
    rollout.tick(&[row(&after)], 1, at_ms(300));
    rollout.reported(&before, Some(&report), at_ms(310));
    let steps = rollout.tick(&[row(&after)], 1, at_ms(500));
    assert_eq!(steps, [RolloutStep::Report(after.clone())]);
    rollout.reported(&after, Some(&report), at_ms(510));
    let steps = rollout.tick(&[row(&after)], 1, at_ms(520));
    assert!(
        matches!(&steps[..], [RolloutStep::Order { endpoint, expected_orders: 0, .. }]
            if *endpoint == after),
        "{steps:?}"
    );
}
