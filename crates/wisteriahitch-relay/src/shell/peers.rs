//! News among daemons: datagrams several times a second, and objects on request.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::{Mutex, MutexGuard};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use wisteriahitch_types::{ByteCount, DurationUs, TimeUs};
use wisteriahitch_wire::connection_pool::Connection;
use wisteriahitch_wire::object_store::{Listing, ObjectRole};

use super::answer_body::AnswerBody;
use super::server::{Answers, ConnectionLimits};
use super::shared::Shared;
use super::watch::{WATCHED, apply_listing, kind_name};
use crate::decide::members::{Beacon, EndpointNews, Heard, PartNews, PeerTable};
use crate::decide::parts::PartKey;
use crate::observe::Event;

/// Time between two messages. Placement rests on what the others have sent meanwhile; one costs a
/// system call for each other daemon.
const BEACON_INTERVAL: Duration = Duration::from_millis(100);

/// Largest message; it fits into one packet, so that one lost packet loses one message.
const MAX_BEACON_BYTES: usize = 1_400;

/// Most parts in a message; the rest goes with the next one.
const MAX_PARTS: usize = 40;

/// Most parts that wait to be told. Parts that are never told cost a prompt that is read again.
const MAX_WAITING_PARTS: usize = 400;

/// Most addresses of other daemons in a message.
const MAX_HEARD: usize = 16;

/// How long a told order keeps an endpoint from taking requests, if nothing more is heard.
const RESERVED_US: DurationUs = DurationUs::from_ms(500);

/// How long the store's own news may lag behind a peer's before the peer is asked.
const BEHIND_PATIENCE_US: DurationUs = DurationUs::from_ms(250);

/// Longest wait for a peer's objects.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(700);

/// Largest answer of a peer.
const SNAPSHOT_BYTES: ByteCount = ByteCount::new(4 * 1024 * 1024);

/// Start of the paths of peers' objects.
const SNAPSHOT_PATH: &str = "/v1/snapshot/";

/// What a daemon keeps of its peers.
#[derive(Default)]
pub(crate) struct PeerState {
    table: Mutex<PeerTable>,
    waiting_parts: Mutex<Vec<PartNews>>,
    number: AtomicU64,
    /// Sends a message at once.
    pub(crate) hurry: Notify,
}

impl PeerState {
    /// Locks the table of peers for one step.
    pub(crate) fn table(&self) -> MutexGuard<'_, PeerTable> {
        self.table.lock()
    }

    /// Tells parts that were read with the next messages.
    pub(crate) fn tell_parts(&self, news: Vec<PartNews>) {
        let mut waiting = self.waiting_parts.lock();
        if waiting.len() < MAX_WAITING_PARTS {
            waiting.extend(news);
        }
    }

    fn take_parts(&self) -> Vec<PartNews> {
        let mut waiting = self.waiting_parts.lock();
        let count = waiting.len().min(MAX_PARTS);
        waiting.drain(..count).collect()
    }
}

/// Sends messages and takes those of the others, for as long as the process lives.
pub(crate) async fn run_beacons(shared: Arc<Shared>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let receiver = receive(Arc::clone(&shared), Arc::clone(&socket));
    tokio::join!(send(shared, socket), receiver);
}

async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut last = shared.now();
    loop {
        // The pause is over early where something can't wait.
        let _ = tokio::time::timeout(BEACON_INTERVAL, shared.peers.hurry.notified()).await;
        let now = shared.now();
        tick(&shared, last, now);
        last = now;
        let addresses = shared.peers.table().addresses();
        let others = addresses.into_iter().filter(|ip| *ip != shared.settings.ip);
        let message = encode(&shared, now);
        for ip in others {
            let to = SocketAddr::from((ip, shared.settings.listen.peer_port));
            // A message that can't be sent is one that is lost; the next one follows soon.
            let _ = socket.try_send_to(&message, to);
        }
    }
}

fn tick(shared: &Arc<Shared>, last: TimeUs, now: TimeUs) {
    let silent = shared.peers.table().tick(last, now);
    for incarnation in silent {
        shared.log.write(&Event::MemberChanged {
            member: incarnation.to_string(),
            change: "silent",
        });
    }
    let daemons = shared.peers.table().alive(now).count() + 1;
    shared.budgets.set_daemons(daemons);
    for (role, ip) in shared.watches.behind(BEHIND_PATIENCE_US, now) {
        tokio::spawn(catch_up(Arc::clone(shared), role, ip));
    }
}

fn encode(shared: &Shared, now: TimeUs) -> Vec<u8> {
    let mut beacon = Beacon {
        incarnation: shared.incarnation,
        number: shared.peers.number.fetch_add(1, Ordering::Relaxed),
        ip: shared.settings.ip,
        zone: shared.settings.zone.to_string(),
        phase: shared.phase(),
        is_store_reachable: shared.watches.is_store_reachable(),
        revisions: shared.watches.changed(),
        endpoints: endpoint_news(shared),
        parts: shared.peers.take_parts(),
        heard: shared
            .peers
            .table()
            .alive(now)
            .map(|peer| peer.ip)
            .take(MAX_HEARD)
            .collect(),
    };
    loop {
        let message = postcard::to_stdvec(&beacon).unwrap_or_default();
        if message.len() <= MAX_BEACON_BYTES
            || beacon.parts.is_empty() && beacon.endpoints.is_empty()
        {
            return message;
        }
        // The least useful news goes first.
        if beacon.parts.pop().is_none() {
            beacon.endpoints.pop();
        }
    }
}

