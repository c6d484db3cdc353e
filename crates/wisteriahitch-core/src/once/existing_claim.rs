//! A claim on a key as the object store shows it.

use std::sync::Arc;

use wisteriahitch_types::{Code, Incarnation};

use super::{ClaimHolder, Decision, Fingerprint, StoredAnswer};

/// Says what a claim tells of its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The request may be running, or its holder has died.
    Pending,
    /// The request ran; the answer is there if it was small enough to be written down.
    Finished(Option<Arc<StoredAnswer>>),
    /// The request was refused, and the key is used up.
    Refused,
}

/// Holds a claim that was there before ours.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExistingClaim {
    /// Daemon that decides for the key.
    pub holder: ClaimHolder,
    /// Request that the key stands for.
    pub fingerprint: Fingerprint,
    /// What is known of it.
    pub outcome: ClaimOutcome,
}

impl ExistingClaim {
    /// Decides for a caller that came with the same key to another daemon.
    pub(crate) fn decide(&self, fingerprint: Fingerprint, own: Incarnation) -> Decision {
        if fingerprint != self.fingerprint {
            return Decision::Refuse(Code::KeyReused);
        }
        match &self.outcome {
            ClaimOutcome::Finished(Some(answer)) => Decision::Answer(answer.clone()),
            ClaimOutcome::Refused => Decision::Refuse(Code::KeyRefused),
            // Our own earlier claim, whose entry the table has forgotten: it may have run.
            _ if self.holder.incarnation == own => Decision::Refuse(Code::AnswerGone),
            _ => Decision::Forward(self.holder.clone()),
        }
    }
}
