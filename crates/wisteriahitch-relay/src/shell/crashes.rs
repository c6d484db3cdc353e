//! Finding out whether an endpoint crashed with calls on board.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;
use wisteriahitch_types::EndpointInstance;

use super::attempt::Call;
use super::shared::Shared;
use crate::decide::crash_evidence::BreakMeaning;
use crate::decide::endpoint_row::EndpointLife;
use crate::decide::endpoint_table::short_name;
use crate::decide::placement::Placement;
use crate::observe::Event;

/// Longest wait for an endpoint to accept or refuse a connection. Either takes a round trip; what takes longer is a
/// link that was cut, and proves nothing.
const LOOK_TIMEOUT: Duration = Duration::from_millis(400);

/// Says what proved that an endpoint's process has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Proof {
    /// Nothing listens at its address right after its connections broke.
    Refused,
    /// Its next start has registered, or another endpoint at its address.
    Replaced,
}

impl Proof {
    /// Returns the word for the log.
    const fn label(self) -> &'static str {
        match self {
            Proof::Refused => "refused",
            Proof::Replaced => "replaced",
        }
    }
}

/// Notes that the connection of a call broke, and looks whether its endpoint is still there.
///
/// An endpoint that has announced its leaving, or whose registration is gone, ends as planned.
pub(super) fn note_broken(shared: &Arc<Shared>, call: &Call, placement: &Placement) {
    let is_leaving = {
        let endpoints = shared.endpoints.lock();
        let row = endpoints.get(&placement.endpoint);
        row.is_some_and(|row| row.life != EndpointLife::Ready)
    };
    if is_leaving {
        return;
    }
    let life = short_name(&placement.endpoint.to_string());
    let meaning = {
        let mut evidence = shared.crash_evidence.lock();
        evidence.broke(life, call.fingerprint, shared.now())
    };
    if meaning == BreakMeaning::Look {
        let (endpoint, address) = (placement.endpoint.clone(), placement.address);
        tokio::spawn(look(Arc::clone(shared), endpoint, address));
    }
}

/// Looks whether a process listens at an endpoint's address.
async fn look(shared: Arc<Shared>, endpoint: EndpointInstance, address: SocketAddr) {
    let is_refused = |error: &std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
    match timeout(LOOK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) if is_refused(&error) => note_crash(&shared, &endpoint, Proof::Refused),
        // It lives, or nobody can tell.
        _ => {}
    }
}

/// Notes that an endpoint's process has ended without a word.
pub(super) fn note_crash(shared: &Shared, endpoint: &EndpointInstance, proof: Proof) {
    let life = short_name(&endpoint.to_string());
    let on_board = shared.crash_evidence.lock().crashed(life, shared.now());
    let Some(on_board) = on_board.filter(|calls| !calls.is_empty()) else {
        return;
    };
    shared.log.write(&Event::EndpointCrashed {
        endpoint: endpoint.to_string(),
        proof: proof.label(),
        calls: on_board.len(),
    });
}
