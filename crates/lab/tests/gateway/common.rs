//! Fixtures: stand-ins for the platform, and the gateways and stagers under test.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use awc::{error::SendRequestError, Client, ClientResponse};
use balsamjunction_lab::{
    bench::{
        address::AddressBlock,
        process::{LaunchCommand, Processes},
    },
    standin::platform::{Engine, EngineOptions, Origin, Script, ScriptedServer, Store},
};
use serde_json::{json, Value};

/// The API key that the published configuration assigns to the workspace `selam`.
pub const API_KEY: &str = "key-of-selam";

/// Number of platforms that tests of this process have started.
static STARTED_SITES: AtomicU32 = AtomicU32::new(0);

/// Stand-ins for the platform, and the daemon processes that a test starts. Dropping it kills the processes.
pub struct TestSite {
    pub store: Store,
    pub origin: Origin,
    pub processes: Processes,
    /// Retries that a gateway may make beyond those that its requests earn (setting `retry_slack`).
    pub retry_slack: f64,
    /// Time within which engines must serve a published version (setting `version_within_ms`).
    pub version_deadline: Duration,
    /// Prompt tokens that upstreams keep, by service (setting `prompt_cache`).
    pub prompt_cache: Value,
    /// Time within which a revoked key must be refused everywhere (setting `revoke_within_ms`).
    pub revocation_deadline: Duration,
    /// Memory that a gateway may use (setting `memory_mb`), if it is set.
    pub memory_mb: Option<u64>,
    /// Delay before a process that exited is restarted. If absent, it is not restarted.
    pub restart_after: Option<Duration>,
    addresses: AddressBlock,
    dir: PathBuf,
    config: Value,
}

/// The addresses on which a gateway listens.
#[derive(Clone, Copy, Debug)]
pub struct Gateway {
    /// For requests of callers.
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    /// For gateways and stagers.
    pub inner: SocketAddr,
    pub metrics: SocketAddr,
}

/// A response as its caller received it.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: u16,
    /// In seconds.
    pub retry_after: Option<f64>,
    /// ID of the upstream that served the request.
    pub signature: Option<String>,
    /// The body; absent if it was truncated.
    pub body: Option<String>,
}

/// Options of an engine that streams `events` events, `pause_ms` apart.
pub fn model_engine_options(id: &str, events: u32, pause_ms: u64) -> EngineOptions {
    EngineOptions {
        id: id.into(),
        service: "deck-model".into(),
        data_centre: "addis-a".into(),
        events,
        pause: Duration::from_millis(pause_ms),
        version: Some(1),
    }
}

/// Options of an upstream that serves no model and responds without a stream.
pub fn plain_engine_options(id: &str) -> EngineOptions {
    EngineOptions {
        service: "order-desk".into(),
        version: None,
        ..model_engine_options(id, 0, 5)
    }
}

/// A route as the published configuration has it.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "host": "floor.example", "prefix": prefix, "routeType": kind,
        "timeoutMs": 4000, "targetLatencyMs": 500, "priority": 1, "service": service,
        "maxAttempts": 2, "public": false, "sticky": false, "resumable": kind == "streaming",
        "gapTargetMs": 400, "allowedRegions": [],
    })
}

/// A streaming route whose requests are not resumed at another engine.
fn non_resumable_route(name: &str, prefix: &str, service: &str) -> Value {
    let mut route = route(name, prefix, "streaming", service);
    route["resumable"] = json!(false);
    route
}

fn config(origin: SocketAddr) -> Value {
    json!({
        "version": 1,
        "routes": [
            route("draft", "/draft/", "streaming", "deck-model"),
            non_resumable_route("once", "/once/", "deck-model"),
            route("order", "/order/", "non_idempotent", "order-desk"),
            route("stock", "/stock/", "idempotent", "order-desk"),
        ],
        "services": [
            {"name": "deck-model", "healthPath": "/healthz", "maxConnections": 100,
             "coldStartS": 0.0, "coldPerS": 0.0,
             "engine": {"slots": 4, "step_ms": 5.0, "per_seq_ms": 0.01, "context_per_k": 0.01,
                        "read_per_s": 20000.0, "stride": 1, "layers": 4,
                        "usual": {"prompt": 100, "answer": 10},
                        "models": [{"name": "m1", "warmS": 0.1}]}},
            {"name": "order-desk", "healthPath": "/healthz", "maxConnections": 100,
             "coldStartS": 0.0, "coldPerS": 0.0},
            {"name": "floor-terminal", "origin": origin.to_string(), "zone": "addis-a",
             "linkMbps": 10.0, "maxConnections": 48},
        ],
        "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 10000,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "selam", "apiKeys": [API_KEY], "priority": 1, "allowedRegions": []}],
    })
}

