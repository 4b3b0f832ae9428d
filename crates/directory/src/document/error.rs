//! Failures of encoding, transferring and decoding declarations.

use std::io;

use derive_more::{Display, Error, From};

use super::{id::Digest, DeclarationId, MAX_DECODED_BYTES, MAX_ENCODED_BYTES, MAX_ITEMS};

/// Why a declaration could not be encoded, received or decoded.
#[derive(Debug, Display, Error, From)]
pub enum DocumentError {
    /// The value has no MessagePack form.
    #[display("cannot encode the configuration: {_0}")]
    Encode(rmp_serde::encode::Error),
    /// The received bytes are not the MessagePack form of the expected value.
    #[display("cannot decode the configuration: {_0}")]
    Decode(rmp_serde::decode::Error),
    /// The received bytes cannot be inflated.
    #[display("cannot inflate the configuration: {_0}")]
    Inflate(io::Error),
    /// A digest has another length.
    #[from(skip)]
    #[display("a digest of {length} bytes instead of {}", Digest::BYTES)]
    DigestLength {
        /// Length of the received digest in bytes.
        length: usize,
    },
    /// The encoding is longer than [`MAX_ENCODED_BYTES`].
    #[from(skip)]
    #[display("an encoding of {length} bytes, at most {MAX_ENCODED_BYTES} are allowed")]
    EncodedTooLong {
        /// Length of the encoding in bytes.
        length: usize,
    },
    /// What is inflated, or the declaration, is longer than [`MAX_DECODED_BYTES`].
    #[display("a configuration of more than {MAX_DECODED_BYTES} bytes")]
    DecodedTooLong,
    /// A list of a difference has more than [`MAX_ITEMS`] items.
    #[display("a list of more than {MAX_ITEMS} items")]
    TooManyItems,
    /// A part belongs to another declaration.
    #[from(skip)]
    #[display("a part of configuration {received} instead of {expected}")]
    OtherDeclaration {
        /// The declaration that is being downloaded.
        expected: DeclarationId,
        /// The declaration that the part names.
        received: DeclarationId,
    },
    /// A part belongs to another encoding of the same declaration than the parts before it.
    #[display("a part of another encoding than the parts before it")]
    OtherEncoding,
    /// A part does not begin where the received bytes end.
    #[from(skip)]
    #[display("a part at byte {received}, the next one is at byte {expected}")]
    OtherOffset {
        /// Number of bytes received so far.
        expected: u32,
        /// Offset of the part.
        received: u32,
    },
    /// A part repeats a range with other bytes.
    #[from(skip)]
    #[display("the part at byte {offset} differs from what was received there before")]
    ConflictingPart {
        /// Offset of the part.
        offset: u32,
    },
    /// A part brings nothing.
    #[display("a part without bytes")]
    EmptyPart,
    /// A part reaches beyond the end of its encoding.
    #[from(skip)]
    #[display("a part up to byte {end} of an encoding of {total} bytes")]
    BeyondEnd {
        /// End of the part in bytes.
        end: usize,
        /// Length of the encoding in bytes.
        total: u32,
    },
    /// The download was finished before all parts were received.
    #[from(skip)]
    #[display("the configuration is incomplete, {received} bytes received")]
    Incomplete {
        /// Number of bytes received so far.
        received: u32,
    },
    /// The received bytes differ from those of the encoding.
    #[display("the checksum of the received bytes is wrong")]
    WrongChecksum,
    /// The encoding is a difference from a declaration that was not given.
    #[from(skip)]
    #[display("the base of the difference, {base}, is not at hand")]
    OtherBase {
        /// Digest of the base of the difference.
        base: Digest,
    },
    /// A difference keeps items that its base does not have.
    #[display("a difference keeps items that its base does not have")]
    UnknownItems,
    /// The result is another declaration than the announced one.
    #[from(skip)]
    #[display("the result is not configuration {expected}")]
    OtherResult {
        /// The announced declaration.
        expected: DeclarationId,
    },
}
