//! Encodings that no sound peer sends, with checksums that fit them.

use std::io::Write;

use balsamjunction_directory::{
    Declaration, DeclarationId, DocumentError, Download, Encoding, MAX_DECODED_BYTES, MAX_ITEMS,
};
use flate2::{write::DeflateEncoder, Compression};
use proptest::{collection::vec, prelude::*, sample::Index};
use serde::{Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

use crate::fixtures::{
    changed_declaration, declaration, difference, id, single_part, transfer, whole, PART_BYTES,
};

/// The bytes that are deflated at a time for an encoding that inflates to many.
const CHUNK_BYTES: usize = 64 * 1024;

/// A piece of a list in a difference.
#[derive(Clone, Debug, Serialize)]
enum Piece {
    Keep {
        from: u32,
        count: u32,
    },
    Insert {
        count: u32,
        #[serde(serialize_with = "as_bytes")]
        items: Vec<u8>,
    },
}

fn as_bytes<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// A difference in the form in which it is transferred.
#[derive(Clone, Debug, Default, Serialize)]
struct Difference {
    version: u64,
    routes: Vec<Piece>,
    services: Vec<Piece>,
    workspaces: Vec<Piece>,
    limits: [u64; 4],
}

fn deflated(chunks: impl IntoIterator<Item = impl AsRef<[u8]>>) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    for chunk in chunks {
        encoder
            .write_all(chunk.as_ref())
            .expect("a vector is written");
    }
    encoder.finish().expect("a vector is written")
}

/// Transfers bytes as the encoding of a declaration, and decodes them.
fn receive(
    id: DeclarationId,
    base: Option<&Declaration>,
    bytes: Vec<u8>,
) -> Result<Declaration, DocumentError> {
    let encoding = Encoding {
        id,
        base: base.map(|base| crate::fixtures::id(base).digest),
        checksum: xxh3_64(&bytes),
        bytes: bytes.into(),
    };
    transfer(&encoding, base, PART_BYTES)
}

fn receive_difference(
    new: &Declaration,
    base: &Declaration,
    difference: &Difference,
) -> Result<Declaration, DocumentError> {
    let document = rmp_serde::to_vec(difference).expect("a difference is encoded");
    receive(id(new), Some(base), deflated([document]))
}

/// Either the announced declaration or an error.
fn is_announced_or_refused(result: Result<Declaration, DocumentError>, new: &Declaration) -> bool {
    result.map_or(true, |declaration| id(&declaration) == id(new))
}

