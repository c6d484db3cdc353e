//! Cuts a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event that is put together; engines of the deployments send some hundred bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Whole events, and what they say.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FramedEvents {
    /// Bytes of whole events, as they came.
    pub events: Bytes,
    /// Id of the last one.
    pub last_id: Option<u64>,
}

/// Says why a stream can't go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FramingError {
    /// An event is larger than any that is sent.
    #[error("an event is too large")]
    TooLarge,
    /// An event's id isn't above the one before.
    #[error("event ids don't increase")]
    OutOfOrder,
}

/// Puts events together from pieces that end anywhere.
///
/// An endpoint may break off in the middle of an event. Passed on at once, that half would stand
/// before the rest of the stream from elsewhere, and a caller would read the two as one event.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventFramer {
    /// Starts a stream that goes on after event `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Takes bytes and returns the events that are whole by now, if any are.
    pub fn push(&mut self, bytes: Bytes) -> Result<Option<FramedEvents>, FramingError> {
        let whole = if self.partial.is_empty() && ends_event(&bytes) {
            bytes
        } else {
            self.partial.extend_from_slice(&bytes);
            match end_of_last_event(&self.partial) {
                Some(end) => self.partial.split_to(end).freeze(),
                None if self.partial.len() > MAX_EVENT_BYTES => return Err(FramingError::TooLarge),
                None => return Ok(None),
            }
        };
        for id in event_ids(&whole) {
            if self.last_id.is_some_and(|last| id <= last) {
                return Err(FramingError::OutOfOrder);
            }
            self.last_id = Some(id);
        }
        Ok(Some(FramedEvents {
            events: whole,
            last_id: self.last_id,
        }))
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the stream stands between two events.
    pub fn is_between_events(&self) -> bool {
        self.partial.is_empty()
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n")
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let start = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(start + 2)
}

/// Returns the numeric ids of events.
fn event_ids(events: &[u8]) -> impl Iterator<Item = u64> {
    events.split(|byte| *byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
