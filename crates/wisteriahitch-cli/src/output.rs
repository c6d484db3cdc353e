//! Prints answers as text or as JSON.

use serde_json::Value;

use crate::client::Answer;
use crate::render;

/// Prints an answer and returns whether its status is a success.
///
/// With `as_json` the JSON is printed unchanged. Otherwise `render` turns the body of a success
/// into lines, and a failure is printed to standard error.
pub(crate) fn print_answer(
    answer: &Answer,
    as_json: bool,
    render: impl Fn(&Value) -> String,
) -> anyhow::Result<bool> {
    print_submission_answer(answer, as_json, None, render)
}

/// Prints the answer to a submission of `file`; its problems are printed with this file's name.
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
