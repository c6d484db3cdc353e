//! Generated runs of the block table against a reference that keeps the model's rules alone.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use wisteriahitch_core::tier::{BlockHandle, BlockIdentity, BlockTable, LifeEvent, Place, Reader};
use wisteriahitch_types::{BlockState, Generation, StoreId, Tier};

use crate::tier::{BLOCK_BYTES, BLOCK_TOKENS, CRC32C, key, name, reader};

const SEED: u64 = 20_260_731;
const KEYS: u8 = 2;
const WORKSPACES: [&str; 2] = ["kandy", "galle"];
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Names one step of a run; a handle is taken from all that were ever given out.
#[derive(Clone, Debug)]
enum Step {
    Reserve { key: u8, workspace: u8, version: u8 },
    Pin { key: u8, workspace: u8, version: u8 },
    Event { key: u8, age: u8, event: LifeEvent },
    StoreReturns,
}

/// Holds what the reference knows of one generation of a block.
#[derive(Clone, Debug)]
struct Life {
    generation: u64,
    incarnation: u64,
    state: BlockState,
    pins: u32,
    workspace: u8,
    version: u8,
}

#[derive(Clone, Debug, Default)]
struct Reference {
    incarnation: u64,
    generations: u64,
    /// Every life of each key, the last one last.
    lives: BTreeMap<u8, Vec<Life>>,
}

impl Reference {
    fn is_taken(&self, key: u8) -> bool {
        let last = self.lives.get(&key).and_then(|lives| lives.last());
        last.is_some_and(|life| life.state != BlockState::Freed)
    }

    fn life(&self, key: u8, age: u8) -> Option<&Life> {
        self.lives.get(&key)?.iter().rev().nth(usize::from(age))
    }

    fn may_pin(&self, key: u8, workspace: u8, version: u8) -> bool {
        self.life(key, 0).is_some_and(|life| {
            life.state == BlockState::Readable
                && life.workspace == workspace
                && life.version == version
        })
    }
}

/// Gives the state after an event, or `None` where the model doesn't allow it.
fn next(state: BlockState, pins: u32, event: LifeEvent) -> Option<(BlockState, u32)> {
    use BlockState::{Draining, Freed, Readable, Reserved, Sealed, Writing};
    let moved = match (state, event) {
        (Reserved, LifeEvent::Write) => Writing,
        (Writing, LifeEvent::Seal) => Sealed,
        (Sealed, LifeEvent::Publish) => Readable,
        (Readable, LifeEvent::Drain) => Draining,
        (Reserved | Writing | Sealed, LifeEvent::Free) => Freed,
        (Draining, LifeEvent::Free) if pins == 0 => Freed,
        (Readable | Draining, LifeEvent::Unpin) if pins > 0 => return Some((state, pins - 1)),
        _ => return None,
    };
    Some((moved, pins))
}

fn step() -> impl Strategy<Value = Step> {
    let event = prop_oneof![
        3 => Just(LifeEvent::Write),
        3 => Just(LifeEvent::Seal),
        3 => Just(LifeEvent::Publish),
        2 => Just(LifeEvent::Unpin),
        2 => Just(LifeEvent::Drain),
        2 => Just(LifeEvent::Free),
    ];
    prop_oneof![
        4 => (0..KEYS, 0..2_u8, 0..2_u8).prop_map(|(key, workspace, version)| Step::Reserve {
            key, workspace, version
        }),
        6 => (0..KEYS, 0..2_u8, 0..2_u8).prop_map(|(key, workspace, version)| Step::Pin {
            key, workspace, version
        }),
        // Mostly the present life of the block, and now and then a right from an earlier one.
        16 => (0..KEYS, prop_oneof![6 => Just(0_u8), 1 => 1..3_u8], event)
            .prop_map(|(key, age, event)| Step::Event { key, age, event }),
        1 => Just(Step::StoreReturns),
    ]
}

