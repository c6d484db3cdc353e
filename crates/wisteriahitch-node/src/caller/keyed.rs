//! Requests that may not be repeated, told apart by their key.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use wisteriahitch_core::once::{Decision, Fingerprint, KeptAnswer, OnceKey, Ticket};
use wisteriahitch_types::{Code, DurationUs, Meaning, RequestId};
use wisteriahitch_wire::service::ServiceResponse;

use super::Refusal;
use super::body::{ResponseBody, full_body};
use super::request_id::set_request_id;
use crate::dispatch::plain_call::{PlainCall, RunMode, run_plain};
use crate::shared::Shared;
use crate::state::once::PendingDecision;

/// When a caller may ask again about a key that nobody can decide now.
const KEYED_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(1_000);

/// Statuses of refusals that pass with time.
const TRANSIENT_STATUSES: [u16; 2] = [429, 503];

/// Holds a call with the key that its caller gave it.
pub(crate) struct KeyedCall {
    /// The call.
    pub(crate) call: PlainCall,
    /// Ticket, or the caller's own idempotency key.
    pub(crate) key: String,
}

/// What a copy of a keyed request ends with.
pub(crate) type Outcome = Result<Arc<KeptAnswer>, Refusal>;

/// Answers a keyed call.
///
/// The work goes on in a task of its own: a caller that goes away must not leave a key half
/// decided, since its repeat is to get the answer.
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
        let key = OnceKey::try_claimed(&call.identity.workspace, &key).map_err(Refusal::new)?;
        return submit(&shared, call, key, ForwardPolicy::Allowed).await;
    }
    let ticket: Ticket = key.parse().map_err(|_| Refusal::new(Code::BadKey))?;
    if ticket.incarnation() == shared.incarnation {
        return submit_ticket(&shared, call, &ticket).await;
    }
    // Only the life of a process that issued the ticket may dispatch it. Where that one can't be
    // found this daemon knows nothing of the request, and says just that.
    match shared.find_peer(ticket.incarnation()) {
        Some(address) => {
            shared
                .forward_ticket(&call, &key, address, ticket.incarnation())
                .await
        }
        None => Err(outcome_unknown_refusal(Code::TicketHolderLost)),
    }
}

/// Redeems a ticket of this incarnation.
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

/// Says whether a copy may be passed on to the daemon that holds the claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ForwardPolicy {
    /// The copy came from a caller.
    Allowed,
    /// The copy came from a peer already; passing it on again could go round for ever.
    Forbidden,
}

/// Brings a copy of a request to the table of keys and does what that one decides.
pub(crate) async fn submit(
    shared: &Arc<Shared>,
    call: PlainCall,
    key: OnceKey,
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

/// Waits until the key's decision concerns this copy.
async fn await_decision(pending: PendingDecision) -> Decision {
    match pending {
        PendingDecision::Ready(decision) => decision,
        PendingDecision::Waiting(receiver) => {
            receiver.await.unwrap_or(Decision::Refuse(Code::Internal))
        }
    }
}

/// Runs the request, which the table lets happen once, and tells every copy of the outcome.
async fn run(shared: &Arc<Shared>, call: PlainCall, key: OnceKey) -> Outcome {
    let settlement = shared.open_settlement(key.clone());
    let is_dispatched = AtomicBool::new(false);
    let may_send = || {
        let is_allowed = shared.once.lock().table.dispatched(&key);
        is_dispatched.store(is_allowed, Ordering::Release);
        is_allowed
    };
    match run_plain(shared, &call, RunMode::Once, may_send).await {
        Ok(response) => {
            decision_to_outcome(settlement.finish(Arc::new(to_kept_answer(&response))), None)
        }
        Err(refusal) => {
            let decision = match refusal.meaning() {
                // After the dispatch a refusal says `not run` only where the endpoint said so, or
                // where no connection to one opened.
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

/// Turns the table's decision into this copy's outcome; `refusal` says more where both agree.
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

fn to_kept_answer(response: &ServiceResponse) -> KeptAnswer {
    let content_type = response.headers.get(header::CONTENT_TYPE);
    KeptAnswer {
        status: response.status.as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        body: response.body.to_vec(),
    }
}

/// Builds a refusal of which only the code is known: of a copy that pending, or of a peer.
pub(crate) fn refusal_for_code(code: Code) -> Refusal {
    match code.meaning() {
        Meaning::OutcomeUnknown => outcome_unknown_refusal(code),
        // A refusal for want of room or of an endpoint passes; without a time callers would come
        // back at once.
        Meaning::NotRun | Meaning::Notice if TRANSIENT_STATUSES.contains(&code.http_status()) => {
            Refusal::new(code).with_retry_after_us(KEYED_RETRY_AFTER_US)
        }
        Meaning::NotRun | Meaning::Notice => Refusal::new(code),
    }
}

/// Builds the refusal of a daemon that doesn't know what became of a key.
pub(crate) fn outcome_unknown_refusal(code: Code) -> Refusal {
    Refusal::new(code)
        .with_outcome_unknown()
        .with_retry_after_us(KEYED_RETRY_AFTER_US)
}

/// Renders a kept answer, the same for the first copy and for each repeat.
fn render(answer: &KeptAnswer, request_id: &RequestId) -> Response<ResponseBody> {
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
