//! Failure detection: selection of probe targets and handling of probe results.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::seq::SliceRandom;
use wisteriahitch_types::{DurationUs, Incarnation, TimeUs};

use super::{Member, MemberState, Membership, MembershipCommand};

/// Number of rounds between two probes of an address that belongs to no present member: a seed, a
/// VM of the platform's list, or a dead or departed member. These probes reconnect the fleet after
/// a partition.
const ROUNDS_PER_REDISCOVERY_PROBE: u64 = 3;
/// Number of such addresses probed in each round while no peer is known.
const REDISCOVERY_PROBES_WHEN_ALONE: usize = 3;
/// Number of rounds between two syncs of the whole member list. A daemon that started together with
/// many others received incomplete pages, and would otherwise miss some members for a long time.
const ROUNDS_PER_SYNC: u64 = 60;
/// Number of rounds between two syncs in the first [`ROUNDS_PER_SYNC`] rounds after the start.
const ROUNDS_PER_STARTUP_SYNC: u64 = 6;

impl Membership {
    pub(super) fn tick(&mut self, now: TimeUs, commands: &mut Vec<MembershipCommand>) {
        self.expire_members(now, commands);
        if now < self.next_round_at_us {
            return;
        }
        self.next_round_at_us = now + self.settings.probe_interval_us;
        self.rounds += 1;
        self.round_update_bytes = 0;
        self.is_sync_served = false;
        self.restart_sync();
        for _ in 0..self.settings.probes_per_round {
            self.probe_next(commands);
        }
        let is_alone = self.peers().next().is_none();
        let rediscovery_probes = match is_alone {
            true => REDISCOVERY_PROBES_WHEN_ALONE,
            false => usize::from(self.rounds.is_multiple_of(ROUNDS_PER_REDISCOVERY_PROBE)),
        };
        for _ in 0..rediscovery_probes {
            self.probe_rediscovery_address(commands);
        }
    }

    pub(super) fn restart_sync(&mut self) {
        let is_starting = self.rounds < ROUNDS_PER_SYNC;
        let period = if is_starting {
            ROUNDS_PER_STARTUP_SYNC
        } else {
            ROUNDS_PER_SYNC
        };
        let offset = self.me.get() % period;
        // A sync in progress continues: restarted each time, it would never get past the first
        // pages.
        if self.rounds % period == offset && self.sync_after.is_none() {
            self.sync_after = Some(Incarnation::new(0));
        }
    }

