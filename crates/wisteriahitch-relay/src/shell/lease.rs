//! The lease under which orders are given, as an object of the platform's store.

use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wisteriahitch_core::fleet::{
    LeaseCommand, LeaseEvent, LeaseGroup, LeaseHolder, LeaseObject, LeaseSettings, LeaseTable,
    Member, MemberAddresses, MemberState, Membership, MembershipSettings, WriteFailure,
};
use wisteriahitch_types::{ConfigVersion, DurationUs, Incarnation, TimeUs};
use wisteriahitch_wire::object_store::{ObjectRole, Revision, StoredObject, UnreadableKind};
use wisteriahitch_wire::platform::{PlatformError, PlatformErrorKind};

use super::shared::Shared;
use super::store_updates::note_unreadable;
use crate::observe::Event;
use crate::settings::RelaySettings;

/// How long the lease lasts. A holder that dies is replaced after this time and the time that must
/// lie between orders of two holders; both have to fit into the eight seconds in which requests
/// may still begin on old weights.
const LEASE_TERM_US: DurationUs = DurationUs::from_ms(1_100);

/// What must be left of the lease when it is renewed. A slow store answers within 330 ms.
const RENEW_BEFORE_US: DurationUs = DurationUs::from_ms(700);

/// Part of the term that isn't used, for the way of an order to its endpoint.
const LEASE_MARGIN_US: DurationUs = DurationUs::from_ms(250);

/// Time between two reads of a lease that another daemon holds.
const LEASE_READ_US: DurationUs = DurationUs::from_ms(300);

/// Longest times that a lease in the store is believed to have. All daemons use about the same ones, a
/// tenth of this and less, and a lease that never ends would end all orders.
const LONGEST_BELIEVED_US: DurationUs = DurationUs::from_ms(30_000);

/// Name of a holder that can't be read.
const UNKNOWN_HOLDER: &str = "unknown";

/// Added to the time that must lie between orders of two holders.
const HANDOVER_SLACK_MS: u64 = 400;

/// Builds the daemon's leases.
pub(crate) fn lease_table(settings: &RelaySettings, incarnation: Incarnation) -> LeaseTable {
    let holder = LeaseHolder {
        daemon: settings.id.clone(),
        incarnation,
    };
    let settings = LeaseSettings {
        term_us: LEASE_TERM_US,
        renew_before_us: RENEW_BEFORE_US,
        // A new holder waits for so long after a lease that wasn't released.
        order_timeout_us: order_timeout(settings),
        margin_us: LEASE_MARGIN_US,
        read_interval_us: LEASE_READ_US,
    };
    LeaseTable::new(holder, settings)
}

/// The table of leases asks a membership who is responsible; here that is told to it directly.
pub(super) fn lone_member(shared: &Shared) -> Membership {
    let listen = &shared.settings.listen;
    let me = Member {
        daemon: shared.settings.id.clone(),
        incarnation: shared.incarnation,
        update_number: 1,
        state: MemberState::Alive,
        addresses: MemberAddresses {
            caller: listen.callers,
            peer: listen.callers,
            operator: listen.callers,
        },
        availability_zone: shared.settings.zone.clone(),
        config_version: ConfigVersion::new(0),
        load_permille: 0,
        changed_at_us: TimeUs::ZERO,
        is_vm_leaving: false,
    };
    Membership::new(
        MembershipSettings::default(),
        me,
        ChaCha8Rng::seed_from_u64(0),
    )
}

/// Makes a call of the store that the leases ask for, and tells them what came of it.
pub(super) async fn call(shared: Arc<Shared>, members: Arc<Membership>, command: LeaseCommand) {
    let event = match command {
        LeaseCommand::Read(group) => read(&shared, group).await,
        LeaseCommand::Write {
            group,
            object,
            expected,
        } => write(&shared, group, object, expected).await,
    };
    shared.leases.lock().handle(event, shared.now(), &members);
}

async fn read(shared: &Shared, group: LeaseGroup) -> LeaseEvent {
    let read = shared
        .borders
        .store
        .get(ObjectRole::Leases, &group.to_string())
        .await;
    match read {
        Ok(object) => {
            let object = object.map(|object| parse(shared, &group, object));
            LeaseEvent::Read { group, object }
        }
        Err(error) => {
            shared.log.write(&Event::Failure {
                what: "reading the lease",
                detail: error.to_string(),
            });
            LeaseEvent::ReadFailed(group)
        }
    }
}

/// Reads a lease.
///
/// One that can't be read is taken for that of a holder nobody knows, with the usual times: it is
/// taken over like that of a holder which has died, and no sooner. Its fencing number is the object's
/// revision, which is known all the same. Taken for a failed call, it would end all orders for as
/// long as it lies there.
fn parse(shared: &Shared, group: &LeaseGroup, object: StoredObject) -> (LeaseObject, u64) {
    let order_timeout_us = order_timeout(&shared.settings);
    let lease = match serde_json::from_value::<LeaseObject>(object.content) {
        Ok(lease) => LeaseObject {
            term_us: lease.term_us.min(LONGEST_BELIEVED_US),
            order_timeout_us: lease.order_timeout_us.min(LONGEST_BELIEVED_US),
            ..lease
        },
        Err(error) => {
            let kind = UnreadableKind::Field;
            let name = group.to_string();
            note_unreadable(shared, ObjectRole::Leases, &name, kind, error.to_string());
            LeaseObject {
                holder: unknown_holder(),
                write_number: 0,
                term_us: LEASE_TERM_US,
                order_timeout_us,
            }
        }
    };
    (lease, object.revision.0)
}

fn unknown_holder() -> Option<LeaseHolder> {
    Some(LeaseHolder {
        daemon: UNKNOWN_HOLDER.parse().ok()?,
        incarnation: Incarnation::new(0),
    })
}

/// Returns the time that must lie between orders of two holders.
fn order_timeout(settings: &RelaySettings) -> DurationUs {
    DurationUs::from_ms(settings.rollout.lease_ms + HANDOVER_SLACK_MS)
}

async fn write(
    shared: &Shared,
    group: LeaseGroup,
    object: LeaseObject,
    expected: u64,
) -> LeaseEvent {
    let write_number = object.write_number;
    let name = group.to_string();
    let content = serde_json::to_value(&object).unwrap_or_default();
    let store = &shared.borders.store;
    let written = match expected {
        0 => store.create(ObjectRole::Leases, &name, content).await,
        _ => {
            let expected = Revision(expected);
            store
                .replace(ObjectRole::Leases, &name, content, expected)
                .await
        }
    };
    match written {
        Ok(object) => LeaseEvent::Written {
            group,
            write_number,
            object_version: object.revision.0,
        },
        Err(error) => {
            shared.log.write(&Event::Failure {
                what: "writing the lease",
                detail: error.to_string(),
            });
            LeaseEvent::WriteFailed {
                group,
                write_number,
                failure: failure(&error),
            }
        }
    }
}

fn failure(error: &PlatformError) -> WriteFailure {
    match error.kind() {
        PlatformErrorKind::AlreadyExists
        | PlatformErrorKind::Conflict
        | PlatformErrorKind::NotFound => WriteFailure::Conflict,
        PlatformErrorKind::AnswerLost | PlatformErrorKind::Malformed => WriteFailure::Lost,
        _ => WriteFailure::Unavailable,
    }
}