impl TestSite {
    /// Starts a platform with a published configuration and no engines.
    pub async fn start() -> Self {
        let site = Self::start_unconfigured().await;
        site.store.put("op/config", &site.config);
        site
    }

    /// Starts a platform that has not published a configuration.
    pub async fn start_unconfigured() -> Self {
        let addresses = AddressBlock::claim().expect("claim a block of addresses");
        // The folder of a failed test stays, and its block of addresses may be claimed again.
        let number = STARTED_SITES.fetch_add(1, Ordering::Relaxed);
        let name = format!("{}-{number}", addresses.unique_name());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).expect("create the directory of the test");
        let origin = Origin::start().await.expect("start the origin");
        Self {
            store: Store::start().await.expect("start the store"),
            processes: Processes::new(dir.clone()),
            retry_slack: 20.0,
            version_deadline: Duration::from_millis(3_000),
            prompt_cache: json!({}),
            revocation_deadline: Duration::from_millis(2_000),
            memory_mb: None,
            restart_after: None,
            config: config(origin.address),
            origin,
            addresses,
            dir,
        }
    }

    /// Changes the configuration and publishes it under a higher version.
    pub fn update_config(&mut self, change: impl FnOnce(&mut Value)) {
        let version = self.config["version"].as_u64().unwrap_or(0);
        self.config["version"] = json!(version + 3);
        change(&mut self.config);
        self.store.put("op/config", &self.config);
    }

    /// The configuration that was published last.
    pub fn config(&self) -> &Value {
        &self.config
    }

    /// Starts an engine and registers it.
    pub async fn start_engine(&self, options: EngineOptions) -> Engine {
        let engine = Engine::start(options).await.expect("start the engine");
        self.register(&engine, "ready");
        engine
    }

    /// Writes the engine's registry entry with `state`.
    pub fn register(&self, engine: &Engine, state: &str) {
        let key = format!("servers/{}", engine.options.id);
        self.store.put(&key, &engine.registry_entry(state));
    }

    /// Starts a server whose responses follow `script`, and registers it.
    pub async fn start_scripted_server(
        &self,
        options: EngineOptions,
        script: Script,
    ) -> ScriptedServer {
        let server = ScriptedServer::start(script)
            .await
            .expect("start the scripted server");
        let entry = options.registry_entry(server.address, "ready");
        self.store.put(&format!("servers/{}", options.id), &entry);
        server
    }

    /// The peak resident memory of a process.
    pub fn peak_memory_bytes(&self, name: &str) -> u64 {
        let pid = self.processes.pid(name).expect("the process runs");
        let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("read its status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kib.and_then(|kib| kib.parse::<u64>().ok())
            .expect("VmHWM is a number of kB")
            * 1_024
    }

    /// Publishes the target version of the weights of model `m1`.
    pub fn publish_version(&self, version: u64) {
        let value = json!({"model": "m1", "version": version});
        self.store.put("op/version/m1", &value);
    }

    /// Starts a gateway that finds its peers through the gateways in `seeds`.
    pub fn start_gateway(&mut self, name: &str, seeds: &[Gateway]) -> Gateway {
        let store = self.store.address;
        self.start_gateway_with_store(name, seeds, store)
    }

    /// Starts a gateway that uses the store at address `store`.
    pub fn start_gateway_with_store(
        &mut self,
        name: &str,
        seeds: &[Gateway],
        store: SocketAddr,
    ) -> Gateway {
        let gateway = Gateway::at(self.next_ip());
        let store = json!({"store": store.to_string()});
        self.start_gateway_with(name, gateway, seeds, &store);
        gateway
    }

    /// An IP address that nothing else uses.
    pub fn next_ip(&mut self) -> IpAddr {
        self.addresses.next_ip()
    }

    /// Starts a gateway on the addresses `gateway` and with the settings `overrides` in place of the usual ones.
    pub fn start_gateway_with(
        &mut self,
        name: &str,
        gateway: Gateway,
        seeds: &[Gateway],
        overrides: &Value,
    ) {
        let mut settings = json!({
            "host": name, "data_centre": "addis-a", "regions": {"addis-a": "addis"},
            "listen": gateway.callers.to_string(),
            "readiness_listen": gateway.readiness.to_string(),
            "inner_listen": gateway.inner.to_string(),
            "metrics_listen": gateway.metrics.to_string(), "store": self.store.address.to_string(),
            "seeds": mesh_addresses(seeds), "revoke_within_ms": self.revocation_deadline.as_millis(), "grace_s": 8,
            "version_within_ms": self.version_deadline.as_millis(), "retry_slack": self.retry_slack,
            "first_start": true, "prompt_cache": self.prompt_cache,
        });
        if let Some(memory_mb) = self.memory_mb {
            settings["memory_mb"] = json!(memory_mb);
        }
        for (field, value) in overrides.as_object().into_iter().flatten() {
            settings[field] = value.clone();
        }
        self.launch(name, "gateway", &settings);
    }

    /// Starts a stager for an engine.
    pub fn start_stager(&mut self, name: &str, engine: &Engine, seeds: &[Gateway]) {
        self.start_stager_at(name, engine, engine.address, seeds);
    }

    /// Starts a stager that reaches its engine at `address`.
    pub fn start_stager_at(
        &mut self,
        name: &str,
        engine: &Engine,
        address: SocketAddr,
        seeds: &[Gateway],
    ) {
        let ip = self.addresses.next_ip();
        let settings = json!({
            "host": name, "data_centre": engine.options.data_centre.as_str(),
            "inner_listen": SocketAddr::new(ip, 7000).to_string(),
            "store": self.store.address.to_string(), "seeds": mesh_addresses(seeds),
            "engine": address.to_string(), "service": engine.options.service.as_str(),
            "version_within_ms": self.version_deadline.as_millis(),
        });
        self.launch(name, "stager", &settings);
    }

    /// Path of the settings file of a process.
    pub fn settings_path(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.jsonc"))
    }

    fn launch(&mut self, name: &str, role: &str, settings: &Value) {
        let path = self.settings_path(name);
        fs::write(&path, settings.to_string()).expect("write the settings");
        let command = LaunchCommand::daemon(name).expect("the daemon is built");
        let mut command = command.arg(role).option("--settings", path.display());
        if let Some(delay) = self.restart_after {
            command = command.restart_after(delay);
        }
        self.processes.start(command).expect("start the daemon");
    }

    /// Path of the file with the standard output of a process.
    pub fn log_path(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.out"))
    }

    /// The log lines of a process whose `event` is the given one.
    pub fn log_lines(&self, name: &str, event: &str) -> Vec<Value> {
        let log = fs::read_to_string(self.log_path(name)).unwrap_or_default();
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines
            .filter(|line: &Value| line["event"] == event)
            .collect()
    }
}

