//! Tests of transfer orders, measured rates and estimates.

use wisteriahitch_core::tier::{
    BackfillOrder, FifoOrder, LinkOrder, LinkTable, PriorityOrder, StartedTransfer, TransferClass,
    TransferId,
};
use wisteriahitch_types::{ByteCount, ByteRate, DurationUs, StoreId};

use crate::tier::{at_ms, name};

const RATE: u64 = 1_000_000;
const BLOCK: ByteCount = ByteCount::new(RATE);

fn store() -> StoreId {
    name("hub-cache")
}

fn table(order: Box<dyn LinkOrder>) -> LinkTable {
    let mut table = LinkTable::new(order);
    table.configure(&store(), ByteRate::new(RATE));
    table
}

/// One operation on a link.
enum Step {
    Queue(u64, TransferClass, u64),
    Finish(u64),
    Recheck,
}

struct OrderCase {
    name: &'static str,
    order: Box<dyn LinkOrder>,
    /// The operations by time in milliseconds, and the transfers that start then.
    run: Vec<(u64, Step, &'static [u64])>,
}

fn order_cases() -> Vec<OrderCase> {
    use Step::{Finish, Queue, Recheck};
    use TransferClass::{Import, Prefetch, Save};
    vec![
        OrderCase {
            name: "FIFO order starts transfers in queue order, two at once",
            order: Box::new(FifoOrder),
            run: vec![
                (0, Queue(1, Save, RATE), &[1]),
                (1, Queue(2, Prefetch, RATE), &[2]),
                (2, Queue(3, Save, RATE), &[]),
                (3, Queue(4, Import, RATE), &[]),
                (900, Finish(1), &[3]),
                (999, Finish(2), &[4]),
            ],
        },
        OrderCase {
            name: "imports go before saves, and saves before prefetch",
            order: Box::new(PriorityOrder),
            run: vec![
                (0, Queue(1, Import, RATE), &[1]),
                (1, Queue(2, Import, RATE), &[2]),
                (2, Queue(3, Prefetch, RATE), &[]),
                (3, Queue(4, Save, RATE), &[]),
                (4, Queue(5, Import, RATE), &[]),
                (900, Finish(1), &[5]),
                (1_000, Finish(2), &[]),
                (1_500, Finish(5), &[4]),
                (2_500, Finish(4), &[3]),
            ],
        },
        // Guards against saves that never start because imports always go first on a busy link.
        OrderCase {
            name: "a save that has waited too long goes before later imports",
            order: Box::new(PriorityOrder),
            run: vec![
                (0, Queue(1, Import, RATE), &[1]),
                (0, Queue(2, Import, RATE), &[2]),
                (1, Queue(3, Save, RATE), &[]),
                (2, Queue(4, Import, RATE), &[]),
                (3, Queue(5, Import, RATE), &[]),
                (19_999, Finish(1), &[4]),
                (20_001, Finish(2), &[3]),
                (20_500, Finish(4), &[5]),
            ],
        },
        OrderCase {
            name: "backfill starts no save that may outlast the gap, until it has waited too long",
            order: Box::new(BackfillOrder),
            run: vec![
                (0, Queue(1, Import, RATE), &[1]),
                (900, Finish(1), &[]),
                (2_000, Queue(2, Import, RATE), &[2]),
                (2_900, Finish(2), &[]),
                (3_000, Queue(3, Save, RATE), &[]),
                (3_001, Queue(4, Save, RATE / 10), &[]),
                (22_999, Recheck, &[]),
                (23_000, Recheck, &[3]),
            ],
        },
        OrderCase {
            name: "backfill fills a gap in which a save is likely to finish",
            order: Box::new(BackfillOrder),
            run: vec![
                (0, Queue(1, Import, RATE), &[1]),
                (900, Finish(1), &[]),
                (2_000, Queue(2, Import, RATE), &[2]),
                (2_900, Finish(2), &[]),
                (3_000, Queue(3, Save, RATE / 10), &[3]),
            ],
        },
    ]
}

#[test]
fn transfers_start_in_order() {
    for case in order_cases() {
        let mut table = table(case.order);
        for (ms, step, expected) in case.run {
            let now = at_ms(ms);
            match step {
                Step::Queue(id, class, bytes) => {
                    let bytes = ByteCount::new(bytes);
                    assert!(table.enqueue(&store(), TransferId::new(id), class, bytes, now));
                }
                Step::Finish(id) => {
                    assert!(table.finish(&store(), TransferId::new(id), true, now));
                }
                Step::Recheck => {}
            }
            let started = table.start(now);
            let expected: Vec<StartedTransfer> = expected
                .iter()
                .map(|id| StartedTransfer(TransferId::new(*id)))
                .collect();
            assert_eq!(started, expected, "{} at {ms} ms", case.name);
        }
    }
}

struct RateCase {
    name: &'static str,
    /// Number of concurrent transfers; each takes `each_ms`.
    at_once: u64,
    each_ms: u64,
    /// Minimum and maximum of the measured rate after twenty rounds.
    expected: (u64, u64),
}

/// Guards against estimates that stay low while a link has slowed down, because only the configured
/// rate is used. The last case guards against the opposite: a link that is merely shared must not
/// count as slow.
#[test]
fn a_slowed_link_lowers_the_measured_rate() {
    let cases = [
        RateCase {
            name: "as configured",
            at_once: 1,
            each_ms: 1_000,
            expected: (990_000, 1_010_000),
        },
        RateCase {
            name: "four times slower",
            at_once: 1,
            each_ms: 4_000,
            expected: (245_000, 260_000),
        },
        RateCase {
            name: "shared by two, not slowed",
            at_once: 2,
            each_ms: 2_000,
            expected: (990_000, 1_010_000),
        },
    ];
    for case in cases {
        let mut table = table(Box::new(FifoOrder));
        for round in 0..20 {
            let ids = (0..case.at_once).map(|i| TransferId::new(round * 10 + i));
            let start = at_ms(round * case.each_ms);
            for id in ids.clone() {
                assert!(table.enqueue(&store(), id, TransferClass::Import, BLOCK, start));
            }
            assert_eq!(table.start(start).len() as u64, case.at_once);
            for id in ids {
                assert!(table.finish(&store(), id, true, at_ms((round + 1) * case.each_ms)));
            }
        }
        let rate = table.get(&store()).map(|link| link.rate().get());
        let (low, high) = case.expected;
        assert!(
            rate.is_some_and(|rate| (low..=high).contains(&rate)),
            "{}: {rate:?}",
            case.name
        );
    }
}

struct EstimateCase {
    name: &'static str,
    queued: &'static [TransferClass],
    reported_bytes: u64,
    expected_ms: u64,
}

#[test]
fn an_estimate_includes_queued_and_reported_bytes() {
    use TransferClass::{Import, Save};
    let cases = [
        EstimateCase {
            name: "an idle link",
            queued: &[],
            reported_bytes: 0,
            expected_ms: 1_000,
        },
        EstimateCase {
            name: "running and waiting imports",
            queued: &[Import, Import, Import],
            reported_bytes: 0,
            expected_ms: 4_000,
        },
        EstimateCase {
            name: "queued saves are not counted",
            queued: &[Import, Save, Save],
            reported_bytes: 0,
            expected_ms: 2_000,
        },
        EstimateCase {
            name: "other daemons' bytes, as the store reports them",
            queued: &[],
            reported_bytes: 3 * RATE,
            expected_ms: 4_000,
        },
    ];
    for case in cases {
        let mut table = table(Box::new(PriorityOrder));
        for (id, class) in case.queued.iter().enumerate() {
            let id = TransferId::new(id as u64);
            assert!(table.enqueue(&store(), id, *class, BLOCK, at_ms(0)));
            table.start(at_ms(0));
        }
        table.record_store_backlog(&store(), ByteCount::new(case.reported_bytes), at_ms(0));
        let estimate = table.transfer_time(&store(), BLOCK, at_ms(0));
        assert_eq!(
            estimate,
            DurationUs::from_ms(case.expected_ms),
            "{}",
            case.name
        );
    }
    let nowhere = table(Box::new(FifoOrder)).transfer_time(&name("other"), BLOCK, at_ms(0));
    assert_eq!(nowhere, DurationUs::MAX);
}

#[test]
fn a_queue_is_bounded() {
    let mut table = table(Box::new(PriorityOrder));
    let accepted = (0..5_000).filter(|id| {
        table.enqueue(
            &store(),
            TransferId::new(*id),
            TransferClass::Save,
            BLOCK,
            at_ms(0),
        )
    });
    assert_eq!(accepted.count(), 1_024);
}
