//! Leases after the platform's store has returned with an older copy of their objects.

use wisteriahitch_core::fleet::{
    LeaseCommand, LeaseEvent, LeaseGroup, LeaseHolder, LeaseObject, LeaseSettings, LeaseTable,
    Membership,
};
use wisteriahitch_types::{DurationUs, Incarnation, TimeUs};

use crate::fleet::{full_membership, member};

pub(crate) const SETTINGS: LeaseSettings = LeaseSettings {
    term_us: DurationUs::from_ms(1_100),
    renew_before_us: DurationUs::from_ms(700),
    order_timeout_us: DurationUs::from_ms(3_400),
    margin_us: DurationUs::from_ms(250),
    read_interval_us: DurationUs::from_ms(300),
};

pub(crate) const GROUP: LeaseGroup = LeaseGroup::RolloutSlot(0);

/// Time between two ticks.
const TICK: DurationUs = DurationUs::from_ms(50);

struct Daemon {
    leases: LeaseTable,
    members: Membership,
    object: Option<(LeaseObject, u64)>,
    now: TimeUs,
}

impl Daemon {
    /// Runs for `time`; the store answers at once, except for the first `unanswered` writes. Returns
    /// when the first order was granted.
    fn run(&mut self, time: DurationUs, unanswered: &mut usize) -> Option<TimeUs> {
        let end = self.now + time;
        let mut granted_at = None;
        while self.now < end {
            self.leases.set_groups([GROUP]);
            for command in self.handle(LeaseEvent::Tick) {
                let event = match command {
                    LeaseCommand::Read(group) => LeaseEvent::Read {
                        group,
                        object: self.object.clone(),
                    },
                    LeaseCommand::Write { group, object, .. } => {
                        let version = self.object.as_ref().map_or(0, |(_, version)| *version) + 1;
                        let write_number = object.write_number;
                        self.object = Some((object, version));
                        if *unanswered > 0 {
                            *unanswered -= 1;
                            continue;
                        }
                        LeaseEvent::Written {
                            group,
                            write_number,
                            object_version: version,
                        }
                    }
                };
                self.handle(event);
            }
            if granted_at.is_none() && self.leases.try_grant_order(&GROUP, self.now).is_ok() {
                self.handle(LeaseEvent::OrderDone(GROUP));
                granted_at = Some(self.now);
            }
            self.now = self.now + TICK;
        }
        granted_at
    }

    fn handle(&mut self, event: LeaseEvent) -> Vec<LeaseCommand> {
        self.leases.handle(event, self.now, &self.members)
    }
}

/// Holder that the copy names.
#[derive(Clone, Copy, Debug)]
enum Copied {
    NoObject,
    /// It was released, and all its orders had ended.
    Nobody,
    ThisDaemon,
    AnotherDaemon,
}

struct Case {
    copied: Copied,
    /// Whether this daemon had the lease before the return.
    was_holder: bool,
    /// Whether a write of the time before is answered after the return.
    has_late_answer: bool,
}

/// Guards against orders right after the store's return, while another daemon's last orders under a
/// lease that the copy lacks may still arrive.
#[test]
fn no_order_follows_the_return_before_lost_leases_have_ended() {
    let copies = [
        Copied::NoObject,
        Copied::Nobody,
        Copied::ThisDaemon,
        Copied::AnotherDaemon,
    ];
    let cases = copies.into_iter().flat_map(|copied| {
        [(false, false), (true, false), (true, true)].map(|(was_holder, has_late_answer)| Case {
            copied,
            was_holder,
            has_late_answer,
        })
    });
    for case in cases {
        let name = format!("{:?}, was holder: {}", case.copied, case.was_holder);
        let me = member(0, 0);
        let holder = LeaseHolder {
            daemon: me.daemon,
            incarnation: me.incarnation,
        };
        let mut leases = LeaseTable::new(holder.clone(), SETTINGS);
        leases.set_rollout_owner(Some(me.incarnation));
        let mut daemon = Daemon {
            leases,
            members: full_membership(0, &[0]),
            object: None,
            now: TimeUs::ZERO + DurationUs::from_ms(10_000),
        };
        let mut unanswered = usize::from(case.has_late_answer) * usize::MAX;
        if case.was_holder {
            let granted = daemon.run(DurationUs::from_ms(200), &mut 0);
            assert!(granted.is_some(), "{name}");
            daemon.run(DurationUs::from_ms(600), &mut unanswered);
        }
        let lost = daemon.object.take();
        let object = |holder, is_settled| LeaseObject {
            holder,
            write_number: 1,
            term_us: SETTINGS.term_us,
            order_timeout_us: SETTINGS.order_timeout_us,
            is_settled,
        };
        let other = LeaseHolder {
            incarnation: Incarnation::new(77),
            ..holder.clone()
        };
        let copied = match case.copied {
            Copied::NoObject => None,
            Copied::Nobody => Some(object(None, true)),
            Copied::ThisDaemon => Some(object(Some(holder), false)),
            Copied::AnotherDaemon => Some(object(Some(other), false)),
        };
        daemon.object = copied.map(|object| (object, 1));
        daemon.handle(LeaseEvent::StoreRestored);
        if let Some((object, version)) = lost.filter(|_| case.has_late_answer) {
            daemon.handle(LeaseEvent::Written {
                group: GROUP,
                write_number: object.write_number,
                object_version: version,
            });
        }
        let returned_at = daemon.now;
        let granted = daemon.run(DurationUs::from_ms(12_000), &mut 0);
        let waited = granted.map(|at| at.since(returned_at));
        let wait_us = SETTINGS.term_us + SETTINGS.order_timeout_us;
        assert!(
            waited.is_some_and(|time| time >= wait_us),
            "{name}: {waited:?}"
        );
    }
}

/// Guards against a fencing number that goes back: an answer to a read arrives after the answer to the
/// write that overtook it.
#[test]
fn an_overtaken_read_lowers_no_fencing_number() {
    let me = member(0, 0);
    let holder = LeaseHolder {
        daemon: me.daemon,
        incarnation: me.incarnation,
    };
    let mut leases = LeaseTable::new(holder, SETTINGS);
    leases.set_rollout_owner(Some(me.incarnation));
    let mut daemon = Daemon {
        leases,
        members: full_membership(0, &[0]),
        object: None,
        now: TimeUs::ZERO + DurationUs::from_ms(10_000),
    };
    assert!(daemon.run(DurationUs::from_ms(200), &mut 0).is_some());
    // The renewal's answer takes so long that the lease is read meanwhile.
    let (mut written, mut read) = (None, None);
    while read.is_none() {
        daemon.now = daemon.now + TICK;
        for command in daemon.handle(LeaseEvent::Tick) {
            match command {
                LeaseCommand::Read(_) => read = daemon.object.clone(),
                LeaseCommand::Write {
                    object, expected, ..
                } => written = Some((object.write_number, expected + 1)),
            }
        }
    }
    let (write_number, object_version) = written.unwrap();
    daemon.handle(LeaseEvent::Written {
        group: GROUP,
        write_number,
        object_version,
    });
    let fence = |daemon: &mut Daemon| {
        let granted = daemon.leases.try_grant_order(&GROUP, daemon.now);
        granted.unwrap().fence
    };
    let before = fence(&mut daemon);
    daemon.handle(LeaseEvent::Read {
        group: GROUP,
        object: read,
    });
    let after = fence(&mut daemon);
    assert!(after >= before, "{after:?} after {before:?}");
}
