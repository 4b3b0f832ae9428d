//! Tests of the transfer form of declarations.

mod fixtures;
mod hostile;
mod limits;
mod parts;
mod round_trips;
mod sizes;
mod sources;
