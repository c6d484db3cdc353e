//! Forwards a keyed request to the incarnation that decides for its key.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use wisteriahitch_config::RequestFacts;
use wisteriahitch_core::once::{ClaimHolder, IdempotencyKey, StoredAnswer, Ticket};
use wisteriahitch_peer::{
    ForwardMeaning, ForwardReply, ForwardRequest, Header, KeyKind, PeerErrorKind,
};
use wisteriahitch_types::{Code, DurationUs, Incarnation, Meaning};

use crate::caller::keyed::{
    ForwardPolicy, Outcome, outcome_unknown_refusal, refusal_for_code, submit, submit_ticket,
};
use crate::caller::rules::{apply_rules, request_labels};
use crate::caller::{Identity, Refusal, new_request_id};
use crate::dispatch::plain_call::PlainCall;
use crate::shared::Shared;

/// Header of a forwarded answer that carries its content type.
const CONTENT_TYPE: &str = "content-type";

/// Extra time, beyond the call's deadline, that the forwarding daemon waits for the reply.
const FORWARD_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

impl Shared {
    /// Forwards a request whose ticket another incarnation issued.
    pub(crate) async fn forward_ticket(
        &self,
        call: &PlainCall,
        ticket: &str,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Outcome {
        let request = self.forward_request(call, KeyKind::Ticket, ticket, incarnation);
        self.forward(call, address, request, Code::TicketHolderLost)
            .await
    }

    /// Forwards a request on whose key another daemon owns the claim.
    pub(crate) async fn forward_claim(
        &self,
        call: &PlainCall,
        key: &IdempotencyKey,
        holder: &ClaimHolder,
    ) -> Outcome {
        let IdempotencyKey::Claimed { hash, .. } = key else {
            return Err(outcome_unknown_refusal(Code::Internal));
        };
        let request =
            self.forward_request(call, KeyKind::Claim, &hash.to_string(), holder.incarnation);
        self.forward(call, holder.address, request, Code::ClaimHeldElsewhere)
            .await
    }

    fn forward_request(
        &self,
        call: &PlainCall,
        kind: KeyKind,
        key: &str,
        incarnation: Incarnation,
    ) -> ForwardRequest {
        let headers = call.headers.iter();
        ForwardRequest {
            envelope: self.envelope(Some(incarnation)),
            workspace: call.identity.workspace.to_string(),
            kind: kind.into(),
            key: key.to_owned(),
            method: call.method.as_str().to_owned(),
            path: call.path_and_query.clone(),
            headers: headers
                .map(|(name, value)| Header {
                    name: name.as_str().to_owned(),
                    value: value.as_bytes().to_vec().into(),
                })
                .collect(),
            body: call.body.clone(),
            deadline_us: call.due_us.since(self.clock.now()).get(),
        }
    }

    /// Sends a request once. On any failure the outcome is unknown, since only the deciding daemon
    /// could say `not run`.
    async fn forward(
        &self,
        call: &PlainCall,
        address: SocketAddr,
        request: ForwardRequest,
        failure_code: Code,
    ) -> Outcome {
        let left_us = call.due_us.since(self.clock.now());
        let timeout = Duration::from(left_us) + FORWARD_TIMEOUT_MARGIN;
        match self.clients.peers.forward(address, request, timeout).await {
            Ok(reply) => read_reply(reply),
            Err(error) => {
                if error.kind() == PeerErrorKind::WrongIncarnation {
                    log::info!("the incarnation that owns a key has been replaced at {address}");
                }
                Err(outcome_unknown_refusal(failure_code))
            }
        }
    }

    /// Answers a keyed request that a peer forwarded to this incarnation.
    pub(crate) async fn answer_forwarded(
        self: &Arc<Self>,
        request: ForwardRequest,
    ) -> ForwardReply {
        let shared = Arc::clone(self);
        // The work runs in a task of its own, so that a forwarding daemon that disconnects can't
        // leave the key half decided.
        let task = tokio::spawn(async move { decide_forwarded(&shared, request).await });
        match task.await {
            Ok(outcome) => write_reply(outcome),
            Err(_) => write_reply(Err(outcome_unknown_refusal(Code::Internal))),
        }
    }
}

async fn decide_forwarded(shared: &Arc<Shared>, request: ForwardRequest) -> Outcome {
    let kind = request.kind();
    let key = request.key.clone();
    let call = build_call(shared, request)?;
    match kind {
        KeyKind::Ticket => {
            let ticket: Ticket = key.parse().map_err(|_| Refusal::new(Code::BadKey))?;
            submit_ticket(shared, call, &ticket).await
        }
        KeyKind::Claim => {
            let hash = key.parse().map_err(|_| Refusal::new(Code::BadKey))?;
            let workspace = call.identity.workspace.clone();
            let key = IdempotencyKey::Claimed { workspace, hash };
            submit(shared, call, key, ForwardPolicy::Forbidden).await
        }
        KeyKind::Unspecified => Err(outcome_unknown_refusal(Code::BadKey)),
    }
}

fn build_call(shared: &Arc<Shared>, request: ForwardRequest) -> Result<PlainCall, Refusal> {
    let not_ready = || outcome_unknown_refusal(Code::NotReady);
    let in_force = shared.in_force.load_full().ok_or_else(not_ready)?;
    let workspace = request
        .workspace
        .parse()
        .map_err(|_| Refusal::new(Code::BadKey))?;
    // The sender's configuration may be older than ours. Without this check, a workspace that an
    // operator has removed could go on booking through daemons that haven't received the new
    // configuration.
    if !in_force.configuration.workspaces.contains_key(&workspace) {
        return Err(outcome_unknown_refusal(Code::UnknownKey));
    }
    let identity = Identity {
        in_force,
        workspace,
    };
    let headers = read_headers(&request.headers);
    let method =
        Method::from_bytes(request.method.as_bytes()).map_err(|_| Refusal::new(Code::BadHttp))?;
    let path = request.path.split('?').next().unwrap_or_default();
    let facts = RequestFacts {
        workspace: Some(identity.workspace.clone()),
        method: request.method.clone(),
        path: path.to_owned(),
        labels: request_labels(&headers),
        availability_zone: Some(shared.settings.availability_zone.clone()),
        ..RequestFacts::default()
    };
    let route = apply_rules(&identity, &facts).map_err(Refusal::with_outcome_unknown)?;
    // The caller's deadline counts from its arrival at the sender, which waits no longer than that.
    let left_us = DurationUs::new(request.deadline_us).min(route.deadline_us);
    Ok(PlainCall {
        identity,
        due_us: shared.clock.now() + left_us,
        route,
        request_id: new_request_id(shared),
        method,
        path_and_query: request.path,
        headers,
        body: request.body,
    })
}

fn read_headers(headers: &[Header]) -> HeaderMap {
    let pairs = headers.iter().filter_map(|header| {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(&header.value).ok()?))
    });
    pairs.collect()
}

