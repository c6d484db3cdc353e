//! Chooses the daemons that open connections for one that can't.
//!
//! Load pattern: a whole availability zone is partitioned from the endpoints, and all of its daemons
//! look for another one that isn't. If they tried the daemons of their own zone first, each would be
//! turned away as often as the zone has daemons. If all chose by the same order, one daemon would
//! carry the calls of the whole zone.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;

use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{DurationUs, TimeUs};

use super::member_rows::EntryPoint;

/// Time for which a daemon that couldn't open a connection isn't asked again.
const UNABLE_RETRY_US: DurationUs = DurationUs::from_ms(1_000);

/// Time for which a daemon that doesn't know this one as a member isn't asked again: that of a few
/// gossip messages.
const UNKNOWN_RETRY_US: DurationUs = DurationUs::from_ms(300);

/// Maximum number of daemons that are asked for one connection.
const MAX_FORWARDERS: usize = 3;

/// Why a daemon hasn't opened a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// It can't connect to endpoints either, has no capacity left, or didn't answer.
    Unable,
    /// It doesn't know this daemon as a member of the fleet yet.
    Unknown,
}

/// Daemons of one zone.
#[derive(Debug, Default)]
struct ZoneCandidates {
    /// Number of daemons that refused lately.
    refused: usize,
    /// The daemon with the highest hash score among the others.
    best: Option<(u64, Ipv4Addr)>,
}

/// Daemons that were asked to open connections, and what came of it.
#[derive(Debug, Default)]
pub struct Forwarders {
    /// Until when daemons aren't asked again.
    excluded_until_us: HashMap<Ipv4Addr, TimeUs>,
    /// The daemon that opened the last connection.
    last_used: Option<Ipv4Addr>,
}

impl Forwarders {
    /// Returns the daemons to ask for a connection, in order: the one that opened the last one, then
    /// the best of each zone.
    ///
    /// Zones in which the fewest daemons have refused lately come first, and among these the
    /// daemon's own. A hash of both addresses ranks the daemons of a zone, so that daemons that are
    /// partitioned together choose different ones.
    pub fn candidates(
        &mut self,
        me: Ipv4Addr,
        zone: &str,
        members: &[EntryPoint],
        now: TimeUs,
    ) -> Vec<Ipv4Addr> {
        self.excluded_until_us.retain(|_, until| *until > now);
        let rank = Rendezvous::new("forwarder", &me.to_string());
        let score = |ip: Ipv4Addr| (rank.score(&ip.octets()), ip);
        let mut zones: BTreeMap<&str, ZoneCandidates> = BTreeMap::new();
        let mut last_used = None;
        for member in members.iter().filter(|member| member.ip != me) {
            let candidates = zones.entry(&member.zone).or_default();
            if self.excluded_until_us.contains_key(&member.ip) {
                candidates.refused += 1;
                continue;
            }
            candidates.best = candidates.best.max(Some(score(member.ip)));
            last_used = last_used.or(self.last_used.filter(|ip| *ip == member.ip));
        }
        let mut best: Vec<_> = zones
            .iter()
            .filter_map(|(name, candidates)| {
                let (score, ip) = candidates.best?;
                let is_other_zone = *name != zone;
                Some((candidates.refused, is_other_zone, Reverse(score), ip))
            })
            .collect();
        best.sort_unstable();
        let best = best.into_iter().map(|(_, _, _, ip)| ip);
        let best = best.filter(|ip| Some(*ip) != last_used);
        last_used
            .into_iter()
            .chain(best)
            .take(MAX_FORWARDERS)
            .collect()
    }

    /// Records that a daemon has opened a connection.
    pub fn record_opened(&mut self, forwarder: Ipv4Addr) {
        self.last_used = Some(forwarder);
    }

    /// Records that a daemon couldn't open a connection, or didn't answer.
    pub fn record_refused(&mut self, forwarder: Ipv4Addr, reason: RefusalReason, now: TimeUs) {
        let retry_us = match reason {
            RefusalReason::Unable => UNABLE_RETRY_US,
            RefusalReason::Unknown => UNKNOWN_RETRY_US,
        };
        self.excluded_until_us.insert(forwarder, now + retry_us);
        if self.last_used == Some(forwarder) {
            self.last_used = None;
        }
    }
}
