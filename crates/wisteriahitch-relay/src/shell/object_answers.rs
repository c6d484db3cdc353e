//! Answers to peers that fetch objects.
//!
//! Load pattern: a hub learns of a configuration of a megabyte, and all daemons that it serves ask for
//! it within a tenth of a second. The answer is the same for all of them, so it is compressed once,
//! and who has got it serves others where this daemon's link is taken.
//! Some of their transfers break off; each is continued, at this daemon or at another one with the
//! same answer (`docs/design/large-objects.md`).

use std::collections::VecDeque;

use bytes::Bytes;
use http::header::{CONTENT_ENCODING, ETAG, IF_RANGE, RANGE};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use parking_lot::Mutex;
use percent_encoding::percent_decode_str;
use wisteriahitch_types::ByteCount;
use wisteriahitch_wire::object_store::{ObjectRole, Revision};
use xxhash_rust::xxh3::xxh3_128;

use super::answer_body::AnswerBody;
use super::compression::{GZIP, MIN_COMPRESSED_LEN, accepts_gzip, compress};
use super::peer_answer::REFERRAL_HEADER;
use super::peer_client::{OBJECTS_AGE_HEADER, PAGE_LEN_PARAMETER, PAGE_START_PARAMETER};
use super::shared::Shared;
use super::watch_state::{ObjectDelta, WATCHED_ROLES, kind_name};
use crate::decide::answer_schedule::{AnswerSchedule, Serving};
use crate::observe::Event;

/// Number of answers that are kept: the newest ones to the few questions that daemons ask at the same
/// time.
const MAX_KEPT_ANSWERS: usize = 4;

/// A compressed answer.
#[derive(Clone, Debug)]
struct ObjectAnswer {
    /// Kind of objects and query that it answers.
    question: String,
    /// Revision up to which its objects are complete.
    revision: Revision,
    /// Identifies its bytes.
    tag: HeaderValue,
    body: Bytes,
}

/// The last compressed answers, and when they are sent.
#[derive(Debug, Default)]
pub(crate) struct ObjectAnswers {
    /// Newest last.
    kept: Mutex<VecDeque<ObjectAnswer>>,
    schedule: Mutex<AnswerSchedule>,
}

impl ObjectAnswers {
    fn find(&self, is_wanted: impl Fn(&ObjectAnswer) -> bool) -> Option<ObjectAnswer> {
        let answers = self.kept.lock();
        answers.iter().find(|answer| is_wanted(answer)).cloned()
    }

    fn keep(&self, answer: ObjectAnswer) {
        let mut answers = self.kept.lock();
        if answers.len() >= MAX_KEPT_ANSWERS {
            answers.pop_front();
        }
        answers.push_back(answer);
    }
}

/// Answers a request for the objects of a kind.
pub(super) fn answer_objects_request(
    shared: &Shared,
    kind: &str,
    query: &str,
    headers: &HeaderMap,
) -> Option<Response<AnswerBody>> {
    let role = WATCHED_ROLES
        .iter()
        .find(|role| kind_name(**role) == kind)?;
    if let Some((answer, start)) = requested_rest(shared, headers) {
        return Some(serve(shared, *role, &answer, start));
    }
    let is_compressible = accepts_gzip(headers) && *role != ObjectRole::Weights;
    let question = format!("{kind}?{query}");
    if is_compressible {
        let revision = shared.watches.changed_revision(*role);
        let is_wanted =
            |answer: &ObjectAnswer| answer.question == question && answer.revision == revision;
        if let Some(answer) = shared.object_answers.find(is_wanted) {
            return Some(serve(shared, *role, &answer, 0));
        }
    }
    let mut delta = objects_for(shared, *role, query);
    let content_len: usize = delta.objects.iter().map(|o| o.content.len()).sum();
    if !is_compressible || content_len < MIN_COMPRESSED_LEN {
        let body = serde_json::to_vec(&delta).ok()?;
        return Some(Response::new(AnswerBody::full(body.into())));
    }
    // The age changes all the time and would make each answer another one.
    delta.age_ms = None;
    let body = compress(&serde_json::to_vec(&delta).ok()?);
    let body = body.inspect_err(|error| log_failure(shared, error.to_string()));
    let body = body.ok()?;
    let tag = format!("\"{:032x}\"", xxh3_128(&body));
    let answer = ObjectAnswer {
        question,
        revision: delta.revision,
        tag: HeaderValue::try_from(tag).ok()?,
        body,
    };
    shared.object_answers.keep(answer.clone());
    Some(serve(shared, *role, &answer, 0))
}

