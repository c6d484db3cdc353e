//! Membership of the fleet and the choice of hubs.

use std::net::Ipv4Addr;

use wisteriahitch_relay::{
    GossipMessage, HubCandidate, HubPlan, MemberPhase, MemberUpdate, MembershipUpdate,
    MessageSections, PeerTable, PermitShares, ReceiveOutcome, ReportReceiver, SuspectUpdate,
    add_member_updates, registration_listing_interval,
};
use wisteriahitch_types::{Incarnation, TimeUs};

use crate::fixture::at_ms;

pub(crate) fn message(
    last: u8,
    incarnation: u64,
    number: u64,
    phase: MemberPhase,
) -> GossipMessage {
    GossipMessage {
        incarnation: Incarnation::new(incarnation),
        number,
        ip: Ipv4Addr::new(10, 0, 0, last),
        zone: "a".to_owned(),
        phase,
        capacity: 250,
        link_mbps: 100,
        is_hub: true,
        follows_stores: true,
        is_store_reachable: true,
        sent_at_us: TimeUs::ZERO,
        kinds: vec![],
        endpoints: vec![],
        limits: vec![],
        leaving: vec![],
        followed: vec![],
        unreachable: vec![],
        parts: vec![],
        stores: vec![],
        stored_parts: vec![],
        suspects: SuspectUpdate::default(),
        zones: vec![],
        members: vec![],
        membership: MembershipUpdate::default(),
        is_partitioned: false,
        sections: MessageSections::default(),
    }
}

#[test]
fn callers_are_sent_to_ready_daemons_that_are_not_silent() {
    let mut table = PeerTable::default();
    table.receive(&message(1, 11, 1, MemberPhase::Ready), at_ms(0));
    table.receive(&message(2, 12, 1, MemberPhase::Draining), at_ms(0));
    table.receive(&message(3, 13, 1, MemberPhase::Starting), at_ms(0));
    let ready = |table: &PeerTable, ms| table.ready(at_ms(ms)).count();
    assert_eq!(ready(&table, 100), 1);
    assert_eq!(table.alive(at_ms(100)).count(), 3);
    assert_eq!(
        ready(&table, 1_000),
        0,
        "a silent daemon is no longer named"
    );
}

/// Guards against a leaving daemon that is named to callers again. Its older message arrives after
/// the newer one; messages must be ordered by their number, not by their arrival.
#[test]
fn a_late_message_changes_nothing() {
    let mut table = PeerTable::default();
    table.receive(&message(1, 11, 2, MemberPhase::Draining), at_ms(0));
    let outcome = table.receive(&message(1, 11, 1, MemberPhase::Ready), at_ms(1));
    assert_eq!(outcome, ReceiveOutcome::Stale);
    assert_eq!(table.ready(at_ms(2)).count(), 0);
    // Message numbers of a restarted daemon start over.
    let outcome = table.receive(&message(1, 21, 1, MemberPhase::Ready), at_ms(3));
    assert_eq!(outcome, ReceiveOutcome::Joined);
    assert_eq!(table.ready(at_ms(4)).count(), 1);
}

#[test]
fn a_silent_daemon_is_reported_once() {
    let mut table = PeerTable::default();
    table.receive(&message(1, 11, 1, MemberPhase::Ready), at_ms(0));
    let fell_silent = table.tick(at_ms(0), at_ms(1_000));
    assert_eq!(fell_silent, [Incarnation::new(11)]);
    assert!(table.tick(at_ms(1_000), at_ms(1_100)).is_empty());
}

fn candidate(number: u8, zone: &str) -> HubCandidate {
    HubCandidate {
        ip: Ipv4Addr::new(10, 0, 1, number),
        zone: zone.to_owned(),
        link_mbps: 100,
    }
}

fn fleet(size: u8) -> Vec<HubCandidate> {
    let zones = ["a", "b", "c"];
    (0..size)
        .map(|number| candidate(number, zones[usize::from(number) % 3]))
        .collect()
}

#[test]
fn in_a_small_fleet_everybody_is_a_hub() {
    let plan = HubPlan::for_members(&fleet(9));
    assert!(plan.is_small);
    assert!(
        fleet(9)
            .iter()
            .all(|member| plan.is_hub(member.ip) && plan.follows_stores(member))
    );
}

