//! The lease that permits a daemon to give orders, stored as an object of the platform's store.

use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wisteriahitch_core::fleet::{
    LeaseCommand, LeaseEvent, LeaseGroup, LeaseHolder, LeaseObject, LeaseSettings, LeaseTable,
    Member, MemberAddresses, MemberState, Membership, MembershipSettings, WriteFailure,
};
use wisteriahitch_types::{ConfigVersion, DurationUs, Incarnation, TimeUs};
use wisteriahitch_wire::object_store::{
    ObjectRole, Revision, StoreEpoch, StoredObject, UnreadableKind,
};
use wisteriahitch_wire::platform::{FailedWrite, PlatformError};

use super::shared::Shared;
use super::store_epoch::record_store_epoch;
use super::store_updates::log_unreadable_object;
use super::watch_state::STORE;
use crate::observe::Event;
use crate::settings::RelaySettings;

/// Duration of the lease. After the holder dies, a new one must wait for this time plus the
/// handover delay. Both must fit into the eight seconds in which requests may still start on old
/// weights.
const LEASE_TERM_US: DurationUs = DurationUs::from_ms(1_100);

/// Remaining time at which the lease is renewed. A slow store answers within 330 ms.
const LEASE_RENEW_BEFORE_US: DurationUs = DurationUs::from_ms(700);

/// Part of the term that isn't used, reserved for the transfer of an order to its endpoint.
const LEASE_MARGIN_US: DurationUs = DurationUs::from_ms(250);

/// Time between two reads of a lease that another daemon holds.
const LEASE_READ_INTERVAL_US: DurationUs = DurationUs::from_ms(300);

/// Upper bound for the durations in a stored lease. All daemons use similar durations of at most a
/// tenth of this, and a lease that never expires would stop all orders.
const MAX_STORED_DURATION_US: DurationUs = DurationUs::from_ms(30_000);

/// Name of the holder that stands for an unreadable lease.
const UNREADABLE_HOLDER: &str = "unknown";

/// Margin added to the minimum time between orders of two holders.
const HANDOVER_MARGIN_MS: u64 = 400;

/// Creates the daemon's lease table.
pub(crate) fn lease_table(settings: &RelaySettings, incarnation: Incarnation) -> LeaseTable {
    let holder = LeaseHolder {
        daemon: settings.id.clone(),
        incarnation,
    };
    let settings = LeaseSettings {
        term_us: LEASE_TERM_US,
        renew_before_us: LEASE_RENEW_BEFORE_US,
        // A new holder waits for this time if the previous lease wasn't released.
        order_timeout_us: handover_delay(settings),
        margin_us: LEASE_MARGIN_US,
        read_interval_us: LEASE_READ_INTERVAL_US,
    };
    LeaseTable::new(holder, settings)
}

