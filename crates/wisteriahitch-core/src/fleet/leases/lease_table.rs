//! Leases that a daemon holds or is responsible for.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use wisteriahitch_types::{Code, FenceNumber, Incarnation, TimeUs};

use super::lease::{Lease, LeaseCall};
use super::lease_settings::LeaseSettings;
use super::{LeaseCommand, LeaseEvent, LeaseGroup, LeaseHolder, LeasePhase, OrderGrant};
use crate::fleet::{Membership, Rendezvous};

/// Status of one lease, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseStatus {
    /// Group of the lease.
    pub group: LeaseGroup,
    /// State as seen by this daemon.
    pub phase: LeasePhase,
    /// Last known holder; `None` if there is none or it is unknown.
    pub holder: Option<Incarnation>,
    /// Fencing number of this daemon's last write; 0 if it has never held the lease.
    pub fence: FenceNumber,
    /// Number of granted orders that have not ended.
    pub open_orders: u32,
}

/// Acquires, renews and releases leases, and grants orders under them.
///
/// ```
/// use wisteriahitch_core::fleet::{LeaseGroup, LeaseHolder, LeaseSettings, LeaseTable};
/// use wisteriahitch_types::{Code, Incarnation, TimeUs};
///
/// let me = LeaseHolder { daemon: "entry-1".parse()?, incarnation: Incarnation::new(7) };
/// let mut leases = LeaseTable::new(me, LeaseSettings::default());
/// let group = LeaseGroup::RolloutSlot(0);
/// leases.set_groups([group.clone()]);
/// assert_eq!(leases.try_grant_order(&group, TimeUs::ZERO), Err(Code::LeaseHeld));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct LeaseTable {
    me: LeaseHolder,
    settings: LeaseSettings,
    /// Greatest number of a write so far. A lease that was forgotten is not numbered anew: an answer
    /// to one of its writes would count for a later one, and the object that an earlier write left
    /// for the effect of a later one that was lost.
    last_write_number: u64,
    /// Groups that exist.
    groups: BTreeSet<LeaseGroup>,
    /// Daemon that should hold the rollout slots, if set.
    rollout_owner: Option<Incarnation>,
    /// Leases of the existing groups, and leases of other groups that are still held, whose last
    /// orders the next holder must wait for, or that wait for an answer of the platform.
    leases: BTreeMap<LeaseGroup, Lease>,
    /// Until when orders may still be given under leases that the store has lost.
    lost_leases_until_us: TimeUs,
}

impl LeaseTable {
    /// Creates a table without leases.
    pub fn new(me: LeaseHolder, settings: LeaseSettings) -> Self {
        Self {
            me,
            settings,
            last_write_number: 0,
            groups: BTreeSet::new(),
            rollout_owner: None,
            leases: BTreeMap::new(),
            lost_leases_until_us: TimeUs::ZERO,
        }
    }

    /// Sets the groups that exist; leases held for other groups are released.
    pub fn set_groups(&mut self, groups: impl IntoIterator<Item = LeaseGroup>) {
        self.groups = groups.into_iter().collect();
        for group in &self.groups {
            self.leases.entry(group.clone()).or_insert_with(|| {
                Lease::new(self.me.clone(), self.settings, self.lost_leases_until_us)
            });
        }
        for lease in self.leases.values_mut() {
            lease.write_number = lease.write_number.max(self.last_write_number);
        }
    }

    /// Sets the daemon that should hold the rollout slots: the one that may give orders to the
    /// endpoint that is to load next. Without it the rendezvous hash decides.
    ///
    /// If the endpoints are divided among daemons, the hash may select a daemon that has nothing to
    /// load, and the rollout would stall. If daemons set different owners, they contend and one
    /// gets the lease.
    pub fn set_rollout_owner(&mut self, owner: Option<Incarnation>) {
        self.rollout_owner = owner;
    }

    /// Processes an event at time `now` and returns the actions to perform.
    pub fn handle(
        &mut self,
        event: LeaseEvent,
        now: TimeUs,
        members: &Membership,
    ) -> Vec<LeaseCommand> {
        match event {
            LeaseEvent::Tick => return self.tick(now, members),
            LeaseEvent::Read { group, object } => {
                self.update_lease(&group, |l| l.handle_read(object, now))
            }
            LeaseEvent::ReadFailed(group) => self.update_lease(&group, Lease::handle_read_failure),
            LeaseEvent::Written {
                group,
                write_number,
                object_version,
            } => self.update_lease(&group, |l| {
                l.handle_written(write_number, object_version, now)
            }),
            LeaseEvent::WriteFailed {
                group,
                write_number,
                failure,
            } => self.update_lease(&group, |l| l.handle_write_failure(write_number, failure)),
            LeaseEvent::OrderDone(group) => self.update_lease(&group, |l| l.order_done(now)),
            LeaseEvent::StoreRestored => self.handle_restored_store(now),
        }
        Vec::new()
    }

