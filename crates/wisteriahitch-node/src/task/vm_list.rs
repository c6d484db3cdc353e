//! Reads the platform's list of VMs, which lags behind their state.

use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use wisteriahitch_core::fleet::{ListedVm, MembershipEvent};
use wisteriahitch_core::route::LeavingSource;
use wisteriahitch_wire::platform::{
    Object, ObjectKind, ObjectVersion, PlatformErrorKind, VirtualMachine, VmPhase,
};

use crate::shared::Shared;

/// Interval between two reads of the list; each is one platform call.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Malformed entries that were logged, so that each is logged once.
type MalformedEntries = HashSet<(String, ObjectVersion)>;

/// Reads the list until the process stops.
pub(crate) async fn run_vm_list(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(READ_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut malformed = MalformedEntries::new();
    loop {
        tokio::select! {
            () = shared.end.cancelled() => return,
            _ = ticks.tick() => read(&shared, &mut malformed).await,
        }
    }
}

async fn read(shared: &Arc<Shared>, malformed: &mut MalformedEntries) {
    let listing = match shared
        .clients
        .platform
        .list(ObjectKind::VirtualMachine)
        .await
    {
        Ok(listing) => listing,
        Err(error) if error.kind() == PlatformErrorKind::Malformed => {
            log::warn!("the VM list doesn't parse: {error}");
            return;
        }
        Err(error) => {
            log::debug!("the VM list can't be read: {error}");
            return;
        }
    };
    let vms = parse(listing.items, malformed);
    let notices = vms.iter().filter_map(|vm| {
        let address: IpAddr = vm.address.parse().ok()?;
        Some(ListedVm {
            address,
            is_leaving: vm.phase == VmPhase::Leaving,
        })
    });
    shared.handle_membership_event(MembershipEvent::VmList(notices.collect()));
    apply_endpoint_phases(shared, &vms);
}

/// Parses the entries, and logs each malformed one once.
///
/// A malformed entry that was silently dropped could be the one that says that a VM is leaving. New
/// work would go there, and nothing would show why.
fn parse(items: Vec<Object>, malformed: &mut MalformedEntries) -> Vec<VirtualMachine> {
    let mut vms = Vec::new();
    let mut found = MalformedEntries::new();
    for object in items {
        let Object {
            name,
            version,
            spec,
        } = object;
        match serde_json::from_value(spec) {
            Ok(vm) => vms.push(vm),
            Err(error) => {
                let entry = (name, version);
                if !malformed.contains(&entry) {
                    log::warn!("VM list: the entry {} doesn't parse: {error}", entry.0);
                }
                found.insert(entry);
            }
        }
    }
    *malformed = found;
    vms
}

/// Updates the endpoint table with the endpoints whose VMs are leaving.
///
/// An entry identifies a VM by its IP address. If several endpoints share one, as in tests on one
/// machine, the entry may contain the port too.
fn apply_endpoint_phases(shared: &Shared, vms: &[VirtualMachine]) {
    let Some(in_force) = shared.in_force.load_full() else {
        return;
    };
    let phases: HashMap<&str, VmPhase> = vms
        .iter()
        .map(|vm| (vm.address.as_str(), vm.phase))
        .collect();
    let now = shared.clock.now();
    let services = in_force.configuration.services.values();
    for endpoint in services.flat_map(|service| &service.endpoints) {
        let ip = endpoint.address.ip().to_string();
        let socket = endpoint.address.to_string();
        let phase = phases
            .get(socket.as_str())
            .or_else(|| phases.get(ip.as_str()));
        let mut router = shared.router.lock();
        match phase {
            Some(VmPhase::Leaving) => {
                router
                    .endpoints
                    .mark_leaving(&endpoint.id, &LeavingSource::VmList, now);
            }
            Some(VmPhase::Live) => router.endpoints.retract_vm_list_leaving(&endpoint.id, now),
            None => {}
        }
    }
}
