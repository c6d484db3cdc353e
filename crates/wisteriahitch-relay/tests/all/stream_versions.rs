//! Which software version began a stream that a caller resumes.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriahitch_relay::OriginAnswer::{Conflicting, SeveralVersions, Unknown};
use wisteriahitch_relay::{
    AbsenceCause, Endpoint, EndpointTable, EntryPoint, GossipMessage, OriginAnswer, OriginSource,
    RecordError, StreamKey, StreamOrigin, StreamRecord, StreamVersions, UnknownOrigin, find_origin,
};
use wisteriahitch_types::{RequestId, SoftwareVersion, TimeUs, WorkspaceId};

use crate::fixture::{at_ms, engine, id, service};

fn version(text: &str) -> SoftwareVersion {
    text.parse().unwrap()
}

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: service(),
        software: version(software),
    }
}

fn key(workspace: &str, first_call: &str) -> StreamKey {
    let workspace: Option<WorkspaceId> = workspace.parse().ok();
    let first_call: RequestId = first_call.parse().unwrap();
    StreamKey::of(workspace.as_ref(), &first_call)
}

fn record(key: StreamKey, software: &str) -> StreamRecord {
    StreamRecord {
        key,
        origin: origin(software),
    }
}

fn recorded(software: &str) -> OriginAnswer {
    OriginAnswer::Recorded(origin(software))
}

fn sole(software: &str) -> OriginAnswer {
    OriginAnswer::SoleVersion(version(software))
}

