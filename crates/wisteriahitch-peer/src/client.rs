//! Sends calls to peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};

use crate::convert::check_news;
use crate::generated::peer_client;
use crate::{
    ForwardReply, ForwardRequest, IndirectProbeReply, IndirectProbeRequest, MAX_MESSAGE_BYTES,
    PeerError, PeerErrorKind, ProbeReply, ProbeRequest, PublishBlocksReply, PublishBlocksRequest,
    PullConfigurationReply, PullConfigurationRequest, PushConfigurationReply,
    PushConfigurationRequest, StatusReply, StatusRequest,
};

type Stub = peer_client::PeerClient<Channel>;

/// Connections that are kept open; at a large fleet every peer is probed now and then, and one
/// connection to each would take more memory than a daemon may spend on control.
const MAX_CHANNELS: usize = 64;

/// Window of one call and of one connection, in bytes, which bounds what a peer may make us hold.
const WINDOW_BYTES: u32 = 256 * 1024;

/// Calls peers and keeps a bounded number of connections to them.
///
/// Cheap to share behind an `Arc`; each call names the peer's address and its time-out.
#[derive(Debug)]
pub struct PeerClient {
    connect_timeout: Duration,
    cache: Mutex<ChannelCache>,
}

#[derive(Debug, Default)]
struct ChannelCache {
    uses: u64,
    channels: HashMap<SocketAddr, CachedChannel>,
}

#[derive(Debug)]
struct CachedChannel {
    channel: Channel,
    last_use: u64,
}

macro_rules! calls {
    ($($(#[$doc:meta])* $name:ident($request:ty) -> $reply:ty;)+) => {$(
        $(#[$doc])*
        ///
        /// # Errors
        ///
        /// [`PeerError::kind`] says whether the peer may have seen the call.
        pub async fn $name(
            &self,
            address: SocketAddr,
            request: $request,
            timeout: Duration,
        ) -> Result<$reply, PeerError> {
            self.call(address, timeout, |mut stub| async move {
                stub.$name(Request::new(request)).await
            })
            .await
        }
    )+};
}

impl PeerClient {
    /// Builds a client that waits at most `connect_timeout` for a connection.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            cache: Mutex::default(),
        }
    }

    /// Asks whether the daemon answers, and exchanges news.
    ///
    /// # Errors
    ///
    /// [`PeerError::kind`] says whether the peer may have seen the call;
    /// [`PeerErrorKind::Malformed`] means that its news break the protocol.
    pub async fn probe(
        &self,
        address: SocketAddr,
        request: ProbeRequest,
        timeout: Duration,
    ) -> Result<ProbeReply, PeerError> {
        let reply = self
            .call(address, timeout, |mut stub| async move {
                stub.probe(Request::new(request)).await
            })
            .await?;
        check_news(&reply.news)
            .map_err(|error| PeerError::new(PeerErrorKind::Malformed, error.to_string()))?;
        Ok(reply)
    }

    calls! {
        /// Asks a daemon to probe another one.
        indirect_probe(IndirectProbeRequest) -> IndirectProbeReply;
        /// Hands over a version of the configuration.
        push_configuration(PushConfigurationRequest) -> PushConfigurationReply;
        /// Asks for a version of the configuration.
        pull_configuration(PullConfigurationRequest) -> PullConfigurationReply;
        /// Hands a keyed request to the incarnation that decides.
        forward(ForwardRequest) -> ForwardReply;
        /// Tells directory hints.
        publish_blocks(PublishBlocksRequest) -> PublishBlocksReply;
        /// Asks for a summary.
        status(StatusRequest) -> StatusReply;
    }

    /// Closes the connection to a peer that has left.
    pub fn close_connection(&self, address: SocketAddr) {
        self.lock().channels.remove(&address);
    }

    /// Returns how many connections are kept.
    pub fn channel_count(&self) -> usize {
        self.lock().channels.len()
    }

    async fn call<T, F>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        send: impl FnOnce(Stub) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let channel = self.channel(address, timeout).await?;
        let stub = peer_client::PeerClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let error = match tokio::time::timeout(timeout, send(stub)).await {
            Ok(Ok(reply)) => return Ok(reply.into_inner()),
            Ok(Err(status)) => PeerError::from_status(&status),
            Err(_) => PeerError::new(PeerErrorKind::Lost, "no answer in time"),
        };
        // A connection to a frozen or replaced VM stays half open: later calls would wait on it
        // until their time-out, one after the other. A new one shows at once whether it answers.
        if matches!(error.kind(), PeerErrorKind::Lost | PeerErrorKind::NotSent) {
            self.close_connection(address);
        }
        Err(error)
    }

    async fn channel(&self, address: SocketAddr, timeout: Duration) -> Result<Channel, PeerError> {
        if let Some(channel) = self.lock().find(address) {
            return Ok(channel);
        }
        let not_sent = |error: &dyn std::error::Error| {
            PeerError::new(PeerErrorKind::NotSent, format!("{address}: {error}"))
        };
        let connect_timeout = self.connect_timeout.min(timeout);
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| not_sent(&error))?
            .connect_timeout(connect_timeout)
            .tcp_nodelay(true)
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES);
        // The connector's own time-out doesn't cover the opening of HTTP/2 on the connection.
        let channel = tokio::time::timeout(connect_timeout, endpoint.connect())
            .await
            .map_err(|error| not_sent(&error))?
            .map_err(|error| not_sent(&error))?;
        self.lock().insert(address, channel.clone());
        Ok(channel)
    }

    fn lock(&self) -> MutexGuard<'_, ChannelCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ChannelCache {
    fn find(&mut self, address: SocketAddr) -> Option<Channel> {
        self.uses += 1;
        let cached = self.channels.get_mut(&address)?;
        cached.last_use = self.uses;
        Some(cached.channel.clone())
    }

    fn insert(&mut self, address: SocketAddr, channel: Channel) {
        if self.channels.len() >= MAX_CHANNELS {
            self.drop_least_recent();
        }
        let last_use = self.uses;
        self.channels
            .insert(address, CachedChannel { channel, last_use });
    }

    fn drop_least_recent(&mut self) {
        let oldest = self.channels.iter().min_by_key(|(_, kept)| kept.last_use);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            self.channels.remove(&address);
        }
    }
}
