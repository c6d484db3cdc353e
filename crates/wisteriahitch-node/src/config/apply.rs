//! Putting a configuration in force.

use std::sync::Arc;

use wisteriahitch_config::{Configuration, Section, Sections};
use wisteriahitch_core::fleet::{ConfigEvent, HeadObject, MembershipEvent};
use wisteriahitch_types::ConfigVersion;

use super::objects::build_sections;
use crate::shared::{InForce, Shared};

impl Shared {
    /// Builds a configuration from its sections and puts it in force.
    ///
    /// One that can't be built is told to the replica, and the last good one stays: a damaged
    /// object must not leave the site without rules.
    pub(crate) fn apply_config(self: &Arc<Self>, head: &HeadObject, sections: &[Section]) {
        let built = build_sections(head, sections)
            .map_err(|error| error.to_string())
            .and_then(|built| match built.assemble() {
                Ok(configuration) => Ok((built, configuration)),
                Err(report) => Err(report.to_string()),
            });
        match built {
            Ok((sections, configuration)) => {
                self.put_in_force(head.version, sections, configuration);
            }
            Err(detail) => {
                log::error!("configuration {} can't be built: {detail}", head.version);
                self.step_config(ConfigEvent::Rejected(head.version));
            }
        }
    }

    fn put_in_force(
        self: &Arc<Self>,
        version: ConfigVersion,
        sections: Sections,
        configuration: Configuration,
    ) {
        let current = self.in_force.load_full();
        // Two appliers may finish in the other order than they began; the higher version stays.
        if current.is_some_and(|current| current.version >= version) {
            return;
        }
        let now = self.clock.now();
        let daemons = self.fleet.members.lock().workers().count();
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX).max(1);
        self.router.lock().endpoints.configured(&configuration, now);
        self.tiers.with(|tiers| tiers.configured(&configuration));
        self.admission.configured(&configuration, daemons, now);
        let in_force = InForce {
            version,
            sections,
            configuration,
        };
        self.in_force.store(Some(Arc::new(in_force)));
        self.metrics
            .config_version
            .set(i64::try_from(version.get()).unwrap_or(i64::MAX));
        self.step_members(MembershipEvent::ConfigApplied(version));
        log::info!("configuration {version} is in force");
    }
}
