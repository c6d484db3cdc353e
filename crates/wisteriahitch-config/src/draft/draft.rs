//! A configuration that has been read but not yet checked as a whole.

use toml::de::DeTable;
use wisteriahitch_types::{AvailabilityZone, WorkspaceId};

use super::{DraftRule, NameLocations, limits, model, names, rule, service, store, workspace};
use crate::read::{Located, Location, ProblemLog, TableReader};
use crate::{Limits, Model, Service, Store, Workspace};

/// Key of the list of workspaces that a submission removes.
pub(crate) const REMOVED_WORKSPACES_KEY: &str = "removed_workspaces";

/// A configuration before its names are resolved. An entry that could not be read is left out, but
/// its name still counts as defined, so that one problem doesn't cause others.
#[derive(Debug, Default)]
pub(crate) struct Draft {
    pub(crate) availability_zones: Vec<AvailabilityZone>,
    pub(crate) limits: Limits,
    pub(crate) models: Vec<Model>,
    pub(crate) stores: Vec<Store>,
    pub(crate) services: Vec<Service>,
    pub(crate) workspaces: Vec<Workspace>,
    pub(crate) rules: Vec<DraftRule>,
    /// Names that the texts define.
    pub(crate) defined: NameLocations,
    /// Names that the texts refer to.
    pub(crate) used: NameLocations,
    /// Availability zones of endpoints and store VMs.
    pub(crate) endpoint_and_store_zones: Vec<Located<AvailabilityZone>>,
    /// Workspaces that the submission removes.
    pub(crate) removed_workspaces: Vec<Located<WorkspaceId>>,
    /// Whether a source text could not be parsed, so that names that it defines are missing.
    pub(crate) has_unparsed_source: bool,
}

impl Draft {
    /// Reads every source text of the log.
    pub(crate) fn read(log: &ProblemLog<'_>) -> Self {
        let mut draft = Self::default();
        for source in 0..log.sources().len() {
            match log.parse(source) {
                Some(table) => draft.read_table(log, source, &table),
                None => draft.has_unparsed_source = true,
            }
        }
        draft
    }

    fn read_table(&mut self, log: &ProblemLog<'_>, source: usize, table: &DeTable<'_>) {
        let location = Location {
            source,
            ..Location::default()
        };
        let top = TableReader::new(log, table, location);
        self.read_zones(&top);
        limits::read(&top, self);
        model::read_all(&top, self);
        store::read_all(&top, self);
        service::read_all(&top, self);
        workspace::read_all(&top, self);
        rule::read_all(&top, self);
        self.removed_workspaces
            .extend(top.list(REMOVED_WORKSPACES_KEY));
        top.finish();
    }

    fn read_zones(&mut self, top: &TableReader<'_, '_>) {
        let zones = top.list("availability_zones");
        self.availability_zones.extend(names::values(&zones));
        self.defined.availability_zones.extend(zones);
    }
}
