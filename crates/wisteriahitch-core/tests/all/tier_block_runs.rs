//! Random operation sequences on the block table, compared with a reference that implements only
//! the rules of the model `specs/block_life.pml`.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use wisteriahitch_core::tier::{
    BlockEvent, BlockHandle, BlockIdentity, BlockLocation, BlockTable, Reader,
};
use wisteriahitch_types::{BlockState, Generation, StoreId, Tier};

use crate::tier::{BLOCK_BYTES, BLOCK_TOKENS, CRC32C, key, name, reader};

const SEED: u64 = 20_260_731;
const KEYS: u8 = 2;
const WORKSPACES: [&str; 2] = ["kandy", "galle"];
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// One operation; `age` selects a handle, from the current generation (0) to earlier ones.
#[derive(Clone, Debug)]
enum Step {
    Reserve { key: u8, workspace: u8, version: u8 },
    Pin { key: u8, workspace: u8, version: u8 },
    Event { key: u8, age: u8, event: BlockEvent },
    StoreRestarts,
}

/// The reference state of one generation of a block.
#[derive(Clone, Debug)]
struct GenerationRecord {
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
    last_generation: u64,
    /// Every generation of each key, the latest one last.
    history: BTreeMap<u8, Vec<GenerationRecord>>,
}

impl Reference {
    fn is_taken(&self, key: u8) -> bool {
        let last = self.history.get(&key).and_then(|history| history.last());
        last.is_some_and(|record| record.state != BlockState::Freed)
    }

    fn record(&self, key: u8, age: u8) -> Option<&GenerationRecord> {
        self.history.get(&key)?.iter().rev().nth(usize::from(age))
    }

    fn may_pin(&self, key: u8, workspace: u8, version: u8) -> bool {
        self.record(key, 0).is_some_and(|record| {
            record.state == BlockState::Readable
                && record.workspace == workspace
                && record.version == version
        })
    }
}

/// Returns the state and pins after an event, or `None` if the model doesn't allow it.
fn next(state: BlockState, pins: u32, event: BlockEvent) -> Option<(BlockState, u32)> {
    use BlockState::{Draining, Freed, Readable, Reserved, Sealed, Writing};
    let moved = match (state, event) {
        (Reserved, BlockEvent::Write) => Writing,
        (Writing, BlockEvent::Seal) => Sealed,
        (Sealed, BlockEvent::Publish) => Readable,
        (Readable, BlockEvent::Drain) => Draining,
        (Reserved | Writing | Sealed, BlockEvent::Free) => Freed,
        (Draining, BlockEvent::Free) if pins == 0 => Freed,
        (Readable | Draining, BlockEvent::Unpin) if pins > 0 => return Some((state, pins - 1)),
        _ => return None,
    };
    Some((moved, pins))
}

fn step() -> impl Strategy<Value = Step> {
    let event = prop_oneof![
        3 => Just(BlockEvent::Write),
        3 => Just(BlockEvent::Seal),
        3 => Just(BlockEvent::Publish),
        2 => Just(BlockEvent::Unpin),
        2 => Just(BlockEvent::Drain),
        2 => Just(BlockEvent::Free),
    ];
    prop_oneof![
        4 => (0..KEYS, 0..2_u8, 0..2_u8).prop_map(|(key, workspace, version)| Step::Reserve {
            key, workspace, version
        }),
        6 => (0..KEYS, 0..2_u8, 0..2_u8).prop_map(|(key, workspace, version)| Step::Pin {
            key, workspace, version
        }),
        // Mostly the current generation of the block, and sometimes the handle of an earlier one.
        16 => (0..KEYS, prop_oneof![6 => Just(0_u8), 1 => 1..3_u8], event)
            .prop_map(|(key, age, event)| Step::Event { key, age, event }),
        1 => Just(Step::StoreRestarts),
    ]
}

/// Generates operations that the blocks' states allow, since random ones rarely reach a late state.
fn allowed_step(state: &Reference) -> BoxedStrategy<Step> {
    let steps = (0..KEYS).flat_map(|key| match state.record(key, 0) {
        Some(record) if record.state != BlockState::Freed => allowed_events(key, record),
        _ => vec![Step::Reserve {
            key,
            workspace: 0,
            version: 0,
        }],
    });
    prop::sample::select(steps.collect::<Vec<_>>()).boxed()
}

