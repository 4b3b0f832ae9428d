//! Entries that know nothing of each other's load.

use super::*;

/// Which engine each of `entries` sends each of `requests` to, while none of them has ended; nothing
/// is told of load.
fn sends(entries: usize, engines: usize, requests: usize) -> Vec<Vec<SmolStr>> {
    (0..entries)
        .map(|own| {
            let mut world = World::new();
            for n in 0..engines {
                world.put(at(0), engine(&format!("e{n:03}"), "addis-a"));
            }
            world.configure_among(&[], entries_among(own, entries));
            (0..requests)
                .filter_map(|_| world.sent_to(at(10), generation(at(10))))
                .collect()
        })
        .collect()
}

// On a quiet day of the large fleet a third of the answers were late: entries that knew nothing of
// each other's load chose the same engines.
#[test]
fn entries_that_know_nothing_of_each_other_do_not_choose_the_same_engines() {
    let sends = sends(7, 28, 4);

    let mut counts: HashMap<SmolStr, usize> = HashMap::new();
    for id in sends.iter().flatten() {
        *counts.entry(id.clone()).or_default() += 1;
    }
    // As many requests as engines, and each entry has its own part.
    assert_eq!(counts.len(), 28, "{counts:?}");
}

#[test]
fn an_entry_whose_part_is_busy_sends_to_its_neighbours_engines() {
    let sends = sends(7, 28, 24);

    for own in sends {
        let used: BTreeSet<_> = own.iter().collect();
        assert!(used.len() > 8, "{used:?}");
    }
}

#[test]
fn an_entry_without_a_part_serves_all_the_same() {
    let sends = sends(12, 3, 1);

    assert!(sends.iter().all(|own| own.len() == 1));
}
