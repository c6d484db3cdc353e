//! Other daemons, and what this one tells them.

use std::net::SocketAddr;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wisteriahitch_config::Settings;
use wisteriahitch_core::fleet::{
    EntryAddress, Member, MemberAddresses, MemberState, Membership, MembershipSettings,
};
use wisteriahitch_types::{ConfigVersion, Incarnation, TimeUs, WorkspaceId};

use super::drain::DrainState;
use crate::shared::Shared;

/// Holds who else is there and how far this daemon's draining has come.
pub(crate) struct FleetState {
    /// Members as this daemon sees them.
    pub(crate) members: Mutex<Membership>,
    /// How far draining has come.
    pub(crate) drain: DrainState,
}

impl FleetState {
    /// Starts with this daemon alone.
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let me = Member {
            daemon: settings.id.clone(),
            incarnation,
            update_number: 1,
            state: MemberState::Alive,
            addresses: MemberAddresses {
                caller: settings.listen.callers,
                peer: settings.listen.peers,
                operator: settings.listen.operators,
            },
            availability_zone: settings.availability_zone.clone(),
            config_version: ConfigVersion::new(0),
            load_permille: 0,
            changed_at_us: TimeUs::ZERO,
            is_vm_leaving: false,
        };
        let options = MembershipSettings {
            seeds: settings.peers.seeds.clone(),
            probe_interval_us: settings.peers.probe_interval_us,
            ..MembershipSettings::default()
        };
        let rng = ChaCha8Rng::seed_from_u64(rand::random());
        let members = Mutex::new(Membership::new(options, me, rng));
        Self {
            members,
            drain: DrainState::default(),
        }
    }
}

impl Shared {
    /// Returns addresses for a caller of a workspace, the best first.
    pub(crate) fn list_entries(&self, workspace: &WorkspaceId) -> Vec<EntryAddress> {
        let zone = &self.settings.availability_zone;
        self.fleet
            .members
            .lock()
            .entries(Some(zone), workspace, rand::random())
    }

    /// Returns where an incarnation can be asked, unless it is known to be gone.
    pub(crate) fn find_peer(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        let members = self.fleet.members.lock();
        let member = members.by_incarnation(incarnation)?;
        member.state.is_present().then_some(member.addresses.peer)
    }
}
