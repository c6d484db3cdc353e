//! Executes the tier core's commands at store VMs and engines.

use std::sync::Arc;

use wisteriahitch_core::tier::{TierCommand, TierEvent};

use super::engine_calls::{export, import};
use super::store_calls::{move_block, pin, release, reserve};
use crate::shared::Shared;

/// Executes one command and reports the result to the tier core.
pub(crate) async fn run(shared: Arc<Shared>, command: TierCommand) {
    let event = match command {
        TierCommand::Pin { .. } => pin(&shared, command).await,
        TierCommand::Import { .. } => import(&shared, command).await,
        TierCommand::Reserve { .. } => reserve(&shared, command).await,
        TierCommand::Export { .. } => export(&shared, command).await,
        TierCommand::Move { .. } => move_block(&shared, command).await,
        TierCommand::Unpin { .. } | TierCommand::Free { .. } => {
            release(&shared, command).await;
            None
        }
        TierCommand::Proceed { .. } => None,
    };
    if let Some(event) = event {
        count(&shared, &event);
        shared.handle_tier_event(event);
    }
}

fn count(shared: &Shared, event: &TierEvent) {
    let outcome = match event {
        TierEvent::Imported { result: Ok(()), .. } => "imported",
        TierEvent::Imported { .. } => "import_failed",
        TierEvent::Exported { result: Ok(_), .. } => "exported",
        TierEvent::Exported { .. } => "export_failed",
        _ => return,
    };
    shared.metrics.transfers.with_label_values(&[outcome]).inc();
}