/// What daemons know of the origin of a resumed stream.
struct OriginCase {
    what: &'static str,
    own: OriginAnswer,
    answers: Vec<OriginAnswer>,
    asked: usize,
    has_sole_service: bool,
    expected: Result<(&'static str, OriginSource), UnknownOrigin>,
}

fn origin_case(
    what: &'static str,
    own: OriginAnswer,
    answers: &[OriginAnswer],
    expected: Result<(&'static str, OriginSource), UnknownOrigin>,
) -> OriginCase {
    OriginCase {
        what,
        own,
        answers: answers.to_vec(),
        asked: 3,
        has_sole_service: true,
        expected,
    }
}

fn known_origins() -> Vec<OriginCase> {
    vec![
        origin_case(
            "this daemon began it",
            recorded("v1"),
            &[],
            Ok(("v1", OriginSource::Own)),
        ),
        origin_case(
            "another daemon keeps the record, and two versions serve",
            SeveralVersions,
            &[SeveralVersions, recorded("v1")],
            Ok(("v1", OriginSource::Peer)),
        ),
        origin_case(
            "a record counts although other daemons know one version, not this one",
            sole("v2"),
            &[sole("v2"), recorded("v1")],
            Ok(("v1", OriginSource::Peer)),
        ),
        origin_case(
            "after a restart of this daemon, another one has the record",
            Unknown,
            &[recorded("v1")],
            Ok(("v1", OriginSource::Peer)),
        ),
        origin_case(
            "no record, and one version for as long as anybody knows",
            sole("v1"),
            &[sole("v1"), Unknown],
            Ok(("v1", OriginSource::Presumed)),
        ),
        origin_case(
            "this daemon has just started, but others know one version",
            Unknown,
            &[sole("v1"), sole("v1")],
            Ok(("v1", OriginSource::Presumed)),
        ),
        origin_case(
            "nobody answers, and this daemon knows one version",
            sole("v1"),
            &[],
            Ok(("v1", OriginSource::Presumed)),
        ),
        OriginCase {
            has_sole_service: false,
            ..origin_case(
                "the route's calls are split, and the record names the service",
                Unknown,
                &[recorded("v1")],
                Ok(("v1", OriginSource::Peer)),
            )
        },
    ]
}

fn unknown_origins() -> Vec<OriginCase> {
    vec![
        origin_case(
            "no record while a release is under way",
            SeveralVersions,
            &[SeveralVersions, SeveralVersions],
            Err(UnknownOrigin::SeveralVersions),
        ),
        origin_case(
            "one daemon hasn't learned of the second version yet",
            sole("v1"),
            &[sole("v1"), SeveralVersions],
            Err(UnknownOrigin::SeveralVersions),
        ),
        origin_case(
            "two parts of the fleet know one version each",
            sole("v1"),
            &[sole("v2")],
            Err(UnknownOrigin::SeveralVersions),
        ),
        origin_case(
            "all daemons have just started",
            Unknown,
            &[Unknown, Unknown, Unknown],
            Err(UnknownOrigin::NotRecorded),
        ),
        origin_case(
            "this daemon has just started and reaches no other",
            Unknown,
            &[],
            Err(UnknownOrigin::Unanswered),
        ),
        origin_case(
            "two callers used one id",
            Conflicting,
            &[],
            Err(UnknownOrigin::Conflicting),
        ),
        origin_case(
            "two daemons keep different records of one id",
            SeveralVersions,
            &[recorded("v1"), recorded("v2")],
            Err(UnknownOrigin::Conflicting),
        ),
        OriginCase {
            has_sole_service: false,
            ..origin_case(
                "the route's calls are split, so the service isn't known either",
                Unknown,
                &[Unknown],
                Err(UnknownOrigin::NotRecorded),
            )
        },
        OriginCase {
            asked: 0,
            ..origin_case(
                "a daemon alone that has just started",
                Unknown,
                &[],
                Err(UnknownOrigin::NotRecorded),
            )
        },
    ]
}

/// Callers resumed streams at daemons that didn't know where these had begun, and the streams went
/// on at another software version.
#[test]
fn a_stream_whose_origin_is_not_certain_is_refused() {
    for case in known_origins().into_iter().chain(unknown_origins()) {
        let service = service();
        let sole_service = case.has_sole_service.then_some(&service);
        let found = find_origin(&case.own, &case.answers, case.asked, sole_service);
        let expected = case
            .expected
            .map(|(software, source)| (origin(software), source));
        assert_eq!(found, expected, "{}", case.what);
    }
}

/// Guards against a version that is presumed from a list of endpoints which is young, old, or shows
/// a release.
#[test]
fn a_version_is_presumed_only_from_a_complete_history() {
    struct Case {
        what: &'static str,
        versions: &'static [&'static str],
        is_complete: bool,
        expected: OriginAnswer,
    }
    let cases = [
        Case {
            what: "one version all the time",
            versions: &["v1"],
            is_complete: true,
            expected: sole("v1"),
        },
        Case {
            what: "a list that is young or old",
            versions: &["v1"],
            is_complete: false,
            expected: Unknown,
        },
        Case {
            what: "two versions, known by a daemon that has just started",
            versions: &["v1", "v2"],
            is_complete: false,
            expected: SeveralVersions,
        },
        Case {
            what: "a rolling release with three versions",
            versions: &["v1", "v1.1", "v1.2"],
            is_complete: true,
            expected: SeveralVersions,
        },
        Case {
            what: "no endpoint",
            versions: &[],
            is_complete: true,
            expected: Unknown,
        },
    ];
    for case in cases {
        let versions: Vec<SoftwareVersion> = case.versions.iter().map(|v| version(v)).collect();
        let answer = OriginAnswer::unrecorded(versions.iter(), case.is_complete);
        assert_eq!(answer, case.expected, "{}", case.what);
    }
}

/// Guards against a record that is forgotten while the stream may be resumed, or that is taken for
/// another caller's stream.
#[test]
fn records_are_kept_by_workspace_and_first_call() {
    struct Case {
        what: &'static str,
        /// Times in milliseconds, workspaces, ids and versions.
        records: &'static [(u64, &'static str, &'static str, &'static str)],
        asked: (u64, &'static str, &'static str),
        expected: Option<OriginAnswer>,
    }
    let cases = [
        Case {
            what: "as long as its caller may come back",
            records: &[(0, "shop", "r1", "v1")],
            asked: (29_000, "shop", "r1"),
            expected: Some(recorded("v1")),
        },
        Case {
            what: "not longer",
            records: &[(0, "shop", "r1", "v1")],
            asked: (30_000, "shop", "r1"),
            expected: None,
        },
        Case {
            what: "a stream that was resumed is kept anew",
            records: &[
                (0, "shop", "r1", "v1"),
                (20_000, "shop", "r1", "v1"),
                (31_000, "shop", "r2", "v1"),
            ],
            asked: (49_000, "shop", "r1"),
            expected: Some(recorded("v1")),
        },
        Case {
            what: "the same id of another workspace is another stream",
            records: &[(0, "shop", "r1", "v1"), (1, "garage", "r1", "v2")],
            asked: (2, "shop", "r1"),
            expected: Some(recorded("v1")),
        },
        Case {
            what: "another workspace's stream is unknown",
            records: &[(0, "shop", "r1", "v1")],
            asked: (1, "garage", "r1"),
            expected: None,
        },
        Case {
            what: "callers without a workspace",
            records: &[(0, "", "r1", "v1")],
            asked: (1, "", "r1"),
            expected: Some(recorded("v1")),
        },
        Case {
            what: "the same id twice in one workspace, at two versions",
            records: &[(0, "shop", "r1", "v1"), (1, "shop", "r1", "v2")],
            asked: (2, "shop", "r1"),
            expected: Some(Conflicting),
        },
        Case {
            what: "and it stays unknown which one is meant",
            records: &[
                (0, "shop", "r1", "v1"),
                (1, "shop", "r1", "v2"),
                (2, "shop", "r1", "v2"),
            ],
            asked: (3, "shop", "r1"),
            expected: Some(Conflicting),
        },
        Case {
            what: "an id that nobody recorded",
            records: &[(0, "shop", "r1", "v1")],
            asked: (1, "shop", "r2"),
            expected: None,
        },
    ];
    for case in cases {
        let mut versions = StreamVersions::default();
        for (ms, workspace, first_call, software) in case.records {
            let record = record(key(workspace, first_call), software);
            versions.record(record, at_ms(*ms));
        }
        let (ms, workspace, first_call) = case.asked;
        let answer = versions.get(key(workspace, first_call), at_ms(ms));
        assert_eq!(answer, case.expected, "{}", case.what);
    }
}

