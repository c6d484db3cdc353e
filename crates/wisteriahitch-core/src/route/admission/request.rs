//! What admission takes in and gives out.

use serde::Serialize;
use wisteriahitch_types::{
    Code, DurationUs, RequestId, ServiceName, TimeUs, TokenCount, WorkspaceId,
};

/// Asks to let a request run.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Request, unique among those that wait or run here.
    pub request: RequestId,
    /// Workspace that it counts against.
    pub workspace: WorkspaceId,
    /// Service that it waits for.
    pub service: ServiceName,
    /// Higher goes first within the workspace.
    pub priority: u8,
    /// Length of the prompt, for the quota; zero for a plain service.
    pub prompt_tokens: TokenCount,
    /// Work that it is expected to cause, by which shares are measured; zero counts as one.
    pub cost_tokens: TokenCount,
    /// Time after which starting it is of no use.
    pub deadline_us: TimeUs,
}

/// Tells the shell what to do.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionCommand {
    /// Let the request run; [`Admission::finish_request`](super::Admission::finish_request) must follow.
    Start(RequestId),
    /// Refuse the request, which was not run.
    Refuse {
        /// Request.
        request: RequestId,
        /// Reason.
        code: Code,
        /// When it is worth coming back.
        retry_after_us: DurationUs,
    },
}
