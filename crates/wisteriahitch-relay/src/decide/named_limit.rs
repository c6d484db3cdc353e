//! The rate of calls that an endpoint names as its limit.
//!
//! It counts the calls of all daemons together, and stays in force until the endpoint withdraws it
//! or it expires. Permits bound the calls that the endpoint gets ([`super::rate_limit`]).
//! `docs/design/endpoint-limits.md` gives the reasons.

use std::ops::{Deref, DerefMut};
use std::sync::LazyLock;

use wisteriahitch_types::{CallRate, DurationUs, TimeUs};

use super::rate_limit::{RateBound, RateLimit, ReservedPermits};

/// What the platform's rules allow beyond a named rate.
const NAMED_LIMIT_BOUND: RateBound = RateBound {
    rate_ratio: 1.5,
    burst_calls: 5.0,
    span_us: DurationUs::from_ms(4_000),
};

/// Minimum rate of calls to an endpoint, whatever limit it names. An endpoint that gets no call
/// can't report that its limit is over. One call in ten seconds is little compared with the calls
/// that the bound allows beyond any rate.
const MIN_CALLS_PER_S: f64 = 0.1;

/// Rate from which a limit has no effect: the peak rate of a whole site (docs/DEVELOPERS.md).
const UNBOUNDED_CALLS_PER_S: f64 = 1_100.0;

/// How much newer than the known limit a peer's report must be to raise it: the longest delay of a
/// message that isn't lost.
const RAISE_MARGIN_US: DurationUs = DurationUs::from_ms(500);

/// How long the end of a limit is sent to other daemons: several messages, some of which may be
/// lost.
const LIMIT_END_GOSSIP_US: DurationUs = DurationUs::from_ms(5_000);

/// Minimum time between two log lines about the limit of one endpoint, which may change with every
/// answer.
const MIN_LOG_INTERVAL_US: DurationUs = DurationUs::from_ms(1_000);

/// An endpoint's latest statement of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNotice {
    /// Calls a second that the endpoint accepts from all daemons together; `None` if it no longer
    /// names a limit.
    pub rate: Option<CallRate>,
    /// When the answer with the statement arrived.
    pub received_at_us: TimeUs,
}

impl LimitNotice {
    /// Returns whether this notice allows more calls than another one.
    fn allows_more(&self, other: &Self) -> bool {
        match (self.rate, other.rate) {
            (None, Some(_)) => true,
            (Some(rate), Some(other)) => rate > other,
            (_, None) => false,
        }
    }

    /// Returns whether this notice, reported by a peer, replaces the known one.
    fn supersedes(&self, known: &Self) -> bool {
        let margin_us = match self.allows_more(known) {
            true => RAISE_MARGIN_US,
            false => DurationUs::ZERO,
        };
        self.received_at_us > known.received_at_us + margin_us
    }
}

/// Result of applying a statement of an endpoint's limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitOutcome {
    /// Whether the rate differs from the previous one.
    pub is_changed: bool,
    /// Whether the rate should be logged.
    pub should_log: bool,
}

/// Limit of an endpoint that may have stated none, as hardly any of ten thousand has. It takes memory
/// from the first change on, and reads as one without a statement before.
#[derive(Clone, Debug, Default)]
pub struct StatedLimit(Option<Box<NamedLimit>>);

/// What is read of an endpoint that has stated no limit.
static NO_LIMIT: LazyLock<NamedLimit> = LazyLock::new(NamedLimit::default);

impl StatedLimit {
    /// Returns the limit, or `None` if the endpoint has stated none.
    pub(super) fn stated_mut(&mut self) -> Option<&mut NamedLimit> {
        self.0.as_deref_mut()
    }
}

impl Deref for StatedLimit {
    type Target = NamedLimit;

    fn deref(&self) -> &NamedLimit {
        self.0.as_deref().unwrap_or_else(|| &NO_LIMIT)
    }
}

impl DerefMut for StatedLimit {
    fn deref_mut(&mut self) -> &mut NamedLimit {
        self.0.get_or_insert_default()
    }
}

/// Limit of one endpoint, and the permits that this daemon uses under it.
#[derive(Clone, Debug, Default)]
pub struct NamedLimit {
    notice: Option<LimitNotice>,
    /// Permits derived from the rate of `notice`; `None` if there is no limit or it has no effect.
    limit: Option<RateLimit>,
    /// Permits that this daemon holds.
    pub permits: ReservedPermits,
    /// The rate that was logged last, and when.
    logged: Option<(Option<CallRate>, TimeUs)>,
}

impl NamedLimit {
    /// Returns the endpoint's latest statement; `None` if it has never named a limit.
    pub fn notice(&self) -> Option<LimitNotice> {
        self.notice
    }

    /// Returns the rate that the endpoint names.
    pub fn rate(&self) -> Option<CallRate> {
        self.notice.and_then(|notice| notice.rate)
    }

    /// Returns the milliseconds since the endpoint's latest statement of its limit.
    pub fn last_seen_ms_ago(&self, now: TimeUs) -> Option<u64> {
        let notice = self.notice?;
        Some(now.since(notice.received_at_us).as_ms())
    }

    /// Returns the permits that bound the endpoint's calls; `None` if there is no limit or its
    /// latest statement is `ttl_us` old.
    pub fn active_limit(&self, ttl_us: DurationUs, now: TimeUs) -> Option<&RateLimit> {
        let notice = self.notice?;
        let limit = self.limit.as_ref();
        limit.filter(|_| now.since(notice.received_at_us) < ttl_us)
    }

    /// Returns the notice to send to other daemons, if any.
    pub(super) fn notice_to_gossip(&self, ttl_us: DurationUs, now: TimeUs) -> Option<LimitNotice> {
        let notice = self.notice?;
        let gossip_for_us = match notice.rate {
            Some(_) => ttl_us,
            None => LIMIT_END_GOSSIP_US,
        };
        (now.since(notice.received_at_us) < gossip_for_us).then_some(notice)
    }

    /// Applies the limit that an answer to this daemon names; `None` if it names none.
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

    /// Applies a notice reported by a peer, if it supersedes the known one.
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

    /// Returns whether the rate should be logged now, and if so records it as logged. It should if
    /// it differs from the last logged rate and that was logged at least [`MIN_LOG_INTERVAL_US`]
    /// ago.
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

/// Derives the permits of a named rate; `None` if the rate is too high to have an effect.
fn rate_limit(rate: CallRate) -> Option<RateLimit> {
    let per_s = rate.per_s();
    (per_s < UNBOUNDED_CALLS_PER_S)
        .then(|| RateLimit::new(per_s.max(MIN_CALLS_PER_S), NAMED_LIMIT_BOUND))
}
