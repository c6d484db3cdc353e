//! Runs this daemon's replica of the configuration.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use wisteriahitch_core::fleet::{
    ConfigCommand, ConfigEvent, ConfigReplica, ConfigSettings, HeadObject,
};
use wisteriahitch_types::DurationUs;
use wisteriahitch_wire::platform::{Object, ObjectKind, ObjectVersion, PlatformError};

use super::objects::{HEAD_NAME, parse_head, read_section};
use crate::shared::Shared;

/// Maximum duration of one watch call on the head.
const WATCH_TIMEOUT_US: DurationUs = DurationUs::from_ms(20_000);

/// Backoff after a failed watch call.
const WATCH_RETRY_BACKOFF: std::time::Duration = std::time::Duration::from_millis(500);

/// The replica and its watch on the head.
///
/// Where both locks are needed, the replica is locked before the members.
pub(crate) struct ConfigState {
    /// Stored and active versions of the configuration.
    pub(crate) replica: Mutex<ConfigReplica>,
    /// Serializes the activation of configurations.
    pub(super) activation_lock: Mutex<()>,
    watch: Mutex<Option<CancellationToken>>,
}

impl ConfigState {
    /// Creates an empty replica.
    pub(crate) fn new() -> Self {
        let replica = ConfigReplica::new(ConfigSettings::default());
        Self {
            replica: Mutex::new(replica),
            activation_lock: Mutex::new(()),
            watch: Mutex::new(None),
        }
    }
}

impl Shared {
    /// Runs the replica's time-dependent work.
    pub(crate) fn tick_config(self: &Arc<Self>) {
        self.handle_config_event(ConfigEvent::Tick);
    }

    /// Passes an event to the replica and executes the commands that it returns.
    pub(crate) fn handle_config_event(self: &Arc<Self>, event: ConfigEvent) {
        let now = self.clock.now();
        let commands = {
            let mut replica = self.config.replica.lock();
            replica.handle(event, now, &self.fleet.members.lock())
        };
        self.execute_config_commands(commands);
    }

    /// Executes the commands of the replica.
    pub(crate) fn execute_config_commands(self: &Arc<Self>, commands: Vec<ConfigCommand>) {
        for command in commands {
            match command {
                ConfigCommand::Apply { head, sections } => self.apply_config(&head, &sections),
                ConfigCommand::WatchHead(is_wanted) => self.watch_head(is_wanted),
                ConfigCommand::Report { code, version } => {
                    log::error!("{code} configuration {version}: {}", code.summary());
                }
                command => {
                    tokio::spawn(execute_command(Arc::clone(self), command));
                }
            }
        }
    }

    fn watch_head(self: &Arc<Self>, is_wanted: bool) {
        let mut watch = self.config.watch.lock();
        if let Some(running) = watch.take() {
            running.cancel();
        }
        if is_wanted {
            let token = self.end.child_token();
            *watch = Some(token.clone());
            tokio::spawn(watch_until_cancelled(Arc::clone(self), token));
        }
    }

    fn apply_head_read(self: &Arc<Self>, read: Result<Option<Object>, PlatformError>) {
        let event = match read {
            Ok(None) => ConfigEvent::StoreHead(None),
            Ok(Some(object)) => match parse_head(&object) {
                Ok(head) => ConfigEvent::StoreHead(Some(head)),
                Err(error) => {
                    log::error!("the head doesn't parse: {error}");
                    ConfigEvent::StoreHeadCorrupt
                }
            },
            Err(error) => {
                log::debug!("the head can't be read: {error}");
                ConfigEvent::StoreFailed
            }
        };
        self.handle_config_event(event);
    }

    /// Returns the latest head for which all sections are stored here, if any.
    pub(crate) fn complete_head(&self) -> Option<HeadObject> {
        self.config.replica.lock().stored_head().cloned()
    }
}

async fn watch_until_cancelled(shared: Arc<Shared>, token: CancellationToken) {
    let mut last_version = ObjectVersion::default();
    loop {
        let platform = &shared.clients.platform;
        let watching = platform.watch(
            ObjectKind::ConfigHead,
            HEAD_NAME,
            last_version,
            WATCH_TIMEOUT_US,
        );
        let read = tokio::select! {
            () = token.cancelled() => return,
            read = watching => read,
        };
        match read {
            Ok(None) => {}
            Ok(Some(object)) => {
                last_version = object.version;
                shared.apply_head_read(Ok(Some(object)));
            }
            Err(error) => {
                shared.apply_head_read(Err(error));
                tokio::time::sleep(WATCH_RETRY_BACKOFF).await;
            }
        }
    }
}

async fn execute_command(shared: Arc<Shared>, command: ConfigCommand) {
    match command {
        ConfigCommand::ReadHead => {
            let read = shared
                .clients
                .platform
                .get(ObjectKind::ConfigHead, HEAD_NAME)
                .await;
            shared.apply_head_read(read);
        }
        ConfigCommand::ReadSection(hash) => {
            let read = read_section(&*shared.clients.platform, hash).await;
            let event = match read {
                Ok(Some(text)) => ConfigEvent::SectionRead { hash, text },
                Ok(None) | Err(_) => ConfigEvent::SectionFailed(hash),
            };
            shared.handle_config_event(event);
        }
        ConfigCommand::PullHead { peer, after } => shared.pull_head(peer, after).await,
        ConfigCommand::PullSections { peer, wanted } => shared.pull_sections(peer, &wanted).await,
        ConfigCommand::Push {
            peer,
            change,
            sections,
        } => {
            shared.push_config(peer, &change, &sections).await;
        }
        ConfigCommand::Apply { .. }
        | ConfigCommand::WatchHead(_)
        | ConfigCommand::Report { .. } => {}
    }
}
