//! A TOML reader that finds all problems of a text at once, each with its location.

mod location;
mod name_hint;
mod problem_log;
mod source;
mod table_numbers;
mod table_reader;
mod value;

pub(crate) use location::{Located, Location};
pub(crate) use name_hint::nearest_name;
pub(crate) use problem_log::ProblemLog;
pub(crate) use source::Source;
pub(crate) use table_numbers::{DurationKeys, duration_keys};
pub(crate) use table_reader::TableReader;
pub(crate) use value::FromValue;
