//! Indexes that replace scans of the configuration.

use std::collections::HashMap;
use std::sync::OnceLock;

use wisteriahitch_types::{EndpointId, KeyHash, ServiceName, WorkspaceId};

use super::Configuration;

/// Indexes of a [`Configuration`], built at first use.
///
/// A clone starts without indexes, so that a clone that is then changed never uses those of the
/// original. Don't change the fields of a configuration after its first lookup.
#[derive(Debug, Default)]
pub struct Lookup {
    tables: OnceLock<Tables>,
}

/// The indexes; positions count from 0 in the lists of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    /// Workspace that each key hash belongs to.
    pub(crate) workspaces: HashMap<KeyHash, WorkspaceId>,
    /// Service of each endpoint, and the position in its list of endpoints.
    pub(crate) endpoints: HashMap<EndpointId, (ServiceName, usize)>,
    /// Ascending positions of the rules that name each workspace.
    pub(crate) rules_of: HashMap<WorkspaceId, Vec<usize>>,
    /// Ascending positions of the rules that name no workspace.
    pub(crate) general_rules: Vec<usize>,
}

impl Lookup {
    pub(crate) fn tables(&self, configuration: &Configuration) -> &Tables {
        self.tables.get_or_init(|| Tables::build(configuration))
    }
}

impl Clone for Lookup {
    fn clone(&self) -> Self {
        Self::default()
    }
}

impl PartialEq for Lookup {
    /// Always equal, since the indexes are derived from the other fields of the configuration.
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Tables {
    fn build(configuration: &Configuration) -> Self {
        let mut tables = Self::default();
        for workspace in configuration.workspaces.values() {
            for key in &workspace.key_hashes {
                tables.workspaces.insert(*key, workspace.id.clone());
            }
        }
        for service in configuration.services.values() {
            for (position, endpoint) in service.endpoints.iter().enumerate() {
                let found = (service.name.clone(), position);
                tables.endpoints.insert(endpoint.id.clone(), found);
            }
        }
        for (position, rule) in configuration.rules.iter().enumerate() {
            if rule.when.workspaces.is_empty() {
                tables.general_rules.push(position);
            }
            for workspace in &rule.when.workspaces {
                let rules = tables.rules_of.entry(workspace.clone()).or_default();
                rules.push(position);
            }
        }
        tables
    }
}
