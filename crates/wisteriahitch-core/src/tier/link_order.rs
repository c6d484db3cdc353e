//! Scheduling orders for the transfers of a link.

use std::fmt;

use wisteriahitch_types::{DurationUs, TimeUs};

use super::{LinkView, Transfer, TransferClass};

/// Time in the queue after which a background transfer goes before imports, so that none starves.
const MAX_BACKGROUND_WAIT_US: DurationUs = DurationUs::from_ms(20_000);

/// Maximum number of background transfers that run on a link at once.
const MAX_RUNNING_BACKGROUND: usize = 1;

/// Maximum duration of a background transfer, as a fraction of the mean time between imports.
///
/// If imports arrive independently, one arrives during this fraction with a probability of one in
/// five.
const MAX_GAP_FRACTION: f64 = 0.22;

/// Picks the next transfer to start on a link.
pub trait LinkOrder: fmt::Debug + Send + Sync {
    /// Returns the name of the order in dumps and reports.
    fn name(&self) -> &'static str;

    /// Returns the index in the queue of the transfer to start now, or `None` to wait.
    fn next(&self, link: &LinkView<'_>, now: TimeUs) -> Option<usize>;
}

/// Starts transfers in the order in which they were queued.
#[derive(Clone, Copy, Debug, Default)]
pub struct FifoOrder;

impl LinkOrder for FifoOrder {
    fn name(&self) -> &'static str {
        "plain"
    }

    fn next(&self, link: &LinkView<'_>, _now: TimeUs) -> Option<usize> {
        (!link.waiting.is_empty()).then_some(0)
    }
}

/// Starts imports first, then saves, then prefetches. A background transfer that has waited too
/// long goes before later imports.
#[derive(Clone, Copy, Debug, Default)]
pub struct PriorityOrder;

impl LinkOrder for PriorityOrder {
    fn name(&self) -> &'static str {
        "priority"
    }

    fn next(&self, link: &LinkView<'_>, now: TimeUs) -> Option<usize> {
        next_aged(link, now)
            .or_else(|| first_of_class(link, TransferClass::Import))
            .or_else(|| next_background(link))
    }
}

/// Starts imports first. A background transfer starts only if it is likely to finish before the
/// next import, or if it has waited too long.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackfillOrder;

impl LinkOrder for BackfillOrder {
    fn name(&self) -> &'static str {
        "backfill"
    }

    fn next(&self, link: &LinkView<'_>, now: TimeUs) -> Option<usize> {
        next_aged(link, now)
            .or_else(|| first_of_class(link, TransferClass::Import))
            .or_else(|| next_background(link).filter(|index| fits_gap(link, &link.waiting[*index])))
    }
}

fn first_of_class(link: &LinkView<'_>, class: TransferClass) -> Option<usize> {
    link.waiting
        .iter()
        .position(|transfer| transfer.class == class)
}

/// Returns the oldest background transfer that has waited too long.
///
/// Without this a link that is always busy with imports would never save anything. Only one such
/// transfer runs at a time, which leaves imports their share of the link.
fn next_aged(link: &LinkView<'_>, now: TimeUs) -> Option<usize> {
    if link.running_background() >= MAX_RUNNING_BACKGROUND {
        return None;
    }
    link.waiting.iter().position(|transfer| {
        transfer.class != TransferClass::Import
            && now.since(transfer.queued_at_us) >= MAX_BACKGROUND_WAIT_US
    })
}

fn next_background(link: &LinkView<'_>) -> Option<usize> {
    if link.running_background() >= MAX_RUNNING_BACKGROUND || link.running_imports() > 0 {
        return None;
    }
    first_of_class(link, TransferClass::Save)
        .or_else(|| first_of_class(link, TransferClass::Prefetch))
}

fn fits_gap(link: &LinkView<'_>, transfer: &Transfer) -> bool {
    let span = link.rate_bytes_per_s.time_for(transfer.bytes);
    link.import_gap_us
        .is_none_or(|gap| span.as_f64() <= gap.as_f64() * MAX_GAP_FRACTION)
}
