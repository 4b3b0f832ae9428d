//! Subsets of upstreams that entries prefer while they have no reports of each other's load.

use super::*;

/// The engines to which each of `entries` sends each of `requests`, while no request ends and no load is
/// reported.
fn engines_by_entry(entries: usize, engines: usize, requests: usize) -> Vec<Vec<SmolStr>> {
    (0..entries)
        .map(|own| {
            let mut cluster = TestCluster::new();
            for n in 0..engines {
                cluster.register(millis(0), engine_record(&format!("e{n:03}"), "addis-a"));
            }
            cluster.configure_entries(&[], test_entries(own, entries));
            (0..requests)
                .filter_map(|_| cluster.try_send_id(millis(10), engine_request(millis(10))))
                .collect()
        })
        .collect()
}

// Guards against entries that select the same engines since they do not know each other's load. In a
// large fleet under light load, a third of the responses were late because of it.
#[test]
fn entries_without_load_reports_do_not_select_the_same_engines() {
    let sends = engines_by_entry(7, 28, 4);

    let mut counts: HashMap<SmolStr, usize> = HashMap::new();
    for id in sends.iter().flatten() {
        *counts.entry(id.clone()).or_default() += 1;
    }
    // There are as many requests as engines, and each entry has its own subset.
    assert_eq!(counts.len(), 28, "{counts:?}");
}

#[test]
fn an_entry_whose_subset_is_busy_uses_engines_of_other_subsets() {
    let sends = engines_by_entry(7, 28, 24);

    for own in sends {
        let used: BTreeSet<_> = own.iter().collect();
        assert!(used.len() > 8, "{used:?}");
    }
}

#[test]
fn an_entry_with_an_empty_subset_still_sends_requests() {
    let sends = engines_by_entry(12, 3, 1);

    assert!(sends.iter().all(|own| own.len() == 1));
}
