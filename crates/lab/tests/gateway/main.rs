//! Integration tests of gateways and stagers: the real programs against stand-ins of the platform.

mod common;
mod departures;
mod explained;
mod hostile;
mod lifecycle;
mod requests;
mod soak;
mod streams;
mod versions;
mod weights;
