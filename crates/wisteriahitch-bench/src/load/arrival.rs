//! One request of the load.

use std::fmt::Write;

use wisteriahitch::types::TokenCount;

use crate::site::ClassName;

/// Holds a request with the time at which it is to be sent, whatever became of those before it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, from the start of the run.
    pub at_us: u64,
    /// Workspace, by its number.
    pub workspace: usize,
    /// What is asked.
    pub request: LoadRequest,
}

/// Says what is asked.
#[derive(Clone, Debug)]
pub enum LoadRequest {
    /// A completion.
    Prompt(PromptRequest),
    /// A plain call.
    Plain {
        /// How it may be repeated.
        kind: PlainKind,
        /// Whether it is sent a second time, through another entry VM.
        is_duplicated: bool,
        /// Number of the path.
        path: usize,
    },
}

/// Says whether and how a plain call may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlainKind {
    /// It may be repeated.
    Lookup,
    /// It may not, and the system issued its key.
    Ticket,
    /// It may not, and the caller made its key.
    OwnKey,
}

/// Holds one visit of a conversation.
#[derive(Clone, Copy, Debug)]
pub struct PromptRequest {
    /// Kind.
    pub class: ClassName,
    /// Conversation; its text follows from this number.
    pub conversation: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the whole pieces that an earlier visit in this run had too; 0 at the first.
    pub reusable_tokens: u64,
    /// Whether it is a return.
    pub is_return: bool,
    /// Tokens to generate.
    pub answer_tokens: TokenCount,
}

impl PromptRequest {
    /// Returns the text; a later visit's text begins with that of the earlier ones.
    pub fn prompt(&self) -> String {
        let mut text = String::with_capacity(self.prompt_tokens as usize * 9);
        for number in 0..self.prompt_tokens {
            let _ = write!(text, "{:x}.{number:x} ", self.conversation);
        }
        text
    }
}
