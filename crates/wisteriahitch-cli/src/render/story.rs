//! A request's story, told from log lines of all machines.

use serde_json::Value;

/// One line of a log that names the request, or its fingerprint.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Machine that wrote it, as far as is known.
    pub machine: String,
    /// What it says.
    pub fields: Value,
}

/// Finds the lines of `text` that name a request by its id, or all repeats of one by their fingerprint
/// (`docs/design/crashing-requests.md`).
///
/// What stands before the JSON of a line, as collectors put it there, is taken for the machine's
/// name where `machine` gives none. Lines that aren't JSON are passed over: a log may have been cut
/// anywhere.
pub fn story_lines(text: &str, machine: &str, request: &str) -> Vec<LogLine> {
    let named = text.lines().filter(|line| line.contains(request));
    let parsed = named.filter_map(|line| {
        let (before, json) = line.split_at(line.find('{')?);
        let fields: Value = serde_json::from_str(json).ok()?;
        let machine = match machine {
            "" => before.split_whitespace().next_back().unwrap_or(""),
            known => known,
        };
        let is_named = fields["request"] == request || fields["fingerprint"] == request;
        is_named.then(|| LogLine {
            machine: machine.to_owned(),
            fields,
        })
    });
    parsed.collect()
}

/// Tells the lines in the order of their times, each with what it means.
pub fn story(mut lines: Vec<LogLine>) -> String {
    lines.sort_by_key(|line| line.fields["ts_ms"].as_u64());
    let first = lines.first().and_then(|line| line.fields["ts_ms"].as_u64());
    let told = lines.iter().map(|line| {
        let at_ms = line.fields["ts_ms"].as_u64().unwrap_or(0);
        let since = format!("{} ms", at_ms.saturating_sub(first.unwrap_or(0)));
        format!(
            "{since:<10} {:<20} {}\n",
            line.machine,
            sentence(&line.fields)
        )
    });
    told.collect()
}

fn sentence(fields: &Value) -> String {
    match fields["event"].as_str() {
        Some("attempt_failed") => attempt(fields),
        Some("stream_resumed") => format!(
            "went on at {} after event {}",
            text(fields, "endpoint"),
            text(fields, "after_event")
        ),
        Some("request_blocked") => blocked(fields),
        Some("request_unblocked") => {
            format!("sent to endpoints again ({})", text(fields, "reason"))
        }
        Some("call_ended") => ended(fields),
        _ => fields.to_string(),
    }
}

fn blocked(fields: &Value) -> String {
    let source = match fields["source"].as_str() {
        Some("own") => "a crash was seen here",
        Some("peer") => "another daemon said so",
        _ => "it was written in the store",
    };
    format!("sent to no endpoint any more, since endpoints crash under it: {source}")
}

fn attempt(fields: &Value) -> String {
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
        text(fields, "attempt"),
        text(fields, "endpoint"),
        text(fields, "reason"),
        text(fields, "detail"),
        text(fields, "budget_left"),
    )
}

fn ended(fields: &Value) -> String {
    let mut told = format!(
        "{} with status {} after {} ms of {}, route {}, configuration {}",
        text(fields, "outcome"),
        text(fields, "status"),
        text(fields, "total_ms"),
        text(fields, "deadline_ms"),
        text(fields, "route"),
        text(fields, "config_version"),
    );
    if !fields["code"].is_null() {
        told += &format!(", code W{}", text(fields, "code"));
    }
    if !fields["queue_ms"].is_null() {
        let (queue, bound) = (text(fields, "queue_ms"), text(fields, "longest_queue_ms"));
        told += &format!(", queue {queue} ms where {bound} are joined");
    }
    if !fields["retry_after_ms"].is_null() {
        told += &format!(
            ", told to come back in {} ms",
            text(fields, "retry_after_ms")
        );
    }
    if fields["endpoint"]
        .as_str()
        .is_some_and(|endpoint| !endpoint.is_empty())
    {
        told += &format!(
            "; last at {} of {} endpoints: {} tokens kept, {} fetched, {} read, first event expected after {} ms",
            text(fields, "endpoint"),
            text(fields, "candidates"),
            text(fields, "cached_tokens"),
            text(fields, "fetched_tokens"),
            text(fields, "unread_tokens"),
            text(fields, "expected_ms"),
        );
    }
    if !fields["first_event_ms"].is_null() {
        told += &format!(", came after {}", text(fields, "first_event_ms"));
    }
    told
}

/// Returns a field as it reads in a sentence.
fn text(fields: &Value, name: &str) -> String {
    match &fields[name] {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.1}", number.as_f64().unwrap_or(0.0))
        }
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
