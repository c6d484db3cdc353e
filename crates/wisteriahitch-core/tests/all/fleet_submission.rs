//! Tests of submissions: the reported outcome is true, whatever messages are lost.

use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use wisteriahitch_config::{SectionHash, SectionName};
use wisteriahitch_core::fleet::{
    HeadObject, HolderCounts, Submission, SubmissionCommand, SubmissionEvent, SubmissionOutcome,
    SubmissionStep,
};
use wisteriahitch_types::{ConfigVersion, SubmissionId};

use crate::fleet::SEED;
use crate::generated::seeded_config;

/// Behaviour of the store for the next call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreBehavior {
    Answer,
    /// The call takes effect and its answer is lost.
    LoseAnswer,
    /// The call takes effect later, after the following calls.
    Delay,
    /// The call has no effect.
    Refuse,
    /// Another operator's submission is accepted before the call.
    Race,
}

#[derive(Default)]
struct Store {
    head: Option<HeadObject>,
    object_version: u64,
    delayed: Option<(HeadObject, u64)>,
    competing_submissions: u64,
}

impl Store {
    fn update(&mut self, head: &HeadObject, expected: u64) -> bool {
        let is_expected = self.object_version == expected;
        if is_expected {
            self.head = Some(head.clone());
            self.object_version += 10;
        }
        is_expected
    }

    fn accept_competing(&mut self) {
        self.competing_submissions += 1;
        let id = format!("rival-{}", self.competing_submissions)
            .parse()
            .unwrap();
        let name = SectionName::Site;
        let hash = SectionHash::of(self.competing_submissions.to_string());
        let head = self.head.clone().unwrap_or_default();
        let next = head.with_changes([(name, Some(hash))], id, 0);
        self.update(&next, self.object_version);
    }

    fn apply_delayed_update(&mut self) {
        if let Some((head, expected)) = self.delayed.take() {
            self.update(&head, expected);
        }
    }

    fn answer(
        &mut self,
        command: SubmissionCommand,
        behavior: StoreBehavior,
    ) -> Option<SubmissionEvent> {
        if behavior == StoreBehavior::Race {
            self.accept_competing();
        }
        let is_unavailable = behavior == StoreBehavior::Refuse;
        let is_lost = matches!(behavior, StoreBehavior::LoseAnswer | StoreBehavior::Delay);
        let event = match command {
            SubmissionCommand::WriteSection(hash) if is_unavailable || is_lost => {
                SubmissionEvent::SectionFailed(hash)
            }
            SubmissionCommand::WriteSection(hash) => SubmissionEvent::SectionWritten(hash),
            SubmissionCommand::ReadHead if is_unavailable || is_lost => {
                SubmissionEvent::HeadUnavailable
            }
            SubmissionCommand::ReadHead => SubmissionEvent::HeadRead {
                head: self.head.clone(),
                object_version: self.object_version,
            },
            SubmissionCommand::Check(_) => SubmissionEvent::Checked { is_valid: true },
            SubmissionCommand::UpdateHead { .. } if is_unavailable => {
                SubmissionEvent::UpdateUnavailable
            }
            SubmissionCommand::UpdateHead { head, expected }
                if behavior == StoreBehavior::Delay =>
            {
                self.delayed = Some((head, expected));
                SubmissionEvent::UpdateLost
            }
            SubmissionCommand::UpdateHead { head, expected } => {
                let is_done = self.update(&head, expected);
                match (is_done, is_lost) {
                    (_, true) => SubmissionEvent::UpdateLost,
                    (true, false) => SubmissionEvent::Updated,
                    (false, false) => SubmissionEvent::Conflict,
                }
            }
            SubmissionCommand::Spread(_) => SubmissionEvent::Spread {
                holders: HolderCounts::default(),
                is_final: true,
            },
            SubmissionCommand::Finish(_) => return None,
        };
        Some(event)
    }
}

fn submit(
    store: &mut Store,
    id: &SubmissionId,
    expected: Option<u64>,
    behaviors: &mut impl Iterator<Item = StoreBehavior>,
) -> SubmissionOutcome {
    let hash = SectionHash::of("mine");
    let changes = [(SectionName::Site, Some(hash))];
    let expected = expected.map(ConfigVersion::new);
    let mut submission = Submission::new(id.clone(), changes, expected, 0);
    let mut commands = submission.handle(&SubmissionEvent::Start);
    while let Some(command) = commands.pop() {
        let behavior = behaviors.next().unwrap_or(StoreBehavior::Answer);
        if let Some(event) = store.answer(command, behavior) {
            commands.extend(submission.handle(&event));
        }
    }
    assert_eq!(submission.step(), SubmissionStep::Done);
    submission.outcome().unwrap()
}

