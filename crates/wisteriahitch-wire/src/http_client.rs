//! HTTP client shared by the outside protocols.
