//! Who says that an endpoint is leaving, and of which life.

use serde::{Deserialize, Serialize};

/// Names who says that an endpoint is leaving.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingSource {
    /// The platform's list of VMs.
    VmList,
    /// The endpoint's own report.
    OwnReport,
    /// Another daemon, with the life of the endpoint that it speaks of, if it knows one.
    Peer {
        /// Life that is leaving.
        life: Option<String>,
    },
}

/// Remembers in which life an endpoint was said to be leaving.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct LeavingClaims {
    /// Whether any source holds now.
    pub(crate) is_leaving: bool,
    /// Whether a source other than the VM list says so of the present life.
    is_confirmed: bool,
    /// Whether the endpoint came back by a new life after it had left.
    came_back: bool,
}

impl LeavingClaims {
    /// Records that `source` says so.
    pub(crate) fn claim(&mut self, source: &LeavingSource) {
        self.is_leaving = true;
        self.is_confirmed |= *source != LeavingSource::VmList;
    }

    /// Returns whether the endpoint itself or a peer says so of the present life.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.is_leaving && self.is_confirmed
    }

    /// Records a new life, told by the endpoint itself.
    pub(crate) fn record_restart(&mut self) {
        *self = Self {
            came_back: self.came_back || self.is_leaving,
            ..Self::default()
        };
    }

    /// Takes back what the VM list said, and returns whether the endpoint may work again.
    ///
    /// Only a claim against a life that began after an earlier leaving can be taken back: such a
    /// claim may be the lagging list still speaking of the life before, and without this the
    /// endpoint would stay out until it starts once more.
    pub(crate) fn retract_vm_list(&mut self) -> bool {
        let may_return = self.is_leaving && !self.is_confirmed && self.came_back;
        if may_return {
            self.is_leaving = false;
        }
        may_return
    }
}
