//! Retries that daemons lend to each other.
//!
//! Load pattern: a thousand daemons receive a call every few seconds each, and some calls fail. The
//! share of a daemon is one retry, or none, and it earns the next one in a quarter of a minute. A
//! call whose daemon has none left would be refused although hundreds of others have theirs saved
//! up.
//!
//! The total of the saved retries must never exceed the slack. A donor therefore subtracts what it
//! lends before its answer leaves, and its place stays taken for [`PLACE_HOLD_US`], so that the donor
//! doesn't earn another retry for it while the lent one may still be used. The borrower uses a lent
//! retry at once or not at all, at most [`GRANT_TTL_US`] after it asked, which is earlier than the
//! donor lent it. Only intervals of one process are compared, never the clocks of two. A question
//! or an answer that is lost costs a retry and never doubles one.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use rand::Rng;
use rand::seq::SliceRandom;
use wisteriahitch_core::route::RetryBudget;
use wisteriahitch_types::{DurationUs, TimeUs};

/// Time after a question within which a retry that it brought may be used. Daemons answer from
/// memory; the rest is for the way to another region and back.
const GRANT_TTL_US: DurationUs = DurationUs::from_ms(500);

/// Time for which the place of a lent retry stays taken at the donor. It is longer than
/// [`GRANT_TTL_US`] by more than the rates of two clocks differ.
const PLACE_HOLD_US: DurationUs = DurationUs::from_ms(600);

/// Maximum number of daemons that are asked for one failed call. If a fifth of the daemons has a retry
/// to lend, hardly any search is in vain.
const MAX_ASKED: usize = 64;

/// Time after which no further daemon is asked for the same call, whose caller waits meanwhile.
const SEARCH_TIME_US: DurationUs = DurationUs::from_ms(250);

/// Maximum number of searches of a daemon for one service at a time.
const MAX_SEARCHES: u32 = 4;

/// Time without searches for a service after one in vain. If all endpoints of a service fail, nobody
/// has a retry left, and questions about it would only add load.
const SEARCH_PAUSE_US: DurationUs = DurationUs::from_ms(5_000);

/// A daemon's retry budget for one service, from which other daemons may borrow.
#[derive(Clone, Debug)]
pub struct LendingBudget {
    budget: RetryBudget,
    max_saved: u32,
    /// When the places of lent retries become free again, in ascending order.
    held_until_us: VecDeque<TimeUs>,
    searches: u32,
    next_search_at_us: TimeUs,
}

impl LendingBudget {
    /// Creates an empty budget that earns `ratio` retries per request and saves up to `max_saved`.
    pub fn new(ratio: f64, max_saved: u32) -> Self {
        Self {
            budget: RetryBudget::new(ratio).with_max_saved(f64::from(max_saved)),
            max_saved,
            held_until_us: VecDeque::new(),
            searches: 0,
            next_search_at_us: TimeUs::ZERO,
        }
    }

    /// Changes how many retries may be saved up; excess ones are dropped.
    pub fn set_max_saved(&mut self, max_saved: u32, now: TimeUs) {
        self.max_saved = max_saved;
        self.free_places(now);
    }

    /// Fills the budget, except for the places of lent retries.
    pub fn fill(&mut self, now: TimeUs) {
        self.free_places(now);
        self.budget.fill();
    }

    /// Counts a caller's request, which earns a fraction of a retry.
    pub fn record_request(&mut self, now: TimeUs) {
        self.free_places(now);
        self.budget.record_request();
    }

    /// Takes one retry for a call of this daemon if one is saved up.
    pub fn try_take(&mut self) -> bool {
        self.budget.try_acquire()
    }

    /// Returns whether a retry is saved up.
    pub fn has_retry(&self) -> bool {
        self.budget.has_retry()
    }

    /// Returns the number of saved retries, which may have a fraction.
    pub fn saved(&self) -> f64 {
        self.budget.available()
    }

    /// Lends one retry to another daemon, and returns whether there was one to lend.
    ///
    /// Half of the share, rounded down, is never lent: a daemon whose calls all fail can't take
    /// from the others what their own calls will need.
    pub fn lend(&mut self, now: TimeUs) -> bool {
        self.free_places(now);
        let kept = f64::from(self.max_saved / 2);
        if self.saved() < kept + 1.0 || !self.budget.try_acquire() {
            return false;
        }
        self.held_until_us.push_back(now + PLACE_HOLD_US);
        self.free_places(now);
        true
    }

    /// Returns whether a search for a retry of another daemon may begin: not if several are under way,
    /// or one was in vain a moment ago.
    pub fn may_search(&self, now: TimeUs) -> bool {
        self.searches < MAX_SEARCHES && now >= self.next_search_at_us
    }

    /// Begins a search if that is allowed now. Each search that begins must be ended.
    pub fn begin_search(&mut self, now: TimeUs) -> bool {
        let may_begin = self.may_search(now);
        self.searches += u32::from(may_begin);
        may_begin
    }

    /// Ends a search. `is_in_vain` is whether no daemon had a retry to lend.
    pub fn end_search(&mut self, is_in_vain: bool, now: TimeUs) {
        self.searches = self.searches.saturating_sub(1);
        if is_in_vain {
            self.next_search_at_us = now + SEARCH_PAUSE_US;
        }
    }

    /// Frees the places of retries that can no longer be used, and adapts the budget.
    fn free_places(&mut self, now: TimeUs) {
        while self.held_until_us.front().is_some_and(|at| *at <= now) {
            self.held_until_us.pop_front();
        }
        let held = u32::try_from(self.held_until_us.len()).unwrap_or(u32::MAX);
        let free = self.max_saved.saturating_sub(held);
        self.budget.set_max_saved(f64::from(free));
    }
}

/// A search for a retry that another daemon can lend.
#[derive(Clone, Debug)]
pub struct RetrySearch {
    /// Daemons that haven't been asked; the last one is next.
    unasked: Vec<Ipv4Addr>,
    ends_at_us: TimeUs,
}

impl RetrySearch {
    /// Creates a search among the other daemons, in random order, so that those that search at the
    /// same time ask different ones.
    pub fn new(mut others: Vec<Ipv4Addr>, now: TimeUs, rng: &mut impl Rng) -> Self {
        let (asked, _) = others.partial_shuffle(rng, MAX_ASKED);
        Self {
            unasked: asked.to_vec(),
            ends_at_us: now + SEARCH_TIME_US,
        }
    }

    /// Returns the daemon to ask next, or `None` if the search has ended.
    pub fn next_donor(&mut self, now: TimeUs) -> Option<Ipv4Addr> {
        (now < self.ends_at_us).then(|| self.unasked.pop())?
    }

    /// Returns whether each daemon was asked that the search chose.
    pub fn has_asked_all(&self) -> bool {
        self.unasked.is_empty()
    }

    /// Returns the time that is left of the search.
    pub fn time_left(&self, now: TimeUs) -> DurationUs {
        self.ends_at_us.since(now)
    }
}

/// Returns whether a retry may be used now that another daemon has lent on a question of `asked_at`.
pub fn is_usable(asked_at: TimeUs, now: TimeUs) -> bool {
    now.since(asked_at) <= GRANT_TTL_US
}
