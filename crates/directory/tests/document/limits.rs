//! Declarations that are longer than what is transferred.

use balsamjunction_directory::{
    Declaration, DeclarationId, DocumentError, Encoding, Workspace, MAX_DECODED_BYTES,
    MAX_ENCODED_BYTES, MAX_ITEMS,
};
use smol_str::{format_smolstr, SmolStr};

use crate::fixtures::{declaration, id, scattered, transfer, whole, PART_BYTES};

fn with_workspaces(names: impl IntoIterator<Item = SmolStr>) -> Declaration {
    let workspace = |name| Workspace {
        name,
        api_keys: Vec::new(),
        priority: None,
        allowed_regions: Vec::new(),
    };
    Declaration {
        workspaces: names.into_iter().map(workspace).collect(),
        ..declaration(2, 0..4)
    }
}

/// Guards against a declaration with long lists that no peer can get.
#[test]
fn a_list_that_is_too_long_for_a_difference_is_transferred_as_a_whole() {
    let base = declaration(1, 0..4);
    let long = with_workspaces((0..=MAX_ITEMS).map(|n| format_smolstr!("{n}")));

    let to_long = Encoding::difference((&base, id(&base).digest), &long);
    let from_long = Encoding::difference((&long, id(&long).digest), &base);
    let received = transfer(&whole(&long), None, PART_BYTES);

    assert!(matches!(to_long, Err(DocumentError::TooManyItems)));
    assert!(matches!(from_long, Err(DocumentError::TooManyItems)));
    assert_eq!(received.expect("it is decoded"), long);
}

#[test]
fn the_longest_list_of_a_difference_is_transferred() {
    let base = declaration(1, 0..4);
    let long = with_workspaces((0..MAX_ITEMS).map(|n| format_smolstr!("{n}")));
    let longest = crate::fixtures::difference(&base, &long);

    let received = transfer(&longest, Some(&base), PART_BYTES);

    assert_eq!(received.expect("it is decoded"), long);
}

#[test]
fn a_declaration_that_is_deflated_to_more_than_the_limit_is_refused() {
    let base = declaration(1, 0..4);
    // Each key has 32 characters of 4 random bits, so that they take at least half of their length however they are
    // compressed.
    let keys = 3 * MAX_ENCODED_BYTES as u64 / 32;
    let key = |n| format_smolstr!("{:016x}{:016x}", scattered(60, n), scattered(61, n));
    let mut long = with_workspaces(["a".into()]);
    long.workspaces[0].api_keys = (0..keys).map(key).collect();

    let encoded = Encoding::whole(&long);
    let compared = Encoding::difference((&base, id(&base).digest), &long);

    DeclarationId::of(&long).expect("it is within the other limit");
    for result in [encoded, compared] {
        assert!(matches!(
            result,
            Err(DocumentError::EncodedTooLong { length }) if length > MAX_ENCODED_BYTES
        ));
    }
}

#[test]
fn a_declaration_longer_than_the_limit_is_refused() {
    let base = declaration(1, 0..4);
    let long = with_workspaces([SmolStr::from("a".repeat(MAX_DECODED_BYTES))]);

    let named = DeclarationId::of(&long);
    let encoded = Encoding::whole(&long);
    let compared = Encoding::difference((&base, id(&base).digest), &long);

    for error in [
        named.err(),
        encoded.map(drop).err(),
        compared.map(drop).err(),
    ] {
        assert!(matches!(error, Some(DocumentError::DecodedTooLong)));
    }
}
