//! Results of checking heads and tokens of an endpoint's answer.

use super::DropReason;

/// What to do with the head of an endpoint's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadVerdict {
    /// The head is the expected one; its tokens can be checked next.
    Pass,
    /// The head is not the expected one; read no more of this answer.
    Drop(DropReason),
    /// The endpoint uses another weight version than the request was routed for: cancel this
    /// attempt and call [`StreamCheck::on_break`](super::StreamCheck::on_break).
    WrongVersion,
}

/// What to do with a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenVerdict {
    /// Pass the token on.
    Pass,
    /// Pass the token on and end the answer, which is complete.
    PassLast,
    /// Do not pass the token on; continue reading the stream.
    Drop(DropReason),
    /// A token before this one is missing: cancel this attempt and call
    /// [`StreamCheck::on_break`](super::StreamCheck::on_break), which may request the rest again.
    Missing,
}
