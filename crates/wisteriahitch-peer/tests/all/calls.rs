//! Calls between two daemons over loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use wisteriahitch_peer::{
    Envelope, ForwardReply, ForwardRequest, IndirectProbeReply, IndirectProbeRequest, KeyKind,
    MAX_NEWS, MemberNews, MemberState, PeerClient, PeerErrorKind, PeerHandler, PeerIdentity,
    ProbeReply, ProbeRequest, PublishBlocksReply, PublishBlocksRequest, PullConfigurationReply,
    PullConfigurationRequest, PushConfigurationReply, PushConfigurationRequest, Sender,
    StatusReply, StatusRequest, serve_peers,
};
use wisteriahitch_types::{Code, Incarnation};

/// Long enough that only a hanging call reaches it.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

struct FakeHandler {
    identity: PeerIdentity,
    forward_count: AtomicU32,
}

#[async_trait]
impl PeerHandler for FakeHandler {
    fn identity(&self) -> PeerIdentity {
        self.identity.clone()
    }

    async fn probe(&self, sender: Sender, request: ProbeRequest) -> ProbeReply {
        ProbeReply {
            envelope: Some(self.identity.envelope(Some(sender.incarnation))),
            news: request.news,
        }
    }

    async fn indirect_probe(&self, _: Sender, _: IndirectProbeRequest) -> IndirectProbeReply {
        IndirectProbeReply {
            reached: true,
            news: Vec::new(),
        }
    }

    async fn push_configuration(
        &self,
        _: Sender,
        request: PushConfigurationRequest,
    ) -> PushConfigurationReply {
        PushConfigurationReply {
            held: true,
            held_version: request.version,
            missing: Vec::new(),
        }
    }

    async fn pull_configuration(
        &self,
        _: Sender,
        request: PullConfigurationRequest,
    ) -> PullConfigurationReply {
        PullConfigurationReply {
            version: request.after_version + 1,
            ..PullConfigurationReply::default()
        }
    }

    async fn forward(&self, _: Sender, request: ForwardRequest) -> ForwardReply {
        self.forward_count.fetch_add(1, Ordering::SeqCst);
        if request.path == "/never" {
            std::future::pending::<()>().await;
        }
        ForwardReply {
            status: 503,
            code: Code::QueueFull.number().into(),
            body: request.body,
            ..ForwardReply::default()
        }
    }

    async fn publish_blocks(&self, _: Sender, batch: PublishBlocksRequest) -> PublishBlocksReply {
        PublishBlocksReply {
            accepted: batch.hints.len() as u32,
        }
    }

    async fn status(&self, _: Sender, _: StatusRequest) -> StatusReply {
        StatusReply {
            envelope: Some(self.identity.envelope(None)),
            state: MemberState::Alive.into(),
            config_version: 4,
            ..StatusReply::default()
        }
    }
}

struct Fixture {
    address: SocketAddr,
    handler: Arc<FakeHandler>,
    client: PeerClient,
    stop: oneshot::Sender<()>,
}

async fn start(incarnation: u64) -> Fixture {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(FakeHandler {
        identity: identity("entry-2", incarnation),
        forward_count: AtomicU32::new(0),
    });
    let (stop, stopped) = oneshot::channel();
    let shutdown = async {
        let _ = stopped.await;
    };
    tokio::spawn(serve_peers(listener, handler.clone(), shutdown));
    Fixture {
        address,
        handler,
        client: PeerClient::new(CALL_TIMEOUT),
        stop,
    }
}

fn identity(daemon: &str, incarnation: u64) -> PeerIdentity {
    PeerIdentity::new(daemon.parse().unwrap(), Incarnation::new(incarnation))
}

fn envelope(meant_for: u64) -> Option<Envelope> {
    Some(identity("entry-1", 7).envelope(Some(Incarnation::new(meant_for))))
}

fn forward(meant_for: u64, path: &str) -> ForwardRequest {
    ForwardRequest {
        envelope: envelope(meant_for),
        workspace: "kandy-1".to_owned(),
        kind: KeyKind::Ticket.into(),
        key: "t-1".to_owned(),
        method: "POST".to_owned(),
        path: path.to_owned(),
        body: b"{}".to_vec().into(),
        ..ForwardRequest::default()
    }
}

