//! The operators' configuration: routes, services, workspaces, limits.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumString};

/// One whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Declaration {
    /// Grows with every accepted configuration.
    pub version: u64,
    /// Where requests go, by host name and path.
    pub routes: Vec<Route>,
    /// The services that routes name, and the origin of weights.
    pub services: Vec<Service>,
    /// Who may call; empty if requests carry no keys.
    pub workspaces: Vec<Workspace>,
    /// What a caller may send.
    pub limits: CallerLimits,
}

impl Declaration {
    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The origin of weights, if one is declared.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.iter().find_map(|s| s.origin.as_ref())
    }
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// Answers with a series of events.
    Streaming,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: SmolStr,
    /// The host name that requests are sent to.
    pub host: SmolStr,
    /// The start of the path; begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer, or a stream's first event, is wanted, in milliseconds.
    pub target_latency_ms: u64,
    /// The longest pause between events for which a stream is still on time, in milliseconds.
    pub max_pause_ms: Option<u64>,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// The services that share the route's requests by weight.
    pub targets: Vec<Target>,
    /// Upstreams on which one request may run.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may go on at another upstream.
    pub resumable: bool,
    /// Regions to which requests are confined; empty for all.
    #[serde(rename = "homes")]
    pub allowed_regions: Vec<SmolStr>,
}

impl Route {
    /// Whether a request that may have run can be sent again.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: SmolStr,
    /// Its share relative to the others.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: SmolStr,
    /// Connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// How long an upstream is cold after its start, in milliseconds.
    pub cold_start_ms: u64,
    /// Requests that a cold upstream bears in a second; zero if it does not mind.
    #[serde(rename = "cold_per_s")]
    pub cold_requests_per_s: f64,
    /// How its engines work, if it serves a model.
    pub engine: Option<EngineProfile>,
    /// Where weights come from, if this service is their origin.
    pub origin: Option<Origin>,
}

/// The published performance of a service's engines; see docs/ROUTING.md, "Estimates".
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Requests that run at once.
    pub slots: u32,
    /// One token for every running request, in milliseconds.
    pub step_ms: f64,
    /// What each running request adds to a step, in milliseconds.
    pub step_ms_per_request: f64,
    /// What 1,000 tokens of a request's context add to a step, in milliseconds.
    pub step_ms_per_context_k: f64,
    /// Prompt tokens that are read in a millisecond.
    #[serde(rename = "read_tokens_per_ms")]
    pub prefill_tokens_per_ms: f64,
    /// Steps in one pass of an engine that writes.
    pub steps_per_pass: u32,
    /// Mean prompt length in tokens.
    #[serde(rename = "usual_prompt_tokens")]
    pub mean_prompt_tokens: f64,
    /// Mean answer length in tokens.
    #[serde(rename = "usual_answer_tokens")]
    pub mean_output_tokens: f64,
    /// Layers of the model.
    pub layers: u32,
    /// The models that engines may load.
    pub models: Vec<ServedModel>,
}

/// A model that the engines of a service may load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServedModel {
    /// Its name.
    pub name: SmolStr,
    /// Time to take staged weights into use, in milliseconds.
    #[serde(rename = "warm_ms")]
    pub load_ms: u64,
}

/// The origin of weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// IP number and port.
    pub address: SmolStr,
    /// Connections that it accepts from all callers together.
    pub max_connections: u32,
    /// What its link carries, in kilobits a second; zero if that is not declared.
    #[serde(default)]
    pub link_kbit_s: u32,
}

/// Who may call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: SmolStr,
    /// The keys that its callers use.
    #[serde(rename = "keys")]
    pub api_keys: Vec<SmolStr>,
    /// Goes before the route's priority, if present.
    pub priority: Option<u8>,
    /// Regions to which its requests are confined; empty for all.
    #[serde(rename = "homes")]
    pub allowed_regions: Vec<SmolStr>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    #[serde(rename = "header_bytes")]
    pub max_header_bytes: u64,
    /// Longest body, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: u64,
    /// Time to send a head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a connection may lie idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits for the time before a configuration is known, as generous as any in use.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 60_000,
        }
    }
}
