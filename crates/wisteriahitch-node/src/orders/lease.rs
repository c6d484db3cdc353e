//! Reads and writes leases at the platform.

use std::sync::Arc;

use wisteriahitch_core::fleet::{LeaseCommand, LeaseEvent, LeaseGroup, LeaseObject, WriteFailure};
use wisteriahitch_wire::platform::{FailedWrite, ObjectKind, ObjectVersion, PlatformError};

use crate::shared::Shared;

impl Shared {
    /// Passes an event to the lease table and executes the commands that it returns.
    pub(super) fn handle_lease_event(self: &Arc<Self>, event: LeaseEvent) {
        let now = self.clock.now();
        let commands = {
            let members = self.fleet.members.lock();
            self.orders.leases.lock().handle(event, now, &members)
        };
        for command in commands {
            tokio::spawn(execute_command(Arc::clone(self), command));
        }
    }
}

async fn execute_command(shared: Arc<Shared>, command: LeaseCommand) {
    let event = match command {
        LeaseCommand::Read(group) => read(&shared, group).await,
        LeaseCommand::Write {
            group,
            object,
            expected,
        } => write(&shared, group, object, expected).await,
    };
    shared.handle_lease_event(event);
}

async fn read(shared: &Shared, group: LeaseGroup) -> LeaseEvent {
    match shared
        .clients
        .platform
        .get(ObjectKind::Lease, &group.to_string())
        .await
    {
        Ok(None) => LeaseEvent::Read {
            group,
            object: None,
        },
        Ok(Some(object)) => match serde_json::from_value::<LeaseObject>(object.spec) {
            Ok(content) => LeaseEvent::Read {
                group,
                object: Some((content, object.version.get())),
            },
            Err(error) => {
                log::error!("the lease {group} doesn't parse: {error}");
                LeaseEvent::ReadFailed(group)
            }
        },
        Err(error) => {
            log::debug!("the lease {group} can't be read: {error}");
            LeaseEvent::ReadFailed(group)
        }
    }
}

async fn write(
    shared: &Shared,
    group: LeaseGroup,
    object: LeaseObject,
    expected: u64,
) -> LeaseEvent {
    let write_number = object.write_number;
    let Ok(spec) = serde_json::to_value(&object) else {
        let failure = WriteFailure::Unavailable;
        return LeaseEvent::WriteFailed {
            group,
            write_number,
            failure,
        };
    };
    let platform = &shared.clients.platform;
    let name = group.to_string();
    let written = match expected {
        0 => platform.create(ObjectKind::Lease, &name, spec).await,
        expected => {
            let version = ObjectVersion::new(expected);
            platform
                .update(ObjectKind::Lease, &name, spec, version)
                .await
        }
    };
    match written {
        Ok(object) => {
            let object_version = object.version.get();
            LeaseEvent::Written {
                group,
                write_number,
                object_version,
            }
        }
        Err(error) => {
            let failure = write_failure(&error);
            LeaseEvent::WriteFailed {
                group,
                write_number,
                failure,
            }
        }
    }
}

fn write_failure(error: &PlatformError) -> WriteFailure {
    match error.failed_write() {
        FailedWrite::Conflict => WriteFailure::Conflict,
        FailedWrite::NotWritten => WriteFailure::Unavailable,
        FailedWrite::Unknown => WriteFailure::Lost,
    }
}
