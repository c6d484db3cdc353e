//! News among daemons: datagrams several times a second, and objects on request.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::Instant;
use wisteriahitch_types::{ByteCount, DurationUs, TimeUs};
use wisteriahitch_wire::connection_pool::Connection;
use wisteriahitch_wire::object_store::{ObjectRole, Revision};

use super::answer_body::AnswerBody;
use super::beacons::{MAX_BEACON_BYTES, Relayed, encode};
use super::blocked_requests::{BLOCKED_PATH, blocked_list, lift};
use super::crashes::take_request_news;
use super::peer_state::add_parts;
use super::server::{Answers, ConnectionLimits};
use super::shared::Shared;
use super::store_news::apply_delta;
use super::watch_state::{Delta, WATCHED, kind_name};
use crate::decide::beacon::{Beacon, MemberPhase};
use crate::decide::hubs::HubCandidate;
use crate::decide::members::Heard;
use crate::decide::parts::{EngineMemory, PartKey};
use crate::observe::Event;

/// Time between two messages. Placement rests on what the others have sent meanwhile; one costs a
/// system call for each daemon that is told.
const BEACON_INTERVAL: Duration = Duration::from_millis(100);

/// The same in a large fleet for a daemon whose link isn't wide.
const NARROW_BEACON_INTERVAL: Duration = Duration::from_millis(200);

/// Rate from which a link is wide enough for messages to many.
const WIDE_LINK_MBPS: u16 = 50;

/// How long a told order keeps an endpoint from taking requests, if nothing more is heard.
const RESERVED_US: DurationUs = DurationUs::from_ms(600);

/// How long a told following of an engine's memory counts, if nothing more is heard.
const FOLLOWED_US: DurationUs = DurationUs::from_ms(800);

/// Longest wait for a peer's objects.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Largest answer of a peer.
const PEER_ANSWER_BYTES: ByteCount = ByteCount::new(8 * 1024 * 1024);

/// Start of the paths of peers' objects.
const OBJECTS_PATH: &str = "/v1/objects/";

/// Start of the paths of what peers know of part stores.
const PARTS_PATH: &str = "/v1/parts/";

/// Path of what peers believe that engines keep.
const ENGINES_PATH: &str = "/v1/engine-memory";

fn me(shared: &Shared) -> HubCandidate {
    HubCandidate {
        ip: shared.settings.ip,
        zone: shared.settings.zone.to_string(),
        link_mbps: shared.link_mbps(),
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
        let is_small = shared.peers.plan.lock().is_small;
        let interval = match is_small || shared.link_mbps() >= WIDE_LINK_MBPS {
            true => BEACON_INTERVAL,
            false => NARROW_BEACON_INTERVAL,
        };
        wait_for_turn(&shared, interval).await;
        let now = shared.now();
        tick(&shared, last, now);
        last = now;
        shared.peers.pace.lock().told(now);
        tell(&shared, &socket, now);
    }
}

/// Waits until the next message is due: after the interval, or earlier where something can't wait.
async fn wait_for_turn(shared: &Shared, interval: Duration) {
    let now = shared.now();
    let due_us = shared.peers.pace.lock().due_at(interval.into());
    let due = Instant::now() + Duration::from(due_us.since(now));
    if tokio::time::timeout_at(due, shared.peers.hurry.notified())
        .await
        .is_err()
    {
        shared.peers.note_lag(due.elapsed());
    }
    let gap_us = shared.peers.pace.lock().earliest().since(shared.now());
    if gap_us > DurationUs::ZERO {
        tokio::time::sleep(gap_us.into()).await;
    }
}

