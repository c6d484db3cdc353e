//! Probes a few peers in each round; membership updates travel on the probes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wisteriahitch_core::fleet::{MembershipCommand, MembershipEvent};
use wisteriahitch_peer::{Envelope, IndirectProbeRequest, PeerIdentity, ProbeRequest};
use wisteriahitch_types::Incarnation;

use super::membership_updates::{from_wire, to_wire};
use crate::shared::Shared;

/// Interval between two ticks of the membership table.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a direct probe.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of an indirect probe, which a peer sends on this daemon's behalf.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Keeps the view of the other daemons up to date until the process stops.
pub(crate) async fn run_membership(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            () = shared.end.cancelled() => return,
            _ = ticks.tick() => shared.handle_membership_event(MembershipEvent::Tick),
        }
    }
}

impl Shared {
    /// Returns the identity that this daemon sends to peers.
    pub(crate) fn identity(&self) -> PeerIdentity {
        PeerIdentity::new(self.settings.id.clone(), self.incarnation)
    }

    /// Returns the envelope of a call addressed to one incarnation, or to any if `None`.
    pub(crate) fn envelope(&self, meant_for: Option<Incarnation>) -> Option<Envelope> {
        Some(self.identity().envelope(meant_for))
    }

    /// Passes an event to the membership table and executes the commands that it returns.
    pub(crate) fn handle_membership_event(self: &Arc<Self>, event: MembershipEvent) {
        let now = self.clock.now();
        let commands = self.fleet.members.lock().handle(event, now);
        self.execute_membership_commands(commands);
    }

    /// Executes the commands of the membership table.
    pub(crate) fn execute_membership_commands(self: &Arc<Self>, commands: Vec<MembershipCommand>) {
        for command in commands {
            match command {
                MembershipCommand::Changed { incarnation, state } => {
                    log::info!("member {incarnation} is now {state:?}");
                }
                command => {
                    tokio::spawn(execute_command(Arc::clone(self), command));
                }
            }
        }
    }
}

async fn execute_command(shared: Arc<Shared>, command: MembershipCommand) {
    match command {
        MembershipCommand::Probe {
            address,
            meant_for,
            updates,
            sync_after,
        } => {
            let request = ProbeRequest {
                envelope: shared.envelope(meant_for),
                news: updates.iter().map(to_wire).collect(),
                sync: sync_after.is_some(),
                sync_after: sync_after.map_or(0, Incarnation::get),
            };
            probe(&shared, address, meant_for, request).await;
        }
        MembershipCommand::IndirectProbe {
            helper,
            helper_incarnation,
            target,
            target_address,
        } => {
            let request = IndirectProbeRequest {
                envelope: shared.envelope(Some(helper_incarnation)),
                target_address: target_address.to_string(),
                target_incarnation: target.get(),
                timeout_ms: u32::try_from(PROBE_TIMEOUT.as_millis()).unwrap_or(u32::MAX),
            };
            send_indirect_probe(&shared, helper, target, request).await;
        }
        MembershipCommand::Changed { .. } => {}
    }
}

async fn probe(
    shared: &Arc<Shared>,
    address: SocketAddr,
    meant_for: Option<Incarnation>,
    request: ProbeRequest,
) {
    let answer = shared
        .clients
        .peers
        .probe(address, request, PROBE_TIMEOUT)
        .await;
    let answered = answer.ok().and_then(|reply| {
        let sender = reply.envelope.as_ref()?.sender().ok()?;
        Some((sender.incarnation, from_wire(&reply.news)))
    });
    let event = match answered {
        Some((answered_by, updates)) => MembershipEvent::ProbeAnswered {
            address,
            meant_for,
            answered_by,
            updates,
        },
        None => MembershipEvent::ProbeFailed { meant_for },
    };
    shared.handle_membership_event(event);
}

async fn send_indirect_probe(
    shared: &Arc<Shared>,
    helper: SocketAddr,
    target: Incarnation,
    request: IndirectProbeRequest,
) {
    let answer = shared
        .clients
        .peers
        .indirect_probe(helper, request, INDIRECT_PROBE_TIMEOUT)
        .await;
    let (is_reached, updates) = match answer {
        Ok(reply) => (reply.reached, from_wire(&reply.news)),
        Err(_) => (false, Vec::new()),
    };
    shared.handle_membership_event(MembershipEvent::IndirectAnswered {
        target,
        is_reached,
        updates,
    });
}
