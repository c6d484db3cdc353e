//! Handing versions to peers and asking them for theirs.

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

/// Longest wait for a peer's answer.
const TIMEOUT: Duration = Duration::from_millis(1_000);

impl Shared {
    /// Asks a peer for its head.
    pub(super) async fn pull_head(self: &Arc<Self>, peer: Incarnation, after: ConfigVersion) {
        let reply = self.pull(peer, after, &[]).await;
        let event = match reply {
            Some(reply) => ConfigEvent::PeerHead {
                from: peer,
                head: parse_head(&reply),
            },
            None => ConfigEvent::PeerFailed(peer),
        };
        self.step_config(event);
    }

    /// Asks a peer for sections.
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
        self.step_config(event);
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
        self.outside
            .peers
            .pull_configuration(address, request, TIMEOUT)
            .await
            .ok()
    }

    /// Hands a version to a peer.
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
        self.step_config(event);
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
            .outside
            .peers
            .push_configuration(address, request, TIMEOUT)
            .await
            .ok()?;
        Some(PushAnswer {
            held_version: ConfigVersion::new(reply.held_version),
            missing: parse_hashes(&reply.missing),
        })
    }

    /// Takes a version that a peer hands over.
    pub(crate) fn take_pushed(
        self: &Arc<Self>,
        from: Incarnation,
        request: PushConfigurationRequest,
    ) -> PushConfigurationReply {
        let version = request.version;
        let Ok(change) = serde_json::from_slice::<HeadChange>(&request.head_change) else {
            log::warn!("a pushed head from {from} doesn't parse");
            let held_version = self.held_head().map_or(0, |head| head.version.get());
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
        self.run_config(commands);
        PushConfigurationReply {
            held: answer.held_version.get() >= version,
            held_version: answer.held_version.get(),
            missing: answer.missing.iter().map(ToString::to_string).collect(),
        }
    }

    /// Gives a peer the head and the sections that it asks for.
    pub(crate) fn answer_pull(&self, request: &PullConfigurationRequest) -> PullConfigurationReply {
        let after = ConfigVersion::new(request.after_version);
        let wanted = parse_hashes(&request.wanted);
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

fn parse_hashes(texts: &[String]) -> Vec<SectionHash> {
    texts.iter().filter_map(|text| text.parse().ok()).collect()
}

fn write_sections(sections: &[Section]) -> Vec<WireSection> {
    let write = |section: &Section| WireSection {
        hash: section.hash().to_string(),
        content: section.text().to_owned().into(),
    };
    sections.iter().map(write).collect()
}

/// Reads the sections of a message; one that doesn't fit its hash is left out.
fn read_sections(sections: &[WireSection]) -> Vec<Section> {
    let read = |section: &WireSection| {
        let hash = section.hash.parse().ok()?;
        let text = str::from_utf8(&section.content).ok()?;
        Section::try_verified(hash, text).ok()
    };
    sections.iter().filter_map(read).collect()
}
