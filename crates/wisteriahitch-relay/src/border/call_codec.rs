//! Decoding of calls and encoding of answers in a site's wire format.

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

/// Head of a caller's call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallHead {
    /// Id of this call. When a caller repeats a call, the repeat has another id.
    pub request_id: RequestId,
    /// Host that the call is addressed to.
    pub host: String,
    /// Time for which the caller waits for the answer, if it sent one.
    pub deadline_us: Option<DurationUs>,
    /// Key that identifies the caller's workspace.
    pub key: Option<String>,
    /// Shape of the prompt, if the call carries one.
    pub prompt: Option<PromptShape>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Id of the call that brought the first event of the stream, if the caller resumes one.
    pub resumes: Option<RequestId>,
}

/// What the daemon sends to an endpoint in addition to the caller's own request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingCall {
    /// Endpoint that the call is for. Any other endpoint must refuse it.
    pub endpoint: EndpointId,
    /// Time that is left for the call.
    pub deadline_us: DurationUs,
    /// Workspace that the caller's key belongs to.
    pub workspace: Option<WorkspaceId>,
    /// Priority in the endpoint's queue; 0 is first.
    pub priority: Option<u8>,
    /// Weights that the placement assumed. An endpoint with other weights must refuse the call.
    pub weights: Option<WeightNumber>,
    /// Namespace in which the endpoint looks up and caches parts of the prompt.
    pub cache_scope: Option<String>,
    /// For each part of the prompt, the address that it can be fetched from. Empty if none can be
    /// fetched.
    pub fetch_from: Vec<Option<SocketAddr>>,
    /// For each part of the prompt, the store that the endpoint saves it to. Empty if none is
    /// saved.
    pub save_to: Vec<Option<SocketAddr>>,
    /// Time at which unfinished fetches are discarded, in milliseconds on the clock of stores and
    /// engines.
    pub fetch_deadline_ms: Option<u64>,
    /// Id of the last event that the caller received, if the call resumes a stream.
    pub resume_after: Option<u64>,
}

/// What an endpoint states in the head of its answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that the answer belongs to.
    pub request_id: Option<RequestId>,
    /// Whether it has the stamp that endpoints add to their answers. A success without it came from
    /// something else, such as a proxy.
    pub is_stamped: bool,
    /// Whether the endpoint states that it didn't run the request.
    pub is_not_run: bool,
    /// Endpoint that answered, if it identifies itself.
    pub endpoint: Option<EndpointId>,
    /// Load that it reports.
    pub load: Option<LoadReport>,
    /// Whether a part of the load that it reports can't be read; that part is ignored.
    pub is_load_malformed: bool,
    /// Maximum rate of calls from all daemons together that it accepts, for as long as its answers
    /// state one.
    pub limit: Statement<CallRate>,
    /// Whether the endpoint is leaving.
    pub is_leaving: Statement<bool>,
    /// Time for which it wants no further calls from this daemon, if it refused the request.
    pub rest_us: Statement<DurationUs>,
    /// Number of calls that the endpoint may refuse in a second without failing, if it is brittle.
    pub max_refusals_per_s: Statement<u32>,
    /// Weights that produced the answer.
    pub weights: Option<WeightNumber>,
    /// Time for which it keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether it closes the connection after this answer.
    pub is_closing: bool,
}

/// Decodes calls and encodes answers in a site's wire format.
pub trait CallCodec: Send + Sync {
    /// Decodes the head of a caller's call.
    fn decode_call(&self, parts: &request::Parts) -> Result<CallHead, Refusal>;

    /// Returns the headers of the request to an endpoint: those of the caller, without the ones
    /// that only the system sets, and those for the fields of `call`.
    fn endpoint_headers(&self, headers: &HeaderMap, call: &OutgoingCall) -> HeaderMap;

    /// Decodes the head of an endpoint's answer.
    fn decode_answer(&self, parts: &response::Parts) -> AnswerHead;

    /// Returns the headers of an endpoint's answer that are passed on to the caller.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Encodes a refusal.
    fn encode_refusal(&self, refusal: &Refusal) -> Response<Bytes>;

    /// Returns the region of a caller that requests entry addresses, if the query names it.
    fn caller_region(&self, query: &str) -> Option<Region>;

    /// Encodes the entry addresses, which callers may use for `ttl`.
    fn encode_entries(&self, addresses: &[SocketAddr], ttl: Duration) -> Response<Bytes>;

    /// Returns the path of the platform's readiness probe.
    fn ready_path(&self) -> &'static str;

    /// Returns the path at which callers request entry addresses.
    fn entries_path(&self) -> &'static str;
}
