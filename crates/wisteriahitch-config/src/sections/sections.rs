//! All sections of a configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wisteriahitch_types::{Code, WorkspaceId};

use super::{Change, Section, SectionHash, SectionMismatch, SectionName, canonical};
use crate::check::{check, check_defined_once};
use crate::draft::Draft;
use crate::read::{ProblemLog, Source};
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
    /// Workspaces that a submission takes out; empty but for a submission.
    removed: BTreeSet<WorkspaceId>,
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
        let draft = Draft::read(&log);
        check_defined_once(&draft, &log);
        let split = log.is_empty().then(|| split_read(text, &draft, &log));
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

    /// Returns these sections with the submitted ones in their places, and without the workspaces
    /// that the submission names under `removed_workspaces`.
    ///
    /// Every other section stays: a workspace is never lost because a text leaves it out.
    pub fn merge(&self, submitted: &Self) -> Self {
        let mut merged = self.clone();
        for id in &submitted.removed {
            let name = SectionName::Workspace(id.clone());
            merged.sections.remove(&name);
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
        let merged = self.merge(&submitted);
        // The submitted text comes last, so that a name given twice is reported there.
        let mut sources: Vec<_> = merged.sources(&submitted).collect();
        sources.push(Source::submitted(text));
        let log = ProblemLog::new(sources);
        merged.check_size(&log);
        self.check_left_out(&submitted, &log);
        let draft = Draft::read(&log);
        self.check_removed(&draft, &log);
        let checked = check(draft, &log);
        log.finish(checked.map(|configuration| (merged.clone(), configuration)))
    }

    /// Returns what differs in `after`, in the order of the names.
    pub fn changes_to(&self, after: &Self) -> Vec<Change> {
        let gone = self
            .sections
            .keys()
            .filter(|name| after.get(name).is_none());
        let mut changes: Vec<Change> = gone.cloned().map(Change::Removed).collect();
        for (name, section) in &after.sections {
            match self.get(name) {
                None => changes.push(Change::Added(name.clone())),
                Some(before) if before != section => changes.push(Change::Changed(name.clone())),
                Some(_) => {}
            }
        }
        changes.sort();
        changes
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

    /// Reports workspaces to be removed that are not in force, since a mistyped name would leave
    /// a customer's keys valid.
    fn check_removed(&self, draft: &Draft, log: &ProblemLog<'_>) {
        for id in &draft.removed {
            let name = SectionName::Workspace(id.value.clone());
            if self.get(&name).is_none() {
                let message = format!("no workspace in force is named \"{}\"", id.value);
                log.add(Code::ConfigUnknownName, &id.place, message);
            }
        }
    }

    /// Reports workspaces in force that a text for the whole site leaves out.
    ///
    /// An operator who deletes a workspace from such a text expects it gone, and one who adds a
    /// workspace to the text of the rules expects all others kept. Either guess would be wrong
    /// for somebody's customers, so the text has to say which.
    fn check_left_out(&self, submitted: &Self, log: &ProblemLog<'_>) {
        let is_whole = submitted.get(&SectionName::Site).is_some() && submitted.len() > 1;
        if !is_whole {
            return;
        }
        for name in self.sections.keys() {
            let SectionName::Workspace(id) = name else {
                continue;
            };
            if submitted.get(name).is_some() || submitted.removed.contains(id) {
                continue;
            }
            let message = format!(
                "the workspace {id} is in force but not in the text; add it, name it in \
                 `removed_workspaces`, or submit workspaces and the rest apart"
            );
            log.add(Code::ConfigContradiction, &log.top(), message);
        }
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
            log.add(Code::ConfigTooLarge, &log.top(), message);
        }
    }
}

fn split_read(text: &str, draft: &Draft, log: &ProblemLog<'_>) -> Sections {
    let removed = draft.removed.iter().map(|id| id.value.clone());
    let mut sections = Sections {
        removed: removed.collect(),
        ..Sections::default()
    };
    let split = canonical::split(text).unwrap_or_else(|error| {
        log.add(Code::ConfigSyntax, &log.top(), error.message());
        Vec::new()
    });
    for (name, section) in split {
        check_section_size(&name, &section, log);
        sections.sections.insert(name, section);
    }
    if sections.is_empty() && sections.removed.is_empty() {
        let message = "the text changes nothing";
        log.add(Code::ConfigMissingKey, &log.top(), message);
    }
    check_given_once(&sections, draft, log);
    sections
}

fn check_section_size(name: &SectionName, section: &Section, log: &ProblemLog<'_>) {
    let json = serde_json::to_string(section.text());
    let bytes = json.map_or(usize::MAX, |json| json.len());
    if bytes > MAX_SECTION_BYTES {
        let message = format!(
            "the section {name} takes {bytes} bytes; the platform's limit leaves room for \
             {MAX_SECTION_BYTES}"
        );
        log.add(Code::ConfigTooLarge, &log.top(), message);
    }
}

fn check_given_once(sections: &Sections, draft: &Draft, log: &ProblemLog<'_>) {
    for id in &draft.removed {
        let name = SectionName::Workspace(id.value.clone());
        if sections.get(&name).is_some() {
            let message = format!("the workspace {} is both given and removed", id.value);
            log.add(Code::ConfigContradiction, &id.place, message);
        }
    }
}
