//! Collects the parts of an encoding.

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    difference::{Difference, Lists},
    encoding::inflate,
    id::encode,
    DeclarationId, Digest, DocumentError, Part, MAX_ENCODED_BYTES,
};
use crate::declaration::Declaration;

/// How far a download is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Parts are missing.
    Partial,
    /// All bytes are there, and [`Download::finish`] gives the declaration.
    Complete,
}

/// The received beginning of an encoding, whichever sources its parts come from.
///
/// Memory is taken only for bytes that were received. A refused part leaves everything as it was.
#[derive(Clone, Debug)]
pub struct Download {
    id: DeclarationId,
    source: Option<Source>,
    received: Vec<u8>,
}

/// What all parts of one encoding have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Source {
    base: Option<Digest>,
    checksum: u64,
    total: u32,
}

impl Download {
    /// Begins to download a declaration.
    pub fn new(id: DeclarationId) -> Self {
        Self {
            id,
            source: None,
            received: Vec::new(),
        }
    }

    /// The declaration that is downloaded.
    pub fn id(&self) -> DeclarationId {
        self.id
    }

    /// The base of the difference that is downloaded; none for a whole declaration and before the first part.
    pub fn base(&self) -> Option<Digest> {
        self.source?.base
    }

    /// Checksum of the encoding that is downloaded; none before the first part.
    pub fn checksum(&self) -> Option<u64> {
        Some(self.source?.checksum)
    }

    /// Length of the encoding in bytes; none before the first part.
    pub fn total(&self) -> Option<u32> {
        Some(self.source?.total)
    }

    /// Number of bytes received, which is the offset of the next part.
    pub fn offset(&self) -> u32 {
        // `accept` keeps the length below `MAX_ENCODED_BYTES`.
        self.received.len() as u32
    }

    /// Drops what was received, so that another encoding can be received.
    pub fn restart(&mut self) {
        *self = Self::new(self.id);
    }

    /// Takes in the next part. A repeated one changes nothing.
    ///
    /// Fails if the part belongs to something else, is out of order, contradicts what was received, or exceeds the
    /// limits.
    pub fn accept(&mut self, part: Part) -> Result<Progress, DocumentError> {
        if part.id != self.id {
            return Err(DocumentError::OtherDeclaration {
                expected: self.id,
                received: part.id,
            });
        }
        let source = Source {
            base: part.base,
            checksum: part.checksum,
            total: part.total,
        };
        if self.source.is_some_and(|known| known != source) {
            return Err(DocumentError::OtherEncoding);
        }
        let total = part.total as usize;
        if total > MAX_ENCODED_BYTES {
            return Err(DocumentError::EncodedTooLong { length: total });
        }
        if part.bytes.is_empty() {
            return Err(DocumentError::EmptyPart);
        }
        let start = part.offset as usize;
        let end = start.saturating_add(part.bytes.len());
        if end > total {
            return Err(DocumentError::BeyondEnd {
                end,
                total: part.total,
            });
        }
        if let Some(received) = self.received.get(start..end) {
            if received != part.bytes {
                return Err(DocumentError::ConflictingPart {
                    offset: part.offset,
                });
            }
        } else if start == self.received.len() {
            self.received.extend_from_slice(&part.bytes);
            self.source = Some(source);
        } else {
            return Err(DocumentError::OtherOffset {
                expected: self.offset(),
                received: part.offset,
            });
        }
        Ok(self.progress())
    }

    fn progress(&self) -> Progress {
        match self.source {
            Some(source) if self.offset() == source.total => Progress::Complete,
            _ => Progress::Partial,
        }
    }

    /// Hands on at most `max_bytes` of what was received at `offset`; none if nothing was received there.
    pub fn part(&self, offset: u32, max_bytes: usize) -> Option<Part> {
        let source = self.source?;
        let start = offset as usize;
        let end = self.received.len().min(start.saturating_add(max_bytes));
        if start >= end {
            return None;
        }
        Some(Part {
            id: self.id,
            base: source.base,
            checksum: source.checksum,
            total: source.total,
            offset,
            bytes: Bytes::copy_from_slice(&self.received[start..end]),
        })
    }

    /// Decodes the declaration. `base` is what the receiver holds and is needed for a difference only.
    ///
    /// After a failure the download is as it was, and [`Self::restart`] allows to receive another encoding.
    pub fn finish(&self, base: Option<&Declaration>) -> Result<Declaration, DocumentError> {
        let source = match self.source {
            Some(source) if self.progress() == Progress::Complete => source,
            _ => {
                return Err(DocumentError::Incomplete {
                    received: self.offset(),
                });
            }
        };
        if xxh3_64(&self.received) != source.checksum {
            return Err(DocumentError::WrongChecksum);
        }
        let mut document = inflate(&self.received)?;
        if let Some(digest) = source.base {
            document = apply(&document, digest, base)?;
        }
        let other = DocumentError::OtherResult { expected: self.id };
        if Digest::of(&document) != self.id.digest {
            return Err(other);
        }
        let declaration: Declaration = rmp_serde::from_slice(&document)?;
        if declaration.version != self.id.version {
            return Err(other);
        }
        Ok(declaration)
    }
}

/// Applies an encoded difference to the declaration with the digest `digest`.
fn apply(
    difference: &[u8],
    digest: Digest,
    base: Option<&Declaration>,
) -> Result<Vec<u8>, DocumentError> {
    let base = base.ok_or(DocumentError::OtherBase { base: digest })?;
    if encode(base)?.0.digest != digest {
        return Err(DocumentError::OtherBase { base: digest });
    }
    let difference: Difference<'_> = rmp_serde::from_slice(difference)?;
    difference.apply(&Lists::encode(base)?)
}
