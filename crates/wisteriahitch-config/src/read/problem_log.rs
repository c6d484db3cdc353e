//! A log of problems that several readers of the same texts share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;

use toml::de::DeTable;
use wisteriahitch_types::Code;

use super::{Location, Source};
use crate::{Problem, Report};

/// Maximum number of problems in a report, which bounds the report on a hostile text.
const MAX_PROBLEMS: usize = 200;

/// Maximum size of a text that is parsed; several times the size of 3,200 workspaces.
const MAX_TEXT_BYTES: usize = 8 << 20;

/// Collects problems and converts their locations into lines and columns.
#[derive(Debug)]
pub(crate) struct ProblemLog<'a> {
    sources: Vec<Source<'a>>,
    problems: RefCell<Vec<Problem>>,
    is_truncated: Cell<bool>,
}

impl<'a> ProblemLog<'a> {
    /// Creates an empty log for texts that are checked together.
    pub(crate) fn new(sources: Vec<Source<'a>>) -> Self {
        Self {
            sources,
            problems: RefCell::default(),
            is_truncated: Cell::default(),
        }
    }

    /// Returns the texts; locations refer to them by their index.
    pub(crate) fn sources(&self) -> &[Source<'a>] {
        &self.sources
    }

    /// Adds a problem at a location, unless the log has reached its maximum.
    pub(crate) fn add(&self, code: Code, location: &Location, message: impl Into<String>) {
        let mut problems = self.problems.borrow_mut();
        if problems.len() >= MAX_PROBLEMS {
            self.is_truncated.set(true);
            return;
        }
        let Some(source) = self.sources.get(location.source) else {
            return;
        };
        let (line, column) = source.position(location.offset);
        problems.push(Problem {
            code,
            section: source.section.clone(),
            line,
            column,
            path: location.path.clone(),
            message: message.into(),
        });
    }

    /// Returns the line and column of a location, both from 1.
    pub(crate) fn position(&self, location: &Location) -> (u32, u32) {
        let source = self.sources.get(location.source);
        source.map_or((1, 1), |source| source.position(location.offset))
    }

    /// Describes a location for a message about another one: by its line in the submitted text, or
    /// by the name of the section in force.
    pub(crate) fn describe(&self, location: &Location) -> String {
        let (line, _) = self.position(location);
        let source = self.sources.get(location.source);
        let path = &location.path;
        match source.and_then(|source| source.section.as_ref()) {
            Some(section) => format!("{path} of {section} (in force)"),
            None => format!("{path} in line {line}"),
        }
    }

    /// Returns the start of the submitted text, or of the first text if none is submitted.
    pub(crate) fn submission_start(&self) -> Location {
        let submitted = self.sources.iter().position(|s| s.section.is_none());
        Location {
            source: submitted.unwrap_or_default(),
            ..Location::default()
        }
    }

    /// Returns the number of problems added so far.
    pub(crate) fn len(&self) -> usize {
        self.problems.borrow().len()
    }

    /// Returns whether problems were dropped because the log is full. Expensive checks may then
    /// stop.
    pub(crate) fn is_truncated(&self) -> bool {
        self.is_truncated.get()
    }

    /// Returns whether no problems were added so far.
    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Parses one of the texts. Returns `None` for a text that is not valid TOML: the guesses of
    /// the parser's error recovery would only add misleading problems.
    pub(crate) fn parse(&self, source: usize) -> Option<DeTable<'a>> {
        let text = self.sources.get(source)?.text;
        if text.len() > MAX_TEXT_BYTES {
            let location = Location {
                source,
                ..Location::default()
            };
            let message = format!(
                "the text has {} bytes, more than {MAX_TEXT_BYTES}",
                text.len()
            );
            self.add(Code::ConfigTooLarge, &location, message);
            return None;
        }
        let (table, errors) = DeTable::parse_recoverable(text);
        if errors.is_empty() {
            return Some(table.into_inner());
        }
        let mut lines = BTreeSet::new();
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            let (line, _) = self.sources[source].position(offset);
            // After recovering, the parser may report further errors in the same broken line.
            if !lines.insert(line) {
                continue;
            }
            let location = Location {
                source,
                offset,
                path: String::new(),
            };
            self.add(Code::ConfigSyntax, &location, error.message());
        }
        None
    }

    /// Returns the value if there is one and no problem was added, and the report otherwise.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, Report> {
        match value {
            Some(value) if self.is_empty() => Ok(value),
            _ => Err(Report::new(
                self.problems.into_inner(),
                self.is_truncated.get(),
            )),
        }
    }
}
