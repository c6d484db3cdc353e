//! Activates configurations.

use std::sync::Arc;

use wisteriahitch_config::{Configuration, Section, Sections};
use wisteriahitch_core::fleet::{ConfigEvent, HeadObject, MembershipEvent};
use wisteriahitch_types::ConfigVersion;

use super::objects::build_sections;
use crate::shared::{InForce, Shared};

impl Shared {
    /// Builds a configuration from its sections and activates it.
    ///
    /// If it can't be built, the replica is notified and the last valid configuration stays active:
    /// a damaged object must not leave the site without rules.
    pub(crate) fn apply_config(self: &Arc<Self>, head: &HeadObject, sections: &[Section]) {
        let built = build_sections(head, sections)
            .map_err(|error| error.to_string())
            .and_then(|built| match built.assemble() {
                Ok(configuration) => Ok((built, configuration)),
                Err(report) => Err(report.to_string()),
            });
        match built {
            Ok((sections, configuration)) => {
                self.activate_configuration(head.version, sections, configuration);
            }
            Err(detail) => {
                log::error!("configuration {} can't be built: {detail}", head.version);
                self.handle_config_event(ConfigEvent::Rejected(head.version));
            }
        }
    }

    fn activate_configuration(
        self: &Arc<Self>,
        version: ConfigVersion,
        sections: Sections,
        configuration: Configuration,
    ) {
        // Two activations may finish in the reverse order of their start. Without the lock, the
        // lower version could pass the check before the higher one is stored and then replace it,
        // and the daemon would stay on the old version until the next one. With the lock the higher
        // version stays.
        let _activation = self.config.activation_lock.lock();
        let current = self.in_force.load_full();
        if current.is_some_and(|current| current.version >= version) {
            return;
        }
        let now = self.clock.now();
        let daemons = self.count_daemons();
        self.router
            .lock()
            .endpoints
            .apply_endpoint_configuration(&configuration, now);
        self.tiers
            .with(|tiers| tiers.apply_configuration(&configuration));
        self.admission
            .apply_configuration(&configuration, daemons, now);
        let in_force = InForce {
            version,
            sections,
            configuration,
        };
        self.in_force.store(Some(Arc::new(in_force)));
        self.metrics
            .config_version
            .set(i64::try_from(version.get()).unwrap_or(i64::MAX));
        self.handle_membership_event(MembershipEvent::ConfigApplied(version));
        log::info!("configuration {version} is in force");
    }

    /// Divides the quotas anew after the number of daemons has changed.
    ///
    /// Otherwise a daemon that was alone when its configuration was activated would grant the whole
    /// of every quota for as long as that configuration is active, and so would each of its peers.
    pub(crate) fn update_quota_shares(&self) {
        let _activation = self.config.activation_lock.lock();
        let daemons = self.count_daemons();
        let Some(in_force) = self.in_force.load_full() else {
            return;
        };
        if self.admission.daemon_count_differs(daemons) {
            let now = self.clock.now();
            self.admission
                .apply_configuration(&in_force.configuration, daemons, now);
        }
    }

    /// Returns the number of daemons that share the site's work, including this one; at least 1.
    pub(crate) fn count_daemons(&self) -> u32 {
        let daemons = self.fleet.members.lock().workers().count();
        u32::try_from(daemons).unwrap_or(u32::MAX).max(1)
    }
}