/// Gives steps that the blocks' states allow, since chance alone seldom leads to a late state.
fn apt_step(state: &Reference) -> BoxedStrategy<Step> {
    let steps = (0..KEYS).flat_map(|key| match state.life(key, 0) {
        Some(life) if life.state != BlockState::Freed => apt_events(key, life),
        _ => vec![Step::Reserve {
            key,
            workspace: 0,
            version: 0,
        }],
    });
    prop::sample::select(steps.collect::<Vec<_>>()).boxed()
}

fn apt_events(key: u8, life: &Life) -> Vec<Step> {
    let events = match life.state {
        BlockState::Reserved => [LifeEvent::Write, LifeEvent::Write],
        BlockState::Writing => [LifeEvent::Seal, LifeEvent::Seal],
        BlockState::Sealed => [LifeEvent::Publish, LifeEvent::Publish],
        BlockState::Readable => [LifeEvent::Drain, LifeEvent::Unpin],
        BlockState::Draining | BlockState::Freed => [LifeEvent::Unpin, LifeEvent::Free],
    };
    let event = |event| Step::Event { key, age: 0, event };
    let pin = Step::Pin {
        key,
        workspace: life.workspace,
        version: life.version,
    };
    events.map(event).into_iter().chain([pin]).collect()
}

impl ReferenceStateMachine for Reference {
    type State = Reference;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Reference> {
        Just(Reference::default()).boxed()
    }

    fn transitions(state: &Reference) -> BoxedStrategy<Step> {
        prop_oneof![2 => step(), 3 => apt_step(state)].boxed()
    }

    fn apply(mut state: Reference, step: &Step) -> Reference {
        match step {
            Step::Reserve {
                key,
                workspace,
                version,
            } => {
                state.generations += 1;
                if !state.is_taken(*key) {
                    let life = Life {
                        generation: state.generations,
                        incarnation: state.incarnation,
                        state: BlockState::Reserved,
                        pins: 0,
                        workspace: *workspace,
                        version: *version,
                    };
                    state.lives.entry(*key).or_default().push(life);
                }
            }
            Step::Pin {
                key,
                workspace,
                version,
            } => {
                if state.may_pin(*key, *workspace, *version)
                    && let Some(life) = state.lives.get_mut(key).and_then(|lives| lives.last_mut())
                {
                    life.pins += 1;
                }
            }
            Step::Event { key, age, event } => {
                let lives = state.lives.entry(*key).or_default();
                let life = lives.iter_mut().rev().nth(usize::from(*age));
                if let Some(life) = life
                    && let Some((moved, pins)) = next(life.state, life.pins, *event)
                {
                    life.state = moved;
                    life.pins = pins;
                }
            }
            Step::StoreReturns => {
                state.incarnation += 1;
                for life in state.lives.values_mut().flatten() {
                    life.state = BlockState::Freed;
                }
            }
        }
        state
    }
}

struct TableUnderTest {
    table: BlockTable,
}

fn store() -> StoreId {
    name("hub-cache")
}

fn place(number: u8) -> Place {
    Place {
        store: store(),
        key: key(number),
    }
}

fn incarnation(number: u64) -> wisteriahitch_types::StoreIncarnation {
    name(&format!("i-{number}"))
}

fn reader_of(workspace: u8, version: u8) -> Reader {
    reader(
        WORKSPACES[usize::from(workspace)],
        VERSIONS[usize::from(version)],
    )
}

fn handle_of(number: u8, life: &Life) -> BlockHandle {
    BlockHandle {
        place: place(number),
        incarnation: incarnation(life.incarnation),
        generation: Generation::new(life.generation),
    }
}

fn apply_event(table: &mut BlockTable, handle: &BlockHandle, event: LifeEvent) -> bool {
    let result = match event {
        LifeEvent::Write => table.write(handle),
        LifeEvent::Seal => table.seal(handle, BLOCK_BYTES, CRC32C),
        LifeEvent::Publish => table.publish(handle),
        LifeEvent::Unpin => table.unpin(handle),
        LifeEvent::Drain => table.drain(handle),
        LifeEvent::Free => table.free(handle),
        LifeEvent::Pin | LifeEvent::StoreDied => panic!("has a step of its own"),
    };
    result.is_ok()
}

