//! Non-repeatable requests, deduplicated by a ticket or by the caller's idempotency key.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use wisteriahitch_core::once::{Decision, Fingerprint, IdempotencyKey, StoredAnswer, Ticket};
use wisteriahitch_types::{Code, DurationUs, Meaning, RequestId};
use wisteriahitch_wire::service::ServiceResponse;

use super::Refusal;
use super::body::{ResponseBody, full_body};
use super::request_id::set_request_id;
use crate::dispatch::plain_call::{PlainCall, RunMode, run_plain};
use crate::shared::Shared;
use crate::state::once::PendingDecision;

/// `retry-after` for a key whose outcome can't be determined now.
const KEYED_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(1_000);

/// HTTP statuses of refusals for a temporary condition, to which a `retry-after` is added.
const TRANSIENT_STATUSES: [u16; 2] = [429, 503];

/// A call to a plain service with its key.
pub(crate) struct KeyedCall {
    /// The call.
    pub(crate) call: PlainCall,
    /// A ticket issued by a daemon, or the caller's own idempotency key.
    pub(crate) key: String,
}

/// Result of one copy of a keyed request.
pub(crate) type Outcome = Result<Arc<StoredAnswer>, Refusal>;

/// Answers a keyed call.
///
/// The work runs in a task of its own, so that a caller that disconnects can't leave the key half
/// decided: its retry must get the answer.
pub(crate) async fn answer(
    shared: &Arc<Shared>,
    keyed: KeyedCall,
) -> Result<Response<ResponseBody>, Refusal> {
    let request_id = keyed.call.request_id.clone();
    let task = tokio::spawn(decide_key(Arc::clone(shared), keyed));
    let outcome = task
        .await
        .unwrap_or_else(|_| Err(Refusal::new(Code::Internal)));
    Ok(render(&*outcome?, &request_id))
}

async fn decide_key(shared: Arc<Shared>, keyed: KeyedCall) -> Outcome {
    let KeyedCall { call, key } = keyed;
    if !Ticket::is_ticket_text(&key) {
        let key =
            IdempotencyKey::try_claimed(&call.identity.workspace, &key).map_err(Refusal::new)?;
        return submit(&shared, call, key, ForwardPolicy::Allowed).await;
    }
    let ticket: Ticket = key.parse().map_err(|_| Refusal::new(Code::BadKey))?;
    if ticket.incarnation() == shared.incarnation {
        return submit_ticket(&shared, call, &ticket).await;
    }
    // Only the incarnation that issued the ticket may dispatch it. If that daemon can't be found,
    // this one knows nothing of the request, so the refusal says that the outcome is unknown.
    match shared.find_peer(ticket.incarnation()) {
        Some(address) => {
            shared
                .forward_ticket(&call, &key, address, ticket.incarnation())
                .await
        }
        None => Err(outcome_unknown_refusal(Code::TicketHolderLost)),
    }
}

/// Submits a call under a ticket that this incarnation issued.
pub(crate) async fn submit_ticket(
    shared: &Arc<Shared>,
    call: PlainCall,
    ticket: &Ticket,
) -> Outcome {
    let verified = shared
        .once
        .lock()
        .issuer
        .verify(ticket, &call.identity.workspace);
    let key = verified.map_err(Refusal::new)?;
    submit(shared, call, key, ForwardPolicy::Forbidden).await
}

/// Whether a copy may be forwarded to the daemon that owns the claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ForwardPolicy {
    /// The copy came from a caller.
    Allowed,
    /// The copy came from a peer; forwarding it again could loop forever.
    Forbidden,
}

/// Submits a copy of a request to the key table and acts on the table's decision.
pub(crate) async fn submit(
    shared: &Arc<Shared>,
    call: PlainCall,
    key: IdempotencyKey,
    forwarding: ForwardPolicy,
) -> Outcome {
    let fingerprint = Fingerprint::new(
        &call.identity.workspace,
        call.method.as_str(),
        &call.path_and_query,
        &call.body,
    );
    let pending = shared.submit_key(&key, fingerprint);
    match await_decision(pending).await {
        Decision::Run => run(shared, call, key).await,
        Decision::Answer(answer) => Ok(answer),
        Decision::Refuse(code) => Err(refusal_for_code(code)),
        Decision::Forward(holder) if forwarding == ForwardPolicy::Allowed => {
            shared.forward_claim(&call, &key, &holder).await
        }
        Decision::Forward(_) => Err(outcome_unknown_refusal(Code::ClaimHeldElsewhere)),
        Decision::Wait | Decision::Claim(_) => Err(Refusal::new(Code::Internal)),
    }
}

