//! Extracts the help of one command.

/// Name of the program; the title of each command section starts with it.
const PROGRAM: &str = "wisteriahitch";

/// Returns the help of the first command among `arguments`, or all of it if there is none.
///
/// xflags prints the help of all commands at once, in which the flags of one command are hard to
/// find.
pub fn help_for_command(full_help: &str, arguments: &[&str]) -> String {
    let commands = (0..arguments.len())
        .find_map(|start| longest_matching_section(full_help, &arguments[start..]));
    commands.unwrap_or_else(|| full_help.to_owned())
}

/// Returns the sections of the longest prefix of `arguments` that is the title of a command.
fn longest_matching_section(full_help: &str, arguments: &[&str]) -> Option<String> {
    (1..=arguments.len()).rev().find_map(|count| {
        let title = format!("{PROGRAM} {}", arguments[..count].join(" "));
        let text = sections_under(full_help, &title);
        (!text.is_empty()).then_some(text)
    })
}

/// Returns the section with this title and those of its subcommands.
fn sections_under(full_help: &str, title: &str) -> String {
    let mut is_inside = false;
    let mut text = String::new();
    for line in full_help.lines() {
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
