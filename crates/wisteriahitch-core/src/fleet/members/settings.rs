//! Times and bounds of membership.

use std::net::SocketAddr;

use serde::Serialize;
use wisteriahitch_types::DurationUs;

/// Holds the times and bounds of membership; `docs/design/membership.md` works out the bytes.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipSettings {
    /// Peer addresses that are asked first, and again while nobody answers there.
    pub seeds: Vec<SocketAddr>,
    /// Port for peers on VMs that only the platform's list names.
    pub peer_port: Option<u16>,
    /// Time between two rounds of probes.
    pub interval_us: DurationUs,
    /// Members probed in a round.
    pub probes_per_round: usize,
    /// Peers asked to probe a member that didn't answer.
    pub indirect_probes: usize,
    /// Base time that a suspect has to refute; it grows with the logarithm of the fleet's size.
    pub suspicion_us: DurationUs,
    /// How long a dead or left member is remembered, so that old news can't bring it back.
    pub tombstone_us: DurationUs,
    /// Bytes of news in one message.
    pub max_news_bytes: usize,
    /// Bytes of news in all messages between two rounds; above it only a daemon's own news and
    /// pages of the member list go, and above twice as much nothing.
    pub max_round_news_bytes: usize,
    /// Each piece of news is told this often, times the logarithm of the fleet's size.
    pub sends_factor: u32,
    /// Pieces of news in a page of the member list for a daemon that has just started.
    pub sync_page: usize,
    /// Change of the load from which a daemon tells it to all.
    pub load_step_permille: u32,
    /// Shortest time between two such tellings.
    pub load_news_us: DurationUs,
    /// Most addresses in an answer to `GET /v1/entries`, and daemons that a workspace is spread over.
    pub max_entries: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            peer_port: None,
            interval_us: DurationUs::from_ms(1_000),
            probes_per_round: 2,
            indirect_probes: 3,
            suspicion_us: DurationUs::from_ms(2_000),
            tombstone_us: DurationUs::from_ms(600_000),
            max_news_bytes: 480,
            max_round_news_bytes: 2_048,
            sends_factor: 3,
            sync_page: 24,
            load_step_permille: 200,
            load_news_us: DurationUs::from_ms(30_000),
            max_entries: 12,
        }
    }
}