#[tokio::test]
async fn every_call_is_answered() {
    let fixture = start(9).await;
    let (client, address) = (&fixture.client, fixture.address);

    let probe = ProbeRequest {
        envelope: envelope(9),
        ..ProbeRequest::default()
    };
    let probed = client.probe(address, probe, CALL_TIMEOUT).await.unwrap();
    let answerer = probed.envelope.unwrap().sender().unwrap();
    assert_eq!(answerer.incarnation, Incarnation::new(9));
    assert_eq!(answerer.meant_for, Some(Incarnation::new(7)));

    let indirect = IndirectProbeRequest {
        envelope: envelope(9),
        target_address: "127.0.0.1:1".to_owned(),
        target_incarnation: 5,
        timeout_ms: 10,
    };
    let indirect = client.indirect_probe(address, indirect, CALL_TIMEOUT).await;
    assert!(indirect.unwrap().reached);

    let push = PushConfigurationRequest {
        envelope: envelope(9),
        version: 5,
        ..PushConfigurationRequest::default()
    };
    let pushed = client.push_configuration(address, push, CALL_TIMEOUT).await;
    assert_eq!(pushed.unwrap().held_version, 5);

    let pull = PullConfigurationRequest {
        envelope: envelope(9),
        after_version: 5,
        ..PullConfigurationRequest::default()
    };
    let pulled = client.pull_configuration(address, pull, CALL_TIMEOUT).await;
    assert_eq!(pulled.unwrap().version, 6);

    let answer = client
        .forward(address, forward(9, "/book"), CALL_TIMEOUT)
        .await;
    assert_eq!(answer.unwrap().result_code(), Some(Code::QueueFull));

    let batch = PublishBlocksRequest {
        envelope: envelope(9),
        ..PublishBlocksRequest::default()
    };
    let published = client.publish_blocks(address, batch, CALL_TIMEOUT).await;
    assert_eq!(published.unwrap().accepted, 0);

    let status = StatusRequest {
        envelope: envelope(9),
    };
    let status = client.status(address, status, CALL_TIMEOUT).await.unwrap();
    assert_eq!(status.config_version, 4);
    assert_eq!(client.channel_count(), 1);
}

/// A daemon must not decide on a request whose ticket it did not issue. This could happen when the
/// issuer dies, another daemon starts at its address, and a request with the old ticket is
/// forwarded there.
#[tokio::test]
async fn a_daemon_at_a_reused_address_refuses_a_forwarded_request() {
    let fixture = start(10).await;
    let request = forward(9, "/book");
    let error = fixture
        .client
        .forward(fixture.address, request, CALL_TIMEOUT)
        .await;
    let error = error.unwrap_err();
    assert_eq!(error.kind(), PeerErrorKind::WrongIncarnation);
    assert!(error.is_not_run());
    assert_eq!(fixture.handler.forward_count.load(Ordering::SeqCst), 0);
}

/// A request must not be reported as `not run` while it runs at the peer. When the sender's timeout
/// expires after the call was sent, the peer may still be working on it.
#[tokio::test]
async fn a_timeout_after_sending_counts_as_lost() {
    let fixture = start(9).await;
    let status = StatusRequest {
        envelope: envelope(9),
    };
    fixture
        .client
        .status(fixture.address, status, CALL_TIMEOUT)
        .await
        .unwrap();
    let timeout = Duration::from_millis(300);
    let request = forward(9, "/never");
    let error = fixture
        .client
        .forward(fixture.address, request, timeout)
        .await;
    let error = error.unwrap_err();
    assert_eq!(error.kind(), PeerErrorKind::Lost);
    assert!(!error.is_not_run());
    assert_eq!(fixture.client.channel_count(), 0);
}

#[tokio::test]
async fn a_refused_connection_counts_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = PeerClient::new(CALL_TIMEOUT);
    let error = client
        .forward(address, forward(9, "/book"), CALL_TIMEOUT)
        .await;
    assert_eq!(error.unwrap_err().kind(), PeerErrorKind::NotSent);
}

/// Calls to a restarted daemon must not keep failing because the connection to its previous process
/// is still cached. After the server stops, calls on the cached connection fail, and the next one
/// must open a new connection.
#[tokio::test]
async fn the_connection_to_a_stopped_peer_is_not_reused() {
    let fixture = start(9).await;
    let status = || StatusRequest {
        envelope: envelope(9),
    };
    fixture
        .client
        .status(fixture.address, status(), CALL_TIMEOUT)
        .await
        .unwrap();
    fixture.stop.send(()).unwrap();
    let deadline = tokio::time::Instant::now() + CALL_TIMEOUT;
    loop {
        let answer = fixture
            .client
            .status(fixture.address, status(), CALL_TIMEOUT)
            .await;
        if answer.is_err_and(|error| error.kind() == PeerErrorKind::NotSent) {
            break;
        }
        assert!(tokio::time::Instant::now() < deadline);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn malformed_calls_are_refused_without_reaching_the_handler() {
    let fixture = start(9).await;
    let news = MemberNews::default();
    let too_many = ProbeRequest {
        envelope: envelope(9),
        news: vec![news; MAX_NEWS + 1],
        ..ProbeRequest::default()
    };
    let without_envelope = ProbeRequest::default();
    for request in [too_many, without_envelope] {
        let error = fixture
            .client
            .probe(fixture.address, request, CALL_TIMEOUT)
            .await;
        assert_eq!(error.unwrap_err().kind(), PeerErrorKind::Refused);
    }
    let mut without_kind = forward(9, "/book");
    without_kind.kind = 0;
    let error = fixture
        .client
        .forward(fixture.address, without_kind, CALL_TIMEOUT)
        .await;
    assert_eq!(error.unwrap_err().kind(), PeerErrorKind::Refused);
    assert_eq!(fixture.handler.forward_count.load(Ordering::SeqCst), 0);
}
