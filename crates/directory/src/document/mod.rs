//! The transfer form of a [`Declaration`](crate::Declaration).
//!
//! A declaration is large and changes in small places, so processes announce it by its [`DeclarationId`] and transfer
//! its [`Encoding`] in [`Part`]s, which a [`Download`] collects. An encoding holds the whole declaration or its
//! difference from one that the receiver holds. The result is compared with the digest of the announcement before it
//! is decoded, so that faulty parts cost a bounded buffer and never give another declaration than the announced one.

mod difference;
mod download;
mod encoding;
mod error;
mod id;
mod items;

pub use self::{
    download::{Download, Progress},
    encoding::{Encoding, Part},
    error::DocumentError,
    id::{DeclarationId, Digest},
};

/// Maximum length of an encoding in bytes, compressed as it is transferred.
pub const MAX_ENCODED_BYTES: usize = 4 * 1024 * 1024;

/// Maximum length in bytes of what an encoding is inflated to, and of the MessagePack form of a declaration.
pub const MAX_DECODED_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of items in a list of a difference and of pieces that describe the list.
pub const MAX_ITEMS: usize = 65_536;
