//! Accepts submitted configurations by one conditional update of the head object.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use chrono::Utc;
use wisteriahitch_config::{Report, Section, SectionHash, Sections};
use wisteriahitch_core::fleet::{
    ConfigEvent, HeadObject, Submission, SubmissionCommand, SubmissionEvent, SubmissionOutcome,
};
use wisteriahitch_types::{Code, ConfigVersion, SubmissionId};
use wisteriahitch_wire::platform::{ObjectKind, ObjectVersion, PlatformErrorKind};

use super::changes::section_changes;
use super::objects::{HEAD_NAME, build_sections, parse_head, read_section, write_section};
use crate::shared::Shared;

/// Interval between two checks whether the accepted version is active here.
const ACTIVATION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of such checks, after which the operator gets the holders known by then.
const MAX_ACTIVATION_POLLS: u32 = 40;

/// A validated submission.
pub(crate) struct Submitted {
    /// Id of the submission, from the operator or generated.
    pub(crate) id: SubmissionId,
    /// Active sections that the submission was validated against.
    pub(crate) base: Sections,
    /// Sections that are to become active.
    pub(crate) merged: Sections,
    /// Version that must be the current one for the submission to be accepted; `None` if there is
    /// none yet.
    pub(crate) expected: Option<ConfigVersion>,
}

/// Why a submission was not accepted.
pub(crate) enum SubmitError {
    /// The resulting configuration is invalid.
    Refused(Box<Report>),
    /// Another outcome of the submission, such as a conflict.
    Outcome(SubmissionOutcome),
    /// The submission ended without an outcome because of an internal error.
    Failed(Code),
}

/// State of one submission.
struct SubmissionRun<'a> {
    shared: &'a Arc<Shared>,
    texts: BTreeMap<SectionHash, String>,
    report: Option<Report>,
}

impl Shared {
    /// Runs a submission to its end and returns its acceptance.
    pub(crate) async fn submit_configuration(
        self: &Arc<Self>,
        submitted: Submitted,
    ) -> Result<SubmissionOutcome, SubmitError> {
        let changes = section_changes(&submitted.base, &submitted.merged);
        let texts = submitted.merged.iter();
        let texts = texts.map(|(_, section)| (section.hash(), section.text().to_owned()));
        let mut run = SubmissionRun {
            shared: self,
            texts: texts.collect(),
            report: None,
        };
        let now_unix_ms = u64::try_from(Utc::now().timestamp_millis()).unwrap_or(0);
        let mut submission =
            Submission::new(submitted.id, changes, submitted.expected, now_unix_ms);
        let mut commands: VecDeque<_> = submission.handle(&SubmissionEvent::Start).into();
        while let Some(command) = commands.pop_front() {
            if let SubmissionCommand::Finish(outcome) = command {
                return run.finish(outcome);
            }
            let event = run.execute(command).await;
            commands.extend(submission.handle(&event));
        }
        Err(SubmitError::Failed(Code::Internal))
    }
}

