//! Validation of peer messages and conversion of their fields to typed values.
//!
//! Messages from peers are validated like any other input: a peer may run another version, and its
//! address may meanwhile belong to another program.

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use wisteriahitch_types::{BlockKey, Code, DaemonId, Incarnation, ParseIdError};

use crate::{
    BlockHint, Envelope, ForwardReply, ForwardRequest, IndirectProbeRequest, KeyKind,
    MAX_FORWARD_BODY_BYTES, MAX_HINTS, MAX_NEWS, MemberNews, MemberState,
};

/// Length in bytes of the port in an encoded address.
const PORT_BYTES: usize = 2;

/// Error of validating a peer message.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// The message has no envelope.
    #[error("the envelope is missing")]
    NoEnvelope,
    /// An incarnation is 0, which identifies no daemon.
    #[error("the incarnation is 0")]
    NoIncarnation,
    /// A name is not a valid identifier.
    #[error("bad name: {0}")]
    BadName(#[from] ParseIdError),
    /// An address is not an IP address with a port.
    #[error("bad address {0:?}")]
    BadAddress(String),
    /// An enum field has a number that this version does not know.
    #[error("unknown {field}: {number}")]
    UnknownNumber {
        /// Name of the field.
        field: &'static str,
        /// Unknown number in the field.
        number: i32,
    },
    /// A list or a body is too long.
    #[error("{field} has {len} items, more than {max}")]
    TooLong {
        /// Name of the field.
        field: &'static str,
        /// Actual length: entries of a list, or bytes of a body.
        len: usize,
        /// Maximum length.
        max: usize,
    },
    /// A block key does not have 16 bytes.
    #[error("a block key has 16 bytes")]
    BadKey,
}

/// Sender of a message, from its validated envelope.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sender {
    /// Configured name of the sending daemon.
    pub daemon: DaemonId,
    /// Incarnation of the sending daemon.
    pub incarnation: Incarnation,
    /// Incarnation that must handle the message; `None` if any may.
    pub meant_for: Option<Incarnation>,
}

impl Envelope {
    /// Returns the validated sender.
    ///
    /// # Errors
    ///
    /// Fails if the daemon's name is malformed or its incarnation is 0.
    pub fn sender(&self) -> Result<Sender, DecodeError> {
        let meant_for = (self.meant_for != 0).then(|| Incarnation::new(self.meant_for));
        Ok(Sender {
            daemon: self.daemon_id.parse()?,
            incarnation: parse_incarnation(self.incarnation)?,
            meant_for,
        })
    }
}

/// Returns the validated sender from a message's `envelope`; fails if there is none.
pub(crate) fn checked_sender(envelope: Option<&Envelope>) -> Result<Sender, DecodeError> {
    envelope.ok_or(DecodeError::NoEnvelope)?.sender()
}

impl MemberNews {
    /// Validates all fields that are parsed later, so that those reads cannot fail.
    ///
    /// # Errors
    ///
    /// Returns the error of the first invalid field.
    pub fn check(&self) -> Result<(), DecodeError> {
        self.daemon_id.parse::<DaemonId>()?;
        parse_incarnation(self.incarnation)?;
        if self.state() == MemberState::Unspecified {
            return Err(unknown("state", self.state));
        }
        if self.omits_addresses() {
            return Ok(());
        }
        decode_address(&self.caller_address)?;
        decode_address(&self.peer_address)?;
        decode_address(&self.operator_address)?;
        self.availability_zone
            .parse::<wisteriahitch_types::AvailabilityZone>()?;
        Ok(())
    }

    /// Returns whether the update omits the addresses. Senders omit them for a member that is
    /// suspected, dead or has left.
    pub fn omits_addresses(&self) -> bool {
        let is_up = matches!(self.state(), MemberState::Alive | MemberState::Draining);
        !is_up && self.peer_address.is_empty()
    }
}

impl IndirectProbeRequest {
    /// Returns the address and the incarnation of the daemon to probe.
    ///
    /// # Errors
    ///
    /// Fails if the address is malformed or the incarnation is 0.
    pub fn target(&self) -> Result<(SocketAddr, Incarnation), DecodeError> {
        let address = parse_address(&self.target_address)?;
        Ok((address, parse_incarnation(self.target_incarnation)?))
    }
}

impl ForwardRequest {
    /// Validates the fields that the receiver relies on.
    ///
    /// # Errors
    ///
    /// Fails if the workspace is malformed, the kind of key is unknown or the body is longer than
    /// [`MAX_FORWARD_BODY_BYTES`].
    pub fn check(&self) -> Result<(), DecodeError> {
        self.workspace.parse::<wisteriahitch_types::WorkspaceId>()?;
        if self.kind() == KeyKind::Unspecified {
            return Err(unknown("kind", self.kind));
        }
        check_len("body", self.body.len(), MAX_FORWARD_BODY_BYTES)
    }
}

impl ForwardReply {
    /// Returns the result code of a refusal; `None` for an answer from the endpoint itself and for
    /// a code that this version does not know.
    pub fn result_code(&self) -> Option<Code> {
        u16::try_from(self.code)
            .ok()
            .and_then(Code::try_from_number)
    }
}

impl BlockHint {
    /// Returns the key of the block that the hint is about.
    ///
    /// # Errors
    ///
    /// Fails if the key does not have 16 bytes.
    pub fn block_key(&self) -> Result<BlockKey, DecodeError> {
        let bytes = self.key.as_ref().try_into();
        bytes
            .map(BlockKey::from_bytes)
            .map_err(|_| DecodeError::BadKey)
    }
}

/// Validates a list of membership updates: its length and each update.
pub(crate) fn check_news(news: &[MemberNews]) -> Result<(), DecodeError> {
    check_len("news", news.len(), MAX_NEWS)?;
    news.iter().try_for_each(MemberNews::check)
}

/// Validates the length of a list of directory hints.
pub(crate) fn check_hints(hints: &[BlockHint]) -> Result<(), DecodeError> {
    check_len("hints", hints.len(), MAX_HINTS)
}

fn check_len(field: &'static str, len: usize, max: usize) -> Result<(), DecodeError> {
    if len > max {
        return Err(DecodeError::TooLong { field, len, max });
    }
    Ok(())
}

fn parse_incarnation(number: u64) -> Result<Incarnation, DecodeError> {
    if number == 0 {
        return Err(DecodeError::NoIncarnation);
    }
    Ok(Incarnation::new(number))
}

fn parse_address(text: &str) -> Result<SocketAddr, DecodeError> {
    text.parse()
        .map_err(|_| DecodeError::BadAddress(text.chars().take(64).collect()))
}

/// Encodes an address as the octets of the IP address and the port in big-endian order.
///
/// The encoding is compact because messages with membership updates are small.
pub fn encode_address(address: SocketAddr) -> Bytes {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes.into()
}

/// Decodes an address encoded by [`encode_address`].
///
/// # Errors
///
/// Fails unless the length is 6 bytes (IPv4) or 18 bytes (IPv6).
pub fn decode_address(bytes: &[u8]) -> Result<SocketAddr, DecodeError> {
    let bad = || DecodeError::BadAddress(format!("{bytes:?}").chars().take(64).collect());
    let (ip, port) = bytes.split_last_chunk::<PORT_BYTES>().ok_or_else(bad)?;
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        IpAddr::from(octets)
    } else if let Ok(octets) = <[u8; 16]>::try_from(ip) {
        IpAddr::from(octets)
    } else {
        return Err(bad());
    };
    Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}

fn unknown(field: &'static str, number: i32) -> DecodeError {
    DecodeError::UnknownNumber { field, number }
}
