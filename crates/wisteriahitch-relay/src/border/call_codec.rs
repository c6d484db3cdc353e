//! How calls and their answers look.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, request, response};
use wisteriahitch_types::{
    CallRate, DurationUs, EndpointId, Region, RequestId, WeightNumber, WorkspaceId,
};

use super::{Refusal, Statement};
use crate::decide::backlog::LoadReport;
use crate::site::PromptShape;

/// What a caller says of its call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallHead {
    /// Id of this call; each of a caller's own repeats has another one.
    pub request_id: RequestId,
    /// Host that the caller asks for.
    pub host: String,
    /// How long the caller will wait.
    pub deadline_us: Option<DurationUs>,
    /// Key that names the caller's workspace.
    pub key: Option<String>,
    /// Prompt, if the call carries one.
    pub prompt: Option<PromptShape>,
    /// Last event that the caller has, if it asks for the rest of a stream.
    pub resume_after: Option<u64>,
}

/// What the daemon tells an endpoint besides the caller's own message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingCall {
    /// Endpoint that the call is for; any other one must refuse it.
    pub endpoint: EndpointId,
    /// Time that is left for the call.
    pub deadline_us: DurationUs,
    /// Workspace that the caller's key belongs to.
    pub workspace: Option<WorkspaceId>,
    /// Rank in the endpoint's queue, 0 first.
    pub priority: Option<u8>,
    /// Weights that the call was decided for; an endpoint with others must refuse it.
    pub weights: Option<WeightNumber>,
    /// Text under which the endpoint finds and keeps cached parts.
    pub cache_scope: Option<String>,
    /// For each part of the prompt where it can be fetched; empty where none can.
    pub fetch_from: Vec<Option<SocketAddr>>,
    /// For each part of the prompt the store that is to keep it; empty where none is.
    pub save_to: Vec<Option<SocketAddr>>,
    /// When a fetch that hasn't ended is thrown away, on the clock of stores and engines.
    pub fetch_deadline_ms: Option<u64>,
    /// Last event that the caller has, if the rest of a stream is asked for.
    pub resume_after: Option<u64>,
}

/// What an endpoint says in the head of its answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Request that the answer is for.
    pub request_id: Option<RequestId>,
    /// Whether the endpoint says that it didn't run the request.
    pub is_not_run: bool,
    /// Endpoint that answered, where it says so.
    pub endpoint: Option<EndpointId>,
    /// Load that it tells.
    pub load: Option<LoadReport>,
    /// Calls that it takes from all daemons together, for as long as it says so.
    pub limit: Statement<CallRate>,
    /// Whether it leaves.
    pub is_leaving: Statement<bool>,
    /// How long it wants nothing from this daemon, where it turned the request away.
    pub rest_us: Statement<DurationUs>,
    /// Weights that it answered with.
    pub weights: Option<WeightNumber>,
    /// How long it keeps the connection when it is idle.
    pub keep_alive: Option<Duration>,
    /// Whether it closes the connection after this answer.
    pub is_closing: bool,
}

/// Reads calls and writes answers in a site's format.
pub trait CallCodec: Send + Sync {
    /// Reads the head of a caller's call.
    fn decode_call(&self, parts: &request::Parts) -> Result<CallHead, Refusal>;

    /// Returns the headers for an endpoint: the caller's own, without those that are the system's
    /// to set, and with what `call` says.
    fn endpoint_headers(&self, headers: &HeaderMap, call: &OutgoingCall) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn decode_answer(&self, parts: &response::Parts) -> AnswerHead;

    /// Returns the headers of an endpoint's answer that go on to the caller.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Writes a refusal.
    fn encode_refusal(&self, refusal: &Refusal) -> Response<Bytes>;

    /// Reads from the query of a question for entry addresses in which region its caller is, if it says so.
    fn caller_region(&self, query: &str) -> Option<Region>;

    /// Writes the entry addresses, which count for `valid`.
    fn encode_entries(&self, addresses: &[SocketAddr], ttl: Duration) -> Response<Bytes>;

    /// Returns the path at which the platform asks whether the daemon is ready.
    fn ready_path(&self) -> &'static str;

    /// Returns the path at which callers ask for entry addresses.
    fn entries_path(&self) -> &'static str;
}
