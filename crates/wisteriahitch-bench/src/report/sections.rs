//! Parts of a report.

use serde::{Deserialize, Serialize};

use super::Quantiles;

/// Counts requests by how they ended.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RequestSection {
    /// Prompts that were sent.
    pub prompts: u64,
    /// Of those, returns.
    pub returns: u64,
    /// Plain calls that were sent.
    pub plain_calls: u64,
    /// Requests whose whole answer came.
    pub answered: u64,
    /// Requests that ended with a code.
    pub refused: u64,
    /// Returns that ended with a code.
    pub refused_returns: u64,
    /// Requests without an answer or a code, after several tries.
    pub lost: u64,
    /// Requests whose end was not waited for.
    pub unended: u64,
    /// Connections that broke and were replaced.
    pub broken_tries: u64,
    /// Part of the prompts whose first token came within the rule's deadline.
    pub in_time_share: f64,
    /// Prompt tokens a second of those.
    pub in_time_tokens_per_s: f64,
}

/// Holds parts of the prompt tokens that were computed.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct RecomputedSection {
    /// On returns.
    pub returns_share: f64,
    /// On returns, if every whole piece of an earlier visit had been kept.
    pub returns_least_share: f64,
    /// On returns, of the tokens in whole pieces that an earlier visit had.
    pub returns_kept_pieces_share: f64,
    /// Of all prompts.
    pub all_share: f64,
}

/// Holds the shortest first-token times that the same returns could have, without queues.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct FloorSection {
    /// Best single option for each: computing it, or importing what was kept and computing the rest.
    pub returns: Quantiles,
    /// Measured p95 over this p95.
    pub p95_ratio: f64,
}

/// Says what the slowest twentieth of the returns spent their time on, as means.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct PartSection {
    /// Returns that are counted.
    pub count: u64,
    /// First token.
    pub first_token_ms: f64,
    /// Computing what was not cached, alone at the endpoint.
    pub prefill_ms: f64,
    /// Bringing the cached pieces over an idle link; 0 where they may have been resident, too.
    pub transfer_ms: f64,
    /// The rest: waiting for the endpoint, the link and the daemon.
    pub wait_ms: f64,
    /// Part of the tokens in whole pieces of an earlier visit that were computed again.
    pub computed_again_share: f64,
}

/// Holds the use of one store VM's link.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LinkSection {
    /// Part of its capacity that was used.
    pub used_share: f64,
    /// Bytes a second that were saved.
    pub saved_bytes_per_s: f64,
    /// Bytes a second that were read.
    pub read_bytes_per_s: f64,
    /// Part of all saved blocks, since the store's start, that were read later.
    pub later_read_share: f64,
    /// Part of the link's bytes that was spent on blocks read later, and on reading them.
    pub useful_share: f64,
    /// Reservations that were refused for want of room.
    pub refused_full: u64,
}

/// Counts broken promises; each must be 0.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct PromiseSection {
    /// Answers that were another request's or not the service's.
    pub wrong: u64,
    /// Answers that ended as if they were whole.
    pub cut_off: u64,
    /// Calls that may not be repeated and ran more than once.
    pub doubled: u64,
    /// Requests that ran although they were refused as not run.
    pub falsely_refused: u64,
    /// Calls that were answered although no service ran them.
    pub invented: u64,
    /// Calls with a key that were checked.
    pub checked_keys: u64,
    /// Services that could not be asked what they ran; a run with any shows nothing of doubling.
    pub unasked_services: u64,
}

/// Holds what one daemon used.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct DaemonSection {
    /// Part of one core.
    pub processor_share: f64,
    /// Resident memory.
    pub memory_bytes: u64,
    /// Bytes a second between daemons and with the platform, both ways; 0 where none were counted.
    pub control_bytes_per_s: f64,
}

/// Holds how a fault showed.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct FaultSection {
    /// When it began.
    pub from_s: f64,
    /// When it ended.
    pub until_s: f64,
    /// First token of all prompts before it.
    pub before: Quantiles,
    /// While it was there, and for the ten seconds after.
    pub during: Quantiles,
    /// From ten seconds after its end.
    pub after: Quantiles,
    /// p95 afterwards over p95 before.
    pub p95_ratio: f64,
    /// The same of the workspaces that didn't ask for more, while one did.
    pub others_p95_ratio_during: f64,
}

/// Holds a short part of the run.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Window {
    /// Its beginning.
    pub from_s: f64,
    /// First token of returns.
    pub returns_p95_ms: f64,
    /// First token of all prompts.
    pub all_p95_ms: f64,
    /// Refusals.
    pub refused: u64,
}
