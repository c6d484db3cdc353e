//! Takes calls of peers and hands them to the daemon.

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

/// Calls of one peer that are under way at once; more wait at the sender.
const MAX_STREAMS_PER_PEER: u32 = 256;

/// Answers the calls of peers.
///
/// Every message has passed the checks of this crate before it gets here: the sender is known,
/// lists are within their bounds, and a [`ForwardRequest`] is meant for this incarnation.
#[async_trait]
pub trait PeerHandler: Send + Sync + 'static {
    /// Returns who this daemon is.
    fn identity(&self) -> PeerIdentity;

    /// Takes news and answers with news.
    async fn probe(&self, sender: Sender, request: ProbeRequest) -> ProbeReply;

    /// Probes another daemon for the sender.
    async fn indirect_probe(
        &self,
        sender: Sender,
        request: IndirectProbeRequest,
    ) -> IndirectProbeReply;

    /// Takes a version of the configuration; the reply may say `held` only once it is held whole.
    async fn push_configuration(
        &self,
        sender: Sender,
        request: PushConfigurationRequest,
    ) -> PushConfigurationReply;

    /// Gives the highest version held, or sections of it.
    async fn pull_configuration(
        &self,
        sender: Sender,
        request: PullConfigurationRequest,
    ) -> PullConfigurationReply;

    /// Decides for a keyed request and answers it.
    async fn forward(&self, sender: Sender, request: ForwardRequest) -> ForwardReply;

    /// Takes directory hints.
    async fn publish_blocks(
        &self,
        sender: Sender,
        request: PublishBlocksRequest,
    ) -> PublishBlocksReply;

    /// Gives a summary.
    async fn status(&self, sender: Sender, request: StatusRequest) -> StatusReply;
}

/// Serves peers on `listener` until `shutdown` ends and the calls under way have been answered.
///
/// # Errors
///
/// Fails with [`PeerErrorKind::Lost`] where the listener itself fails.
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
        // An address can be reused: the sender means a daemon that has died, and this one has
        // started in its place. Acting here would decide for keys of an incarnation that this
        // one knows nothing of, and a booking could run twice. So only the one meant may act.
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
