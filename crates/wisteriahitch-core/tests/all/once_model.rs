//! Property test of two daemons against a simple model, with lost answers, conflicts and restarts.
//!
//! After each step, no key has been dispatched twice, and no request that was reported as not run
//! has run. `WISTERIAHITCH_MODEL_CASES` sets the number of test cases. The seed is fixed, so a
//! larger number starts with the same cases as a smaller one.

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use wisteriahitch_types::{DurationUs, TimeUs};

use crate::generated::seeded_config;
use crate::once_world::{CallOutcome, DAEMONS, OWN_KEYS, RunOutcome, TICKET_LIFETIME, World};

const CASES_ENV: &str = "WISTERIAHITCH_MODEL_CASES";
const DEFAULT_CASES: u32 = 400;
const SEED: u64 = 4_711;

fn config() -> ProptestConfig {
    let wanted = std::env::var(CASES_ENV).ok();
    let wanted = wanted.and_then(|text| text.parse().ok());
    seeded_config(wanted.unwrap_or(DEFAULT_CASES), SEED)
}

/// An operation of the property test.
#[derive(Clone, Debug)]
enum Step {
    Issue {
        daemon: usize,
    },
    SubmitTicket {
        index: usize,
        body: u8,
    },
    SubmitOwn {
        daemon: usize,
        index: usize,
        body: u8,
    },
    PlatformCall {
        daemon: usize,
        outcome: CallOutcome,
    },
    ApplyLateWrite {
        pick: usize,
    },
    Dispatch {
        daemon: usize,
        pick: usize,
    },
    Refuse {
        daemon: usize,
        pick: usize,
    },
    RefuseInAnyState {
        daemon: usize,
        index: usize,
    },
    Release {
        daemon: usize,
        pick: usize,
    },
    DisconnectWaiter {
        pick: usize,
    },
    End {
        daemon: usize,
        pick: usize,
        end: RunOutcome,
    },
    Restart {
        daemon: usize,
    },
    Tick {
        span: DurationUs,
    },
}

/// A ticket in the model: valid at one incarnation of one daemon, once, until it expires.
#[derive(Clone, Debug)]
struct ModelTicket {
    daemon: usize,
    incarnation: u64,
    expires_us: TimeUs,
    is_used: bool,
}

/// The model, which knows of each ticket whether its next copy may run.
#[derive(Clone, Debug, Default)]
struct Model {
    now: TimeUs,
    incarnations: [u64; DAEMONS],
    tickets: Vec<ModelTicket>,
    /// Whether the last submitted copy of a ticket must run.
    runs_ticket: bool,
}

impl Model {
    fn issue(&mut self, daemon: usize) {
        self.tickets.push(ModelTicket {
            daemon,
            incarnation: self.incarnations[daemon],
            expires_us: self.now + TICKET_LIFETIME,
            is_used: false,
        });
    }

    fn submit_ticket(&mut self, index: usize) {
        let ticket = &mut self.tickets[index];
        let is_same_incarnation = ticket.incarnation == self.incarnations[ticket.daemon];
        let is_in_time = self.now < ticket.expires_us;
        self.runs_ticket = is_same_incarnation && is_in_time && !ticket.is_used;
        ticket.is_used |= self.runs_ticket;
    }
}

fn outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        20 => Just(CallOutcome::Succeeds),
        1 => Just(CallOutcome::AppliedAnswerLost),
        1 => Just(CallOutcome::NotAppliedAnswerLost),
        1 => Just(CallOutcome::AppliedLater),
        1 => Just(CallOutcome::Unavailable),
    ]
}

fn end() -> impl Strategy<Value = RunOutcome> {
    prop_oneof![
        Just(RunOutcome::Answer),
        Just(RunOutcome::Lost),
        Just(RunOutcome::EndpointRefuses)
    ]
}

fn span() -> impl Strategy<Value = DurationUs> {
    let spans_ms = prop_oneof![
        4 => Just(1),
        6 => Just(600),
        1 => Just(2_500),
        1 => Just(20_000),
        1 => Just(61_000),
        1 => Just(400_000),
    ];
    spans_ms.prop_map(DurationUs::from_ms)
}

