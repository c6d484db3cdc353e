//! Content of a KV cache block: a header that identifies the block, then a generated pattern.

use bytes::{Bytes, BytesMut};
use wisteriahitch_types::{BlockKey, ByteCount, TokenCount, WeightVersion};

const MAGIC: [u8; 4] = *b"WKV1";
const KEY_LEN: usize = 16;
const VERSION_LEN: usize = 16;
const TOKENS_LEN: usize = 8;

/// Length of the header at the start of a block, in bytes.
pub const HEADER_LEN: usize = MAGIC.len() + KEY_LEN + VERSION_LEN + TOKENS_LEN;

/// Length of the pattern that is repeated to fill a block, in bytes.
const PATTERN_LEN: usize = 4096;

const VERSION_CONTEXT: &str = "wisteriahitch stand-in 2026 weight version";
const PATTERN_CONTEXT: &str = "wisteriahitch stand-in 2026 block pattern";

/// Reason why content isn't the requested block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KvBlockError {
    /// The content is shorter than a header or doesn't start with the magic bytes.
    NoHeader,
    /// The length of the content differs from the expected one.
    WrongLength,
    /// The checksum of the content differs from the expected one.
    WrongChecksum,
    /// The content belongs to another block.
    WrongKey,
    /// The content was computed with other weights.
    WrongVersion,
}

/// Header of every block; it reveals content that is stored under another block's key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KvBlockHeader {
    /// Block that the content belongs to.
    pub key: BlockKey,
    /// Tokens in the block.
    pub tokens: TokenCount,
    version_digest: [u8; VERSION_LEN],
}

impl KvBlockHeader {
    /// Builds the header of a block.
    pub fn new(key: BlockKey, tokens: TokenCount, weight_version: &WeightVersion) -> Self {
        Self {
            key,
            tokens,
            version_digest: digest_version(weight_version),
        }
    }

    /// Parses the header at the start of `content`.
    pub fn parse(content: &[u8]) -> Result<Self, KvBlockError> {
        let (magic, rest) = split::<4>(content)?;
        let (key, rest) = split::<KEY_LEN>(rest)?;
        let (version_digest, rest) = split::<VERSION_LEN>(rest)?;
        let (tokens, _) = split::<TOKENS_LEN>(rest)?;
        if magic != MAGIC {
            return Err(KvBlockError::NoHeader);
        }
        Ok(Self {
            key: BlockKey::from_bytes(key),
            tokens: TokenCount::new(u64::from_le_bytes(tokens)),
            version_digest,
        })
    }

    /// Returns whether the block was computed with `weight_version`.
    pub fn is_of_version(&self, weight_version: &WeightVersion) -> bool {
        self.version_digest == digest_version(weight_version)
    }

    fn write(&self, content: &mut BytesMut) {
        content.extend_from_slice(&MAGIC);
        content.extend_from_slice(self.key.as_bytes());
        content.extend_from_slice(&self.version_digest);
        content.extend_from_slice(&self.tokens.get().to_le_bytes());
    }
}

/// Returns the length of a block, which is at least that of its header.
pub fn block_bytes(tokens: TokenCount, kv_bytes_per_token: u64) -> ByteCount {
    let body_bytes = tokens.get().saturating_mul(kv_bytes_per_token);
    ByteCount::new(body_bytes.max(HEADER_LEN as u64))
}

/// Builds the content of a block, `bytes` long, which depends only on its key, tokens and weight
/// version.
pub fn build_block(
    key: BlockKey,
    tokens: TokenCount,
    weight_version: &WeightVersion,
    bytes: ByteCount,
) -> Bytes {
    let header = KvBlockHeader::new(key, tokens, weight_version);
    let length = usize::try_from(bytes.get()).unwrap_or(usize::MAX);
    let mut content = BytesMut::with_capacity(length);
    header.write(&mut content);
    let pattern = fill_pattern(&header);
    while content.len() < length {
        let copy_len = PATTERN_LEN.min(length - content.len());
        content.extend_from_slice(&pattern[..copy_len]);
    }
    content.freeze()
}

/// Checks that `content` is the whole block `key` of `weight_version`, and returns its tokens.
///
/// A store may return a block that was truncated, altered or exchanged for another. An engine that
/// used it would give wrong answers without any error, so every imported block is checked first.
pub fn check_block(
    content: &[u8],
    key: BlockKey,
    weight_version: &WeightVersion,
    bytes: ByteCount,
    crc32c: u32,
) -> Result<TokenCount, KvBlockError> {
    if content.len() as u64 != bytes.get() {
        return Err(KvBlockError::WrongLength);
    }
    if crc32c::crc32c(content) != crc32c {
        return Err(KvBlockError::WrongChecksum);
    }
    let header = KvBlockHeader::parse(content)?;
    if header.key != key {
        return Err(KvBlockError::WrongKey);
    }
    if !header.is_of_version(weight_version) {
        return Err(KvBlockError::WrongVersion);
    }
    Ok(header.tokens)
}

fn split<const N: usize>(content: &[u8]) -> Result<([u8; N], &[u8]), KvBlockError> {
    let (head, rest) = content.split_first_chunk().ok_or(KvBlockError::NoHeader)?;
    Ok((*head, rest))
}

fn digest_version(weight_version: &WeightVersion) -> [u8; VERSION_LEN] {
    let hash = blake3::derive_key(VERSION_CONTEXT, weight_version.as_str().as_bytes());
    let mut digest = [0; VERSION_LEN];
    digest.copy_from_slice(&hash[..VERSION_LEN]);
    digest
}

fn fill_pattern(header: &KvBlockHeader) -> [u8; PATTERN_LEN] {
    let mut hasher = blake3::Hasher::new_derive_key(PATTERN_CONTEXT);
    hasher.update(header.key.as_bytes());
    hasher.update(&header.version_digest);
    let mut pattern = [0; PATTERN_LEN];
    hasher.finalize_xof().fill(&mut pattern);
    pattern
}
