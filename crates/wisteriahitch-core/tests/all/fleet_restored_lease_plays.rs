//! Random plays of several daemons and a store that returns with older copies of their lease.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use wisteriahitch_core::fleet::{
    LeaseCommand, LeaseEvent, LeaseHolder, LeaseObject, LeaseTable, Membership, WriteFailure,
};
use wisteriahitch_types::{DurationUs, TimeUs};

use crate::fleet::{full_membership, member};
use crate::fleet_restored_leases::{GROUP, SETTINGS};

const STEP_MS: u64 = 10;
const NUMBER_BITS: u32 = 40;
const DAEMONS: u16 = 3;

/// Seeds of the plays: 586 and those around it once lowered a holder's own fencing number.
const SEEDS: std::ops::Range<u64> = 500..650;

type Object = Option<(LeaseObject, u64)>;

struct Daemon {
    leases: LeaseTable,
    members: Membership,
    epoch: u64,
    restart: u64,
    stopped_until: u64,
}

enum Message {
    Read,
    Write(LeaseObject, u64),
    Answer(LeaseEvent, u64),
}

struct Play {
    rng: ChaCha8Rng,
    now: u64,
    daemons: Vec<Daemon>,
    object: Object,
    number: u64,
    epoch: u64,
    copies: Vec<(u64, Object, u64)>,
    /// Time, daemon, its restart, message.
    mail: Vec<(u64, u16, u64, Message)>,
}

fn daemon(index: u16, restart: u64) -> Daemon {
    let me = member(index, restart);
    let mut restarts = vec![0; usize::from(DAEMONS)];
    restarts[usize::from(index)] = restart;
    Daemon {
        leases: LeaseTable::new(
            LeaseHolder {
                daemon: me.daemon,
                incarnation: me.incarnation,
            },
            SETTINGS,
        ),
        members: full_membership(index, &restarts),
        epoch: 0,
        restart,
        stopped_until: 0,
    }
}

/// Returns what a daemon learns of an answer that doesn't arrive.
fn lost(event: LeaseEvent) -> LeaseEvent {
    match event {
        LeaseEvent::Written {
            group,
            write_number,
            ..
        }
        | LeaseEvent::WriteFailed {
            group,
            write_number,
            ..
        } => LeaseEvent::WriteFailed {
            group,
            write_number,
            failure: WriteFailure::Lost,
        },
        LeaseEvent::Read { .. } => LeaseEvent::ReadFailed(GROUP),
        event => event,
    }
}

impl Play {
    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn delay(&mut self, is_harsh: bool) -> u64 {
        match self.below(20) {
            0 if is_harsh => self.below(7_000),
            _ => 1 + self.below(150),
        }
    }

    fn time(&self) -> TimeUs {
        TimeUs::ZERO + DurationUs::from_ms(self.now)
    }

    fn learn(&mut self, index: u16, epoch: u64) {
        let now = self.time();
        let daemon = &mut self.daemons[usize::from(index)];
        if epoch > daemon.epoch {
            daemon.epoch = epoch;
            daemon
                .leases
                .handle(LeaseEvent::StoreRestored, now, &daemon.members);
        }
    }

    fn deliver(&mut self, index: u16, restart: u64, message: Message) {
        let version = |number| self.epoch << NUMBER_BITS | number;
        let event = match message {
            Message::Read => LeaseEvent::Read {
                group: GROUP,
                object: self
                    .object
                    .clone()
                    .map(|(object, number)| (object, version(number))),
            },
            Message::Write(object, expected) => {
                let expected = expected & ((1 << NUMBER_BITS) - 1);
                let current = self.object.as_ref().map_or(0, |(_, number)| *number);
                let write_number = object.write_number;
                if current == expected {
                    self.number += 1;
                    self.object = Some((object, self.number));
                    LeaseEvent::Written {
                        group: GROUP,
                        write_number,
                        object_version: self.epoch << NUMBER_BITS | self.number,
                    }
                } else {
                    LeaseEvent::WriteFailed {
                        group: GROUP,
                        write_number,
                        failure: WriteFailure::Conflict,
                    }
                }
            }
            Message::Answer(event, epoch) => {
                let daemon = &self.daemons[usize::from(index)];
                if daemon.restart != restart {
                    return;
                }
                let is_held_up = epoch < daemon.epoch;
                let event = if is_held_up { lost(event) } else { event };
                self.learn(index, epoch);
                let now = self.time();
                let daemon = &mut self.daemons[usize::from(index)];
                daemon.leases.handle(event, now, &daemon.members);
                return;
            }
        };
        // A lost answer becomes known after a time-out.
        let is_lost = self.below(12) == 0;
        let event = if is_lost { lost(event) } else { event };
        let epoch = if is_lost { 0 } else { self.epoch };
        let at = self.now + if is_lost { 300 } else { self.delay(true) };
        self.mail
            .push((at, index, restart, Message::Answer(event, epoch)));
    }

