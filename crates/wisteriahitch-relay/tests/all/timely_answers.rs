//! Which answers of the store report changes that were just written.

use wisteriahitch_relay::{ProcessActivity, WatchAnswer};
use wisteriahitch_types::TimeUs;

use crate::fixture::{at_ms, ms};

/// When every answer of these tests was received.
const NOW: TimeUs = TimeUs::new(20_000_000);

/// A process whose timers fired every 200 ms up to `NOW`, except between these times.
fn activity(suspended_ms: std::ops::Range<u64>) -> ProcessActivity {
    let mut activity = ProcessActivity::new(at_ms(10_000));
    for tick_ms in (10_000..=20_000).step_by(200) {
        if !suspended_ms.contains(&tick_ms) {
            activity.record(at_ms(tick_ms));
        }
    }
    activity
}

/// Guards against replaced weights that are used beyond the bound because a change that was learned
/// late counts as new, and against ones that go out of use early because a new change counts as old.
#[test]
fn only_a_change_that_a_waiting_watch_reports_at_once_is_new() {
    struct Case {
        what: &'static str,
        asked_ms: u64,
        wait_ms: u64,
        newer_at_peer_ms: Option<u64>,
        suspended_ms: std::ops::Range<u64>,
        is_timely: bool,
    }
    let usual = || Case {
        what: "a watch that waited",
        asked_ms: 15_000,
        wait_ms: 6_000,
        newer_at_peer_ms: None,
        suspended_ms: 0..0,
        is_timely: true,
    };
    let cases = [
        usual(),
        Case {
            what: "answered at once: the change may precede the request",
            asked_ms: 19_650,
            is_timely: false,
            ..usual()
        },
        Case {
            what: "answered after the watch should have ended",
            wait_ms: 4_500,
            is_timely: false,
            ..usual()
        },
        Case {
            what: "answered as the watch ends",
            wait_ms: 4_800,
            ..usual()
        },
        Case {
            what: "a peer's message was faster",
            newer_at_peer_ms: Some(19_900),
            ..usual()
        },
        Case {
            what: "a peer has known the change for long",
            newer_at_peer_ms: Some(19_000),
            is_timely: false,
            ..usual()
        },
        Case {
            what: "the process was suspended, and its timers have not fired yet",
            suspended_ms: 17_000..20_001,
            is_timely: false,
            ..usual()
        },
        Case {
            what: "the process was suspended, and its timers have just fired",
            suspended_ms: 17_000..19_700,
            is_timely: false,
            ..usual()
        },
        Case {
            what: "the process was suspended a while ago",
            suspended_ms: 16_000..19_000,
            ..usual()
        },
    ];
    for case in cases {
        let answer = WatchAnswer {
            asked_at: at_ms(case.asked_ms),
            wait_us: ms(case.wait_ms),
            newer_at_peer_since: case.newer_at_peer_ms.map(at_ms),
            activity: activity(case.suspended_ms),
        };
        assert_eq!(answer.is_timely(NOW), case.is_timely, "{}", case.what);
    }
}
