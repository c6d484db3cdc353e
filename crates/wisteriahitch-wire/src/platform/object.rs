//! Objects stored by the platform.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wisteriahitch_types::AvailabilityZone;

/// Version of an object: the platform numbers all its writes, and an object has the number of its
/// last write.
///
/// Zero is lower than the version of any object.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct ObjectVersion(u64);

impl ObjectVersion {
    /// Builds a version from a plain number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ObjectVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Kinds of objects that wisteriahitch stores or reads.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ObjectKind {
    /// Reference to the accepted configuration.
    ConfigHead,
    /// Immutable section of a configuration; its name is derived from its content.
    ConfigSection,
    /// Group of claims on idempotency keys.
    Claim,
    /// Lease: the right to give orders to a group of endpoints.
    Lease,
    /// Status that a daemon reports for operators.
    DaemonStatus,
    /// VM in the platform's list, which lags behind the actual VMs.
    VirtualMachine,
}

impl ObjectKind {
    /// Returns the name of the kind in URL paths.
    pub const fn path_name(self) -> &'static str {
        match self {
            ObjectKind::ConfigHead => "configheads",
            ObjectKind::ConfigSection => "configsections",
            ObjectKind::Claim => "claims",
            ObjectKind::Lease => "leases",
            ObjectKind::DaemonStatus => "daemonstatuses",
            ObjectKind::VirtualMachine => "virtualmachines",
        }
    }

    /// Returns the name of the kind in the field `kind` of an object.
    pub const fn type_name(self) -> &'static str {
        match self {
            ObjectKind::ConfigHead => "ConfigHead",
            ObjectKind::ConfigSection => "ConfigSection",
            ObjectKind::Claim => "Claim",
            ObjectKind::Lease => "Lease",
            ObjectKind::DaemonStatus => "DaemonStatus",
            ObjectKind::VirtualMachine => "VirtualMachine",
        }
    }
}

/// An object stored by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Name, unique within its kind.
    pub name: String,
    /// Version after the last write.
    pub version: ObjectVersion,
    /// Content.
    pub spec: Value,
}

/// All objects of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectList {
    /// Version of the platform's store at which the listing was made.
    pub version: ObjectVersion,
    /// Objects, sorted by name.
    pub items: Vec<Object>,
}

/// Whether a VM is about to be removed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmPhase {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// Content of a [`ObjectKind::VirtualMachine`] object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VirtualMachine {
    /// IP address.
    pub address: String,
    /// Availability zone of the VM.
    pub availability_zone: AvailabilityZone,
    /// Whether the VM is about to be removed.
    pub phase: VmPhase,
}
