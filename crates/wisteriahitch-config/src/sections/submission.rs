//! Checks of a submission beyond those of the resulting configuration.

use wisteriahitch_types::Code;

use super::{Section, SectionName, Sections, canonical};
use crate::draft::Draft;
use crate::read::ProblemLog;

/// Maximum size of a section as the JSON text that the platform stores. The platform's limit is one
/// megabyte, part of which the object around the text takes.
const MAX_SECTION_BYTES: usize = 990_000;
/// Maximum size of the list of all sections' names and hashes, which the head object stores.
const MAX_SECTION_LIST_BYTES: usize = 900_000;
/// Size of an entry of that list without the name: the hash, quotes and commas.
const SECTION_ENTRY_OVERHEAD_BYTES: usize = 80;

impl Sections {
    /// Reports workspaces to remove that are not in force: after a typo in the name, the customer's
    /// keys would stay valid.
    pub(super) fn check_removed_workspaces(&self, draft: &Draft, log: &ProblemLog<'_>) {
        for id in &draft.removed_workspaces {
            let name = SectionName::Workspace(id.value.clone());
            if self.get(&name).is_none() {
                let message = format!("no workspace in force is named \"{}\"", id.value);
                log.add(Code::ConfigUnknownName, &id.location, message);
            }
        }
    }

    /// Reports workspaces in force that a text for the whole site omits.
    ///
    /// An operator who deletes a workspace from such a text expects it to be removed; one who adds
    /// a workspace to the text of the rules expects all others to stay. Either guess would be wrong
    /// for some customers, so the submission must be explicit.
    pub(super) fn check_omitted_workspaces(&self, submitted: &Self, log: &ProblemLog<'_>) {
        let is_whole_site = submitted.get(&SectionName::Site).is_some() && submitted.len() > 1;
        if !is_whole_site {
            return;
        }
        for name in self.sections.keys() {
            let SectionName::Workspace(id) = name else {
                continue;
            };
            if submitted.get(name).is_some() || submitted.removed_workspaces.contains(id) {
                continue;
            }
            let message = format!(
                "the workspace {id} is in force but not in the text; add it, name it in \
                 `removed_workspaces`, or submit workspaces and the rest apart"
            );
            log.add(Code::ConfigContradiction, &log.submission_start(), message);
        }
    }

    /// Reports a list of sections that is too large for the head object.
    pub(super) fn check_section_list_size(&self, log: &ProblemLog<'_>) {
        let names = self.sections.keys();
        let bytes: usize = names
            .map(|name| name.to_string().len() + SECTION_ENTRY_OVERHEAD_BYTES)
            .sum();
        if bytes > MAX_SECTION_LIST_BYTES {
            let message = format!(
                "the list of {} section names and hashes takes {bytes} bytes, more than \
                 {MAX_SECTION_LIST_BYTES}",
                self.len()
            );
            log.add(Code::ConfigTooLarge, &log.submission_start(), message);
        }
    }
}

/// Splits a submission that was read without problems, and reports problems of its sections.
pub(super) fn split_draft(text: &str, draft: &Draft, log: &ProblemLog<'_>) -> Sections {
    let removed_workspaces = draft.removed_workspaces.iter().map(|id| id.value.clone());
    let mut sections = Sections {
        removed_workspaces: removed_workspaces.collect(),
        ..Sections::default()
    };
    let split = canonical::split(text).unwrap_or_else(|error| {
        log.add(Code::ConfigSyntax, &log.submission_start(), error.message());
        Vec::new()
    });
    for (name, section) in split {
        check_section_size(&name, &section, log);
        sections.sections.insert(name, section);
    }
    if sections.is_empty() && sections.removed_workspaces.is_empty() {
        let message = "the text changes nothing";
        log.add(Code::ConfigMissingKey, &log.submission_start(), message);
    }
    check_given_and_removed(&sections, draft, log);
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
        log.add(Code::ConfigTooLarge, &log.submission_start(), message);
    }
}

fn check_given_and_removed(sections: &Sections, draft: &Draft, log: &ProblemLog<'_>) {
    for id in &draft.removed_workspaces {
        let name = SectionName::Workspace(id.value.clone());
        if sections.get(&name).is_some() {
            let message = format!("the workspace {} is both given and removed", id.value);
            log.add(Code::ConfigContradiction, &id.location, message);
        }
    }
}
