//! How a site's objects look.

use wisteriahitch_wire::object_store::{StoredObject, UnreadableKind};

use crate::site::{Endpoint, SiteConfig, WantedWeights};

/// Reports an object whose content isn't what its kind should hold.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("object {name} can't be read: {reason}")]
pub struct DecodeError {
    /// Name of the object.
    pub name: String,
    /// Kind of the fault.
    pub kind: UnreadableKind,
    /// What is wrong.
    pub reason: String,
}

/// Reads a site's objects.
pub trait SiteCodec: Send + Sync {
    /// Reads the configuration.
    fn decode_configuration(&self, object: &StoredObject) -> Result<SiteConfig, DecodeError>;

    /// Reads an endpoint's registration.
    fn decode_endpoint(&self, object: &StoredObject) -> Result<Endpoint, DecodeError>;

    /// Reads what weights are wanted.
    fn decode_weights(&self, object: &StoredObject) -> Result<WantedWeights, DecodeError>;
}
