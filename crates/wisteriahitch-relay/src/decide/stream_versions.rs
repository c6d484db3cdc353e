//! Which software version began each stream, so that a caller can resume it at any daemon.
//!
//! Runners of several software versions may serve side by side, and what two of them write doesn't
//! fit together. A caller resumes a stream at any daemon, mostly right after the one that began it
//! was killed. So the daemon that begins a stream records its origin at a few others before it
//! passes on the first event, and a daemon that gets the resumed call asks these.
//!
//! Load pattern: all streams of a daemon that is killed are resumed within a second, at all others,
//! while a release replaces the endpoints. `docs/design/stream-versions.md` gives the reasons and the
//! figures.

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt;
use std::net::Ipv4Addr;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wisteriahitch_core::fleet::Rendezvous;
use wisteriahitch_types::{
    DurationUs, KeyHash, ParseIdError, RequestId, ServiceName, SoftwareVersion, TimeUs, WorkspaceId,
};

use super::member_rows::EntryPoint;

/// How long an origin is kept: twice the time that callers wait for a whole stream.
pub(crate) const ORIGIN_RETENTION_US: DurationUs = DurationUs::from_ms(30_000);

/// Number of other daemons that keep an origin.
pub(crate) const ORIGIN_REPLICAS: usize = 3;

/// Number of daemons that are asked for an origin. More than keep it, because the lists of members
/// of two daemons differ after a daemon was killed or has started.
pub(crate) const ASKED_REPLICAS: usize = 6;

/// Maximum number of origins that are kept: a thousand streams a second, each kept by four daemons
/// of ten.
const MAX_ORIGINS: usize = 16_384;

/// Domain separation from other hashes over the same bytes.
const CONTEXT: &str = "wisteriahitch stream key v1";

/// Start of a datagram with a record. It can't start a gossip message, which begins with a number
/// of variable length: no number has ten bytes that all announce another one.
const RECORD_PREFIX: [u8; 10] = [0xff; 10];

/// Layout of the rest of the datagram. A layout that can't be read by older daemons has another
/// number; fields that are added at the end need none.
const RECORD_FORMAT: u8 = 1;

/// Identifies a stream over its caller's attempts: by the workspace, and by the id of the call that
/// brought the first event. The same id of another workspace is another stream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Computes the key of a stream.
    pub fn of(workspace: Option<&WorkspaceId>, first_call: &RequestId) -> Self {
        let workspace = workspace.map_or("", WorkspaceId::as_str);
        let material = [workspace.as_bytes(), first_call.as_str().as_bytes()];
        let key = KeyHash::derive(CONTEXT, &material);
        let [a, b, c, d, e, f, g, h, ..] = *key.as_bytes();
        Self(u64::from_le_bytes([a, b, c, d, e, f, g, h]))
    }

    /// Returns the addresses of the first `count` daemons that keep the stream's origin: those of
    /// different availability zones first, so that it outlives the loss of a zone.
    pub fn replicas(self, members: &[EntryPoint], count: usize) -> Vec<Ipv4Addr> {
        let rank = Rendezvous::new("stream origin", &self.to_string());
        let ranked = rank.top(members, members.len(), |member| member.ip.octets().to_vec());
        let mut members_by_zone: HashMap<&str, usize> = HashMap::new();
        let mut ranked: Vec<(usize, Ipv4Addr)> = ranked
            .into_iter()
            .map(|member| {
                let earlier = members_by_zone.entry(&member.zone).or_default();
                let rank_in_zone = *earlier;
                *earlier += 1;
                (rank_in_zone, member.ip)
            })
            .collect();
        ranked.sort_by_key(|(rank_in_zone, _)| *rank_in_zone);
        ranked.into_iter().take(count).map(|(_, ip)| ip).collect()
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for StreamKey {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| ParseIdError::BadNumber)
    }
}

/// Where a stream began.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service that the stream's call was placed at. The calls of a route may be split among
    /// several.
    pub service: ServiceName,
    /// Software version of the endpoint that brought the first event.
    pub software: SoftwareVersion,
}

/// Datagram with the origin of a stream, for another daemon.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// Key of the stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
}

