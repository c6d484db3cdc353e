//! What calls may have in common that can crash the endpoints which run them.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{KeyHash, ParseIdError, WorkspaceId};

use super::{PromptShape, RequestFingerprint};

/// Maximum number of prompt parts of a call that count as its attributes. More of them would let
/// one call fill the tables; the first ones are shared by most calls.
const MAX_PARTS: usize = 32;

/// Domain separation from other hashes over the same bytes.
const SCOPE_CONTEXT: &str = "wisteriahitch prompt part scope v1";

/// Prefix of the text form of [`CallAttribute::PromptPart`]. Request fingerprints are hexadecimal
/// and have none.
const PART_PREFIX: &str = "part-";

/// A property that a call may have in common with others, and under which endpoints may crash.
///
/// Its text form names it in the log, in the store and to operators: the fingerprint of a request,
/// or `part-ID` for a prompt part. `docs/design/crashing-requests.md` lists the kinds.
///
/// ```
/// use wisteriahitch_relay::{CallAttribute, SharedPart};
///
/// let part = CallAttribute::PromptPart(SharedPart::new(0x5c07, None));
/// assert_eq!(part.to_string(), "part-5c07");
/// assert_eq!("part-5c07".parse(), Ok(part));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CallAttribute {
    /// The whole request: its workspace, path and body.
    Request(RequestFingerprint),
    /// A part of the prompt that other prompts may share.
    PromptPart(SharedPart),
}

/// A prompt part that calls of any workspace share or, if it belongs to an isolated workspace, calls
/// of that workspace alone.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct SharedPart {
    id: u64,
    /// Hash of the isolated workspace; 0 if the part belongs to none.
    scope: u32,
}

impl SharedPart {
    /// Names the part with this id, as it is known to all workspaces or to an isolated one.
    pub fn new(id: u64, isolated_workspace: Option<&WorkspaceId>) -> Self {
        let scope = isolated_workspace.map_or(0, |workspace| {
            let key = KeyHash::derive(SCOPE_CONTEXT, &[workspace.as_str().as_bytes()]);
            let [a, b, c, d, ..] = *key.as_bytes();
            u32::from_le_bytes([a, b, c, d])
        });
        Self { id, scope }
    }
}

impl fmt::Display for CallAttribute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallAttribute::Request(fingerprint) => fingerprint.fmt(f),
            CallAttribute::PromptPart(SharedPart { id, scope: 0 }) => {
                write!(f, "{PART_PREFIX}{id:x}")
            }
            CallAttribute::PromptPart(SharedPart { id, scope }) => {
                write!(f, "{PART_PREFIX}{id:x}-{scope:x}")
            }
        }
    }
}

impl FromStr for CallAttribute {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Some(part) = text.strip_prefix(PART_PREFIX) else {
            return text.parse().map(CallAttribute::Request);
        };
        let (id, scope) = part.split_once('-').unwrap_or((part, "0"));
        let id = u64::from_str_radix(id, 16).map_err(|_| ParseIdError::BadNumber)?;
        let scope = u32::from_str_radix(scope, 16).map_err(|_| ParseIdError::BadNumber)?;
        Ok(CallAttribute::PromptPart(SharedPart { id, scope }))
    }
}

/// All attributes of a call: the request itself, then the shared parts of its prompt in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallAttributes {
    request: RequestFingerprint,
    all: Arc<[CallAttribute]>,
}

impl CallAttributes {
    /// Collects the attributes of a call.
    pub fn new(
        request: RequestFingerprint,
        prompt: Option<&PromptShape>,
        isolated_workspace: Option<&WorkspaceId>,
    ) -> Self {
        let parts = prompt.map_or(&[][..], PromptShape::shared_parts);
        let parts = parts.iter().take(MAX_PARTS);
        let parts = parts.map(|part| SharedPart::new(part.id, isolated_workspace));
        let parts = parts.map(CallAttribute::PromptPart);
        let all = std::iter::once(CallAttribute::Request(request)).chain(parts);
        Self {
            request,
            all: all.collect(),
        }
    }

    /// Returns the fingerprint of the request.
    pub fn request(&self) -> RequestFingerprint {
        self.request
    }

    /// Returns the attributes, the request first.
    pub fn iter(&self) -> impl Iterator<Item = CallAttribute> {
        self.all.iter().copied()
    }
}
