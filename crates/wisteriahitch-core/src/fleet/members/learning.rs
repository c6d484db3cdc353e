//! Applies membership updates, the VM list and this daemon's own changes to the member table.

use wisteriahitch_types::{ConfigVersion, Incarnation, TimeUs};

use super::{ListedVm, Member, MemberState, Membership, MembershipCommand, MembershipUpdate};

impl Membership {
    /// Requests the next page of the member list, or ends the sync after a page that was not full.
    /// An answer with at most one update carried no page and changes nothing.
    pub(super) fn advance_sync(&mut self, updates: &[MembershipUpdate]) {
        if self.sync_after.is_none() {
            return;
        }
        let is_page = updates.len() > 1;
        if !is_page {
            return;
        }
        let is_full = updates.len() >= self.settings.max_sync_page_updates;
        let last = updates
            .iter()
            .skip(1)
            .map(|update| update.incarnation)
            .max();
        self.sync_after = if is_full { last } else { None };
    }

    pub(super) fn apply_updates(
        &mut self,
        updates: &[MembershipUpdate],
        sender: Option<Incarnation>,
        now: TimeUs,
        commands: &mut Vec<MembershipCommand>,
    ) {
        for update in updates {
            if update.incarnation == self.me {
                self.refute(update);
            } else {
                self.apply_update(update, sender == Some(update.incarnation), now, commands);
            }
        }
    }

    /// Refutes a wrong update about this daemon by publishing a higher update number.
    pub(super) fn refute(&mut self, update: &MembershipUpdate) {
        let (update_number, state) = (self.me().update_number, self.me().state);
        if !update.supersedes(update_number, state) {
            return;
        }
        self.update_me(|me| me.update_number = update.update_number + 1);
        self.update_queue.push(self.me);
    }

    pub(super) fn apply_update(
        &mut self,
        update: &MembershipUpdate,
        is_direct: bool,
        now: TimeUs,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let Some(member) = self.members.get_mut(&update.incarnation) else {
            self.add_member(update, now, commands);
            return;
        };
        if is_direct && update.update_number >= member.update_number {
            member.config_version = update.config_version.max(member.config_version);
            member.load_permille = update.load_permille;
        }
        if !update.supersedes(member.update_number, member.state) {
            return;
        }
        member.update_number = update.update_number;
        member.config_version = update.config_version.max(member.config_version);
        member.load_permille = update.load_permille;
        if let Some(addresses) = update.addresses {
            member.addresses = addresses;
        }
        let has_changed = member.state != update.state;
        self.update_queue.push(update.incarnation);
        if has_changed {
            self.set_state(update.incarnation, update.state, now, commands);
        }
    }

    pub(super) fn add_member(
        &mut self,
        update: &MembershipUpdate,
        now: TimeUs,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let (Some(addresses), Some(zone)) = (update.addresses, update.availability_zone.clone())
        else {
            // The member left or died before it was known here, and the update carries no addresses
            // to store.
            return;
        };
        let is_vm_leaving = self.vm_addresses.get(&addresses.peer.ip()) == Some(&true);
        let member = Member {
            daemon: update.daemon.clone(),
            incarnation: update.incarnation,
            update_number: update.update_number,
            state: update.state,
            addresses,
            availability_zone: zone,
            config_version: update.config_version,
            load_permille: update.load_permille.min(1_000),
            changed_at_us: now,
            is_vm_leaving,
        };
        self.members.insert(update.incarnation, member);
        self.update_queue.push(update.incarnation);
        commands.push(MembershipCommand::Changed {
            incarnation: update.incarnation,
            state: update.state,
        });
    }

    pub(super) fn set_state(
        &mut self,
        incarnation: Incarnation,
        state: MemberState,
        now: TimeUs,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let Some(member) = self.members.get_mut(&incarnation) else {
            return;
        };
        member.state = state;
        member.changed_at_us = now;
        self.update_queue.push(incarnation);
        self.pending_indirect_probes.remove(&incarnation);
        commands.push(MembershipCommand::Changed { incarnation, state });
    }

    pub(super) fn apply_vm_list(&mut self, vms: &[ListedVm]) {
        self.vm_addresses = vms.iter().map(|vm| (vm.address, vm.is_leaving)).collect();
        for member in self.members.values_mut() {
            let is_leaving = self.vm_addresses.get(&member.addresses.peer.ip());
            member.is_vm_leaving = is_leaving == Some(&true);
        }
    }

    pub(super) fn record_load(&mut self, permille: u32, now: TimeUs) {
        let permille = permille.min(1_000);
        let has_moved = permille.abs_diff(self.published_load_permille)
            >= self.settings.min_load_change_permille;
        let is_due =
            now.since(self.load_published_at_us) >= self.settings.min_load_update_interval_us;
        self.update_me(|me| me.load_permille = permille);
        if has_moved && is_due {
            self.published_load_permille = permille;
            self.load_published_at_us = now;
            self.update_me(|me| me.update_number += 1);
            self.update_queue.push(self.me);
        }
    }

    /// Records the configuration version that this daemon has in force.
    ///
    /// The first version is published as a separate update, because peers list this daemon for
    /// callers only after they receive it. Later versions are carried only by this daemon's own
    /// messages.
    pub(super) fn record_config_version(&mut self, version: ConfigVersion) {
        let is_first = !self.me().is_ready();
        self.update_me(|me| me.config_version = version);
        if is_first {
            self.update_me(|me| me.update_number += 1);
            self.update_queue.push(self.me);
        }
    }

    pub(super) fn announce_state(
        &mut self,
        state: MemberState,
        now: TimeUs,
        commands: &mut Vec<MembershipCommand>,
    ) {
        if self.me().state >= state {
            return;
        }
        self.update_me(|me| me.update_number += 1);
        self.set_state(self.me, state, now, commands);
        if state == MemberState::Left {
            self.announce_departure(commands);
        }
    }

    pub(super) fn update_me(&mut self, change: impl FnOnce(&mut Member)) {
        if let Some(me) = self.members.get_mut(&self.me) {
            change(me);
        }
    }
}
