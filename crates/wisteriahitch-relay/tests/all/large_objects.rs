//! A large configuration in whole fleets: the store, hubs and narrow links in a model.
//!
//! Daemons with the product's choice of hubs and sources. Links are shared evenly by the transfers
//! over them; callers take three quarters of each. The store sends whole configurations, daemons send
//! compressed ones. Processors take no time.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use wisteriahitch_relay::{AnswerSchedule, HubCandidate, HubPlan, ObjectSources, Serving};
use wisteriahitch_types::ByteCount;
use wisteriahitch_wire::object_store::Revision;

use crate::fixture::at_ms;

const STEP_MS: u64 = 10;
const GOSSIP_INTERVAL_MS: u64 = 100;

/// Time after which a busy peer is asked again.
const BUSY_PEER_RETRY_MS: u64 = 150;

/// Time without progress after which a transfer is given up.
const SILENCE_MS: u64 = 700;

/// Time after which a hub that has failed is replaced: its silence is noticed, and the next hub learns of
/// its new daemon.
const HUB_REPLACEMENT_MS: u64 = 900 + 2 * GOSSIP_INTERVAL_MS;

/// Rates of narrow and of wide links.
const NARROW_LINK_MBPS: u16 = 10;
const WIDE_LINK_MBPS: u16 = 100;

/// Share of a link that callers leave.
const FREE_SHARE: f64 = 0.25;

/// Size of a version: from the store, and compressed between daemons.
#[derive(Clone, Copy, Debug)]
struct VersionSize {
    whole_bytes: f64,
    compressed_bytes: f64,
}

