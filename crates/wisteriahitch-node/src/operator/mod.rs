//! HTTP API for operators.

mod config;
mod dump;
mod explain;
mod handler;
mod question;
mod status;

pub(crate) use handler::OperatorHandler;
