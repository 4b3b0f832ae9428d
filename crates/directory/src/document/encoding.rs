//! Encodings of declarations, as they are transferred.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::{read::DeflateDecoder, write::DeflateEncoder, Compression};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    difference::{Difference, Lists},
    id::encode,
    DeclarationId, Digest, DocumentError, MAX_DECODED_BYTES, MAX_ENCODED_BYTES,
};
use crate::declaration::Declaration;

/// A declaration in its transfer form: deflated MessagePack.
///
/// Equal declarations have equal encodings, so that a download can be continued at another source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Encoding {
    /// The encoded declaration.
    pub id: DeclarationId,
    /// The declaration that the difference is applied to; none if the encoding holds the whole.
    pub base: Option<Digest>,
    /// XXH3 hash of [`Self::bytes`].
    pub checksum: u64,
    /// The encoded form, at most [`MAX_ENCODED_BYTES`] long.
    pub bytes: Bytes,
}

impl Encoding {
    /// Encodes a declaration as a whole. Fails if it is longer than the limits.
    pub fn whole(declaration: &Declaration) -> Result<Self, DocumentError> {
        let (id, document) = encode(declaration)?;
        Self::new(id, None, &document)
    }

    /// Encodes the difference between a declaration that the receiver holds, given with its digest, and a new one.
    /// Fails if the new one is longer than the limits, or a list of either than [`MAX_ITEMS`](super::MAX_ITEMS); the
    /// whole may be within them then.
    pub fn difference(
        base: (&Declaration, Digest),
        new: &Declaration,
    ) -> Result<Self, DocumentError> {
        let (base, base_digest) = base;
        let (id, _) = encode(new)?;
        let base_lists = Lists::encode(base)?;
        let new_lists = Lists::encode(new)?;
        let difference = Difference::between(&base_lists, &new_lists, new)?;
        Self::new(id, Some(base_digest), &rmp_serde::to_vec(&difference)?)
    }

    fn new(
        id: DeclarationId,
        base: Option<Digest>,
        document: &[u8],
    ) -> Result<Self, DocumentError> {
        let bytes = deflate(document)?;
        Ok(Self {
            id,
            base,
            checksum: xxh3_64(&bytes),
            bytes,
        })
    }

    /// Returns the part of at most `max_bytes` at `offset`; none if the encoding ends there or `max_bytes` is zero.
    pub fn part(&self, offset: u32, max_bytes: usize) -> Option<Part> {
        let start = offset as usize;
        let end = self.bytes.len().min(start.saturating_add(max_bytes));
        if start >= end {
            return None;
        }
        Some(Part {
            id: self.id,
            base: self.base,
            checksum: self.checksum,
            total: u32::try_from(self.bytes.len()).ok()?,
            offset,
            bytes: self.bytes.slice(start..end),
        })
    }
}

/// A part of an encoding, the unit of transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The encoded declaration.
    pub id: DeclarationId,
    /// The declaration that the difference is applied to; none if the encoding holds the whole.
    pub base: Option<Digest>,
    /// XXH3 hash of the whole encoding.
    pub checksum: u64,
    /// Length of the whole encoding in bytes.
    pub total: u32,
    /// Where the part begins in the encoding, in bytes.
    pub offset: u32,
    /// The bytes of the encoding from there on.
    pub bytes: Bytes,
}

fn deflate(document: &[u8]) -> Result<Bytes, DocumentError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(document)?;
    let bytes = encoder.finish()?;
    if bytes.len() > MAX_ENCODED_BYTES {
        return Err(DocumentError::EncodedTooLong {
            length: bytes.len(),
        });
    }
    Ok(bytes.into())
}

/// Inflates at most [`MAX_DECODED_BYTES`].
pub(super) fn inflate(bytes: &[u8]) -> Result<Vec<u8>, DocumentError> {
    let mut document = Vec::new();
    let limit = MAX_DECODED_BYTES as u64 + 1;
    DeflateDecoder::new(bytes)
        .take(limit)
        .read_to_end(&mut document)?;
    if document.len() > MAX_DECODED_BYTES {
        return Err(DocumentError::DecodedTooLong);
    }
    Ok(document)
}
