//! Objects as the platform keeps them.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wisteriahitch_types::AvailabilityZone;

/// Counts the platform's writes; an object carries the number of its last one.
///
/// Zero stands before every write.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct ObjectVersion(u64);

impl ObjectVersion {
    /// Wraps a plain number.
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

/// Names the kinds of objects that wisteriahitch keeps or reads.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ObjectKind {
    /// The head that names the accepted configuration.
    ConfigHead,
    /// An immutable section of a configuration, named by its content.
    ConfigSection,
    /// A group of claims on idempotency keys.
    Claim,
    /// The right to give orders to a group of endpoints.
    Lease,
    /// What a daemon reports for operators.
    DaemonStatus,
    /// A VM in the platform's lagging list.
    VirtualMachine,
}

impl ObjectKind {
    /// Returns the kind's name in a path.
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

    /// Returns the kind's name in an object.
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

/// Holds one object of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Name, unique within the kind.
    pub name: String,
    /// Version of the last write.
    pub version: ObjectVersion,
    /// Content.
    pub spec: Value,
}

/// Holds a listing of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectList {
    /// Version of the store when the listing was made.
    pub version: ObjectVersion,
    /// Objects in the order of their names.
    pub items: Vec<Object>,
}

/// Says whether a VM stays.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmPhase {
    /// The VM runs.
    Live,
    /// The VM will go away soon.
    Leaving,
}

/// Holds the content of a VM's object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VirtualMachine {
    /// IP address.
    pub address: String,
    /// Availability zone the VM is in.
    pub availability_zone: AvailabilityZone,
    /// Whether the VM stays.
    pub phase: VmPhase,
}
