//! Waiting for a state with a generous bound.

use std::time::Duration;

const PAUSE: Duration = Duration::from_millis(50);
const MAX_LOOKS: usize = 1_200;

/// Waits until `is_reached` says so, and fails the test if it never does.
pub(crate) async fn wait_until(what: &str, mut is_reached: impl AsyncFnMut() -> bool) {
    for _ in 0..MAX_LOOKS {
        if is_reached().await {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("waited in vain for {what}");
}
