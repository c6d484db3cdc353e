//! When daemons gossip the calls that they have dispatched.

use wisteriahitch_relay::GossipSchedule;
use wisteriahitch_types::{DurationUs, TimeUs};

use crate::fixture::at_ms;

const INTERVAL_US: DurationUs = DurationUs::from_ms(100);

/// Short calls were late at engines that seemed idle: one daemon sent a long prompt to an idle
/// engine, and the others sent short calls there before its next message. The fault was a fixed
/// message interval, whatever had been dispatched.
#[test]
fn large_prompts_are_gossiped_without_waiting_for_the_interval() {
    struct Case {
        what: &'static str,
        sent_tokens: &'static [u64],
        expected_due: TimeUs,
    }
    let cases = [
        Case {
            what: "nothing",
            sent_tokens: &[],
            expected_due: at_ms(600),
        },
        Case {
            what: "a short call",
            sent_tokens: &[400],
            expected_due: at_ms(600),
        },
        Case {
            what: "a long prompt",
            sent_tokens: &[12_000],
            expected_due: at_ms(510),
        },
        Case {
            what: "short calls that add up to as much",
            sent_tokens: &[400, 400, 400],
            expected_due: at_ms(510),
        },
    ];
    for case in cases {
        let mut schedule = GossipSchedule::default();
        schedule.record_send(at_ms(500));
        let urgent_flags: Vec<bool> = case
            .sent_tokens
            .iter()
            .map(|t| schedule.record_dispatch(*t))
            .collect();
        assert_eq!(
            schedule.due_at(INTERVAL_US),
            case.expected_due,
            "{}",
            case.what
        );
        let is_urgent = case.expected_due < at_ms(600);
        let count = urgent_flags.iter().filter(|flag| **flag).count();
        assert_eq!(count, usize::from(is_urgent), "{}", case.what);
    }
}

/// A burst of long prompts, each of which is urgent, must not make a daemon spend its CPU on
/// messages. The fault was that nothing bounded the interval between urgent messages.
#[test]
fn a_burst_of_long_prompts_sends_a_bounded_number_of_messages() {
    let mut schedule = GossipSchedule::default();
    let mut messages = 0;
    for now_ms in 1_000..2_000 {
        let now = at_ms(now_ms);
        schedule.record_dispatch(12_000);
        if schedule.due_at(INTERVAL_US) <= now {
            schedule.record_send(now);
            messages += 1;
        }
    }
    assert_eq!(messages, 100);
}
