//! One line for each request, for a closer look.

use std::fmt::Write;
use std::path::Path;

use anyhow::Context;

use crate::run::{Outcome, Record, RunResult, Subject};

const HEAD: &str = "at_us,workspace,conversation,class,is_return,prompt_tokens,kept_tokens,\
                    cached_tokens,first_token_us,ended_us,broken_tries,outcome\n";

/// Writes one line of CSV for each request, in the order of their times.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn write_records(result: &RunResult, path: &Path) -> anyhow::Result<()> {
    let mut records: Vec<&Record> = result.records.iter().collect();
    records.sort_by_key(|record| record.at_us);
    let mut text = HEAD.to_owned();
    for record in records {
        write_record(record, &mut text);
    }
    std::fs::write(path, text).with_context(|| format!("{} can't be written", path.display()))
}

fn write_record(record: &Record, text: &mut String) {
    let subject = match &record.subject {
        Subject::Prompt(ask) => format!(
            "{},{:?},{},{},{}",
            ask.conversation, ask.class, ask.is_return, ask.prompt_tokens, ask.reusable_tokens
        ),
        Subject::Plain => ",Plain,,,".to_owned(),
    };
    let (cached, first_token, outcome) = match &record.outcome {
        Outcome::Answered {
            cached_tokens,
            first_token_us,
            is_right,
            ..
        } => (
            cached_tokens.to_string(),
            first_token_us.to_string(),
            match is_right {
                true => "answered".to_owned(),
                false => "wrong".to_owned(),
            },
        ),
        Outcome::Refused { code, meaning, .. } => {
            (String::new(), String::new(), format!("{code} {meaning}"))
        }
        Outcome::CutOff => (String::new(), String::new(), "cut off".to_owned()),
        Outcome::Lost(error) => (
            String::new(),
            String::new(),
            format!("lost {}", error.replace([',', '\n'], ";")),
        ),
    };
    // Writing to a text can't fail.
    let _ = writeln!(
        text,
        "{},{},{subject},{cached},{first_token},{},{},{outcome}",
        record.at_us, record.workspace, record.ended_us, record.broken_tries
    );
}
