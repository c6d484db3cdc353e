//! The link of a store, which all transfers share in the order of their arrival.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Mutex;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep_until;
use wisteriahitch_types::{ByteCount, ByteRate};
use wisteriahitch_wire::store::LinkReport;

use crate::shared::{Freeze, Pacer};

/// Size of the chunks that transfers are paced by; a new slow factor applies from the next chunk.
const CHUNK_BYTES: usize = 64 * 1024;

/// Link of limited rate that carries one transfer at a time.
#[derive(Debug)]
pub(super) struct Link {
    rate_bytes_per_s: ByteRate,
    slow_factor: AtomicU64,
    queued_bytes: AtomicU64,
    sent_bytes: AtomicU64,
    /// Locked by the current transfer; waiting transfers get the lock in the order of arrival.
    pacer: Mutex<Pacer>,
}

impl Link {
    pub(super) fn new(rate_bytes_per_s: ByteRate) -> Self {
        Self {
            rate_bytes_per_s,
            slow_factor: AtomicU64::new(1),
            queued_bytes: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            pacer: Mutex::new(Pacer::new()),
        }
    }

    pub(super) fn set_slow_factor(&self, factor: u32) {
        let factor = u64::from(factor.max(1));
        self.slow_factor.store(factor, Ordering::Relaxed);
    }

    pub(super) fn report(&self) -> LinkReport {
        LinkReport {
            rate_bytes_per_s: self.rate_bytes_per_s,
            queued_bytes: ByteCount::new(self.queued_bytes.load(Ordering::Relaxed)),
            sent_bytes: ByteCount::new(self.sent_bytes.load(Ordering::Relaxed)),
        }
    }

    /// Waits until `content` has been transferred, and sends each transferred chunk to the given
    /// channel, if any.
    ///
    /// Stops early if the receiver of the channel is dropped; dropping the future stops it too.
    pub(super) async fn transfer(
        &self,
        content: Bytes,
        freeze: &Freeze,
        sent_chunks: Option<&UnboundedSender<Bytes>>,
    ) {
        let mut queued_transfer = QueuedTransfer::new(self, content.len() as u64);
        let mut pacer = self.pacer.lock().await;
        let mut remaining = content;
        while !remaining.is_empty() {
            let chunk = remaining.split_to(CHUNK_BYTES.min(remaining.len()));
            freeze.wait_until_thawed().await;
            sleep_until(pacer.schedule(self.transfer_time(&chunk))).await;
            queued_transfer.record_sent(chunk.len() as u64);
            if sent_chunks.is_some_and(|sender| sender.send(chunk).is_err()) {
                return;
            }
        }
    }

    fn transfer_time(&self, chunk: &Bytes) -> Duration {
        let at_full_rate = self
            .rate_bytes_per_s
            .time_for(ByteCount::new(chunk.len() as u64));
        let factor = self.slow_factor.load(Ordering::Relaxed);
        Duration::from_micros(at_full_rate.get().saturating_mul(factor))
    }
}

/// Adds the unsent bytes of one transfer to the link's queue until it is dropped.
struct QueuedTransfer<'a> {
    link: &'a Link,
    remaining_bytes: u64,
}

impl<'a> QueuedTransfer<'a> {
    fn new(link: &'a Link, bytes: u64) -> Self {
        link.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        Self {
            link,
            remaining_bytes: bytes,
        }
    }

    fn record_sent(&mut self, bytes: u64) {
        self.remaining_bytes -= bytes;
        self.link.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.link.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl Drop for QueuedTransfer<'_> {
    fn drop(&mut self) {
        let remaining = self.remaining_bytes;
        self.link
            .queued_bytes
            .fetch_sub(remaining, Ordering::Relaxed);
    }
}

/// Transfers `content` in a separate task, so that a reader that stalls delays no other transfer.
///
/// `guard` is dropped when the transfer ends.
pub(super) fn send_over(
    link: Arc<Link>,
    freeze: Arc<Freeze>,
    content: Bytes,
    sent_chunks: UnboundedSender<Bytes>,
    guard: impl Send + 'static,
) {
    tokio::spawn(async move {
        tokio::select! {
            () = link.transfer(content, &freeze, Some(&sent_chunks)) => {}
            () = sent_chunks.closed() => {}
        }
        drop(guard);
    });
}
