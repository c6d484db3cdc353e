//! The `story` command: prints the events of one request from collected logs.

use std::io::Read;

use anyhow::Context;

use crate::flags::{Story, Wisteriahitch};
use crate::render;

/// Runs `wisteriahitch story`, which reads logs only and calls no daemon.
///
/// The name of a log file without its extension is the name of the machine.
pub(crate) fn run(flags: &Wisteriahitch, story: &Story) -> anyhow::Result<bool> {
    let mut lines = Vec::new();
    for path in &story.files {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("the log {} can't be read", path.display()))?;
        let machine = path.file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(render::matching_log_lines(&text, &machine, &story.id));
    }
    if story.files.is_empty() {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .context("standard input can't be read")?;
        lines.extend(render::matching_log_lines(&text, "", &story.id));
    }
    let has_lines = !lines.is_empty();
    match flags.json {
        true => lines.iter().for_each(|line| println!("{}", line.fields)),
        false => print!("{}", render::story(lines)),
    }
    Ok(has_lines)
}