impl SubmissionRun<'_> {
    fn finish(self, outcome: SubmissionOutcome) -> Result<SubmissionOutcome, SubmitError> {
        match (outcome, self.report) {
            (SubmissionOutcome::Accepted { .. }, _) => Ok(outcome),
            (SubmissionOutcome::Refused, Some(report)) => {
                Err(SubmitError::Refused(Box::new(report)))
            }
            _ => Err(SubmitError::Outcome(outcome)),
        }
    }

    async fn execute(&mut self, command: SubmissionCommand) -> SubmissionEvent {
        match command {
            SubmissionCommand::WriteSection(hash) => self.write_section(hash).await,
            SubmissionCommand::ReadHead => self.read_head().await,
            SubmissionCommand::Check(head) => self.check(&head).await,
            SubmissionCommand::UpdateHead { head, expected } => {
                self.update_head(&head, expected).await
            }
            SubmissionCommand::Spread(head) => self.publish_and_count_holders(&head).await,
            SubmissionCommand::Finish(_) => SubmissionEvent::Start,
        }
    }

    async fn write_section(&self, hash: SectionHash) -> SubmissionEvent {
        let text = self
            .texts
            .get(&hash)
            .map(String::as_str)
            .unwrap_or_default();
        match write_section(&*self.shared.clients.platform, hash, text).await {
            Ok(()) => SubmissionEvent::SectionWritten(hash),
            Err(error) => {
                log::warn!("section {hash} can't be written: {error}");
                SubmissionEvent::SectionFailed(hash)
            }
        }
    }

    async fn read_head(&self) -> SubmissionEvent {
        let read = self
            .shared
            .clients
            .platform
            .get(ObjectKind::ConfigHead, HEAD_NAME)
            .await;
        match read {
            Ok(None) => SubmissionEvent::HeadRead {
                head: None,
                object_version: 0,
            },
            Ok(Some(object)) => match parse_head(&object) {
                Ok(head) => {
                    let object_version = object.version.get();
                    SubmissionEvent::HeadRead {
                        head: Some(head),
                        object_version,
                    }
                }
                Err(error) => {
                    log::error!("the head doesn't parse: {error}");
                    SubmissionEvent::HeadUnavailable
                }
            },
            Err(error) => {
                log::warn!("the head can't be read: {error}");
                SubmissionEvent::HeadUnavailable
            }
        }
    }

    /// Validates the resulting configuration, including sections that others submitted meanwhile.
    async fn check(&mut self, head: &HeadObject) -> SubmissionEvent {
        let Some(sections) = self.collect_sections(head).await else {
            return SubmissionEvent::Checked { is_valid: false };
        };
        let is_valid = match build_sections(head, &sections) {
            Ok(built) => match built.assemble() {
                Ok(_) => true,
                Err(report) => {
                    self.report = Some(report);
                    false
                }
            },
            Err(error) => {
                log::error!("the sections don't match their head: {error}");
                false
            }
        };
        SubmissionEvent::Checked { is_valid }
    }

    async fn collect_sections(&mut self, head: &HeadObject) -> Option<Vec<Section>> {
        let mut sections = Vec::new();
        for hash in head.sections.values() {
            if !self.texts.contains_key(hash) {
                let read = read_section(&*self.shared.clients.platform, *hash).await;
                self.texts.insert(*hash, read.ok()??);
            }
            let text = self.texts.get(hash)?;
            sections.push(Section::new(text.as_str()));
        }
        Some(sections)
    }

    async fn update_head(&self, head: &HeadObject, expected: u64) -> SubmissionEvent {
        let platform = &self.shared.clients.platform;
        let Ok(spec) = serde_json::to_value(head) else {
            return SubmissionEvent::UpdateUnavailable;
        };
        let written = match expected {
            0 => {
                platform
                    .create(ObjectKind::ConfigHead, HEAD_NAME, spec)
                    .await
            }
            expected => {
                let version = ObjectVersion::new(expected);
                platform
                    .update(ObjectKind::ConfigHead, HEAD_NAME, spec, version)
                    .await
            }
        };
        let Err(error) = written else {
            return SubmissionEvent::Updated;
        };
        match error.kind() {
            PlatformErrorKind::AlreadyExists
            | PlatformErrorKind::Conflict
            | PlatformErrorKind::NotFound => SubmissionEvent::Conflict,
            PlatformErrorKind::TooLarge => SubmissionEvent::TooLarge,
            PlatformErrorKind::AnswerLost | PlatformErrorKind::Malformed => {
                SubmissionEvent::UpdateLost
            }
            PlatformErrorKind::RateLimited | PlatformErrorKind::Unavailable => {
                SubmissionEvent::UpdateUnavailable
            }
            PlatformErrorKind::AnswerTooLarge => SubmissionEvent::UpdateLost,
        }
    }

    /// Applies the accepted version here, which pushes it to peers, and counts the peers that store
    /// it.
    async fn publish_and_count_holders(&self, head: &HeadObject) -> SubmissionEvent {
        let shared = self.shared;
        shared.handle_config_event(ConfigEvent::StoreHead(Some(head.clone())));
        for _ in 0..MAX_ACTIVATION_POLLS {
            let in_force = shared.in_force.load_full();
            if in_force.is_some_and(|in_force| in_force.version >= head.version) {
                break;
            }
            tokio::time::sleep(ACTIVATION_POLL_INTERVAL).await;
        }
        let replica = shared.config.replica.lock();
        let holders = replica.holders(&shared.fleet.members.lock());
        SubmissionEvent::Spread {
            holders,
            is_final: true,
        }
    }
}
