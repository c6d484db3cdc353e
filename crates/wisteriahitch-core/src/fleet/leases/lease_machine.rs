//! Life of a lease: states and events by the names of the model `specs/orders.pml`.
//!
//! The model has no clock. Its step from `Waiting` to `Held` is [`PhaseEvent::Lapse`] here, once
//! the wait is over; its orders that are `Checked` or `Sent` are those that [`PhaseEvent::Order`]
//! granted and that no [`PhaseEvent::OrderDone`] has ended.

#![allow(
    missing_docs,
    unreachable_pub,
    reason = "the attribute generates items without comments, and public where they needn't be"
)]

use serde::Serialize;
use statig::prelude::*;
use wisteriahitch_types::{DurationUs, TimeUs};

/// Names the state of a lease as one daemon sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeasePhase {
    /// This daemon doesn't hold it.
    Vacant,
    /// This daemon holds it and waits until no order of the holder before can be under way.
    Waiting,
    /// This daemon holds it and may give orders.
    Held,
    /// This daemon held it; its term has run out.
    Expired,
}

/// Moves a lease on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PhaseEvent {
    /// A write that takes the lease took effect; it was sent at this time.
    Acquire {
        sent_at_us: TimeUs,
        wait_us: DurationUs,
    },
    /// A write that renews the lease took effect.
    Renew { sent_at_us: TimeUs },
    /// Time has passed.
    Lapse,
    /// An order is to be given.
    Order,
    /// An order has ended.
    OrderDone,
    /// The object was read: another one holds the lease, or nobody.
    ReadBack,
}

/// Holds the times of a lease on the holder's own monotonic clock.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct LeaseTimes {
    #[serde(skip)]
    pub(super) now: TimeUs,
    pub(super) term_us: DurationUs,
    pub(super) margin_us: DurationUs,
    pub(super) expires_at_us: TimeUs,
    pub(super) wait_until_us: TimeUs,
    pub(super) open_orders: u32,
    pub(super) last_order_at_us: Option<TimeUs>,
    #[serde(skip)]
    pub(super) is_order_granted: bool,
}

#[derive(Debug, Default)]
pub(super) struct LeaseMachine;

#[state_machine(
    initial = "State::vacant()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl LeaseMachine {
    #[state(superstate = "known")]
    fn vacant(context: &mut LeaseTimes, event: &PhaseEvent) -> Outcome<State> {
        Self::acquire(context, event)
    }

    /// An order of the holder before may still be on its way, sent right before its lease ended.
    /// Giving orders at once would let it overtake ours: the endpoint would end with the older
    /// one, and its report would not agree with the wanted state.
    #[state(superstate = "owned")]
    fn waiting(context: &mut LeaseTimes, event: &PhaseEvent) -> Outcome<State> {
        match event {
            PhaseEvent::Lapse if context.has_waited() && !context.is_expired() => {
                Transition(State::held())
            }
            _ => Super,
        }
    }

    #[state(superstate = "owned")]
    fn held(context: &mut LeaseTimes, event: &PhaseEvent) -> Outcome<State> {
        match event {
            PhaseEvent::Order => {
                context.grant_order();
                Handled
            }
            _ => Super,
        }
    }

    #[state(superstate = "known")]
    fn expired(context: &mut LeaseTimes, event: &PhaseEvent) -> Outcome<State> {
        match event {
            PhaseEvent::ReadBack => Transition(State::vacant()),
            _ => Self::acquire(context, event),
        }
    }

    /// A pause of the process lets the term run out unseen; so the clock is looked at right before
    /// each order, not when a timer says so.
    #[superstate(superstate = "known")]
    fn owned(context: &mut LeaseTimes, event: &PhaseEvent) -> Outcome<State> {
        match event {
            PhaseEvent::Renew { sent_at_us } => {
                context.renew(*sent_at_us);
                Handled
            }
            PhaseEvent::Lapse if context.is_expired() => Transition(State::expired()),
            PhaseEvent::ReadBack => Transition(State::vacant()),
            _ => Super,
        }
    }

    #[superstate]
    fn known(context: &mut LeaseTimes, event: &PhaseEvent) -> Outcome<State> {
        if *event == PhaseEvent::OrderDone {
            context.open_orders = context.open_orders.saturating_sub(1);
        }
        Handled
    }
}

impl LeaseMachine {
    fn acquire(context: &mut LeaseTimes, event: &PhaseEvent) -> Outcome<State> {
        match event {
            PhaseEvent::Acquire {
                sent_at_us,
                wait_us,
            } => {
                context.renew(*sent_at_us);
                context.wait_until_us = context.now + *wait_us;
                Transition(State::waiting())
            }
            _ => Super,
        }
    }
}

impl LeaseTimes {
    /// Counts the term from the sending of the write, which is before anybody can have seen it.
    fn renew(&mut self, sent_at_us: TimeUs) {
        self.expires_at_us = sent_at_us + self.term_us;
    }

    fn is_expired(&self) -> bool {
        self.now >= self.expires_at_us
    }

    fn has_waited(&self) -> bool {
        self.now >= self.wait_until_us
    }

    /// Returns what is left of the term, less a margin for the way to the endpoint.
    pub(super) fn left_us(&self) -> DurationUs {
        self.expires_at_us.since(self.now) - self.margin_us
    }

    fn grant_order(&mut self) {
        if self.left_us() > DurationUs::ZERO {
            self.open_orders += 1;
            self.last_order_at_us = Some(self.now);
            self.is_order_granted = true;
        }
    }
}

impl From<&State> for LeasePhase {
    fn from(state: &State) -> Self {
        match state {
            State::Vacant {} => LeasePhase::Vacant,
            State::Waiting {} => LeasePhase::Waiting,
            State::Held {} => LeasePhase::Held,
            State::Expired {} => LeasePhase::Expired,
        }
    }
}
