//! A claim on a key that is already in the object store.

use std::sync::Arc;

use wisteriahitch_types::{Code, Incarnation};

use super::{ClaimHolder, Decision, Fingerprint, StoredAnswer};

/// What a claim records about its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// No outcome is recorded: the request may be running, may have run, or its holder died.
    Pending,
    /// The request ran. The answer is `None` where it was too large, or not text, to be recorded.
    Finished(Option<Arc<StoredAnswer>>),
    /// The request was refused and will not run; the key cannot be used again.
    Refused,
}

/// A claim in the object store that prevents a new one on the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExistingClaim {
    /// Daemon that made the claim and decides whether the request runs.
    pub holder: ClaimHolder,
    /// Fingerprint of the claimed request.
    pub fingerprint: Fingerprint,
    /// Recorded outcome of the request.
    pub outcome: ClaimOutcome,
}

impl ExistingClaim {
    /// Returns the decision for a request with the same key that arrived at the daemon with
    /// incarnation `own`.
    pub(crate) fn decide(&self, fingerprint: Fingerprint, own: Incarnation) -> Decision {
        if fingerprint != self.fingerprint {
            return Decision::Refuse(Code::KeyReused);
        }
        match &self.outcome {
            ClaimOutcome::Finished(Some(answer)) => Decision::Answer(answer.clone()),
            ClaimOutcome::Refused => Decision::Refuse(Code::KeyRefused),
            // An earlier claim of this incarnation whose entry was evicted: the request may have
            // run.
            _ if self.holder.incarnation == own => Decision::Refuse(Code::AnswerGone),
            _ => Decision::Forward(self.holder.clone()),
        }
    }
}