#[test]
fn a_large_fleet_has_few_hubs() {
    let members = fleet(75);
    let plan = HubPlan::for_members(&members);
    assert!(!plan.is_small);
    assert_eq!(
        plan.hubs.len(),
        15,
        "the square root of 25 in each of three zones"
    );
    let followers = members
        .iter()
        .filter(|member| plan.follows_stores(member))
        .count();
    assert_eq!(followers, 6);
    let mut of_hub = std::collections::BTreeMap::new();
    for member in members.iter().filter(|member| !plan.is_hub(member.ip)) {
        *of_hub.entry(plan.hub_of(member).unwrap()).or_insert(0) += 1;
    }
    assert!(of_hub.values().all(|count| *count <= 12), "{of_hub:?}");
}

/// Guards against partitions of a fleet that never meet, because each has chosen other hubs. All
/// daemons start at once, and each has listed only those that registered before it.
#[test]
fn a_hub_of_all_is_a_hub_of_every_part() {
    let members = fleet(75);
    let whole = HubPlan::for_members(&members);
    for known in [14, 30, 60] {
        let part = HubPlan::for_members(&members[..known]);
        for member in &members[..known] {
            assert!(
                !whole.is_hub(member.ip) || part.is_hub(member.ip),
                "{known}: {member:?}"
            );
        }
    }
}

/// Guards against callers that are sent to a dead daemon, or never to one in another part of a
/// large fleet, because what a hub reports is kept forever or not at all.
#[test]
fn members_reported_by_a_hub_count_until_they_expire() {
    let mut table = PeerTable::default();
    let mut report = message(1, 11, 1, MemberPhase::Ready);
    report.zones = vec!["b".to_owned()];
    let member = |number, phase| MemberUpdate {
        ip: Ipv4Addr::new(10, 0, 2, number),
        zone: 0,
        phase,
        capacity: 120,
        link_mbps: 10,
    };
    report.members = vec![
        member(1, MemberPhase::Ready),
        member(2, MemberPhase::Draining),
    ];
    table.receive(&report, at_ms(0));
    let entries = table.entries(at_ms(100));
    let ips: Vec<Ipv4Addr> = entries.iter().map(|entry| entry.ip).collect();
    assert_eq!(
        ips,
        [Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 0, 2, 1)]
    );
    table.tick(at_ms(100), at_ms(3_000));
    assert!(table.entries(at_ms(3_000)).is_empty());
}

/// Guards against a daemon that gossip doesn't reach. Each daemon is reached within three hops,
/// whoever sends.
#[test]
fn targets_connect_a_large_fleet() {
    let members = fleet(40);
    let mut table = PeerTable::default();
    for member in &members {
        let place = Some((member.zone.clone(), member.link_mbps));
        table.record_address(member.ip, place, at_ms(0));
    }
    let plan = HubPlan::for_members(&members);
    for member in &members {
        let targets = table.targets(member, &plan, at_ms(10));
        match plan.is_hub(member.ip) {
            true => {
                let hubs = plan.hubs.iter().filter(|hub| hub.ip != member.ip);
                assert!(hubs.into_iter().all(|hub| targets.contains(&hub.ip)));
            }
            false => assert_eq!(targets, [plan.hub_of(member).unwrap()]),
        }
    }
    let reached: std::collections::BTreeSet<Ipv4Addr> = plan
        .hubs
        .iter()
        .flat_map(|hub| table.targets(hub, &plan, at_ms(10)))
        .collect();
    assert_eq!(
        reached.len(),
        40,
        "each daemon receives messages from some hub"
    );
}

/// A hub's message that reports daemon 9.
fn report_of_member(number: u64, phase: MemberPhase) -> GossipMessage {
    GossipMessage {
        zones: vec!["b".to_owned()],
        members: vec![MemberUpdate {
            ip: Ipv4Addr::new(10, 0, 0, 9),
            zone: 0,
            phase,
            capacity: 250,
            link_mbps: 100,
        }],
        ..message(1, 11, number, MemberPhase::Ready)
    }
}