    /// Makes the store return, mostly with a copy of which few changes are lost, so that numbers meet
    /// again.
    fn return_store(&mut self) {
        let most = [4, 50][self.below(2) as usize];
        let back = 1 + self.below(most);
        let len = self.copies.len() as u64;
        if back < len {
            let (_, object, number) = self.copies[(len - back) as usize].clone();
            self.copies.truncate((len - back) as usize);
            (self.object, self.number) = (object, number);
            self.epoch += 1;
        }
    }

    /// Plays for a minute. Returns the orders: time, holder, fencing number.
    fn run(&mut self) -> Vec<(u64, (u16, u64), u64)> {
        let mut orders = Vec::new();
        let mut owner = 0;
        while self.now < 60_000 {
            self.now += STEP_MS;
            if self.now.is_multiple_of(200) {
                self.copies
                    .push((self.now, self.object.clone(), self.number));
            }
            if self.below(60) == 0 {
                self.number += self.rng.next_u64() % 2;
            }
            if self.below(1_000) == 0 {
                owner = self.below(u64::from(DAEMONS)) as u16;
            }
            if self.below(1_200) == 0 {
                self.return_store();
            }
            let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.mail)
                .into_iter()
                .partition(|mail| mail.0 <= self.now);
            self.mail = rest;
            for (_, index, restart, message) in due {
                let daemon = &self.daemons[usize::from(index)];
                let is_stopped = daemon.stopped_until > self.now;
                match message {
                    Message::Answer(..) if is_stopped => {
                        let at = daemon.stopped_until;
                        self.mail.push((at, index, restart, message));
                    }
                    message => self.deliver(index, restart, message),
                }
            }
            for index in 0..DAEMONS {
                if self.below(3_000) == 0 {
                    let restart = self.daemons[usize::from(index)].restart + 1;
                    self.daemons[usize::from(index)] = daemon(index, restart);
                }
                if self.below(1_500) == 0 {
                    let until = self.now + self.below(8_000);
                    self.daemons[usize::from(index)].stopped_until = until;
                }
                if self.daemons[usize::from(index)].stopped_until > self.now {
                    continue;
                }
                if self.below(300) == 0 {
                    // A message of another daemon carries its epoch.
                    let other = self.below(u64::from(DAEMONS)) as usize;
                    let epoch = self.daemons[other].epoch;
                    self.learn(index, epoch);
                }
                let now = self.time();
                let owner = member(owner, self.daemons_restart(owner)).incarnation;
                let daemon = &mut self.daemons[usize::from(index)];
                daemon.leases.set_groups([GROUP]);
                daemon.leases.set_rollout_owner(Some(owner));
                let commands = daemon.leases.handle(LeaseEvent::Tick, now, &daemon.members);
                let restart = daemon.restart;
                if let Ok(grant) = daemon.leases.try_grant_order(&GROUP, now) {
                    daemon
                        .leases
                        .handle(LeaseEvent::OrderDone(GROUP), now, &daemon.members);
                    orders.push((self.now, (index, restart), grant.fence.get()));
                }
                for command in commands {
                    let message = match command {
                        LeaseCommand::Read(_) => Message::Read,
                        LeaseCommand::Write {
                            object, expected, ..
                        } => Message::Write(object, expected),
                    };
                    let at = self.now + self.delay(true);
                    self.mail.push((at, index, restart, message));
                }
            }
        }
        orders
    }

    fn daemons_restart(&self, index: u16) -> u64 {
        self.daemons[usize::from(index)].restart
    }
}

/// Guards against orders of two holders too close to each other, and against fencing numbers that go
/// back, whatever the store's returns, late writes and daemons that learn late.
#[test]
fn orders_keep_their_distance_and_fences_across_returns() {
    let mut failed = Vec::new();
    let mut turns = 0;
    for seed in SEEDS {
        let mut play = Play {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 10_000,
            daemons: (0..DAEMONS).map(|index| daemon(index, 0)).collect(),
            object: None,
            number: 10,
            epoch: 1,
            copies: Vec::new(),
            mail: Vec::new(),
        };
        let orders = play.run();
        for pair in orders.windows(2) {
            let [(at, holder, fence), (next_at, next, next_fence)] = [pair[0], pair[1]];
            if holder == next {
                if next_fence < fence {
                    failed.push(format!(
                        "{seed}: {holder:?} itself {at} {}:{}, {next_at} {}:{}",
                        fence >> 40,
                        fence & 0xff_ffff,
                        next_fence >> 40,
                        next_fence & 0xff_ffff
                    ));
                }
                continue;
            }
            turns += 1;
            if next_at - at < 3_400 || next_fence <= fence {
                failed.push(format!(
                    "{seed}: {holder:?} {at} {}:{}, {next:?} {next_at} {}:{}",
                    fence >> 40,
                    fence & 0xff_ffff,
                    next_fence >> 40,
                    next_fence & 0xff_ffff
                ));
            }
        }
    }
    println!("{turns} turns, {} failed", failed.len());
    assert!(
        failed.is_empty(),
        "{} of {turns} turns: {:#?}",
        failed.len(),
        &failed[..failed.len().min(12)]
    );
}
