//! Names of declarations by their content.

use std::fmt;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize, Serializer};

use super::{DocumentError, MAX_DECODED_BYTES};
use crate::declaration::Declaration;

/// BLAKE3 hash of the MessagePack form of a declaration.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize)]
#[serde(try_from = "Bytes")]
pub struct Digest([u8; Self::BYTES]);

impl Digest {
    /// Length of a digest in bytes.
    pub const BYTES: usize = blake3::OUT_LEN;

    /// Hashes the MessagePack form of a declaration.
    pub(super) fn of(document: &[u8]) -> Self {
        Self(*blake3::hash(document).as_bytes())
    }

    /// The hash itself.
    pub fn as_bytes(&self) -> &[u8; Self::BYTES] {
        &self.0
    }
}

impl From<[u8; Digest::BYTES]> for Digest {
    fn from(bytes: [u8; Digest::BYTES]) -> Self {
        Self(bytes)
    }
}

impl TryFrom<Bytes> for Digest {
    type Error = DocumentError;

    fn try_from(bytes: Bytes) -> Result<Self, Self::Error> {
        let length = bytes.len();
        let bytes = bytes[..].try_into();
        bytes
            .map(Self)
            .map_err(|_| DocumentError::DigestLength { length })
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

/// Names one content of the operators' configuration.
///
/// The version alone does not, since a restored store may give it out again for another content.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{version} ({digest})")]
pub struct DeclarationId {
    /// Version of the declaration.
    pub version: u64,
    /// Digest of its MessagePack form.
    pub digest: Digest,
}

impl DeclarationId {
    /// Names a declaration. Fails if it has no MessagePack form or is longer than [`MAX_DECODED_BYTES`], so that it
    /// cannot be transferred.
    pub fn of(declaration: &Declaration) -> Result<Self, DocumentError> {
        Ok(encode(declaration)?.0)
    }
}

/// Returns the id and the MessagePack form of a declaration.
pub(super) fn encode(declaration: &Declaration) -> Result<(DeclarationId, Vec<u8>), DocumentError> {
    let document = rmp_serde::to_vec(declaration)?;
    if document.len() > MAX_DECODED_BYTES {
        return Err(DocumentError::DecodedTooLong);
    }
    let id = DeclarationId {
        version: declaration.version,
        digest: Digest::of(&document),
    };
    Ok((id, document))
}
