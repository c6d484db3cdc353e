//! gRPC protocol between the daemons of wisteriahitch.
//!
//! `proto/wisteriahitch_peer.proto` defines the messages. [`PeerClient`] sends calls, and
//! [`serve_peers`] passes received calls to a [`PeerHandler`]. `docs/design/peers.md` explains the
//! design.

mod client;
mod convert;
mod error;
mod generated;
mod identity;
mod limit;
mod server;

pub use client::PeerClient;
pub use convert::{DecodeError, Sender, decode_address, encode_address};
pub use error::{PeerError, PeerErrorKind};
pub use generated::{
    BlockHint, Envelope, ForwardMeaning, ForwardReply, ForwardRequest, Header, HintKind,
    IndirectProbeReply, IndirectProbeRequest, KeyKind, MemberNews, MemberState, ProbeReply,
    ProbeRequest, PublishBlocksReply, PublishBlocksRequest, PullConfigurationReply,
    PullConfigurationRequest, PushConfigurationReply, PushConfigurationRequest, Section,
    StatusReply, StatusRequest,
};
pub use identity::PeerIdentity;
pub use limit::{
    MAX_FORWARD_BODY_BYTES, MAX_HINTS, MAX_MESSAGE_BYTES, MAX_NEWS, MAX_SECTION_BATCH_BYTES,
};
pub use server::{PeerHandler, serve_peers};
