//! All keys that a process knows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wisteriahitch_types::{ByteCount, Code, DurationUs, Incarnation, TimeUs};

use super::entry::Entry;
use super::keeper::{Keeper, Place};
use super::life::Event;
use super::{
    ClaimNonce, Decision, Delivery, EntrySnapshot, Fingerprint, KeptAnswer, OnceKey, StandingClaim,
    TableSnapshot, WaiterId,
};

/// Bounds what the table holds.
#[derive(Clone, Copy, Debug)]
pub struct TableLimits {
    /// How long the outcome of a key is kept for its repeat.
    pub kept_us: DurationUs,
    /// Most memory that settled keys take.
    pub kept_bytes: ByteCount,
    /// Most callers that wait for one key.
    pub max_waiters: usize,
}

impl Default for TableLimits {
    fn default() -> Self {
        Self {
            kept_us: DurationUs::from_ms(24 * 3_600_000),
            kept_bytes: ByteCount::new(8 << 20),
            max_waiters: 64,
        }
    }
}

/// Lets each key start at most one dispatch in this process, and keeps outcomes for repeats.
///
/// A keyed request is passed to [`submit`](Self::submit), whatever it is; the table answers what to
/// do. Each later call reports what became of it and returns who is to hear of it. Calls that make
/// no sense in the key's state change nothing.
///
/// ```
/// use std::sync::Arc;
/// use wisteriahitch_core::once::{
///     Decision, Fingerprint, KeptAnswer, KeyedTable, TableLimits, TicketIssuer, TicketSecret,
///     WaiterId,
/// };
/// use wisteriahitch_types::{Code, DurationUs, Incarnation, TimeUs, WorkspaceId};
///
/// let now = TimeUs::new(1_000);
/// let incarnation = Incarnation::new(7);
/// let workspace: WorkspaceId = "kandy".parse().unwrap();
/// let mut issuer = TicketIssuer::new(incarnation, TicketSecret::new([1; 32]));
/// let mut table = KeyedTable::new(incarnation, TableLimits::default());
///
/// let tickets = issuer.issue(&workspace, 1, now, DurationUs::from_ms(60_000));
/// let key = issuer.verify(&tickets[0], &workspace)?;
/// let booking = Fingerprint::new(&workspace, "POST", "/bookings", b"bay 3");
///
/// // The first copy runs, the second one waits for the same answer.
/// assert_eq!(table.submit(&key, booking, WaiterId::new(1), now), Decision::Run);
/// issuer.note_used(&key);
/// assert_eq!(table.submit(&key, booking, WaiterId::new(2), now), Decision::Wait);
///
/// // Bytes may leave only if the table agrees, and it does so once.
/// assert!(table.dispatched(&key));
/// assert!(!table.dispatched(&key));
///
/// let answer = KeptAnswer { status: 201, content_type: None, body: b"booked".to_vec() };
/// let delivery = table.finished(&key, Arc::new(answer.clone()), now);
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
pub struct KeyedTable {
    incarnation: Incarnation,
    limits: TableLimits,
    entries: BTreeMap<OnceKey, Entry>,
    keeper: Keeper,
    /// Used tickets whose outcome is no longer kept, until they could not be used any more.
    tombstones: BTreeSet<(TimeUs, OnceKey)>,
    next_nonce: u64,
}

impl KeyedTable {
    /// Builds the empty table of one life of a process.
    pub fn new(incarnation: Incarnation, limits: TableLimits) -> Self {
        Self {
            incarnation,
            limits,
            entries: BTreeMap::new(),
            keeper: Keeper::default(),
            tombstones: BTreeSet::new(),
            next_nonce: 1,
        }
    }

