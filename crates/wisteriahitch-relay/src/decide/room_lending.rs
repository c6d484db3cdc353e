//! Room at brittle endpoints, which one daemon for each endpoint lends to calls.
//!
//! Load pattern: 76 daemons in front of three endpoints with six slots each. A fixed part of the
//! slots for each daemon leaves most daemons with none, and gossiped loads are too old to show whether a
//! slot is free: all would fill the same one. So the daemon that ranks first for an
//! endpoint counts the calls that run there, and each call asks it.
//!
//! Among daemons that ask for more than there is, those that have had fewer loans lately come first.
//!
//! The count may be wrong: calls that were given up still run, memory is used up before the slots
//! are, and for a moment two daemons may take themselves for the first. Refused calls are reported
//! back with their loans. They lower the number of calls that are let through, which grows again while
//! none is refused. When half of the refusals that the endpoint bears in a second are used up, it gets
//! no call until they are a second old. `docs/design/brittle-endpoints.md` gives the reasons.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::Ipv4Addr;

use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{DurationUs, EndpointId, TimeUs};

use super::backlog::Load;

/// Time in which a brittle endpoint counts the calls that it refuses.
const REFUSAL_WINDOW_US: DurationUs = DurationUs::from_ms(1_000);

/// Divisor of the refusals that an endpoint bears: the calls of one lender may use up one part of that
/// many, since another daemon may lend at the same time.
const REFUSAL_DIVISOR: u32 = 2;

/// Further time without refusals after which an endpoint that has refused a call gets one more call at a
/// time than before.
const RECOVERY_INTERVAL_US: DurationUs = DurationUs::from_ms(250);

/// Time over which the minimum of the work without a loan is taken: a few messages of each daemon.
const UNLENT_WINDOW_US: DurationUs = DurationUs::from_ms(500);

/// How long a call that was given up counts as running. Most endpoints stop such a call once its
/// connection closes.
const ABANDONED_LOAN_TTL_US: DurationUs = DurationUs::from_ms(1_000);

/// Time constant with which past loans of a borrower lose weight.
const LOAN_DECAY_US: DurationUs = DurationUs::from_ms(1_000);

/// How many more loans than another one a borrower must have had to wait for it.
const MIN_LOANS_AHEAD: f64 = 0.5;

/// How long room is kept for a borrower that had none and has had fewer loans than others: the time
/// in which one of several such borrowers asks again.
const PRECEDENCE_US: DurationUs = DurationUs::from_ms(20);

/// Maximum duration of a loan whose end isn't reported.
const MAX_LOAN_TTL_US: DurationUs = DurationUs::from_ms(30_000);

/// Maximum number of endpoints for which loans are kept; those without loans are dropped first.
const MAX_ENDPOINTS: usize = 2_048;

/// Returns the daemon that lends room at an endpoint.
pub fn room_lender(
    endpoint: &EndpointId,
    members: impl IntoIterator<Item = Ipv4Addr>,
) -> Option<Ipv4Addr> {
    let rank = Rendezvous::new("room", endpoint.as_str());
    members
        .into_iter()
        .max_by_key(|ip| (rank.score(&ip.octets()), *ip))
}

/// Identifies a loan by the daemon that borrows and a number of its choice.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LoanId {
    /// The daemon that borrows.
    pub borrower: Ipv4Addr,
    /// Number that the borrower hasn't used before.
    pub number: u64,
}

/// A question for room at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomRequest {
    /// The loan, if there is room.
    pub loan: LoanId,
    /// Tokens that the call is expected to occupy in the endpoint's memory.
    pub memory_tokens: u64,
    /// Time that the call has left.
    pub time_us: DurationUs,
}

/// What an endpoint can take, as the lender knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointRoom {
    /// Calls that run at a time.
    pub slots: u32,
    /// Memory in tokens; `None` if memory doesn't limit the endpoint's calls.
    pub memory_tokens: Option<u64>,
    /// Calls that it may refuse in a second without failing.
    pub max_refusals_per_s: u32,
    /// Work at the endpoint that all daemons have reported, some hundred milliseconds old. It
    /// includes calls that run without a loan, or with one of another daemon.
    pub reported: Load,
}

/// How a call with a loan has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoanEnd {
    /// The call has ended at the endpoint, or never reached it.
    Finished,
    /// The endpoint refused the call.
    Refused,
    /// The call was given up, and may still run.
    Abandoned,
}

