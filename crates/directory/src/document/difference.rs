//! Differences between two declarations.

use std::{collections::HashMap, fmt};

use serde::{
    de::{Error as _, SeqAccess, Visitor},
    Deserialize, Deserializer, Serialize, Serializer,
};

use super::{items::Items, DocumentError, MAX_DECODED_BYTES, MAX_ITEMS};
use crate::declaration::{CallerLimits, Declaration};

/// What turns the MessagePack form of one declaration into that of another.
///
/// Items remain encoded, so that nothing of an untrusted difference is decoded before the digest of the result is
/// known to be right.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Difference<'a> {
    version: u64,
    #[serde(borrow)]
    routes: Pieces<'a>,
    #[serde(borrow)]
    services: Pieces<'a>,
    #[serde(borrow)]
    workspaces: Pieces<'a>,
    limits: CallerLimits,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    empty_workspace_list: bool,
}

/// The lists of a declaration, item by item.
#[derive(Debug)]
pub(super) struct Lists {
    routes: Items,
    services: Items,
    workspaces: Items,
}

impl Lists {
    pub(super) fn encode(declaration: &Declaration) -> Result<Self, DocumentError> {
        Ok(Self {
            routes: Items::encode(&declaration.routes)?,
            services: Items::encode(&declaration.services)?,
            workspaces: Items::encode(&declaration.workspaces)?,
        })
    }
}

impl<'a> Difference<'a> {
    /// Compares two declarations, given the lists of both.
    pub(super) fn between(
        base: &Lists,
        new: &'a Lists,
        declaration: &Declaration,
    ) -> Result<Self, DocumentError> {
        Ok(Self {
            version: declaration.version,
            routes: Pieces::between(&base.routes, &new.routes)?,
            services: Pieces::between(&base.services, &new.services)?,
            workspaces: Pieces::between(&base.workspaces, &new.workspaces)?,
            limits: declaration.limits,
            empty_workspace_list: declaration.empty_workspace_list,
        })
    }

    /// Returns the MessagePack form of the declaration that the difference makes of its base.
    pub(super) fn apply(&self, base: &Lists) -> Result<Vec<u8>, DocumentError> {
        // The fields of `Declaration` in their order; the last one is left out unless it is set.
        let fields = 5 + usize::from(self.empty_workspace_list);
        let mut document = Vec::new();
        rmp_serde::Serializer::new(&mut document).serialize_tuple(fields)?;
        rmp_serde::encode::write(&mut document, &self.version)?;
        self.routes.apply(&base.routes, &mut document)?;
        self.services.apply(&base.services, &mut document)?;
        self.workspaces.apply(&base.workspaces, &mut document)?;
        rmp_serde::encode::write(&mut document, &self.limits)?;
        if self.empty_workspace_list {
            rmp_serde::encode::write(&mut document, &true)?;
        }
        Ok(document)
    }
}

/// A run of items in a list.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum Piece<'a> {
    /// Items of the base.
    Keep { from: u32, count: u32 },
    /// New items, in their MessagePack form.
    Insert {
        count: u32,
        #[serde(borrow, serialize_with = "as_bytes")]
        items: &'a [u8],
    },
}

fn as_bytes<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// A list as runs of items, at most [`MAX_ITEMS`].
#[derive(Debug)]
struct Pieces<'a>(Vec<Piece<'a>>);

impl<'a> Pieces<'a> {
    fn between(base: &Items, new: &'a Items) -> Result<Self, DocumentError> {
        if new.len() > MAX_ITEMS || base.len() > MAX_ITEMS {
            return Err(DocumentError::TooManyItems);
        }
        let mut places: HashMap<&[u8], Vec<usize>> = HashMap::new();
        for (index, item) in base.iter().enumerate() {
            places.entry(item).or_default().push(index);
        }

        let mut runs: Vec<Run> = Vec::new();
        // Where the base continues after the last kept item. An item that occurs several times is kept from there on
        // if possible, so that runs get long.
        let mut next = 0;
        for (index, item) in new.iter().enumerate() {
            let place = places.get(item).map(|places| {
                let following = places.partition_point(|place| *place < next);
                *places.get(following).unwrap_or(&places[0])
            });
            match (runs.last_mut(), place) {
                (Some(Run::Keep { from, count }), Some(place)) if *from + *count == place => {
                    *count += 1
                }
                (Some(Run::Insert { count, .. }), None) => *count += 1,
                (_, Some(from)) => runs.push(Run::Keep { from, count: 1 }),
                (_, None) => runs.push(Run::Insert {
                    from: index,
                    count: 1,
                }),
            }
            next = place.map_or(next, |place| place + 1);
        }
        let pieces = runs.into_iter().map(|run| run.piece(new));
        Ok(Self(pieces.collect::<Result<_, _>>()?))
    }

    /// Appends the list's MessagePack form.
    fn apply(&self, base: &Items, document: &mut Vec<u8>) -> Result<(), DocumentError> {
        let mut total = 0usize;
        for piece in &self.0 {
            let (Piece::Keep { count, .. } | Piece::Insert { count, .. }) = *piece;
            total = total.saturating_add(count as usize);
        }
        if total > MAX_ITEMS {
            return Err(DocumentError::TooManyItems);
        }
        rmp_serde::Serializer::new(&mut *document).serialize_seq(Some(total))?;
        for piece in &self.0 {
            let items = match *piece {
                Piece::Keep { from, count } => base
                    .range(from as usize, count as usize)
                    .ok_or(DocumentError::UnknownItems)?,
                Piece::Insert { items, .. } => items,
            };
            if items.len() > MAX_DECODED_BYTES.saturating_sub(document.len()) {
                return Err(DocumentError::DecodedTooLong);
            }
            document.extend_from_slice(items);
        }
        Ok(())
    }
}

/// A run of items by their indices, in the base if they are kept and in the new list otherwise.
enum Run {
    Keep { from: usize, count: usize },
    Insert { from: usize, count: usize },
}

impl Run {
    fn piece(self, new: &Items) -> Result<Piece<'_>, DocumentError> {
        let small = |n: usize| u32::try_from(n).map_err(|_| DocumentError::TooManyItems);
        Ok(match self {
            Self::Keep { from, count } => Piece::Keep {
                from: small(from)?,
                count: small(count)?,
            },
            Self::Insert { from, count } => Piece::Insert {
                count: small(count)?,
                items: new.range(from, count).ok_or(DocumentError::UnknownItems)?,
            },
        })
    }
}

impl Serialize for Pieces<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(serializer)
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Pieces<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(PiecesVisitor).map(Self)
    }
}

/// Reads pieces up to the limit, whatever length the list claims.
struct PiecesVisitor;

impl<'de> Visitor<'de> for PiecesVisitor {
    type Value = Vec<Piece<'de>>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {MAX_ITEMS} pieces")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut pieces = Vec::new();
        while let Some(piece) = seq.next_element()? {
            if pieces.len() == MAX_ITEMS {
                return Err(A::Error::custom(DocumentError::TooManyItems));
            }
            pieces.push(piece);
        }
        Ok(pieces)
    }
}
