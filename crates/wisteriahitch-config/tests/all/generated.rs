//! Property tests of both parsers: they never panic, and every problem has a code and a line.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use wisteriahitch_config::{Configuration, Report, Sections, Settings};
use wisteriahitch_types::Code;

use crate::support::{example, property_test_config};

/// Fragments that make generated texts resemble valid ones.
#[rustfmt::skip]
const PIECES: [&str; 30] = [
    "[[rules]]\n", "[[services]]\n", "[[services.endpoints]]\n", "[[workspaces]]\n", "[limits]\n",
    "[listen]\n", "[platform]\n", "name = \"a\"\n", "id = \"a\"\n", "kind = \"engine\"\n",
    "when = {}\n", "when = { labels = { a = 1 } }\n", "then.route = { service = \"a\" }\n",
    "then.refuse = { reason = \"é\" }\n", "then = 3\n", "rules = 1\n",
    "workspaces = [1, {}, []]\n", "key_hashes = [\"00000000000000000000000000000001\"]\n",
    "store_bytes = 0x10\n", "weight = 99999999999999999999999999999999999999999999\n",
    "weight = -1\n", "x = 1979-05-27\n", "removed_workspaces = [\"a\"]\n", "\"\" = 1\n",
    "\"a.b\".c = 1\n", "peers = \"1:2\"\n", "addresses = [\"[::1]:1\"]\n", "\u{feff}", "\r\n",
    "\0",
];

fn pieces() -> impl Strategy<Value = String> {
    vec(select(&PIECES[..]), 0..25).prop_map(|pieces| pieces.concat())
}

/// A valid text with some ranges removed, repeated or overwritten.
fn edited(file: &'static str) -> impl Strategy<Value = String> {
    let edit = (
        any::<Index>(),
        0..40_usize,
        select(&["", "\"", "1", "[", "}", "\n", "=", "é"][..]),
    );
    vec(edit, 1..6).prop_map(move |edits| {
        let mut text: Vec<char> = example(file).chars().collect();
        for (place, length, by) in edits {
            let start = place.index(text.len());
            let end = text.len().min(start + length);
            text.splice(start..end, by.chars());
        }
        text.into_iter().collect()
    })
}

fn check_report(text: &str, report: &Report) -> Result<(), TestCaseError> {
    prop_assert!(!report.problems().is_empty());
    let lines = text.matches('\n').count() + 1;
    for problem in report.problems() {
        prop_assert!((4001..=4013).contains(&problem.code.number()));
        prop_assert!(problem.section.is_none());
        prop_assert!(problem.line >= 1 && problem.line as usize <= lines);
        let line = text.split('\n').nth(problem.line as usize - 1).unwrap();
        let columns = line.chars().count() + 1;
        prop_assert!(
            problem.column >= 1 && problem.column as usize <= columns,
            "{problem:?}"
        );
        prop_assert!(!problem.message.is_empty());
        prop_assert!(problem.code == Code::ConfigSyntax || !problem.message.contains('\n'));
    }
    Ok(())
}

fn check_text(text: &str) -> Result<(), TestCaseError> {
    if let Err(report) = Settings::check(text) {
        check_report(text, &report)?;
    }
    match Configuration::check(text) {
        Err(report) => check_report(text, &report)?,
        Ok(configuration) => {
            let sections = Sections::split(text).unwrap();
            prop_assert_eq!(sections.assemble().unwrap(), configuration);
        }
    }
    match Sections::split(text) {
        Err(report) => check_report(text, &report)?,
        Ok(sections) => {
            for (name, section) in sections.iter() {
                let again = Sections::split(section.text()).unwrap();
                prop_assert_eq!(again.get(name), Some(section));
            }
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(property_test_config(500))]

    #[test]
    fn any_text_is_read_or_refused_with_a_location(text in any::<String>()) {
        check_text(&text)?;
    }

    #[test]
    fn pieces_of_texts_are_read_or_refused_with_a_location(text in pieces()) {
        check_text(&text)?;
    }
}

proptest! {
    #![proptest_config(property_test_config(150))]

    #[test]
    fn an_edited_configuration_is_read_or_refused_with_a_location(text in edited("lanyu.toml")) {
        check_text(&text)?;
    }

    #[test]
    fn edited_settings_are_read_or_refused_with_a_location(text in edited("settings.toml")) {
        check_text(&text)?;
    }
}