impl LoanEnd {
    /// Returns the word for messages and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            LoanEnd::Finished => "finished",
            LoanEnd::Refused => "refused",
            LoanEnd::Abandoned => "abandoned",
        }
    }

    /// Parses what [`LoanEnd::label`] returns.
    pub fn from_label(label: &str) -> Option<Self> {
        let all = [LoanEnd::Finished, LoanEnd::Refused, LoanEnd::Abandoned];
        all.into_iter().find(|end| end.label() == label)
    }
}

#[derive(Clone, Copy, Debug)]
struct Loan {
    memory_tokens: u64,
    /// Number of loans at the endpoint, with this one, when it was lent.
    position: usize,
    expires_at_us: TimeUs,
}

/// Limit below the endpoint's slots, after it has refused a call.
#[derive(Clone, Copy, Debug)]
struct LoweredLimit {
    calls: usize,
    since_us: TimeUs,
}

impl LoweredLimit {
    fn calls(&self, now: TimeUs) -> usize {
        // It grows once the refusal counts no longer.
        let growing_us = now.since(self.since_us + REFUSAL_WINDOW_US);
        let intervals = growing_us.get() / RECOVERY_INTERVAL_US.get();
        self.calls
            .saturating_add(usize::try_from(intervals).unwrap_or(usize::MAX))
    }
}

/// Work at an endpoint that has no loan: the minimum, over the current and the previous
/// [`UNLENT_WINDOW_US`], of the reported work minus the lent work.
///
/// Daemons report their work at different times, so that the sum of their reports fluctuates around
/// the lent work. Only calls without a loan keep it above that permanently.
#[derive(Clone, Copy, Debug, Default)]
struct UnlentWork {
    window_since_us: TimeUs,
    in_window: Load,
    before: Load,
}

impl UnlentWork {
    fn record(&mut self, excess: Load, now: TimeUs) {
        let elapsed_us = now.since(self.window_since_us);
        if elapsed_us >= UNLENT_WINDOW_US {
            let is_next = elapsed_us < UNLENT_WINDOW_US + UNLENT_WINDOW_US;
            self.before = if is_next { self.in_window } else { excess };
            self.in_window = excess;
            self.window_since_us = now;
        }
        self.in_window = least(self.in_window, excess);
    }

    fn load(&self) -> Load {
        least(self.in_window, self.before)
    }
}

fn least(one: Load, other: Load) -> Load {
    Load {
        running: one.running.min(other.running),
        unread_tokens: one.unread_tokens.min(other.unread_tokens),
        memory_tokens: one.memory_tokens.min(other.memory_tokens),
    }
}

/// What one borrower has had at an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct BorrowerUse {
    asked_at_us: TimeUs,
    /// When it was last refused, if it has had no loan since.
    refused_at_us: Option<TimeUs>,
    /// Its loans as of `asked_at_us`; older ones count less.
    loans: f64,
}

impl BorrowerUse {
    fn loans(&self, now: TimeUs) -> f64 {
        let age = now.since(self.asked_at_us).as_secs_f64();
        self.loans * (-age / LOAN_DECAY_US.as_secs_f64()).exp()
    }

    fn is_waiting(&self, now: TimeUs) -> bool {
        self.refused_at_us
            .is_some_and(|at| now.since(at) < PRECEDENCE_US)
    }

    fn record(&mut self, is_lent: bool, now: TimeUs) {
        self.loans = self.loans(now) + f64::from(u8::from(is_lent));
        self.refused_at_us = (!is_lent).then_some(now);
        self.asked_at_us = now;
    }
}

/// Loans at one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointLoans {
    loans: BTreeMap<LoanId, Loan>,
    unlent: UnlentWork,
    borrowers: HashMap<Ipv4Addr, BorrowerUse>,
    /// When calls were refused within the last [`REFUSAL_WINDOW_US`], in ascending order.
    refused_at_us: VecDeque<TimeUs>,
    lowered: Option<LoweredLimit>,
}

impl EndpointLoans {
    fn expire(&mut self, now: TimeUs) {
        self.loans.retain(|_, loan| loan.expires_at_us > now);
        self.borrowers
            .retain(|_, used| now.since(used.asked_at_us) < LOAN_DECAY_US + LOAN_DECAY_US);
        let is_old = |at: &TimeUs| now.since(*at) >= REFUSAL_WINDOW_US;
        while self.refused_at_us.front().is_some_and(is_old) {
            self.refused_at_us.pop_front();
        }
    }

    /// Returns the work of the calls that have a loan.
    fn lent(&self) -> Load {
        Load {
            running: u32::try_from(self.loans.len()).unwrap_or(u32::MAX),
            unread_tokens: 0,
            memory_tokens: self.loans.values().map(|loan| loan.memory_tokens).sum(),
        }
    }

