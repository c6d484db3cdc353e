//! Decoding of a site's stored objects.

use wisteriahitch_wire::object_store::{StoredObject, UnreadableKind};

use crate::site::{Endpoint, SiteConfig, WantedWeights};

/// An object whose content isn't valid for its kind.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("object {name} can't be read: {reason}")]
pub struct DecodeError {
    /// Name of the object.
    pub name: String,
    /// Kind of the error.
    pub kind: UnreadableKind,
    /// Description of the error.
    pub reason: String,
}

/// Decodes a site's stored objects.
pub trait SiteCodec: Send + Sync {
    /// Decodes the configuration.
    fn decode_configuration(&self, object: &StoredObject) -> Result<SiteConfig, DecodeError>;

    /// Decodes an endpoint's registration.
    fn decode_endpoint(&self, object: &StoredObject) -> Result<Endpoint, DecodeError>;

    /// Decodes the wanted weights of a model.
    fn decode_weights(&self, object: &StoredObject) -> Result<WantedWeights, DecodeError>;
}
