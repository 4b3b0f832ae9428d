//! Downloads whose parts come from several sources and get lost, repeated, reordered or damaged on the way.

use balsamjunction_directory::{Declaration, Download, Encoding, Part, Progress};
use proptest::{collection::vec, prelude::*, sample::Index};

use crate::fixtures::{changed_declaration, declaration, difference, fetch, id, whole};

/// Something that happens to a download.
#[derive(Clone, Debug)]
enum Event {
    /// The next part of a source arrives.
    Next { source: Index, max_bytes: usize },
    /// A part of a source arrives from anywhere in the encoding, late or again.
    Stray {
        source: Index,
        offset: Index,
        max_bytes: usize,
    },
    /// The next part of a source arrives with a wrong bit.
    Damaged {
        source: Index,
        max_bytes: usize,
        bit: Index,
    },
    /// The receiver gives up what it has.
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    let max_bytes = || 1usize..600;
    prop_oneof![
        12 => (any::<Index>(), max_bytes())
            .prop_map(|(source, max_bytes)| Event::Next { source, max_bytes }),
        4 => (any::<Index>(), any::<Index>(), max_bytes())
            .prop_map(|(source, offset, max_bytes)| Event::Stray { source, offset, max_bytes }),
        1 => (any::<Index>(), max_bytes(), any::<Index>())
            .prop_map(|(source, max_bytes, bit)| Event::Damaged { source, max_bytes, bit }),
        1 => Just(Event::Restart),
    ]
}

fn damaged(mut part: Part, bit: Index) -> Part {
    let mut bytes = part.bytes.to_vec();
    let bit = bit.index(8 * bytes.len());
    bytes[bit / 8] ^= 1 << (bit % 8);
    part.bytes = bytes.into();
    part
}

/// The part that an event brings; none if the source has nothing there.
fn arriving(event: &Event, sources: &[Encoding], offset: u32) -> Option<Part> {
    match event {
        Event::Next { source, max_bytes } => source.get(sources).part(offset, *max_bytes),
        Event::Stray {
            source,
            offset,
            max_bytes,
        } => {
            let source = source.get(sources);
            source.part(offset.index(source.bytes.len()) as u32, *max_bytes)
        }
        Event::Damaged {
            source,
            max_bytes,
            bit,
        } => {
            let part = source.get(sources).part(offset, *max_bytes)?;
            Some(damaged(part, *bit))
        }
        Event::Restart => None,
    }
}

/// What a download has received, as the receiver of its parts sees it.
fn state(download: &Download) -> (u32, Option<u64>, Option<Part>) {
    let received = download.part(0, usize::MAX);
    (download.offset(), download.checksum(), received)
}

/// The declaration that a complete download gives.
fn finished(download: &Download, base: &Declaration, other: &Declaration) -> Option<Declaration> {
    let base = [base, other]
        .into_iter()
        .find(|base| Some(id(base).digest) == download.base());
    download.finish(base).ok()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(32),
        ..ProptestConfig::default()
    })]

    /// Whatever arrives, the download holds a beginning of one encoding unless a part was damaged, a refused part
    /// changes nothing, and no other declaration than the announced one comes out.
    #[test]
    fn a_download_gives_the_announced_declaration_or_none(
        (base, new) in changed_declaration(),
        events in vec(event(), 0..60),
    ) {
        let other = declaration(9, 0..3);
        let sources = [
            whole(&new),
            difference(&base, &new),
            difference(&other, &new),
            whole(&base),
        ];
        let mut download = Download::new(id(&new));
        let mut is_damaged = false;

        for event in &events {
            if let Some(part) = arriving(event, &sources, download.offset()) {
                let before = state(&download);
                let end = part.offset + part.bytes.len() as u32;
                let accepted = download.accept(part);
                if accepted.is_err() || end <= before.0 {
                    prop_assert_eq!(state(&download), before);
                } else {
                    prop_assert_eq!(download.offset(), end);
                    is_damaged |= matches!(event, Event::Damaged { .. });
                }
                if let Ok(progress) = accepted {
                    let is_complete = Some(download.offset()) == download.total();
                    prop_assert_eq!(progress == Progress::Complete, is_complete);
                }
            } else if matches!(event, Event::Restart) {
                download.restart();
                is_damaged = false;
                prop_assert_eq!(state(&download), (0, None, None));
            }

            if let Some(received) = download.part(0, usize::MAX).filter(|_| !is_damaged) {
                let source = sources.iter().find(|source| {
                    source.id == received.id
                        && source.base == received.base
                        && source.checksum == received.checksum
                });
                let source = source.expect("it is a part of one of the sources");
                prop_assert_eq!(&received.bytes[..], &source.bytes[..download.offset() as usize]);
            }
            if let Some(result) = finished(&download, &base, &other) {
                prop_assert_eq!(id(&result), id(&new));
                prop_assert!(!is_damaged);
            }
        }

        download.restart();
        fetch(&mut download, &sources[1], 500).expect("it began again");
        prop_assert_eq!(download.finish(Some(&base)).expect("it is complete"), new);
    }

    /// Peers hand on what they have while they receive it themselves, each at its own pace.
    #[test]
    fn parts_are_handed_on_before_the_end(
        (base, new) in changed_declaration(),
        steps in vec((1usize..5, 1usize..300), 1..200),
    ) {
        let source = difference(&base, &new);
        let mut chain = vec![Download::new(source.id); 5];

        let all = (1..5).map(|receiver| (receiver, usize::MAX));
        let rest = std::iter::once((0, usize::MAX)).chain(all);
        for (receiver, max_bytes) in steps.into_iter().chain(rest) {
            let first_hop = source.part(chain[0].offset(), max_bytes);
            if let Some(part) = first_hop {
                chain[0].accept(part).expect("it is the next part");
            }
            if receiver > 0 {
                let next = chain[receiver - 1].part(chain[receiver].offset(), max_bytes);
                if let Some(part) = next {
                    chain[receiver].accept(part).expect("it is the next part");
                }
                prop_assert!(chain[receiver].offset() <= chain[receiver - 1].offset());
            }
        }

        for download in &chain {
            prop_assert_eq!(&download.finish(Some(&base)).expect("it is complete"), &new);
        }
    }
}

/// Guards against transfers that begin at the first byte again when their source is lost.
#[test]
fn another_peer_continues_where_the_first_one_stopped() {
    const MAX_BYTES: usize = 1_000;
    let base = declaration(1, 0..240);
    let new = declaration(2, 0..400);
    let first = difference(&base, &new);
    let second = difference(&base.clone(), &new.clone());
    let mut download = Download::new(first.id);
    let mut transferred = 0;
    for _ in 0..3 {
        let part = first.part(download.offset(), MAX_BYTES);
        let part = part.expect("the encoding is longer");
        transferred += part.bytes.len();
        download.accept(part).expect("it is the next part");
    }

    transferred += fetch(&mut download, &second, MAX_BYTES).expect("it is the same encoding");

    assert_eq!(transferred, first.bytes.len());
    assert_eq!(download.finish(Some(&base)).expect("it is complete"), new);
}
