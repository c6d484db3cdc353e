//! Attempts at endpoints.

pub(crate) mod completion_call;
pub(crate) mod completion_run;
pub(crate) mod import;
pub(crate) mod plain_call;
pub(crate) mod transfer;