/// Reason why a datagram isn't a record that can be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// It has another layout.
    #[error("the record has the unknown layout {0}")]
    UnknownFormat(u8),
    /// It is damaged.
    #[error("the record is damaged")]
    Damaged,
}

impl StreamRecord {
    /// Encodes the record as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = RECORD_PREFIX.to_vec();
        bytes.push(RECORD_FORMAT);
        postcard::to_extend(self, bytes).unwrap_or_default()
    }

    /// Decodes a datagram; `None` if it isn't a record but may be a gossip message. What a newer
    /// daemon adds at the end is ignored.
    pub fn decode(bytes: &[u8]) -> Option<Result<Self, RecordError>> {
        let rest = bytes.strip_prefix(&RECORD_PREFIX)?;
        Some(match rest.split_first() {
            Some((&RECORD_FORMAT, fields)) => postcard::take_from_bytes(fields)
                .map(|(record, _)| record)
                .map_err(|_| RecordError::Damaged),
            Some((format, _)) => Err(RecordError::UnknownFormat(*format)),
            None => Err(RecordError::Damaged),
        })
    }
}

/// What a daemon knows about the origin of a stream, from its records and, if it has none, from the
/// versions of the service's endpoints.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OriginAnswer {
    /// The origin is recorded.
    Recorded(StreamOrigin),
    /// Two origins are recorded: two callers used the same id.
    Conflicting,
    /// Nothing is recorded, and all endpoints of the service have had this version for as long as a
    /// stream may be resumed.
    SoleVersion(SoftwareVersion),
    /// Nothing is recorded, and the service's endpoints have, or had, several versions, or the route has
    /// or had another service.
    SeveralVersions,
    /// Nothing is recorded, and the daemon hasn't known the endpoints long enough, or its knowledge
    /// is old.
    Unknown,
}

impl OriginAnswer {
    /// Returns the answer about a stream that isn't recorded. `versions` are those that the
    /// service's endpoints have had within `ORIGIN_RETENTION_US`; `is_complete` says whether the
    /// daemon has followed the endpoints for as long and still does.
    pub fn unrecorded<'a>(
        mut versions: impl Iterator<Item = &'a SoftwareVersion>,
        is_complete: bool,
    ) -> Self {
        match (versions.next(), versions.next()) {
            (Some(_), Some(_)) => OriginAnswer::SeveralVersions,
            (Some(version), None) if is_complete => OriginAnswer::SoleVersion(version.clone()),
            _ => OriginAnswer::Unknown,
        }
    }
}

/// Who knew the origin of a resumed stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginSource {
    /// This daemon had recorded it.
    Own,
    /// Another daemon had recorded it.
    Peer,
    /// No daemon had recorded it, but the service's endpoints all have one version.
    Presumed,
}

impl OriginSource {
    /// Returns the label for logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            OriginSource::Own => "own",
            OriginSource::Peer => "peer",
            OriginSource::Presumed => "presumed",
        }
    }
}

/// Reason why a resumed stream is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownOrigin {
    /// Two origins are recorded.
    Conflicting,
    /// Nothing is recorded, and several versions or services are or were in use.
    SeveralVersions,
    /// Nothing is recorded, and no daemon has known the endpoints long enough.
    NotRecorded,
    /// Nothing is recorded here, and no other daemon answered.
    Unanswered,
    /// The configuration no longer allows the service that began the stream.
    ServiceChanged,
}

impl UnknownOrigin {
    /// Returns the label for logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            UnknownOrigin::Conflicting => "conflicting",
            UnknownOrigin::SeveralVersions => "several_versions",
            UnknownOrigin::NotRecorded => "not_recorded",
            UnknownOrigin::Unanswered => "unanswered",
            UnknownOrigin::ServiceChanged => "service_changed",
        }
    }
}