/// Load pattern: a small fleet begins thousands of streams a second. Their records must not fill the
/// memory.
#[test]
fn the_number_of_records_is_bounded() {
    let mut versions = StreamVersions::default();
    for number in 0..40_000 {
        let key = key("shop", &format!("r{number}"));
        versions.record(record(key, "v1"), at_ms(number / 10));
    }
    assert!(versions.len() <= 16_384, "{}", versions.len());
    let newest = versions.get(key("shop", "r39999"), at_ms(4_000));
    assert_eq!(newest, Some(recorded("v1")));
    versions.record(record(key("shop", "last"), "v1"), at_ms(60_000));
    assert_eq!(versions.len(), 1, "expired ones are removed");
}

/// Guards against a record that is taken for a gossip message or the other way round, and against a
/// daemon that fails on a damaged one. Older daemons drop a record like any other message that they
/// can't read.
#[test]
fn records_and_gossip_messages_are_told_apart() {
    let sent = record(key("shop", "r1"), "v1.1");
    let datagram = sent.encode();
    assert!(datagram.len() < 64, "{}", datagram.len());
    assert_eq!(StreamRecord::decode(&datagram), Some(Ok(sent.clone())));
    assert!(GossipMessage::decode(&datagram).is_err());
    let newer = [datagram.as_slice(), b"more"].concat();
    assert_eq!(StreamRecord::decode(&newer), Some(Ok(sent)));
    for length in 10..datagram.len() {
        let cut = &datagram[..length];
        assert_eq!(
            StreamRecord::decode(cut),
            Some(Err(RecordError::Damaged)),
            "{length}"
        );
        assert!(GossipMessage::decode(cut).is_err(), "{length}");
    }
    let mut other = datagram;
    other[10] = 9;
    assert_eq!(
        StreamRecord::decode(&other),
        Some(Err(RecordError::UnknownFormat(9)))
    );
    // The highest incarnation is the one that looks most like the start of a record.
    let highest = [vec![0xff; 9], vec![0x01]].concat();
    for start in [highest, vec![0x00], vec![0x7f; 10]] {
        assert_eq!(StreamRecord::decode(&start), None);
    }
}

