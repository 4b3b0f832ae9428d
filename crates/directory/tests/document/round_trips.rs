//! An encoding gives the declaration that it was made from, and names it by its content.

use balsamjunction_directory::{Declaration, Digest, DocumentError, Encoding, Part};
use proptest::prelude::*;

use crate::fixtures::{
    changed_declaration, declaration, difference, id, single_part, transfer, whole, PART_BYTES,
};

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    #[test]
    fn encodings_reproduce_the_declaration(
        (base, new) in changed_declaration(),
        max_bytes in 1usize..4_000,
    ) {
        let from_whole = transfer(&whole(&new), None, max_bytes).expect("the whole is decoded");
        let from_difference = transfer(&difference(&base, &new), Some(&base), max_bytes)
            .expect("the difference is decoded");

        prop_assert_eq!(id(&from_whole), id(&new));
        prop_assert_eq!(id(&from_difference), id(&new));
        prop_assert_eq!(from_whole, new.clone());
        prop_assert_eq!(from_difference, new);
    }

    /// Gateways that hold equal declarations, however they came by them, are sources of the same encoding.
    #[test]
    fn encodings_depend_on_the_content_alone((base, new) in changed_declaration()) {
        let received_base = transfer(&whole(&base), None, PART_BYTES).expect("the whole is decoded");
        let received_new = transfer(&difference(&base, &new), Some(&base), PART_BYTES)
            .expect("the difference is decoded");

        prop_assert_eq!(whole(&received_new), whole(&new));
        prop_assert_eq!(difference(&received_base, &received_new), difference(&base, &new));
    }

    #[test]
    fn different_declarations_have_different_ids((base, new) in changed_declaration()) {
        prop_assert_eq!(id(&base) == id(&new), base == new);
    }
}

#[test]
fn the_empty_declaration_is_transferred() {
    let empty = Declaration::default();
    let full = declaration(3, 0..5);

    let received = transfer(&whole(&empty), None, PART_BYTES).expect("it is decoded");
    let emptied = transfer(&difference(&full, &empty), Some(&full), PART_BYTES);
    let filled = transfer(&difference(&empty, &full), Some(&empty), PART_BYTES);

    assert_eq!(received, empty);
    assert_eq!(emptied.expect("it is decoded"), empty);
    assert_eq!(filled.expect("it is decoded"), full);
}

/// Guards against order that is lost where one item occurs several times.
#[test]
fn repeated_items_keep_their_places() {
    let base = declaration(1, [1, 1, 2, 1, 3, 1, 1]);
    let new = declaration(2, [1, 3, 1, 1, 1, 2, 2, 1, 4, 1]);

    let received = transfer(&difference(&base, &new), Some(&base), PART_BYTES);

    assert_eq!(received.expect("it is decoded"), new);
}

#[test]
fn a_version_that_is_given_out_again_has_another_id() {
    let first = id(&declaration(7, 0..5));
    let second = id(&declaration(7, 0..6));

    assert_eq!(first.version, second.version);
    assert_ne!(first.digest, second.digest);
}

#[test]
fn the_digest_is_blake3_of_the_message_pack_form() {
    let declaration = declaration(7, 0..5);
    let document = rmp_serde::to_vec(&declaration).expect("it has a MessagePack form");

    let digest = id(&declaration).digest;

    assert_eq!(digest.as_bytes(), blake3::hash(&document).as_bytes());
    assert_eq!(
        digest.to_string(),
        blake3::hash(&document).to_hex().as_str()
    );
}

/// Guards against bytes that are sent as lists of numbers, which take up to twice the space.
#[test]
fn a_part_travels_as_bytes() {
    /// More than the fields beside the bytes take: two digests of 32 bytes, and five numbers of 9 bytes at most with
    /// their markers.
    const MAX_OVERHEAD_BYTES: usize = 128;
    let base = declaration(6, 0..5);
    let part = single_part(&difference(&base, &declaration(7, 0..100)));

    let message = rmp_serde::to_vec(&part).expect("a part is encoded");
    let received: Part = rmp_serde::from_slice(&message).expect("a part is decoded");

    assert!(message.len() <= part.bytes.len() + MAX_OVERHEAD_BYTES);
    assert_eq!(received, part);
}

#[test]
fn a_digest_of_another_length_is_refused() {
    let short = rmp_serde::to_vec(&bytes::Bytes::from_static(&[1; Digest::BYTES - 1]));
    let long = rmp_serde::to_vec(&bytes::Bytes::from_static(&[1; Digest::BYTES + 1]));

    for message in [short, long] {
        let message = message.expect("bytes are encoded");
        rmp_serde::from_slice::<Digest>(&message).expect_err("it has another length");
    }
}

#[test]
fn a_difference_needs_its_base() {
    let base = declaration(1, 0..10);
    let other = declaration(1, 0..11);
    let encoding = difference(&base, &declaration(2, 0..12));

    let without = transfer(&encoding, None, PART_BYTES);
    let with_other = transfer(&encoding, Some(&other), PART_BYTES);

    for result in [without, with_other] {
        let Err(DocumentError::OtherBase { base: wanted }) = result else {
            panic!("{result:?} instead of a lacking base");
        };
        assert_eq!(wanted, id(&base).digest);
    }
}

/// Guards against a declaration that is taken for another version of itself.
#[test]
fn an_announcement_of_another_version_is_not_satisfied() {
    let declaration = declaration(2, 0..12);
    let mut encoding: Encoding = whole(&declaration);
    encoding.id.version += 1;

    let result = transfer(&encoding, None, PART_BYTES);

    assert!(
        matches!(result, Err(DocumentError::OtherResult { expected }) if expected == encoding.id)
    );
}

/// Guards against a configuration without workspaces that is taken for one whose list of them is empty, or the other way
/// round: their digests were equal.
#[test]
fn an_empty_list_of_workspaces_differs_from_none() {
    let full = declaration(1, 0..2);
    let none = Declaration {
        workspaces: Vec::new(),
        ..declaration(2, 0..2)
    };
    let empty = Declaration {
        empty_workspace_list: true,
        ..none.clone()
    };

    assert_ne!(id(&none), id(&empty));
    for (base, new) in [
        (&full, &empty),
        (&empty, &none),
        (&none, &empty),
        (&empty, &full),
    ] {
        let from_whole = transfer(&whole(new), None, PART_BYTES).expect("it is decoded");
        let from_difference = transfer(&difference(base, new), Some(base), PART_BYTES);
        assert_eq!(&from_whole, new);
        assert_eq!(&from_difference.expect("it is decoded"), new);
    }
}

/// Guards against a change of the transfer form that processes of earlier builds do not read.
#[test]
fn the_transfer_form_of_a_list_with_workspaces_is_that_of_earlier_builds() {
    let declaration = declaration(3, 0..2);

    let document = rmp_serde::to_vec(&declaration).expect("it is encoded");

    // An array of five, as before there was a mark for an empty list.
    assert_eq!(document[0], 0x95);
}
