//! Printing answers for people and for scripts.

use serde_json::Value;

use crate::client::Answer;
use crate::render;

/// Prints an answer and returns whether it was a success.
///
/// For people, `render` turns the JSON into lines; failures are told by their code.
pub(crate) fn print_answer(
    answer: &Answer,
    as_json: bool,
    render: impl Fn(&Value) -> String,
) -> anyhow::Result<bool> {
    print_submission_answer(answer, as_json, None, render)
}

/// Prints the answer to a submission of `file`, by whose name its faults are told.
pub(crate) fn print_submission_answer(
    answer: &Answer,
    as_json: bool,
    file: Option<&str>,
    render: impl Fn(&Value) -> String,
) -> anyhow::Result<bool> {
    let value = answer.json()?;
    let is_success = answer.status.is_success();
    if as_json {
        println!("{value}");
    } else if is_success {
        print!("{}", render(&value));
    } else {
        eprint!("{}", render::failure(answer.status, &value, file));
    }
    Ok(is_success)
}