fn write_reply(outcome: Outcome) -> ForwardReply {
    match outcome {
        Ok(answer) => ForwardReply {
            status: u32::from(answer.status),
            headers: answer
                .content_type
                .iter()
                .map(|value| content_type(value))
                .collect(),
            body: answer.body.clone().into(),
            code: 0,
            meaning: ForwardMeaning::Unspecified.into(),
        },
        Err(refusal) => ForwardReply {
            status: 0,
            headers: Vec::new(),
            body: bytes::Bytes::new(),
            code: u32::from(refusal.code().number()),
            meaning: match refusal.meaning() {
                Meaning::NotRun => ForwardMeaning::NotRun.into(),
                _ => ForwardMeaning::OutcomeUnknown.into(),
            },
        },
    }
}

fn content_type(value: &str) -> Header {
    Header {
        name: CONTENT_TYPE.to_owned(),
        value: value.as_bytes().to_vec().into(),
    }
}

fn read_reply(reply: ForwardReply) -> Outcome {
    if reply.code == 0 {
        let header = reply
            .headers
            .iter()
            .find(|header| header.name == CONTENT_TYPE);
        let content_type = header.map(|header| String::from_utf8_lossy(&header.value).into_owned());
        return Ok(Arc::new(StoredAnswer {
            status: u16::try_from(reply.status).unwrap_or(0),
            content_type,
            body: reply.body.to_vec(),
        }));
    }
    let code = reply.result_code().unwrap_or(Code::Internal);
    match reply.meaning() {
        ForwardMeaning::NotRun if code.meaning() == Meaning::NotRun => Err(refusal_for_code(code)),
        _ => Err(outcome_unknown_refusal(code)),
    }
}
