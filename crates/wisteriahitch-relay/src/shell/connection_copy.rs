//! Copies bytes between the two connections of a forwarded connection, and closes or resets them.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Size of the copy buffer of one direction.
const COPY_BUFFER_BYTES: usize = 8 * 1024;

/// Maximum wait for the daemon to close its side after the endpoint has. Until then, what the daemon
/// still sends is read, since unread bytes would turn the close into a reset.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How a forwarded connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CopyOutcome {
    /// The endpoint closed its side in order, and all that either side sent was passed on.
    EndpointClosed,
    /// The endpoint closed its side in order before all that the daemon sent could be passed on. All that
    /// the endpoint sent was.
    EndpointClosedEarly,
    /// The connection to the endpoint was reset or timed out.
    EndpointBroke,
    /// The daemon closed its side in order.
    DaemonClosed,
    /// The connection to the daemon was reset or timed out.
    DaemonBroke,
}

/// Why copying in one direction ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CopyEnd {
    /// The source closed its connection.
    SourceClosed,
    SourceBroke,
    TargetBroke,
}

/// Copies bytes in both directions until one side ends. `received` is what the daemon has sent
/// already.
pub(super) async fn copy_both(
    daemon: &TcpStream,
    endpoint: &TcpStream,
    received: &[u8],
) -> CopyOutcome {
    let is_sending = AtomicBool::new(true);
    let up = async {
        match write_all(endpoint, received).await {
            Ok(()) => copy(daemon, endpoint, &is_sending).await,
            Err(_) => CopyEnd::TargetBroke,
        }
    };
    let is_answering = AtomicBool::new(false);
    let down = copy(endpoint, daemon, &is_answering);
    tokio::pin!(up, down);
    tokio::select! {
        end = &mut up => match end {
            CopyEnd::SourceClosed => return CopyOutcome::DaemonClosed,
            CopyEnd::SourceBroke => return CopyOutcome::DaemonBroke,
            CopyEnd::TargetBroke => {}
        },
        end = &mut down => return match end {
            CopyEnd::SourceClosed => {
                let is_pending = is_sending.load(Ordering::Relaxed) || has_unread(daemon);
                match is_pending || !matches!(endpoint.take_error(), Ok(None)) {
                    true => CopyOutcome::EndpointClosedEarly,
                    false => CopyOutcome::EndpointClosed,
                }
            }
            CopyEnd::SourceBroke => CopyOutcome::EndpointBroke,
            CopyEnd::TargetBroke => CopyOutcome::DaemonBroke,
        },
        // `up` doesn't notice it while it waits for an endpoint that doesn't read.
        _ = daemon.ready(Interest::ERROR) => return CopyOutcome::DaemonBroke,
    }
    // The endpoint takes no more, but what it sent before is still passed on. The system has reported
    // the error to the write, so reads may end as if the endpoint had closed its side in order.
    tokio::select! {
        _ = down => {}
        () = discard(daemon) => {}
    }
    CopyOutcome::EndpointBroke
}

/// Closes the connection to the daemon in order after everything that was written to it has been sent.
///
/// If it closed with bytes unread, the system would reset it and discard what the daemon hasn't
/// received. Bytes that were on their way when the endpoint closed its side, and an endpoint that resets
/// its connection, show that the endpoint hasn't got the whole call: the daemon learns that by a
/// reset behind the end, as it would without a forwarder.
pub(super) async fn close_in_order(daemon: TcpStream, endpoint: TcpStream) {
    reset_on_close(&daemon, false);
    if socket2::SockRef::from(&daemon)
        .shutdown(Shutdown::Write)
        .is_err()
    {
        return;
    }
    let mut byte = [0];
    let is_call_cut = async {
        tokio::select! {
            sent = read(&daemon, &mut byte) => sent.is_ok_and(|length| length > 0),
            _ = endpoint.ready(Interest::ERROR) => true,
        }
    };
    // A daemon that is content with the answer closes its side by then in the usual case.
    if timeout(CLOSE_TIMEOUT, is_call_cut).await.unwrap_or(false) {
        reset_on_close(&daemon, true);
    }
}

/// Waits at most [`CLOSE_TIMEOUT`] for the daemon to end a connection, and resets it.
///
/// The daemon gets all that was written. What is complete by itself needs no end of the connection, and
/// anything else must not seem to be.
pub(super) async fn reset_after_reading(stream: TcpStream) {
    reset_on_close(&stream, true);
    // The connection ends either way.
    let _ = timeout(CLOSE_TIMEOUT, discard(&stream)).await;
}

/// Returns whether bytes wait to be read from a connection.
fn has_unread(from: &TcpStream) -> bool {
    let peeked = socket2::SockRef::from(from).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_ok_and(|length| length > 0)
}

/// Reads from a connection until its peer ends it.
async fn discard(from: &TcpStream) {
    let mut buffer = vec![0; COPY_BUFFER_BYTES];
    while read(from, &mut buffer).await.is_ok_and(|read| read > 0) {}
}

/// Sets whether a connection closes with a reset, without sending what the peer hasn't received.
pub(super) fn reset_on_close(stream: &TcpStream, is_reset: bool) {
    let linger = is_reset.then_some(Duration::ZERO);
    // If the option can't be set, the socket is disconnected already.
    let _ = socket2::SockRef::from(stream).set_linger(linger);
}

/// Copies bytes until either connection ends. `is_writing` is set while bytes that were read are not yet
/// written.
async fn copy(from: &TcpStream, to: &TcpStream, is_writing: &AtomicBool) -> CopyEnd {
    let mut buffer = vec![0; COPY_BUFFER_BYTES];
    loop {
        is_writing.store(false, Ordering::Relaxed);
        let length = match read(from, &mut buffer).await {
            Ok(0) => return CopyEnd::SourceClosed,
            Ok(length) => length,
            Err(_) => return CopyEnd::SourceBroke,
        };
        is_writing.store(true, Ordering::Relaxed);
        if write_all(to, &buffer[..length]).await.is_err() {
            return CopyEnd::TargetBroke;
        }
    }
}

async fn read(from: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        from.readable().await?;
        match from.try_read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

async fn write_all(to: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
