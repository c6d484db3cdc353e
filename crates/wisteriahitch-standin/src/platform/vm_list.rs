//! The platform's lagging list of VMs.

use serde::{Deserialize, Serialize};
use serde_json::json;
use wisteriahitch_types::AvailabilityZone;
use wisteriahitch_wire::platform::{VirtualMachine, VmPhase};

use super::object_table::ObjectTable;

/// Kind of the VMs' objects by its name in a path.
pub(crate) const VM_KIND: &str = "virtualmachines";

/// One VM of the lagging list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: String,
    /// IP address.
    pub address: String,
    /// Availability zone it is in.
    pub availability_zone: AvailabilityZone,
    /// Whether it stays.
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

/// The whole list of VMs that shows up after the lag.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmList {
    /// VMs; one that isn't named is gone.
    pub vms: Vec<VmEntry>,
}

impl VmList {
    /// Makes the table's VMs those of this list; what is the same keeps its version.
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
