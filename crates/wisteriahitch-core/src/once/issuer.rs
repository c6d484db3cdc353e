//! Issues and verifies tickets.

use std::collections::{BTreeMap, HashMap};

use wisteriahitch_types::{Code, DurationUs, Incarnation, TimeUs, WorkspaceId};

use super::ticket::MAC_LEN;
use super::{IdempotencyKey, Ticket, TicketSerial};

/// Maximum number of unused tickets of one workspace, so that a workspace that requests many
/// without using them cannot take the whole of [`MAX_UNUSED`].
const MAX_UNUSED_PER_WORKSPACE: usize = 1_024;

/// Maximum number of unused tickets of all workspaces; limits the memory of the issuer.
const MAX_UNUSED: usize = 65_536;

const ISSUER_LABEL: &[u8] = b"wt1 issuer";
const WORKSPACE_LABEL: &[u8] = b"wt1 workspace";

/// MAC key that a process generates at random when it starts and never discloses.
pub struct TicketSecret([u8; 32]);

impl TicketSecret {
    /// Wraps 32 random bytes.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

/// Issues tickets that only this incarnation of the daemon accepts.
///
/// The state lives in memory only. When the process ends, its tickets become permanently unusable,
/// so they are safe without a store, a lease or synchronized clocks
/// (`docs/design/at-most-once.md`).
pub struct TicketIssuer {
    incarnation: Incarnation,
    secret: TicketSecret,
    next_serial: u64,
    is_stopped: bool,
    unused: BTreeMap<(TimeUs, TicketSerial), WorkspaceId>,
    unused_by_workspace: HashMap<WorkspaceId, usize>,
}

impl TicketIssuer {
    /// Creates the issuer of one incarnation.
    pub fn new(incarnation: Incarnation, secret: TicketSecret) -> Self {
        Self {
            incarnation,
            secret,
            next_serial: 0,
            is_stopped: false,
            unused: BTreeMap::new(),
            unused_by_workspace: HashMap::new(),
        }
    }

    /// Issues up to `count` tickets that expire `lifetime` after `now`.
    ///
    /// Returns fewer when the limit of unused tickets of the workspace or of the process is
    /// reached, and none once the issuer is stopped.
    pub fn issue(
        &mut self,
        workspace: &WorkspaceId,
        count: usize,
        now: TimeUs,
        lifetime: DurationUs,
    ) -> Vec<Ticket> {
        self.tick(now);
        let expires_us = now + lifetime;
        let quota = self.remaining_quota(workspace).min(count);
        (0..quota)
            .map(|_| self.issue_one(workspace, expires_us))
            .collect()
    }

    /// Verifies the issuer and the workspace of a ticket, and returns its key for the table.
    ///
    /// Expiry is checked by the table, since only the table knows whether the key was used before.
    ///
    /// # Errors
    ///
    /// Returns [`Code::TicketHolderLost`] if another incarnation issued the ticket,
    /// [`Code::BadKey`] if the issuer's MAC is wrong, and [`Code::ForeignTicket`] if the ticket was
    /// issued to another workspace.
    pub fn verify(&self, ticket: &Ticket, workspace: &WorkspaceId) -> Result<IdempotencyKey, Code> {
        if ticket.incarnation != self.incarnation {
            return Err(Code::TicketHolderLost);
        }
        if !is_equal(&self.issuer_mac(ticket), &ticket.issuer_mac) {
            return Err(Code::BadKey);
        }
        if !is_equal(
            &self.workspace_mac(ticket, workspace),
            &ticket.workspace_mac,
        ) {
            return Err(Code::ForeignTicket);
        }
        Ok(IdempotencyKey::Ticket {
            workspace: workspace.clone(),
            incarnation: ticket.incarnation,
            serial: ticket.serial,
            expires_us: ticket.expires_us,
        })
    }