fn allowed_events(key: u8, record: &GenerationRecord) -> Vec<Step> {
    let events = match record.state {
        BlockState::Reserved => [BlockEvent::Write, BlockEvent::Write],
        BlockState::Writing => [BlockEvent::Seal, BlockEvent::Seal],
        BlockState::Sealed => [BlockEvent::Publish, BlockEvent::Publish],
        BlockState::Readable => [BlockEvent::Drain, BlockEvent::Unpin],
        BlockState::Draining | BlockState::Freed => [BlockEvent::Unpin, BlockEvent::Free],
    };
    let event = |event| Step::Event { key, age: 0, event };
    let pin = Step::Pin {
        key,
        workspace: record.workspace,
        version: record.version,
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
        prop_oneof![2 => step(), 3 => allowed_step(state)].boxed()
    }

    fn apply(mut state: Reference, step: &Step) -> Reference {
        match step {
            Step::Reserve {
                key,
                workspace,
                version,
            } => {
                state.last_generation += 1;
                if !state.is_taken(*key) {
                    let record = GenerationRecord {
                        generation: state.last_generation,
                        incarnation: state.incarnation,
                        state: BlockState::Reserved,
                        pins: 0,
                        workspace: *workspace,
                        version: *version,
                    };
                    state.history.entry(*key).or_default().push(record);
                }
            }
            Step::Pin {
                key,
                workspace,
                version,
            } => {
                if state.may_pin(*key, *workspace, *version)
                    && let Some(record) = state
                        .history
                        .get_mut(key)
                        .and_then(|history| history.last_mut())
                {
                    record.pins += 1;
                }
            }
            Step::Event { key, age, event } => {
                let history = state.history.entry(*key).or_default();
                let record = history.iter_mut().rev().nth(usize::from(*age));
                if let Some(record) = record
                    && let Some((moved, pins)) = next(record.state, record.pins, *event)
                {
                    record.state = moved;
                    record.pins = pins;
                }
            }
            Step::StoreRestarts => {
                state.incarnation += 1;
                for record in state.history.values_mut().flatten() {
                    record.state = BlockState::Freed;
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

fn location(number: u8) -> BlockLocation {
    BlockLocation {
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

fn handle_of(number: u8, record: &GenerationRecord) -> BlockHandle {
    BlockHandle {
        location: location(number),
        incarnation: incarnation(record.incarnation),
        generation: Generation::new(record.generation),
    }
}

fn apply_event(table: &mut BlockTable, handle: &BlockHandle, event: BlockEvent) -> bool {
    let result = match event {
        BlockEvent::Write => table.write(handle),
        BlockEvent::Seal => table.seal(handle, BLOCK_BYTES, CRC32C),
        BlockEvent::Publish => table.publish(handle),
        BlockEvent::Unpin => table.unpin(handle),
        BlockEvent::Drain => table.drain(handle),
        BlockEvent::Free => table.free(handle),
        BlockEvent::Pin | BlockEvent::StoreDied => panic!("is applied by another step"),
    };
    result.is_ok()
}

impl TableUnderTest {
    /// Applies an operation and checks that the table allows it exactly where the model does.
    ///
    /// `after` is the reference after the operation. The state before it is taken from the table
    /// itself, which `check_invariants` has shown to equal the reference.
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
            Step::StoreRestarts => {
                let ended = self
                    .table
                    .record_incarnation(&store(), &incarnation(after.incarnation));
                assert!(
                    self.table.is_empty(),
                    "blocks are left besides the removed {ended:?}"
                );
            }
        }
    }

    fn reserve(&mut self, after: &Reference, key: u8, workspace: u8, version: u8) {
        let was_taken = self.table.get(&location(key)).is_some();
        let reader = reader_of(workspace, version);
        let identity = BlockIdentity {
            incarnation: incarnation(after.incarnation),
            generation: Generation::new(after.last_generation),
            weight_version: reader.weight_version,
            workspace: Some(reader.workspace),
            tokens: BLOCK_TOKENS,
            bytes: BLOCK_BYTES,
        };
        let result = self.table.reserve(location(key), identity, Tier::Memory);
        assert_eq!(result.is_err(), was_taken);
    }

    fn pin(&mut self, after: &Reference, key: u8, workspace: u8, version: u8) {
        let reader = reader_of(workspace, version);
        let result = self.table.pin(&location(key), &reader);
        assert_eq!(result.is_ok(), after.may_pin(key, workspace, version));
        if let Ok(handle) = result {
            assert!(self.table.is_pin_valid(&handle));
        }
    }

    fn event(&mut self, after: &Reference, key: u8, age: u8, event: BlockEvent) {
        let Some(record) = after.record(key, age) else {
            return;
        };
        let handle = handle_of(key, record);
        let before = self
            .table
            .get(&location(key))
            .filter(|_| self.table.handle(&location(key)).as_ref() == Some(&handle))
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
        table.record_incarnation(&store(), &incarnation(0));
        Self { table }
    }

    fn apply(mut state: Self, after: &Reference, step: Step) -> Self {
        state.step(after, &step);
        state
    }

    /// Checks after every operation that the table equals the reference, and that no handle that
    /// was ever issued gives access to a block that is freed, partly written or of another
    /// generation.
    fn check_invariants(state: &Self, reference: &Reference) {
        for number in 0..KEYS {
            let history = reference
                .history
                .get(&number)
                .map_or(&[][..], Vec::as_slice);
            let present = history
                .last()
                .filter(|record| record.state != BlockState::Freed);
            let block = state.table.get(&location(number));
            assert_eq!(
                block.map(|block| (block.state(), block.pins())),
                present.map(|record| (record.state, record.pins)),
            );
            for record in history {
                let is_readable =
                    matches!(record.state, BlockState::Readable | BlockState::Draining);
                assert_eq!(
                    state.table.is_pin_valid(&handle_of(number, record)),
                    is_readable && record.pins > 0,
                );
            }
        }
        for workspace in 0..2_u8 {
            let taken = reference.history.values().flatten().filter(|record| {
                record.state != BlockState::Freed && record.workspace == workspace
            });
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
    fn block_table_matches_the_model(sequential 1..80 => TableUnderTest);
}