    /// Probes the next member of a shuffled order, so that each member is probed within a bounded
    /// time.
    pub(super) fn probe_next(&mut self, commands: &mut Vec<MembershipCommand>) {
        if self.probe_order.is_empty() {
            self.probe_order = self.peers().map(|member| member.incarnation).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        let Some(incarnation) = self.probe_order.pop() else {
            return;
        };
        let Some(member) = self.members.get(&incarnation) else {
            return;
        };
        if !member.state.is_present() {
            return;
        }
        let address = member.addresses.peer;
        self.push_probe(address, Some(incarnation), commands);
    }

    pub(super) fn probe_rediscovery_address(&mut self, commands: &mut Vec<MembershipCommand>) {
        let addresses = self.rediscovery_addresses();
        if addresses.is_empty() {
            return;
        }
        let address = addresses[self.next_rediscovery_index % addresses.len()];
        self.next_rediscovery_index = self.next_rediscovery_index.wrapping_add(1);
        self.push_probe(address, None, commands);
    }

    /// Returns addresses where a daemon may run but that belong to no present member, seeds first.
    pub(super) fn rediscovery_addresses(&self) -> Vec<SocketAddr> {
        let known: BTreeSet<SocketAddr> = self.present().map(|m| m.addresses.peer).collect();
        let seeds = self.settings.seeds.iter().copied();
        let departed = self
            .members()
            .filter(|member| !member.state.is_present())
            .map(|member| member.addresses.peer);
        let port = self.settings.peer_port;
        let vms = self
            .vm_addresses
            .iter()
            .filter(|(_, is_leaving)| !**is_leaving)
            .filter_map(|(ip, _)| port.map(|port| SocketAddr::new(*ip, port)));
        let mut seen = BTreeSet::new();
        seeds
            .chain(departed)
            .chain(vms)
            .filter(|address| !known.contains(address) && seen.insert(*address))
            .collect()
    }

    pub(super) fn push_probe(
        &mut self,
        address: SocketAddr,
        meant_for: Option<Incarnation>,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let updates = self.select_updates(meant_for);
        commands.push(MembershipCommand::Probe {
            address,
            meant_for,
            updates,
            sync_after: self.sync_after,
        });
    }

    /// Handles an answer from an address, possibly by another incarnation than the probe was
    /// addressed to.
    pub(super) fn handle_probe_answer(
        &mut self,
        address: SocketAddr,
        meant_for: Option<Incarnation>,
        answered_by: Incarnation,
        now: TimeUs,
        commands: &mut Vec<MembershipCommand>,
    ) {
        self.pending_indirect_probes.remove(&answered_by);
        // A member believed to be dead still answers, for example after a partition. It cannot
        // refute an update that it has not received and would stay unlisted forever, so it is sent
        // one immediately.
        if meant_for.is_none() && self.is_suspect_or_dead(answered_by) {
            self.push_probe(address, Some(answered_by), commands);
        }
        let Some(expected) = meant_for.filter(|expected| *expected != answered_by) else {
            return;
        };
        // The address now belongs to another process. Without this step the old incarnation would
        // stay listed until its suspicion times out, and peers would ask in vain for its tickets.
        let is_replaced = self
            .members
            .get(&expected)
            .is_some_and(|member| member.addresses.peer == address && member.state.is_present());
        if is_replaced {
            self.set_state(expected, MemberState::Dead, now, commands);
        }
    }

    pub(super) fn handle_probe_failure(
        &mut self,
        meant_for: Option<Incarnation>,
        now: TimeUs,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let Some(target) = meant_for.and_then(|incarnation| self.members.get(&incarnation)) else {
            return;
        };
        let can_suspect = matches!(target.state, MemberState::Alive | MemberState::Draining);
        let (target, target_address) = (target.incarnation, target.addresses.peer);
        if !can_suspect || self.pending_indirect_probes.contains_key(&target) {
            return;
        }
        let mut helpers: Vec<(SocketAddr, Incarnation)> = self
            .peers()
            .filter(|m| m.incarnation != target && m.state == MemberState::Alive)
            .map(|m| (m.addresses.peer, m.incarnation))
            .collect();
        helpers.shuffle(&mut self.rng);
        helpers.truncate(self.settings.indirect_probes);
        if helpers.is_empty() {
            self.set_state(target, MemberState::Suspect, now, commands);
            return;
        }
        self.pending_indirect_probes.insert(target, helpers.len());
        for (helper, helper_incarnation) in helpers {
            commands.push(MembershipCommand::IndirectProbe {
                helper,
                helper_incarnation,
                target,
                target_address,
            });
        }
    }

    pub(super) fn handle_indirect_answer(
        &mut self,
        target: Incarnation,
        is_reached: bool,
        now: TimeUs,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let Some(pending) = self.pending_indirect_probes.get_mut(&target) else {
            return;
        };
        *pending -= 1;
        if is_reached {
            self.pending_indirect_probes.remove(&target);
        } else if *pending == 0 {
            self.set_state(target, MemberState::Suspect, now, commands);
        }
    }

    /// Marks suspects as dead that did not refute in time, and removes expired dead and departed
    /// members.
    pub(super) fn expire_members(&mut self, now: TimeUs, commands: &mut Vec<MembershipCommand>) {
        let suspicion_timeout_us = self.suspicion_timeout_us();
        let tombstone_ttl_us = self.settings.tombstone_ttl_us;
        let age = |member: &Member| now.since(member.changed_at_us);
        let dead: Vec<Incarnation> = self
            .members()
            .filter(|m| m.state == MemberState::Suspect && age(m) >= suspicion_timeout_us)
            .map(|m| m.incarnation)
            .collect();
        let expired: Vec<Incarnation> = self
            .members()
            .filter(|m| !m.state.is_present() && age(m) >= tombstone_ttl_us)
            .filter(|m| m.incarnation != self.me)
            .map(|m| m.incarnation)
            .collect();
        for incarnation in dead {
            self.set_state(incarnation, MemberState::Dead, now, commands);
        }
        for incarnation in expired {
            self.members.remove(&incarnation);
            self.update_queue.remove(incarnation);
        }
    }

    pub(super) fn suspicion_timeout_us(&self) -> DurationUs {
        let size = self.present().count() as u64 + 1;
        let steps = u64::from(size.ilog2()).max(1);
        DurationUs::new(
            self.settings
                .suspicion_timeout_us
                .get()
                .saturating_mul(steps),
        )
    }

    /// Sends the departure to a few members immediately, since no further round may follow.
    pub(super) fn announce_departure(&mut self, commands: &mut Vec<MembershipCommand>) {
        for _ in 0..=self.settings.indirect_probes {
            self.probe_next(commands);
        }
    }
}
