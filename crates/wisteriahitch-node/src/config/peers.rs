//! Pushes configuration versions to peers and pulls theirs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wisteriahitch_config::{Section, SectionHash};
use wisteriahitch_core::fleet::{ConfigEvent, HeadChange, HeadObject, PushAnswer};
use wisteriahitch_peer::{
    PullConfigurationReply, PullConfigurationRequest, PushConfigurationReply,
    PushConfigurationRequest, Section as WireSection,
};
use wisteriahitch_types::{ConfigVersion, Incarnation};

use crate::shared::Shared;

/// Timeout of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Shared {
    /// Pulls the head from a peer.
    pub(super) async fn pull_head(self: &Arc<Self>, peer: Incarnation, after: ConfigVersion) {
        let reply = self.pull(peer, after, &[]).await;
        let event = match reply {
            Some(reply) => ConfigEvent::PeerHead {
                from: peer,
                head: parse_head(&reply),
            },
            None => ConfigEvent::PeerFailed(peer),
        };
        self.handle_config_event(event);
    }

    /// Pulls sections from a peer.
    pub(super) async fn pull_sections(self: &Arc<Self>, peer: Incarnation, wanted: &[SectionHash]) {
        let event = match self.pull(peer, ConfigVersion::new(u64::MAX), wanted).await {
            Some(reply) => {
                let sections = read_sections(&reply.sections);
                ConfigEvent::PeerSections {
                    from: peer,
                    sections,
                }
            }
            None => ConfigEvent::PeerFailed(peer),
        };
        self.handle_config_event(event);
    }

    async fn pull(
        &self,
        peer: Incarnation,
        after: ConfigVersion,
        wanted: &[SectionHash],
    ) -> Option<PullConfigurationReply> {
        let address = self.find_peer(peer)?;
        let request = PullConfigurationRequest {
            envelope: self.envelope(Some(peer)),
            after_version: after.get(),
            wanted: wanted.iter().map(ToString::to_string).collect(),
        };
        self.clients
            .peers
            .pull_configuration(address, request, PEER_TIMEOUT)
            .await
            .ok()
    }

    /// Pushes a version to a peer.
    pub(super) async fn push_config(
        self: &Arc<Self>,
        peer: Incarnation,
        change: &HeadChange,
        sections: &[Section],
    ) {
        let event = match self.push(peer, change, sections).await {
            Some(answer) => ConfigEvent::PushAnswered { to: peer, answer },
            None => ConfigEvent::PeerFailed(peer),
        };
        self.handle_config_event(event);
    }

    async fn push(
        &self,
        peer: Incarnation,
        change: &HeadChange,
        sections: &[Section],
    ) -> Option<PushAnswer> {
        let address: SocketAddr = self.find_peer(peer)?;
        let request = PushConfigurationRequest {
            envelope: self.envelope(Some(peer)),
            version: change.version.get(),
            head_change: serde_json::to_vec(change).ok()?.into(),
            sections: write_sections(sections),
        };
        let reply = self
            .clients
            .peers
            .push_configuration(address, request, PEER_TIMEOUT)
            .await
            .ok()?;
        Some(PushAnswer {
            stored_version: ConfigVersion::new(reply.held_version),
            missing: parse_section_hashes(&reply.missing),
        })
    }

    /// Accepts a version that a peer pushes.
    pub(crate) fn apply_pushed_configuration(
        self: &Arc<Self>,
        from: Incarnation,
        request: PushConfigurationRequest,
    ) -> PushConfigurationReply {
        let version = request.version;
        let Ok(change) = serde_json::from_slice::<HeadChange>(&request.head_change) else {
            log::warn!("configuration head pushed by {from} doesn't parse");
            let held_version = self.complete_head().map_or(0, |head| head.version.get());
            return PushConfigurationReply {
                held: false,
                held_version,
                missing: Vec::new(),
            };
        };
        let sections = read_sections(&request.sections);
        let now = self.clock.now();
        let (answer, commands) = {
            let mut replica = self.config.replica.lock();
            let members = self.fleet.members.lock();
            replica.answer_push(from, &change, sections, now, &members)
        };
        self.execute_config_commands(commands);
        PushConfigurationReply {
            held: answer.stored_version.get() >= version,
            held_version: answer.stored_version.get(),
            missing: answer.missing.iter().map(ToString::to_string).collect(),
        }
    }

    /// Answers a peer's pull with the head and the requested sections.
    pub(crate) fn answer_pull(&self, request: &PullConfigurationRequest) -> PullConfigurationReply {
        let after = ConfigVersion::new(request.after_version);
        let wanted = parse_section_hashes(&request.wanted);
        let answer = self.config.replica.lock().answer_pull(after, &wanted);
        let head = answer
            .head
            .as_ref()
            .and_then(|head| serde_json::to_vec(head).ok());
        PullConfigurationReply {
            version: answer.version.get(),
            head: head.unwrap_or_default().into(),
            sections: write_sections(&answer.sections),
        }
    }
}

fn parse_head(reply: &PullConfigurationReply) -> Option<HeadObject> {
    serde_json::from_slice(&reply.head).ok()
}

fn parse_section_hashes(texts: &[String]) -> Vec<SectionHash> {
    texts.iter().filter_map(|text| text.parse().ok()).collect()
}

fn write_sections(sections: &[Section]) -> Vec<WireSection> {
    let write = |section: &Section| WireSection {
        hash: section.hash().to_string(),
        content: section.text().to_owned().into(),
    };
    sections.iter().map(write).collect()
}

/// Converts the sections of a message; a section that doesn't match its hash is skipped.
fn read_sections(sections: &[WireSection]) -> Vec<Section> {
    let read = |section: &WireSection| {
        let hash = section.hash.parse().ok()?;
        let text = str::from_utf8(&section.content).ok()?;
        Section::try_verified(hash, text).ok()
    };
    sections.iter().filter_map(read).collect()
}
