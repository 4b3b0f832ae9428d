//! A bench: a complete system for experiments and tests. Stand-ins for the platform, upstreams, sidecars
//! and entries run as processes on loopback addresses.

pub mod address;
pub mod control;
mod launch;
pub mod process;
pub mod spec;

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use balsamjunction_policy::once::MAX_CLOCK_SKEW_MS;
use balsamjunction_protocol::{
    paths, FleetDocument, MemberDocument, MemberState, MembersDocument, PeerStatus,
};
use smol_str::{format_smolstr, SmolStr};

use self::{
    address::AddressBlock,
    control::{get_json, post_json},
    process::Processes,
    spec::{BenchSpec, DataCentre, DATA_CENTRES},
};
use crate::{
    error::LabError,
    standin::{
        document::DocumentFaults,
        fabric::{Fault, Traffic},
    },
};

/// Port on which a daemon or platform stand-in listens for peers.
const PRIVATE_PORT: u16 = 7000;
/// Port on which the emulated network accepts connections to the private port.
const PUBLIC_PORT: u16 = 7100;
/// Port of the upstream on a host.
const UPSTREAM_PORT: u16 = 8000;
/// Port on which an entry accepts callers.
const CALLER_PORT: u16 = 8080;
/// Time within which a process must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Wait after the start of the sidecars. A request whose key was created sooner after the start of a
/// sidecar could, given the clock skew, have run before it, so the sidecar responds `unknown`.
const KEY_SETTLE_TIME: Duration = Duration::from_millis(MAX_CLOCK_SKEW_MS + 100);
/// How often the readiness of a process is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A host of the bench.
#[derive(Clone, Debug)]
pub struct Host {
    /// The host's name.
    pub name: SmolStr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The address its process listens on for peers.
    pub private: SocketAddr,
    /// The address other hosts connect to; of the emulated network if there is one.
    pub public: SocketAddr,
    /// The address of its upstream or, on the host of an entry, the address for callers.
    pub service: SocketAddr,
    /// The pool that it serves; absent for entries.
    pub pool: Option<SmolStr>,
}

/// A running system. Dropping it stops all its processes.
pub struct Bench {
    spec: BenchSpec,
    dir: PathBuf,
    processes: Processes,
    /// Hosts with an upstream and a sidecar.
    pub upstreams: Vec<Host>,
    /// Hosts with an entry.
    pub entries: Vec<Host>,
    config: Host,
    membership: Host,
    origin: Host,
    control: SocketAddr,
    revision: u64,
    generation: u64,
    addresses: AddressBlock,
}

impl Bench {
    /// Starts all processes and waits until they are ready.
    pub async fn start(spec: BenchSpec) -> Result<Self, LabError> {
        let mut bench = Self::allocate_hosts(spec)?;
        bench.start_platform().await?;
        bench.publish().await?;
        bench.publish_members(&[], &[]).await?;
        bench.start_hosts()?;
        bench.wait_ready().await?;
        if bench.spec.pools.iter().any(|pool| !pool.repeatable) {
            actix_rt::time::sleep(KEY_SETTLE_TIME).await;
        }
        Ok(bench)
    }

    fn allocate_hosts(spec: BenchSpec) -> Result<Self, LabError> {
        let mut addresses = AddressBlock::claim()?;
        let dir = std::env::temp_dir().join(addresses.unique_name());
        fs::create_dir_all(&dir)?;
        let emulated = spec.network.is_some();
        let mut host = |name: SmolStr, data_centre: DataCentre, port: u16, pool| {
            let ip = addresses.next_ip();
            let private = SocketAddr::new(ip, PRIVATE_PORT);
            Host {
                name,
                data_centre,
                private,
                public: SocketAddr::new(ip, if emulated { PUBLIC_PORT } else { PRIVATE_PORT }),
                service: SocketAddr::new(ip, port),
                pool,
            }
        };
        let platform_dc = DATA_CENTRES[0];
        let config = host("config".into(), platform_dc, UPSTREAM_PORT, None);
        let membership = host("membership".into(), platform_dc, UPSTREAM_PORT, None);
        let origin = host("origin".into(), platform_dc, UPSTREAM_PORT, None);
        let control = host("network".into(), platform_dc, UPSTREAM_PORT, None).service;
        let mut upstreams = Vec::new();
        for pool in &spec.pools {
            for n in 0..pool.hosts {
                let name = format_smolstr!("{}-{n}", pool.name);
                let data_centre = DATA_CENTRES[n % DATA_CENTRES.len()];
                upstreams.push(host(
                    name,
                    data_centre,
                    UPSTREAM_PORT,
                    Some(pool.name.clone()),
                ));
            }
        }
        let mut entries = Vec::new();
        for n in 0..spec.entries {
            let data_centre = DATA_CENTRES[n % DATA_CENTRES.len()];
            entries.push(host(
                format_smolstr!("entry-{n}"),
                data_centre,
                CALLER_PORT,
                None,
            ));
        }
        Ok(Self {
            spec,
            processes: Processes::new(dir.clone()),
            dir,
            upstreams,
            entries,
            config,
            membership,
            origin,
            control,
            revision: 0,
            generation: 0,
            addresses,
        })
    }

