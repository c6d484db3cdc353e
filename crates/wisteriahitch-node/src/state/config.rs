//! The configuration: how it gets here and comes into force.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::json;
use wisteriahitch_config::{Configuration, SectionHash, SectionName, Sections};
use wisteriahitch_core::fleet::MembershipEvent;
use wisteriahitch_types::{Code, ConfigVersion, SubmissionId};
use wisteriahitch_wire::platform::{ObjectKind, Platform, PlatformErrorKind};

use crate::shared::{InForce, Shared};

/// Name of the one head object.
const HEAD_NAME: &str = "site";

/// Field of a section object that holds its text.
const TEXT_FIELD: &str = "text";

/// The object whose conditional update accepts a configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) version: ConfigVersion,
    pub(crate) sections: BTreeMap<SectionName, SectionHash>,
    pub(crate) history: Vec<(ConfigVersion, SubmissionId)>,
}

impl Shared {
    /// Puts a configuration in force unless one as high is.
    pub(crate) fn put_in_force(
        self: &Arc<Self>,
        version: ConfigVersion,
        sections: Sections,
        configuration: Configuration,
    ) {
        let current = self.in_force.load_full();
        if current.is_some_and(|current| current.version >= version) {
            return;
        }
        let now = self.clock.now();
        let daemons = self.fleet.members.lock().workers().count();
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX).max(1);
        self.router.lock().endpoints.configured(&configuration, now);
        self.tiers.with(|tiers| tiers.configured(&configuration));
        self.admission.configured(&configuration, daemons, now);
        let in_force = InForce { version, sections, configuration };
        self.in_force.store(Some(Arc::new(in_force)));
        self.metrics.config_version.set(i64::try_from(version.get()).unwrap_or(i64::MAX));
        self.step_members(MembershipEvent::ConfigApplied(version));
        log::info!("configuration {version} is in force");
    }

    /// Reads the head and what it names.
    pub(crate) async fn read_config(self: &Arc<Self>) {
        let platform = &self.outside.platform;
        let Ok(Some(object)) = platform.get(ObjectKind::ConfigHead, HEAD_NAME).await else {
            return;
        };
        let Ok(head) = serde_json::from_value::<Head>(object.spec) else {
            log::error!("{} the head does not parse", Code::ConfigCorrupt);
            return;
        };
        if self.in_force.load().as_ref().is_some_and(|c| c.version >= head.version) {
            return;
        }
        let mut sections = Sections::default();
        for (name, hash) in &head.sections {
            let found = platform.get(ObjectKind::ConfigSection, &hash.to_string()).await;
            let Ok(Some(object)) = found else { return };
            let text = object.spec[TEXT_FIELD].as_str().unwrap_or_default().to_owned();
            if sections.insert(name.clone(), *hash, text).is_err() {
                log::error!("{} a section does not fit its name", Code::ConfigCorrupt);
                return;
            }
        }
        match sections.assemble() {
            Ok(configuration) => self.put_in_force(head.version, sections, configuration),
            Err(report) => log::error!("{} {report}", Code::ConfigCorrupt),
        }
    }

    /// Writes a checked submission to the platform.
    pub(crate) async fn submit_config(
        self: &Arc<Self>,
        sections: &Sections,
        submission: SubmissionId,
    ) -> Result<ConfigVersion, Code> {
        let platform = &self.outside.platform;
        for (_, section) in sections.iter() {
            let spec = json!({ TEXT_FIELD: section.text() });
            let name = section.hash().to_string();
            match platform.create(ObjectKind::ConfigSection, &name, spec).await {
                Ok(_) => {}
                Err(error) if error.kind() == PlatformErrorKind::AlreadyExists => {}
                Err(error) => return Err(error.code()),
            }
        }
        let found = platform.get(ObjectKind::ConfigHead, HEAD_NAME).await;
        let object = found.map_err(|error| error.code())?;
        let mut head: Head = match &object {
            Some(object) => {
                serde_json::from_value(object.spec.clone()).map_err(|_| Code::ConfigCorrupt)?
            }
            None => Head::default(),
        };
        head.version = head.version.next();
        head.sections =
            sections.iter().map(|(name, section)| (name.clone(), section.hash())).collect();
        head.history.insert(0, (head.version, submission));
        let spec = serde_json::to_value(&head).map_err(|_| Code::Internal)?;
        let written = match object {
            Some(object) => {
                platform.update(ObjectKind::ConfigHead, HEAD_NAME, spec, object.version).await
            }
            None => platform.create(ObjectKind::ConfigHead, HEAD_NAME, spec).await,
        };
        match written {
            Ok(_) => Ok(head.version),
            Err(error) if error.is_outcome_unknown() => Err(Code::ConfigUnknown),
            Err(error) => match error.kind() {
                PlatformErrorKind::Conflict | PlatformErrorKind::AlreadyExists => {
                    Err(Code::ConfigConflict)
                }
                _ => Err(error.code()),
            },
        }
    }
}
