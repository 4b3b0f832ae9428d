//! The tree of sources of a document, and the download of one.

mod sources;
mod transfer;
