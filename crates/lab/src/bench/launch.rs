//! Starts the processes of a bench with their settings.

use std::{fs, time::Duration};

use serde_json::json;

use super::{
    control::get_json,
    process::LaunchCommand,
    spec::{PoolSpec, UpstreamSpec},
    Bench, Host,
};
use crate::{
    error::LabError,
    standin::fabric::{Endpoint, Network},
};

/// Pause before a crashed upstream is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(500);

impl Bench {
    pub(super) async fn start_platform(&mut self) -> Result<(), LabError> {
        let documents = [
            (self.config.clone(), "revision", 0),
            (
                self.membership.clone(),
                "generation",
                self.spec.membership_delay_ms,
            ),
        ];
        for (host, ordered_by, lag_ms) in documents {
            let launch = LaunchCommand::lab(&host.name)?
                .arg("standin")
                .arg("document")
                .option("--listen", host.private)
                .option("--ordered-by", ordered_by)
                .option("--lag-ms", lag_ms);
            self.processes.start(launch)?;
        }
        let weights = self.spec.weights;
        let launch = LaunchCommand::lab("origin")?
            .arg("standin")
            .arg("origin")
            .option("--listen", self.origin.private)
            .option("--bytes", weights.bytes)
            .option("--chunk-bytes", weights.chunk_bytes);
        self.processes.start(launch)?;
        self.start_network()?;
        for address in [self.config.private, self.membership.private] {
            self.wait_for("the start of a document server", || async move {
                get_json::<serde_json::Value>(address, "/lab/calls")
                    .await
                    .is_ok()
            })
            .await?;
        }
        Ok(())
    }

    fn start_network(&mut self) -> Result<(), LabError> {
        let Some(rates) = self.spec.network else {
            return Ok(());
        };
        let mut endpoints = Vec::new();
        let platform = [&self.config, &self.membership, &self.origin];
        let hosts = self.upstreams.iter().chain(&self.entries);
        for host in platform.into_iter().chain(hosts) {
            let rate = if host.name == "origin" {
                Some(rates.origin)
            } else {
                host.pool.as_ref().map(|_| rates.host)
            };
            endpoints.push(Endpoint {
                host: host.name.clone(),
                data_centre: host.data_centre.name.into(),
                region: host.data_centre.region.into(),
                public: host.public,
                private: host.private,
                rate,
            });
        }
        let network = Network {
            endpoints,
            inter_region: Some(rates.inter_region),
        };
        let file = self.dir.join("network.json");
        fs::write(&file, serde_json::to_vec(&network)?)?;
        let launch = LaunchCommand::lab("network")?
            .arg("standin")
            .arg("fabric")
            .option("--listen", self.control)
            .option("--network", file.display());
        self.processes.start(launch)
    }

    pub(super) fn start_hosts(&mut self) -> Result<(), LabError> {
        for host in self.upstreams.clone() {
            let pool = self.pool_spec(&host).clone();
            self.start_upstream(&host, &pool)?;
            self.start_sidecar(&host)?;
        }
        for host in self.entries.clone() {
            self.start_entry(&host)?;
        }
        Ok(())
    }

    pub(super) fn pool_spec(&self, host: &Host) -> &PoolSpec {
        let mut pools = self.spec.pools.iter();
        let pool = pools.find(|pool| Some(&pool.name) == host.pool.as_ref());
        pool.expect("every upstream host belongs to a pool of the spec")
    }

    /// Starts the upstream of a host; it is restarted after a crash.
    pub fn start_upstream(&mut self, host: &Host, pool: &PoolSpec) -> Result<(), LabError> {
        let ledger = self.ledger(host);
        let mut launch = LaunchCommand::lab(&format!("{}.upstream", host.name))?
            .arg("standin")
            .restart_after(RESTART_DELAY);
        launch = match &pool.upstream {
            UpstreamSpec::Service(service) => launch
                .arg("service")
                .option("--service-ms", service.service_ms),
            UpstreamSpec::Engine(engine) => {
                let launch = launch
                    .arg("engine")
                    .option("--cold-bears", engine.cold_capacity)
                    .option("--warm-after", engine.warm_up_requests)
                    .option("--first-ms", engine.first_token_ms)
                    .option("--token-ms", engine.token_interval_ms)
                    .option("--load-ms", engine.load_ms)
                    .option("--fenced", engine.fenced);
                match &engine.initial_version {
                    Some(version) => launch.option("--version", version),
                    None => launch,
                }
            }
        };
        let launch = launch
            .option("--listen", host.service)
            .option("--ledger", ledger.display());
        self.processes.start(launch)
    }

    fn peer_settings(&self, host: &Host) -> serde_json::Value {
        let seeds: Vec<String> = self
            .upstreams
            .iter()
            .chain(&self.entries)
            .filter(|other| other.name != host.name)
            .take(8)
            .map(|other| other.public.to_string())
            .collect();
        json!({
            "host": host.name,
            "data_centre": host.data_centre.name,
            "inner_listen": host.private,
            "advertise": host.public,
            "outbound_ip": host.private.ip(),
            "config_service": self.config.public,
            "membership": self.membership.public,
            "seeds": seeds,
        })
    }

    /// Starts the sidecar of a host.
    pub fn start_sidecar(&mut self, host: &Host) -> Result<(), LabError> {
        let mut settings = self.peer_settings(host);
        settings["upstream"] = json!(host.service);
        settings["origin"] = json!(self.origin.public);
        settings["gate"] = json!(self.spec.policy.gate);
        settings["fair"] = json!(self.spec.policy.fair);
        settings["from_peers"] = json!(self.spec.policy.from_peers);
        if let Some(rates) = self.spec.network {
            settings["links"] = json!({
                "host": rates.host,
                "inter_region": rates.inter_region,
            });
        }
        self.start_daemon(host, "sidecar", &settings)
    }

    /// Starts the entry of a host.
    pub fn start_entry(&mut self, host: &Host) -> Result<(), LabError> {
        let mut settings = self.peer_settings(host);
        settings["listen"] = json!(host.service);
        settings["two_choices"] = json!(self.spec.policy.two_choices);
        self.start_daemon(host, "entry", &settings)
    }

    fn start_daemon(
        &mut self,
        host: &Host,
        role: &str,
        settings: &serde_json::Value,
    ) -> Result<(), LabError> {
        let file = self.dir.join(format!("{}.json", host.name));
        fs::write(&file, serde_json::to_vec_pretty(settings)?)?;
        let launch = LaunchCommand::daemon(&host.name)?
            .arg(role)
            .option("--settings", file.display())
            .option("--log", self.spec.log_level);
        self.processes.start(launch)
    }
}