fn members(count: u8) -> Vec<EntryPoint> {
    let member = |number: u8| EntryPoint {
        ip: Ipv4Addr::new(10, 0, number % 3, number),
        zone: format!("zone-{}", number % 3),
        capacity: 1_000,
        link_mbps: 100,
    };
    (1..=count).map(member).collect()
}

/// Guards against records that are lost with one zone, and against daemons that are asked for
/// records which they never got, because the list of members has changed since.
#[test]
fn records_are_kept_in_different_zones_and_found_by_other_lists() {
    let all = members(12);
    let mut kept = BTreeSet::new();
    for number in 0..200 {
        let key = key("shop", &format!("r{number}"));
        let replicas = key.replicas(&all, 3);
        let zones: BTreeSet<u8> = replicas.iter().map(|ip| ip.octets()[2]).collect();
        assert_eq!(zones.len(), 3, "{replicas:?}");
        kept.extend(replicas.clone());
        for changed in &all {
            let without: Vec<_> = all.iter().filter(|m| m.ip != changed.ip).cloned().collect();
            let asked = key.replicas(&without, 6);
            let found = replicas.iter().filter(|ip| asked.contains(ip)).count();
            assert!(found >= 2, "{number} without {}", changed.ip);
            // A daemon has joined since the record was sent.
            let earlier = key.replicas(&without, 3);
            let asked = key.replicas(&all, 6);
            let found = earlier.iter().filter(|ip| asked.contains(ip)).count();
            assert!(found >= 2, "{number} with {}", changed.ip);
        }
    }
    assert_eq!(kept.len(), all.len(), "all daemons share the work");
    assert_eq!(key("shop", "r1").replicas(&members(2), 3).len(), 2);
}

/// A daemon of the replay.
struct Daemon {
    ip: Ipv4Addr,
    endpoints: EndpointTable,
    versions: StreamVersions,
    started_at: TimeUs,
    /// Daemons of other parts can't be reached.
    part: u8,
}

/// Daemons, endpoints and streams of a replay.
struct Fleet {
    daemons: Vec<Daemon>,
    /// Endpoints that serve, with their versions.
    endpoints: Vec<(String, &'static str)>,
    rng: ChaCha8Rng,
    loss: f64,
    now: TimeUs,
}

struct Stream {
    first_call: String,
    software: SoftwareVersion,
    beginner: Ipv4Addr,
}

#[derive(Debug, Default)]
struct Outcome {
    resumed: usize,
    went_on: usize,
    at_other_version: usize,
}

impl Fleet {
    fn new(loss: f64, seed: u64) -> Self {
        let daemons = members(9).into_iter().map(|member| Daemon {
            ip: member.ip,
            endpoints: EndpointTable::default(),
            versions: StreamVersions::default(),
            started_at: TimeUs::ZERO,
            part: 0,
        });
        Self {
            daemons: daemons.collect(),
            endpoints: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss,
            now: TimeUs::ZERO,
        }
    }

    fn register(&mut self, name: &str, software: &'static str) {
        self.endpoints.push((name.to_owned(), software));
        let endpoint = Endpoint {
            software: version(software),
            ..engine(name)
        };
        for daemon in &mut self.daemons {
            daemon
                .endpoints
                .apply_registration(endpoint.clone(), self.now);
        }
    }

    fn unregister(&mut self, name: &str) {
        self.endpoints.retain(|(known, _)| known != name);
        for daemon in &mut self.daemons {
            let absence = AbsenceCause::Left;
            daemon
                .endpoints
                .apply_unregistration(&id(name).id, absence, self.now);
            daemon.endpoints.tick(self.now);
        }
    }