fn tick(shared: &Arc<Shared>, last: TimeUs, now: TimeUs) {
    let me = me(shared);
    let (silent, plan, count) = {
        let mut table = shared.peers.table();
        let silent = table.tick(last, now);
        (silent, table.hub_plan(&me, now), table.count(now))
    };
    for incarnation in silent {
        shared.log.write(&Event::MemberChanged {
            member: incarnation.to_string(),
            change: "silent",
        });
    }
    let follows = plan.follows_stores(&me);
    shared
        .peers
        .follows_stores
        .store(follows, Ordering::Relaxed);
    *shared.peers.plan.lock() = plan;
    if shared.settings.cold.bound().is_some() {
        share_cold_endpoints(shared, now);
    }
    shared.peers.daemons.store(count + 1, Ordering::Relaxed);
    shared.budgets.set_daemons(count + 1);
    // One that follows the store itself soon hears the same from it.
    let patience = if follows {
        shared.bounds.catch_up_delay()
    } else {
        DurationUs::ZERO
    };
    for (role, ip) in shared.watches.behind(patience, now) {
        tokio::spawn(catch_up(Arc::clone(shared), role, ip));
    }
}

/// Finds out which permits of cold endpoints this daemon holds.
fn share_cold_endpoints(shared: &Shared, now: TimeUs) {
    let is_complete = shared.peers.others_listed.is_cancelled();
    let me = shared.settings.ip;
    let mut sighting = shared.peers.table().sighting(me, is_complete, now);
    if shared.phase() == MemberPhase::Draining {
        sighting.alive.remove(&me);
    }
    let mut shares = shared.cold_shares.lock();
    shares.look(&sighting, now);
    shared.endpoints.lock().set_shares(&shares, now);
}

/// Sends each target what it doesn't know from elsewhere.
fn tell(shared: &Shared, socket: &UdpSocket, now: TimeUs) {
    let me = me(shared);
    let plan = shared.peers.plan.lock().clone();
    let targets = shared.peers.table().targets(&me, &plan, now);
    let near = std::mem::take(&mut *shared.peers.near_parts.lock());
    let far = std::mem::take(&mut *shared.peers.far_parts.lock());
    let relayed = Relayed::new(shared, &plan, near, far, now);
    let mut to_all: Option<Vec<u8>> = None;
    for ip in targets {
        let to = SocketAddr::from((ip, shared.settings.listen.peer_port));
        // Hubs tell their own daemons each something else; all others tell everybody the same.
        let is_own = !plan.is_small && plan.is_hub(me.ip) && !plan.is_hub(ip);
        let message = match is_own {
            true => encode(shared, &plan, &relayed, Some(ip), now),
            false => to_all
                .get_or_insert_with(|| encode(shared, &plan, &relayed, None, now))
                .clone(),
        };
        // A message that can't be sent is one that is lost; the next one follows soon.
        let _ = socket.try_send_to(&message, to);
    }
}

async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_BEACON_BYTES];
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