/// Waits for the table's decision on this copy.
async fn await_decision(pending: PendingDecision) -> Decision {
    match pending {
        PendingDecision::Ready(decision) => decision,
        PendingDecision::Waiting(receiver) => {
            receiver.await.unwrap_or(Decision::Refuse(Code::Internal))
        }
    }
}

/// Runs the request, which the table allows once, and delivers the outcome to every waiting copy.
async fn run(shared: &Arc<Shared>, call: PlainCall, key: IdempotencyKey) -> Outcome {
    let settlement = shared.open_settlement(key.clone());
    let is_dispatched = AtomicBool::new(false);
    let may_send = || {
        let is_allowed = shared.once.lock().table.try_dispatch(&key);
        is_dispatched.store(is_allowed, Ordering::Release);
        is_allowed
    };
    match run_plain(shared, &call, RunMode::Once, may_send).await {
        Ok(response) => {
            decision_to_outcome(settlement.finish(Arc::new(to_kept_answer(&response))), None)
        }
        Err(refusal) => {
            let decision = match refusal.meaning() {
                // After dispatch a refusal means `not run` only if the endpoint said so or if no
                // connection to one opened.
                Meaning::NotRun if is_dispatched.load(Ordering::Acquire) => {
                    settlement.refuse_by_endpoint()
                }
                Meaning::NotRun => settlement.refuse(refusal.code()),
                Meaning::OutcomeUnknown | Meaning::Notice => {
                    settlement.mark_outcome_unknown(refusal.code())
                }
            };
            decision_to_outcome(decision, Some(refusal))
        }
    }
}

/// Converts the table's decision into the outcome of this copy. `refusal`, which has more detail,
/// is used if its meaning agrees with the decision.
fn decision_to_outcome(decision: Decision, refusal: Option<Refusal>) -> Outcome {
    match decision {
        Decision::Answer(answer) => Ok(answer),
        Decision::Refuse(code) => match refusal {
            Some(refusal) if refusal.meaning() == code.meaning() => Err(refusal),
            _ => Err(refusal_for_code(code)),
        },
        _ => Err(refusal.unwrap_or_else(|| Refusal::new(Code::Internal))),
    }
}

fn to_kept_answer(response: &ServiceResponse) -> StoredAnswer {
    let content_type = response.headers.get(header::CONTENT_TYPE);
    StoredAnswer {
        status: response.status.as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        body: response.body.to_vec(),
    }
}

/// Builds a refusal from its code alone, for a copy that waited or for an answer from a peer.
pub(crate) fn refusal_for_code(code: Code) -> Refusal {
    match code.meaning() {
        Meaning::OutcomeUnknown => outcome_unknown_refusal(code),
        // Refusals for lack of capacity or of an endpoint are temporary. Without a `retry-after`
        // callers would come back at once.
        Meaning::NotRun | Meaning::Notice if TRANSIENT_STATUSES.contains(&code.http_status()) => {
            Refusal::new(code).with_retry_after_us(KEYED_RETRY_AFTER_US)
        }
        Meaning::NotRun | Meaning::Notice => Refusal::new(code),
    }
}

/// Builds a refusal for a key whose outcome this daemon doesn't know.
pub(crate) fn outcome_unknown_refusal(code: Code) -> Refusal {
    Refusal::new(code)
        .with_outcome_unknown()
        .with_retry_after_us(KEYED_RETRY_AFTER_US)
}

/// Renders a stored answer, identical for the first copy and every repeat.
fn render(answer: &StoredAnswer, request_id: &RequestId) -> Response<ResponseBody> {
    const KEYED_HEADER: HeaderName = HeaderName::from_static("x-wisteriahitch-keyed");
    let mut response = Response::new(full_body(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let content_type = answer.content_type.as_deref();
    if let Some(Ok(value)) = content_type.map(HeaderValue::from_str) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
        .headers_mut()
        .insert(KEYED_HEADER, HeaderValue::from_static("1"));
    set_request_id(&mut response, request_id);
    response
}