/// Returns a membership that consists of this daemon alone. The lease table asks a membership which
/// daemon is responsible, but here the responsible daemon is set directly.
pub(super) fn standalone_membership(shared: &Shared) -> Membership {
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

/// Performs the store operation that a lease command asks for, and reports the result to the
/// leases.
pub(super) async fn run_lease_command(
    shared: Arc<Shared>,
    members: Arc<Membership>,
    command: LeaseCommand,
) {
    let epoch = shared.watches.epoch();
    let event = match command {
        LeaseCommand::Read(group) => read_lease(&shared, group, epoch).await,
        LeaseCommand::Write {
            group,
            object,
            expected,
        } => write_lease(&shared, group, object, expected, epoch).await,
    };
    record_store_epoch(&shared, shared.borders.store.epoch(), STORE);
    let event = match shared.watches.epoch() == epoch {
        true => event,
        false => outdated_event(event),
    };
    shared.leases.lock().handle(event, shared.now(), &members);
}

/// Returns the name of a lease's object in an epoch of the store.
///
/// A write that was given up may still be done after the store's return, if the revision that it
/// expects is given out again. With an object for each epoch it replaces no lease of the new one.
fn object_name(group: &LeaseGroup, epoch: StoreEpoch) -> String {
    match epoch == StoreEpoch::default() {
        true => group.to_string(),
        false => format!("{group}.{epoch}"),
    }
}

/// Returns what is known after a call for the object of an earlier epoch.
fn outdated_event(event: LeaseEvent) -> LeaseEvent {
    match event {
        LeaseEvent::Read { group, .. } => LeaseEvent::ReadFailed(group),
        LeaseEvent::Written {
            group,
            write_number,
            ..
        } => LeaseEvent::WriteFailed {
            group,
            write_number,
            failure: WriteFailure::Lost,
        },
        event => event,
    }
}

async fn read_lease(shared: &Shared, group: LeaseGroup, epoch: StoreEpoch) -> LeaseEvent {
    let name = object_name(&group, epoch);
    let read = shared.borders.store.get(ObjectRole::Leases, &name).await;
    match read {
        Ok(object) => {
            let object = object.map(|object| decode_lease(shared, &group, object));
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

/// Decodes a stored lease and returns it with its fencing number.
///
/// An unreadable lease is treated as held by an unknown daemon with the default durations, so it is
/// acquired like the lease of a dead holder, and no sooner. Its fencing number is the object's
/// revision with its epoch, which is known anyway. Treating it as a failed read would stop all orders for as long
/// as the object exists.
fn decode_lease(shared: &Shared, group: &LeaseGroup, object: StoredObject) -> (LeaseObject, u64) {
    let order_timeout_us = handover_delay(&shared.settings);
    let lease = match object.content.parse::<LeaseObject>() {
        Ok(lease) => LeaseObject {
            term_us: lease.term_us.min(MAX_STORED_DURATION_US),
            order_timeout_us: lease.order_timeout_us.min(MAX_STORED_DURATION_US),
            ..lease
        },
        Err(error) => {
            let kind = UnreadableKind::Field;
            let name = group.to_string();
            log_unreadable_object(shared, ObjectRole::Leases, &name, kind, error.to_string());
            LeaseObject {
                holder: unreadable_holder(),
                write_number: 0,
                term_us: LEASE_TERM_US,
                order_timeout_us,
                is_settled: false,
            }
        }
    };
    (lease, object.revision.get())
}

fn unreadable_holder() -> Option<LeaseHolder> {
    Some(LeaseHolder {
        daemon: UNREADABLE_HOLDER.parse().ok()?,
        incarnation: Incarnation::new(0),
    })
}

/// Returns the minimum time between orders of two lease holders.
pub(super) fn handover_delay(settings: &RelaySettings) -> DurationUs {
    DurationUs::from_ms(settings.rollout.lease_ms + HANDOVER_MARGIN_MS)
}

async fn write_lease(
    shared: &Shared,
    group: LeaseGroup,
    object: LeaseObject,
    expected: u64,
    epoch: StoreEpoch,
) -> LeaseEvent {
    let write_number = object.write_number;
    let name = object_name(&group, epoch);
    let content = serde_json::to_value(&object).unwrap_or_default();
    let store = &shared.borders.store;
    let written = match expected {
        0 => store.create(ObjectRole::Leases, &name, content).await,
        _ => {
            let expected = Revision::from_u64(expected);
            store
                .replace(ObjectRole::Leases, &name, content, expected)
                .await
        }
    };
    match written {
        Ok(object) => LeaseEvent::Written {
            group,
            write_number,
            object_version: object.revision.get(),
        },
        Err(error) => {
            shared.log.write(&Event::Failure {
                what: "writing the lease",
                detail: error.to_string(),
            });
            LeaseEvent::WriteFailed {
                group,
                write_number,
                failure: write_failure(&error),
            }
        }
    }
}

/// Returns what an error of the store says about the effect of the failed write.
fn write_failure(error: &PlatformError) -> WriteFailure {
    match error.failed_write() {
        FailedWrite::Conflict => WriteFailure::Conflict,
        FailedWrite::NotWritten => WriteFailure::Unavailable,
        FailedWrite::Unknown => WriteFailure::Lost,
    }
}