fn endpoint_news(shared: &Shared) -> Vec<EndpointNews> {
    let rollout = shared.rollout.lock();
    let reserved: Vec<_> = rollout.reserved().cloned().collect();
    drop(rollout);
    let endpoints = shared.endpoints.lock();
    let news = endpoints.iter().map(|row| EndpointNews {
        endpoint: row.hash(),
        load: row.own,
        is_reserved: reserved.contains(&row.endpoint.id),
    });
    let says_something = |news: &EndpointNews| news.is_reserved || news.load.running > 0;
    news.filter(says_something).collect()
}

async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; 2 * MAX_BEACON_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => heard(&shared, &buffer[..length], from),
            Err(error) => {
                shared.log.write(&Event::Failure {
                    what: "receiving news of a peer",
                    detail: error.to_string(),
                });
                tokio::time::sleep(BEACON_INTERVAL).await;
            }
        }
    }
}

fn heard(shared: &Shared, message: &[u8], from: SocketAddr) {
    let now = shared.now();
    let Ok(beacon) = postcard::from_bytes::<Beacon>(message) else {
        shared.log.write(&Event::Failure {
            what: "reading news of a peer",
            detail: format!("{} bytes from {from}", message.len()),
        });
        return;
    };
    if beacon.ip == shared.settings.ip {
        return;
    }
    match shared.peers.table().heard(&beacon, now) {
        Heard::Old => return,
        Heard::Again => {}
        Heard::Joined => shared.log.write(&Event::MemberChanged {
            member: format!("{} {}", beacon.ip, beacon.incarnation),
            change: "heard",
        }),
    }
    shared.watches.peer_knows(beacon.ip, &beacon.revisions, now);
    let mut endpoints = shared.endpoints.lock();
    let loads: HashMap<_, _> = beacon
        .endpoints
        .iter()
        .map(|n| (n.endpoint, n.load))
        .collect();
    endpoints.peer_load(beacon.incarnation, loads, now);
    for news in beacon.endpoints.iter().filter(|news| news.is_reserved) {
        endpoints.reserve(news.endpoint, now + RESERVED_US);
    }
    for part in beacon.parts {
        endpoints.has_part(part.endpoint, PartKey(part.part), u64::from(part.tokens));
    }
}

/// Takes a kind of objects over from a peer that knows more than the store has told.
async fn catch_up(shared: Arc<Shared>, role: ObjectRole, ip: Ipv4Addr) {
    match fetch(&shared, role, ip).await {
        Ok(listing) => {
            let revision = listing.revision.0;
            apply_listing(&shared, role, listing, "peer");
            shared.log.write(&Event::CaughtUp {
                kind: kind_name(role),
                from: ip.to_string(),
                revision,
            });
        }
        Err(detail) => shared.log.write(&Event::Failure {
            what: "asking a peer for objects",
            detail: format!("{ip}: {detail}"),
        }),
    }
}

async fn fetch(shared: &Shared, role: ObjectRole, ip: Ipv4Addr) -> Result<Listing, String> {
    let to = SocketAddr::from((ip, shared.settings.listen.peer_port));
    let text = |error: wisteriahitch_wire::http_client::HttpError| error.to_string();
    let mut connection = Connection::open(to, SNAPSHOT_TIMEOUT).await.map_err(text)?;
    let request = Request::get(format!("{SNAPSHOT_PATH}{}", kind_name(role)))
        .header(http::header::HOST, to.to_string())
        .body(Bytes::new())
        .map_err(|error| error.to_string())?;
    let fetched = connection.fetch(request, SNAPSHOT_TIMEOUT, SNAPSHOT_BYTES);
    let response = fetched.await.map_err(text)?;
    if response.status() != StatusCode::OK {
        return Err(response.status().to_string());
    }
    serde_json::from_slice(response.body()).map_err(|error| error.to_string())
}

/// Answers other daemons and whoever reads metrics.
pub(crate) struct PeerSide {
    pub(crate) shared: Arc<Shared>,
}

impl Answers for PeerSide {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let path = request.uri().path();
        let body = match path.strip_prefix(SNAPSHOT_PATH) {
            Some(kind) => snapshot(&self.shared, kind),
            None if path == "/metrics" => Some(metrics(&self.shared).into()),
            None if path == "/v1/dump" => Some(super::daemon::dump(&self.shared).into()),
            None => None,
        };
        let status = match &body {
            Some(_) => StatusCode::OK,
            None => StatusCode::NOT_FOUND,
        };
        let mut response = Response::new(AnswerBody::whole(body.unwrap_or_default()));
        *response.status_mut() = status;
        response
    }

    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits {
            header_bytes: 8_192,
            idle_timeout: Duration::from_secs(10),
        }
    }
}

fn snapshot(shared: &Shared, kind: &str) -> Option<Bytes> {
    let role = WATCHED.iter().find(|role| kind_name(**role) == kind)?;
    let listing = shared.watches.listing(*role);
    serde_json::to_vec(&listing).ok().map(Bytes::from)
}

fn metrics(shared: &Shared) -> String {
    let age = shared.watches.age(shared.now());
    shared.metrics.store_age_s.set(age.as_secs_f64());
    let endpoints = shared.endpoints.lock();
    for (life, count) in endpoints.count_by_life() {
        let gauge = shared.metrics.endpoints.with_label_values(&[life]);
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
    drop(endpoints);
    shared.metrics.text()
}
