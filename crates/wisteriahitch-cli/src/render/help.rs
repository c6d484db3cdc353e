//! The part of the help that belongs to one command.

/// Name of the program, which opens the title of each command.
const PROGRAM: &str = "wisteriahitch";

/// Returns the help of the first command among `words`, or the whole where there is none.
///
/// The library for flags prints the help of every command at once, in which the flags of one are
/// hard to find.
pub fn help_of(whole: &str, words: &[&str]) -> String {
    let commands = (0..words.len()).find_map(|start| longest_title(whole, &words[start..]));
    commands.unwrap_or_else(|| whole.to_owned())
}

/// Finds the longest run of words from the first on that is a command's title.
fn longest_title(whole: &str, words: &[&str]) -> Option<String> {
    (1..=words.len()).rev().find_map(|count| {
        let title = format!("{PROGRAM} {}", words[..count].join(" "));
        let text = sections(whole, &title);
        (!text.is_empty()).then_some(text)
    })
}

/// Collects the section with this title and those of the commands below it.
fn sections(whole: &str, title: &str) -> String {
    let mut is_inside = false;
    let mut text = String::new();
    for line in whole.lines() {
        if line.starts_with(PROGRAM) {
            let rest = line.strip_prefix(title);
            is_inside = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(' '));
        }
        if is_inside {
            text += line;
            text.push('\n');
        }
    }
    match text.is_empty() {
        true => text,
        false => text.trim_end().to_owned() + "\n",
    }
}
