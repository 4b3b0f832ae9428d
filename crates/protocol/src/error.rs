//! Errors of the inner protocol.

use derive_more::{Display, Error, From};

/// A message that could not be decoded, encoded or accepted.
#[derive(Debug, Display, Error, From)]
pub enum ProtocolError {
    /// The header value is not base64.
    #[display("header is not base64: {_0}")]
    Base64(base64::DecodeError),
    /// The bytes are not the expected MessagePack map.
    #[display("message cannot be decoded: {_0}")]
    Decode(rmp_serde::decode::Error),
    /// The value cannot be encoded as MessagePack.
    #[display("message cannot be encoded: {_0}")]
    Encode(rmp_serde::encode::Error),
    /// The body cannot be decompressed.
    #[display("message cannot be decompressed: {_0}")]
    Compression(std::io::Error),
    /// The peer uses another protocol version.
    #[display("peer uses protocol version {theirs}, this process uses {ours}; upgrade the older of the two")]
    #[from(ignore)]
    UnsupportedVersion {
        /// The version in the message.
        theirs: u16,
        /// The version of this build.
        ours: u16,
    },
    /// A header that is required on every inner request is absent.
    #[display("header \"{name}\" is missing; only entries may call a sidecar")]
    #[from(ignore)]
    MissingHeader {
        /// The header's name.
        name: &'static str,
    },
}
