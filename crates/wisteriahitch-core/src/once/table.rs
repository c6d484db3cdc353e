//! All keys that a process knows.

mod claims;
mod retention;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wisteriahitch_types::{ByteCount, Code, Incarnation, TimeUs};

use super::entry::Entry;
use super::key_state_machine::Event;
use super::retention_queue::RetentionQueue;
use super::{
    ClaimNonce, ClaimState, Decision, Delivery, EntrySnapshot, Fingerprint, IdempotencyKey,
    StoredAnswer, TableLimits, TableSnapshot, WaiterId,
};

/// Lets each key start at most one dispatch in this process, and keeps outcomes for repeats.
///
/// A keyed request is passed to [`submit`](Self::submit), whatever it is; the table answers what to
/// do. Each later call reports what became of it and returns who is to hear of it. Calls that make
/// no sense in the key's state change nothing.
///
/// ```
/// use std::sync::Arc;
/// use wisteriahitch_core::once::{
///     Decision, Fingerprint, StoredAnswer, IdempotencyTable, TableLimits, TicketIssuer, TicketSecret,
///     WaiterId,
/// };
/// use wisteriahitch_types::{Code, DurationUs, Incarnation, TimeUs, WorkspaceId};
///
/// let now = TimeUs::new(1_000);
/// let incarnation = Incarnation::new(7);
/// let workspace: WorkspaceId = "kandy".parse().unwrap();
/// let mut issuer = TicketIssuer::new(incarnation, TicketSecret::new([1; 32]));
/// let mut table = IdempotencyTable::new(incarnation, TableLimits::default());
///
/// let tickets = issuer.issue(&workspace, 1, now, DurationUs::from_ms(60_000));
/// let key = issuer.verify(&tickets[0], &workspace)?;
/// let booking = Fingerprint::new(&workspace, "POST", "/bookings", b"bay 3");
///
/// // The first copy runs, the second one waits for the same answer.
/// assert_eq!(table.submit(&key, booking, WaiterId::new(1), now), Decision::Run);
/// issuer.mark_used(&key);
/// assert_eq!(table.submit(&key, booking, WaiterId::new(2), now), Decision::Wait);
///
/// // Bytes may leave only if the table agrees, and it does so once.
/// assert!(table.try_dispatch(&key));
/// assert!(!table.try_dispatch(&key));
///
/// let answer = StoredAnswer { status: 201, content_type: None, body: b"booked".to_vec() };
/// let delivery = table.record_answer(&key, Arc::new(answer.clone()), now);
/// assert_eq!(delivery.waiters, [WaiterId::new(1), WaiterId::new(2)]);
///
/// // A late repeat gets the same answer, another request under this key gets none.
/// let repeat = table.submit(&key, booking, WaiterId::new(3), now);
/// assert_eq!(repeat, Decision::Answer(Arc::new(answer)));
/// let other = Fingerprint::new(&workspace, "POST", "/bookings", b"bay 4");
/// let misuse = table.submit(&key, other, WaiterId::new(4), now);
/// assert_eq!(misuse, Decision::Refuse(Code::KeyReused));
/// # Ok::<(), Code>(())
/// ```
pub struct IdempotencyTable {
    incarnation: Incarnation,
    limits: TableLimits,
    entries: BTreeMap<IdempotencyKey, Entry>,
    retained: RetentionQueue,
    /// Used tickets whose outcome is no longer kept, until they could not be used any more.
    tombstones: BTreeSet<(TimeUs, IdempotencyKey)>,
    next_nonce: u64,
    latest_now: TimeUs,
}

impl IdempotencyTable {
    /// Builds the empty table of one life of a process.
    pub fn new(incarnation: Incarnation, limits: TableLimits) -> Self {
        Self {
            incarnation,
            limits,
            entries: BTreeMap::new(),
            retained: RetentionQueue::default(),
            tombstones: BTreeSet::new(),
            next_nonce: 1,
            latest_now: TimeUs::ZERO,
        }
    }

    /// Takes in a copy of a keyed request and decides what becomes of it.
    pub fn submit(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
        waiter: WaiterId,
        now: TimeUs,
    ) -> Decision {
        self.latest_now = now;
        if let Some(entry) = self.entries.get_mut(key) {
            return entry.repeat(fingerprint, waiter, self.limits.max_waiters);
        }
        // Used tickets are forgotten only after their expiry, so one that is unknown and has expired
        // may be a used one: it must never look fresh.
        if key.is_expired(now) {
            return Decision::Refuse(Code::TicketExpired);
        }
        let nonce = ClaimNonce::new(self.next_nonce);
        self.next_nonce += 1;
        let mut entry = Entry::new(key, fingerprint, nonce);
        let decision = entry.submit(waiter);
        self.entries.insert(key.clone(), entry);
        decision
    }

