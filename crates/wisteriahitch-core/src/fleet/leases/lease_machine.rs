//! State machine of a lease. States and events have the names of the model `specs/orders.pml`.
//!
//! The model has no clock. Its step from `Waiting` to `Held` is [`PhaseEvent::Lapse`] here, once
//! the wait is over. Its orders that are `Checked` or `Sent` are the orders that
//! [`PhaseEvent::Order`] has granted and that no [`PhaseEvent::OrderDone`] has ended.

#![allow(
    missing_docs,
    unreachable_pub,
    reason = "the attribute generates items without comments, and public where they needn't be"
)]

use serde::Serialize;
use statig::prelude::*;
use wisteriahitch_types::{DurationUs, TimeUs};

/// State of a lease as seen by one daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeasePhase {
    /// This daemon does not hold the lease.
    Vacant,
    /// This daemon holds the lease and waits until no order of the previous holder can be in
    /// progress.
    Waiting,
    /// This daemon holds the lease and may give orders.
    Held,
    /// This daemon held the lease and its term has ended.
    Expired,
}

/// Events of the state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PhaseEvent {
    /// A write that acquires the lease took effect. It was sent at `sent_at_us`; orders must wait
    /// for `wait_us`.
    Acquire {
        sent_at_us: TimeUs,
        wait_us: DurationUs,
    },
    /// A write that renews the lease took effect; it was sent at `sent_at_us`.
    Renew { sent_at_us: TimeUs },
    /// Time has passed.
    Lapse,
    /// An order is to be given.
    Order,
    /// An order has ended.
    OrderDone,
    /// The object was read and this daemon is not the holder.
    ReadBack,
}

/// Times of a lease on the local monotonic clock.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct LeaseTimes {
    #[serde(skip)]
    pub(super) now: TimeUs,
    pub(super) term_us: DurationUs,
    pub(super) margin_us: DurationUs,
    pub(super) expires_at_us: TimeUs,
    /// End of the wait for orders of the previous holder.
    pub(super) wait_until_us: TimeUs,
    /// Number of granted orders that have not ended.
    pub(super) open_orders: u32,
    /// Time at which the last order was granted or ended.
    pub(super) last_order_at_us: Option<TimeUs>,
    /// Whether the last [`PhaseEvent::Order`] was granted.
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

    /// Waits for the orders of the previous holder. One of them may have been sent right before its
    /// lease ended. If it arrived after an order of this daemon, the endpoint would end with the
    /// older order, and its report would not match the desired state.
    #[state(superstate = "owned")]
    fn waiting(context: &mut LeaseTimes, event: &PhaseEvent) -> Outcome<State> {
        match event {
            PhaseEvent::Lapse if context.is_wait_over() && !context.is_expired() => {
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

    /// The process may be paused while the term ends. Therefore the clock is checked immediately
    /// before each order, not only when a timer fires.
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
            // An endpoint that stands still may take an order as late as at its end.
            context.last_order_at_us = Some(context.now);
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
                context.extend_wait(*wait_us);
                Transition(State::waiting())
            }
            _ => Super,
        }
    }
}

impl LeaseTimes {
    /// Starts the term at the time the write was sent, before any other daemon can have seen it.
    fn renew(&mut self, sent_at_us: TimeUs) {
        self.expires_at_us = sent_at_us + self.term_us;
    }

    fn is_expired(&self) -> bool {
        self.now >= self.expires_at_us
    }

    pub(super) fn is_wait_over(&self) -> bool {
        self.now >= self.wait_until_us
    }

    /// Makes orders wait for at least `wait_us` from now. A wait that has begun never gets shorter.
    pub(super) fn extend_wait(&mut self, wait_us: DurationUs) {
        if wait_us > DurationUs::ZERO {
            self.wait_until_us = self.wait_until_us.max(self.now + wait_us);
        }
    }

    /// Returns the remaining term, less a margin for the transfer to the endpoint.
    pub(super) fn remaining_us(&self) -> DurationUs {
        self.expires_at_us.since(self.now) - self.margin_us
    }

    fn grant_order(&mut self) {
        if self.remaining_us() > DurationUs::ZERO {
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