    /// Returns how many borrowers wait for room that have had fewer loans than this one.
    ///
    /// Without this precedence a freed slot goes to the next request, which mostly comes from the daemon
    /// whose call has just ended there, and other daemons starve.
    fn preceding(&self, borrower: Ipv4Addr, now: TimeUs) -> usize {
        let used = self.borrowers.get(&borrower);
        let own = used.map_or(0.0, |used| used.loans(now));
        let others = self.borrowers.iter().filter(|(ip, _)| **ip != borrower);
        let precedes =
            |used: &BorrowerUse| used.is_waiting(now) && used.loans(now) + MIN_LOANS_AHEAD <= own;
        others.filter(|(_, used)| precedes(used)).count()
    }

    fn has_room(&self, request: &RoomRequest, room: &EndpointRoom, now: TimeUs) -> bool {
        let max_refused = room.max_refusals_per_s.div_ceil(REFUSAL_DIVISOR).max(1) as usize;
        if self.refused_at_us.len() >= max_refused {
            return false;
        }
        let is_lowered = |limit: LoweredLimit| self.loans.len() >= limit.calls(now);
        if self.lowered.is_some_and(is_lowered) {
            return false;
        }
        let mut work = self.lent();
        work.add(self.unlent.load());
        let free = room.slots.max(1).saturating_sub(work.running) as usize;
        if free <= self.preceding(request.loan.borrower, now) {
            return false;
        }
        // A call alone is let through: whether it fits is for the endpoint to say.
        let needed = work.memory_tokens.saturating_add(request.memory_tokens);
        work.running == 0 || room.memory_tokens.is_none_or(|memory| needed <= memory)
    }

    /// Records that the call of a loan was refused: the endpoint takes fewer calls than there were then.
    fn record_refusal(&mut self, position: usize, now: TimeUs) {
        self.refused_at_us.push_back(now);
        let known = self.lowered.map_or(usize::MAX, |limit| limit.calls(now));
        self.lowered = Some(LoweredLimit {
            calls: known.min(position.saturating_sub(1)).max(1),
            since_us: now,
        });
    }

    fn is_unused(&self) -> bool {
        self.loans.is_empty() && self.borrowers.is_empty() && self.refused_at_us.is_empty()
    }
}

/// Loans of room at the endpoints for which a daemon counts the calls, by their short names.
#[derive(Clone, Debug, Default)]
pub struct RoomLender {
    endpoints: HashMap<u32, EndpointLoans>,
}

impl RoomLender {
    /// Lends room for a call if there is some. `is_member` is whether a daemon is alive: what others
    /// have borrowed is free again, since their connections have ended with them.
    pub fn lend(
        &mut self,
        endpoint: u32,
        request: &RoomRequest,
        room: &EndpointRoom,
        is_member: impl Fn(Ipv4Addr) -> bool,
        now: TimeUs,
    ) -> bool {
        if self.endpoints.len() >= MAX_ENDPOINTS && !self.endpoints.contains_key(&endpoint) {
            self.endpoints.retain(|_, loans| {
                loans.expire(now);
                !loans.is_unused()
            });
        }
        let loans = self.endpoints.entry(endpoint).or_default();
        loans.expire(now);
        let mut excess = room.reported;
        excess.sub(loans.lent());
        loans.unlent.record(excess, now);
        if !loans.has_room(request, room, now) {
            loans.loans.retain(|loan, _| is_member(loan.borrower));
        }
        let is_lent = loans.has_room(request, room, now);
        let borrower = request.loan.borrower;
        loans
            .borrowers
            .entry(borrower)
            .or_default()
            .record(is_lent, now);
        if !is_lent {
            return false;
        }
        let loan = Loan {
            memory_tokens: request.memory_tokens,
            position: loans.loans.len() + 1,
            expires_at_us: now + request.time_us.min(MAX_LOAN_TTL_US),
        };
        loans.loans.insert(request.loan, loan);
        true
    }

    /// Ends a loan. One that isn't known has expired, or was lent by another daemon; a refusal counts
    /// all the same.
    pub fn end(&mut self, endpoint: u32, loan: LoanId, end: LoanEnd, now: TimeUs) {
        let Some(loans) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        loans.expire(now);
        match end {
            LoanEnd::Finished => {
                loans.loans.remove(&loan);
            }
            LoanEnd::Refused => {
                let loan = loans.loans.remove(&loan);
                let position = loan.map_or(loans.loans.len() + 1, |loan| loan.position);
                loans.record_refusal(position, now);
            }
            LoanEnd::Abandoned => {
                if let Some(loan) = loans.loans.get_mut(&loan) {
                    loan.expires_at_us = loan.expires_at_us.min(now + ABANDONED_LOAN_TTL_US);
                }
            }
        }
    }
}