    /// Asks for the one permission to send the key's request to an endpoint.
    ///
    /// Without `true` no byte may leave.
    #[must_use]
    pub fn try_dispatch(&mut self, key: &IdempotencyKey) -> bool {
        let entry = self.entries.get_mut(key);
        entry.is_some_and(|entry| entry.handle(&Event::Dispatch))
    }

    /// Notes the endpoint's whole answer.
    pub fn record_answer(
        &mut self,
        key: &IdempotencyKey,
        answer: Arc<StoredAnswer>,
        now: TimeUs,
    ) -> Delivery {
        let delivery = self.settle(key, &Event::Answer(answer), now);
        delivery.unwrap_or_else(no_delivery)
    }

    /// Notes that the outcome can't be found out any more; `code` says why.
    ///
    /// Before the dispatch, such as when the caller that was to run has gone, this gives the key
    /// back: nothing ran, and the next copy may.
    pub fn record_lost(&mut self, key: &IdempotencyKey, code: Code, now: TimeUs) -> Delivery {
        let delivery = self.settle(key, &Event::Lost(code), now);
        delivery.unwrap_or_else(no_delivery)
    }

    /// Refuses the key's request before its dispatch, which uses the key up.
    ///
    /// The callers get `code` only where this process decides for the key and has sent nothing;
    /// otherwise they hear that the outcome is unknown.
    pub fn record_refusal(&mut self, key: &IdempotencyKey, code: Code, now: TimeUs) -> Delivery {
        let code = match code {
            Code::EndpointRefused => Code::NoEndpoint,
            other => other,
        };
        let delivery = self.settle(key, &Event::Refuse(code), now);
        delivery.unwrap_or_else(no_delivery)
    }

    /// Notes the endpoint's own word that it did not run the request, which uses the key up.
    pub fn record_endpoint_refusal(&mut self, key: &IdempotencyKey, now: TimeUs) -> Delivery {
        let delivery = self.settle(key, &Event::Refuse(Code::EndpointRefused), now);
        delivery.unwrap_or_else(no_delivery)
    }

    /// Forgets a caller that went away; the run itself goes on.
    pub fn remove_waiter(&mut self, key: &IdempotencyKey, waiter: WaiterId) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.remove_waiter(waiter);
        }
    }

    /// Returns what is to be written down with the key's claim, and under which nonce; nothing
    /// for a ticket, or while the outcome is not certain.
    ///
    /// Whatever else is written could tell a repeat at another daemon that a request was not run
    /// which has run.
    pub fn outcome_to_write(
        &self,
        key: &IdempotencyKey,
        max_answer_bytes: ByteCount,
    ) -> Option<(ClaimNonce, ClaimState)> {
        let IdempotencyKey::Claimed { .. } = key else {
            return None;
        };
        let entry = self.entries.get(key)?;
        let state = entry.outcome_to_write(max_answer_bytes)?;
        Some((entry.nonce(), state))
    }

    /// Returns the nonce of the key's claim.
    pub fn nonce(&self, key: &IdempotencyKey) -> Option<ClaimNonce> {
        self.entries.get(key).map(Entry::nonce)
    }

    /// Returns how many keys are under way, which a draining process waits for.
    pub fn unsettled_count(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| !entry.is_settled()).count()
    }

    /// Returns what a dump shows.
    pub fn snapshot(&self) -> TableSnapshot {
        let mut keys_by_state = BTreeMap::new();
        for entry in self.entries.values() {
            *keys_by_state.entry(entry.state_name()).or_default() += 1;
        }
        let under_way = self.entries.iter().filter(|(_, e)| !e.is_settled());
        TableSnapshot {
            keys_by_state,
            kept_bytes: self.retained.cost_bytes(),
            under_way: under_way
                .map(|(key, entry)| entry_snapshot(key, entry))
                .collect(),
        }
    }

    fn settle(&mut self, key: &IdempotencyKey, event: &Event, now: TimeUs) -> Option<Delivery> {
        let entry = self.entries.get_mut(key)?;
        if !entry.handle(event) {
            return None;
        }
        let delivery = entry.deliver();
        if entry.is_settled() {
            entry.settle_sequence = Some(self.retained.push(key, entry.cost_bytes(), now));
        }
        self.enforce_memory_limit(now);
        Some(delivery)
    }
}

fn no_delivery() -> Delivery {
    Delivery {
        waiters: Vec::new(),
        decision: Decision::Wait,
    }
}

fn entry_snapshot(key: &IdempotencyKey, entry: &Entry) -> EntrySnapshot {
    EntrySnapshot {
        key: key.clone(),
        state: entry.state_name(),
        waiters: entry.waiter_count(),
    }
}
