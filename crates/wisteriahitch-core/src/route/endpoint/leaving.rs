//! The sources that announce that an endpoint is leaving, and retraction of their claims.

use serde::{Deserialize, Serialize};

/// The source of a claim that an endpoint is leaving.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingSource {
    /// The platform's list of VMs.
    VmList,
    /// The endpoint's own report.
    OwnReport,
    /// Another daemon.
    Peer {
        /// Instance of the endpoint that is leaving; `None` if the peer doesn't know it.
        life: Option<String>,
    },
}

/// What is claimed about the leaving of an endpoint's current instance.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct LeavingClaims {
    /// Whether any source claims that the endpoint is leaving.
    pub(crate) is_leaving: bool,
    /// Whether a source other than the VM list made the claim about the current instance.
    is_confirmed: bool,
    /// Whether the endpoint restarted after an earlier instance was leaving.
    came_back: bool,
}

impl LeavingClaims {
    /// Records the claim of `source` that the endpoint is leaving.
    pub(crate) fn claim(&mut self, source: &LeavingSource) {
        self.is_leaving = true;
        self.is_confirmed |= *source != LeavingSource::VmList;
    }

    /// Returns whether the endpoint itself or a peer claims that the current instance is leaving.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.is_leaving && self.is_confirmed
    }

    /// Records a new instance, which the endpoint itself reported; claims about the old one are
    /// void.
    pub(crate) fn record_restart(&mut self) {
        *self = Self {
            came_back: self.came_back || self.is_leaving,
            ..Self::default()
        };
    }

    /// Retracts the VM list's claim. Returns whether the endpoint may be given requests again.
    ///
    /// Only a claim against an instance that started after an earlier leaving can be retracted. The
    /// list lags, so the claim may still mean the earlier instance; without the retraction the
    /// endpoint would get no requests until its next restart.
    pub(crate) fn retract_vm_list(&mut self) -> bool {
        let may_return = self.is_leaving && !self.is_confirmed && self.came_back;
        if may_return {
            self.is_leaving = false;
        }
        may_return
    }
}
