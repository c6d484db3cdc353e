//! Orders in which transfers cross a link, to be compared with each other.

use std::fmt;

use wisteriahitch_types::{DurationUs, TimeUs};

use super::{LinkView, Transfer, TransferClass};

/// Age at which a save goes before imports that came later, so that none starves.
const MAX_BACKGROUND_WAIT_US: DurationUs = DurationUs::from_ms(20_000);

/// Most background transfers that cross a link at once beside imports.
const MAX_RUNNING_BACKGROUND: usize = 1;

/// Part of the mean time between imports that a transfer may fill.
///
/// With imports that come independently, one comes within this part with a chance of one in five.
const MAX_GAP_FRACTION: f64 = 0.22;

/// Picks the transfer that crosses a link next.
pub trait LinkOrder: fmt::Debug + Send + Sync {
    /// Returns the name under which the order is reported.
    fn name(&self) -> &'static str;

    /// Returns the place in the queue of the transfer to start now, if any.
    fn next(&self, link: &LinkView<'_>, now: TimeUs) -> Option<usize>;
}

/// Takes transfers as they come.
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

/// Takes imports first, then saves, then prefetch; one that has aged goes before later imports.
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

/// Takes imports first; other transfers fill only gaps in which they are likely to finish.
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
/// Without it a link that is never free of imports would never save anything, seen as saves that
/// only grow older; one at a time keeps the imports' share of the link.
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
