//! One text that takes part in a check.

use crate::SectionName;

/// Holds one text: the submitted one, or a section in force that is checked along with it.
#[derive(Clone, Debug)]
pub(crate) struct Source<'a> {
    /// Name of the section in force; nothing for the submitted text.
    pub(crate) section: Option<SectionName>,
    /// The text itself.
    pub(crate) text: &'a str,
}

impl<'a> Source<'a> {
    /// Wraps the submitted text.
    pub(crate) fn submitted(text: &'a str) -> Self {
        Self {
            section: None,
            text,
        }
    }

    /// Returns line and column of a byte offset, both from 1; an offset past the end counts as it.
    pub(crate) fn position(&self, offset: usize) -> (u32, u32) {
        let mut end = offset.min(self.text.len());
        while !self.text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &self.text[..end];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line = before.bytes().filter(|byte| *byte == b'\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
        (clamp(line), clamp(column))
    }
}

fn clamp(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
