//! Handles requests from other daemons.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use wisteriahitch_core::route::LeavingSource;
use wisteriahitch_peer::{
    ForwardReply, ForwardRequest, HintKind, IndirectProbeReply, IndirectProbeRequest, PeerHandler,
    PeerIdentity, ProbeReply, ProbeRequest, PublishBlocksReply, PublishBlocksRequest,
    PullConfigurationReply, PullConfigurationRequest, PushConfigurationReply,
    PushConfigurationRequest, Sender, StatusReply, StatusRequest,
};
use wisteriahitch_types::{EndpointId, Incarnation};

use super::membership_updates::{from_wire, to_wire, wire_state};
use super::probe::PROBE_TIMEOUT;
use crate::shared::Shared;

/// Handles requests from peers with this daemon's tables.
pub(crate) struct PeerRequestHandler {
    shared: Arc<Shared>,
}

impl PeerRequestHandler {
    /// Creates the handler.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[async_trait]
impl PeerHandler for PeerRequestHandler {
    fn identity(&self) -> PeerIdentity {
        self.shared.identity()
    }

    async fn probe(&self, sender: Sender, request: ProbeRequest) -> ProbeReply {
        let now = self.shared.clock.now();
        let updates = from_wire(&request.news);
        let sync_after = request.sync.then(|| Incarnation::new(request.sync_after));
        let (reply, commands) = {
            let mut members = self.shared.fleet.members.lock();
            members.answer_probe(sender.incarnation, &updates, sync_after, now)
        };
        self.shared.execute_membership_commands(commands);
        ProbeReply {
            envelope: self.shared.envelope(Some(sender.incarnation)),
            news: reply.iter().map(to_wire).collect(),
        }
    }

    async fn indirect_probe(
        &self,
        _sender: Sender,
        request: IndirectProbeRequest,
    ) -> IndirectProbeReply {
        let Ok((address, incarnation)) = request.target() else {
            return IndirectProbeReply {
                reached: false,
                news: Vec::new(),
            };
        };
        let probe = ProbeRequest {
            envelope: self.shared.envelope(Some(incarnation)),
            news: Vec::new(),
            sync: false,
            sync_after: 0,
        };
        let timeout = Duration::from_millis(u64::from(request.timeout_ms)).min(PROBE_TIMEOUT);
        let answer = self
            .shared
            .clients
            .peers
            .probe(address, probe, timeout)
            .await;
        let Ok(reply) = answer else {
            return IndirectProbeReply {
                reached: false,
                news: Vec::new(),
            };
        };
        let sender = reply
            .envelope
            .as_ref()
            .and_then(|envelope| envelope.sender().ok());
        let reached = sender.is_some_and(|sender| sender.incarnation == incarnation);
        IndirectProbeReply {
            reached,
            news: reply.news,
        }
    }

    async fn push_configuration(
        &self,
        sender: Sender,
        request: PushConfigurationRequest,
    ) -> PushConfigurationReply {
        self.shared
            .apply_pushed_configuration(sender.incarnation, request)
    }

    async fn pull_configuration(
        &self,
        _sender: Sender,
        request: PullConfigurationRequest,
    ) -> PullConfigurationReply {
        self.shared.answer_pull(&request)
    }

    async fn forward(&self, _sender: Sender, request: ForwardRequest) -> ForwardReply {
        self.shared.answer_forwarded(request).await
    }

    async fn publish_blocks(
        &self,
        _sender: Sender,
        request: PublishBlocksRequest,
    ) -> PublishBlocksReply {
        let mut accepted = 0;
        for hint in &request.hints {
            accepted += u32::from(self.shared.apply_hint(hint).is_some());
        }
        PublishBlocksReply { accepted }
    }

    async fn status(&self, sender: Sender, _request: StatusRequest) -> StatusReply {
        let members = self.shared.fleet.members.lock();
        let me = members.me();
        StatusReply {
            envelope: self.shared.envelope(Some(sender.incarnation)),
            state: wire_state(me.state).into(),
            config_version: me.config_version.get(),
            uptime_us: self.shared.clock.now().get(),
            alive_members: u32::try_from(members.workers().count()).unwrap_or(u32::MAX),
        }
    }
}

impl Shared {
    /// Applies a peer's hint about an endpoint or a block; `None` if the hint is malformed or not
    /// supported.
    fn apply_hint(&self, hint: &wisteriahitch_peer::BlockHint) -> Option<()> {
        let now = self.clock.now();
        if hint.kind() == HintKind::Leaving {
            let endpoint: EndpointId = hint.holder.parse().ok()?;
            let life =
                (!hint.holder_incarnation.is_empty()).then(|| hint.holder_incarnation.clone());
            let source = LeavingSource::Peer { life };
            self.router
                .lock()
                .endpoints
                .mark_leaving(&endpoint, &source, now);
            return Some(());
        }
        if hint.is_store {
            return None;
        }
        let endpoint: EndpointId = hint.holder.parse().ok()?;
        let key = hint.block_key().ok()?;
        let mut router = self.router.lock();
        match hint.kind() {
            HintKind::Stored => router.directory.record_stored(&endpoint, &key),
            HintKind::Evicted => router.directory.record_evicted(&endpoint, &key),
            _ => return None,
        }
        Some(())
    }
}
