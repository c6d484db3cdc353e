//! From the fields of a message to the types of wisteriahitch.
//!
//! A message of a peer is checked like any other input: a peer may run another version, and an
//! address may by now belong to another program.

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use wisteriahitch_types::{BlockKey, Code, DaemonId, Incarnation, ParseIdError};

use crate::{
    BlockHint, Envelope, ForwardReply, ForwardRequest, IndirectProbeRequest, KeyKind,
    MAX_FORWARD_BODY_BYTES, MAX_HINTS, MAX_NEWS, MemberNews, MemberState,
};

/// Bytes of a port in an address.
const PORT_BYTES: usize = 2;

/// Reports a message whose fields can't be what they stand for.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// The message has no envelope.
    #[error("the envelope is missing")]
    NoEnvelope,
    /// An incarnation is 0, which names nobody.
    #[error("the incarnation is 0")]
    NoIncarnation,
    /// A name is malformed.
    #[error("bad name: {0}")]
    BadName(#[from] ParseIdError),
    /// An address isn't an IP address with a port.
    #[error("bad address {0:?}")]
    BadAddress(String),
    /// An enumeration holds a number that this version doesn't know.
    #[error("unknown {field}: {number}")]
    UnknownNumber {
        /// Name of the field.
        field: &'static str,
        /// Number that it holds.
        number: i32,
    },
    /// A list or a body is longer than its bound.
    #[error("{field} has {len} items, more than {max}")]
    TooLong {
        /// Name of the field.
        field: &'static str,
        /// Length that it has.
        len: usize,
        /// Length that it may have.
        max: usize,
    },
    /// A key doesn't have 16 bytes.
    #[error("a block key has 16 bytes")]
    BadKey,
}

/// Holds the checked sender of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sender {
    /// Configured name.
    pub daemon: DaemonId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Incarnation that the message is meant for, if it names one.
    pub meant_for: Option<Incarnation>,
}

impl Envelope {
    /// Returns who sent the message.
    ///
    /// # Errors
    ///
    /// Fails where the name is malformed or the incarnation is 0.
    pub fn sender(&self) -> Result<Sender, DecodeError> {
        let meant_for = (self.meant_for != 0).then(|| Incarnation::new(self.meant_for));
        Ok(Sender {
            daemon: self.daemon_id.parse()?,
            incarnation: parse_incarnation(self.incarnation)?,
            meant_for,
        })
    }
}

/// Returns who sent a message with this `envelope`.
pub(crate) fn checked_sender(envelope: Option<&Envelope>) -> Result<Sender, DecodeError> {
    envelope.ok_or(DecodeError::NoEnvelope)?.sender()
}

impl MemberNews {
    /// Checks every field, so that the later reads can't fail.
    ///
    /// # Errors
    ///
    /// Names the first field that is malformed.
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

    /// Returns whether the news leaves out the addresses, which a teller does once a member is
    /// suspect or gone.
    pub fn omits_addresses(&self) -> bool {
        let is_up = matches!(self.state(), MemberState::Alive | MemberState::Draining);
        !is_up && self.peer_address.is_empty()
    }
}

impl IndirectProbeRequest {
    /// Returns whom to probe.
    ///
    /// # Errors
    ///
    /// Fails where the address is malformed or the incarnation is 0.
    pub fn target(&self) -> Result<(SocketAddr, Incarnation), DecodeError> {
        let address = parse_address(&self.target_address)?;
        Ok((address, parse_incarnation(self.target_incarnation)?))
    }
}

impl ForwardRequest {
    /// Checks what the receiver relies on before it acts.
    ///
    /// # Errors
    ///
    /// Fails where the workspace is malformed, the kind is unknown or the body is too long.
    pub fn check(&self) -> Result<(), DecodeError> {
        self.workspace.parse::<wisteriahitch_types::WorkspaceId>()?;
        if self.kind() == KeyKind::Unspecified {
            return Err(unknown("kind", self.kind));
        }
        check_len("body", self.body.len(), MAX_FORWARD_BODY_BYTES)
    }
}

impl ForwardReply {
    /// Returns the result code of a refusal, or nothing for the endpoint's own answer and for a
    /// code that this version doesn't know.
    pub fn result_code(&self) -> Option<Code> {
        u16::try_from(self.code)
            .ok()
            .and_then(Code::try_from_number)
    }
}

impl BlockHint {
    /// Returns the block that the hint is about.
    ///
    /// # Errors
    ///
    /// Fails where the key doesn't have 16 bytes.
    pub fn block_key(&self) -> Result<BlockKey, DecodeError> {
        let bytes = self.key.as_ref().try_into();
        bytes
            .map(BlockKey::from_bytes)
            .map_err(|_| DecodeError::BadKey)
    }
}

/// Checks the length and every piece of a list of news.
pub(crate) fn check_news(news: &[MemberNews]) -> Result<(), DecodeError> {
    check_len("news", news.len(), MAX_NEWS)?;
    news.iter().try_for_each(MemberNews::check)
}

/// Checks the length of a list of hints.
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

/// Writes an address in as few bytes as it needs, since membership news has little room.
pub fn encode_address(address: SocketAddr) -> Bytes {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes.into()
}

/// Reads an address that [`encode_address`] wrote.
///
/// # Errors
///
/// Fails where the length is neither that of an IPv4 nor that of an IPv6 address with its port.
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
