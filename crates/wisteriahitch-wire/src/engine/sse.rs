//! Parser of server-sent events, as engines stream their tokens.

use bytes::{Buf, BytesMut};

/// Longest line that is taken, in bytes; a token's text with its JSON is far shorter.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Largest data of one event, in bytes, over all its lines.
const MAX_EVENT_BYTES: usize = 256 * 1024;

const DATA_FIELD: &[u8] = b"data";

/// Reports a stream that isn't made of server-sent events.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SseError {
    /// A line has more than 64 KiB.
    #[error("a line of the event stream is longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// The data of one event has more than 256 KiB.
    #[error("an event has more than {MAX_EVENT_BYTES} bytes of data")]
    EventTooLarge,
    /// A line isn't UTF-8.
    #[error("a line of the event stream is not UTF-8")]
    NotUtf8,
}

/// Cuts an event stream into the data of its events, whatever pieces it arrives in.
///
/// Only the field `data` is looked at; engines send nothing else that matters. Memory is bounded:
/// a broken engine that never ends a line would otherwise fill the daemon, which one would notice
/// only when the VM runs out of memory.
///
/// # Examples
///
/// ```
/// use wisteriahitch_wire::engine::SseParser;
///
/// let mut parser = SseParser::default();
/// parser.push(b"data: one\n\ndata: tw")?;
/// assert_eq!(parser.next_event()?, Some("one".to_owned()));
/// assert_eq!(parser.next_event()?, None);
/// parser.push(b"o\n\n")?;
/// assert_eq!(parser.next_event()?, Some("two".to_owned()));
/// # Ok::<(), wisteriahitch_wire::engine::SseError>(())
/// ```
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: BytesMut,
    /// Bytes at the start of `buffer` that are known to hold no end of a line.
    searched: usize,
    data: Option<String>,
    /// Whether the last line ended in a carriage return, whose line feed may still come.
    is_after_return: bool,
}

impl SseParser {
    /// Takes the next piece of the stream.
    ///
    /// The piece itself is kept until its events are taken, so callers take all events before they
    /// push again.
    ///
    /// # Errors
    ///
    /// A line that is already longer than 64 KiB is refused.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), SseError> {
        let has_long_line = self.searched > MAX_LINE_BYTES;
        if has_long_line {
            return Err(SseError::LineTooLong);
        }
        self.buffer.extend_from_slice(piece);
        Ok(())
    }

    /// Returns the data of the next whole event, or nothing until more of the stream is pushed.
    ///
    /// # Errors
    ///
    /// After an error the stream can't be read any further.
    pub fn next_event(&mut self) -> Result<Option<String>, SseError> {
        while let Some(line) = self.next_line()? {
            if !line.is_empty() {
                self.take_field(&line)?;
                continue;
            }
            if let Some(data) = self.data.take() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Returns how many bytes are held.
    pub fn held_bytes(&self) -> usize {
        self.buffer.len() + self.data.as_ref().map_or(0, String::len)
    }

    fn next_line(&mut self) -> Result<Option<BytesMut>, SseError> {
        self.skip_line_feed();
        let rest = &self.buffer[self.searched..];
        let end = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r'));
        let Some(end) = end.map(|found| found + self.searched) else {
            self.searched = self.buffer.len();
            check_line_length(self.searched)?;
            return Ok(None);
        };
        check_line_length(end)?;
        let line = self.buffer.split_to(end);
        self.is_after_return = self.buffer[0] == b'\r';
        self.buffer.advance(1);
        self.searched = 0;
        Ok(Some(line))
    }

    fn skip_line_feed(&mut self) {
        if !self.is_after_return || self.buffer.is_empty() {
            return;
        }
        self.is_after_return = false;
        if self.buffer[0] == b'\n' {
            self.buffer.advance(1);
        }
    }

    fn take_field(&mut self, line: &[u8]) -> Result<(), SseError> {
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(colon.unwrap_or(line.len()));
        if name != DATA_FIELD {
            return Ok(());
        }
        let value = value.strip_prefix(b":").unwrap_or(value);
        let value = value.strip_prefix(b" ").unwrap_or(value);
        let value = str::from_utf8(value).map_err(|_| SseError::NotUtf8)?;
        self.add_data(value)
    }

    fn add_data(&mut self, value: &str) -> Result<(), SseError> {
        let Some(data) = &mut self.data else {
            self.data = Some(value.to_owned());
            return Ok(());
        };
        if data.len() + value.len() >= MAX_EVENT_BYTES {
            return Err(SseError::EventTooLarge);
        }
        data.push('\n');
        data.push_str(value);
        Ok(())
    }
}

fn check_line_length(length: usize) -> Result<(), SseError> {
    if length > MAX_LINE_BYTES {
        return Err(SseError::LineTooLong);
    }
    Ok(())
}
