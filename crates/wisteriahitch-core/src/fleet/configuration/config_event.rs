//! Input events, output commands and peer answers of the configuration replica.

use serde::Serialize;
use wisteriahitch_config::{Section, SectionHash};
use wisteriahitch_types::{Code, ConfigVersion, Incarnation};

use super::{HeadChange, HeadObject};

/// Input of [`ConfigReplica::handle`](super::ConfigReplica::handle).
#[derive(Clone, Debug)]
pub enum ConfigEvent {
    /// The daemon has started with an empty replica.
    Restart,
    /// Time has passed.
    Tick,
    /// The store returned the head; `None` if it holds no head.
    StoreHead(Option<HeadObject>),
    /// The store cannot be read now.
    StoreFailed,
    /// The head in the store cannot be parsed.
    StoreHeadCorrupt,
    /// A section was read from the store; the replica verifies its hash.
    SectionRead {
        /// Hash that was requested.
        hash: SectionHash,
        /// Text of the section.
        text: String,
    },
    /// A section is missing in the store or cannot be read now.
    SectionFailed(SectionHash),
    /// A peer answered a request for its head.
    PeerHead {
        /// Peer.
        from: Incarnation,
        /// Head of the highest version whose sections the peer has completely; `None` if this
        /// daemon already has that version.
        head: Option<HeadObject>,
    },
    /// A peer answered a request for sections; sections that it does not have are missing.
    PeerSections {
        /// Peer.
        from: Incarnation,
        /// Received sections.
        sections: Vec<Section>,
    },
    /// A peer could not be reached.
    PeerFailed(Incarnation),
    /// A peer reported the version that it has in force.
    PeerVersion {
        /// Peer.
        from: Incarnation,
        /// Version that the peer has in force.
        version: ConfigVersion,
    },
    /// A peer answered a push.
    PushAnswered {
        /// Peer.
        to: Incarnation,
        /// The peer's answer.
        answer: PushAnswer,
    },
    /// The configuration of this version could not be built from its sections.
    Rejected(ConfigVersion),
}

/// Answer to a pushed version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PushAnswer {
    /// Highest version that the peer has completely. The push is acknowledged if this is not lower
    /// than the pushed version.
    #[serde(rename = "held_version")]
    pub stored_version: ConfigVersion,
    /// Sections of the pushed version that the peer still needs.
    pub missing: Vec<SectionHash>,
}

/// Answer to a peer's request for the head or for sections.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PullAnswer {
    /// Highest version whose sections are all stored here.
    pub version: ConfigVersion,
    /// Head of that version; `None` if it is not higher than the version the peer has.
    pub head: Option<HeadObject>,
    /// Requested sections that are stored here.
    pub sections: Vec<Section>,
}

/// Action that the caller of [`ConfigReplica::handle`](super::ConfigReplica::handle) must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigCommand {
    /// Read the head from the store.
    ReadHead,
    /// Start (`true`) or stop (`false`) watching the head in the store.
    WatchHead(bool),
    /// Read a section from the store.
    ReadSection(SectionHash),
    /// Ask a peer for its head.
    PullHead {
        /// Peer.
        peer: Incarnation,
        /// Version stored here; only a higher one is requested.
        after: ConfigVersion,
    },
    /// Ask a peer for sections.
    PullSections {
        /// Peer.
        peer: Incarnation,
        /// Hashes of the requested sections.
        wanted: Vec<SectionHash>,
    },
    /// Send a version to a peer.
    Push {
        /// Peer.
        peer: Incarnation,
        /// Change of the head.
        change: HeadChange,
        /// Changed sections, as far as they fit into the message.
        sections: Vec<Section>,
    },
    /// Build the configuration from its sections and put it in force.
    Apply {
        /// Head of the version.
        head: HeadObject,
        /// All sections of the version.
        sections: Vec<Section>,
    },
    /// Log a finding and show it to operators.
    Report {
        /// Code of the finding.
        code: Code,
        /// Version that the finding is about.
        version: ConfigVersion,
    },
}
