//! Reads a TOML table and reports problems in it.

use std::cell::RefCell;
use std::collections::BTreeSet;

use serde_spanned::Spanned;
use toml::de::{DeString, DeTable, DeValue};
use wisteriahitch_types::Code;

use super::name_hint::nearest_name;
use super::value::wrong_type;
use super::{FromValue, Located, Location, ProblemLog};

/// Reads the keys of one table. Problems go to the log; [`TableReader::finish`] reports the keys
/// that were never read, as unknown ones.
pub(crate) struct TableReader<'r, 'i> {
    log: &'r ProblemLog<'i>,
    table: &'r DeTable<'i>,
    location: Location,
    read_keys: RefCell<Vec<&'static str>>,
}

impl<'r, 'i> TableReader<'r, 'i> {
    /// Creates a reader of the table at a location; an empty path is the top of the text.
    pub(crate) fn new(log: &'r ProblemLog<'i>, table: &'r DeTable<'i>, location: Location) -> Self {
        Self {
            log,
            table,
            location,
            read_keys: RefCell::default(),
        }
    }

    /// Returns the location of the table.
    pub(crate) fn location(&self) -> &Location {
        &self.location
    }

    /// Returns the log that problems go to.
    pub(crate) fn log(&self) -> &'r ProblemLog<'i> {
        self.log
    }