    /// The file in which the upstream of a host records its executions.
    pub fn ledger(&self, host: &Host) -> PathBuf {
        self.dir.join(format!("{}.ledger", host.name))
    }

    /// The addresses of the entries for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.service).collect()
    }

    /// The hosts of one pool.
    pub fn pool(&self, name: &str) -> Vec<Host> {
        let hosts = self.upstreams.iter();
        hosts
            .filter(|h| h.pool.as_deref() == Some(name))
            .cloned()
            .collect()
    }

    /// The spec, whose changes take effect at the next [`Bench::publish`].
    pub fn spec_mut(&mut self) -> &mut BenchSpec {
        &mut self.spec
    }

    async fn wait_ready(&mut self) -> Result<(), LabError> {
        let hosts: Vec<Host> = self
            .upstreams
            .iter()
            .chain(&self.entries)
            .cloned()
            .collect();
        for host in hosts {
            self.wait_host_ready(&host).await?;
        }
        Ok(())
    }

    /// Waits until the daemon of a host is ready and its engine, if it has one, serves a version.
    pub async fn wait_host_ready(&self, host: &Host) -> Result<(), LabError> {
        let address = host.private;
        let unversioned = host.pool.is_none() || self.pool_spec(host).version.is_none();
        let ready = || async move {
            let status = get_json::<PeerStatus>(address, paths::STATUS).await;
            status.is_ok_and(|s| s.ready && (unversioned || s.versions.serving.is_some()))
        };
        let result = self.wait_for("readiness", ready).await;
        result.map_err(|_| LabError::NotReady {
            name: host.name.clone(),
            seconds: READY_TIMEOUT.as_secs(),
            log: self.dir.join(format!("{}.log", host.name)),
        })
    }

    /// Polls `done` until it returns true; `what` names the condition in the error.
    pub async fn wait_for<F, T>(&self, what: &'static str, done: F) -> Result<(), LabError>
    where
        F: Fn() -> T,
        T: std::future::Future<Output = bool>,
    {
        let started = std::time::Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if done().await {
                return Ok(());
            }
            actix_rt::time::sleep(READY_POLL_INTERVAL).await;
        }
        let seconds = READY_TIMEOUT.as_secs();
        Err(LabError::Timeout { what, seconds })
    }

    /// Publishes the declaration of the current spec; returns its revision.
    pub async fn publish(&mut self) -> Result<u64, LabError> {
        let text = self.spec.declaration(&self.upstreams);
        self.publish_text(text).await
    }

    /// Publishes a declaration given as text, which need not be valid; returns its revision.
    pub async fn publish_text(&mut self, text: String) -> Result<u64, LabError> {
        self.revision += 1;
        let document = FleetDocument {
            revision: self.revision,
            author: "operator".into(),
            text,
        };
        post_json(self.config.private, "/lab/publish", &document).await?;
        Ok(self.revision)
    }

    /// The last published revision of the declaration.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Publishes the membership list, without the `dead` hosts and with the `leaving` ones marked so.
    pub async fn publish_members(
        &mut self,
        dead: &[SmolStr],
        leaving: &[SmolStr],
    ) -> Result<(), LabError> {
        self.generation += 1;
        let hosts = self.upstreams.iter().chain(&self.entries);
        let members = hosts
            .filter(|host| !dead.contains(&host.name))
            .map(|host| MemberDocument {
                host: host.name.clone(),
                data_centre: host.data_centre.name.into(),
                address: format_smolstr!("{}", host.public),
                state: match leaving.contains(&host.name) {
                    true => MemberState::Leaving,
                    false => MemberState::Live,
                },
            });
        let document = MembersDocument {
            generation: self.generation,
            members: members.collect(),
        };
        post_json(self.membership.private, "/lab/publish", &document).await
    }

    /// Replaces the simulated faults of the configuration service.
    pub async fn set_config_faults(&self, faults: DocumentFaults) -> Result<(), LabError> {
        post_json(self.config.private, "/lab/misbehave", &faults).await
    }

    /// The address the configuration service listens on.
    pub fn config_address(&self) -> SocketAddr {
        self.config.private
    }

    /// Replaces the faults of the emulated network.
    pub async fn set_faults(&self, faults: &[Fault]) -> Result<(), LabError> {
        post_json(self.control, "/lab/faults", &faults).await
    }

    /// Bytes of weights sent over the links of the emulated network.
    pub async fn traffic(&self) -> Result<Traffic, LabError> {
        get_json(self.control, "/lab/traffic").await
    }

    /// The status that a daemon reports.
    pub async fn status(&self, host: &Host) -> Result<PeerStatus, LabError> {
        get_json(host.private, paths::STATUS).await
    }

    /// The processes of the bench, for signals and restarts.
    pub fn processes(&mut self) -> &mut Processes {
        &mut self.processes
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        self.processes.kill_all();
        if !std::thread::panicking() && std::env::var_os("BALSAM_KEEP").is_none() {
            // The files are needed only after a failure; files that cannot be removed do no harm.
            let _ = fs::remove_dir_all(&self.dir);
        }
        // The folder is named after the block of addresses, so release the block only after removing it: the
        // next bench that claims the block creates the folder again.
        self.addresses.release();
    }
}
