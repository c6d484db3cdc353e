//! Tables that answer quickly what the plain data would answer by a scan.

use std::collections::HashMap;
use std::sync::OnceLock;

use wisteriahitch_types::{EndpointId, KeyHash, ServiceName, WorkspaceId};

use super::Configuration;

/// Holds the look-up tables of a [`Configuration`], built at first use.
///
/// A clone starts without tables, so that one which is changed after cloning never answers from
/// the tables of the original. Change the fields of a configuration before its first look-up.
#[derive(Debug, Default)]
pub struct Lookup {
    tables: OnceLock<Tables>,
}

/// Positions within the lists of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    /// Workspace of each key.
    pub(crate) workspaces: HashMap<KeyHash, WorkspaceId>,
    /// Service of each endpoint and position in it.
    pub(crate) endpoints: HashMap<EndpointId, (ServiceName, usize)>,
    /// Rules that name a workspace, by workspace, in their order.
    pub(crate) rules_of: HashMap<WorkspaceId, Vec<usize>>,
    /// Rules that name no workspace, in their order.
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
    /// Two look-ups never differ by themselves, since they follow from the other fields.
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
