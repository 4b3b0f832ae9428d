//! Stand-ins for the users' platform: its store, its engines and its origin of weights.
//!
//! They run in the process of a test, which controls their contents and their faults. See
//! docs/PLATFORM.md.

mod engine;
mod origin;
mod scripted;
mod server;
mod store;
mod store_access;

pub use self::{
    engine::{Engine, EngineFault, EngineOptions, OrderFault, Run, StagingFault},
    origin::{Origin, CHUNK_BYTES, CHUNK_COUNT},
    scripted::{Script, ScriptedServer},
    server::{Body, ResponseResult},
    store::{Store, StoreFault},
    store_access::StoreAccess,
};
