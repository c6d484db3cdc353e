//! What passes to the caller of a token stream.