/// Guards against a daemon that is missing from entry lists, from the count of daemons and from
/// what hubs forward, because it was once heard directly and is now known only through a hub, as
/// happens when all start at once.
#[test]
fn a_member_reported_by_a_hub_counts_although_it_was_once_heard_directly() {
    struct Case {
        name: &'static str,
        /// Phase in its own message, at 0 ms.
        own_phase: MemberPhase,
        reported_phase: MemberPhase,
        /// Until when a hub reports it, five times a second.
        reported_until_ms: u64,
        asked_at_ms: u64,
        is_named: bool,
    }
    let cases = [
        Case {
            name: "reported all the time",
            own_phase: MemberPhase::Starting,
            reported_phase: MemberPhase::Ready,
            reported_until_ms: 8_000,
            asked_at_ms: 8_000,
            is_named: true,
        },
        Case {
            name: "fell silent, and a hub hasn't noticed yet",
            own_phase: MemberPhase::Ready,
            reported_phase: MemberPhase::Ready,
            reported_until_ms: 2_000,
            asked_at_ms: 2_000,
            is_named: false,
        },
        Case {
            name: "fell silent for good",
            own_phase: MemberPhase::Ready,
            reported_phase: MemberPhase::Ready,
            reported_until_ms: 2_400,
            asked_at_ms: 5_000,
            is_named: false,
        },
        Case {
            name: "left, and a hub reports it as draining",
            own_phase: MemberPhase::Ready,
            reported_phase: MemberPhase::Draining,
            reported_until_ms: 8_000,
            asked_at_ms: 8_000,
            is_named: false,
        },
    ];
    let me = Ipv4Addr::new(10, 0, 0, 50);
    let ip = Ipv4Addr::new(10, 0, 0, 9);
    for case in cases {
        let mut table = PeerTable::default();
        table.receive(&message(9, 19, 1, case.own_phase), at_ms(0));
        for ms in (200..=case.reported_until_ms).step_by(200) {
            table.receive(&report_of_member(ms, case.reported_phase), at_ms(ms));
            table.tick(at_ms(ms - 200), at_ms(ms));
        }
        table.tick(at_ms(case.asked_at_ms - 1), at_ms(case.asked_at_ms));
        let now = at_ms(case.asked_at_ms);
        let entries = table.entries(now);
        let is_listed = entries.iter().any(|entry| entry.ip == ip);
        assert_eq!(is_listed, case.is_named, "{}", case.name);
        let is_observed = table.observe_members(me, true, now).alive.contains(&ip);
        assert_eq!(is_observed, case.is_named, "{}", case.name);
        if case.is_named {
            let is_forwarded = table
                .recent_indirect_members(now)
                .any(|report| report.entry.ip == ip);
            assert!(is_forwarded, "{}", case.name);
            assert_eq!(table.count(now), 2, "{}", case.name);
        }
    }
}

/// Guards against calls to the platform that grow with the square of the fleet: each daemon of a
/// large one would list all daemons every few seconds.
#[test]
fn registrations_are_listed_at_a_rate_that_does_not_grow_with_the_fleet() {
    struct Case {
        what: &'static str,
        is_hub: bool,
        daemons: usize,
        /// Time between two listings of one daemon.
        interval_ms: u64,
    }
    let cases = [
        Case {
            what: "a daemon that knows no other one",
            is_hub: false,
            daemons: 1,
            interval_ms: 5_000,
        },
        Case {
            what: "a hub, which removes registrations of silent daemons",
            is_hub: true,
            daemons: 2_000,
            interval_ms: 5_000,
        },
        Case {
            what: "a fleet that is just large",
            is_hub: false,
            daemons: 13,
            interval_ms: 6_500,
        },
        Case {
            what: "a thousand daemons, with two listings a second of all together",
            is_hub: false,
            daemons: 1_000,
            interval_ms: 500_000,
        },
        Case {
            what: "two thousand daemons",
            is_hub: false,
            daemons: 2_000,
            interval_ms: 1_000_000,
        },
    ];
    for case in cases {
        let interval_us = registration_listing_interval(case.is_hub, case.daemons);
        assert_eq!(interval_us.as_ms(), case.interval_ms, "{}", case.what);
    }
}

