//! Requests that may not be repeated: tickets, claims and kept answers.
