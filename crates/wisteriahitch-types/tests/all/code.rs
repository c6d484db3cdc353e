//! Result codes and the page that lists them.

use std::collections::BTreeSet;
use std::fmt::Write;

use expect_test::expect_file;
use wisteriahitch_types::{Code, Meaning};

const INTRODUCTION: &str = "\
# Result codes

Every refusal, report and log line of wisteriahitch carries one of these codes. A refusal says which
of two things it means:

- **not run**: the request was certainly not run, and no late copy of it will be.
- **outcome unknown**: it may have run. A request with a ticket or an idempotency key can safely be
  sent again with the same key: it runs at most once, and a finished one gets its kept answer.

A refusal is sent as soon as it is decided, with `Retry-After` (seconds) and `x-retry-after-ms` where
coming back makes sense. Its body is
`{\"error\":{\"code\":\"W2003\",\"name\":…,\"meaning\":\"not_run\"|\"outcome_unknown\",\"message\":…,\"request_id\":…,\"retry_after_ms\":…}}`;
the headers `x-wisteriahitch-code` and `x-wisteriahitch-meaning` say the same. Where this daemon
isn't the one that decides for a key, a code that usually means *not run* is sent with the meaning
*outcome unknown*; the meaning in the answer counts. A stream that can't be completed ends with an
event `error` that holds this body, never silently.

A head that doesn't parse as HTTP (W1001) or is too large (W1004) is answered before a request exists.

This table is held to the source by a test of `wisteriahitch-types`; `UPDATE_EXPECT=1` renews it.

| code | name | meaning | HTTP | explanation |
|---|---|---|---|---|
";

fn render_page() -> String {
    let mut page = INTRODUCTION.to_owned();
    for code in Code::ALL {
        let status = match code.http_status() {
            0 => "-".to_owned(),
            status => status.to_string(),
        };
        writeln!(
            page,
            "| {code} | {} | {} | {status} | {} |",
            code.name(),
            code.meaning(),
            code.summary()
        )
        .expect("writing to a string succeeds");
    }
    page
}

#[test]
fn errors_page_matches_the_codes() {
    expect_file!["../../../../docs/ERRORS.md"].assert_eq(&render_page());
}

#[test]
fn numbers_are_unique_and_ascending() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let unique: BTreeSet<u16> = numbers.iter().copied().collect();
    assert_eq!(unique.into_iter().collect::<Vec<_>>(), numbers);
}

#[test]
fn codes_survive_a_text_round_trip() {
    for code in Code::ALL {
        assert_eq!(code.to_string().parse::<Code>().as_ref(), Ok(code));
        let json = serde_json::to_string(code).unwrap();
        assert_eq!(serde_json::from_str::<Code>(&json).unwrap(), *code);
    }
    assert!("W9".parse::<Code>().is_err());
    assert!("1001".parse::<Code>().is_err());
}

#[test]
fn codes_after_dispatch_never_mean_not_run() {
    // Codes 3000 to 3999 are sent when part of the request may already have reached an endpoint.
    // Only `KeyRefused` may mean that the request was not run.
    let codes_after_dispatch = Code::ALL
        .iter()
        .filter(|code| (3000..4000).contains(&code.number()));
    for code in codes_after_dispatch {
        let is_not_run = code.meaning() == Meaning::NotRun;
        assert_eq!(is_not_run, *code == Code::KeyRefused, "{code}");
    }
}
