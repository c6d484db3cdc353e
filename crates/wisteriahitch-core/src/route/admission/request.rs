//! Input and output types of admission.

use serde::Serialize;
use wisteriahitch_types::{
    Code, DurationUs, RequestId, ServiceName, TimeUs, TokenCount, WorkspaceId,
};

/// A request that asks to run.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Request id, unique among those that wait or run at this daemon.
    pub request: RequestId,
    /// Workspace whose quota and share it uses.
    pub workspace: WorkspaceId,
    /// Service that it needs.
    pub service: ServiceName,
    /// Priority within the workspace; higher starts first.
    pub priority: u8,
    /// Length of the prompt, for the quota; zero for a plain service.
    pub prompt_tokens: TokenCount,
    /// Expected work, by which fair shares are measured; zero counts as one.
    pub cost_tokens: TokenCount,
    /// Time after which starting it is useless.
    pub deadline_us: TimeUs,
}

/// A command to the shell.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionCommand {
    /// Run the request; [`Admission::finish_request`](super::Admission::finish_request) must
    /// follow.
    Start(RequestId),
    /// Refuse the request. It was not run.
    Refuse {
        /// Id of the request.
        request: RequestId,
        /// Reason of the refusal.
        code: Code,
        /// Time after which the caller may retry.
        retry_after_us: DurationUs,
    },
}
