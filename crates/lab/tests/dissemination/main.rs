//! How a change of 1 MiB reaches all gateways, in virtual time: `policy::relay` on the links of the bench.

mod bounds;
mod calm;
mod command;
mod faults;
mod former;
mod histories;
mod network;
mod report;
