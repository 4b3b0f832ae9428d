//! Integration tests of gateways and stagers, which run as real processes against stand-ins for the platform.

mod common;
mod deadly_parts;
mod deadly_requests;
mod departures;
mod endless_sums;
mod explained;
mod faulty_refusals;
mod held_link;
mod hostile;
mod large_configuration;
mod lifecycle;
mod limits;
mod lost_readers;
mod odd_entries;
mod planned_stops;
mod prompt_prefixes;
mod recalls;
mod requests;
mod restored_store;
mod service_time;
mod silence;
mod slow_links;
mod soak;
mod streams;
mod versions;
mod weights;