const ROUTES_1400: VersionSize = VersionSize {
    whole_bytes: 348_000.0,
    compressed_bytes: 32_000.0,
};
const ROUTES_4000: VersionSize = VersionSize {
    whole_bytes: 998_000.0,
    compressed_bytes: 90_000.0,
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sender {
    Store,
    Daemon(usize),
}

#[derive(Clone, Copy, Debug)]
struct Transfer {
    from: Sender,
    version: usize,
    missing_bytes: f64,
    progressed_at_ms: u64,
}

struct Daemon {
    candidate: HubCandidate,
    follows_store: bool,
    is_hub: bool,
    own_hub: Option<Ipv4Addr>,
    is_alive: bool,
    version: usize,
    transfer: Option<Transfer>,
    /// Version and bytes of a compressed answer that has arrived in part.
    partial: Option<(usize, f64)>,
    sources: ObjectSources,
    schedule: AnswerSchedule,
    /// Peer that another one referred to, and when a busy one is asked again.
    referred_to: Option<usize>,
    asks_again_at_ms: u64,
    /// Other daemons that have said that they have the same version.
    holders: Vec<Ipv4Addr>,
    /// When each version was first in force, or a newer one.
    in_force_ms: Vec<Option<u64>>,
}

struct Fleet {
    daemons: Vec<Daemon>,
    by_ip: BTreeMap<Ipv4Addr, usize>,
    size: VersionSize,
    /// Newest version in the store.
    stored: usize,
}

impl Fleet {
    fn new(count: usize, zones: usize, has_wide_links: bool, size: VersionSize) -> Self {
        let candidates: Vec<HubCandidate> = (0..count)
            .map(|index| HubCandidate {
                ip: Ipv4Addr::from(0x0a00_0000 + u32::try_from(index).unwrap()),
                zone: format!("zone-{}", index % zones),
                link_mbps: match has_wide_links && (index / zones).is_multiple_of(4) {
                    true => WIDE_LINK_MBPS,
                    false => NARROW_LINK_MBPS,
                },
            })
            .collect();
        let plan = HubPlan::for_members(&candidates);
        let daemons = candidates.into_iter().map(|candidate| Daemon {
            follows_store: plan.follows_stores(&candidate),
            is_hub: plan.is_hub(candidate.ip),
            own_hub: plan.hub_of(&candidate),
            candidate,
            is_alive: true,
            version: 0,
            transfer: None,
            partial: None,
            sources: ObjectSources::default(),
            schedule: AnswerSchedule::default(),
            referred_to: None,
            asks_again_at_ms: 0,
            holders: vec![],
            in_force_ms: vec![],
        });
        let daemons: Vec<Daemon> = daemons.collect();
        let by_ip = daemons.iter().map(|daemon| daemon.candidate.ip);
        Self {
            by_ip: by_ip.enumerate().map(|(index, ip)| (ip, index)).collect(),
            daemons,
            size,
            stored: 0,
        }
    }

    fn send_gossip(&mut self, now_ms: u64) {
        let senders: Vec<(Ipv4Addr, u16, usize)> = self
            .daemons
            .iter()
            .filter(|daemon| daemon.is_hub && daemon.is_alive)
            .map(|daemon| {
                (
                    daemon.candidate.ip,
                    daemon.candidate.link_mbps,
                    daemon.version,
                )
            })
            .collect();
        for daemon in &mut self.daemons {
            for (ip, link_mbps, version) in &senders {
                let hears =
                    *ip != daemon.candidate.ip && (daemon.is_hub || daemon.own_hub == Some(*ip));
                if hears && *version > daemon.version {
                    let revision = Revision::from_u64(u64::try_from(*version).unwrap());
                    daemon
                        .sources
                        .record(*ip, revision, *link_mbps, at_ms(now_ms));
                }
            }
        }
    }

    /// Lets each hub know which of its daemons have its version.
    fn report_versions(&mut self) {
        let mut reports: BTreeMap<Ipv4Addr, Vec<(Ipv4Addr, usize)>> = BTreeMap::new();
        for daemon in self.daemons.iter().filter(|daemon| daemon.is_alive) {
            if let Some(hub) = daemon.own_hub {
                let report = (daemon.candidate.ip, daemon.version);
                reports.entry(hub).or_default().push(report);
            }
        }
        for daemon in &mut self.daemons {
            let reports = reports.get(&daemon.candidate.ip).into_iter().flatten();
            let holds = reports.filter(|(_, version)| *version == daemon.version);
            let own_ip = daemon.candidate.ip;
            daemon.holders = holds
                .map(|(ip, _)| *ip)
                .filter(|ip| *ip != own_ip)
                .collect();
        }
    }

    fn start_transfers(&mut self, now_ms: u64) {
        for index in 0..self.daemons.len() {
            let daemon = &mut self.daemons[index];
            if daemon.transfer.is_some() || !daemon.is_alive || now_ms < daemon.asks_again_at_ms {
                continue;
            }
            if !daemon.follows_store {
                self.ask_peer(index, now_ms);
            } else if self.stored > daemon.version {
                daemon.transfer = Some(Transfer {
                    from: Sender::Store,
                    version: self.stored,
                    missing_bytes: self.size.whole_bytes,
                    progressed_at_ms: now_ms,
                });
            }
        }
    }

    fn ask_peer(&mut self, index: usize, now_ms: u64) {
        let daemon = &mut self.daemons[index];
        let referred_to = daemon.referred_to.take();
        let best = daemon.sources.best(daemon.candidate.ip, at_ms(now_ms));
        let Some(source) = referred_to.or(best.map(|ip| self.by_ip[&ip])) else {
            return;
        };
        let partial = daemon.partial;
        let peer = &mut self.daemons[source];
        let version = peer.version;
        let arrived = partial.filter(|(partial, _)| *partial == version);
        let missing_bytes = self.size.compressed_bytes - arrived.map_or(0.0, |(_, bytes)| bytes);
        let missing = ByteCount::new(missing_bytes as u64);
        let link_mbps = peer.candidate.link_mbps;
        let serving = match peer.is_alive {
            true => peer
                .schedule
                .serve(missing, link_mbps, &peer.holders, at_ms(now_ms)),
            // The request gets no answer.
            false => Serving::Send,
        };
        let daemon = &mut self.daemons[index];
        match serving {
            Serving::Send => {
                daemon.partial = None;
                daemon.transfer = Some(Transfer {
                    from: Sender::Daemon(source),
                    version,
                    missing_bytes,
                    progressed_at_ms: now_ms,
                });
            }
            Serving::Refer(holder) if referred_to.is_none() => {
                daemon.referred_to = Some(self.by_ip[&holder]);
            }
            Serving::Refer(_) | Serving::Postpone => {
                daemon.asks_again_at_ms = now_ms + BUSY_PEER_RETRY_MS;
            }
        }
    }

    fn advance(&mut self, now_ms: u64) {
        let mut receivers: BTreeMap<usize, f64> = BTreeMap::new();
        for transfer in self.daemons.iter().filter_map(|daemon| daemon.transfer) {
            if let Sender::Daemon(from) = transfer.from {
                *receivers.entry(from).or_default() += 1.0;
            }
        }
        let free_bytes =
            |link_mbps: u16| f64::from(link_mbps) * 1e6 / 8.0 * FREE_SHARE * STEP_MS as f64 / 1e3;
        for index in 0..self.daemons.len() {
            let Some(mut transfer) = self.daemons[index].transfer.take() else {
                continue;
            };
            let mut bytes = free_bytes(self.daemons[index].candidate.link_mbps);
            if let Sender::Daemon(from) = transfer.from {
                let sender = &self.daemons[from];
                let share = free_bytes(sender.candidate.link_mbps) / receivers[&from];
                bytes = if sender.is_alive {
                    bytes.min(share)
                } else {
                    0.0
                };
            }
            transfer.missing_bytes -= bytes;
            if bytes > 0.0 {
                transfer.progressed_at_ms = now_ms;
            }
            let daemon = &mut self.daemons[index];
            if transfer.missing_bytes <= 0.0 {
                daemon.complete(transfer.version, now_ms);
            } else if now_ms - transfer.progressed_at_ms < SILENCE_MS {
                daemon.transfer = Some(transfer);
            } else if let Sender::Daemon(from) = transfer.from {
                let arrived = self.size.compressed_bytes - transfer.missing_bytes;
                daemon.partial = Some((transfer.version, arrived));
                let ip = Ipv4Addr::from(0x0a00_0000 + u32::try_from(from).unwrap());
                daemon.sources.record_failure(ip, at_ms(now_ms));
            }
        }
    }

    /// Stops the hub that sends most, and returns it.
    fn stop_busiest_hub(&mut self) -> Ipv4Addr {
        let mut sent: BTreeMap<usize, usize> = BTreeMap::new();
        for daemon in &self.daemons {
            if let Some(Transfer {
                from: Sender::Daemon(from),
                ..
            }) = daemon.transfer
            {
                *sent.entry(from).or_default() += 1;
            }
        }
        let busiest = sent.iter().max_by_key(|(_, count)| **count);
        let (hub, _) = busiest.expect("a hub sends the configuration");
        self.daemons[*hub].is_alive = false;
        self.daemons[*hub].candidate.ip
    }

    /// Plans the hubs anew without the daemons that have failed.
    fn replace_hubs(&mut self) {
        let alive = self.daemons.iter().filter(|daemon| daemon.is_alive);
        let alive: Vec<HubCandidate> = alive.map(|daemon| daemon.candidate.clone()).collect();
        let plan = HubPlan::for_members(&alive);
        for daemon in &mut self.daemons {
            daemon.is_hub = plan.is_hub(daemon.candidate.ip);
            daemon.own_hub = plan.hub_of(&daemon.candidate);
            daemon.follows_store = plan.follows_stores(&daemon.candidate);
        }
    }
}

impl Daemon {
    fn complete(&mut self, version: usize, now_ms: u64) {
        self.version = version;
        self.partial = None;
        let known = Revision::from_u64(u64::try_from(version).unwrap());
        self.sources.discard_up_to(known);
        for in_force in &mut self.in_force_ms[..version] {
            in_force.get_or_insert(now_ms);
        }
    }
}

struct Case {
    name: &'static str,
    daemons: usize,
    zones: usize,
    has_wide_links: bool,
    size: VersionSize,
    versions: usize,
    /// Pause between versions.
    pause_ms: u64,
    /// When a hub fails; `None` if none does.
    hub_fails_at_ms: Option<u64>,
    bound_ms: u64,
}

/// Plays a case, and returns the longest time until a version was in force on a daemon that is alive.
fn play(case: &Case) -> Option<u64> {
    let mut fleet = Fleet::new(case.daemons, case.zones, case.has_wide_links, case.size);
    for daemon in &mut fleet.daemons {
        daemon.in_force_ms = vec![None; case.versions];
    }
    let written_ms = |version: usize| u64::try_from(version).unwrap() * case.pause_ms;
    let end_ms = written_ms(case.versions) + 2 * case.bound_ms;
    let mut failed_at_ms = None;
    for now_ms in (0..end_ms).step_by(STEP_MS.try_into().unwrap()) {
        let is_written = |version: &usize| written_ms(*version) <= now_ms;
        fleet.stored = (0..case.versions).take_while(is_written).count();
        if now_ms.is_multiple_of(GOSSIP_INTERVAL_MS) {
            fleet.send_gossip(now_ms);
            fleet.report_versions();
        }
        fleet.start_transfers(now_ms);
        fleet.advance(now_ms);
        if failed_at_ms.is_none() && case.hub_fails_at_ms.is_some_and(|at| at <= now_ms) {
            fleet.stop_busiest_hub();
            failed_at_ms = Some(now_ms);
        }
        if failed_at_ms.is_some_and(|at| at + HUB_REPLACEMENT_MS == now_ms) {
            fleet.replace_hubs();
        }
    }
    let alive = fleet.daemons.iter().filter(|daemon| daemon.is_alive);
    let times = alive.flat_map(|daemon| {
        let times = daemon.in_force_ms.iter().enumerate();
        times.map(|(version, at)| at.map(|at| at - written_ms(version)))
    });
    let times: Option<Vec<u64>> = times.collect();
    times?.into_iter().max()
}

fn cases() -> Vec<Case> {
    let small = Case {
        name: "70 daemons, 1,400 routes",
        daemons: 70,
        zones: 3,
        has_wide_links: true,
        size: ROUTES_1400,
        versions: 1,
        pause_ms: 500,
        hub_fails_at_ms: None,
        bound_ms: 3_000,
    };
    let large = Case {
        name: "984 daemons, 1,400 routes",
        daemons: 984,
        zones: 5,
        bound_ms: 5_000,
        ..small
    };
    vec![
        Case {
            name: "70 daemons, 4,000 routes",
            size: ROUTES_4000,
            ..small
        },
        Case {
            name: "70 daemons, 4,000 routes, 8 versions",
            size: ROUTES_4000,
            versions: 8,
            ..small
        },
        Case {
            name: "70 daemons, 4,000 routes, a hub fails",
            size: ROUTES_4000,
            hub_fails_at_ms: Some(600),
            ..small
        },
        Case {
            name: "70 daemons, 1,400 routes, narrow links only",
            has_wide_links: false,
            ..small
        },
        Case {
            name: "984 daemons, 4,000 routes",
            size: ROUTES_4000,
            ..large
        },
        Case {
            name: "984 daemons, 4,000 routes, 8 versions",
            size: ROUTES_4000,
            versions: 8,
            ..large
        },
        Case {
            name: "984 daemons, 4,000 routes, a hub fails",
            size: ROUTES_4000,
            hub_fails_at_ms: Some(600),
            ..large
        },
        Case {
            name: "984 daemons, 1,400 routes, narrow links only",
            has_wide_links: false,
            ..large
        },
        Case {
            name: "140 daemons, 4,000 routes, 8 versions",
            daemons: 140,
            size: ROUTES_4000,
            versions: 8,
            ..small
        },
        Case {
            name: "1,968 daemons, 4,000 routes, 8 versions",
            daemons: 1_968,
            size: ROUTES_4000,
            versions: 8,
            ..large
        },
        small,
        large,
    ]
}

/// Guards against large configurations that reach most of a fleet late or never: over narrow links of
/// which callers take most, in quick succession, and while hubs fail in the middle.
#[test]
fn a_large_configuration_reaches_a_whole_fleet_in_time() {
    let mut violations = Vec::new();
    for case in cases() {
        let longest_ms = play(&case);
        println!("{}: in force after {longest_ms:?} ms", case.name);
        if longest_ms.is_none_or(|ms| ms > case.bound_ms) {
            violations.push(format!("{}: {longest_ms:?} ms", case.name));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn a_busy_daemon_names_another_one_that_has_the_objects() {
    struct Case {
        name: &'static str,
        link_mbps: u16,
        holders: &'static [Ipv4Addr],
        /// When requests for 90 KB arrive, and what becomes of each.
        requests: &'static [(u64, Serving)],
    }
    const HOLDER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 7);
    let cases = [
        Case {
            name: "a wide link takes them all",
            link_mbps: 1_000,
            holders: &[],
            requests: &[(0, Serving::Send), (0, Serving::Send), (0, Serving::Send)],
        },
        Case {
            name: "nobody else has the objects yet",
            link_mbps: NARROW_LINK_MBPS,
            holders: &[],
            requests: &[
                (0, Serving::Send),
                (0, Serving::Send),
                (0, Serving::Postpone),
                (400, Serving::Send),
            ],
        },
        Case {
            name: "another daemon has the objects",
            link_mbps: NARROW_LINK_MBPS,
            holders: &[HOLDER],
            requests: &[
                (0, Serving::Send),
                (0, Serving::Send),
                (0, Serving::Refer(HOLDER)),
                (1_000, Serving::Send),
            ],
        },
    ];
    for case in cases {
        let mut schedule = AnswerSchedule::default();
        for (at, expected) in case.requests {
            let serving = schedule.serve(
                ByteCount::new(90_000),
                case.link_mbps,
                case.holders,
                at_ms(10_000 + at),
            );
            assert_eq!(serving, *expected, "{} at {at} ms", case.name);
        }
    }
}
