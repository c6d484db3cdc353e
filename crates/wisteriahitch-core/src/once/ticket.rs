//! Tickets: idempotency keys that a daemon issues.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{Code, Incarnation, TimeUs};

const TICKET_PREFIX: &str = "wt1-";
const PART_SEPARATOR: char = '-';

/// Length of each of the two MACs of a ticket, in bytes.
pub(crate) const MAC_LEN: usize = 16;
const MAC_HEX_LEN: usize = 4 * MAC_LEN;

/// Serial number of a ticket among those of one incarnation.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TicketSerial(pub(crate) u64);

impl fmt::Display for TicketSerial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The text is not a well-formed ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a ticket has the form wt1-INCARNATION-SERIAL-EXPIRY-MAC")]
pub struct ParseTicketError;

impl ParseTicketError {
    /// Returns the code for callers.
    pub const fn code(self) -> Code {
        Code::BadKey
    }
}

/// An idempotency key that only the issuing incarnation may use to dispatch a request.
///
/// The text form is `wt1-<incarnation hex>-<serial>-<expiry us>-<mac hex>`. The expiry is a time on
/// the issuing process's own clock and has no meaning in other processes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    pub(crate) incarnation: Incarnation,
    pub(crate) serial: TicketSerial,
    pub(crate) expires_us: TimeUs,
    /// MAC over the ticket, which shows that the issuer created it.
    pub(crate) issuer_mac: [u8; MAC_LEN],
    /// MAC over the ticket and the workspace that it was issued to.
    pub(crate) workspace_mac: [u8; MAC_LEN],
}

impl Ticket {
    /// Returns the incarnation that issued the ticket, the only one that may dispatch its request.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the serial number among the tickets of the issuer.
    pub const fn serial(&self) -> TicketSerial {
        self.serial
    }

    /// Returns the time, on the issuer's own clock, from which a first use is refused.
    pub const fn expires_us(&self) -> TimeUs {
        self.expires_us
    }

    /// Returns whether a key that a caller sent has the prefix of a ticket. It may be malformed.
    pub fn is_ticket_text(text: &str) -> bool {
        text.starts_with(TICKET_PREFIX)
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (incarnation, expires_us) = (self.incarnation.get(), self.expires_us.get());
        write!(
            f,
            "{TICKET_PREFIX}{incarnation:x}-{}-{expires_us}-",
            self.serial
        )?;
        let macs = self.issuer_mac.iter().chain(&self.workspace_mac);
        macs.into_iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rest = text.strip_prefix(TICKET_PREFIX).ok_or(ParseTicketError)?;
        let parts: Vec<&str> = rest.split(PART_SEPARATOR).collect();
        let [incarnation, serial, expiry, macs] = parts[..] else {
            return Err(ParseTicketError);
        };
        let incarnation = parse_number(incarnation, 16)?;
        let macs = parse_macs(macs)?;
        let ticket = Self {
            incarnation: Incarnation::new(incarnation),
            serial: TicketSerial(parse_number(serial, 10)?),
            expires_us: TimeUs::new(parse_number(expiry, 10)?),
            issuer_mac: macs.0,
            workspace_mac: macs.1,
        };
        Ok(ticket)
    }
}

fn parse_number(text: &str, radix: u32) -> Result<u64, ParseTicketError> {
    let has_digits_alone = text.bytes().all(|byte| byte.is_ascii_alphanumeric());
    if !has_digits_alone {
        return Err(ParseTicketError);
    }
    u64::from_str_radix(text, radix).map_err(|_| ParseTicketError)
}

fn parse_macs(text: &str) -> Result<([u8; MAC_LEN], [u8; MAC_LEN]), ParseTicketError> {
    if text.len() != MAC_HEX_LEN || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(ParseTicketError);
    }
    let (issuer, workspace) = text.split_at(MAC_HEX_LEN / 2);
    Ok((parse_mac(issuer)?, parse_mac(workspace)?))
}

fn parse_mac(text: &str) -> Result<[u8; MAC_LEN], ParseTicketError> {
    let number = u128::from_str_radix(text, 16).map_err(|_| ParseTicketError)?;
    Ok(number.to_be_bytes())
}
