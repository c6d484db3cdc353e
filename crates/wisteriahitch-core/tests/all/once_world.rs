//! Simulation of two daemons, their callers and the object store, for the property test in
//! `once_model`.
//!
//! It records what endpoints ran and which answers callers received, and panics as soon as the two
//! contradict each other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use wisteriahitch_core::once::{
    ClaimBatcher, ClaimCommand, ClaimHolder, ClaimLimits, ClaimObject, ClaimShard, ClaimTime,
    ClaimVersion, Decision, Delivery, Fingerprint, IdempotencyKey, IdempotencyTable, ReadResult,
    StoredAnswer, TableLimits, Ticket, TicketIssuer, TicketSecret, WaiterId, WriteResult,
};
use wisteriahitch_types::{ByteCount, Code, DurationUs, Incarnation, Meaning, TimeUs, WorkspaceId};

pub(crate) const DAEMONS: usize = 2;
pub(crate) const OWN_KEYS: usize = 3;
pub(crate) const TICKET_LIFETIME: DurationUs = DurationUs::from_ms(60_000);
const WALL_START_MS: u64 = 1_000 * 3_600_000;
const ANSWER_BYTES: ByteCount = ByteCount::new(8_192);
const WALL_CLOCK_SKEW_MS: u64 = 2 * 3_600_000;

/// What happens to a platform call in the simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallOutcome {
    Succeeds,
    AppliedAnswerLost,
    NotAppliedAnswerLost,
    AppliedLater,
    Unavailable,
}

/// How a dispatched request ends in the simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RunOutcome {
    Answer,
    Lost,
    EndpointRefuses,
}

/// A copy of a request: its key, and which of two bodies it carries.
pub(crate) type RequestCopy = (IdempotencyKey, u8);

struct Daemon {
    incarnation_number: u64,
    issuer: TicketIssuer,
    table: IdempotencyTable,
    batcher: ClaimBatcher,
    calls: VecDeque<ClaimCommand>,
    granted: Vec<RequestCopy>,
    running: Vec<RequestCopy>,
}

impl Daemon {
    fn new(index: usize, incarnation_number: u64) -> Self {
        let incarnation = Incarnation::new(incarnation_number);
        let limits = TableLimits {
            outcome_ttl_us: DurationUs::from_ms(300_000),
            max_settled_bytes: ByteCount::new(2_000),
            max_waiters: 4,
        };
        let holder = ClaimHolder {
            owner: format!("entry-{index}").parse().unwrap(),
            incarnation,
            address: "127.0.0.1:7000".parse().unwrap(),
        };
        Self {
            incarnation_number,
            issuer: TicketIssuer::new(
                incarnation,
                TicketSecret::new([incarnation_number as u8; 32]),
            ),
            table: IdempotencyTable::new(incarnation, limits),
            batcher: ClaimBatcher::new(holder, ClaimLimits::default()),
            calls: VecDeque::new(),
            granted: Vec::new(),
            running: Vec::new(),
        }
    }
}

type Write = (ClaimShard, Option<ClaimVersion>, Arc<ClaimObject>);

#[derive(Default)]
struct Platform {
    objects: BTreeMap<ClaimShard, (ClaimVersion, ClaimObject)>,
    last_version: u64,
    late_writes: Vec<Write>,
}

impl Platform {
    fn read(&self, shard: ClaimShard) -> ReadResult {
        let object = self.objects.get(&shard).cloned();
        object.map_or(ReadResult::Missing, |(version, o)| {
            ReadResult::Found(version, o)
        })
    }

    fn write(&mut self, (shard, expected, content): Write) -> WriteResult {
        if self.objects.get(&shard).map(|(version, _)| *version) != expected {
            return WriteResult::Conflict;
        }
        self.last_version += 1;
        let version = ClaimVersion::new(self.last_version);
        self.objects.insert(shard, (version, (*content).clone()));
        WriteResult::Written(version)
    }
}

/// What endpoints ran and callers received. Panics on contradictions.
#[derive(Default)]
struct History {
    dispatched: BTreeMap<IdempotencyKey, u8>,
    endpoint_refused: BTreeSet<IdempotencyKey>,
    answers: BTreeMap<IdempotencyKey, Vec<u8>>,
    reported_not_run: BTreeSet<RequestCopy>,
}

impl History {
    fn record_dispatch(&mut self, copy: &RequestCopy) {
        let earlier = self.dispatched.insert(copy.0.clone(), copy.1);
        assert_eq!(earlier, None, "dispatched twice: {copy:?}");
        let was_reported_not_run = self.reported_not_run.contains(copy);
        assert!(
            !was_reported_not_run,
            "dispatched after `not run` was reported: {copy:?}"
        );
    }

