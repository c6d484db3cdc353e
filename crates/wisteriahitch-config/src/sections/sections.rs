//! Splitting, merging and checking the sections of a configuration.

use std::collections::{BTreeMap, BTreeSet};

use wisteriahitch_types::WorkspaceId;

use super::submission::split_draft;
use super::{Section, SectionChange, SectionName};
use crate::check::{check, check_defined_once};
use crate::draft::Draft;
use crate::read::{ProblemLog, Source};
use crate::{Configuration, Report};

/// The sections of a configuration: `site`, and one for each workspace.
///
/// A change of one workspace replaces only its section, and a mistake in it leaves all other
/// sections unchanged (`docs/design/configuration.md`).
///
/// ```
/// use wisteriahitch_config::{SectionName, Sections};
///
/// let site = Sections::split(r#"
///     [[rules]]
///     name = "closed"
///     then.refuse = { reason = "Closed." }
/// "#).expect("the text is valid");
/// let sections = site.accept(r#"
///     [[workspaces]]
///     id = "kandy-01"
///     key_hashes = ["000102030405060708090a0b0c0d0e0f"]
///     store_bytes = 1000000
/// "#).expect("the text is valid").0;
/// assert_eq!(sections.get(&SectionName::Site), site.get(&SectionName::Site));
/// assert_eq!(sections.len(), 2);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Sections {
    pub(super) sections: BTreeMap<SectionName, Section>,
    /// Workspaces that a submission removes; always empty for sections in force.
    pub(super) removed_workspaces: BTreeSet<WorkspaceId>,
}

impl Sections {
    /// Parses a submission and splits it into sections. It may hold only workspaces, or none.
    ///
    /// Names are not resolved here, since the submission may hold only some of the sections:
    /// [`Sections::accept`] checks it together with the sections it is merged into.
    ///
    /// # Errors
    ///
    /// Reports all problems that can be found in the submission on its own.
    pub fn split(text: &str) -> Result<Self, Report> {
        let log = ProblemLog::new(vec![Source::submitted(text)]);
        let draft = Draft::read(&log);
        check_defined_once(&draft, &log);
        let split = log.is_empty().then(|| split_draft(text, &draft, &log));
        log.finish(split)
    }

    /// Combines the sections into a configuration and checks it.
    ///
    /// # Errors
    ///
    /// Reports all problems, each with its location in the text of its section.
    pub fn assemble(&self) -> Result<Configuration, Report> {
        let nothing = Self::default();
        let log = ProblemLog::new(self.sources(&nothing).collect());
        let draft = Draft::read(&log);
        let checked = check(draft, &log);
        log.finish(checked)
    }

    /// Returns these sections with the submitted ones added or replaced, and without the workspaces
    /// that the submission names under `removed_workspaces`.
    ///
    /// All other sections are unchanged: omitting a workspace from a text never removes it.
    pub fn merge(&self, submitted: &Self) -> Self {
        let mut merged = self.clone();
        for id in &submitted.removed_workspaces {
            let name = SectionName::Workspace(id.clone());
            merged.sections.remove(&name);
        }
        let added = submitted.sections.iter();
        let added = added.map(|(name, section)| (name.clone(), section.clone()));
        merged.sections.extend(added);
        merged
    }

    /// Checks a submission together with these sections, and returns the merged sections and the
    /// configuration that they form. These sections stay unchanged.
    ///
    /// # Errors
    ///
    /// Reports all problems, each with its location in the submitted text or in a section in force.
    pub fn accept(&self, text: &str) -> Result<(Self, Configuration), Report> {
        let submitted = Self::split(text)?;
        let merged = self.merge(&submitted);
        // The submitted text comes last, so that a duplicate name is reported in it.
        let mut sources: Vec<_> = merged.sources(&submitted).collect();
        sources.push(Source::submitted(text));
        let log = ProblemLog::new(sources);
        merged.check_section_list_size(&log);
        self.check_omitted_workspaces(&submitted, &log);
        let draft = Draft::read(&log);
        self.check_removed_workspaces(&draft, &log);
        let checked = check(draft, &log);
        log.finish(checked.map(|configuration| (merged.clone(), configuration)))
    }

    /// Returns the changes from these sections to `after`: additions, then changes, then removals,
    /// each in the order of the names.
    pub fn changes_to(&self, after: &Self) -> Vec<SectionChange> {
        let removed = self
            .sections
            .keys()
            .filter(|name| after.get(name).is_none());
        let mut changes: Vec<SectionChange> =
            removed.cloned().map(SectionChange::Removed).collect();
        for (name, section) in &after.sections {
            match self.get(name) {
                None => changes.push(SectionChange::Added(name.clone())),
                Some(before) if before != section => {
                    changes.push(SectionChange::Changed(name.clone()))
                }
                Some(_) => {}
            }
        }
        changes.sort();
        changes
    }

    /// Adds a section, or replaces the one with this name.
    pub fn insert(&mut self, name: SectionName, section: Section) {
        self.sections.insert(name, section);
    }

    /// Removes the section with this name and returns it.
    pub fn remove(&mut self, name: &SectionName) -> Option<Section> {
        self.sections.remove(name)
    }

    /// Returns the section with this name.
    pub fn get(&self, name: &SectionName) -> Option<&Section> {
        self.sections.get(name)
    }

    /// Returns all sections in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&SectionName, &Section)> {
        self.sections.iter()
    }

    /// Returns the number of sections.
    pub fn len(&self) -> usize {
        self.sections.len()
    }

    /// Returns whether there are no sections.
    pub fn is_empty(&self) -> bool {
        self.sections.is_empty()
    }

    /// Returns the sections as texts to check, except those that are also in `replaced`.
    fn sources<'a>(&'a self, replaced: &'a Self) -> impl Iterator<Item = Source<'a>> {
        let unreplaced = |(name, section): (&SectionName, &'a Section)| {
            let is_unreplaced = !replaced.sections.contains_key(name);
            is_unreplaced.then(|| Source {
                section: Some(name.clone()),
                text: section.text(),
            })
        };
        self.sections.iter().filter_map(unreplaced)
    }
}
