//! What a download accepts and refuses, part by part.

use balsamjunction_directory::{
    DocumentError, Download, Encoding, Part, Progress, MAX_ENCODED_BYTES,
};
use bytes::Bytes;

use crate::fixtures::{declaration, difference, fetch, id, whole};

const SMALL_PART_BYTES: usize = 100;

fn encoding() -> Encoding {
    whole(&declaration(2, 0..20))
}

fn part(encoding: &Encoding, offset: u32) -> Part {
    let part = encoding.part(offset, SMALL_PART_BYTES);
    part.expect("the encoding has such a part")
}

/// A download that received the first two parts.
fn begun(encoding: &Encoding) -> Download {
    let mut download = Download::new(encoding.id);
    for _ in 0..2 {
        let next = part(encoding, download.offset());
        download.accept(next).expect("it is the next part");
    }
    download
}

/// Asserts that the download has not changed and is finished by the parts that follow.
fn assert_usable(mut download: Download, encoding: &Encoding) {
    assert_eq!(download.offset(), 2 * SMALL_PART_BYTES as u32);
    fetch(&mut download, encoding, SMALL_PART_BYTES).expect("the parts follow");
    let received = download.finish(None).expect("it is complete");
    assert_eq!(id(&received), encoding.id);
}

#[test]
fn parts_cover_the_encoding_once() {
    let encoding = encoding();
    let mut bytes = Vec::new();

    while let Some(part) = encoding.part(bytes.len() as u32, SMALL_PART_BYTES) {
        assert_eq!(part.total as usize, encoding.bytes.len());
        assert!(part.bytes.len() <= SMALL_PART_BYTES);
        bytes.extend_from_slice(&part.bytes);
    }

    assert_eq!(bytes, encoding.bytes);
    assert_eq!(encoding.part(u32::MAX, usize::MAX), None);
    assert_eq!(encoding.part(0, 0), None);
}

#[test]
fn progress_is_complete_with_the_last_part() {
    let encoding = encoding();
    let mut download = Download::new(encoding.id);
    assert_eq!(download.total(), None);

    while let Some(part) = encoding.part(download.offset(), SMALL_PART_BYTES) {
        let last = part.offset as usize + part.bytes.len() == encoding.bytes.len();
        let progress = download.accept(part).expect("it is the next part");
        let expected = if last {
            Progress::Complete
        } else {
            Progress::Partial
        };
        assert_eq!(progress, expected);
    }

    assert_eq!(download.id(), encoding.id);
    assert_eq!(download.total(), Some(encoding.bytes.len() as u32));
    assert_eq!(download.checksum(), Some(encoding.checksum));
    assert_eq!(download.base(), None);
}

#[test]
fn a_repeated_part_changes_nothing() {
    let encoding = encoding();
    let mut download = begun(&encoding);

    for offset in [0, SMALL_PART_BYTES as u32, 30] {
        let progress = download.accept(part(&encoding, offset));
        assert_eq!(progress.expect("it repeats a part"), Progress::Partial);
    }

    assert_usable(download, &encoding);
}

#[test]
fn a_part_that_repeats_a_range_with_other_bytes_is_refused() {
    let encoding = encoding();
    let mut download = begun(&encoding);
    let mut other = part(&encoding, 0);
    other.bytes = Bytes::from(vec![0; SMALL_PART_BYTES]);

    let result = download.accept(other);

    assert!(matches!(
        result,
        Err(DocumentError::ConflictingPart { offset: 0 })
    ));
    assert_usable(download, &encoding);
}

#[test]
fn a_part_out_of_order_is_refused() {
    let encoding = encoding();
    let mut download = begun(&encoding);
    let received = download.offset();

    // One begins behind the next byte, one overlaps the end of what was received.
    for offset in [received + 1, received - 1] {
        let result = download.accept(part(&encoding, offset));
        assert!(matches!(
            result,
            Err(DocumentError::OtherOffset { expected, received: at })
                if expected == received && at == offset
        ));
    }

    assert_usable(download, &encoding);
}

#[test]
fn the_first_part_has_to_begin_at_zero() {
    let encoding = encoding();
    let mut download = Download::new(encoding.id);

    let result = download.accept(part(&encoding, 1));

    assert!(matches!(result, Err(DocumentError::OtherOffset { .. })));
    assert_eq!(download.total(), None);
}

