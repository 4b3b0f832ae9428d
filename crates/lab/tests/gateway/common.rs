//! Fixtures: a platform of stand-ins, and the system's processes before it.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
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

pub const KEY: &str = "key-of-selam";

/// A platform, and the processes of the system that a test starts.
pub struct Site {
    pub store: Store,
    pub origin: Origin,
    pub processes: Processes,
    /// The bound on retries beside those that requests earn.
    pub retry_slack: f64,
    /// The time within which a version that was named is in force.
    pub version_within: Duration,
    /// Time after which a process that has ended is started again, if it is.
    pub restart_after: Option<Duration>,
    addresses: AddressBlock,
    dir: PathBuf,
    config: Value,
}

/// Where a gateway listens.
#[derive(Clone, Copy, Debug)]
pub struct Gateway {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub inner: SocketAddr,
    pub metrics: SocketAddr,
}

/// What a caller got.
#[derive(Debug)]
pub struct Got {
    pub status: u16,
    pub retry_after: Option<f64>,
    pub signature: Option<String>,
    /// The body; nothing if it broke off.
    pub body: Option<String>,
}

pub fn engine(id: &str, events: u32, pause_ms: u64) -> EngineOptions {
    EngineOptions {
        id: id.into(),
        service: "deck-model".into(),
        data_centre: "addis-a".into(),
        events,
        pause: Duration::from_millis(pause_ms),
        version: Some(1),
    }
}

pub fn plain(id: &str) -> EngineOptions {
    EngineOptions {
        service: "order-desk".into(),
        version: None,
        ..engine(id, 0, 5)
    }
}

fn route(name: &str, prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "host": "floor.example", "prefix": prefix, "routeType": kind,
        "timeoutMs": 4000, "targetLatencyMs": 500, "priority": 1, "service": service,
        "maxAttempts": 2, "public": false, "sticky": false, "resumable": kind == "streaming",
        "gapTargetMs": 400, "allowedRegions": [],
    })
}

/// A streaming route whose requests run at one engine only.
fn once(name: &str, prefix: &str, service: &str) -> Value {
    let mut route = route(name, prefix, "streaming", service);
    route["resumable"] = json!(false);
    route
}