/// Decides from this daemon's own answer and those of `asked` others where a stream began.
/// `sole_service` is the service of its route if there is a single one.
///
/// A record counts, whichever daemon has it. Without one, a version is presumed only if none knows of
/// another and at least one has known the endpoints for as long as the stream may have lasted.
/// Records are lost with the daemons that keep them, so an absent record says nothing about the
/// version while several are in service.
///
/// # Errors
///
/// Returns the reason if the origin isn't known for certain.
pub fn find_origin(
    own: &OriginAnswer,
    answers: &[OriginAnswer],
    asked: usize,
    sole_service: Option<&ServiceName>,
) -> Result<(StreamOrigin, OriginSource), UnknownOrigin> {
    let all = || std::iter::once(own).chain(answers);
    let mut recorded = all().filter_map(|answer| match answer {
        OriginAnswer::Recorded(origin) => Some(origin),
        _ => None,
    });
    let first = recorded.next();
    let is_contradicted = recorded.any(|origin| Some(origin) != first);
    if is_contradicted || all().any(|answer| *answer == OriginAnswer::Conflicting) {
        return Err(UnknownOrigin::Conflicting);
    }
    if let Some(origin) = first {
        let source = match own {
            OriginAnswer::Recorded(_) => OriginSource::Own,
            _ => OriginSource::Peer,
        };
        return Ok((origin.clone(), source));
    }
    let mut sole = all().filter_map(|answer| match answer {
        OriginAnswer::SoleVersion(version) => Some(version),
        _ => None,
    });
    let version = sole.next();
    let has_other = sole.any(|other| Some(other) != version);
    if has_other || all().any(|answer| *answer == OriginAnswer::SeveralVersions) {
        return Err(UnknownOrigin::SeveralVersions);
    }
    let (Some(version), Some(service)) = (version, sole_service) else {
        return Err(match asked > 0 && answers.is_empty() {
            true => UnknownOrigin::Unanswered,
            false => UnknownOrigin::NotRecorded,
        });
    };
    let origin = StreamOrigin {
        service: service.clone(),
        software: version.clone(),
    };
    Ok((origin, OriginSource::Presumed))
}

/// The origin of one stream.
#[derive(Debug)]
struct Row {
    /// `None` if two origins were recorded.
    origin: Option<Arc<StreamOrigin>>,
    expires_at_us: TimeUs,
}

/// Origins of the streams that this daemon began or keeps for others.
#[derive(Debug, Default)]
pub struct StreamVersions {
    rows: HashMap<StreamKey, Row>,
    /// Keys in the order in which they were recorded. A renewed key occurs several times.
    by_expiry: VecDeque<(TimeUs, StreamKey)>,
    /// The few distinct origins, which all rows share.
    origins: HashSet<Arc<StreamOrigin>>,
}

impl StreamVersions {
    /// Records the origin of a stream, or that it was resumed, which renews its retention.
    pub fn record(&mut self, record: StreamRecord, now: TimeUs) {
        self.expire(now);
        let expires_at_us = now + ORIGIN_RETENTION_US;
        let origin = Arc::new(record.origin);
        let origin = match self.origins.get(&origin) {
            Some(known) => Arc::clone(known),
            None => {
                self.origins.retain(|known| Arc::strong_count(known) > 1);
                self.origins.insert(Arc::clone(&origin));
                origin
            }
        };
        let row = self.rows.entry(record.key).or_insert_with(|| Row {
            origin: Some(Arc::clone(&origin)),
            expires_at_us,
        });
        if row.origin.as_ref() != Some(&origin) {
            row.origin = None;
        }
        row.expires_at_us = expires_at_us;
        self.by_expiry.push_back((expires_at_us, record.key));
    }

    /// Returns the recorded answer about a stream; `None` if there is no record.
    pub fn get(&self, key: StreamKey, now: TimeUs) -> Option<OriginAnswer> {
        let row = self.rows.get(&key)?;
        if row.expires_at_us <= now {
            return None;
        }
        Some(match &row.origin {
            Some(origin) => OriginAnswer::Recorded(origin.as_ref().clone()),
            None => OriginAnswer::Conflicting,
        })
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Removes expired streams, and the oldest ones beyond [`MAX_ORIGINS`].
    fn expire(&mut self, now: TimeUs) {
        while let Some((expires_at_us, key)) = self.by_expiry.front().copied() {
            if expires_at_us > now && self.by_expiry.len() < MAX_ORIGINS {
                break;
            }
            self.by_expiry.pop_front();
            let row = self.rows.get(&key);
            if row.is_some_and(|row| row.expires_at_us <= expires_at_us) {
                self.rows.remove(&key);
            }
        }
    }
}
