//! The operators' configuration: routes, services, workspaces and limits.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumString};

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Declaration {
    /// Increases with every accepted configuration.
    pub version: u64,
    /// Routes, selected by host name and path.
    pub routes: Vec<Route>,
    /// The services that routes refer to, and the origin of weights.
    pub services: Vec<Service>,
    /// Workspaces and their API keys; see also [`Self::empty_workspace_list`].
    pub workspaces: Vec<Workspace>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Whether there is a list of workspaces, and it is empty: then no API key is accepted, while without a list none is
    /// needed.
    ///
    /// Left out of the transfer form if it is not set, so that processes of earlier builds read that.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub empty_workspace_list: bool,
}

impl Declaration {
    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Whether requests need an API key, unless their route is public.
    pub fn requires_api_keys(&self) -> bool {
        self.empty_workspace_list || !self.workspaces.is_empty()
    }

    /// The origin of weights; absent if none is declared.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.iter().find_map(|s| s.origin.as_ref())
    }
}

/// Whether a route's requests may be repeated, and how they are answered.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// Responds with a stream of events.
    Streaming,
}

/// A route from a host name and path prefix to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: SmolStr,
    /// Host name of the requests, without a port; case does not matter.
    pub host: SmolStr,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Maximum duration of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target time to the response, or to a stream's first event, in milliseconds.
    pub target_latency_ms: u64,
    /// Longest gap between events at which a stream still counts as on time, in milliseconds.
    pub max_pause_ms: Option<u64>,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// The services that share the route's requests by weight.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams on which one request may run.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether a broken stream may be resumed at another upstream.
    pub resumable: bool,
    /// Regions that may serve the requests; empty for all.
    #[serde(rename = "homes")]
    pub allowed_regions: Vec<SmolStr>,
    /// Time after which callers leave if they have received nothing, in milliseconds; absent if they wait until
    /// their deadline.
    #[serde(default)]
    pub caller_patience_ms: Option<u64>,
}

impl Route {
    /// Whether a request that may have run can be retried.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: SmolStr,
    /// Share of the route's requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A service that upstreams belong to, or the origin of weights.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: SmolStr,
    /// Maximum connections of one upstream, over all of its clients.
    pub max_connections: u32,
    /// Time after its start for which an upstream is cold, in milliseconds.
    pub cold_start_ms: u64,
    /// Maximum request rate of a cold upstream, per second; zero for no limit.
    #[serde(rename = "cold_per_s")]
    pub cold_requests_per_s: f64,
    /// Performance of the service's engines; absent if it serves no model.
    pub engine: Option<EngineProfile>,
    /// The origin of weights, if this service is the origin.
    pub origin: Option<Origin>,
}

/// The published performance of a service's engines; see docs/ROUTING.md, "Estimates".
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Base duration of a decoding step, which generates one token per running request, in
    /// milliseconds.
    pub step_ms: f64,
    /// Additional duration of a step per running request, in milliseconds.
    pub step_ms_per_request: f64,
    /// Additional duration of a step per 1,000 tokens of a request's context, in milliseconds.
    pub step_ms_per_context_k: f64,
    /// Prefill speed: prompt tokens processed per millisecond.
    #[serde(rename = "read_tokens_per_ms")]
    pub prefill_tokens_per_ms: f64,
    /// Decoding steps in one pass of the engine.
    pub steps_per_pass: u32,
    /// Mean prompt length in tokens.
    #[serde(rename = "usual_prompt_tokens")]
    pub mean_prompt_tokens: f64,
    /// Mean output length in tokens.
    #[serde(rename = "usual_answer_tokens")]
    pub mean_output_tokens: f64,
    /// Number of layers of the model.
    pub layers: u32,
    /// The models that the engines may load.
    pub models: Vec<ServedModel>,
}

/// A model that the engines of a service may load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServedModel {
    /// Name of the model.
    pub name: SmolStr,
    /// Time to load staged weights, in milliseconds.
    #[serde(rename = "warm_ms")]
    pub load_ms: u64,
}

/// The origin of weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// IP address and port.
    pub address: SmolStr,
    /// Maximum connections, over all clients.
    pub max_connections: u32,
    /// Bandwidth of its link, in kilobits per second; zero if not declared.
    #[serde(default)]
    pub link_kbit_s: u32,
}

/// A workspace, to which callers belong by their API key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: SmolStr,
    /// API keys of its callers.
    #[serde(rename = "keys")]
    pub api_keys: Vec<SmolStr>,
    /// Priority of its requests, which overrides the route's; absent to use the route's.
    pub priority: Option<u8>,
    /// Regions that may serve its requests; empty for all.
    #[serde(rename = "homes")]
    pub allowed_regions: Vec<SmolStr>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum length of a request's head, in bytes.
    #[serde(rename = "header_bytes")]
    pub max_header_bytes: u64,
    /// Maximum length of a request's body, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: u64,
    /// Maximum time to receive a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits until a configuration is known, at least as high as in any configuration in use.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 60_000,
        }
    }
}