impl TableUnderTest {
    /// Applies a step and checks that the table allows it exactly where the model does.
    ///
    /// `after` is the reference with the step applied, so the state before is worked out from
    /// the table itself, which the invariants held equal to the reference.
    fn step(&mut self, after: &Reference, step: &Step) {
        match step {
            Step::Reserve {
                key,
                workspace,
                version,
            } => self.reserve(after, *key, *workspace, *version),
            Step::Pin {
                key,
                workspace,
                version,
            } => self.pin(after, *key, *workspace, *version),
            Step::Event { key, age, event } => self.event(after, *key, *age, *event),
            Step::StoreReturns => {
                let ended = self
                    .table
                    .store_seen(&store(), &incarnation(after.incarnation));
                assert!(self.table.is_empty(), "{ended:?} ended, others are left");
            }
        }
    }

    fn reserve(&mut self, after: &Reference, key: u8, workspace: u8, version: u8) {
        let was_taken = self.table.get(&place(key)).is_some();
        let reader = reader_of(workspace, version);
        let identity = BlockIdentity {
            incarnation: incarnation(after.incarnation),
            generation: Generation::new(after.generations),
            weight_version: reader.weight_version,
            workspace: Some(reader.workspace),
            tokens: BLOCK_TOKENS,
            bytes: BLOCK_BYTES,
        };
        let result = self.table.reserve(place(key), identity, Tier::Memory);
        assert_eq!(result.is_err(), was_taken);
    }

    fn pin(&mut self, after: &Reference, key: u8, workspace: u8, version: u8) {
        let reader = reader_of(workspace, version);
        let result = self.table.pin(&place(key), &reader);
        assert_eq!(result.is_ok(), after.may_pin(key, workspace, version));
        if let Ok(handle) = result {
            assert!(self.table.is_held(&handle));
        }
    }

    fn event(&mut self, after: &Reference, key: u8, age: u8, event: LifeEvent) {
        let Some(life) = after.life(key, age) else {
            return;
        };
        let handle = handle_of(key, life);
        let before = self
            .table
            .get(&place(key))
            .filter(|_| self.table.handle(&place(key)).as_ref() == Some(&handle))
            .map(|block| (block.state(), block.pins()));
        let is_allowed = before.and_then(|(state, pins)| next(state, pins, event));
        let is_applied = apply_event(&mut self.table, &handle, event);
        assert_eq!(is_applied, is_allowed.is_some(), "{event:?} on {before:?}");
    }
}

impl StateMachineTest for TableUnderTest {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(_reference: &Reference) -> Self {
        let mut table = BlockTable::default();
        table.store_seen(&store(), &incarnation(0));
        Self { table }
    }

    fn apply(mut state: Self, after: &Reference, step: Step) -> Self {
        state.step(after, &step);
        state
    }

    /// Checks after every step that the table shows what the reference knows, and that no right
    /// that was ever given out reaches a block that is freed, partly written or of another life.
    fn check_invariants(state: &Self, reference: &Reference) {
        for number in 0..KEYS {
            let lives = reference.lives.get(&number).map_or(&[][..], Vec::as_slice);
            let present = lives.last().filter(|life| life.state != BlockState::Freed);
            let block = state.table.get(&place(number));
            assert_eq!(
                block.map(|block| (block.state(), block.pins())),
                present.map(|life| (life.state, life.pins)),
            );
            for life in lives {
                let is_readable = matches!(life.state, BlockState::Readable | BlockState::Draining);
                assert_eq!(
                    state.table.is_held(&handle_of(number, life)),
                    is_readable && life.pins > 0,
                );
            }
        }
        for workspace in 0..2_u8 {
            let taken = reference
                .lives
                .values()
                .flatten()
                .filter(|life| life.state != BlockState::Freed && life.workspace == workspace);
            let reader = reader_of(workspace, 0);
            assert_eq!(
                state.table.workspace_bytes(&reader.workspace).get(),
                taken.count() as u64 * BLOCK_BYTES.get(),
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })]

    #[test]
    fn block_table_keeps_to_the_model(sequential 1..80 => TableUnderTest);
}
