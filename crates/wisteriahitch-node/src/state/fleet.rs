//! This daemon's view of the other daemons.

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

/// Membership of the site and this daemon's draining.
pub(crate) struct FleetState {
    /// Members as this daemon sees them.
    pub(crate) members: Mutex<Membership>,
    /// Progress of draining.
    pub(crate) drain: DrainState,
}

impl FleetState {
    /// Creates a view that contains only this daemon.
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
    /// Returns the daemons' addresses for a caller of `workspace`, best first.
    pub(crate) fn list_entries(&self, workspace: &WorkspaceId) -> Vec<EntryAddress> {
        let zone = &self.settings.availability_zone;
        self.fleet
            .members
            .lock()
            .entries(Some(zone), workspace, rand::random())
    }

    /// Returns the peer address of an incarnation, or `None` if it is unknown, dead or has left.
    pub(crate) fn find_peer(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        let members = self.fleet.members.lock();
        let member = members.by_incarnation(incarnation)?;
        member.state.is_present().then_some(member.addresses.peer)
    }
}