#[test]
fn a_part_of_another_declaration_is_refused() {
    let encoding = encoding();
    let mut download = begun(&encoding);
    let other = whole(&declaration(3, 0..20));

    let result = download.accept(part(&other, download.offset()));

    assert!(matches!(
        result,
        Err(DocumentError::OtherDeclaration { expected, received })
            if expected == encoding.id && received == other.id
    ));
    assert_usable(download, &encoding);
}

#[test]
fn a_part_of_another_encoding_is_refused_until_a_restart() {
    let base = declaration(1, 0..10);
    let new = declaration(2, 0..20);
    let encoding = whole(&new);
    let other = difference(&base, &new);
    let mut download = begun(&encoding);

    let refused = download.accept(part(&other, download.offset()));
    let mut restarted = download.clone();
    restarted.restart();

    assert!(matches!(refused, Err(DocumentError::OtherEncoding)));
    assert_usable(download, &encoding);
    assert_eq!((restarted.id(), restarted.offset()), (other.id, 0));
    fetch(&mut restarted, &other, SMALL_PART_BYTES).expect("it began again");
    assert_eq!(restarted.base(), Some(id(&base).digest));
    assert_eq!(restarted.finish(Some(&base)).expect("it is complete"), new);
}

#[test]
fn parts_that_differ_in_one_property_of_the_encoding_are_refused() {
    let encoding = encoding();
    let mut download = begun(&encoding);
    let next = part(&encoding, download.offset());
    let mut other_base = next.clone();
    other_base.base = Some(encoding.id.digest);
    let mut other_checksum = next.clone();
    other_checksum.checksum ^= 1;
    let mut other_total = next;
    other_total.total -= 1;

    for other in [other_base, other_checksum, other_total] {
        let result = download.accept(other);
        assert!(matches!(result, Err(DocumentError::OtherEncoding)));
    }

    assert_usable(download, &encoding);
}

#[test]
fn a_part_without_bytes_is_refused() {
    let encoding = encoding();
    let mut download = begun(&encoding);
    let mut empty = part(&encoding, download.offset());
    empty.bytes = Bytes::new();

    let result = download.accept(empty);

    assert!(matches!(result, Err(DocumentError::EmptyPart)));
    assert_usable(download, &encoding);
}

#[test]
fn a_part_beyond_the_end_is_refused() {
    let encoding = encoding();
    let mut download = begun(&encoding);
    let mut long = part(&encoding, download.offset());
    long.bytes = Bytes::from(vec![0; encoding.bytes.len()]);
    let mut far = part(&encoding, download.offset());
    far.offset = u32::MAX;

    for beyond in [long, far] {
        let result = download.accept(beyond);
        assert!(matches!(result, Err(DocumentError::BeyondEnd { .. })));
    }

    assert_usable(download, &encoding);
}

#[test]
fn an_encoding_that_is_too_long_is_refused_at_its_first_part() {
    for total in [MAX_ENCODED_BYTES as u32 + 1, u32::MAX] {
        let encoding = encoding();
        let mut download = Download::new(encoding.id);
        let mut first = part(&encoding, 0);
        first.total = total;

        let result = download.accept(first);

        assert!(matches!(
            result,
            Err(DocumentError::EncodedTooLong { length }) if length == total as usize
        ));
        assert_eq!((download.offset(), download.total()), (0, None));
    }
}

#[test]
fn an_incomplete_download_is_not_finished() {
    let encoding = encoding();
    let download = begun(&encoding);
    let none = Download::new(encoding.id);

    let begun_result = download.finish(None);
    let none_result = none.finish(None);

    assert!(matches!(
        begun_result,
        Err(DocumentError::Incomplete { received }) if received == download.offset()
    ));
    assert!(matches!(
        none_result,
        Err(DocumentError::Incomplete { received: 0 })
    ));
    assert_usable(download, &encoding);
}

#[test]
fn a_download_with_a_wrong_byte_fails_and_can_be_restarted() {
    let encoding = encoding();
    let mut download = Download::new(encoding.id);
    let mut first = part(&encoding, 0);
    let mut bytes = first.bytes.to_vec();
    bytes[50] ^= 1;
    first.bytes = bytes.into();
    download.accept(first).expect("it is the first part");
    fetch(&mut download, &encoding, SMALL_PART_BYTES).expect("the parts follow");

    let result = download.finish(None);
    download.restart();
    fetch(&mut download, &encoding, SMALL_PART_BYTES).expect("it began again");

    assert!(matches!(result, Err(DocumentError::WrongChecksum)));
    assert_eq!(
        id(&download.finish(None).expect("it is complete")),
        encoding.id
    );
}