fn count(store: &Store, id: &SubmissionId) -> usize {
    let history = store.head.iter().flat_map(|head| &head.history);
    history.filter(|entry| entry.submission == *id).count()
}

/// Failure: an operator is told that a submission in force was not accepted, or a submission is
/// accepted twice. Answers are lost, updates arrive late, other submissions are accepted in
/// between, and the operator submits again with the same id. A lost answer does not tell whether
/// the update took effect.
#[test]
fn generated_losses_and_conflicts_are_reported_correctly() {
    let behavior = prop_oneof![
        4 => Just(StoreBehavior::Answer),
        1 => Just(StoreBehavior::LoseAnswer),
        1 => Just(StoreBehavior::Delay),
        1 => Just(StoreBehavior::Refuse),
        1 => Just(StoreBehavior::Race),
    ];
    let behaviors = prop::collection::vec(behavior, 0..30);
    let config = seeded_config(2_000, SEED);
    TestRunner::new(config)
        .run(
            &(behaviors, prop::option::of(0_u64..3)),
            |(behaviors, expected)| {
                let id: SubmissionId = "mine".parse().unwrap();
                let mut store = Store::default();
                let outcome = submit(&mut store, &id, expected, &mut behaviors.into_iter());
                store.apply_delayed_update();
                let accepted = count(&store, &id);
                match outcome {
                    SubmissionOutcome::Accepted { version, .. } => {
                        prop_assert_eq!(accepted, 1);
                        let head = store.head.as_ref().unwrap();
                        prop_assert_eq!(head.find_submission(&id).unwrap().version, version);
                    }
                    SubmissionOutcome::Unknown => prop_assert!(accepted <= 1),
                    _ => prop_assert_eq!(accepted, 0, "{:?}", outcome),
                }
                let again = submit(&mut store, &id, None, &mut std::iter::empty());
                let is_accepted = matches!(again, SubmissionOutcome::Accepted { .. });
                prop_assert!(is_accepted);
                prop_assert_eq!(count(&store, &id), 1);
                Ok(())
            },
        )
        .unwrap();
}

struct Case {
    name: &'static str,
    behaviors: &'static [StoreBehavior],
    expected: Option<u64>,
    outcome: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "all calls are answered",
        behaviors: &[],
        expected: Some(0),
        outcome: "Accepted",
    },
    Case {
        name: "the update's answer is lost",
        behaviors: &[
            StoreBehavior::Answer,
            StoreBehavior::Answer,
            StoreBehavior::Answer,
            StoreBehavior::LoseAnswer,
        ],
        expected: Some(0),
        outcome: "Accepted",
    },
    Case {
        name: "the update's answer is lost and the store becomes unavailable",
        behaviors: &[
            StoreBehavior::Answer,
            StoreBehavior::Answer,
            StoreBehavior::Answer,
            StoreBehavior::LoseAnswer,
            StoreBehavior::Refuse,
        ],
        expected: Some(0),
        outcome: "Unknown",
    },
    Case {
        name: "another submission is accepted first",
        behaviors: &[
            StoreBehavior::Answer,
            StoreBehavior::Answer,
            StoreBehavior::Answer,
            StoreBehavior::Race,
        ],
        expected: Some(0),
        outcome: "Conflict",
    },
    Case {
        name: "another submission is accepted first, and any base version is allowed",
        behaviors: &[
            StoreBehavior::Answer,
            StoreBehavior::Answer,
            StoreBehavior::Answer,
            StoreBehavior::Race,
        ],
        expected: None,
        outcome: "Accepted",
    },
    Case {
        name: "the store is unavailable from the start",
        behaviors: &[StoreBehavior::Refuse; 20],
        expected: None,
        outcome: "Unavailable",
    },
];

#[test]
fn outcome_follows_from_store_behavior() {
    for case in CASES {
        let mut store = Store::default();
        let id = "mine".parse().unwrap();
        let mut behaviors = case.behaviors.iter().copied();
        let outcome = submit(&mut store, &id, case.expected, &mut behaviors);
        let text = format!("{outcome:?}");
        assert!(text.starts_with(case.outcome), "{}: {text}", case.name);
    }
}
