//! Renders the events of one request from the log lines of all machines.

use serde_json::Value;

/// A log line of a request that was selected by its id, fingerprint or prompt part.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Machine that wrote the line; empty if unknown.
    pub machine: String,
    /// Fields of the event, a JSON object.
    pub fields: Value,
}

/// Returns the lines of `text` that belong to the request with this id, to all repeats of the
/// request with this fingerprint, or to requests with this part in their prompts
/// (`docs/design/crashing-requests.md`).
///
/// If `machine` is empty, the last word before the JSON of a line, where log collectors put the
/// machine's name, is used. Lines that aren't JSON are skipped, since a log may be truncated
/// anywhere.
pub fn matching_log_lines(text: &str, machine: &str, request: &str) -> Vec<LogLine> {
    let candidate_lines = text.lines().filter(|line| line.contains(request));
    let matching_lines = candidate_lines.filter_map(|line| {
        let (prefix, json) = line.split_at(line.find('{')?);
        let fields: Value = serde_json::from_str(json).ok()?;
        let machine = match machine {
            "" => prefix.split_whitespace().next_back().unwrap_or(""),
            known => known,
        };
        let lists_part = |parts: &Vec<Value>| parts.iter().any(|part| part == request);
        let names_request = ["request", "fingerprint", "part"]
            .iter()
            .any(|field| fields[field] == request)
            || fields["parts"].as_array().is_some_and(lists_part);
        names_request.then(|| LogLine {
            machine: machine.to_owned(),
            fields,
        })
    });
    matching_lines.collect()
}

/// Renders the lines in order of time, each with the milliseconds since the first one, the machine
/// and a description of the event.
pub fn story(mut lines: Vec<LogLine>) -> String {
    lines.sort_by_key(|line| line.fields["ts_ms"].as_u64());
    let first = lines.first().and_then(|line| line.fields["ts_ms"].as_u64());
    let rendered = lines.iter().map(|line| {
        let at_ms = line.fields["ts_ms"].as_u64().unwrap_or(0);
        let elapsed = format!("{} ms", at_ms.saturating_sub(first.unwrap_or(0)));
        format!(
            "{elapsed:<10} {:<20} {}\n",
            line.machine,
            describe_event(&line.fields)
        )
    });
    rendered.collect()
}

fn describe_event(fields: &Value) -> String {
    match fields["event"].as_str() {
        Some("attempt_failed") => describe_failed_attempt(fields),
        Some("stream_resumed") => format!(
            "went on at {} after event {}",
            field_text(fields, "endpoint"),
            field_text(fields, "after_event")
        ),
        Some("request_blocked") => describe_blocked_request(fields),
        Some("request_unblocked") => {
            format!("sent to endpoints again ({})", field_text(fields, "reason"))
        }
        Some("call_ended") => describe_ended_call(fields),
        _ => fields.to_string(),
    }
}

fn describe_blocked_request(fields: &Value) -> String {
    let source = match fields["source"].as_str() {
        Some("own") => "a crash was seen here",
        Some("peer") => "another daemon said so",
        _ => "it was written in the store",
    };
    format!("sent to no endpoint any more, since endpoints crash under it: {source}")
}

fn describe_failed_attempt(fields: &Value) -> String {
    let ran = match fields["may_have_run"].as_bool() {
        Some(true) => "may have run there",
        _ => "has not run there",
    };
    let next = match fields["next"].as_str() {
        Some("again") => "tried again".to_owned(),
        Some(reason) => format!("not tried again: {reason}"),
        None => String::new(),
    };
    format!(
        "attempt {} at {} failed: {} ({}); {ran}; {next}; {} retries were left",
        field_text(fields, "attempt"),
        field_text(fields, "endpoint"),
        field_text(fields, "reason"),
        field_text(fields, "detail"),
        field_text(fields, "budget_left"),
    )
}

fn describe_ended_call(fields: &Value) -> String {
    let mut description = format!(
        "{} with status {} after {} ms of {}, route {}, configuration {}",
        field_text(fields, "outcome"),
        field_text(fields, "status"),
        field_text(fields, "total_ms"),
        field_text(fields, "deadline_ms"),
        field_text(fields, "route"),
        field_text(fields, "config_version"),
    );
    if !fields["code"].is_null() {
        description += &format!(", code W{}", field_text(fields, "code"));
    }
    if !fields["queue_ms"].is_null() {
        let (queue, bound) = (
            field_text(fields, "queue_ms"),
            field_text(fields, "longest_queue_ms"),
        );
        description += &format!(", queue {queue} ms where {bound} are joined");
    }
    if !fields["retry_after_ms"].is_null() {
        description += &format!(
            ", told to come back in {} ms",
            field_text(fields, "retry_after_ms")
        );
    }
    if fields["endpoint"]
        .as_str()
        .is_some_and(|endpoint| !endpoint.is_empty())
    {
        description += &format!(
            "; last at {} of {} endpoints: {} tokens kept, {} fetched, {} read, first event expected after {} ms",
            field_text(fields, "endpoint"),
            field_text(fields, "candidates"),
            field_text(fields, "cached_tokens"),
            field_text(fields, "fetched_tokens"),
            field_text(fields, "unread_tokens"),
            field_text(fields, "expected_ms"),
        );
    }
    if !fields["first_event_ms"].is_null() {
        description += &format!(", came after {}", field_text(fields, "first_event_ms"));
    }
    description
}

/// Returns a field as text without quotes; fractions have one decimal place.
fn field_text(fields: &Value, name: &str) -> String {
    match &fields[name] {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.1}", number.as_f64().unwrap_or(0.0))
        }
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
