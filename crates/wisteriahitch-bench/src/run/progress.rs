//! Progress display on a terminal.

use std::io::{IsTerminal, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time between two updates of the display.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Numbers of requests so far.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    pub(crate) sent: AtomicU64,
    pub(crate) answered: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) failed: AtomicU64,
}

impl Progress {
    /// Shows the counts until the task is aborted, or returns if standard error is no terminal.
    pub(crate) async fn show(self: Arc<Self>, start: Instant, duration_s: u64) {
        if !std::io::stderr().is_terminal() {
            return;
        }
        loop {
            let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
            eprint!(
                "\r{:>3} of {duration_s} s: {} sent, {} answered, {} refused, {} failed ",
                start.elapsed().as_secs(),
                count(&self.sent),
                count(&self.answered),
                count(&self.refused),
                count(&self.failed),
            );
            let _ = std::io::stderr().flush();
            tokio::time::sleep(REFRESH_INTERVAL).await;
        }
    }
}
