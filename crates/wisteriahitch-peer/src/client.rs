//! gRPC client for calls to other daemons (peers).

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

/// Maximum number of cached connections. In a large fleet every peer is probed from time to time,
/// and a connection to each would exceed the memory that a daemon may use for control traffic.
const MAX_CHANNELS: usize = 64;

/// HTTP/2 flow-control window in bytes, of each stream and of each connection. It limits how much
/// data from a peer this daemon must buffer.
const WINDOW_BYTES: u32 = 256 * 1024;

/// Client for calls to peers, with a bounded cache of connections.
///
/// Share it behind an `Arc`. Each call takes the peer's address and a timeout.
#[derive(Debug)]
pub struct PeerClient {
    connect_timeout: Duration,
    cache: Mutex<ChannelCache>,
}

#[derive(Debug, Default)]
struct ChannelCache {
    /// Number of lookups so far, used as the clock for [`CachedChannel::last_use`].
    lookup_count: u64,
    channels: HashMap<SocketAddr, CachedChannel>,
}

#[derive(Debug)]
struct CachedChannel {
    channel: Channel,
    /// Value of [`ChannelCache::lookup_count`] at the last use.
    last_use: u64,
}

macro_rules! calls {
    ($($(#[$doc:meta])* $name:ident($request:ty) -> $reply:ty;)+) => {$(
        $(#[$doc])*
        ///
        /// # Errors
        ///
        /// [`PeerError::kind`] says whether the peer may have received the call.
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
    /// Builds a client that waits at most `connect_timeout` for a connection to open.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            cache: Mutex::default(),
        }
    }

    /// Checks whether the daemon answers, and exchanges membership updates with it.
    ///
    /// # Errors
    ///
    /// [`PeerError::kind`] says whether the peer may have received the call;
    /// [`PeerErrorKind::Malformed`] means that the membership updates in its reply are invalid.
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
        /// Asks a daemon to probe another daemon.
        indirect_probe(IndirectProbeRequest) -> IndirectProbeReply;
        /// Sends a version of the configuration, as the changes since an earlier version.
        push_configuration(PushConfigurationRequest) -> PushConfigurationReply;
        /// Requests a newer version of the configuration, or sections of it.
        pull_configuration(PullConfigurationRequest) -> PullConfigurationReply;
        /// Forwards a request with a ticket or idempotency key to the incarnation that decides on
        /// it.
        forward(ForwardRequest) -> ForwardReply;
        /// Sends directory hints: which endpoints and stores cached or evicted a block, and which
        /// of them are leaving.
        publish_blocks(PublishBlocksRequest) -> PublishBlocksReply;
        /// Requests a status summary.
        status(StatusRequest) -> StatusReply;
    }

    /// Removes the cached connection to `address`; it closes when the calls on it have ended.
    pub fn close_connection(&self, address: SocketAddr) {
        self.lock().channels.remove(&address);
    }

    /// Returns the number of cached connections.
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
            Err(_) => PeerError::new(PeerErrorKind::Lost, "no reply before the timeout"),
        };
        // A connection to a frozen or replaced VM stays half open, and every later call on it would
        // wait until its timeout. Opening a new connection shows at once whether the peer answers.
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
        // The timeout of the connector does not cover the HTTP/2 handshake.
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
        self.lookup_count += 1;
        let cached = self.channels.get_mut(&address)?;
        cached.last_use = self.lookup_count;
        Some(cached.channel.clone())
    }

    fn insert(&mut self, address: SocketAddr, channel: Channel) {
        if self.channels.len() >= MAX_CHANNELS {
            self.evict_least_recently_used();
        }
        let last_use = self.lookup_count;
        self.channels
            .insert(address, CachedChannel { channel, last_use });
    }

    fn evict_least_recently_used(&mut self) {
        let oldest = self
            .channels
            .iter()
            .min_by_key(|(_, cached)| cached.last_use);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            self.channels.remove(&address);
        }
    }
}
