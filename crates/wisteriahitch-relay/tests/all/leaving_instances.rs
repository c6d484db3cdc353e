//! Endpoints that have said in an answer that they leave: what undoes that, and what doesn't.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wisteriahitch_relay::{
    AbsenceCause, CallPermits, Endpoint, EndpointState, EndpointTable, PartStores, Registration,
    place,
};
use wisteriahitch_types::{Code, EndpointInstance, EndpointStart, TimeUs};
use wisteriahitch_wire::object_store::Revision;

use crate::fixture::{CallSetting, at_ms, draining, engine, id, prompt};

/// What a daemon learns of the endpoint, in order.
enum News {
    /// An answer says that it leaves.
    Said,
    /// Its registration is read; start and revision.
    Ready(u64, u64),
    /// The same, and says that it leaves.
    Draining(u64),
    /// Its registration can't be read.
    Unreadable(u64),
    /// Its registration is gone.
    Gone(AbsenceCause),
    /// Time passes.
    Until(u64),
}

fn registration(start_ms: u64, revision: u64) -> Endpoint {
    Endpoint {
        instance: instance(start_ms),
        revision: Revision(revision),
        ..engine("a")
    }
}

fn instance(start_ms: u64) -> EndpointInstance {
    EndpointInstance {
        start: Some(EndpointStart::from_unix_ms(start_ms)),
        ..id("a")
    }
}

/// Returns the short name of the endpoint's first life, as other daemons know it.
fn first_life() -> u32 {
    let mut table = EndpointTable::default();
    table.apply_registration(registration(1, 1), at_ms(0));
    table.get(&instance(1)).unwrap().short_name
}

fn learn(table: &mut EndpointTable, news: &News, now: &mut TimeUs) {
    match *news {
        News::Said => drop(table.record_leaving(first_life(), *now)),
        News::Ready(start, revision) => {
            table.apply_registration(registration(start, revision), *now);
        }
        News::Draining(revision) => {
            let endpoint = Endpoint {
                is_draining: true,
                ..registration(1, revision)
            };
            table.apply_registration(endpoint, *now);
        }
        News::Unreadable(revision) => {
            let entry = Registration::Unreadable(id("a").id, Revision(revision));
            table.apply_registration(entry, *now);
        }
        News::Gone(absence) => drop(table.apply_unregistration(&id("a").id, absence, *now)),
        News::Until(ms) => {
            *now = at_ms(ms);
            table.tick(*now);
        }
    }
}

/// Guards against an endpoint that has said that it leaves and is used again in the same life, and against one that is
/// shut out in its next life.
#[test]
fn leaving_ends_with_the_life_that_said_so() {
    use News::*;
    struct Case {
        name: &'static str,
        news: Vec<News>,
        /// Life at the end; none where the endpoint isn't known.
        state: Option<EndpointState>,
    }
    let cases = [
        Case {
            name: "its entry still says that it is ready",
            news: vec![Ready(1, 1), Said, Ready(1, 1), Ready(1, 9)],
            state: Some(EndpointState::Draining),
        },
        Case {
            name: "its entry lapses in an outage and comes back",
            news: vec![
                Ready(1, 1),
                Said,
                Gone(AbsenceCause::MayHaveLapsed),
                Until(3_000),
                Ready(1, 9),
            ],
            state: Some(EndpointState::Draining),
        },
        Case {
            name: "its entry can't be read for a while",
            news: vec![Ready(1, 1), Said, Unreadable(2), Ready(1, 9)],
            state: Some(EndpointState::Draining),
        },
        Case {
            name: "it says so before its entry is read",
            news: vec![Said, Ready(1, 1)],
            state: Some(EndpointState::Draining),
        },
        Case {
            name: "its entry says so too, and is gone",
            news: vec![Ready(1, 1), Said, Draining(2), Gone(AbsenceCause::Left)],
            state: None,
        },
        Case {
            name: "it starts again",
            news: vec![Ready(1, 1), Said, Ready(2, 2)],
            state: Some(EndpointState::Ready),
        },
        Case {
            name: "late news of the life before",
            news: vec![Ready(1, 1), Ready(2, 2), Said],
            state: Some(EndpointState::Ready),
        },
        Case {
            name: "long after it has gone",
            news: vec![
                Ready(1, 1),
                Said,
                Gone(AbsenceCause::Left),
                Until(700_000),
                Ready(1, 9),
            ],
            state: Some(EndpointState::Ready),
        },
    ];
    for case in cases {
        let mut table = EndpointTable::default();
        let mut now = at_ms(0);
        for news in case.news {
            learn(&mut table, &news, &mut now);
        }
        let state = table.by_id(&id("a").id).map(|row| row.state);
        assert_eq!(state, case.state, "{}", case.name);
    }
}

/// Guards against calls that were placed before the answer came and are sent after it, and against an endpoint that is
/// used because its service has no other one.
#[test]
fn nothing_is_placed_or_sent_there_any_more() {
    let mut table = EndpointTable::default();
    table.apply_registration(engine("a"), at_ms(0));
    let life = table.get(&id("a")).unwrap().short_name;
    let none = CallPermits::default();
    assert!(table.try_admit(&id("a"), none, at_ms(0)));
    table.record_leaving(life, at_ms(1));
    assert!(!table.try_admit(&id("a"), none, at_ms(1)));
    let (setting, prompt) = (CallSetting::in_zone("a"), prompt(100, 100));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let request = setting.request(&prompt);
    let placed = place(&table, &PartStores::default(), &request, at_ms(1), &mut rng);
    assert_eq!(placed.unwrap_err().code, Code::NoEndpoint);
}

/// Guards against daemons that keep a life that has gone in mind for ever, since they tell each other of it.
#[test]
fn what_is_told_on_ends() {
    let (mut first, mut second) = (EndpointTable::default(), EndpointTable::default());
    first.record_leaving(7, at_ms(0));
    for now_ms in (0..1_300_000).step_by(10_000) {
        let now = at_ms(now_ms);
        first.tick(now);
        second.tick(now);
        for life in first.leaving_updates(now) {
            second.record_leaving(life, now);
        }
        for life in second.leaving_updates(now) {
            first.record_leaving(life, now);
        }
    }
    assert!(first.leaving_updates(at_ms(1_300_000)).is_empty());
    assert!(
        first.record_leaving(7, at_ms(1_300_000)).0,
        "it is forgotten"
    );
}

/// Guards against a table that grows with every life that has ever left.
#[test]
fn memory_of_lives_is_bounded() {
    let mut table = EndpointTable::default();
    for life in 0..10_000 {
        table.record_leaving(life, at_ms(u64::from(life)));
    }
    let told = table.leaving_updates(at_ms(10_000));
    assert_eq!(told.len(), 3_600);
    assert!(!told.contains(&0) && told.contains(&9_999));
}

/// Guards against a registered leaving that is told as one of an answer, or lost where an answer says so too.
#[test]
fn a_registered_leaving_is_not_told_as_said() {
    let mut table = EndpointTable::default();
    table.apply_registration(draining("a"), at_ms(0));
    assert!(table.leaving_updates(at_ms(0)).is_empty());
    assert_eq!(table.leaving_count(), 0);
}
