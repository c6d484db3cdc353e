//! A source text of a check.

use crate::SectionName;

/// A text to check: the submitted one, or a section in force that is checked together with it.
#[derive(Clone, Debug)]
pub(crate) struct Source<'a> {
    /// Name of the section in force; `None` for the submitted text.
    pub(crate) section: Option<SectionName>,
    /// TOML text.
    pub(crate) text: &'a str,
}

impl<'a> Source<'a> {
    /// Creates the source of the submitted text.
    pub(crate) fn submitted(text: &'a str) -> Self {
        Self {
            section: None,
            text,
        }
    }

    /// Returns the line and column of a byte offset, both from 1. An offset past the end of the
    /// text is treated as its end.
    pub(crate) fn position(&self, offset: usize) -> (u32, u32) {
        let mut end = offset.min(self.text.len());
        while !self.text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &self.text[..end];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line = before.bytes().filter(|byte| *byte == b'\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
        (saturating_u32(line), saturating_u32(column))
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
