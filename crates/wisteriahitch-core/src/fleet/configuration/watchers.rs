//! Who watches the head.

use wisteriahitch_types::{AvailabilityZone, Incarnation};

use crate::fleet::{Membership, Rendezvous};

/// Returns the daemons of a zone that watch the head.
///
/// Each waiting watch counts as a call of the platform, so only a few daemons of each zone hold
/// one; the others hear from them. Daemons with differing views name differing watchers for a
/// moment, which costs a watch more or a second of delay.
pub fn head_watchers(
    members: &Membership,
    zone: &AvailabilityZone,
    count: usize,
) -> Vec<Incarnation> {
    let in_zone = members
        .workers()
        .filter(|member| member.availability_zone == *zone)
        .map(|member| member.incarnation);
    let rank = Rendezvous::new("head-watcher", zone.as_str());
    rank.top(in_zone, count, |incarnation| {
        incarnation.get().to_le_bytes().to_vec()
    })
}

/// Returns whether this daemon watches the head.
pub(super) fn is_head_watcher(members: &Membership, count: usize) -> bool {
    let me = members.me();
    head_watchers(members, &me.availability_zone, count).contains(&me.incarnation)
}