fn heard(shared: &Arc<Shared>, message: &[u8], from: SocketAddr) {
    let now = shared.now();
    let Ok(beacon) = postcard::from_bytes::<Beacon>(message) else {
        shared.log.write(&Event::Failure {
            what: "reading news of a peer",
            detail: format!("{} bytes from {from}", message.len()),
        });
        return;
    };
    // What it says of itself is told on, and messages are sent where it says it is.
    if beacon.ip == shared.settings.ip || from.ip() != beacon.ip {
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
    let held_up_us = {
        let table = shared.peers.table();
        table.get(beacon.ip).map(|peer| peer.held_up_us)
    };
    let held_up_us = held_up_us.unwrap_or_default();
    let watches = &shared.watches;
    let is_behind = watches.peer_knows(beacon.ip, &beacon.kinds, held_up_us, now);
    if is_behind && !shared.peers.follows_stores() {
        shared.peers.hurry.notify_one();
    }
    take_load(shared, &beacon, now);
    take_request_news(shared, &beacon.requests);
    take_store_news(shared, &beacon, now);
    relay(shared, beacon);
}

fn take_load(shared: &Shared, beacon: &Beacon, now: TimeUs) {
    let mut endpoints = shared.endpoints.lock();
    let loads: HashMap<_, _> = beacon
        .endpoints
        .iter()
        .map(|n| (n.endpoint, n.load))
        .collect();
    endpoints.peer_load(beacon.incarnation, loads, now);
    let reserved = beacon.endpoints.iter().filter(|news| news.is_reserved);
    let reserved = reserved.map(|news| news.endpoint).collect();
    let is_new = endpoints.peer_reserved(beacon.incarnation, reserved, now + RESERVED_US, now);
    let unreachable = beacon.unreachable.iter().copied().collect();
    let is_verdict = beacon.is_hub && !shared.peers.plan.lock().is_small;
    endpoints.peer_unreachable(beacon.incarnation, unreachable, is_verdict, now);
    for short_name in &beacon.followed {
        endpoints.followed(*short_name, now + FOLLOWED_US);
    }
    if is_new {
        // A hub tells it on at once: what is sent there until the others know is refused.
        shared.peers.hurry.notify_one();
    }
    for part in &beacon.parts {
        let tokens = u64::from(part.tokens);
        endpoints.has_part(part.endpoint, PartKey(part.part), tokens, now);
    }
}

fn take_store_news(shared: &Arc<Shared>, beacon: &Beacon, now: TimeUs) {
    if !beacon.is_hub || shared.peers.follows_stores() {
        return;
    }
    let unknown = {
        let mut stores = shared.part_stores.lock();
        // A hub hears of the stores from several; other daemons from their hub alone.
        if !shared.peers.plan.lock().is_hub(shared.settings.ip) {
            stores.forget_unreported(&beacon.stores);
        }
        let unknown = stores.told(&beacon.stores, now);
        stores.apply_kept_parts(&beacon.kept);
        unknown
    };
    let mut asked = shared.peers.asked_stores.lock();
    for store in unknown {
        if !asked.contains(&store) {
            asked.push(store);
            tokio::spawn(ask_parts(Arc::clone(shared), store, beacon.ip));
        }
    }
}

/// Tells on what a hub has heard.
fn relay(shared: &Shared, beacon: Beacon) {
    let is_hub = {
        let plan = shared.peers.plan.lock();
        !plan.is_small && plan.is_hub(shared.settings.ip)
    };
    match (is_hub, beacon.is_hub) {
        (false, _) => {}
        (true, false) => add_parts(&shared.peers.near_parts, beacon.parts),
        (true, true) => add_parts(&shared.peers.far_parts, beacon.parts),
    }
}

/// Asks a peer for all that a part store keeps.
async fn ask_parts(shared: Arc<Shared>, store: SocketAddr, ip: Ipv4Addr) {
    /// Life of the store, and keys of its parts with their sizes.
    type Kept = Option<(u64, Vec<(u64, u64)>)>;

    let path = format!("{PARTS_PATH}{store}");
    match ask::<Kept>(&shared, ip, &path).await {
        Ok(Some((epoch, kept))) => {
            let now = shared.now();
            shared
                .part_stores
                .lock()
                .apply_snapshot(store, epoch, &kept, now);
        }
        Ok(None) => {}
        Err(detail) => shared.log.write(&Event::Failure {
            what: "asking a peer for the parts of a store",
            detail: format!("{ip}: {detail}"),
        }),
    }
    shared
        .peers
        .asked_stores
        .lock()
        .retain(|asked| *asked != store);
}

/// Takes over from a peer what it knows more of a kind of objects.
async fn catch_up(shared: Arc<Shared>, role: ObjectRole, ip: Ipv4Addr) {
    take_over(&shared, role, ip).await;
    shared.watches.caught_up(role);
}

async fn take_over(shared: &Arc<Shared>, role: ObjectRole, ip: Ipv4Addr) {
    let since = shared.watches.changed_revision(role);
    let path = format!("{OBJECTS_PATH}{}?since={}", kind_name(role), since.0);
    match ask::<Delta>(shared, ip, &path).await {
        Ok(delta) => {
            let revision = delta.revision.0;
            apply_delta(shared, role, delta);
            if shared.peers.follows_stores() {
                shared.log.write(&Event::CaughtUp {
                    kind: kind_name(role),
                    from: ip.to_string(),
                    revision,
                });
            }
        }
        Err(detail) => shared.log.write(&Event::Failure {
            what: "asking a peer for objects",
            detail: format!("{ip}: {detail}"),
        }),
    }
}

/// What a daemon tells one that has just started of the engines.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Takeover {
    /// Time since the sender's start.
    pub(super) up_ms: u64,
    pub(super) engines: Vec<EngineMemory>,
}