/// Guards against permits that are used as if registered daemons weren't there, because the listing
/// expires before the next one, which is minutes later in a large fleet.
#[test]
fn registered_daemons_count_until_the_listing_expires() {
    let mut table = PeerTable::default();
    let me = Ipv4Addr::new(10, 0, 0, 50);
    let listed = |last: u8| std::collections::BTreeSet::from([Ipv4Addr::new(10, 0, 0, last)]);
    table.record_registrations(listed(1), at_ms(1_000_000));
    table.tick(at_ms(0), at_ms(900_000));
    let registered = |table: &PeerTable, ms| table.observe_members(me, true, at_ms(ms)).registered;
    assert_eq!(registered(&table, 900_000), listed(1));
    table.record_registrations(listed(2), at_ms(2_000_000));
    assert_eq!(registered(&table, 900_000), listed(2));
    table.tick(at_ms(900_000), at_ms(2_000_000));
    assert!(registered(&table, 2_000_000).is_empty());
}

/// Guards against a daemon that receives no messages because it goes on sending to a failed hub.
/// Another hub reported that hub some seconds ago, and reports are valid for long in a large fleet.
#[test]
fn a_silent_hub_is_replaced_although_it_was_reported_a_while_ago() {
    let me = candidate(50, "a");
    let hub = Ipv4Addr::new(10, 0, 0, 9);
    let mut table = PeerTable::default();
    let mut report = report_of_member(1, MemberPhase::Ready);
    report.membership.rotation_ms = 3_400;
    table.receive(&report, at_ms(0));
    for ms in (100..=2_000).step_by(100) {
        table.receive(&message(9, 19, ms, MemberPhase::Ready), at_ms(ms));
    }
    table.tick(at_ms(0), at_ms(2_500));
    assert!(table.hub_plan(&me, at_ms(2_500)).is_hub(hub));
    table.tick(at_ms(2_500), at_ms(3_000));
    assert!(!table.hub_plan(&me, at_ms(3_000)).is_hub(hub));
}

/// Guards against failed daemons that callers are sent to for weeks, because a damaged message
/// states such a rotation.
#[test]
fn an_implausible_rotation_does_not_keep_members() {
    let mut table = PeerTable::default();
    let mut report = report_of_member(1, MemberPhase::Ready);
    report.membership.rotation_ms = u32::MAX;
    table.receive(&report, at_ms(0));
    let ip = Ipv4Addr::new(10, 0, 0, 9);
    let is_named = |table: &PeerTable, ms| {
        let entries = table.entries(at_ms(ms));
        entries.iter().any(|entry| entry.ip == ip)
    };
    assert!(is_named(&table, 10_000));
    table.tick(at_ms(0), at_ms(600_000));
    assert!(!is_named(&table, 600_000));
}

/// Table of a hub that heard daemon 9 until `heard_until_ms`, was suspended then, and sends until `now_ms`.
/// It hears daemon 8 again from `hears_again_ms` on.
fn hub_of_member(
    heard_until_ms: u64,
    suspended_ms: u64,
    hears_again_ms: u64,
    now_ms: u64,
) -> PeerTable {
    let mut table = PeerTable::default();
    for ms in (100..=heard_until_ms).step_by(100) {
        let mut heard = message(9, 19, ms, MemberPhase::Ready);
        heard.is_hub = false;
        table.receive(&heard, at_ms(ms));
        table.tick(at_ms(ms - 100), at_ms(ms));
    }
    table.tick(at_ms(heard_until_ms), at_ms(heard_until_ms + suspended_ms));
    for ms in (heard_until_ms + suspended_ms + 100..=now_ms).step_by(100) {
        if ms >= hears_again_ms {
            let mut heard = message(8, 18, ms, MemberPhase::Ready);
            heard.is_hub = false;
            table.receive(&heard, at_ms(ms));
        }
        table.tick(at_ms(ms - 100), at_ms(ms));
    }
    table
}

/// Returns the members that a hub's message lists as departed.
fn departed(table: &PeerTable, receiver: ReportReceiver, now_ms: u64) -> Vec<Ipv4Addr> {
    let mut sent = message(1, 11, now_ms, MemberPhase::Ready);
    add_member_updates(table, &mut sent, receiver, at_ms(now_ms));
    sent.membership.departed
}

