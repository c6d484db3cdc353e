//! Issues tickets, which are daemon-generated keys for non-repeatable requests.

use http::Response;
use serde::{Deserialize, Serialize};
use wisteriahitch_types::{Code, DurationUs};

use super::Refusal;
use super::body::ResponseBody;
use super::entries::json_response;
use super::identity::Identity;
use crate::shared::Shared;

const MAX_TICKETS: usize = 100;
const TICKET_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(1_000);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketsBody {
    #[serde(default = "default_count")]
    count: usize,
}

fn default_count() -> usize {
    1
}

#[derive(Serialize)]
struct Tickets {
    tickets: Vec<String>,
    lifetime_ms: u64,
}

/// Answers `POST /v1/tickets`.
///
/// A draining daemon issues none. It runs until its last ticket has expired, so each new one would
/// prolong the drain.
pub(crate) fn answer(
    shared: &Shared,
    identity: &Identity,
    body: &[u8],
) -> Result<Response<ResponseBody>, Refusal> {
    let count = parse_count(body)?;
    let lifetime_us = identity.in_force.configuration.limits.ticket_lifetime_us;
    let now = shared.clock.now();
    let issued = shared
        .once
        .lock()
        .issuer
        .issue(&identity.workspace, count, now, lifetime_us);
    if issued.is_empty() {
        let code = if shared.is_draining() {
            Code::Draining
        } else {
            Code::QuotaExceeded
        };
        return Err(Refusal::new(code).with_retry_after_us(TICKET_RETRY_AFTER_US));
    }
    let tickets = issued.iter().map(ToString::to_string).collect();
    Ok(json_response(&Tickets {
        tickets,
        lifetime_ms: lifetime_us.as_ms(),
    }))
}

fn parse_count(body: &[u8]) -> Result<usize, Refusal> {
    if body.is_empty() {
        return Ok(default_count());
    }
    let parsed: TicketsBody = serde_json::from_slice(body)
        .map_err(|error| Refusal::new(Code::BadJson).with_message(error.to_string()))?;
    if parsed.count == 0 || parsed.count > MAX_TICKETS {
        let message = format!("count must lie between 1 and {MAX_TICKETS}");
        return Err(Refusal::new(Code::BadJson).with_message(message));
    }
    Ok(parsed.count)
}
