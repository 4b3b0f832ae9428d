//! What a change costs on a link.

use std::io::Write;

use balsamjunction_directory::{Declaration, Route};
use flate2::{write::DeflateEncoder, Compression};

use crate::fixtures::{declaration, difference, route, scattered, transfer, PART_BYTES};

/// Routes of the configuration before the large change, and those that it adds.
const OLD_ROUTES: u64 = 240;
const NEW_ROUTES: u64 = 1_560;

/// Most that a difference may take beside its new routes, in percent of what these take alone.
const MAX_OVERHEAD_PERCENT: usize = 10;

/// Most that a taken key may take, in bytes.
const MAX_TAKEN_KEY_BYTES: usize = 1024;

/// Length in bytes of the new routes alone.
fn deflated_routes(routes: impl IntoIterator<Item = u64>) -> usize {
    let routes: Vec<Route> = routes.into_iter().map(route).collect();
    let document = rmp_serde::to_vec(&routes).expect("routes are encoded");
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&document).expect("a vector is written");
    encoder.finish().expect("a vector is written").len()
}

fn assert_takes_its_new_routes_alone(base: &Declaration, new: &Declaration) {
    let alone = deflated_routes(OLD_ROUTES..OLD_ROUTES + NEW_ROUTES);

    let encoding = difference(base, new);

    let length = encoding.bytes.len();
    let bound = alone * (100 + MAX_OVERHEAD_PERCENT) / 100;
    assert!(length <= bound, "{length} bytes, at most {bound}");
    assert_eq!(
        &transfer(&encoding, Some(base), PART_BYTES).expect("it is decoded"),
        new
    );
}

#[test]
fn appended_routes_take_little_more_than_themselves() {
    let base = declaration(1, 0..OLD_ROUTES);
    let new = declaration(2, 0..OLD_ROUTES + NEW_ROUTES);

    assert_takes_its_new_routes_alone(&base, &new);
}

#[test]
fn routes_that_are_added_in_between_take_little_more_than_themselves() {
    let base = declaration(1, 0..OLD_ROUTES);
    let mut routes: Vec<u64> = (0..OLD_ROUTES + NEW_ROUTES).collect();
    routes.sort_by_key(|n| scattered(50, *n));
    // The routes of the base keep their order.
    let mut old = 0..OLD_ROUTES;
    for n in routes.iter_mut().filter(|n| **n < OLD_ROUTES) {
        *n = old.next().expect("there are as many");
    }
    let new = declaration(2, routes);

    assert_takes_its_new_routes_alone(&base, &new);
}

#[test]
fn a_taken_key_takes_little_in_a_large_configuration() {
    let base = declaration(1, 0..OLD_ROUTES + NEW_ROUTES);
    for workspace in 0..base.workspaces.len() {
        let mut new = base.clone();
        new.version = 2;
        new.workspaces[workspace].api_keys.pop();

        let encoding = difference(&base, &new);

        assert!(encoding.bytes.len() < MAX_TAKEN_KEY_BYTES);
        let received = transfer(&encoding, Some(&base), PART_BYTES);
        assert_eq!(received.expect("it is decoded"), new);
    }
}
