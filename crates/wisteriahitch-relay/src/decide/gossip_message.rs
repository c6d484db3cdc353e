//! Messages that daemons gossip to each other.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{CallRate, Incarnation, TimeUs};

use super::answer_progress::AnswerProgress;
use super::backlog::Load;
use super::blocked_attributes::TrialUpdate;
use super::message_sections::MessageSections;
use super::suspect_wire::{self, OtherUpdates};
use crate::site::CallAttribute;

/// State of a daemon as its peers see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberPhase {
    /// It has no configuration or no endpoints yet.
    Starting,
    /// It serves calls.
    Ready,
    /// It is about to leave: it still accepts requests but is no longer advertised.
    Draining,
}

/// Work at one endpoint that the receiver cannot learn from another sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// Short name of the endpoint instance.
    pub endpoint: u32,
    /// Requests and tokens in progress.
    pub load: Load,
    /// Whether the endpoint is reserved for an order and must not get requests.
    pub is_reserved: bool,
}

impl EndpointUpdate {
    /// Returns an update about an endpoint that isn't reserved.
    pub(crate) const fn unreserved(endpoint: u32, load: Load) -> Self {
        Self {
            endpoint,
            load,
            is_reserved: false,
        }
    }
}

/// Rate limit that an endpoint has stated.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Short name of the endpoint instance.
    pub endpoint: u32,
    /// Rate of calls that it accepts from all daemons together; `None` if it no longer states a
    /// limit.
    pub rate: Option<CallRate>,
    /// Time since the endpoint's answer with this limit was received, in milliseconds.
    pub age_ms: u64,
}

/// A prompt part that an endpoint has read or evicted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PartUpdate {
    /// Short name of the endpoint instance.
    pub endpoint: u32,
    /// Key of the part.
    pub part: u64,
    /// Size of the part in tokens; zero if the endpoint no longer has it.
    pub tokens: u32,
}

/// How recent the sender's knowledge of a part store is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Short name of the store.
    pub store: u32,
    /// Epoch of the store, which changes each time the store starts anew.
    pub epoch: u64,
    /// Time since the store last reported, in milliseconds.
    pub age_ms: u32,
    /// Reading of the clock that stores and engines share when the message was sent, if known.
    pub clock_ms: Option<u64>,
}

/// A part that is stored completely at a part store.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredPartUpdate {
    /// Short name of the store.
    pub store: u32,
    /// Key of the part.
    pub part: u64,
    /// Size of the part in tokens.
    pub tokens: u32,
}

/// How recent the sender's view of one kind of object in the platform's store is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KindUpdate {
    /// Revision of the last change that the sender has applied.
    pub revision: u64,
    /// Time since the sender's view was confirmed to be complete, in milliseconds; `None` if it
    /// never was.
    pub age_ms: Option<u32>,
}

/// A crash of an endpoint instance while a call was running there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashUpdate {
    /// Attribute of the call.
    pub attribute: CallAttribute,
    /// Short name of the endpoint instance that crashed.
    pub endpoint: u32,
    /// How far the answer had got; always [`AnswerProgress::NONE`] for requests, which only a whole
    /// answer clears.
    pub progress: AnswerProgress,
}

/// An attribute whose calls no daemon may send to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BlockedUpdate {
    /// The attribute.
    pub attribute: CallAttribute,
    /// Time since any daemon last received a call with it, in milliseconds.
    pub absent_ms: u64,
    /// When it is tried next; the default for requests, which aren't tried.
    pub trial: TrialUpdate,
}

/// A former suspect that calls have since shown to be harmless.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClearedUpdate {
    /// The attribute.
    pub attribute: CallAttribute,
    /// How far an answer to a call with it got.
    pub progress: AnswerProgress,
}