    /// Takes in a copy of a keyed request and decides what becomes of it.
    pub fn submit(
        &mut self,
        key: &OnceKey,
        fingerprint: Fingerprint,
        waiter: WaiterId,
        now: TimeUs,
    ) -> Decision {
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

    /// Notes that our claim on the key stands, and names the caller whose copy runs.
    ///
    /// Returns nothing where the key wasn't being decided; an empty list of waiters means that
    /// all callers have left, and the next copy will run.
    pub fn claim_written(&mut self, key: &OnceKey) -> Option<Delivery> {
        let entry = self.entries.get_mut(key)?;
        if !entry.handle(&Event::ClaimWritten) {
            return None;
        }
        Some(Delivery {
            waiters: entry.start().into_iter().collect(),
            decision: Decision::Run,
        })
    }

    /// Notes that another claim on the key stands, and tells the callers what that one says.
    ///
    /// The key is forgotten at once, so that each repeat reads the claim again: its holder may
    /// have died since, or have written down the answer.
    pub fn claim_lost(&mut self, key: &OnceKey, claim: &StandingClaim) -> Option<Delivery> {
        let entry = self.entries.get_mut(key)?;
        if !entry.handle(&Event::ClaimLost) {
            return None;
        }
        let decision = claim.decide(entry.fingerprint(), self.incarnation);
        let delivery = entry.deliver_as(decision);
        self.entries.remove(key);
        Some(delivery)
    }

    /// Notes that the object store couldn't decide; a repeat will ask it again.
    pub fn claim_undecided(&mut self, key: &OnceKey, now: TimeUs) -> Option<Delivery> {
        self.settle(key, &Event::Lost(Code::ClaimUndecided), now)
    }

    /// Asks for the one permission to send the key's request to an endpoint.
    ///
    /// Without `true` no byte may leave.
    #[must_use]
    pub fn dispatched(&mut self, key: &OnceKey) -> bool {
        let entry = self.entries.get_mut(key);
        entry.is_some_and(|entry| entry.handle(&Event::Dispatch))
    }

    /// Notes the endpoint's whole answer.
    pub fn finished(&mut self, key: &OnceKey, answer: Arc<KeptAnswer>, now: TimeUs) -> Delivery {
        let delivery = self.settle(key, &Event::Answer(answer), now);
        delivery.unwrap_or_else(nobody)
    }

    /// Notes that the outcome can't be found out any more; `code` says why.
    pub fn lost(&mut self, key: &OnceKey, code: Code, now: TimeUs) -> Delivery {
        let delivery = self.settle(key, &Event::Lost(code), now);
        delivery.unwrap_or_else(nobody)
    }

    /// Refuses the key's request before its dispatch, which uses the key up.
    ///
    /// The callers get `code` only where this process decides for the key and has sent nothing;
    /// otherwise they hear that the outcome is unknown.
    pub fn refused(&mut self, key: &OnceKey, code: Code, now: TimeUs) -> Delivery {
        let code = match code {
            Code::EndpointRefused => Code::NoEndpoint,
            other => other,
        };
        let delivery = self.settle(key, &Event::Refuse(code), now);
        delivery.unwrap_or_else(nobody)
    }

    /// Notes the endpoint's own word that it did not run the request, which uses the key up.
    pub fn endpoint_refused(&mut self, key: &OnceKey, now: TimeUs) -> Delivery {
        let delivery = self.settle(key, &Event::Refuse(Code::EndpointRefused), now);
        delivery.unwrap_or_else(nobody)
    }

    /// Forgets a caller that went away; the run itself goes on.
    pub fn remove_waiter(&mut self, key: &OnceKey, waiter: WaiterId) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.remove_waiter(waiter);
        }
    }

    /// Returns the nonce of the key's claim, to write down its outcome in the object store.
    pub fn nonce(&self, key: &OnceKey) -> Option<ClaimNonce> {
        self.entries.get(key).map(Entry::nonce)
    }

    /// Forgets outcomes whose time or room has run out.
    pub fn tick(&mut self, now: TimeUs) {
        let since_start_us = DurationUs::new(now.get());
        if since_start_us > self.limits.kept_us {
            let limit = TimeUs::new((since_start_us - self.limits.kept_us).get());
            while let Some(place) = self.keeper.take_older_than(limit) {
                self.expire(&place, now);
            }
        }
        self.keep_within_bounds(now);
        self.drop_tombstones(now);
    }

    /// Returns how many keys are under way, which a draining process waits for.
    pub fn under_way(&self) -> usize {
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
            kept_bytes: self.keeper.cost_bytes(),
            under_way: under_way.map(|(key, entry)| show(key, entry)).collect(),
        }
    }

    fn settle(&mut self, key: &OnceKey, event: &Event, now: TimeUs) -> Option<Delivery> {
        let entry = self.entries.get_mut(key)?;
        if !entry.handle(event) {
            return None;
        }
        let delivery = entry.deliver();
        if entry.is_settled() {
            entry.settlement = Some(self.keeper.put(key, entry.cost_bytes(), now));
        }
        self.keep_within_bounds(now);
        Some(delivery)
    }

    fn keep_within_bounds(&mut self, now: TimeUs) {
        while let Some(place) = self.keeper.take_over(self.limits.kept_bytes) {
            self.expire(&place, now);
        }
    }

    fn expire(&mut self, place: &Place, now: TimeUs) {
        let Some(entry) = self.entries.get_mut(&place.key) else {
            return;
        };
        if entry.settlement != Some(place.settlement) {
            return;
        }
        entry.handle(&Event::Expire);
        entry.settlement = None;
        match place.key.expiry() {
            // Forgetting a used ticket that could still be accepted would make it fresh, and its
            // next copy would run the request again.
            Some(expires_us) if now < expires_us => {
                self.tombstones.insert((expires_us, place.key.clone()));
            }
            _ => {
                self.entries.remove(&place.key);
            }
        }
    }

    fn drop_tombstones(&mut self, now: TimeUs) {
        while let Some((expires_us, key)) = self.tombstones.pop_first() {
            if now < expires_us {
                self.tombstones.insert((expires_us, key));
                break;
            }
            self.entries.remove(&key);
        }
    }
}

fn nobody() -> Delivery {
    Delivery {
        waiters: Vec::new(),
        decision: Decision::Wait,
    }
}

fn show(key: &OnceKey, entry: &Entry) -> EntrySnapshot {
    EntrySnapshot {
        key: key.clone(),
        state: entry.state_name(),
        waiters: entry.waiters(),
    }
}
