//! Selection of the daemons that watch the head.

use wisteriahitch_types::{AvailabilityZone, Incarnation};

use crate::fleet::{Membership, Rendezvous};

/// Returns the daemons of a zone that watch the head in the store.
///
/// Each open watch counts as a call of the platform, so only a few daemons of each zone watch, and
/// the others get new versions from them. While membership views differ, daemons select different
/// watchers, which costs an extra watch or delays a version by a second.
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
