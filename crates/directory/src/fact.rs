//! Single facts that the platform publishes.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::Display;

use crate::declaration::Declaration;

/// What a fact is about; at most one fact exists for each subject.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// The operators' configuration.
    #[strum(to_string = "configuration")]
    Declaration,
    /// An upstream, by its id.
    #[strum(to_string = "upstream {0}")]
    Upstream(SmolStr),
    /// A data centre that is taken out of service.
    #[strum(to_string = "evacuation of {0}")]
    Evacuation(SmolStr),
    /// The wanted version of a model.
    #[strum(to_string = "version of {0}")]
    Version(SmolStr),
}

/// What is published about a subject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// The configuration in force.
    Declaration(Arc<Declaration>),
    /// A registered upstream.
    Upstream(UpstreamRecord),
    /// The data centre takes no new work.
    Evacuation,
    /// The version of its weights that engines are to serve.
    Version(u64),
}

/// Whether an upstream takes work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum UpstreamState {
    /// It takes work.
    Ready,
    /// It is about to stop.
    Draining,
}

/// An upstream as it registered itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// One start of the upstream; a restart may keep the id but not [`Self::born_ms`].
    pub id: SmolStr,
    /// The service it belongs to.
    pub service: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre in which it stands.
    pub data_centre: SmolStr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: UpstreamState,
    /// How much longer it was cold when it registered, in milliseconds.
    pub cold_remaining_ms: u64,
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
    /// The models that it holds; absent for plain services.
    pub models: Option<Vec<LoadedModel>>,
}

/// A model that an engine holds whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Its name.
    pub name: SmolStr,
    /// The version of its weights.
    pub version: u64,
}
