//! gRPC server that validates calls from peers and passes them to the daemon.

use std::future::Future;
use std::sync::Arc;

use async_trait::async_trait;
use tokio::net::TcpListener;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use crate::convert::{DecodeError, Sender, check_hints, check_news, checked_sender};
use crate::error::WRONG_INCARNATION;
use crate::generated::peer_server;
use crate::{
    ForwardReply, ForwardRequest, IndirectProbeReply, IndirectProbeRequest, MAX_MESSAGE_BYTES,
    PeerError, PeerErrorKind, PeerIdentity, ProbeReply, ProbeRequest, PublishBlocksReply,
    PublishBlocksRequest, PullConfigurationReply, PullConfigurationRequest, PushConfigurationReply,
    PushConfigurationRequest, StatusReply, StatusRequest,
};

/// Maximum number of concurrent calls on one connection; further calls wait at the sender.
const MAX_STREAMS_PER_PEER: u32 = 256;

/// Handler of the calls from peers.
///
/// Messages are validated before the handler is called: the sender is well-formed, lists are within
/// their limits, and a [`ForwardRequest`] is meant for this incarnation.
#[async_trait]
pub trait PeerHandler: Send + Sync + 'static {
    /// Returns the identity of this daemon.
    fn identity(&self) -> PeerIdentity;

    /// Applies the sender's membership updates and replies with this daemon's.
    async fn probe(&self, sender: Sender, request: ProbeRequest) -> ProbeReply;

    /// Probes another daemon on behalf of the sender.
    async fn indirect_probe(
        &self,
        sender: Sender,
        request: IndirectProbeRequest,
    ) -> IndirectProbeReply;

    /// Stores a version of the configuration. The reply may set `held` only once all sections of
    /// the version are stored.
    async fn push_configuration(
        &self,
        sender: Sender,
        request: PushConfigurationRequest,
    ) -> PushConfigurationReply;

    /// Returns the highest stored version of the configuration, or sections of it.
    async fn pull_configuration(
        &self,
        sender: Sender,
        request: PullConfigurationRequest,
    ) -> PullConfigurationReply;

    /// Decides on a forwarded request with a ticket or idempotency key, and returns its answer.
    async fn forward(&self, sender: Sender, request: ForwardRequest) -> ForwardReply;

    /// Applies directory hints: which endpoints and stores cached or evicted a block, and which of
    /// them are leaving.
    async fn publish_blocks(
        &self,
        sender: Sender,
        request: PublishBlocksRequest,
    ) -> PublishBlocksReply;

    /// Returns a status summary.
    async fn status(&self, sender: Sender, request: StatusRequest) -> StatusReply;
}

/// Serves peers on `listener` until `shutdown` completes and the running calls have been answered.
///
/// # Errors
///
/// Fails with [`PeerErrorKind::Lost`] if the listener fails.
pub async fn serve_peers(
    listener: TcpListener,
    handler: Arc<dyn PeerHandler>,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<(), PeerError> {
    let service = peer_server::PeerServer::new(PeerService { handler })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    Server::builder()
        .max_concurrent_streams(MAX_STREAMS_PER_PEER)
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, shutdown)
        .await
        .map_err(|error| PeerError::new(PeerErrorKind::Lost, error.to_string()))
}

/// Adapter from the generated gRPC service to a [`PeerHandler`].
struct PeerService {
    handler: Arc<dyn PeerHandler>,
}

fn refuse(error: DecodeError) -> Status {
    Status::invalid_argument(error.to_string())
}

#[async_trait]
impl peer_server::Peer for PeerService {
    async fn probe(&self, request: Request<ProbeRequest>) -> Result<Response<ProbeReply>, Status> {
        let request = request.into_inner();
        let sender = checked_sender(request.envelope.as_ref()).map_err(refuse)?;
        check_news(&request.news).map_err(refuse)?;
        Ok(Response::new(self.handler.probe(sender, request).await))
    }

    async fn indirect_probe(
        &self,
        request: Request<IndirectProbeRequest>,
    ) -> Result<Response<IndirectProbeReply>, Status> {
        let request = request.into_inner();
        let sender = checked_sender(request.envelope.as_ref()).map_err(refuse)?;
        request.target().map_err(refuse)?;
        let reply = self.handler.indirect_probe(sender, request).await;
        Ok(Response::new(reply))
    }

    async fn push_configuration(
        &self,
        request: Request<PushConfigurationRequest>,
    ) -> Result<Response<PushConfigurationReply>, Status> {
        let request = request.into_inner();
        let sender = checked_sender(request.envelope.as_ref()).map_err(refuse)?;
        let reply = self.handler.push_configuration(sender, request).await;
        Ok(Response::new(reply))
    }

    async fn pull_configuration(
        &self,
        request: Request<PullConfigurationRequest>,
    ) -> Result<Response<PullConfigurationReply>, Status> {
        let request = request.into_inner();
        let sender = checked_sender(request.envelope.as_ref()).map_err(refuse)?;
        let reply = self.handler.pull_configuration(sender, request).await;
        Ok(Response::new(reply))
    }

    async fn forward(
        &self,
        request: Request<ForwardRequest>,
    ) -> Result<Response<ForwardReply>, Status> {
        let request = request.into_inner();
        let sender = checked_sender(request.envelope.as_ref()).map_err(refuse)?;
        // Addresses are reused: the sender may mean a daemon that has died, at whose address this
        // one has started. This daemon has no state for the keys of that incarnation, so if it
        // acted on the request, a booking could run twice.
        if sender.meant_for != Some(self.handler.identity().incarnation) {
            return Err(Status::failed_precondition(WRONG_INCARNATION));
        }
        request.check().map_err(refuse)?;
        Ok(Response::new(self.handler.forward(sender, request).await))
    }

    async fn publish_blocks(
        &self,
        request: Request<PublishBlocksRequest>,
    ) -> Result<Response<PublishBlocksReply>, Status> {
        let request = request.into_inner();
        let sender = checked_sender(request.envelope.as_ref()).map_err(refuse)?;
        check_hints(&request.hints).map_err(refuse)?;
        let reply = self.handler.publish_blocks(sender, request).await;
        Ok(Response::new(reply))
    }

    async fn status(
        &self,
        request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        let request = request.into_inner();
        let sender = checked_sender(request.envelope.as_ref()).map_err(refuse)?;
        Ok(Response::new(self.handler.status(sender, request).await))
    }
}