    /// Grants one order to an endpoint of the group. The caller must send it immediately and report
    /// its end by [`LeaseEvent::OrderDone`].
    ///
    /// # Errors
    ///
    /// [`Code::LeaseHeld`] if this daemon does not hold the lease, [`Code::LeaseLapsed`] if too
    /// little of the term is left or the wait for the previous holder's orders is not over.
    pub fn try_grant_order(&mut self, group: &LeaseGroup, now: TimeUs) -> Result<OrderGrant, Code> {
        let lease = self.leases.get_mut(group).ok_or(Code::LeaseHeld)?;
        lease.try_grant_order(now)
    }

    /// Returns the groups for which this daemon may give orders.
    pub fn held_groups(&self) -> impl Iterator<Item = &LeaseGroup> {
        self.leases
            .iter()
            .filter(|(_, lease)| lease.phase() == LeasePhase::Held)
            .map(|(group, _)| group)
    }

    /// Returns whether this daemon holds the lease of a group, whether it may give orders already or
    /// still waits for those of the previous holder.
    pub fn is_holder(&self, group: &LeaseGroup) -> bool {
        self.leases.get(group).is_some_and(Lease::is_owned)
    }

    /// Returns until when orders wait, or waited, for those of the previous holder of a group's lease;
    /// [`TimeUs::ZERO`] if there was nothing to wait for.
    pub fn wait_until(&self, group: &LeaseGroup) -> TimeUs {
        let lease = self.leases.get(group);
        lease.map_or(TimeUs::ZERO, |lease| lease.times.wait_until_us)
    }

    /// Returns the status of every lease, for operators and the state dump.
    pub fn status(&self) -> Vec<LeaseStatus> {
        let to_status = |(group, lease): (&LeaseGroup, &Lease)| LeaseStatus {
            group: group.clone(),
            phase: lease.phase(),
            holder: lease.holder(),
            fence: lease.fence(),
            open_orders: lease.open_orders(),
        };
        self.leases.iter().map(to_status).collect()
    }

    /// Returns the member that should hold the lease of a group according to the rendezvous hash.
    pub fn responsible(group: &LeaseGroup, members: &Membership) -> Option<Incarnation> {
        let rank = Rendezvous::new("lease", &group.to_string());
        let workers = members.workers().map(|member| member.incarnation);
        let first = rank.top(workers, 1, |incarnation| {
            incarnation.get().to_le_bytes().to_vec()
        });
        first.first().copied()
    }

    /// Gives up all leases, and makes orders wait as if each lease had been acquired from a holder that
    /// acquired it just now: the last holder is unknown.
    fn handle_restored_store(&mut self, now: TimeUs) {
        self.lost_leases_until_us = now + self.settings.term_us + self.settings.order_timeout_us;
        for lease in self.leases.values_mut() {
            lease.handle_restored_store(self.lost_leases_until_us, now);
        }
    }

    fn tick(&mut self, now: TimeUs, members: &Membership) -> Vec<LeaseCommand> {
        let mut commands = Vec::new();
        for (group, lease) in &mut self.leases {
            let is_wanted = self.groups.contains(group);
            let responsible = match group {
                LeaseGroup::RolloutSlot(_) if self.rollout_owner.is_some() => self.rollout_owner,
                _ => Self::responsible(group, members),
            };
            let is_responsible = is_wanted && responsible == Some(self.me.incarnation);
            let Some(call) = lease.tick(is_responsible, now) else {
                continue;
            };
            let group = group.clone();
            self.last_write_number = self.last_write_number.max(lease.write_number);
            commands.push(match call {
                LeaseCall::Read => LeaseCommand::Read(group),
                LeaseCall::Write { object, expected } => LeaseCommand::Write {
                    group,
                    object,
                    expected,
                },
            });
        }
        let groups = &self.groups;
        self.leases.retain(|group, lease| {
            groups.contains(group)
                || lease.is_owned()
                || lease.has_open_call()
                || !lease.is_settled(now)
        });
        commands
    }

    fn update_lease(&mut self, group: &LeaseGroup, change: impl FnOnce(&mut Lease)) {
        if let Some(lease) = self.leases.get_mut(group) {
            change(lease);
        }
    }
}
