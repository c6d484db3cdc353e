//! The rate of calls that an endpoint names for itself.
//!
//! It counts the calls of all daemons together, and holds for as long as the endpoint says so. Permits bound what the
//! endpoint gets ([`super::rate_limit`]). `docs/design/endpoint-limits.md` gives the reasons.

use wisteriahitch_types::{CallRate, DurationUs, TimeUs};

use super::rate_limit::{RateBound, RateLimit, ReservedPermits};

/// What the platform's rules allow beyond a named rate.
const NAMED_LIMIT_BOUND: RateBound = RateBound {
    rate_ratio: 1.5,
    burst_calls: 5.0,
    span_us: DurationUs::from_ms(4_000),
};

/// Least rate at which an endpoint gets calls, whatever it names. One that gets none can't say that its limit is over;
/// one call in ten seconds is a small part of the calls that the bound allows beyond any rate.
const MIN_CALLS_PER_S: f64 = 0.1;

/// Rate from which a limit bounds nothing: the peak of a whole site (docs/DEVELOPERS.md).
const UNBOUNDED_CALLS_PER_S: f64 = 1_100.0;

/// Time by which what a peer tells must be newer to allow more calls than what is known: the longest delay of a message
/// that isn't lost.
const RAISE_MARGIN_US: DurationUs = DurationUs::from_ms(500);

/// How long others are told that a limit is over: several messages, some of which are lost.
const LIMIT_END_GOSSIP_US: DurationUs = DurationUs::from_ms(5_000);

/// Least time between two log lines about one endpoint's limit, which may change with each answer.
const MIN_LOG_INTERVAL_US: DurationUs = DurationUs::from_ms(1_000);

/// What an endpoint said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNotice {
    /// Calls that it takes from all daemons together; none where it names no limit any more.
    pub rate: Option<CallRate>,
    /// When its answer came.
    pub received_at_us: TimeUs,
}

impl LimitNotice {
    /// Returns whether it allows more calls than another one.
    fn allows_more(&self, other: &Self) -> bool {
        match (self.rate, other.rate) {
            (None, Some(_)) => true,
            (Some(rate), Some(other)) => rate > other,
            (_, None) => false,
        }
    }

    /// Returns whether it replaces what is known, where a peer tells of it.
    fn supersedes(&self, known: &Self) -> bool {
        let margin_us = match self.allows_more(known) {
            true => RAISE_MARGIN_US,
            false => DurationUs::ZERO,
        };
        self.received_at_us > known.received_at_us + margin_us
    }
}

/// What a word of an endpoint's limit calls for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitOutcome {
    /// Whether the rate is another one than before.
    pub is_changed: bool,
    /// Whether the rate is to be logged.
    pub should_log: bool,
}

/// What one daemon knows and uses of the limit of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct NamedLimit {
    notice: Option<LimitNotice>,
    /// Permits at the rate of the notice.
    limit: Option<RateLimit>,
    /// Permits that this daemon holds.
    pub permits: ReservedPermits,
    /// The rate that was logged last, and when.
    logged: Option<(Option<CallRate>, TimeUs)>,
}

impl NamedLimit {
    /// Returns what the endpoint last said, if it has ever named a limit.
    pub fn notice(&self) -> Option<LimitNotice> {
        self.notice
    }

    /// Returns the rate that it names.
    pub fn rate(&self) -> Option<CallRate> {
        self.notice.and_then(|notice| notice.rate)
    }

    /// Returns how long ago the endpoint last said something of its limit.
    pub fn last_seen_ms_ago(&self, now: TimeUs) -> Option<u64> {
        let notice = self.notice?;
        Some(now.since(notice.received_at_us).as_ms())
    }

    /// Returns the permits that it bounds calls to, unless nobody has heard of it for `life_us`.
    pub fn active_limit(&self, ttl_us: DurationUs, now: TimeUs) -> Option<&RateLimit> {
        let notice = self.notice?;
        let limit = self.limit.as_ref();
        limit.filter(|_| now.since(notice.received_at_us) < ttl_us)
    }

    /// Returns what other daemons are to be told.
    pub(super) fn notice_to_gossip(&self, ttl_us: DurationUs, now: TimeUs) -> Option<LimitNotice> {
        let notice = self.notice?;
        let gossip_for_us = match notice.rate {
            Some(_) => ttl_us,
            None => LIMIT_END_GOSSIP_US,
        };
        (now.since(notice.received_at_us) < gossip_for_us).then_some(notice)
    }

    /// Takes over what an answer to this daemon says.
    pub(super) fn record_answer(&mut self, rate: Option<CallRate>, now: TimeUs) -> LimitOutcome {
        if rate.is_none() && self.notice.is_none() {
            return LimitOutcome::default();
        }
        let notice = LimitNotice {
            rate,
            received_at_us: now,
        };
        self.adopt(notice, now)
    }

    /// Takes over what a peer tells, where it is newer.
    pub(super) fn apply_peer_notice(&mut self, notice: LimitNotice, now: TimeUs) -> LimitOutcome {
        let is_newer = match &self.notice {
            Some(known) => notice.supersedes(known),
            None => notice.rate.is_some(),
        };
        match is_newer {
            true => self.adopt(notice, now),
            false => LimitOutcome::default(),
        }
    }

    fn adopt(&mut self, notice: LimitNotice, now: TimeUs) -> LimitOutcome {
        let is_changed = self.rate() != notice.rate;
        self.notice = Some(notice);
        self.limit = notice.rate.and_then(rate_limit);
        LimitOutcome {
            is_changed,
            should_log: self.mark_logged_if_due(now),
        }
    }

    /// Returns whether the rate is to be logged now: it isn't the one that was logged last, and that was a while ago.
    fn mark_logged_if_due(&mut self, now: TimeUs) -> bool {
        let rate = self.rate();
        let is_due = match self.logged {
            Some((logged, at)) => logged != rate && now.since(at) >= MIN_LOG_INTERVAL_US,
            None => true,
        };
        if is_due {
            self.logged = Some((rate, now));
        }
        is_due
    }
}

/// Derives the permits of a named rate; none where it bounds nothing.
fn rate_limit(rate: CallRate) -> Option<RateLimit> {
    let per_s = rate.per_s();
    (per_s < UNBOUNDED_CALLS_PER_S)
        .then(|| RateLimit::new(per_s.max(MIN_CALLS_PER_S), NAMED_LIMIT_BOUND))
}
