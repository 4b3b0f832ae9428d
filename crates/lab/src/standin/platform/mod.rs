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
    origin::{Origin, CHUNK_BYTES, CHUNK_COUNT},
    scripted::{Script, ScriptedServer},
    server::{Body, ResponseResult},
    store::{Store, StoreFault},
};
