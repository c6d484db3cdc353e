//! Requests of a replica at its start and when peers are silent.

use std::collections::BTreeSet;

use wisteriahitch_types::{Incarnation, TimeUs};

use super::config_table::Gathering;
use super::phase::PhaseEvent;
use super::watchers::is_head_watcher;
use super::{ConfigCommand, ConfigReplica, ConfigTable};
use crate::fleet::{Membership, Rendezvous};

impl ConfigReplica {
    pub(super) fn restart(&mut self, now: TimeUs, members: &Membership) {
        self.table = ConfigTable::default();
        self.is_watching = false;
        self.heard_at_us = now;
        self.dispatch(PhaseEvent::Restart);
        self.gather(now, members);
    }

    /// Requests the head from the store and from peers of all zones, before any version is put in
    /// force.
    pub(super) fn gather(&mut self, now: TimeUs, members: &Membership) {
        self.asked_at_us = now;
        self.commands.push(ConfigCommand::ReadHead);
        self.table.gathering = Some(Gathering {
            since_us: now,
            asked_peers: BTreeSet::new(),
        });
        self.ask_found_peers(members);
    }

    /// Requests the head from peers discovered since the last call; a starting daemon knows none at
    /// first.
    pub(super) fn ask_found_peers(&mut self, members: &Membership) {
        let Some(gathering) = &mut self.table.gathering else {
            return;
        };
        let rank = Rendezvous::new("config-start", &members.me().incarnation.to_string());
        let peers = members.peers().map(|peer| peer.incarnation);
        let ranked = rank.top(peers, usize::MAX, |incarnation| {
            incarnation.get().to_le_bytes().to_vec()
        });
        let room = self.settings.start_peers - gathering.asked_peers.len();
        let found = ranked.into_iter();
        let found = found.filter(|peer| !gathering.asked_peers.contains(peer));
        let found: Vec<Incarnation> = found.take(room).collect();
        gathering.asked_peers.extend(&found);
        for peer in found {
            self.pull_head(peer);
        }
    }

    pub(super) fn tick(&mut self, now: TimeUs, members: &Membership) {
        self.ask_found_peers(members);
        self.end_gathering(now, members);
        self.follow_watch(members);
        if now.since(self.asked_at_us) < self.settings.retry_us {
            return;
        }
        let is_idle = self.table.gathering.is_none() && self.table.candidate.is_none();
        let is_empty = self.table.held.is_none();
        let is_start_due = now.since(self.asked_at_us) >= self.settings.start_wait_us;
        let is_silent = now.since(self.heard_at_us) >= self.settings.silence_us;
        if is_idle && is_empty && is_start_due {
            self.gather(now, members);
        } else if is_idle && is_silent {
            // The watchers that should push new versions may be cut off themselves. Without this
            // read the daemon would keep old rules in force until a peer contacts it.
            self.asked_at_us = now;
            self.heard_at_us = now;
            self.commands.push(ConfigCommand::ReadHead);
        } else {
            self.pull_from_ahead(now, members);
        }
    }

    pub(super) fn pull_from_ahead(&mut self, now: TimeUs, members: &Membership) {
        let known = self.table.known_version();
        let ahead = members
            .peers()
            .filter(|peer| peer.config_version > known)
            .max_by_key(|peer| peer.config_version);
        if let Some(peer) = ahead {
            self.asked_at_us = now;
            self.pull_head(peer.incarnation);
        }
    }

    pub(super) fn follow_watch(&mut self, members: &Membership) {
        let should_watch = is_head_watcher(members, self.settings.watchers_per_zone);
        if should_watch != self.is_watching {
            self.is_watching = should_watch;
            self.commands.push(ConfigCommand::WatchHead(should_watch));
        }
    }

    /// Ends the startup sync without the store once peers had time to be discovered and to answer.
    /// Taking the first answer would put an older version in force if a peer with a higher version
    /// is not known yet or its answer was lost.
    pub(super) fn end_gathering(&mut self, now: TimeUs, members: &Membership) {
        let Some(gathering) = &self.table.gathering else {
            return;
        };
        let waited_us = now.since(gathering.since_us);
        let is_peer_ahead = members.highest_peer_config() > Some(self.table.known_version());
        let wait_us = match is_peer_ahead {
            true => self.settings.start_wait_us + self.settings.start_ahead_wait_us,
            false => self.settings.start_wait_us,
        };
        if waited_us >= wait_us {
            self.table.gathering = None;
        }
    }
}
