//! What daemons tell each other.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{CallRate, Incarnation, TimeUs};

use super::backlog::Load;
use crate::site::RequestFingerprint;

/// Says what a member does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberPhase {
    /// It has no configuration or endpoints yet.
    Starting,
    /// It serves.
    Ready,
    /// It will leave; it takes requests but is named to nobody.
    Draining,
}

/// Work at one endpoint that the receiver doesn't know from elsewhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// Short name of the endpoint.
    pub endpoint: u32,
    /// Work.
    pub load: Load,
    /// Whether an order keeps the endpoint from taking requests.
    pub is_reserved: bool,
}

/// What an endpoint said of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Short name of the endpoint.
    pub endpoint: u32,
    /// Calls that it takes from all daemons together; none where it names no limit any more.
    pub rate: Option<CallRate>,
    /// Time since its answer came.
    pub age_ms: u64,
}

/// A part that an endpoint has read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PartUpdate {
    /// Short name of the endpoint.
    pub endpoint: u32,
    /// Key of the part.
    pub part: u64,
    /// Size; zero where the part is gone.
    pub tokens: u32,
}

/// How fresh the sender's news of a store of prompt parts is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Short name of the store.
    pub store: u32,
    /// Life of the store.
    pub epoch: u64,
    /// Age of the news.
    pub age_ms: u32,
    /// The clock of stores and engines at the sending, if it is known.
    pub clock_ms: Option<u64>,
}

/// A part that a store has whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredPartUpdate {
    /// Short name of the store.
    pub store: u32,
    /// Key of the part.
    pub part: u64,
    /// Size.
    pub tokens: u32,
}

/// How much the sender knows of a kind of object in the platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KindUpdate {
    /// Revision of the last change that it knows.
    pub revision: u64,
    /// Time since the store was known to hold nothing newer; none where it never was.
    pub age_ms: Option<u32>,
}

/// An endpoint that crashed with a request on board.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Request.
    pub request: RequestFingerprint,
    /// Short name of the endpoint's life.
    pub endpoint: u32,
}

/// A request that no daemon sends to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BlockedUpdate {
    /// Request.
    pub request: RequestFingerprint,
    /// Time since it last came to a daemon.
    pub absent_ms: u64,
}

/// What the sender knows of requests under which endpoints crash.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RequestUpdate {
    /// Crashes that it has just learnt of.
    pub crashes: Vec<CrashUpdate>,
    /// Requests that are blocked.
    pub blocked: Vec<BlockedUpdate>,
    /// Requests that an endpoint has answered, of those that were held to be suspect.
    pub cleared: Vec<RequestFingerprint>,
    /// Requests that an operator has ordered to be sent again.
    pub lifted: Vec<RequestFingerprint>,
}

/// A daemon that the sender hears.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Address.
    pub ip: Ipv4Addr,
    /// Place of its zone in the message's list of zones.
    pub zone: u8,
    /// What it does.
    pub phase: MemberPhase,
    /// What it can carry.
    pub capacity: u16,
    /// Rate of its VM's link.
    pub link_mbps: u16,
}

/// What one daemon tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Life of the sender.
    pub incarnation: Incarnation,
    /// Counts the sender's messages, so that a late one isn't taken for the newest.
    pub number: u64,
    /// Address of the sender's VM; its ports are those of every daemon.
    pub ip: Ipv4Addr,
    /// Availability zone of the sender.
    pub zone: String,
    /// What the sender does.
    pub phase: MemberPhase,
    /// What the sender can carry, in thousandths of a core.
    pub capacity: u16,
    /// Rate of the sender's link.
    pub link_mbps: u16,
    /// Whether the sender is a hub, whose news include those of others.
    pub is_hub: bool,
    /// Whether the sender asks the stores itself.
    pub follows_stores: bool,
    /// Whether the store answers the sender, or one that it hears.
    pub is_store_reachable: bool,
    /// When it was sent, by the sender's clock.
    pub sent_at_us: TimeUs,
    /// What the sender knows of each kind of object, in the order in which daemons follow the kinds.
    pub kinds: Vec<KindUpdate>,
    /// Work of the sender, and of others where it is a hub.
    pub endpoints: Vec<EndpointUpdate>,
    /// Limits that endpoints name, or have just ceased to name.
    pub limits: Vec<LimitUpdate>,
    /// Short names of the lives of endpoints that have said in an answer that they leave.
    pub leaving: Vec<u32>,
    /// Short names of the engines whose memory the sender follows, or knows to be followed.
    pub followed: Vec<u32>,
    /// Short names of the endpoints that the sender couldn't connect to lately; of a hub those that
    /// several daemons couldn't.
    pub unreachable: Vec<u32>,
    /// Parts that were read since the last message.
    pub parts: Vec<PartUpdate>,
    /// Stores of prompt parts of which the sender has news.
    pub stores: Vec<StoreUpdate>,
    /// Parts that stores have got since the last message.
    #[serde(rename = "kept")]
    pub stored_parts: Vec<StoredPartUpdate>,
    /// Requests under which endpoints crash.
    pub requests: RequestUpdate,
    /// Names of the zones in `members`.
    pub zones: Vec<String>,
    /// Daemons that the sender hears.
    pub members: Vec<MemberUpdate>,
}

impl GossipMessage {
    /// Encodes the message in at most `max_bytes`, leaving out what is missed least.
    ///
    /// First go parts that engines have read, which are a hint; then crashes, those of the least suspect
    /// requests first; then parts that stores have got, which endpoints can't be reached, which engines are
    /// followed, then the load, then the limits of endpoints, and last which of them leave. What stores have
    /// got is told once only, and whoever misses it has the part read again. Left out whole whenever a message was too large, it cost 80 daemons 22.8 instead of
    /// 20.2 million tokens of shared parts that were read again (a day of 34 s, one run each).
    pub fn encoded(mut self, max_bytes: usize) -> Vec<u8> {
        loop {
            let message = postcard::to_stdvec(&self).unwrap_or_default();
            if message.len() <= max_bytes {
                return message;
            }
            if !self.parts.is_empty() {
                self.parts.truncate(self.parts.len() / 2);
            } else if !self.requests.crashes.is_empty() {
                let crashes = &mut self.requests.crashes;
                crashes.truncate(crashes.len() / 2);
            } else if !self.stored_parts.is_empty() {
                self.stored_parts.truncate(self.stored_parts.len() / 2);
            } else if !self.unreachable.is_empty() {
                self.unreachable.truncate(self.unreachable.len() / 2);
            } else if !self.followed.is_empty() {
                self.followed.truncate(self.followed.len() / 2);
            } else if self.endpoints.pop().is_none()
                && self.limits.pop().is_none()
                && self.leaving.pop().is_none()
            {
                return message;
            }
        }
    }
}