/// Returns the answer that a request wants to continue, and where.
fn requested_rest(shared: &Shared, headers: &HeaderMap) -> Option<(ObjectAnswer, usize)> {
    let tag = headers.get(IF_RANGE)?;
    let range = headers.get(RANGE)?.to_str().ok()?;
    let start = range.strip_prefix("bytes=")?.strip_suffix('-')?;
    let start = start.parse().ok()?;
    let answer = shared.object_answers.find(|answer| answer.tag == *tag)?;
    (start <= answer.body.len()).then_some((answer, start))
}

/// Sends an answer from `start` on, or says who else has it if this daemon's link is taken.
///
/// What was begun is always continued: its receiver would lose what it has.
fn serve(
    shared: &Shared,
    role: ObjectRole,
    answer: &ObjectAnswer,
    start: usize,
) -> Response<AnswerBody> {
    let now = shared.now();
    let missing = answer.body.len() - start;
    let missing = ByteCount::new(u64::try_from(missing).unwrap_or(u64::MAX));
    let holders = shared.watches.holders(role, now);
    let mut schedule = shared.object_answers.schedule.lock();
    let serving = schedule.serve(missing, shared.link_mbps(), &holders, now);
    drop(schedule);
    let is_continuation = start > 0 || answer.question.contains(PAGE_START_PARAMETER);
    let mut response = Response::new(AnswerBody::full(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    match serving {
        _ if is_continuation => return compressed_response(shared, role, answer, start),
        Serving::Send => return compressed_response(shared, role, answer, start),
        Serving::Refer(holder) => {
            // An address is always a valid value.
            if let Ok(holder) = HeaderValue::try_from(holder.to_string()) {
                response.headers_mut().insert(REFERRAL_HEADER, holder);
            }
        }
        Serving::Postpone => {}
    }
    response
}

fn compressed_response(
    shared: &Shared,
    role: ObjectRole,
    answer: &ObjectAnswer,
    start: usize,
) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(answer.body.slice(start..)));
    if start > 0 {
        *response.status_mut() = StatusCode::PARTIAL_CONTENT;
    }
    let headers = response.headers_mut();
    headers.insert(CONTENT_ENCODING, HeaderValue::from_static(GZIP));
    headers.insert(ETAG, answer.tag.clone());
    // The age of newer objects says nothing of these.
    let is_newest = answer.revision == shared.watches.changed_revision(role);
    let age_ms = shared.watches.age_ms(role, shared.now());
    if let Some(age_ms) = age_ms.filter(|_| is_newest) {
        headers.insert(OBJECTS_AGE_HEADER, HeaderValue::from(age_ms));
    }
    response
}

fn objects_for(shared: &Shared, role: ObjectRole, query: &str) -> ObjectDelta {
    let parameter = |name: &str| {
        let mut parameters = query.split('&');
        parameters.find_map(|parameter| parameter.strip_prefix(name)?.strip_prefix('='))
    };
    let now = shared.now();
    let max = parameter(PAGE_LEN_PARAMETER).and_then(|max| max.parse().ok());
    let mut delta = match max {
        Some(max) => {
            let after = parameter(PAGE_START_PARAMETER).map(percent_decode_str);
            let after = after.map(|after| after.decode_utf8_lossy());
            shared.watches.page(role, after.as_deref(), max, now)
        }
        None => {
            let since = parameter("since").and_then(|since| since.parse().ok());
            let since = Revision::from_u64(since.unwrap_or(0));
            shared.watches.delta(role, since, now)
        }
    };
    if role == ObjectRole::Weights {
        delta.replacement_ages = shared.site.replacement_ages(now);
    }
    delta
}

fn log_failure(shared: &Shared, detail: String) {
    shared.log.write(&Event::Failure {
        what: "compressing objects for a peer",
        detail,
    });
}