    fn record_refusal(&mut self, copy: &RequestCopy, code: Code) {
        if code.meaning() != Meaning::NotRun {
            return;
        }
        let has_run = self.dispatched.get(&copy.0) == Some(&copy.1);
        let has_run = has_run && !self.endpoint_refused.contains(&copy.0);
        assert!(
            !has_run,
            "`not run` ({code}) reported after dispatch: {copy:?}"
        );
        self.reported_not_run.insert(copy.clone());
    }

    fn check_answer(&self, copy: &RequestCopy, answer: &StoredAnswer) {
        assert_eq!(
            self.dispatched.get(&copy.0),
            Some(&copy.1),
            "answer of another request: {copy:?}"
        );
        assert_eq!(
            self.answers.get(&copy.0),
            Some(&answer.body),
            "answer differs from the endpoint's: {copy:?}"
        );
    }
}

pub(crate) struct World {
    daemons: Vec<Daemon>,
    platform: Platform,
    history: History,
    tickets: Vec<Ticket>,
    copies: BTreeMap<WaiterId, RequestCopy>,
    last_incarnation: u64,
    now: TimeUs,
    /// Whether the last submitted copy of a ticket was allowed to run.
    pub(crate) has_run_ticket: bool,
}

pub(crate) fn workspace(name: &str) -> WorkspaceId {
    name.parse().unwrap()
}

/// Returns one of the callers' keys: the same text in two workspaces, and another key in the shard
/// of the first.
fn own_key(index: usize) -> IdempotencyKey {
    let key = |number| IdempotencyKey::try_claimed(&workspace("kandy"), &format!("order-{number}"));
    let shard = |key: &IdempotencyKey| match key {
        IdempotencyKey::Claimed { hash, .. } => ClaimShard::of(hash),
        IdempotencyKey::Ticket { .. } => panic!("expected a claimed key, got a ticket"),
    };
    let first = key(0).unwrap();
    match index {
        0 => first,
        1 => IdempotencyKey::try_claimed(&workspace("galle"), "order-0").unwrap(),
        _ => {
            let mut others = (1..).map(|number| key(number).unwrap());
            others.find(|other| shard(other) == shard(&first)).unwrap()
        }
    }
}

impl World {
    pub(crate) fn new() -> Self {
        let incarnations = 1..=DAEMONS as u64;
        Self {
            daemons: incarnations
                .map(|incarnation_number| {
                    Daemon::new(incarnation_number as usize, incarnation_number)
                })
                .collect(),
            platform: Platform::default(),
            history: History::default(),
            tickets: Vec::new(),
            copies: BTreeMap::new(),
            last_incarnation: DAEMONS as u64,
            now: TimeUs::ZERO,
            has_run_ticket: false,
        }
    }

    pub(crate) fn issue(&mut self, daemon: usize) {
        let issuer = &mut self.daemons[daemon].issuer;
        let tickets = issuer.issue(&workspace("kandy"), 1, self.now, TICKET_LIFETIME);
        self.tickets.extend(tickets);
    }

    pub(crate) fn submit_ticket(&mut self, index: usize, body: u8) {
        self.has_run_ticket = false;
        let ticket = self.tickets[index];
        let Some(daemon) = self.find_daemon(ticket.incarnation()) else {
            return;
        };
        let verified = self.daemons[daemon]
            .issuer
            .verify(&ticket, &workspace("kandy"));
        let key = verified.expect("ticket is valid at its issuer");
        self.submit(daemon, (key, body), false);
    }

    pub(crate) fn submit_own(&mut self, daemon: usize, index: usize, body: u8) {
        self.submit(daemon, (own_key(index), body), true);
    }

    pub(crate) fn platform_call(&mut self, daemon: usize, outcome: CallOutcome) {
        let Some(call) = self.daemons[daemon].calls.pop_front() else {
            return;
        };
        let time = self.time(daemon);
        let platform = &mut self.platform;
        let batcher = &mut self.daemons[daemon].batcher;
        let commands = match call {
            ClaimCommand::Read(shard) => {
                let result = match outcome {
                    CallOutcome::Succeeds => platform.read(shard),
                    _ => ReadResult::Unavailable,
                };
                batcher.on_read(shard, result, time)
            }
            ClaimCommand::WriteGroup {
                shard,
                expected,
                content,
            } => {
                let result = write_with(platform, outcome, (shard, expected, content));
                batcher.on_write(shard, result, time)
            }
            ClaimCommand::Retry { shard, .. } => batcher.retry(shard),
            other => panic!("expected a platform call, got {other:?}"),
        };
        self.execute(daemon, commands);
    }

