//! All sections of a configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use wisteriahitch_types::Code;

use super::{Section, SectionHash, SectionMismatch, SectionName, canonical};
use crate::check::check;
use crate::draft::Draft;
use crate::read::{Place, ProblemLog, Source};
use crate::{Configuration, Report};

/// Longest section, as the JSON text that the platform keeps; its limit is a megabyte, and the
/// object around the text takes some of it.
const MAX_SECTION_BYTES: usize = 990_000;
/// Longest list of all sections' names and hashes, which the head object holds.
const MAX_NAMES_BYTES: usize = 900_000;
/// What a section takes in the head beside its name: the hash, quotes and commas.
const NAME_OVERHEAD_BYTES: usize = 80;

/// Holds the sections of a configuration: `site`, and one for each workspace.
///
/// A change of one workspace moves that section alone, and a mistake in it is refused with all
/// other sections untouched (`docs/design/configuration.md`).
///
/// ```
/// use wisteriahitch_config::{SectionName, Sections};
///
/// let site = Sections::split(r#"
///     [[rules]]
///     name = "closed"
///     then.refuse = { reason = "Closed." }
/// "#).expect("the text is right");
/// let sections = site.accept(r#"
///     [[workspaces]]
///     id = "kandy-01"
///     key_hashes = ["000102030405060708090a0b0c0d0e0f"]
///     store_bytes = 1000000
/// "#).expect("the text is right").0;
/// assert_eq!(sections.get(&SectionName::Site), site.get(&SectionName::Site));
/// assert_eq!(sections.len(), 2);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Sections {
    sections: BTreeMap<SectionName, Section>,
}

impl Sections {
    /// Reads a submission and splits it; it may hold workspaces only, or no workspaces.
    ///
    /// Names are not resolved here, since the submission may be a part: [`Sections::accept`]
    /// checks it together with what it is merged into.
    ///
    /// # Errors
    ///
    /// Every fault that can be found in the submission by itself.
    pub fn split(text: &str) -> Result<Self, Report> {
        let log = ProblemLog::new(vec![Source::submitted(text)]);
        Draft::read(&log);
        let split = split_read(text, &log);
        log.finish(split)
    }

    /// Checks the whole that the sections make.
    ///
    /// # Errors
    ///
    /// Every fault, with its place in the text of its section.
    pub fn assemble(&self) -> Result<Configuration, Report> {
        let nothing = Self::default();
        let log = ProblemLog::new(self.sources(&nothing).collect());
        let draft = Draft::read(&log);
        let checked = check(draft, &log);
        log.finish(checked)
    }

    /// Returns these sections with the submitted ones in their places.
    ///
    /// A submission of workspaces alone, or of the site alone, leaves all other sections. One of
    /// both is a whole configuration: workspaces that it doesn't hold are gone.
    pub fn merge(&self, submitted: &Self) -> Self {
        let mut merged = self.clone();
        if submitted.is_whole() {
            merged.sections.clear();
        }
        let added = submitted.sections.iter();
        let added = added.map(|(name, section)| (name.clone(), section.clone()));
        merged.sections.extend(added);
        merged
    }

    /// Checks a submission together with these sections, and returns the merged sections and the
    /// configuration that they make. Nothing is changed where a fault is found.
    ///
    /// # Errors
    ///
    /// Every fault, with its place in the submitted text or in the section in force.
    pub fn accept(&self, text: &str) -> Result<(Self, Configuration), Report> {
        let submitted = Self::split(text)?;
        let kept = if submitted.is_whole() {
            Self::default()
        } else {
            self.clone()
        };
        let mut sources = vec![Source::submitted(text)];
        sources.extend(kept.sources(&submitted));
        let log = ProblemLog::new(sources);
        let merged = self.merge(&submitted);
        merged.check_size(&log);
        let draft = Draft::read(&log);
        let checked = check(draft, &log);
        log.finish(checked.map(|configuration| (merged, configuration)))
    }

    /// Adds a section that was fetched under a hash.
    ///
    /// # Errors
    ///
    /// The text doesn't have that hash; the section is not added.
    pub fn insert(
        &mut self,
        name: SectionName,
        expected: SectionHash,
        text: impl Into<Arc<str>>,
    ) -> Result<(), SectionMismatch> {
        let section = Section::new(text);
        let found = section.hash();
        if found != expected {
            return Err(SectionMismatch {
                name,
                expected,
                found,
            });
        }
        self.sections.insert(name, section);
        Ok(())
    }

    /// Removes a section and returns it.
    pub fn remove(&mut self, name: &SectionName) -> Option<Section> {
        self.sections.remove(name)
    }

    /// Returns a section.
    pub fn get(&self, name: &SectionName) -> Option<&Section> {
        self.sections.get(name)
    }

    /// Returns every section in the order of the names.
    pub fn iter(&self) -> impl Iterator<Item = (&SectionName, &Section)> {
        self.sections.iter()
    }

    /// Returns the number of sections.
    pub fn len(&self) -> usize {
        self.sections.len()
    }

    /// Returns whether there is no section.
    pub fn is_empty(&self) -> bool {
        self.sections.is_empty()
    }

    fn is_whole(&self) -> bool {
        self.sections.contains_key(&SectionName::Site) && self.len() > 1
    }

    /// Returns the sections as texts to check, without those that `replaced` holds.
    fn sources<'a>(&'a self, replaced: &'a Self) -> impl Iterator<Item = Source<'a>> {
        let kept = |(name, section): (&SectionName, &'a Section)| {
            let is_kept = !replaced.sections.contains_key(name);
            is_kept.then(|| Source {
                section: Some(name.clone()),
                text: section.text(),
            })
        };
        self.sections.iter().filter_map(kept)
    }

    fn check_size(&self, log: &ProblemLog<'_>) {
        let names = self.sections.keys();
        let bytes: usize = names
            .map(|name| name.to_string().len() + NAME_OVERHEAD_BYTES)
            .sum();
        if bytes > MAX_NAMES_BYTES {
            let message = format!("the names of {} sections take too much room", self.len());
            log.add(Code::ConfigTooLarge, &Place::default(), message);
        }
    }
}

fn split_read(text: &str, log: &ProblemLog<'_>) -> Option<Sections> {
    if !log.is_empty() {
        return None;
    }
    let mut sections = Sections::default();
    for (name, section) in canonical::split(text).ok()? {
        let bytes = serde_json::to_string(section.text()).map_or(usize::MAX, |json| json.len());
        if bytes > MAX_SECTION_BYTES {
            let message = format!(
                "the section {name} takes {bytes} bytes; the platform's limit leaves room for \
                 {MAX_SECTION_BYTES}"
            );
            log.add(Code::ConfigTooLarge, &Place::default(), message);
        }
        sections.sections.insert(name, section);
    }
    Some(sections)
}
