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
pub struct ConfigurationIndexes {
    built: OnceLock<Indexes>,
}

/// The indexes; positions count from 0 in the lists of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Indexes {
    /// Workspace that each key hash belongs to.
    pub(crate) workspace_by_key_hash: HashMap<KeyHash, WorkspaceId>,
    /// Service of each endpoint, and the position in its list of endpoints.
    pub(crate) endpoint_positions: HashMap<EndpointId, (ServiceName, usize)>,
    /// Ascending positions of the rules that name each workspace.
    pub(crate) rules_by_workspace: HashMap<WorkspaceId, Vec<usize>>,
    /// Ascending positions of the rules that name no workspace.
    pub(crate) rules_without_workspace: Vec<usize>,
}

impl ConfigurationIndexes {
    pub(crate) fn get_or_build(&self, configuration: &Configuration) -> &Indexes {
        self.built.get_or_init(|| Indexes::build(configuration))
    }
}

impl Clone for ConfigurationIndexes {
    fn clone(&self) -> Self {
        Self::default()
    }
}

impl PartialEq for ConfigurationIndexes {
    /// Always equal, since the indexes are derived from the other fields of the configuration.
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Indexes {
    fn build(configuration: &Configuration) -> Self {
        let mut indexes = Self::default();
        for workspace in configuration.workspaces.values() {
            for key in &workspace.key_hashes {
                indexes
                    .workspace_by_key_hash
                    .insert(*key, workspace.id.clone());
            }
        }
        for service in configuration.services.values() {
            for (position, endpoint) in service.endpoints.iter().enumerate() {
                let service_and_position = (service.name.clone(), position);
                indexes
                    .endpoint_positions
                    .insert(endpoint.id.clone(), service_and_position);
            }
        }
        for (position, rule) in configuration.rules.iter().enumerate() {
            if rule.when.workspaces.is_empty() {
                indexes.rules_without_workspace.push(position);
            }
            for workspace in &rule.when.workspaces {
                let rules = indexes
                    .rules_by_workspace
                    .entry(workspace.clone())
                    .or_default();
                rules.push(position);
            }
        }
        indexes
    }
}
