//! Requests of a replica at its start and when peers are silent.

use std::collections::BTreeSet;

use wisteriahitch_types::{Incarnation, TimeUs};

use super::config_table::StartupSync;
use super::phase::PhaseEvent;
use super::watchers::is_head_watcher;
use super::{ConfigCommand, ConfigReplica, ConfigTable};
use crate::fleet::{Membership, Rendezvous};

impl ConfigReplica {
    pub(super) fn restart(&mut self, now: TimeUs, members: &Membership) {
        self.table = ConfigTable::default();
        self.is_watching = false;
        self.last_contact_at_us = now;
        self.dispatch(PhaseEvent::Restart);
        self.begin_startup_sync(now, members);
    }

    /// Requests the head from the store and from peers of all zones, before any version is put in
    /// force.
    pub(super) fn begin_startup_sync(&mut self, now: TimeUs, members: &Membership) {
        self.last_request_at_us = now;
        self.commands.push(ConfigCommand::ReadHead);
        self.table.startup_sync = Some(StartupSync {
            started_at_us: now,
            queried_peers: BTreeSet::new(),
        });
        self.query_discovered_peers(members);
    }

    /// Requests the head from peers discovered since the last call; a starting daemon knows none at
    /// first.
    pub(super) fn query_discovered_peers(&mut self, members: &Membership) {
        let Some(startup_sync) = &mut self.table.startup_sync else {
            return;
        };
        let rank = Rendezvous::new("config-start", &members.me().incarnation.to_string());
        let peers = members.peers().map(|peer| peer.incarnation);
        let ranked = rank.top(peers, usize::MAX, |incarnation| {
            incarnation.get().to_le_bytes().to_vec()
        });
        let remaining = self.settings.max_startup_peers - startup_sync.queried_peers.len();
        let discovered = ranked.into_iter();
        let discovered = discovered.filter(|peer| !startup_sync.queried_peers.contains(peer));
        let discovered: Vec<Incarnation> = discovered.take(remaining).collect();
        startup_sync.queried_peers.extend(&discovered);
        for peer in discovered {
            self.pull_head(peer);
        }
    }

    pub(super) fn tick(&mut self, now: TimeUs, members: &Membership) {
        self.query_discovered_peers(members);
        self.finish_startup_sync(now, members);
        self.update_head_watch(members);
        if now.since(self.last_request_at_us) < self.settings.retry_interval_us {
            return;
        }
        let is_idle = self.table.startup_sync.is_none() && self.table.candidate.is_none();
        let is_empty = self.table.stored_head.is_none();
        let is_start_due = now.since(self.last_request_at_us) >= self.settings.startup_timeout_us;
        let is_silent = now.since(self.last_contact_at_us) >= self.settings.silence_timeout_us;
        if is_idle && is_empty && is_start_due {
            self.begin_startup_sync(now, members);
        } else if is_idle && is_silent {
            // The watchers that should push new versions may be cut off themselves. Without this
            // read the daemon would keep old rules in force until a peer contacts it.
            self.last_request_at_us = now;
            self.last_contact_at_us = now;
            self.commands.push(ConfigCommand::ReadHead);
        } else {
            self.pull_from_newest_peer(now, members);
        }
    }

    pub(super) fn pull_from_newest_peer(&mut self, now: TimeUs, members: &Membership) {
        let known = self.table.known_version();
        let newest = members
            .peers()
            .filter(|peer| peer.config_version > known)
            .max_by_key(|peer| peer.config_version);
        if let Some(peer) = newest {
            self.last_request_at_us = now;
            self.pull_head(peer.incarnation);
        }
    }

    pub(super) fn update_head_watch(&mut self, members: &Membership) {
        let should_watch = is_head_watcher(members, self.settings.watchers_per_zone);
        if should_watch != self.is_watching {
            self.is_watching = should_watch;
            self.commands.push(ConfigCommand::WatchHead(should_watch));
        }
    }

    /// Ends the startup sync without the store once peers had time to be discovered and to answer.
    /// Taking the first answer would put an older version in force if a peer with a higher version
    /// is not known yet or its answer was lost.
    pub(super) fn finish_startup_sync(&mut self, now: TimeUs, members: &Membership) {
        let Some(startup_sync) = &self.table.startup_sync else {
            return;
        };
        let waited_us = now.since(startup_sync.started_at_us);
        let is_peer_ahead = members.highest_peer_config() > Some(self.table.known_version());
        let timeout_us = match is_peer_ahead {
            true => self.settings.startup_timeout_us + self.settings.startup_ahead_timeout_us,
            false => self.settings.startup_timeout_us,
        };
        if waited_us >= timeout_us {
            self.table.startup_sync = None;
        }
    }
}
