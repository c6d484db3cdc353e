//! What becomes of a part of an endpoint's answer.

use super::DropReason;

/// Says what to do with the head of an endpoint's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadVerdict {
    /// It is the awaited one: tokens may follow.
    Pass,
    /// It is not the awaited one: read no more of this answer.
    Drop(DropReason),
    /// The endpoint uses other weights than the request was decided for: cancel this attempt and
    /// call [`StreamCheck::on_break`](super::StreamCheck::on_break).
    WrongVersion,
}

/// Says what to do with a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenVerdict {
    /// Pass it on.
    Pass,
    /// Pass it on and end the answer: it is whole.
    PassLast,
    /// Leave it out; the stream goes on.
    Drop(DropReason),
    /// A token before it is missing: cancel this attempt and call [`StreamCheck::on_break`](super::StreamCheck::on_break), which
    /// may ask for the rest again.
    Missing,
}