    pub(crate) fn apply_late_write(&mut self, pick: usize) {
        let writes = &mut self.platform.late_writes;
        if !writes.is_empty() {
            let write = writes.swap_remove(pick % writes.len());
            self.platform.write(write);
        }
    }

    /// Tries to dispatch a granted copy. The copy stays granted, so that a repeated request for
    /// permission is tested too; it must be denied.
    pub(crate) fn dispatch(&mut self, daemon: usize, pick: usize) {
        let node = &mut self.daemons[daemon];
        let Some(copy) = remove_at(&mut node.granted, pick) else {
            return;
        };
        if node.table.try_dispatch(&copy.0) {
            self.history.record_dispatch(&copy);
            node.granted.push(copy.clone());
            node.running.push(copy);
        }
    }

    pub(crate) fn refuse(&mut self, daemon: usize, pick: usize) {
        if let Some(copy) = remove_at(&mut self.daemons[daemon].granted, pick) {
            self.refuse_key(daemon, &copy.0);
        }
    }

    /// Releases a granted copy before its dispatch. Tickets are skipped, since the model does not
    /// know that a released ticket may run again.
    pub(crate) fn release(&mut self, daemon: usize, pick: usize) {
        let node = &mut self.daemons[daemon];
        let Some((key, _)) = remove_at(&mut node.granted, pick) else {
            return;
        };
        if let IdempotencyKey::Claimed { .. } = key {
            let delivery = node.table.record_lost(&key, Code::CallerGone, self.now);
            self.deliver(&delivery);
        }
    }

    /// Disconnects the caller of one copy, chosen by `pick`.
    pub(crate) fn disconnect_waiter(&mut self, pick: usize) {
        let picked = self.copies.iter().nth(pick % self.copies.len().max(1));
        if let Some((waiter, (key, _))) = picked {
            let daemons = self.daemons.iter_mut();
            daemons.for_each(|daemon| daemon.table.remove_waiter(key, *waiter));
        }
    }

    /// Refuses the request of a caller's key, whatever the state of the key.
    pub(crate) fn refuse_in_any_state(&mut self, daemon: usize, index: usize) {
        self.refuse_key(daemon, &own_key(index));
    }

    pub(crate) fn end(&mut self, daemon: usize, pick: usize, end: RunOutcome) {
        let Some((key, body)) = remove_at(&mut self.daemons[daemon].running, pick) else {
            return;
        };
        let table = &mut self.daemons[daemon].table;
        let delivery = match end {
            RunOutcome::Lost => table.record_lost(&key, Code::EndpointLost, self.now),
            RunOutcome::EndpointRefuses => {
                self.history.endpoint_refused.insert(key.clone());
                table.record_endpoint_refusal(&key, self.now)
            }
            RunOutcome::Answer => {
                let answer = make_answer(&key, body);
                self.history
                    .answers
                    .insert(key.clone(), answer.body.clone());
                table.record_answer(&key, Arc::new(answer), self.now)
            }
        };
        self.deliver(&delivery);
        self.write_outcome(daemon, &key);
    }

    pub(crate) fn restart(&mut self, daemon: usize) {
        self.last_incarnation += 1;
        let restarted = Daemon::new(daemon, self.last_incarnation);
        let stopped = std::mem::replace(&mut self.daemons[daemon], restarted);
        for call in stopped.calls {
            if let ClaimCommand::WriteGroup {
                shard,
                expected,
                content,
            } = call
            {
                self.platform.late_writes.push((shard, expected, content));
            }
        }
    }

    pub(crate) fn tick(&mut self, span: DurationUs) {
        self.now = self.now + span;
        for daemon in 0..DAEMONS {
            let time = self.time(daemon);
            self.daemons[daemon].table.tick(self.now);
            self.daemons[daemon].issuer.tick(self.now);
            let commands = self.daemons[daemon].batcher.tick(time);
            self.execute(daemon, commands);
        }
    }

    fn submit(&mut self, daemon: usize, copy: RequestCopy, may_forward: bool) {
        let waiter = WaiterId::new(self.copies.len() as u64);
        self.copies.insert(waiter, copy.clone());
        self.submit_as(daemon, waiter, copy, may_forward);
    }