    /// Returns whether the table contains a key.
    pub(crate) fn has_key(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Returns whether the value of a key is an empty list.
    pub(crate) fn list_is_empty(&self, key: &str) -> bool {
        let array = self.table.get(key).and_then(|v| v.get_ref().as_array());
        array.is_some_and(|array| array.is_empty())
    }

    /// Returns the location of a key's value, or of the table if the key is missing.
    pub(crate) fn location_of(&self, key: &str) -> Location {
        match self.table.get(key) {
            Some(value) => self.child_location(key, value),
            None => self.location.clone(),
        }
    }

    /// Adds a problem at a key, or at the table if the key is missing.
    pub(crate) fn add_problem(&self, code: Code, key: &str, message: impl Into<String>) {
        self.log.add(code, &self.location_of(key), message);
    }

    /// Reads an optional key.
    pub(crate) fn optional<T: FromValue>(&self, key: &'static str) -> Option<T> {
        self.optional_located(key).map(|located| located.value)
    }

    /// Reads an optional key, with its location.
    pub(crate) fn optional_located<T: FromValue>(&self, key: &'static str) -> Option<Located<T>> {
        let value = self.get(key)?;
        self.convert(value, self.child_location(key, value))
    }

    /// Reads a required key.
    pub(crate) fn required<T: FromValue>(&self, key: &'static str) -> Option<T> {
        self.required_located(key).map(|located| located.value)
    }

    /// Reads a required key, with its location.
    pub(crate) fn required_located<T: FromValue>(&self, key: &'static str) -> Option<Located<T>> {
        self.require_key(key);
        self.optional_located(key)
    }

    /// Reads a list of values without duplicates; a missing list counts as empty.
    pub(crate) fn list<T: FromValue + Ord + Clone>(&self, key: &'static str) -> Vec<Located<T>> {
        let mut seen = BTreeSet::new();
        let mut values = Vec::new();
        for (value, location) in self.elements(key) {
            let Some(located) = self.convert::<T>(value, location) else {
                continue;
            };
            if seen.insert(located.value.clone()) {
                values.push(located);
                continue;
            }
            let message = "the same value stands in the list twice";
            self.log
                .add(Code::ConfigDuplicateName, &located.location, message);
        }
        values
    }

    /// Reads a required list of values, which must not be empty.
    pub(crate) fn required_list<T>(&self, key: &'static str) -> Vec<Located<T>>
    where
        T: FromValue + Ord + Clone,
    {
        if self.require_key(key) && self.list_is_empty(key) {
            self.add_problem(Code::ConfigMissingKey, key, "the list is empty");
        }
        self.list(key)
    }

    /// Opens an optional table.
    pub(crate) fn table(&self, key: &'static str) -> Option<TableReader<'r, 'i>> {
        let value = self.get(key)?;
        self.open_table(value, self.child_location(key, value))
    }

    /// Opens a table without marking its key as read or reporting problems, for a table that is
    /// also read by other code.
    pub(crate) fn peek_table(&self, key: &str) -> Option<TableReader<'r, 'i>> {
        let value = self.table.get(key)?;
        let table = value.get_ref().as_table()?;
        Some(TableReader::new(
            self.log,
            table,
            self.child_location(key, value),
        ))
    }

    /// Opens every table of a list; a missing list counts as empty.
    pub(crate) fn tables(&self, key: &'static str) -> Vec<TableReader<'r, 'i>> {
        self.elements(key)
            .into_iter()
            .filter_map(|(value, location)| self.open_table(value, location))
            .collect()
    }

    /// Reads every entry of a table whose keys the operator chooses freely.
    pub(crate) fn entries<T: FromValue>(&self) -> Vec<(String, Located<T>)> {
        let entry = |key: &Spanned<DeString<'i>>, value: &Spanned<DeValue<'i>>| {
            let name = key.get_ref().as_ref().to_owned();
            let located = self.convert(value, self.child_location(&name, value))?;
            Some((name, located))
        };
        self.table
            .iter()
            .filter_map(|(key, value)| entry(key, value))
            .collect()
    }

    /// Returns whether a required key is present, and reports it if not.
    pub(crate) fn require_key(&self, key: &'static str) -> bool {
        let is_present = self.has_key(key);
        if !is_present {
            let message = format!("`{key}` is missing");
            self.log
                .add(Code::ConfigMissingKey, &self.location, message);
        }
        is_present
    }

    /// Reports every key of the table that was not read.
    pub(crate) fn finish(self) {
        let read_keys = self.read_keys.borrow();
        for key in self.table.keys() {
            let name = key.get_ref().as_ref();
            if read_keys.contains(&name) {
                continue;
            }
            let hint = nearest_name(name, read_keys.iter().copied())
                .map_or_else(String::new, |known| format!("; did you mean `{known}`?"));
            let location = self.location_at(name, key.span().start);
            let message = format!("no key is named `{name}`{hint}");
            self.log.add(Code::ConfigUnknownKey, &location, message);
        }
    }

    /// Returns a key's value and records the key as a known one.
    pub(super) fn get(&self, key: &'static str) -> Option<&'r Spanned<DeValue<'i>>> {
        self.read_keys.borrow_mut().push(key);
        self.table.get(key)
    }

    fn elements(&self, key: &'static str) -> Vec<(&'r Spanned<DeValue<'i>>, Location)> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let DeValue::Array(array) = value.get_ref() else {
            let message = wrong_type("a list", value.get_ref());
            self.add_problem(Code::ConfigBadValue, key, message);
            return Vec::new();
        };
        let location = |position: usize, element: &Spanned<DeValue<'_>>| {
            self.location_at(&format!("{key}[{position}]"), element.span().start)
        };
        array
            .iter()
            .enumerate()
            .map(|(position, element)| (element, location(position, element)))
            .collect()
    }

    fn convert<T: FromValue>(
        &self,
        value: &Spanned<DeValue<'i>>,
        location: Location,
    ) -> Option<Located<T>> {
        match T::from_value(value.get_ref()) {
            Ok(value) => Some(Located { value, location }),
            Err(message) => {
                self.log.add(Code::ConfigBadValue, &location, message);
                None
            }
        }
    }

    fn open_table(
        &self,
        value: &'r Spanned<DeValue<'i>>,
        location: Location,
    ) -> Option<TableReader<'r, 'i>> {
        if let DeValue::Table(table) = value.get_ref() {
            return Some(TableReader::new(self.log, table, location));
        }
        let message = wrong_type("a table", value.get_ref());
        self.log.add(Code::ConfigBadValue, &location, message);
        None
    }

    fn child_location(&self, key: &str, value: &Spanned<DeValue<'_>>) -> Location {
        self.location_at(key, value.span().start)
    }

    fn location_at(&self, key: &str, offset: usize) -> Location {
        let parent = &self.location.path;
        let path = if parent.is_empty() {
            key.to_owned()
        } else {
            format!("{parent}.{key}")
        };
        Location {
            source: self.location.source,
            offset,
            path,
        }
    }
}
