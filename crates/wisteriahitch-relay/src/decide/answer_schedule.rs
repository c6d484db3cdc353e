//! Whether a daemon sends a large answer itself, or names a peer that has it as well.
//!
//! Load pattern: a hub behind a narrow link has a new configuration, and the twenty daemons that it
//! serves ask for it at the same time. If it sent to all of them at once, all would have it only
//! after twenty times the time that one takes. It sends to a few, and these serve the next, so that
//! the time grows with the logarithm of their number (`docs/design/large-objects.md`).

use std::net::Ipv4Addr;

use wisteriahitch_types::{ByteCount, DurationUs, TimeUs};

/// Share of a link on which large answers are planned; callers take the rest.
const PLANNED_LINK_SHARE: f64 = 0.25;

/// Longest planned time until the last answer that was begun has been sent. It is several answers on a
/// wide link, and at least one on a narrow link.
const MAX_BACKLOG_US: DurationUs = DurationUs::from_ms(400);

/// What a daemon does with a request for a large answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Serving {
    /// Send the answer.
    Send,
    /// Name this peer, which has it as well.
    Refer(Ipv4Addr),
    /// Refuse the request, which the peer repeats: the link is busy, and no other peer is known to have
    /// the objects.
    Postpone,
}

/// Large answers that a daemon is sending.
#[derive(Debug, Default)]
pub struct AnswerSchedule {
    /// When the answers that were begun have been sent, as planned.
    free_at_us: TimeUs,
    referrals: usize,
}

impl AnswerSchedule {
    /// Decides about a request for an answer of this size, over a link of this rate. `holders` are the
    /// other daemons that have the same objects.
    pub fn serve(
        &mut self,
        bytes: ByteCount,
        link_mbps: u16,
        holders: &[Ipv4Addr],
        now: TimeUs,
    ) -> Serving {
        if self.free_at_us.since(now) <= MAX_BACKLOG_US {
            let planned_bits_per_us = f64::from(link_mbps.max(1)) * PLANNED_LINK_SHARE;
            let duration_us = bytes.get() as f64 * 8.0 / planned_bits_per_us;
            self.free_at_us = self.free_at_us.max(now) + DurationUs::new(duration_us as u64);
            return Serving::Send;
        }
        if holders.is_empty() {
            return Serving::Postpone;
        }
        self.referrals = self.referrals.wrapping_add(1);
        Serving::Refer(holders[self.referrals % holders.len()])
    }
}
