//! A process that stops to answer without closing its connections.

use tokio::sync::watch;

/// Holds back everything that waits for it while it is set.
#[derive(Debug, Default)]
pub(crate) struct Freeze(watch::Sender<bool>);

impl Freeze {
    /// Freezes or thaws.
    pub(crate) fn set(&self, is_frozen: bool) {
        self.0.send_replace(is_frozen);
    }

    /// Returns once nothing is frozen.
    pub(crate) async fn wait_until_thawed(&self) {
        let mut receiver = self.0.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = receiver.wait_for(|is_frozen| !is_frozen).await;
    }
}