    fn submit_as(&mut self, daemon: usize, waiter: WaiterId, copy: RequestCopy, may_forward: bool) {
        let (key, body) = &copy;
        let print = Fingerprint::new(key.workspace(), "POST", "/orders", &[*body]);
        let time = self.time(daemon);
        let node = &mut self.daemons[daemon];
        match node.table.submit(key, print, waiter, self.now) {
            Decision::Claim(nonce) => {
                let commands = node.batcher.claim(key, print, nonce, time);
                self.execute(daemon, commands);
            }
            Decision::Run => {
                node.issuer.mark_used(key);
                self.has_run_ticket = matches!(key, IdempotencyKey::Ticket { .. });
                node.granted.push(copy);
            }
            Decision::Wait => {}
            Decision::Answer(answer) => self.history.check_answer(&copy, &answer),
            Decision::Refuse(code) => self.history.record_refusal(&copy, code),
            Decision::Forward(holder) => self.forward(&holder, waiter, copy, may_forward),
        }
    }

    fn forward(
        &mut self,
        holder: &ClaimHolder,
        waiter: WaiterId,
        copy: RequestCopy,
        may_forward: bool,
    ) {
        match self.find_daemon(holder.incarnation) {
            Some(daemon) if may_forward => self.submit_as(daemon, waiter, copy, false),
            _ => self.history.record_refusal(&copy, Code::ClaimHeldElsewhere),
        }
    }

    fn refuse_key(&mut self, daemon: usize, key: &IdempotencyKey) {
        let delivery = self.daemons[daemon]
            .table
            .record_refusal(key, Code::NoEndpoint, self.now);
        self.deliver(&delivery);
        self.write_outcome(daemon, key);
    }

    fn write_outcome(&mut self, daemon: usize, key: &IdempotencyKey) {
        let time = self.time(daemon);
        let node = &mut self.daemons[daemon];
        if let Some((nonce, state)) = node.table.outcome_to_write(key, ANSWER_BYTES) {
            let commands = node.batcher.record_outcome(key, nonce, state, time);
            self.execute(daemon, commands);
        }
    }

    fn execute(&mut self, daemon: usize, commands: Vec<ClaimCommand>) {
        for command in commands {
            let table = &mut self.daemons[daemon].table;
            let delivery = match command {
                ClaimCommand::Written(key) => {
                    let delivery = table.claim_written(&key);
                    self.grant(daemon, delivery.iter().flat_map(|d| &d.waiters));
                    None
                }
                ClaimCommand::Lost(key, claim) => table.claim_lost(&key, &claim),
                ClaimCommand::Undecided(key, _) => table.claim_undecided(&key, self.now),
                call => {
                    self.daemons[daemon].calls.push_back(call);
                    None
                }
            };
            delivery.iter().for_each(|delivery| self.deliver(delivery));
        }
    }

    fn grant<'a>(&mut self, daemon: usize, waiters: impl Iterator<Item = &'a WaiterId>) {
        let copies = waiters.map(|waiter| self.copies[waiter].clone());
        self.daemons[daemon].granted.extend(copies);
    }

    fn deliver(&mut self, delivery: &Delivery) {
        for waiter in &delivery.waiters {
            let copy = self.copies[waiter].clone();
            match &delivery.decision {
                Decision::Answer(answer) => self.history.check_answer(&copy, answer),
                Decision::Refuse(code) => self.history.record_refusal(&copy, *code),
                Decision::Forward(holder) => self.forward(holder, *waiter, copy, true),
                other => panic!("expected an outcome, got {other:?}"),
            }
        }
    }

    fn find_daemon(&self, incarnation: Incarnation) -> Option<usize> {
        let mut daemons = self.daemons.iter();
        daemons.position(|daemon| daemon.incarnation_number == incarnation.get())
    }

    /// Returns the clocks of a daemon. The wall clock of the second daemon is ahead.
    fn time(&self, daemon: usize) -> ClaimTime {
        let elapsed_ms = self.now.get() / 1_000;
        ClaimTime {
            now: self.now,
            wall_ms: WALL_START_MS + elapsed_ms + WALL_CLOCK_SKEW_MS * daemon as u64,
        }
    }
}

fn write_with(platform: &mut Platform, outcome: CallOutcome, write: Write) -> WriteResult {
    match outcome {
        CallOutcome::Succeeds => return platform.write(write),
        CallOutcome::Unavailable => return WriteResult::Unavailable,
        CallOutcome::AppliedAnswerLost => drop(platform.write(write)),
        CallOutcome::AppliedLater => platform.late_writes.push(write),
        CallOutcome::NotAppliedAnswerLost => {}
    }
    WriteResult::AnswerLost
}

fn make_answer(key: &IdempotencyKey, body: u8) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        content_type: None,
        body: format!("{key:?} {body}").into_bytes(),
    }
}

fn remove_at(copies: &mut Vec<RequestCopy>, pick: usize) -> Option<RequestCopy> {
    if copies.is_empty() {
        return None;
    }
    let index = pick % copies.len();
    Some(copies.swap_remove(index))
}