/// Guards against callers that are sent to failed daemons until the reports of their hub expire, and
/// against sound daemons that all members drop because their hub was suspended.
#[test]
fn a_hub_tells_other_hubs_which_of_its_daemons_fell_silent() {
    struct Case {
        name: &'static str,
        suspended_ms: u64,
        hears_again_ms: u64,
        now_ms: u64,
        receiver: ReportReceiver,
        is_listed: bool,
    }
    let case = |name, suspended_ms, now_ms, receiver, is_listed| Case {
        name,
        suspended_ms,
        hears_again_ms: 0,
        now_ms,
        receiver,
        is_listed,
    };
    let cases = [
        case("not silent yet", 0, 1_800, ReportReceiver::Hub, false),
        case("silent", 0, 2_000, ReportReceiver::Hub, true),
        case("not repeated forever", 0, 4_000, ReportReceiver::Hub, false),
        case("another view", 0, 2_000, ReportReceiver::OtherView, false),
        case("just resumed", 1_000, 2_000, ReportReceiver::Hub, false),
        case(
            "resumed after a short suspension",
            600,
            2_000,
            ReportReceiver::Hub,
            false,
        ),
        Case {
            hears_again_ms: u64::MAX,
            ..case("hears nobody", 0, 2_000, ReportReceiver::Hub, false)
        },
        Case {
            hears_again_ms: 1_900,
            ..case("hears others again", 0, 2_000, ReportReceiver::Hub, true)
        },
        case(
            "resumed a while ago",
            1_000,
            2_900,
            ReportReceiver::Hub,
            true,
        ),
    ];
    for case in cases {
        let table = hub_of_member(1_000, case.suspended_ms, case.hears_again_ms, case.now_ms);
        let is_listed = !departed(&table, case.receiver, case.now_ms).is_empty();
        assert_eq!(is_listed, case.is_listed, "{}", case.name);
    }
}

/// Guards against failed daemons that stay listed because departures are kept from a hub's own
/// daemons, and against sound ones that are dropped because one of two hubs doesn't hear them.
#[test]
fn a_departure_counts_at_once_if_no_other_hub_reports_the_member() {
    let ip = Ipv4Addr::new(10, 0, 0, 9);
    for (other_reported_ms, is_dropped) in [(None, true), (Some(100), true), (Some(800), false)] {
        let mut table = PeerTable::default();
        for ms in (100..=1_000).step_by(100) {
            if other_reported_ms == Some(ms) {
                let mut other = report_of_member(ms, MemberPhase::Ready);
                other.ip = Ipv4Addr::new(10, 0, 0, 2);
                table.receive(&other, at_ms(ms));
            }
            table.receive(&report_of_member(ms, MemberPhase::Ready), at_ms(ms));
        }
        let mut departure = message(1, 11, 1_100, MemberPhase::Ready);
        departure.membership.departed = vec![ip];
        table.receive(&departure, at_ms(1_100));
        table.tick(at_ms(1_000), at_ms(1_100));
        let is_listed = table.entries(at_ms(1_100)).iter().any(|e| e.ip == ip);
        assert_eq!(is_listed, !is_dropped, "{other_reported_ms:?}");
        // The receiver, if it is a hub, tells its own daemons.
        let told = departed(&table, ReportReceiver::Spoke, 1_200);
        assert_eq!(told.contains(&ip), is_dropped, "{other_reported_ms:?}");
        // A later report is believed again.
        table.receive(&report_of_member(1_300, MemberPhase::Ready), at_ms(1_300));
        assert!(table.entries(at_ms(1_300)).iter().any(|e| e.ip == ip));
        assert!(!departed(&table, ReportReceiver::Spoke, 1_300).contains(&ip));
    }
}

/// Guards against a daemon that is asked to lend room at endpoints before it knows of any.
#[test]
fn a_starting_daemon_is_observed_as_one() {
    let me = Ipv4Addr::new(10, 0, 0, 50);
    for (phase, is_starting) in [(MemberPhase::Starting, true), (MemberPhase::Ready, false)] {
        let mut table = PeerTable::default();
        table.receive(&message(9, 19, 1, phase), at_ms(0));
        let observed = table.observe_members(me, true, at_ms(100));
        let mut shares = PermitShares::new(me, at_ms(0));
        shares.observe(&observed, at_ms(100));
        let ip = Ipv4Addr::new(10, 0, 0, 9);
        assert_eq!(observed.starting.contains(&ip), is_starting);
        assert_eq!(shares.ready().contains(&ip), !is_starting);
    }
}
