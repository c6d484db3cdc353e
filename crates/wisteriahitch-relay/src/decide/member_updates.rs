//! How a hub reports the members of a large fleet in its messages.
//!
//! Load pattern: a thousand daemons don't fit into one message. Therefore the members are divided
//! into pages, each message reports one page, and one rotation through all pages takes seconds.
//! Changes can't wait for their page: new members, changed phases and departures are repeated in
//! each message for a while. Receivers derive from the rotation how long a report is valid.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use wisteriahitch_types::{DurationUs, TimeUs};
use xxhash_rust::xxh3::xxh3_64;

use super::gossip_message::{GossipMessage, MemberUpdate};
use super::member_rows::{MemberReport, PeerRow};
use super::members::PeerTable;

/// Mean number of daemons in a page.
const MEMBERS_PER_PAGE: usize = 60;

/// Maximum number of changed members in a message in addition to the current page. Further ones are
/// reported with their page.
const MAX_CHANGED_MEMBERS: usize = 60;

/// Mean number of departures in a message. More are divided into pages as well, and each is still
/// repeated in several messages if a third of some thousand daemons fails at the same time.
const DEPARTED_PER_PAGE: usize = 300;

/// How long a new or changed member is reported in each message, in addition to the current page.
const CHANGE_REPEAT_US: DurationUs = DurationUs::from_ms(1_000);

/// Time for which a page is the current one: one gossip interval over a narrow link, two over a wide
/// one.
const PAGE_ROTATION_US: DurationUs = DurationUs::from_ms(200);

/// Receiver of a hub's message, on which it depends which members are reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportReceiver {
    /// A daemon that the hub serves: it gets all members and the recent departures.
    Spoke,
    /// A hub of the same fleet: it gets the daemons that the sender serves, and those of them that have
    /// fallen silent lately.
    Hub,
    /// A daemon with another view of the fleet, which may be a hub of the other part: it gets the
    /// hubs and the daemons that the sender serves. Members that other hubs have reported are left
    /// out. Two hubs would otherwise report a failed member to each other forever.
    OtherView,
}

/// Adds the live members that a receiver needs to a hub's message.
pub fn add_member_updates(
    table: &PeerTable,
    message: &mut GossipMessage,
    receiver: ReportReceiver,
    now: TimeUs,
) {
    let mut rows: Vec<MemberReport> = table
        .alive(now)
        .filter(|peer| receiver != ReportReceiver::Hub || !peer.is_hub)
        .map(PeerRow::report)
        .collect();
    if receiver == ReportReceiver::Spoke {
        rows.extend(table.recent_indirect_members(now));
    }
    let departed = match receiver {
        ReportReceiver::Spoke => table.recent_departures(now),
        ReportReceiver::Hub => table.recent_silences(now),
        ReportReceiver::OtherView => BTreeSet::new(),
    };
    let pages = departed.len().div_ceil(DEPARTED_PER_PAGE).max(1);
    let is_on_page = |ip: &Ipv4Addr| page_of(*ip, pages) == current_page(pages, now);
    message.membership.departed = departed.into_iter().filter(is_on_page).collect();
    let pages = rows.len().div_ceil(MEMBERS_PER_PAGE).max(1);
    message.membership.rotation_ms = rotation_ms(pages);
    let mut reports: Vec<MemberReport> = Vec::new();
    let mut changed = 0;
    for row in rows {
        let is_changed = now.since(row.changed_at_us) < CHANGE_REPEAT_US;
        let is_on_page = page_of(row.entry.ip, pages) == current_page(pages, now);
        if is_on_page || (is_changed && changed < MAX_CHANGED_MEMBERS) {
            changed += usize::from(!is_on_page);
            reports.push(row);
        }
    }
    for MemberReport { entry, phase, .. } in reports {
        let known = message.zones.iter().position(|known| *known == entry.zone);
        let zone = known.unwrap_or_else(|| {
            message.zones.push(entry.zone);
            message.zones.len() - 1
        });
        message.members.push(MemberUpdate {
            ip: entry.ip,
            zone: u8::try_from(zone).unwrap_or(u8::MAX),
            phase,
            capacity: entry.capacity,
            link_mbps: entry.link_mbps,
        });
    }
}

/// Returns the page of a member. It depends on the member's address alone. If other members that
/// come and go moved it to a page that has just been sent, it would miss a whole rotation.
fn page_of(ip: Ipv4Addr, pages: usize) -> usize {
    let hash = xxh3_64(&ip.octets());
    usize::try_from(hash % u64::try_from(pages).unwrap_or(1)).unwrap_or(0)
}

/// Returns the number of the current page.
pub(crate) fn current_page(pages: usize, now: TimeUs) -> usize {
    usize::try_from(now.get() / PAGE_ROTATION_US.get()).unwrap_or(0) % pages
}

/// Returns the time of one rotation through `pages`, in milliseconds; zero if there is only one.
fn rotation_ms(pages: usize) -> u32 {
    let rotation_ms = match u64::try_from(pages).unwrap_or(u64::MAX) {
        0 | 1 => 0,
        pages => pages.saturating_mul(PAGE_ROTATION_US.as_ms()),
    };
    u32::try_from(rotation_ms).unwrap_or(u32::MAX)
}
