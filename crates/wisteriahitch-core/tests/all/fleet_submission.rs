//! What an operator is told of a submission is true, whatever is lost.

use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use wisteriahitch_config::{SectionHash, SectionName};
use wisteriahitch_core::fleet::{
    HeadObject, Holders, Submission, SubmissionCommand, SubmissionEvent, SubmissionOutcome,
    SubmissionStep,
};
use wisteriahitch_types::{ConfigVersion, SubmissionId};

use crate::fleet::SEED;
use crate::generated::seeded_config;

/// What the store does with the next call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Answer,
    /// The call takes effect and the answer is lost.
    LoseAnswer,
    /// The call takes effect later, after what comes next.
    Delay,
    /// The call has no effect.
    Refuse,
    /// Another operator's submission goes before it.
    Race,
}

#[derive(Default)]
struct Store {
    head: Option<HeadObject>,
    object_version: u64,
    delayed: Option<(HeadObject, u64)>,
    rivals: u64,
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

    fn race(&mut self) {
        self.rivals += 1;
        let id = format!("rival-{}", self.rivals).parse().unwrap();
        let name = SectionName::Site;
        let hash = SectionHash::of(self.rivals.to_string());
        let head = self.head.clone().unwrap_or_default();
        let next = head.with_changes([(name, Some(hash))], id, 0);
        self.update(&next, self.object_version);
    }

    fn land_delayed(&mut self) {
        if let Some((head, expected)) = self.delayed.take() {
            self.update(&head, expected);
        }
    }

    fn answer(&mut self, command: SubmissionCommand, fate: Fate) -> Option<SubmissionEvent> {
        if fate == Fate::Race {
            self.race();
        }
        let is_away = fate == Fate::Refuse;
        let is_lost = matches!(fate, Fate::LoseAnswer | Fate::Delay);
        let event = match command {
            SubmissionCommand::WriteSection(hash) if is_away || is_lost => {
                SubmissionEvent::SectionFailed(hash)
            }
            SubmissionCommand::WriteSection(hash) => SubmissionEvent::SectionWritten(hash),
            SubmissionCommand::ReadHead if is_away || is_lost => SubmissionEvent::HeadUnavailable,
            SubmissionCommand::ReadHead => SubmissionEvent::HeadRead {
                head: self.head.clone(),
                object_version: self.object_version,
            },
            SubmissionCommand::Check(_) => SubmissionEvent::Checked { is_good: true },
            SubmissionCommand::UpdateHead { .. } if is_away => SubmissionEvent::UpdateUnavailable,
            SubmissionCommand::UpdateHead { head, expected } if fate == Fate::Delay => {
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
                holders: Holders::default(),
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
    fates: &mut impl Iterator<Item = Fate>,
) -> SubmissionOutcome {
    let hash = SectionHash::of("mine");
    let changes = [(SectionName::Site, Some(hash))];
    let expected = expected.map(ConfigVersion::new);
    let mut submission = Submission::new(id.clone(), changes, expected, 0);
    let mut commands = submission.handle(&SubmissionEvent::Start);
    while let Some(command) = commands.pop() {
        let fate = fates.next().unwrap_or(Fate::Answer);
        if let Some(event) = store.answer(command, fate) {
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

/// Symptom: an operator is told `not accepted` of a submission that is in force, or submits it
/// twice.
/// Sequence: answers are lost, updates arrive late, others win in between; the operator submits
/// again with the same id.
/// Cause: a lost answer says nothing about the update.
#[test]
fn generated_losses_and_races_are_told_truthfully() {
    let fate = prop_oneof![
        4 => Just(Fate::Answer),
        1 => Just(Fate::LoseAnswer),
        1 => Just(Fate::Delay),
        1 => Just(Fate::Refuse),
        1 => Just(Fate::Race),
    ];
    let fates = prop::collection::vec(fate, 0..30);
    let config = seeded_config(2_000, SEED);
    TestRunner::new(config)
        .run(&(fates, prop::option::of(0_u64..3)), |(fates, expected)| {
            let id: SubmissionId = "mine".parse().unwrap();
            let mut store = Store::default();
            let outcome = submit(&mut store, &id, expected, &mut fates.into_iter());
            store.land_delayed();
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
        })
        .unwrap();
}

struct Case {
    name: &'static str,
    fates: &'static [Fate],
    expected: Option<u64>,
    outcome: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "everything answers",
        fates: &[],
        expected: Some(0),
        outcome: "Accepted",
    },
    Case {
        name: "the update's answer is lost",
        fates: &[Fate::Answer, Fate::Answer, Fate::Answer, Fate::LoseAnswer],
        expected: Some(0),
        outcome: "Accepted",
    },
    Case {
        name: "the answer is lost and the store goes away",
        fates: &[
            Fate::Answer,
            Fate::Answer,
            Fate::Answer,
            Fate::LoseAnswer,
            Fate::Refuse,
        ],
        expected: Some(0),
        outcome: "Unknown",
    },
    Case {
        name: "another operator wins",
        fates: &[Fate::Answer, Fate::Answer, Fate::Answer, Fate::Race],
        expected: Some(0),
        outcome: "Conflict",
    },
    Case {
        name: "another operator goes first, and any base will do",
        fates: &[Fate::Answer, Fate::Answer, Fate::Answer, Fate::Race],
        expected: None,
        outcome: "Accepted",
    },
    Case {
        name: "the store is away from the start",
        fates: &[Fate::Refuse; 20],
        expected: None,
        outcome: "Unavailable",
    },
];

#[test]
fn outcomes_are_told() {
    for case in CASES {
        let mut store = Store::default();
        let id = "mine".parse().unwrap();
        let mut fates = case.fates.iter().copied();
        let outcome = submit(&mut store, &id, case.expected, &mut fates);
        let text = format!("{outcome:?}");
        assert!(text.starts_with(case.outcome), "{}: {text}", case.name);
    }
}
