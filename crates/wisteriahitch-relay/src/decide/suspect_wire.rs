//! Encoding of [`SuspectUpdate`] in gossip messages.
//!
//! Requests are encoded where older daemons read and send them. All other kinds of attributes follow
//! at the end of the message, each with its kind, so that daemons skip the kinds that they don't
//! know.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::answer_progress::AnswerProgress;
use super::blocked_attributes::TrialUpdate;
use super::gossip_message::{BlockedUpdate, ClearedUpdate, CrashUpdate, SuspectUpdate};
use crate::site::{CallAttribute, RequestFingerprint, SharedPart};

/// Kind of [`CallAttribute::PromptPart`].
const PROMPT_PART: u8 = 1;

/// Updates about requests.
#[derive(Serialize, Deserialize)]
struct RequestUpdates {
    /// Each with the short name of the endpoint instance that crashed.
    crashes: Vec<(RequestFingerprint, u32)>,
    /// Each with the time since any daemon last received it, in milliseconds.
    blocked: Vec<(RequestFingerprint, u64)>,
    cleared: Vec<RequestFingerprint>,
    lifted: Vec<RequestFingerprint>,
}

/// Encodes what an update says about requests.
pub(super) fn serialize<S: Serializer>(
    update: &SuspectUpdate,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let crashes = update.crashes.iter();
    let blocked = update.blocked.iter();
    let updates = RequestUpdates {
        crashes: crashes
            .filter_map(|crash| Some((request(crash.attribute)?, crash.endpoint)))
            .collect(),
        blocked: blocked
            .filter_map(|blocked| Some((request(blocked.attribute)?, blocked.absent_ms)))
            .collect(),
        cleared: update
            .cleared
            .iter()
            .filter_map(|cleared| request(cleared.attribute))
            .collect(),
        lifted: update
            .lifted
            .iter()
            .filter_map(|attribute| request(*attribute))
            .collect(),
    };
    updates.serialize(serializer)
}

/// Decodes what an update says about requests.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<SuspectUpdate, D::Error> {
    let updates = RequestUpdates::deserialize(deserializer)?;
    let crashes = updates.crashes.into_iter();
    let blocked = updates.blocked.into_iter();
    let cleared = updates.cleared.into_iter();
    let lifted = updates.lifted.into_iter();
    Ok(SuspectUpdate {
        crashes: crashes
            .map(|(request, endpoint)| CrashUpdate {
                attribute: CallAttribute::Request(request),
                endpoint,
                progress: AnswerProgress::NONE,
            })
            .collect(),
        blocked: blocked
            .map(|(request, absent_ms)| BlockedUpdate {
                attribute: CallAttribute::Request(request),
                absent_ms,
                trial: TrialUpdate::default(),
            })
            .collect(),
        cleared: cleared
            .map(|request| ClearedUpdate {
                attribute: CallAttribute::Request(request),
                progress: AnswerProgress::WHOLE,
            })
            .collect(),
        lifted: lifted.map(CallAttribute::Request).collect(),
    })
}

fn request(attribute: CallAttribute) -> Option<RequestFingerprint> {
    match attribute {
        CallAttribute::Request(request) => Some(request),
        CallAttribute::PromptPart(_) => None,
    }
}

/// An attribute of a kind that older daemons don't know.
type KindAndName = (u8, SharedPart);

fn encoded(attribute: CallAttribute) -> Option<KindAndName> {
    match attribute {
        CallAttribute::Request(_) => None,
        CallAttribute::PromptPart(part) => Some((PROMPT_PART, part)),
    }
}

fn decoded((kind, part): KindAndName) -> Option<CallAttribute> {
    (kind == PROMPT_PART).then_some(CallAttribute::PromptPart(part))
}

/// Updates about attributes other than requests.
#[derive(Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct OtherUpdates {
    crashes: Vec<(KindAndName, u32, AnswerProgress)>,
    blocked: Vec<(KindAndName, u64, TrialUpdate)>,
    cleared: Vec<(KindAndName, AnswerProgress)>,
    lifted: Vec<KindAndName>,
}

impl OtherUpdates {
    /// Selects what an update says about other attributes than requests.
    pub(super) fn of(update: &SuspectUpdate) -> Self {
        let crashes = update.crashes.iter();
        let blocked = update.blocked.iter();
        let cleared = update.cleared.iter();
        let lifted = update.lifted.iter();
        Self {
            crashes: crashes
                .filter_map(|crash| {
                    Some((encoded(crash.attribute)?, crash.endpoint, crash.progress))
                })
                .collect(),
            blocked: blocked
                .filter_map(|blocked| {
                    Some((
                        encoded(blocked.attribute)?,
                        blocked.absent_ms,
                        blocked.trial,
                    ))
                })
                .collect(),
            cleared: cleared
                .filter_map(|cleared| Some((encoded(cleared.attribute)?, cleared.progress)))
                .collect(),
            lifted: lifted.filter_map(|attribute| encoded(*attribute)).collect(),
        }
    }

    /// Appends these updates to what the message says about requests. Attributes of unknown kinds
    /// are skipped.
    pub(super) fn append_to(self, update: &mut SuspectUpdate) {
        let crashes = self.crashes.into_iter();
        update
            .crashes
            .extend(crashes.filter_map(|(name, endpoint, progress)| {
                Some(CrashUpdate {
                    attribute: decoded(name)?,
                    endpoint,
                    progress,
                })
            }));
        let blocked = self.blocked.into_iter();
        update
            .blocked
            .extend(blocked.filter_map(|(name, absent_ms, trial)| {
                Some(BlockedUpdate {
                    attribute: decoded(name)?,
                    absent_ms,
                    trial,
                })
            }));
        let cleared = self.cleared.into_iter();
        update
            .cleared
            .extend(cleared.filter_map(|(name, progress)| {
                Some(ClearedUpdate {
                    attribute: decoded(name)?,
                    progress,
                })
            }));
        let lifted = self.lifted.into_iter();
        update.lifted.extend(lifted.filter_map(decoded));
    }
}