    fn restart(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        daemon.endpoints = EndpointTable::default();
        daemon.versions = StreamVersions::default();
        daemon.started_at = now;
        for (name, software) in &self.endpoints {
            let endpoint = Endpoint {
                software: version(software),
                ..engine(name)
            };
            daemon.endpoints.apply_registration(endpoint, now);
        }
    }

    /// Returns the other daemons that a daemon knows as ready.
    fn members_of(&self, index: usize) -> Vec<EntryPoint> {
        let me = &self.daemons[index];
        let is_known = |member: &EntryPoint| {
            let daemon = self.daemons.iter().find(|daemon| daemon.ip == member.ip);
            member.ip != me.ip && daemon.is_some_and(|daemon| daemon.part == me.part)
        };
        members(9).into_iter().filter(is_known).collect()
    }

    /// Begins a stream at a random endpoint, as a daemon does.
    fn begin(&mut self, index: usize, number: usize) -> Stream {
        let chosen = self.rng.random_range(0..self.endpoints.len());
        let software = self.endpoints[chosen].1;
        let first_call = format!("r{number}");
        self.send_record(index, &record(key("shop", &first_call), software));
        Stream {
            first_call,
            software: version(software),
            beginner: self.daemons[index].ip,
        }
    }

    fn send_record(&mut self, index: usize, record: &StreamRecord) {
        let replicas = record.key.replicas(&self.members_of(index), 3);
        let now = self.now;
        self.daemons[index].versions.record(record.clone(), now);
        for daemon in &mut self.daemons {
            if replicas.contains(&daemon.ip) && !self.rng.random_bool(self.loss) {
                let received = StreamRecord::decode(&record.encode()).unwrap().unwrap();
                daemon.versions.record(received, now);
            }
        }
    }

    fn answer(&self, index: usize, key: StreamKey) -> OriginAnswer {
        let daemon = &self.daemons[index];
        if let Some(recorded) = daemon.versions.get(key, self.now) {
            return recorded;
        }
        let since = TimeUs::new(self.now.get().saturating_sub(30_000_000));
        let is_complete = daemon.started_at <= since && self.now >= at_ms(30_000);
        let service = service();
        let versions = daemon.endpoints.software_in_use(&service, since);
        OriginAnswer::unrecorded(versions, is_complete)
    }

    /// Resumes a stream at a daemon, and counts where it goes on.
    fn resume(&mut self, index: usize, stream: &Stream, names_first: bool, outcome: &mut Outcome) {
        let named = match names_first {
            true => stream.first_call.clone(),
            false => format!("{}-again", stream.first_call),
        };
        let key = key("shop", &named);
        let own = self.answer(index, key);
        let asked = key.replicas(&self.members_of(index), 6);
        let answers: Vec<OriginAnswer> = (0..self.daemons.len())
            .filter(|other| asked.contains(&self.daemons[*other].ip))
            .map(|other| self.answer(other, key))
            .collect();
        outcome.resumed += 1;
        let service = service();
        let Ok((found, _)) = find_origin(&own, &answers, asked.len(), Some(&service)) else {
            return;
        };
        outcome.at_other_version += usize::from(found.software != stream.software);
        let serves = |(_, software): &(String, &str)| version(software) == found.software;
        if self.endpoints.iter().any(serves) {
            outcome.went_on += 1;
            let origin = found;
            self.send_record(index, &StreamRecord { key, origin });
        }
    }
}

/// What happens to the fleet between the start of the streams and their resumption.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Disruption {
    /// The daemons that began the streams are killed and start again.
    BeginnersKilled,
    /// All daemons are killed and start again.
    AllKilled,
    /// All daemons of a zone are killed and start again.
    ZoneKilled,
    /// The fleet is cut into two parts.
    Partitioned,
}

