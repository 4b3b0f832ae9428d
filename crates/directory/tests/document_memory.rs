//! Memory that hostile encodings of declarations take. A test program of its own with a single test, since the peak
//! is that of the process.

use std::{fs, io::Write};

use balsamjunction_directory::{
    Declaration, DeclarationId, DocumentError, Download, Encoding, Route, RouteKind,
    MAX_DECODED_BYTES, MAX_ENCODED_BYTES, MAX_ITEMS,
};
use flate2::{write::DeflateEncoder, Compression};
use xxhash_rust::xxh3::xxh3_64;

/// What decoding may take: the received bytes, what they inflate to, and the declaration that a difference makes of
/// its base, each in a vector that has at most twice the capacity that it needs.
const MAX_PEAK_BYTES: usize = 2 * (MAX_ENCODED_BYTES + 2 * MAX_DECODED_BYTES);

/// Bytes of each bomb before it is deflated, beyond all limits.
const BOMB_BYTES: usize = 16 * MAX_DECODED_BYTES;

/// Length of a part in bytes.
const PART_BYTES: usize = 16 * 1024;

/// Begin of the MessagePack form of a difference: five fields, the first one the version.
const DIFFERENCE: &[u8] = b"\x95\x00";

/// Rest of the MessagePack form of a difference behind its first list: two empty lists and the limits.
const REST: &[u8] = b"\x90\x90\x94\x00\x00\x00\x00";

/// Greatest physical memory that this process took so far, in bytes.
fn peak_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("the system has /proc");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|value| value.trim().strip_suffix(" kB"));
    let kib: usize = kib.and_then(|kib| kib.parse().ok()).expect("a peak in kB");
    kib * 1024
}

/// Deflates bytes, then others again and again, and an end, without ever holding them all.
fn deflated(head: &[u8], repeated: &[u8], repeats: usize, end: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(head).expect("a vector is written");
    for _ in 0..repeats {
        encoder.write_all(repeated).expect("a vector is written");
    }
    encoder.write_all(end).expect("a vector is written");
    encoder.finish().expect("a vector is written")
}

/// A list with the given number of pieces, up to the pieces themselves.
fn list(pieces: usize) -> Vec<u8> {
    let length = u32::try_from(pieces).expect("it is a list of MessagePack");
    [DIFFERENCE, b"\xdd", &length.to_be_bytes()].concat()
}

fn keep(from: u8, count: u8) -> Vec<u8> {
    [&b"\x81\xa4Keep\x92"[..], &[from, count]].concat()
}

/// A declaration with one long route.
fn base() -> Declaration {
    let route = Route {
        name: "long".into(),
        host: "long.example".into(),
        prefix: "/long/".repeat(1_000).into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        max_pause_ms: None,
        priority: 0,
        targets: Vec::new(),
        max_attempts: 1,
        public: true,
        resumable: false,
        allowed_regions: Vec::new(),
        caller_patience_ms: None,
    };
    Declaration {
        version: 1,
        routes: vec![route],
        ..Declaration::default()
    }
}

/// Transfers bytes as a difference from `base`, or as a whole without it, and decodes them.
fn receive(base: Option<&Declaration>, bytes: Vec<u8>) -> Result<Declaration, DocumentError> {
    let id = |declaration| DeclarationId::of(declaration).expect("a declaration has an id");
    let encoding = Encoding {
        id: id(&Declaration::default()),
        base: base.map(|base| id(base).digest),
        checksum: xxh3_64(&bytes),
        bytes: bytes.into(),
    };
    let mut download = Download::new(encoding.id);
    while let Some(part) = encoding.part(download.offset(), PART_BYTES) {
        download.accept(part)?;
    }
    download.finish(base)
}

/// An encoding that takes much more memory than its length, and how it has to fail.
struct Bomb<'a> {
    name: &'static str,
    base: Option<&'a Declaration>,
    bytes: Vec<u8>,
    is_expected: fn(&DocumentError) -> bool,
}

/// Guards against peers that make a gateway run out of memory, by fault or by a damaged message.
#[test]
fn hostile_encodings_take_bounded_memory() {
    let base = base();
    let bombs = bombs(&base);
    let before = peak_bytes();

    for bomb in bombs {
        let error = receive(bomb.base, bomb.bytes).expect_err(bomb.name);
        assert!((bomb.is_expected)(&error), "{}: {error}", bomb.name);
    }

    let taken = peak_bytes() - before;
    assert!(taken <= MAX_PEAK_BYTES, "{taken} bytes");
}

fn bombs(base: &Declaration) -> Vec<Bomb<'_>> {
    let zeros = vec![0; PART_BYTES];
    let (long, empty) = (keep(0, 1), keep(0, 0));
    let many = MAX_DECODED_BYTES / empty.len() - DIFFERENCE.len() - REST.len();
    vec![
        Bomb {
            name: "zeros",
            base: None,
            bytes: deflated(&[], &zeros, BOMB_BYTES / zeros.len(), &[]),
            is_expected: |error| matches!(error, DocumentError::DecodedTooLong),
        },
        Bomb {
            name: "zeros instead of a difference",
            base: Some(base),
            bytes: deflated(&[], &zeros, BOMB_BYTES / zeros.len(), &[]),
            is_expected: |error| matches!(error, DocumentError::DecodedTooLong),
        },
        Bomb {
            name: "zeros up to the limit",
            base: None,
            bytes: deflated(&[], &zeros, MAX_DECODED_BYTES / zeros.len(), &[]),
            is_expected: |error| matches!(error, DocumentError::OtherResult { .. }),
        },
        Bomb {
            name: "long items",
            base: Some(base),
            bytes: deflated(&list(MAX_ITEMS), &long, MAX_ITEMS, REST),
            is_expected: |error| matches!(error, DocumentError::DecodedTooLong),
        },
        Bomb {
            name: "empty pieces",
            base: Some(base),
            bytes: deflated(&list(many), &empty, many, REST),
            is_expected: |error| matches!(error, DocumentError::Decode(_)),
        },
        Bomb {
            name: "more pieces claimed than sent",
            base: Some(base),
            bytes: deflated(&list(u32::MAX as usize), &empty, 1, &[]),
            is_expected: |error| matches!(error, DocumentError::Decode(_)),
        },
        Bomb {
            name: "noise",
            base: None,
            bytes: noise(),
            is_expected: |error| {
                matches!(
                    error,
                    DocumentError::Inflate(_) | DocumentError::OtherResult { .. }
                )
            },
        },
    ]
}

/// As many bytes as an encoding may have that are no deflated document.
fn noise() -> Vec<u8> {
    let numbers = (0..MAX_ENCODED_BYTES as u64 / 8).map(|n| xxh3_64(&n.to_le_bytes()));
    numbers.flat_map(u64::to_le_bytes).collect()
}
