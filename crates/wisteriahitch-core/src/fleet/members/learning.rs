//! Applies membership updates, the VM list and this daemon's own changes to the member table.

use wisteriahitch_types::{ConfigVersion, Incarnation, TimeUs};

use super::{Member, MemberState, Membership, MembershipCommand, News, VmNotice};

impl Membership {
    /// Requests the next page of the member list, or ends the sync after a page that was not full.
    /// An answer with at most one update carried no page and changes nothing.
    pub(super) fn advance_sync(&mut self, news: &[News]) {
        if self.sync_after.is_none() {
            return;
        }
        let is_page = news.len() > 1;
        if !is_page {
            return;
        }
        let is_full = news.len() >= self.settings.sync_page;
        let last = news.iter().skip(1).map(|item| item.incarnation).max();
        self.sync_after = if is_full { last } else { None };
    }

    pub(super) fn take_all(
        &mut self,
        news: &[News],
        teller: Option<Incarnation>,
        now: TimeUs,
        commands: &mut Vec<MembershipCommand>,
    ) {
        for item in news {
            if item.incarnation == self.me {
                self.refute(item);
            } else {
                self.take(item, teller == Some(item.incarnation), now, commands);
            }
        }
    }

    /// Refutes a wrong update about this daemon by publishing a higher update number.
    pub(super) fn refute(&mut self, item: &News) {
        let (news_number, state) = (self.me().news_number, self.me().state);
        if !item.is_newer_than(news_number, state) {
            return;
        }
        self.update_me(|me| me.news_number = item.news_number + 1);
        self.queue.push(self.me);
    }

    pub(super) fn take(
        &mut self,
        item: &News,
        is_own_word: bool,
        now: TimeUs,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let Some(member) = self.members.get_mut(&item.incarnation) else {
            self.add(item, now, commands);
            return;
        };
        if is_own_word && item.news_number >= member.news_number {
            member.config_version = item.config_version.max(member.config_version);
            member.load_permille = item.load_permille;
        }
        if !item.is_newer_than(member.news_number, member.state) {
            return;
        }
        member.news_number = item.news_number;
        member.config_version = item.config_version.max(member.config_version);
        member.load_permille = item.load_permille;
        if let Some(addresses) = item.addresses {
            member.addresses = addresses;
        }
        let has_changed = member.state != item.state;
        self.queue.push(item.incarnation);
        if has_changed {
            self.set_state(item.incarnation, item.state, now, commands);
        }
    }

    pub(super) fn add(&mut self, item: &News, now: TimeUs, commands: &mut Vec<MembershipCommand>) {
        let (Some(addresses), Some(zone)) = (item.addresses, item.availability_zone.clone()) else {
            // The member left or died before it was known here, and the update carries no addresses
            // to store.
            return;
        };
        let is_vm_leaving = self.vm_addresses.get(&addresses.peer.ip()) == Some(&true);
        let member = Member {
            daemon: item.daemon.clone(),
            incarnation: item.incarnation,
            news_number: item.news_number,
            state: item.state,
            addresses,
            availability_zone: zone,
            config_version: item.config_version,
            load_permille: item.load_permille.min(1_000),
            changed_at_us: now,
            is_vm_leaving,
        };
        self.members.insert(item.incarnation, member);
        self.queue.push(item.incarnation);
        commands.push(MembershipCommand::Changed {
            incarnation: item.incarnation,
            state: item.state,
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
        self.queue.push(incarnation);
        self.indirect.remove(&incarnation);
        commands.push(MembershipCommand::Changed { incarnation, state });
    }

    pub(super) fn take_vm_list(&mut self, vms: &[VmNotice]) {
        self.vm_addresses = vms.iter().map(|vm| (vm.address, vm.is_leaving)).collect();
        for member in self.members.values_mut() {
            let is_leaving = self.vm_addresses.get(&member.addresses.peer.ip());
            member.is_vm_leaving = is_leaving == Some(&true);
        }
    }

    pub(super) fn take_load(&mut self, permille: u32, now: TimeUs) {
        let permille = permille.min(1_000);
        let has_moved =
            permille.abs_diff(self.told_load_permille) >= self.settings.load_step_permille;
        let is_due = now.since(self.told_load_at_us) >= self.settings.load_news_us;
        self.update_me(|me| me.load_permille = permille);
        if has_moved && is_due {
            self.told_load_permille = permille;
            self.told_load_at_us = now;
            self.update_me(|me| me.news_number += 1);
            self.queue.push(self.me);
        }
    }

    /// Records the configuration version that this daemon has in force.
    ///
    /// The first version is published as a separate update, because peers list this daemon for
    /// callers only after they receive it. Later versions are carried only by this daemon's own
    /// messages.
    pub(super) fn take_config(&mut self, version: ConfigVersion) {
        let is_first = !self.me().is_ready();
        self.update_me(|me| me.config_version = version);
        if is_first {
            self.update_me(|me| me.news_number += 1);
            self.queue.push(self.me);
        }
    }

    pub(super) fn announce(
        &mut self,
        state: MemberState,
        now: TimeUs,
        commands: &mut Vec<MembershipCommand>,
    ) {
        if self.me().state >= state {
            return;
        }
        self.update_me(|me| me.news_number += 1);
        self.set_state(self.me, state, now, commands);
        if state == MemberState::Left {
            self.say_goodbye(commands);
        }
    }

    pub(super) fn update_me(&mut self, change: impl FnOnce(&mut Member)) {
        if let Some(me) = self.members.get_mut(&self.me) {
            change(me);
        }
    }
}
