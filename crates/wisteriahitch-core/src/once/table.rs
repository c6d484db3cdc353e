//! The table of all keys that a process handles.

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

/// Permits at most one dispatch per key in this process and stores outcomes for repeats.
///
/// Pass every request that carries a key to [`submit`](Self::submit), which returns how to handle
/// it. The other methods record what happened to the request afterwards and return the callers to
/// notify. Calls that do not apply to the state of the key have no effect.
///
/// ```
/// use std::sync::Arc;
/// use wisteriahitch_core::once::{
///     Decision, Fingerprint, StoredAnswer, IdempotencyTable, TableLimits, TicketIssuer,
///     TicketSecret, WaiterId,
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
/// // The first copy runs; the second one waits for the same answer.
/// assert_eq!(table.submit(&key, booking, WaiterId::new(1), now), Decision::Run);
/// issuer.mark_used(&key);
/// assert_eq!(table.submit(&key, booking, WaiterId::new(2), now), Decision::Wait);
///
/// // Bytes may be sent only with the permission of the table, which it grants once.
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
    /// Used tickets whose outcome was evicted, by expiry. They stay until the ticket expires, so
    /// that a later copy is not taken for a first use.
    tombstones: BTreeSet<(TimeUs, IdempotencyKey)>,
    next_nonce: u64,
    latest_now: TimeUs,
}

impl IdempotencyTable {
    /// Creates the empty table of one incarnation.
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

    /// Registers a copy of a request and decides how it is handled.
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
        // Used tickets are removed only after they expire. An expired ticket that is not in the
        // table may therefore have been used and must not be accepted as unused.
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

    /// Requests the single permission to send the request of a key to an endpoint.
    ///
    /// No byte may be sent unless this returns `true`.
    #[must_use]
    pub fn try_dispatch(&mut self, key: &IdempotencyKey) -> bool {
        let entry = self.entries.get_mut(key);
        entry.is_some_and(|entry| entry.handle(&Event::Dispatch))
    }

    /// Records the complete answer of the endpoint.
    pub fn record_answer(
        &mut self,
        key: &IdempotencyKey,
        answer: Arc<StoredAnswer>,
        now: TimeUs,
    ) -> Delivery {
        let delivery = self.settle(key, &Event::Answer(answer), now);
        delivery.unwrap_or_else(no_delivery)
    }

    /// Records that the outcome can no longer be determined; `code` gives the cause.
    ///
    /// Before the dispatch, for example when the caller whose copy was to run left, this releases
    /// the key: nothing ran, and the next copy may run.
    pub fn record_lost(&mut self, key: &IdempotencyKey, code: Code, now: TimeUs) -> Delivery {
        let delivery = self.settle(key, &Event::Lost(code), now);
        delivery.unwrap_or_else(no_delivery)
    }

    /// Records that this daemon refuses the request before its dispatch. The key cannot be used
    /// again.
    ///
    /// The callers receive `code` only if this process owns the key and has sent nothing. Otherwise
    /// they are told that the outcome is unknown.
    pub fn record_refusal(&mut self, key: &IdempotencyKey, code: Code, now: TimeUs) -> Delivery {
        let code = match code {
            Code::EndpointRefused => Code::NoEndpoint,
            other => other,
        };
        let delivery = self.settle(key, &Event::Refuse(code), now);
        delivery.unwrap_or_else(no_delivery)
    }

    /// Records that the endpoint reported not to have run the request. The key cannot be used
    /// again.
    pub fn record_endpoint_refusal(&mut self, key: &IdempotencyKey, now: TimeUs) -> Delivery {
        let delivery = self.settle(key, &Event::Refuse(Code::EndpointRefused), now);
        delivery.unwrap_or_else(no_delivery)
    }

    /// Removes a caller that disconnected. The request itself keeps running.
    pub fn remove_waiter(&mut self, key: &IdempotencyKey, waiter: WaiterId) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.remove_waiter(waiter);
        }
    }

    /// Returns the outcome to write to the claim of a key, and the nonce of that claim.
    ///
    /// Returns `None` for a ticket, and while the outcome is not certain. An uncertain outcome in
    /// the object store could tell a repeat at another daemon that a request was not run although
    /// it was.
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

    /// Returns the nonce of this daemon's claim on the key; `None` if the table has no such key.
    pub fn nonce(&self, key: &IdempotencyKey) -> Option<ClaimNonce> {
        self.entries.get(key).map(Entry::nonce)
    }

    /// Returns the number of keys that are not settled. A draining process waits until it is zero.
    pub fn unsettled_count(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| !entry.is_settled()).count()
    }

    /// Returns the state of the table for diagnostics.
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
