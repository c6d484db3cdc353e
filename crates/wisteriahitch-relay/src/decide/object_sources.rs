//! From whom a daemon fetches newer objects of one kind.
//!
//! Load pattern: a configuration of a megabyte changes while callers take most of a daemon's link, and
//! several hubs, and the store, have it. Two transfers of the same object over one link delay each
//! other, and a transfer that is given up has filled the link for nothing. So a daemon fetches
//! from one source at a time and keeps the transfer for as long as it makes progress. After that it
//! fetches the newest objects. Frequent changes therefore never prevent a transfer from completing
//! (`docs/design/large-objects.md`).

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{DurationUs, TimeUs};
use wisteriahitch_wire::object_store::Revision;

/// Time for which an offer counts that isn't repeated: a few messages.
const OFFER_TTL_US: DurationUs = DurationUs::from_ms(1_000);

/// Time for which a peer isn't asked again after a fetch from it failed.
const FAILED_SOURCE_BACKOFF_US: DurationUs = DurationUs::from_ms(1_000);

/// Time for which a peer that failed isn't asked again although its messages have arrived since and no other
/// peer has newer objects: a message over a narrow link. A fetch may fail at once.
pub const HEARD_SOURCE_BACKOFF_US: DurationUs = DurationUs::from_ms(200);

/// Time for which a peer that failed doesn't replace an answer that is arriving from the store.
/// Otherwise a daemon could alternate between the two without completing either transfer.
const UNRELIABLE_SOURCE_TIME_US: DurationUs = DurationUs::from_ms(10_000);

/// Minimum time that the rest of the store's answer must take for a peer to be asked instead. A peer
/// sends less, but its answer takes a round trip more.
const MIN_GAIN_US: DurationUs = DurationUs::from_ms(300);

/// What a peer offers.
#[derive(Clone, Copy, Debug)]
struct Offer {
    revision: Revision,
    link_mbps: u16,
    since_us: TimeUs,
    heard_at_us: TimeUs,
}

impl Offer {
    fn is_fresh(&self, now: TimeUs) -> bool {
        now.since(self.heard_at_us) < OFFER_TTL_US
    }
}

/// Peers that have newer objects of one kind than this daemon.
#[derive(Debug, Default)]
pub struct ObjectSources {
    offers: BTreeMap<Ipv4Addr, Offer>,
    failed_at_us: BTreeMap<Ipv4Addr, TimeUs>,
}

impl ObjectSources {
    /// Records that a peer with a link of this rate has objects up to a newer revision. Returns whether
    /// no other peer was known to have newer ones.
    pub fn record(
        &mut self,
        ip: Ipv4Addr,
        revision: Revision,
        link_mbps: u16,
        now: TimeUs,
    ) -> bool {
        self.offers.retain(|_, offer| offer.is_fresh(now));
        let is_first = self.offers.is_empty();
        let since_us = self.offers.get(&ip).map_or(now, |offer| offer.since_us);
        let offer = Offer {
            revision,
            link_mbps,
            since_us,
            heard_at_us: now,
        };
        self.offers.insert(ip, offer);
        is_first
    }

    /// Records that the objects up to a revision are known, and forgets offers of nothing newer.
    pub fn discard_up_to(&mut self, known: Revision) {
        self.offers.retain(|_, offer| offer.revision > known);
    }

    /// Records that a fetch from a peer failed.
    pub fn record_failure(&mut self, ip: Ipv4Addr, now: TimeUs) {
        self.failed_at_us
            .retain(|_, at| now.since(*at) < UNRELIABLE_SOURCE_TIME_US);
        self.failed_at_us.insert(ip, now);
    }

    /// Returns since when a peer has had newer objects; `None` if none has.
    pub fn newer_since(&self, now: TimeUs) -> Option<TimeUs> {
        let fresh = self.offers.values().filter(|offer| offer.is_fresh(now));
        fresh.map(|offer| offer.since_us).min()
    }

    /// Returns the peer to fetch from: one of those with the newest objects, the more likely the wider
    /// its link, and another one for each daemon.
    pub fn best(&self, me: Ipv4Addr, now: TimeUs) -> Option<Ipv4Addr> {
        self.best_after(FAILED_SOURCE_BACKOFF_US, me, now)
    }

    /// Returns the peer to fetch from in place of an answer of the store that arrives slowly.
    pub fn best_in_place_of_store(&self, me: Ipv4Addr, now: TimeUs) -> Option<Ipv4Addr> {
        self.best_after(UNRELIABLE_SOURCE_TIME_US, me, now)
    }

    /// Returns the peer that a new fetch begins with. If all have failed, it is one whose messages arrived
    /// since: a daemon that the store refuses learns from peers alone, and each of them may have been
    /// suspended for a moment.
    pub fn best_to_begin(&self, me: Ipv4Addr, now: TimeUs) -> Option<Ipv4Addr> {
        let is_heard_again = |offer: &Offer, failed_at: TimeUs| {
            offer.heard_at_us > failed_at && now.since(failed_at) >= HEARD_SOURCE_BACKOFF_US
        };
        let best = self.best(me, now);
        best.or_else(|| self.best_if(is_heard_again, me, now))
    }

    /// Returns the best of the peers that haven't failed for `backoff_us`.
    fn best_after(&self, backoff_us: DurationUs, me: Ipv4Addr, now: TimeUs) -> Option<Ipv4Addr> {
        self.best_if(|_, at| now.since(at) >= backoff_us, me, now)
    }

    /// Returns the best of the peers that haven't failed, or that `may_ask_again` accepts with the time
    /// at which they failed.
    fn best_if(
        &self,
        may_ask_again: impl Fn(&Offer, TimeUs) -> bool,
        me: Ipv4Addr,
        now: TimeUs,
    ) -> Option<Ipv4Addr> {
        let is_usable = |ip: &Ipv4Addr, offer: &Offer| {
            let failed_at = self.failed_at_us.get(ip);
            offer.is_fresh(now) && failed_at.is_none_or(|at| may_ask_again(offer, *at))
        };
        let usable = || {
            let offers = self.offers.iter();
            offers.filter(|(ip, offer)| is_usable(ip, offer))
        };
        let newest = usable().map(|(_, offer)| offer.revision).max()?;
        let rank = Rendezvous::new("object-source", &me.to_string());
        let score = |ip: &Ipv4Addr, offer: &Offer| {
            rank.weighted_score(&ip.octets(), f64::from(offer.link_mbps.max(1)))
        };
        usable()
            .filter(|(_, offer)| offer.revision == newest)
            .min_by(|(a, offer_a), (b, offer_b)| score(a, offer_a).total_cmp(&score(b, offer_b)))
            .map(|(ip, _)| *ip)
    }
}

/// How far the store's answer has arrived.
#[derive(Clone, Copy, Debug)]
pub struct StoreAnswer {
    /// Bytes that have arrived.
    pub received_bytes: u64,
    /// Bytes that are still to arrive; `None` if unknown.
    pub missing_bytes: Option<u64>,
    /// Time since its first byte.
    pub elapsed_us: DurationUs,
}

impl StoreAnswer {
    /// Returns whether its rest takes so long at the present rate that a peer should be asked instead.
    pub fn is_slow(&self) -> bool {
        let left_us = match self.missing_bytes {
            Some(missing) if self.received_bytes > 0 => {
                let elapsed_us = u128::from(self.elapsed_us.get());
                u128::from(missing) * elapsed_us / u128::from(self.received_bytes)
            }
            // As long again as it has taken so far.
            _ => u128::from(self.elapsed_us.get()),
        };
        left_us > u128::from(MIN_GAIN_US.get())
    }
}
