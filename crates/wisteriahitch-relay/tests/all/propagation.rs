//! Time from the store's acknowledgement of a change until the last daemon acts on it, as the sum of
//! all waits. Answers and messages in transit come on top.

use wisteriahitch_relay::{
    BACKOFF_JITTER, ENDPOINT_CHANGES_DEBOUNCE, GOSSIP_INTERVAL, HEARD_SOURCE_BACKOFF_US,
    PEER_REQUEST_TIMEOUT, QueryRank, store_retry_backoff,
};
use wisteriahitch_types::{DurationUs, TimeUs};
use wisteriahitch_wire::object_store::ObjectRole;

use crate::fixture::ms;
use crate::staleness::bounds;

const PAGE: &str = include_str!("../../../../docs/design/platform.md");

/// Numbers of daemons, all of which watch the store.
const FLEETS: [usize; 4] = [2, 3, 6, 9];

/// Time within which changes must have taken effect.
const BOUND: DurationUs = ms(2_000);

/// The same after connections have failed.
const CONTACT: DurationUs = ms(3_000);

/// Time that a call takes from the check before its send to the endpoint.
const TRANSIT: DurationUs = ms(50);

/// What delays a change of one kind of object.
#[derive(Clone, Copy, Debug)]
enum Delay {
    CallFails,
    Refused,
    FailureInEachStep,
    WatchesSilent,
}

/// Returns the sum of the waits in a fleet of `daemons`.
fn waits(delay: Delay, role: ObjectRole, daemons: usize) -> DurationUs {
    let bounds = bounds(BOUND, CONTACT);
    let debounce: DurationUs = match role {
        ObjectRole::Endpoints => ENDPOINT_CHANGES_DEBOUNCE.into(),
        _ => DurationUs::ZERO,
    };
    let backoff = store_retry_backoff(0, false, daemons).as_secs_f64() * BACKOFF_JITTER.end;
    let backoff = DurationUs::from_secs_f64(backoff);
    let message: DurationUs = GOSSIP_INTERVAL.into();
    // A fetch that is due begins with the next round of messages.
    let fetch_begins = bounds.catch_up_delay() + message;
    let unanswered: DurationUs = PEER_REQUEST_TIMEOUT.into();
    // The only peer is asked again; with more, another one is asked at once.
    let next_peer = match daemons {
        2 => HEARD_SOURCE_BACKOFF_US + message,
        _ => DurationUs::ZERO,
    };
    match delay {
        Delay::CallFails => debounce + backoff,
        Delay::Refused => debounce + message + fetch_begins,
        Delay::FailureInEachStep => {
            debounce + backoff + message + message + fetch_begins + unanswered + next_peer
        }
        Delay::WatchesSilent => {
            let rank = QueryRank {
                place: daemons - 1,
                places: daemons,
            };
            let query_at = bounds.staleness_limits(role).query_at(rank, TimeUs::ZERO);
            query_at.since(TimeUs::ZERO) + message + fetch_begins
        }
    }
}

/// Guards against waits that are each short enough and together longer than a bound. The table in the
/// documentation has the same figures.
#[test]
fn all_waits_for_a_change_together_are_within_its_bound() {
    let rows = [
        ("a call fails", Delay::CallFails, BOUND),
        ("the store refuses a daemon", Delay::Refused, BOUND),
        (
            "the same, and a failure in each step",
            Delay::FailureInEachStep,
            BOUND,
        ),
        ("all watches are silent", Delay::WatchesSilent, CONTACT),
    ];
    let mut errors = Vec::new();
    for (name, role) in [
        ("endpoint leaves", ObjectRole::Endpoints),
        ("configuration", ObjectRole::Configuration),
    ] {
        for (what, delay, bound) in rows {
            let sums = FLEETS.map(|daemons| waits(delay, role, daemons));
            let late = sums.iter().find(|sum| **sum + TRANSIT > bound);
            errors.extend(late.map(|sum| format!("{name}, {what}: {sum}")));
            let figures = sums.map(|sum| format!("{:.2}", sum.as_secs_f64()));
            let bound_s = bound.as_secs_f64();
            let row = format!("| {name}: {what} | {} | {bound_s} |", figures.join(" | "));
            if !PAGE.contains(&row) {
                errors.push(format!("not in the documentation: {row}"));
            }
        }
    }
    assert!(errors.is_empty(), "{errors:#?}");
}