/// What the sender knows about attributes of calls that endpoints crash under.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SuspectUpdate {
    /// Crashes that the sender has recently recorded, those of the most suspect attributes first.
    pub crashes: Vec<CrashUpdate>,
    /// Attributes that are blocked.
    pub blocked: Vec<BlockedUpdate>,
    /// Former suspects that answers have cleared.
    pub cleared: Vec<ClearedUpdate>,
    /// Attributes whose block an operator has lifted.
    pub lifted: Vec<CallAttribute>,
}

/// A daemon from which the sender receives messages.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Address of the daemon.
    pub ip: Ipv4Addr,
    /// Index of its availability zone in [`GossipMessage::zones`].
    pub zone: u8,
    /// State of the daemon.
    pub phase: MemberPhase,
    /// Processing capacity, in thousandths of a core.
    pub capacity: u16,
    /// Rate of its VM's network link, in megabits per second.
    pub link_mbps: u16,
}

/// A gossip message from one daemon to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence number of the message, by which receivers discard messages that arrive out of
    /// order.
    pub number: u64,
    /// Address of the sender's VM; all daemons use the same ports.
    pub ip: Ipv4Addr,
    /// Availability zone of the sender.
    pub zone: String,
    /// State of the sender.
    pub phase: MemberPhase,
    /// Processing capacity of the sender, in thousandths of a core.
    pub capacity: u16,
    /// Rate of the sender's network link, in megabits per second.
    pub link_mbps: u16,
    /// Whether the sender is a hub, which also forwards what other daemons have reported.
    pub is_hub: bool,
    /// Whether the sender queries the part stores itself.
    pub follows_stores: bool,
    /// Whether the platform's store is reachable for the sender or for a daemon whose messages it
    /// receives.
    pub is_store_reachable: bool,
    /// Time of sending, by the sender's clock.
    pub sent_at_us: TimeUs,
    /// How recent the sender's view of each kind of object is, in the fixed order in which daemons
    /// follow the kinds.
    pub kinds: Vec<KindUpdate>,
    /// Load that the sender's calls put on endpoints; a hub also includes that of other daemons.
    pub endpoints: Vec<EndpointUpdate>,
    /// Rate limits that endpoints state, or have recently withdrawn.
    pub limits: Vec<LimitUpdate>,
    /// Short names of the endpoint instances that have announced in an answer that they are
    /// leaving.
    pub leaving: Vec<u32>,
    /// Short names of the engines whose cache events the sender follows, or knows another daemon to
    /// follow.
    pub followed: Vec<u32>,
    /// Short names of the endpoint instances that the sender recently failed to connect to. A hub
    /// lists those that several daemons failed to connect to.
    pub unreachable: Vec<u32>,
    /// Parts that engines have read or evicted since the last message.
    pub parts: Vec<PartUpdate>,
    /// Part stores that the sender has recent reports of.
    pub stores: Vec<StoreUpdate>,
    /// Parts that stores have completed since the last message.
    #[serde(rename = "kept")]
    pub stored_parts: Vec<StoredPartUpdate>,
    /// Crashes, blocks and unblocks. Other attributes than requests are encoded last, because
    /// older daemons neither send nor read them.
    #[serde(with = "suspect_wire")]
    pub suspects: SuspectUpdate,
    /// Names of the availability zones that `members` refers to.
    pub zones: Vec<String>,
    /// Daemons from which the sender receives messages.
    pub members: Vec<MemberUpdate>,
    /// How the list of members is spread over messages. Encoded after the other fields, because
    /// older daemons neither send nor read it.
    #[serde(skip)]
    pub membership: MembershipUpdate,
    /// Whether the sender can't connect to the engines of a service. Encoded last, for the same
    /// reason.
    #[serde(skip)]
    pub is_partitioned: bool,
    /// Further sections. Encoded after everything else.
    #[serde(skip)]
    pub sections: MessageSections,
}

/// How a sender spreads its list of members over messages, and what has changed in it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// Time in which the messages report each member once, in milliseconds; zero if each message
    /// reports all.
    pub rotation_ms: u32,
    /// Daemons that the sender has recently stopped to report.
    pub departed: Vec<Ipv4Addr>,
}