struct Replay {
    what: &'static str,
    disruption: Disruption,
    loss: f64,
    /// Versions that endpoints have while the streams begin.
    versions: &'static [&'static str],
    names_first: bool,
    /// Least share of the resumed streams that go on.
    least_share: f64,
}

fn replay(case: &Replay, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(case.loss, seed);
    for number in 0..6 {
        fleet.register(&format!("a{number}"), case.versions[0]);
    }
    fleet.now = at_ms(60_000);
    for (index, software) in case.versions.iter().enumerate().skip(1) {
        for number in 0..2 {
            fleet.register(&format!("b{index}{number}"), software);
            fleet.unregister(&format!("a{}", 2 * index - 2 + number));
        }
    }
    let mut streams = Vec::new();
    for number in 0..300 {
        fleet.now = at_ms(62_000 + number as u64 * 10);
        streams.push(fleet.begin(number % 9, number));
    }
    fleet.now = at_ms(66_000);
    for index in 0..9 {
        let is_killed = match case.disruption {
            Disruption::BeginnersKilled => index < 2,
            Disruption::AllKilled => true,
            Disruption::ZoneKilled => index % 3 == 0,
            Disruption::Partitioned => false,
        };
        if is_killed {
            fleet.restart(index);
        }
        if case.disruption == Disruption::Partitioned {
            fleet.daemons[index].part = u8::from(index % 2 == 0);
        }
    }
    let mut outcome = Outcome::default();
    for round in 0..2 {
        fleet.now = at_ms(66_500 + round * 6_000);
        for stream in &streams {
            let beginner = fleet.daemons.iter().position(|d| d.ip == stream.beginner);
            let is_affected = match case.disruption {
                Disruption::BeginnersKilled => beginner.is_some_and(|index| index < 2),
                _ => true,
            };
            if is_affected {
                let index = (fleet.rng.next_u64() % 9) as usize;
                fleet.resume(index, stream, case.names_first, &mut outcome);
            }
        }
    }
    outcome
}

/// Guards against streams that go on at another software version than the one that began them: in a
/// release, the daemons that began them are killed, and their callers resume them at other daemons.
#[test]
fn resumed_streams_go_on_at_their_version_after_daemons_were_killed() {
    let release = Replay {
        what: "",
        disruption: Disruption::BeginnersKilled,
        loss: 0.05,
        versions: &["v1", "v1.1", "v1.2"],
        names_first: true,
        least_share: 0.99,
    };
    let cases = [
        Replay {
            what: "two daemons are killed in a release",
            ..release
        },
        Replay {
            what: "a zone is killed in a release",
            disruption: Disruption::ZoneKilled,
            ..release
        },
        Replay {
            what: "the fleet is cut into two parts in a release",
            disruption: Disruption::Partitioned,
            least_share: 0.8,
            ..release
        },
        Replay {
            what: "all daemons are killed in a release",
            disruption: Disruption::AllKilled,
            least_share: 0.0,
            ..release
        },
        Replay {
            what: "callers that don't name the first call, in a release",
            names_first: false,
            least_share: 0.0,
            ..release
        },
        Replay {
            what: "all records are lost in a release",
            loss: 1.0,
            least_share: 0.0,
            ..release
        },
        Replay {
            what: "all records are lost while one version serves",
            loss: 1.0,
            versions: &["v1"],
            least_share: 1.0,
            ..release
        },
        Replay {
            what: "callers that don't name the first call, while one version serves",
            versions: &["v1"],
            names_first: false,
            least_share: 1.0,
            ..release
        },
    ];
    for case in cases {
        for seed in 0..5 {
            let outcome = replay(&case, seed);
            assert!(outcome.resumed >= 120, "{}: {outcome:?}", case.what);
            assert_eq!(outcome.at_other_version, 0, "{}: {outcome:?}", case.what);
            let share = outcome.went_on as f64 / outcome.resumed as f64;
            assert!(
                share >= case.least_share,
                "{}, seed {seed}: {outcome:?}",
                case.what
            );
        }
    }
}