fn step(tickets: usize) -> BoxedStrategy<Step> {
    let daemon = || 0..DAEMONS;
    let pick = || 0..8_usize;
    let others = prop_oneof![
        2 => daemon().prop_map(|daemon| Step::Issue { daemon }),
        8 => (daemon(), 0..OWN_KEYS, 0..2_u8)
            .prop_map(|(daemon, index, body)| Step::SubmitOwn { daemon, index, body }),
        24 => (daemon(), outcome()).prop_map(|(daemon, outcome)| Step::PlatformCall { daemon, outcome }),
        1 => pick().prop_map(|pick| Step::ApplyLateWrite { pick }),
        8 => (daemon(), pick()).prop_map(|(daemon, pick)| Step::Dispatch { daemon, pick }),
        1 => (daemon(), pick()).prop_map(|(daemon, pick)| Step::Refuse { daemon, pick }),
        1 => (daemon(), 0..OWN_KEYS)
            .prop_map(|(daemon, index)| Step::RefuseInAnyState { daemon, index }),
        4 => (daemon(), pick(), end())
            .prop_map(|(daemon, pick, end)| Step::End { daemon, pick, end }),
        1 => daemon().prop_map(|daemon| Step::Restart { daemon }),
        1 => (daemon(), pick())
            .prop_map(|(daemon, pick)| Step::Release { daemon, pick }),
        1 => (0..64_usize).prop_map(|pick| Step::DisconnectWaiter { pick }),
        3 => span().prop_map(|span| Step::Tick { span }),
    ];
    if tickets == 0 {
        return others.boxed();
    }
    let ticket = (0..tickets, 0..2_u8);
    let ticket = ticket.prop_map(|(index, body)| Step::SubmitTicket { index, body });
    prop_oneof![9 => others, 1 => ticket].boxed()
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model::default()).boxed()
    }

    fn transitions(model: &Model) -> BoxedStrategy<Step> {
        step(model.tickets.len())
    }

    fn preconditions(model: &Model, step: &Step) -> bool {
        match step {
            Step::SubmitTicket { index, .. } => *index < model.tickets.len(),
            _ => true,
        }
    }

    fn apply(mut model: Model, step: &Step) -> Model {
        match step {
            Step::Issue { daemon } => model.issue(*daemon),
            Step::SubmitTicket { index, .. } => model.submit_ticket(*index),
            Step::Restart { daemon } => model.incarnations[*daemon] += 1,
            Step::Tick { span } => model.now = model.now + *span,
            _ => {}
        }
        model
    }
}

struct OnceTest;

impl StateMachineTest for OnceTest {
    type SystemUnderTest = World;
    type Reference = Model;

    fn init_test(_model: &Model) -> World {
        World::new()
    }

    fn apply(mut world: World, model: &Model, step: Step) -> World {
        match step {
            Step::Issue { daemon } => world.issue(daemon),
            Step::SubmitTicket { index, body } => {
                world.submit_ticket(index, body);
                assert_eq!(world.has_run_ticket, model.runs_ticket);
            }
            Step::SubmitOwn {
                daemon,
                index,
                body,
            } => world.submit_own(daemon, index, body),
            Step::PlatformCall { daemon, outcome } => world.platform_call(daemon, outcome),
            Step::ApplyLateWrite { pick } => world.apply_late_write(pick),
            Step::Dispatch { daemon, pick } => world.dispatch(daemon, pick),
            Step::Refuse { daemon, pick } => world.refuse(daemon, pick),
            Step::RefuseInAnyState { daemon, index } => world.refuse_in_any_state(daemon, index),
            Step::Release { daemon, pick } => world.release(daemon, pick),
            Step::DisconnectWaiter { pick } => world.disconnect_waiter(pick),
            Step::End { daemon, pick, end } => world.end(daemon, pick, end),
            Step::Restart { daemon } => world.restart(daemon),
            Step::Tick { span } => world.tick(span),
        }
        world
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// `History` in `once_world` panics at the step that violates an invariant.
    #[test]
    fn each_key_runs_at_most_once_and_refusals_are_true(sequential 1..200 => OnceTest);
}