/// Maximum encoded size of an [`EndpointUpdate`].
const MAX_ENDPOINT_UPDATE_BYTES: usize = 31;

impl GossipMessage {
    /// Decodes a message. What an older daemon leaves out at its end has the default value; what a
    /// newer one adds there is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the bytes aren't a message.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        let (mut message, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        if rest.is_empty() {
            return Ok(message);
        }
        let (membership, rest) = postcard::take_from_bytes(rest)?;
        message.membership = membership;
        if rest.is_empty() {
            return Ok(message);
        }
        let (is_partitioned, rest) = postcard::take_from_bytes(rest)?;
        message.is_partitioned = is_partitioned;
        if rest.is_empty() {
            return Ok(message);
        }
        let (other, rest): (OtherUpdates, _) = postcard::take_from_bytes(rest)?;
        other.append_to(&mut message.suspects);
        // Sections of a form that this daemon doesn't know are left out like unknown ones.
        if let Ok((sections, _)) = postcard::take_from_bytes(rest) {
            message.sections = sections;
        }
        Ok(message)
    }

    /// Encodes the message. Fields at its end that have their default value are left out.
    fn to_bytes(&self) -> Vec<u8> {
        let other = OtherUpdates::of(&self.suspects);
        let has_sections = !self.sections.is_empty();
        let has_other = other != OtherUpdates::default() || has_sections;
        let has_partition = self.is_partitioned || has_other;
        let has_membership = self.membership != MembershipUpdate::default() || has_partition;
        let mut message = postcard::to_stdvec(self).unwrap_or_default();
        if has_membership {
            message = postcard::to_extend(&self.membership, message).unwrap_or_default();
        }
        if has_partition {
            message = postcard::to_extend(&self.is_partitioned, message).unwrap_or_default();
        }
        if has_other {
            message = postcard::to_extend(&other, message).unwrap_or_default();
        }
        if has_sections {
            message = postcard::to_extend(&self.sections, message).unwrap_or_default();
        }
        message
    }

    /// Encodes the message in at most `max_bytes`, dropping the least important entries first.
    ///
    /// The order is: parts that engines have read, which are only a hint; crashes, those of the
    /// least suspect attributes first; newly stored parts; unreachable endpoints; followed engines;
    /// sections; load; rate limits; and last the endpoints that are leaving.
    ///
    /// A newly stored part is sent only once, and a daemon that misses it has the part read again.
    /// Therefore that list is halved rather than dropped as a whole: dropping it whenever a message
    /// was too large cost 80 daemons 22.8 instead of 20.2 million tokens of shared parts that were
    /// read again (one simulated day of 34 s, one run each).
    pub fn encoded(mut self, max_bytes: usize) -> Vec<u8> {
        loop {
            let message = self.to_bytes();
            if message.len() <= max_bytes {
                return message;
            }
            if !self.parts.is_empty() {
                self.parts.truncate(self.parts.len() / 2);
            } else if !self.suspects.crashes.is_empty() {
                let crashes = &mut self.suspects.crashes;
                crashes.truncate(crashes.len() / 2);
            } else if !self.stored_parts.is_empty() {
                self.stored_parts.truncate(self.stored_parts.len() / 2);
            } else if !self.unreachable.is_empty() {
                self.unreachable.truncate(self.unreachable.len() / 2);
            } else if !self.followed.is_empty() {
                self.followed.truncate(self.followed.len() / 2);
            } else if self.sections.drop_last() {
                // The message is encoded again without the section.
            } else if !self.endpoints.is_empty() {
                let excess = (message.len() - max_bytes) / MAX_ENDPOINT_UPDATE_BYTES;
                let left = self.endpoints.len().saturating_sub(excess.max(1));
                self.endpoints.truncate(left);
            } else if self.limits.pop().is_none() && self.leaving.pop().is_none() {
                return message;
            }
        }
    }
}
