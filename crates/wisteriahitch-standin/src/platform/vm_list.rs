//! The platform's delayed list of VMs.

use serde::{Deserialize, Serialize};
use serde_json::json;
use wisteriahitch_types::AvailabilityZone;
use wisteriahitch_wire::platform::{VirtualMachine, VmPhase};

use super::object_table::ObjectTable;

/// Kind of the objects that represent VMs, as named in paths.
pub(crate) const VM_KIND: &str = "virtualmachines";

/// One VM of a [`VmList`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: String,
    /// IP address.
    pub address: String,
    /// Availability zone of the VM.
    pub availability_zone: AvailabilityZone,
    /// Whether the VM is running or leaving.
    pub phase: VmPhase,
}

impl VmEntry {
    /// Returns the content of the VM's object.
    fn into_spec(self) -> VirtualMachine {
        VirtualMachine {
            address: self.address,
            availability_zone: self.availability_zone,
            phase: self.phase,
        }
    }
}

/// Body of `POST /control/vms`: the complete list of VMs, visible after the configured delay.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmList {
    /// All VMs; the object of a VM that isn't listed is deleted.
    pub vms: Vec<VmEntry>,
}

impl VmList {
    /// Replaces the table's VMs by those of this list; unchanged VMs keep their version.
    pub(crate) fn apply_to(self, objects: &mut ObjectTable) {
        for existing in objects.list(VM_KIND) {
            let name = existing.metadata.name;
            if self.vms.iter().all(|vm| vm.name != name) {
                objects.delete_unconditionally(VM_KIND, &name);
            }
        }
        for vm in self.vms {
            let name = vm.name.clone();
            let spec = json!(vm.into_spec());
            let old = objects.get(VM_KIND, &name);
            if old.is_none_or(|old| old.spec != spec) {
                objects.put_unconditionally(VM_KIND, &name, spec);
            }
        }
    }
}
