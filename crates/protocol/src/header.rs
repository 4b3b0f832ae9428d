//! Encoding and decoding of messages in HTTP headers and bodies.

use std::io::{Read, Write};

use base64::{engine::general_purpose::URL_SAFE_NO_PAD, Engine};
use flate2::{read::DeflateDecoder, write::DeflateEncoder, Compression};
use serde::{de::DeserializeOwned, Serialize};

use crate::error::ProtocolError;

/// Header with a [`crate::Envelope`], sent by an entry to a sidecar.
pub const ENVELOPE: &str = "balsam-envelope";
/// Header with a [`crate::Reply`], sent by a sidecar to an entry.
pub const REPLY: &str = "balsam-reply";

/// Header of a response whose body is encoded by [`to_compressed`], for peers that accept it.
pub const ENCODING: &str = "balsam-encoding";
/// Value of [`ENCODING`].
pub const DEFLATED: &str = "deflated";

/// Encodes a message as a MessagePack map with field names.
pub fn to_bytes<T: Serialize>(message: &T) -> Result<Vec<u8>, ProtocolError> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Decodes a message, skipping fields that this build does not know.
pub fn from_bytes<T: DeserializeOwned>(buf: &[u8]) -> Result<T, ProtocolError> {
    Ok(rmp_serde::from_slice(buf)?)
}

/// Encodes a message as a deflated body. Declarations and member lists shrink to about a tenth.
pub fn to_compressed<T: Serialize>(message: &T) -> Result<Vec<u8>, ProtocolError> {
    compress(&to_bytes(message)?)
}

/// Deflates an encoded message; [`from_compressed`] decodes it.
pub fn compress(message: &[u8]) -> Result<Vec<u8>, ProtocolError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(message)?;
    Ok(encoder.finish()?)
}

/// Decodes a deflated body. Only the first `limit` decompressed bytes are read.
pub fn from_compressed<T: DeserializeOwned>(buf: &[u8], limit: u64) -> Result<T, ProtocolError> {
    let mut decompressed = Vec::new();
    let mut decoder = DeflateDecoder::new(buf).take(limit);
    decoder.read_to_end(&mut decompressed)?;
    from_bytes(&decompressed)
}

/// Encodes a message as a header value, in URL-safe base64 without padding.
pub fn to_header<T: Serialize>(message: &T) -> Result<String, ProtocolError> {
    Ok(URL_SAFE_NO_PAD.encode(to_bytes(message)?))
}

/// Decodes a message from a header value made by [`to_header`].
pub fn from_header<T: DeserializeOwned>(value: &str) -> Result<T, ProtocolError> {
    from_bytes(&URL_SAFE_NO_PAD.decode(value)?)
}