impl Drop for TestSite {
    fn drop(&mut self) {
        self.processes.kill_all();
        // The logs of a failed test are kept for inspection.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
        // Released after the removal, because the next test that claims the block creates a directory of the
        // same name.
        self.addresses.release();
    }
}

fn mesh_addresses(seeds: &[Gateway]) -> Vec<String> {
    seeds.iter().map(|seed| seed.inner.to_string()).collect()
}

pub fn new_client() -> Client {
    balsamjunction_client::new_client(None)
}

/// Polls `done` until it returns true, and panics after ten seconds. `what` describes the condition.
pub async fn wait_until(what: &str, mut done: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !done().await {
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "timed out waiting for {what}"
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

impl Gateway {
    /// The addresses of a gateway on a host of its own.
    pub fn at(ip: IpAddr) -> Self {
        Self {
            callers: SocketAddr::new(ip, 8080),
            readiness: SocketAddr::new(ip, 8081),
            inner: SocketAddr::new(ip, 7000),
            metrics: SocketAddr::new(ip, 9464),
        }
    }

    /// Whether the readiness endpoint reports success.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.readiness);
        let response = new_client().get(url).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// The value of the series `name`, which may include labels. A name without labels gives the sum of all
    /// its series.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        let url = format!("http://{}/metrics", self.metrics);
        let mut response = new_client().get(url).send().await.ok()?;
        let text = String::from_utf8(response.body().await.ok()?.to_vec()).ok()?;
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let values: Vec<f64> = lines
            .filter_map(|line| line.rsplit_once(' '))
            .filter(|(series, _)| *series == name || series.split('{').next() == Some(name))
            .filter_map(|(_, value)| value.parse().ok())
            .collect();
        (!values.is_empty()).then(|| values.iter().sum())
    }

    pub async fn wait_until_ready(&self) {
        wait_until("the gateway to be ready", async || self.is_ready().await).await;
    }

    /// Sends a request with the API key and a deadline.
    pub async fn call(&self, method: &str, path: &str, id: &str) -> CallerResponse {
        self.call_with(
            method,
            path,
            id,
            &[("authorization", &format!("Bearer {API_KEY}"))],
        )
        .await
    }

    /// Sends a request with a deadline and the given headers.
    pub async fn call_with(
        &self,
        method: &str,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> CallerResponse {
        let response = self.try_call_with(method, path, id, headers).await;
        response.expect("the gateway responds")
    }

    /// Like [`Self::call_with`], but returns an error if the connection closes before the response head.
    pub async fn try_call_with(
        &self,
        method: &str,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Result<CallerResponse, SendRequestError> {
        let method = method.parse().expect("the method is valid");
        let url = format!("http://{}{path}", self.callers);
        let mut request = new_client()
            .request(method, url)
            .insert_header(("host", "floor.example"))
            .insert_header(("balsamjunction-attempt-id", id))
            .insert_header(("balsamjunction-deadline-ms", "3000"));
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let sent = request
            .timeout(Duration::from_secs(10))
            .send_body("body of the call");
        let mut response = sent.await?;
        let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
        let retry_after = header("retry-after").and_then(|value| value.parse().ok());
        let signature = header("balsamjunction-server-signature");
        let status = response.status().as_u16();
        let body = response.body().await.ok();
        Ok(CallerResponse {
            status,
            retry_after,
            signature,
            body: body.map(|buf| String::from_utf8_lossy(&buf).into_owned()),
        })
    }

    /// Starts a generation and returns its response stream, so that the test reads each event as it arrives.
    pub async fn open_stream(&self, id: &str) -> ClientResponse {
        let url = format!("http://{}/draft/now", self.callers);
        let sent = new_client()
            .post(url)
            .insert_header(("host", "floor.example"))
            .insert_header(("authorization", format!("Bearer {API_KEY}")))
            .insert_header(("balsamjunction-attempt-id", id))
            .insert_header(("balsamjunction-model", "m1"))
            .insert_header(("balsamjunction-token-usage", "100,500"))
            .send_body("x");
        sent.await.expect("the gateway responds")
    }

    /// Sends a generation request on the resumable route.
    pub async fn generate(&self, id: &str) -> CallerResponse {
        self.generate_on("/draft/now", id).await
    }

    /// Sends a generation request whose prompt has the given parts. No two requests with different ids are alike.
    pub async fn generate_from_parts(&self, parts: &str, id: &str) -> Option<CallerResponse> {
        let key = format!("Bearer {API_KEY}");
        let headers = [
            ("authorization", key.as_str()),
            ("balsamjunction-model", "m1"),
            ("balsamjunction-token-usage", "100,50"),
            ("balsamjunction-prefix-hash", parts),
        ];
        let path = format!("/draft/{id}");
        self.try_call_with("POST", &path, id, &headers).await.ok()
    }

    /// Sends a generation request to `path`.
    pub async fn generate_on(&self, path: &str, id: &str) -> CallerResponse {
        let key = format!("Bearer {API_KEY}");
        let headers = [
            ("authorization", key.as_str()),
            ("balsamjunction-model", "m1"),
            ("balsamjunction-token-usage", "100,50"),
        ];
        self.call_with("POST", path, id, &headers).await
    }
}

/// The IDs of the events in the body of a stream, in order of arrival.
pub fn event_ids(body: &str) -> Vec<u32> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.filter_map(|id| id.parse().ok()).collect()
}
