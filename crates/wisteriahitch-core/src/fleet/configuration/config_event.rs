//! What the replica of the configuration is told and what it asks its shell to do.

use serde::Serialize;
use wisteriahitch_config::{Section, SectionHash};
use wisteriahitch_types::{Code, ConfigVersion, Incarnation};

use super::{HeadChange, HeadObject};

/// Tells the replica what has happened.
#[derive(Clone, Debug)]
pub enum ConfigEvent {
    /// The daemon has started and knows nothing.
    Restart,
    /// Time has passed.
    Tick,
    /// The store gave the head, or said that there is none.
    StoreHead(Option<HeadObject>),
    /// The store can't be read now.
    StoreFailed,
    /// The head in the store doesn't parse.
    StoreHeadCorrupt,
    /// A section was read; the replica checks it against its hash.
    SectionRead {
        /// Hash under which it was asked for.
        hash: SectionHash,
        /// Text that came.
        text: String,
    },
    /// A section can't be read from the store now, or isn't there.
    SectionFailed(SectionHash),
    /// A peer answered a pull of its head; nothing if it holds none above ours.
    PeerHead {
        /// Peer.
        from: Incarnation,
        /// Head that it holds whole.
        head: Option<HeadObject>,
    },
    /// A peer answered a pull of sections; those it hasn't are left out.
    PeerSections {
        /// Peer.
        from: Incarnation,
        /// Sections that came.
        sections: Vec<Section>,
    },
    /// A peer can't be asked.
    PeerFailed(Incarnation),
    /// A peer was heard to hold a version.
    PeerVersion {
        /// Peer.
        from: Incarnation,
        /// Version in force there.
        version: ConfigVersion,
    },
    /// A peer answered a push.
    PushAnswered {
        /// Peer.
        to: Incarnation,
        /// Answer.
        answer: PushAnswer,
    },
    /// The shell could not build the configuration from its sections.
    Rejected(ConfigVersion),
}

/// Says whether a pushed version is held.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PushAnswer {
    /// Highest version that is held whole; the push is acknowledged if it isn't lower.
    pub held_version: ConfigVersion,
    /// Sections of the pushed version that are missing.
    pub missing: Vec<SectionHash>,
}

/// Holds what a peer that asked is given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PullAnswer {
    /// Highest version that is held whole.
    pub version: ConfigVersion,
    /// Head, if it is above the asker's version.
    pub head: Option<HeadObject>,
    /// Sections that were wanted and are held.
    pub sections: Vec<Section>,
}

/// Asks the shell to do something.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigCommand {
    /// Read the head from the store.
    ReadHead,
    /// Start or stop to watch the head in the store.
    WatchHead(bool),
    /// Read a section from the store.
    ReadSection(SectionHash),
    /// Ask a peer for its head.
    PullHead {
        /// Peer.
        peer: Incarnation,
        /// Version held here.
        after: ConfigVersion,
    },
    /// Ask a peer for sections.
    PullSections {
        /// Peer.
        peer: Incarnation,
        /// Sections that are missing.
        wanted: Vec<SectionHash>,
    },
    /// Hand a version to a peer.
    Push {
        /// Peer.
        peer: Incarnation,
        /// What changed in the head.
        change: HeadChange,
        /// Sections that changed.
        sections: Vec<Section>,
    },
    /// Build the configuration from its sections and put it in force.
    Apply {
        /// Head.
        head: HeadObject,
        /// Every section of it.
        sections: Vec<Section>,
    },
    /// Log and show a finding.
    Report {
        /// Numbered code.
        code: Code,
        /// Version that it is about.
        version: ConfigVersion,
    },
}