fn takeover(shared: &Shared) -> Takeover {
    let now = shared.now();
    Takeover {
        up_ms: now.since(shared.started_at_us).as_ms(),
        engines: shared.endpoints.lock().engine_memory(now),
    }
}

/// Asks a daemon what it knows of the engines.
pub(super) async fn ask_takeover(shared: &Shared, ip: Ipv4Addr) -> Result<Takeover, String> {
    ask(shared, ip, ENGINES_PATH).await
}

async fn ask<T: DeserializeOwned>(shared: &Shared, ip: Ipv4Addr, path: &str) -> Result<T, String> {
    let to = SocketAddr::from((ip, shared.settings.listen.peer_port));
    let text = |error: wisteriahitch_wire::http_client::HttpError| error.to_string();
    let mut connection = Connection::open(to, PEER_TIMEOUT).await.map_err(text)?;
    let request = Request::get(path)
        .header(http::header::HOST, to.to_string())
        .body(Bytes::new())
        .map_err(|error| error.to_string())?;
    let fetched = connection.fetch(request, PEER_TIMEOUT, PEER_ANSWER_BYTES);
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
        let body = match *request.method() {
            Method::DELETE => lift(&self.shared, path),
            _ => self.body(path, request.uri().query()),
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

impl PeerSide {
    fn body(&self, path: &str, query: Option<&str>) -> Option<Bytes> {
        let shared = &self.shared;
        if let Some(kind) = path.strip_prefix(OBJECTS_PATH) {
            return objects(shared, kind, query);
        }
        if let Some(store) = path.strip_prefix(PARTS_PATH) {
            let store: SocketAddr = store.parse().ok()?;
            return json(&shared.part_stores.lock().kept_at(store));
        }
        match path {
            ENGINES_PATH => json(&takeover(shared)),
            "/metrics" => Some(metrics(shared).into()),
            BLOCKED_PATH => json(&blocked_list(shared)),
            "/v1/dump" => Some(super::daemon::dump(shared).into()),
            _ => None,
        }
    }
}

fn json<T: Serialize>(value: &T) -> Option<Bytes> {
    serde_json::to_vec(value).ok().map(Bytes::from)
}

fn objects(shared: &Shared, kind: &str, query: Option<&str>) -> Option<Bytes> {
    let role = WATCHED.iter().find(|role| kind_name(**role) == kind)?;
    let since = query.and_then(|query| query.strip_prefix("since="));
    let since = since.and_then(|since| since.parse().ok()).unwrap_or(0);
    json(&shared.watches.delta(*role, Revision(since)))
}

fn metrics(shared: &Shared) -> String {
    for role in WATCHED {
        let Some(age_ms) = shared.watches.age_ms(role, shared.now()) else {
            continue;
        };
        let ages = &shared.metrics.store_age_s;
        let gauge = ages.with_label_values(&[kind_name(role)]);
        gauge.set(DurationUs::from_ms(age_ms).as_secs_f64());
    }
    let endpoints = shared.endpoints.lock();
    for (life, count) in endpoints.count_by_life() {
        let gauge = shared.metrics.endpoints.with_label_values(&[life]);
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
    let cold = i64::try_from(endpoints.cold_count(shared.now()));
    shared.metrics.cold_endpoints.set(cold.unwrap_or(i64::MAX));
    drop(endpoints);
    shared.metrics.text()
}
