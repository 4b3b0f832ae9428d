//! Stand-ins that speak the users' platform: its store, its engines, its origin of weights.
//!
//! They run in the process of a test, which changes what they publish and how they fail. See
//! docs/PLATFORM.md.

mod engine;
mod origin;
mod scripted;
mod server;
mod store;

pub use self::{
    engine::{Engine, EngineFault, EngineOptions, Run},
    origin::{Origin, CHUNKS, CHUNK_BYTES},
    scripted::{Script, Scripted},
    server::{Body, Reply},
    store::{Store, StoreFault},
};
