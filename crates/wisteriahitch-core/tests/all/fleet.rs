//! Helpers shared by the fleet tests.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wisteriahitch_core::fleet::{
    Member, MemberAddresses, MemberState, Membership, MembershipSettings, MembershipUpdate,
};
use wisteriahitch_types::{ConfigVersion, Incarnation, TimeUs};

/// Seed of all generated runs of the fleet tests, so that failures are reproducible.
pub(crate) const SEED: u64 = 0x5eed;

/// Availability zones, assigned to the daemons round-robin.
pub(crate) const ZONES: [&str; 3] = ["colombo-a", "colombo-b", "negombo-c"];

/// Builds daemon `index` after `restart` restarts; the two numbers determine the incarnation.
pub(crate) fn member(index: u16, restart: u64) -> Member {
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    Member {
        daemon: format!("entry-{index}").parse().unwrap(),
        incarnation: incarnation(index, restart),
        update_number: 1,
        state: MemberState::Alive,
        addresses: MemberAddresses {
            caller: address(10_000 + index),
            peer: address(20_000 + index),
            operator: address(30_000 + index),
        },
        availability_zone: ZONES[usize::from(index) % ZONES.len()].parse().unwrap(),
        config_version: ConfigVersion::new(0),
        load_permille: 0,
        changed_at_us: TimeUs::ZERO,
        is_vm_leaving: false,
    }
}

pub(crate) fn incarnation(index: u16, restart: u64) -> Incarnation {
    Incarnation::new(1 + u64::from(index) + restart * 100_000)
}

/// Builds the membership of daemon `index`, which knows only the address of daemon 0.
pub(crate) fn membership(index: u16, restart: u64) -> Membership {
    let settings = MembershipSettings {
        seeds: vec![member(0, 0).addresses.peer],
        ..MembershipSettings::default()
    };
    let seed = incarnation(index, restart).get();
    Membership::new(
        settings,
        member(index, restart),
        ChaCha8Rng::seed_from_u64(seed),
    )
}

/// Builds the membership of daemon 0, which knows all daemons below `count`.
pub(crate) fn membership_of(count: u16) -> Membership {
    let mut members = membership(0, 0);
    for index in 1..count {
        let peer = member(index, 0);
        members.answer_probe(
            peer.incarnation,
            &[MembershipUpdate::of(&peer)],
            None,
            TimeUs::ZERO,
        );
    }
    members
}

/// Builds the membership of daemon `index`, which knows all daemons. `restarts` has the number of
/// restarts of each daemon.
pub(crate) fn full_membership(index: u16, restarts: &[u64]) -> Membership {
    let mut members = membership(index, restarts[usize::from(index)]);
    for (other, restart) in restarts.iter().enumerate() {
        let peer = member(other as u16, *restart);
        if peer.incarnation != members.me().incarnation {
            members.answer_probe(
                peer.incarnation,
                &[MembershipUpdate::of(&peer)],
                None,
                TimeUs::ZERO,
            );
        }
    }
    members
}