fn config(origin: SocketAddr) -> Value {
    json!({
        "version": 1,
        "routes": [
            route("draft", "/draft/", "streaming", "deck-model"),
            once("once", "/once/", "deck-model"),
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
        "tenants": [{"name": "selam", "apiKeys": [KEY], "priority": 1, "allowedRegions": []}],
    })
}

impl Site {
    /// A platform whose configuration is published, without engines.
    pub async fn start() -> Self {
        let site = Self::unconfigured().await;
        site.store.put("op/config", &site.config);
        site
    }

    /// A platform that has published nothing yet.
    pub async fn unconfigured() -> Self {
        let addresses = AddressBlock::claim().expect("a block of addresses is free");
        let dir = std::env::temp_dir().join(addresses.unique_name());
        fs::create_dir_all(&dir).expect("a folder can be made");
        let origin = Origin::start().await.expect("the origin starts");
        Self {
            store: Store::start().await.expect("the store starts"),
            processes: Processes::new(dir.clone()),
            retry_slack: 20.0,
            version_within: Duration::from_millis(3_000),
            restart_after: None,
            config: config(origin.address),
            origin,
            addresses,
            dir,
        }
    }

    /// Publishes a changed configuration.
    pub fn configure(&mut self, change: impl FnOnce(&mut Value)) {
        let version = self.config["version"].as_u64().unwrap_or(0);
        self.config["version"] = json!(version + 3);
        change(&mut self.config);
        self.store.put("op/config", &self.config);
    }

    /// Starts an engine and registers it.
    pub async fn engine(&self, options: EngineOptions) -> Engine {
        let engine = Engine::start(options).await.expect("the engine starts");
        self.register(&engine, "ready");
        engine
    }

    pub fn register(&self, engine: &Engine, state: &str) {
        let key = format!("servers/{}", engine.options.id);
        self.store.put(&key, &engine.registry_entry(state));
    }

    /// Starts a server that answers by a script, and registers it.
    pub async fn scripted(&self, options: EngineOptions, script: Script) -> ScriptedServer {
        let scripted = ScriptedServer::start(script).await.expect("it starts");
        let entry = options.registry_entry(scripted.address, "ready");
        self.store.put(&format!("servers/{}", options.id), &entry);
        scripted
    }

    /// The most memory that a process has held, in bytes.
    pub fn peak_memory(&self, name: &str) -> u64 {
        let id = self.processes.pid(name).expect("it was started");
        let status = fs::read_to_string(format!("/proc/{id}/status")).expect("it runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kib.and_then(|kib| kib.parse::<u64>().ok())
            .expect("the kernel tells")
            * 1_024
    }

    /// Names the version of the weights that engines are to serve.
    pub fn name_version(&self, version: u64) {
        let value = json!({"model": "m1", "version": version});
        self.store.put("op/version/m1", &value);
    }

    /// Starts a gateway; `seeds` are other gateways.
    pub fn gateway(&mut self, name: &str, seeds: &[Gateway]) -> Gateway {
        let store = self.store.address;
        self.gateway_at(name, seeds, store)
    }

    /// Starts a gateway that takes `store` for the platform's store.
    pub fn gateway_at(&mut self, name: &str, seeds: &[Gateway], store: SocketAddr) -> Gateway {
        let ip = self.addresses.next_ip();
        let gateway = Gateway {
            callers: SocketAddr::new(ip, 8080),
            readiness: SocketAddr::new(ip, 8081),
            inner: SocketAddr::new(ip, 7000),
            metrics: SocketAddr::new(ip, 9464),
        };
        let settings = json!({
            "host": name, "data_centre": "addis-a", "regions": {"addis-a": "addis"},
            "listen": gateway.callers.to_string(),
            "readiness_listen": gateway.readiness.to_string(),
            "inner_listen": gateway.inner.to_string(),
            "metrics_listen": gateway.metrics.to_string(), "store": store.to_string(),
            "seeds": addresses_of(seeds), "revoke_within_ms": 2000, "grace_s": 8,
            "version_within_ms": self.version_within.as_millis(), "retry_slack": self.retry_slack,
            "first_start": true,
        });
        self.launch(name, "gateway", &settings);
        gateway
    }

    /// Starts the stager of an engine.
    pub fn stager(&mut self, name: &str, engine: &Engine, seeds: &[Gateway]) {
        let ip = self.addresses.next_ip();
        let settings = json!({
            "host": name, "data_centre": engine.options.data_centre.as_str(),
            "inner_listen": SocketAddr::new(ip, 7000).to_string(),
            "store": self.store.address.to_string(), "seeds": addresses_of(seeds),
            "engine": engine.address.to_string(), "service": engine.options.service.as_str(),
            "version_within_ms": self.version_within.as_millis(),
        });
        self.launch(name, "stager", &settings);
    }

    /// The settings file of a process.
    pub fn settings_path(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.jsonc"))
    }

    fn launch(&mut self, name: &str, role: &str, settings: &Value) {
        let path = self.settings_path(name);
        fs::write(&path, settings.to_string()).expect("settings can be written");
        let launch = LaunchCommand::daemon(name).expect("the daemon is built");
        let mut launch = launch.arg(role).option("--settings", path.display());
        if let Some(pause) = self.restart_after {
            launch = launch.restart_after(pause);
        }
        self.processes.start(launch).expect("the daemon starts");
    }

    /// What a process wrote to standard output.
    pub fn log_path(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.out"))
    }

    /// The log lines of a process that name `event`.
    pub fn lines(&self, name: &str, event: &str) -> Vec<Value> {
        let log = fs::read_to_string(self.log_path(name)).unwrap_or_default();
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines
            .filter(|line: &Value| line["event"] == event)
            .collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.processes.kill_all();
        // Logs of a test that fails are of use.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
        // The folder bears the name of the addresses, so the next test that claims them makes it anew.
        self.addresses.release();
    }
}

fn addresses_of(seeds: &[Gateway]) -> Vec<String> {
    seeds.iter().map(|seed| seed.inner.to_string()).collect()
}

pub fn client() -> Client {
    balsamjunction_client::new_client(None)
}

/// Waits until `done`; panics after ten seconds.
pub async fn until(what: &str, mut done: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !done().await {
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "waited for {what}"
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

impl Gateway {
    pub async fn ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.readiness);
        let got = client().get(url).send().await;
        got.is_ok_and(|got| got.status().is_success())
    }

    /// The value of a metric without labels, of one with exactly the labels that `name` gives, or the
    /// sum over its labels.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        let url = format!("http://{}/metrics", self.metrics);
        let mut got = client().get(url).send().await.ok()?;
        let text = String::from_utf8(got.body().await.ok()?.to_vec()).ok()?;
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let values: Vec<f64> = lines
            .filter_map(|line| line.rsplit_once(' '))
            .filter(|(series, _)| *series == name || series.split('{').next() == Some(name))
            .filter_map(|(_, value)| value.parse().ok())
            .collect();
        (!values.is_empty()).then(|| values.iter().sum())
    }

    pub async fn until_ready(&self) {
        until("a gateway that is ready", async || self.ready().await).await;
    }

    /// A call with a key and a deadline.
    pub async fn call(&self, method: &str, path: &str, id: &str) -> Got {
        self.call_with(
            method,
            path,
            id,
            &[("authorization", &format!("Bearer {KEY}"))],
        )
        .await
    }

    pub async fn call_with(
        &self,
        method: &str,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Got {
        let got = self.try_call_with(method, path, id, headers).await;
        got.expect("the gateway answers")
    }

    /// The same; an error if the gateway closes the connection before the head of an answer.
    pub async fn try_call_with(
        &self,
        method: &str,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Result<Got, SendRequestError> {
        let method = method.parse().expect("the method is valid");
        let url = format!("http://{}{path}", self.callers);
        let mut request = client()
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
        let mut got = sent.await?;
        let text = |name: &str| Some(got.headers().get(name)?.to_str().ok()?.to_owned());
        let retry_after = text("retry-after").and_then(|value| value.parse().ok());
        let signature = text("balsamjunction-server-signature");
        let status = got.status().as_u16();
        let body = got.body().await.ok();
        Ok(Got {
            status,
            retry_after,
            signature,
            body: body.map(|buf| String::from_utf8_lossy(&buf).into_owned()),
        })
    }

    /// A generation whose events the test reads as they come.
    pub async fn open_stream(&self, id: &str) -> ClientResponse {
        let url = format!("http://{}/draft/now", self.callers);
        let sent = client()
            .post(url)
            .insert_header(("host", "floor.example"))
            .insert_header(("authorization", format!("Bearer {KEY}")))
            .insert_header(("balsamjunction-attempt-id", id))
            .insert_header(("balsamjunction-model", "m1"))
            .insert_header(("balsamjunction-token-usage", "100,500"))
            .send_body("x");
        sent.await.expect("the gateway answers")
    }

    pub async fn generate(&self, id: &str) -> Got {
        self.generate_on("/draft/now", id).await
    }

    pub async fn generate_on(&self, path: &str, id: &str) -> Got {
        let key = format!("Bearer {KEY}");
        let headers = [
            ("authorization", key.as_str()),
            ("balsamjunction-model", "m1"),
            ("balsamjunction-token-usage", "100,50"),
        ];
        self.call_with("POST", path, id, &headers).await
    }
}

/// The numbers of a stream's events, in the order in which they came.
pub fn event_ids(body: &str) -> Vec<u32> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.filter_map(|id| id.parse().ok()).collect()
}