    /// Marks a ticket as used, so that draining no longer waits for it. Ignores claimed keys.
    pub fn mark_used(&mut self, key: &IdempotencyKey) {
        if let IdempotencyKey::Ticket {
            serial, expires_us, ..
        } = key
        {
            let removed = self.unused.remove(&(*expires_us, *serial));
            self.decrement_unused(removed);
        }
    }

    /// Returns whether an unused ticket has not expired yet. A draining daemon waits until there is
    /// none.
    pub fn has_redeemable_tickets(&self, now: TimeUs) -> bool {
        let newest = self.unused.last_key_value();
        newest.is_some_and(|((expires_us, _), _)| *expires_us > now)
    }

    /// Returns the number of issued tickets that are still unused, for diagnostics.
    pub fn unused_count(&self) -> usize {
        self.unused.len()
    }

    /// Stops issuing. Tickets that were issued before stay valid until they expire.
    pub fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// Returns the incarnation that is written into the tickets.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Removes tickets that expired unused.
    pub fn tick(&mut self, now: TimeUs) {
        while let Some(oldest) = self.unused.first_entry() {
            if oldest.key().0 > now {
                break;
            }
            let workspace = oldest.remove();
            self.decrement_unused(Some(workspace));
        }
    }

    fn remaining_quota(&self, workspace: &WorkspaceId) -> usize {
        if self.is_stopped {
            return 0;
        }
        let count = self
            .unused_by_workspace
            .get(workspace)
            .copied()
            .unwrap_or(0);
        let workspace_quota = MAX_UNUSED_PER_WORKSPACE.saturating_sub(count);
        workspace_quota.min(MAX_UNUSED.saturating_sub(self.unused.len()))
    }

    fn issue_one(&mut self, workspace: &WorkspaceId, expires_us: TimeUs) -> Ticket {
        let serial = TicketSerial(self.next_serial);
        self.next_serial += 1;
        let mut ticket = Ticket {
            incarnation: self.incarnation,
            serial,
            expires_us,
            issuer_mac: [0; MAC_LEN],
            workspace_mac: [0; MAC_LEN],
        };
        ticket.issuer_mac = self.issuer_mac(&ticket);
        ticket.workspace_mac = self.workspace_mac(&ticket, workspace);
        self.unused.insert((expires_us, serial), workspace.clone());
        *self
            .unused_by_workspace
            .entry(workspace.clone())
            .or_default() += 1;
        ticket
    }

    fn decrement_unused(&mut self, workspace: Option<WorkspaceId>) {
        let Some(workspace) = workspace else { return };
        if let Some(count) = self.unused_by_workspace.get_mut(&workspace) {
            *count -= 1;
            if *count == 0 {
                self.unused_by_workspace.remove(&workspace);
            }
        }
    }

    fn issuer_mac(&self, ticket: &Ticket) -> [u8; MAC_LEN] {
        self.mac(ISSUER_LABEL, ticket, &[])
    }

    fn workspace_mac(&self, ticket: &Ticket, workspace: &WorkspaceId) -> [u8; MAC_LEN] {
        self.mac(WORKSPACE_LABEL, ticket, workspace.as_str().as_bytes())
    }

    fn mac(&self, label: &[u8], ticket: &Ticket, workspace: &[u8]) -> [u8; MAC_LEN] {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret.0);
        hasher.update(label);
        hasher.update(&ticket.incarnation.get().to_le_bytes());
        hasher.update(&ticket.serial.0.to_le_bytes());
        hasher.update(&ticket.expires_us.get().to_le_bytes());
        hasher.update(workspace);
        let mut mac = [0; MAC_LEN];
        hasher.finalize_xof().fill(&mut mac);
        mac
    }
}

/// Compares two MACs in constant time.
///
/// A comparison that stops at the first difference would let a caller find a valid MAC byte by
/// byte by measuring how long refusals take.
fn is_equal(left: &[u8; MAC_LEN], right: &[u8; MAC_LEN]) -> bool {
    let difference = left.iter().zip(right).fold(0, |all, (l, r)| all | (l ^ r));
    difference == 0
}
