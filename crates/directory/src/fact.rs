//! Facts that the platform publishes.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::Display;

use crate::{declaration::Declaration, document::DeclarationId};

/// Subject of a fact. At most one fact exists for each subject.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// The operators' configuration.
    #[strum(to_string = "configuration")]
    Declaration,
    /// An upstream, by its id.
    #[strum(to_string = "upstream {0}")]
    Upstream(SmolStr),
    /// The evacuation of a data centre, by the data centre's name.
    #[strum(to_string = "evacuation of {0}")]
    Evacuation(SmolStr),
    /// The target version of a model, by the model's name.
    #[strum(to_string = "version of {0}")]
    Version(SmolStr),
}

/// The value that is published for a subject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// The configuration in force.
    Declaration(Arc<Declaration>),
    /// A configuration that was published, named instead of contained because of its length. It occurs in changes
    /// only: a replica replaces it by the configuration once that is there.
    Announced(DeclarationId),
    /// A registered upstream.
    Upstream(UpstreamRecord),
    /// The data centre accepts no new requests.
    Evacuation,
    /// The version of the model's weights that engines are to serve.
    Version(u64),
}

/// Whether an upstream accepts requests.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum UpstreamState {
    /// It accepts requests.
    Ready,
    /// It is about to stop and accepts no new requests.
    Draining,
}

/// An upstream's record, as it registered itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Id of the upstream. A restart may keep the id, but changes [`Self::started_at_ms`].
    pub id: SmolStr,
    /// Name of the service that it belongs to.
    pub service: SmolStr,
    /// Listening address.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub data_centre: SmolStr,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: UpstreamState,
    /// Remaining cold time at its registration, in milliseconds.
    pub cold_remaining_ms: u64,
    /// Start time of this incarnation, in milliseconds since the Unix epoch.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
    /// The models that it has loaded; absent for services without a model.
    pub models: Option<Vec<LoadedModel>>,
}

/// A model that an engine has loaded completely.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub name: SmolStr,
    /// Version of its weights.
    pub version: u64,
}
