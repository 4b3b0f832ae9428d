//! The encoded items of a list, by which two versions of the list are compared.

use serde::Serialize;

use super::DocumentError;

/// The MessagePack forms of the items of a list, one after the other.
#[derive(Debug, Default)]
pub(super) struct Items {
    bytes: Vec<u8>,
    /// For each item, where it ends in [`Self::bytes`].
    ends: Vec<usize>,
}

impl Items {
    pub(super) fn encode<T: Serialize>(list: &[T]) -> Result<Self, DocumentError> {
        let mut items = Self::default();
        for item in list {
            rmp_serde::encode::write(&mut items.bytes, item)?;
            items.ends.push(items.bytes.len());
        }
        Ok(items)
    }

    pub(super) fn len(&self) -> usize {
        self.ends.len()
    }

    /// The bytes of `count` items from the item `from` on; none if the list is shorter.
    pub(super) fn range(&self, from: usize, count: usize) -> Option<&[u8]> {
        let to = from.checked_add(count)?;
        if to > self.len() {
            return None;
        }
        self.bytes.get(self.start(from)..self.start(to))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &[u8]> {
        (0..self.len()).map(|index| &self.bytes[self.start(index)..self.ends[index]])
    }

    fn start(&self, index: usize) -> usize {
        index.checked_sub(1).map_or(0, |before| self.ends[before])
    }
}
