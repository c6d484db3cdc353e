//! Simulation of a process that stops responding but keeps its connections open.

use tokio::sync::watch;

/// Switch that, while set, blocks every task in [`Freeze::wait_until_thawed`].
#[derive(Debug, Default)]
pub(crate) struct Freeze(watch::Sender<bool>);

impl Freeze {
    /// Sets or clears the switch.
    pub(crate) fn set(&self, is_frozen: bool) {
        self.0.send_replace(is_frozen);
    }

    /// Returns once the switch is cleared.
    pub(crate) async fn wait_until_thawed(&self) {
        let mut receiver = self.0.subscribe();
        // `self` owns the sender, so the wait can't fail.
        let _ = receiver.wait_for(|is_frozen| !is_frozen).await;
    }
}
