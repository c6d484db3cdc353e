//! Settings of membership.

use std::net::SocketAddr;

use serde::Serialize;
use wisteriahitch_types::DurationUs;

/// Times and limits of membership; `docs/design/membership.md` derives the byte limits.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipSettings {
    /// Peer addresses that are probed first, and again while no present member has them.
    pub seeds: Vec<SocketAddr>,
    /// Port for probing VMs that are known only from the platform's list; `None` disables these
    /// probes.
    pub peer_port: Option<u16>,
    /// Time between two probe rounds.
    #[serde(rename = "interval_us")]
    pub probe_interval_us: DurationUs,
    /// Number of members probed in each round.
    pub probes_per_round: usize,
    /// Number of peers that are asked to probe a member that did not answer.
    pub indirect_probes: usize,
    /// Base time in which a suspect can refute; multiplied by the logarithm of the fleet's size.
    #[serde(rename = "suspicion_us")]
    pub suspicion_timeout_us: DurationUs,
    /// How long a dead or departed member is retained, so that old updates cannot bring it back.
    #[serde(rename = "tombstone_us")]
    pub tombstone_ttl_us: DurationUs,
    /// Maximum bytes of updates in one message.
    #[serde(rename = "max_news_bytes")]
    pub max_message_update_bytes: usize,
    /// Maximum bytes of updates in all messages of one round. Above it a daemon sends only its own
    /// update and pages of the member list, and above twice this value nothing.
    #[serde(rename = "max_round_news_bytes")]
    pub max_round_update_bytes: usize,
    /// Number of times each update is sent, multiplied by the logarithm of the fleet's size.
    #[serde(rename = "sends_factor")]
    pub retransmit_factor: u32,
    /// Maximum number of updates in a page of the member list, which starting daemons request.
    #[serde(rename = "sync_page")]
    pub max_sync_page_updates: usize,
    /// Minimum load change, in thousandths, that is published as an update.
    #[serde(rename = "load_step_permille")]
    pub min_load_change_permille: u32,
    /// Minimum time between two load updates.
    #[serde(rename = "load_news_us")]
    pub min_load_update_interval_us: DurationUs,
    /// Maximum number of addresses in an answer to `GET /v1/entries`, and the number of daemons
    /// that serve one workspace.
    pub max_entries: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            peer_port: None,
            probe_interval_us: DurationUs::from_ms(1_000),
            probes_per_round: 2,
            indirect_probes: 3,
            suspicion_timeout_us: DurationUs::from_ms(2_000),
            tombstone_ttl_us: DurationUs::from_ms(600_000),
            max_message_update_bytes: 480,
            max_round_update_bytes: 2_048,
            retransmit_factor: 3,
            max_sync_page_updates: 24,
            min_load_change_permille: 200,
            min_load_update_interval_us: DurationUs::from_ms(30_000),
            max_entries: 12,
        }
    }
}