fn piece() -> impl Strategy<Value = Piece> {
    let small_or_any = || prop_oneof![0u32..30, any::<u32>()];
    prop_oneof![
        (small_or_any(), small_or_any()).prop_map(|(from, count)| Piece::Keep { from, count }),
        (small_or_any(), vec(any::<u8>(), 0..60))
            .prop_map(|(count, items)| Piece::Insert { count, items }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(33),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_bytes_are_refused(bytes in vec(any::<u8>(), 1..2_000), has_base: bool, is_deflated: bool) {
        let base = declaration(1, 0..3);
        let new = declaration(2, 0..4);
        let bytes = if is_deflated { deflated([bytes]) } else { bytes };

        let result = receive(id(&new), has_base.then_some(&base), bytes);

        prop_assert!(result.is_err());
    }

    #[test]
    fn truncated_encodings_are_refused(
        (base, new) in changed_declaration(),
        is_whole: bool,
        length: Index,
    ) {
        let sound = if is_whole { whole(&new) } else { difference(&base, &new) };
        let length = 1 + length.index(sound.bytes.len() - 1);
        let bytes = sound.bytes[..length].to_vec();

        let result = receive(id(&new), (!is_whole).then_some(&base), bytes);

        prop_assert!(is_announced_or_refused(result, &new));
    }

    /// The bits are flipped before and after the document is deflated, so that they reach both decoders.
    #[test]
    fn encodings_with_wrong_bits_give_no_other_declaration(
        (base, new) in changed_declaration(),
        is_whole: bool,
        is_inside: bool,
        bits in vec(any::<Index>(), 1..4),
    ) {
        let sound = if is_whole { whole(&new) } else { difference(&base, &new) };
        let mut bytes = if is_inside { inflated(&sound) } else { sound.bytes.to_vec() };
        for bit in bits {
            let bit = bit.index(8 * bytes.len());
            bytes[bit / 8] ^= 1 << (bit % 8);
        }
        let bytes = if is_inside { deflated([bytes]) } else { bytes };

        let result = receive(id(&new), (!is_whole).then_some(&base), bytes);

        prop_assert!(is_announced_or_refused(result, &new));
    }

    #[test]
    fn differences_of_random_pieces_give_no_other_declaration(
        (base, new) in changed_declaration(),
        routes in vec(piece(), 0..8),
        services in vec(piece(), 0..8),
        workspaces in vec(piece(), 0..8),
    ) {
        let random = Difference { routes, services, workspaces, ..Difference::default() };

        let result = receive_difference(&new, &base, &random);

        prop_assert!(is_announced_or_refused(result, &new));
    }

    /// Whatever a part claims, the download takes no more than the part brings.
    #[test]
    fn random_parts_are_refused_or_kept(
        claims in any::<(u64, u32, u32)>(),
        bytes in vec(any::<u8>(), 0..100),
        total in prop_oneof![0u32..200, any::<u32>()],
    ) {
        let id = id(&declaration(2, 0..4));
        let mut download = Download::new(id);
        let mut part = single_part(&whole(&declaration(2, 0..4)));
        (part.checksum, part.offset) = (claims.0, claims.1 % 3);
        part.total = total;
        part.bytes = bytes.clone().into();

        let accepted = download.accept(part);

        let received = if accepted.is_ok() { bytes.len() } else { 0 };
        prop_assert_eq!(download.offset() as usize, received);
        prop_assert!(download.finish(None).is_err());
    }
}

fn inflated(encoding: &Encoding) -> Vec<u8> {
    use std::io::Read;

    let mut document = Vec::new();
    flate2::read::DeflateDecoder::new(&encoding.bytes[..])
        .read_to_end(&mut document)
        .expect("a sound encoding is inflated");
    document
}

#[test]
fn a_deflate_bomb_is_refused() {
    let new = declaration(2, 0..4);
    let chunks = 4 * MAX_DECODED_BYTES / CHUNK_BYTES;
    let bomb = deflated(std::iter::repeat_n(vec![0; CHUNK_BYTES], chunks));

    let result = receive(id(&new), None, bomb);

    assert!(matches!(result, Err(DocumentError::DecodedTooLong)));
}

#[test]
fn garbage_as_long_as_the_limit_is_refused() {
    let new = declaration(2, 0..4);
    let chunks = MAX_DECODED_BYTES / CHUNK_BYTES;
    let garbage = deflated(std::iter::repeat_n(vec![0xff; CHUNK_BYTES], chunks));

    let result = receive(id(&new), None, garbage);

    assert!(matches!(result, Err(DocumentError::OtherResult { .. })));
}

/// Guards against lists that grow by keeping the same items again and again.
#[test]
fn a_bomb_of_kept_items_is_refused() {
    let base = declaration(1, 0..1_000);
    let new = declaration(2, 0..4);
    let keep = Piece::Keep {
        from: 0,
        count: 1_000,
    };
    let largest = Piece::Keep {
        from: 0,
        count: u32::MAX,
    };

    for (piece, repeats) in [(keep, MAX_ITEMS / 1_000 + 1), (largest, MAX_ITEMS)] {
        let bomb = Difference {
            routes: vec![piece; repeats],
            ..Difference::default()
        };
        let result = receive_difference(&new, &base, &bomb);
        assert!(matches!(result, Err(DocumentError::TooManyItems)));
    }
}

/// Guards against few items that are kept often, each of them long.
#[test]
fn a_bomb_of_long_kept_items_is_refused() {
    let mut base = declaration(1, 0..1);
    base.routes[0].prefix = "/long/".repeat(1_000).into();
    let new = declaration(2, 0..4);
    let keep = Piece::Keep { from: 0, count: 1 };
    let bomb = Difference {
        routes: vec![keep; MAX_ITEMS],
        ..Difference::default()
    };

    let result = receive_difference(&new, &base, &bomb);

    assert!(matches!(result, Err(DocumentError::DecodedTooLong)));
}

/// Guards against pieces without items, which no limit on items ends.
#[test]
fn a_bomb_of_empty_pieces_is_refused() {
    let base = declaration(1, 0..4);
    let new = declaration(2, 0..4);
    let empty = Piece::Keep { from: 0, count: 0 };
    let bomb = Difference {
        workspaces: vec![empty; MAX_ITEMS + 1],
        ..Difference::default()
    };

    let result = receive_difference(&new, &base, &bomb);

    assert!(matches!(result, Err(DocumentError::Decode(_))));
}

#[test]
fn items_that_the_base_lacks_are_not_kept() {
    let base = declaration(1, 0..4);
    let new = declaration(2, 0..4);

    for (from, count) in [(0, 5), (4, 1), (5, 0), (u32::MAX, 1)] {
        let lacking = Difference {
            routes: vec![Piece::Keep { from, count }],
            ..Difference::default()
        };
        let result = receive_difference(&new, &base, &lacking);
        assert!(
            matches!(result, Err(DocumentError::UnknownItems)),
            "{from} {count}"
        );
    }
}

/// Guards against memory and time for what lengths claim: lists, maps, texts and bytes of 4 GiB that end at once, and
/// lists in lists.
#[test]
fn claimed_lengths_are_not_believed() {
    const LONGEST: [u8; 4] = [0xff; 4];
    let base = declaration(1, 0..4);
    let new = declaration(2, 0..4);
    let list = [&[0xdd][..], &LONGEST].concat();
    let map = [&[0xdf][..], &LONGEST].concat();
    let text = [&[0xdb][..], &LONGEST].concat();
    let bytes = [&[0xc6][..], &LONGEST].concat();
    let nested = vec![0x91; 1_000_000];
    // An insertion whose bytes claim to be long.
    let insert = [&b"\x95\x00\x91\x81\xa6Insert\x92\x01"[..], &bytes].concat();

    for value in [&list, &map, &text, &bytes, &nested, &insert] {
        let documents = [value.clone(), [&b"\x95\x00"[..], value].concat()];
        for document in documents {
            let result = receive(id(&new), Some(&base), deflated([document]));
            assert!(matches!(result, Err(DocumentError::Decode(_))));
        }
    }
}
