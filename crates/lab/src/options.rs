//! Converts the split command line into a validated command.

use std::{
    collections::BTreeMap, net::SocketAddr, ops::RangeInclusive, path::PathBuf, str::FromStr,
    time::Duration,
};

use derive_more::{Display, Error};
use smol_str::{format_smolstr, SmolStr};
use strum::EnumString;

use crate::{
    cli::Args,
    error::LabError,
    standin::{
        document::{self, DocumentOptions},
        engine::{self, EngineOptions},
        fabric,
        origin::{self, OriginOptions},
        service::{self, ServiceOptions},
    },
};

/// A stand-in to run, with its options.
#[derive(Clone, Debug)]
pub enum Standin {
    /// A model inference engine.
    Engine(EngineOptions),
    /// An upstream that is a plain service.
    Service(ServiceOptions),
    /// The origin server of model weights.
    Origin(OriginOptions),
    /// A server of one document: the configuration service or the membership list.
    Document(DocumentOptions),
    /// The emulated network.
    Fabric {
        /// Address of its control interface.
        listen: SocketAddr,
        /// Path of the file that describes its links.
        network: PathBuf,
    },
}

/// How hosts fetch the chunks of a version.
#[derive(Clone, Copy, Debug, strum::Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum WeightsPolicy {
    /// Owners fetch chunks from the origin, and other hosts from their peers.
    Owners,
    /// Each host fetches all chunks from the origin.
    Direct,
}

/// The fault that is injected while a version is distributed.
#[derive(Clone, Copy, Debug, strum::Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum WeightsFault {
    /// No fault.
    None,
    /// A tenth of the hosts is killed and removed from the membership list.
    Kill,
    /// A tenth of the hosts sends corrupt chunks.
    Corrupt,
    /// A tenth of the hosts is paused with SIGSTOP.
    Stall,
    /// Another version is declared while the first one is being distributed.
    VersionChange,
}

/// Upstream selection and admission in the experiment `zone`.
#[derive(Clone, Copy, Debug, strum::Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum ZonePolicy {
    /// Power-of-two-choices selection and a concurrency gate before each upstream.
    Gate,
    /// Random selection without a gate.
    Baseline,
}

/// The queueing discipline of sidecars.
#[derive(Clone, Copy, Debug, strum::Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum QueuePolicy {
    /// Deficit round robin over workspaces.
    Drr,
    /// First in, first out.
    Fifo,
}

/// Largest fleet of gateways that is simulated; the time of a simulation grows with the square of the number.
const MAX_GATEWAYS: usize = 1_000;

/// Numbers of gateways, separated by commas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayCounts(pub Vec<usize>);

/// A text is not a list of numbers of gateways.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not numbers of gateways, separated by commas")]
pub struct InvalidGatewayCounts;

impl FromStr for GatewayCounts {
    type Err = InvalidGatewayCounts;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let counts = text.split(',').map(|count| {
            let count: Option<usize> = count.trim().parse().ok();
            let count = count.filter(|count| (1..=MAX_GATEWAYS).contains(count));
            count.ok_or(InvalidGatewayCounts)
        });
        counts.collect::<Result<_, _>>().map(Self)
    }
}

/// The fault that is injected while a change reaches the gateways.
#[derive(Clone, Copy, Debug, strum::Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum DisseminationFault {
    /// No fault.
    None,
    /// A reader of the store is killed.
    KillReader,
    /// The gateway through which a region without a reader receives the change is killed.
    KillRoot,
    /// That gateway no longer responds.
    FreezeRoot,
}

/// Options of the experiment `dissemination`.
#[derive(Clone, Debug)]
pub struct DisseminationOptions {
    /// Numbers of gateways of the fleets to simulate.
    pub gateways: GatewayCounts,
    /// Number of regions.
    pub regions: usize,
    /// Size of the change as the relay transfers it, in bytes.
    pub bytes: usize,
    /// Size of the whole declaration as it was pushed in the former way, in bytes.
    pub whole_bytes: usize,
    /// Rate of a host's link, in bits per second.
    pub host_rate: u64,
    /// Rate of the link from one region to another, in bits per second.
    pub region_rate: u64,
    /// Percentage of parts that are lost.
    pub loss_percent: u32,
    /// The injected fault.
    pub fault: DisseminationFault,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Where to write a plot.
    pub svg: Option<PathBuf>,
}

/// An experiment to run.
#[derive(Clone, Debug)]
pub enum Experiment {
    /// A demonstration: load, a version upgrade, and a data centre taken out and returned.
    Demo {
        /// Duration of the load phase, in seconds.
        seconds: u64,
    },
    /// Distribution of a new version to all hosts.
    Weights {
        /// Number of hosts.
        hosts: usize,
        /// Seed of the random number generators.
        seed: u64,
        /// How hosts fetch chunks.
        policy: WeightsPolicy,
        /// The injected fault.
        fault: WeightsFault,
    },
    /// A data centre is taken out of service and returned under load.
    Zone {
        /// Upstream selection and admission.
        policy: ZonePolicy,
        /// Seed of the random number generators.
        seed: u64,
        /// Duration of each of the three phases, in seconds.
        seconds: u64,
    },
    /// One workspace sends ten times the load of each other workspace.
    Fairness {
        /// Seed of the random number generators.
        seed: u64,
        /// The queueing discipline.
        policy: QueuePolicy,
        /// Duration of the load phase, in seconds.
        seconds: u64,
    },
    /// Requests with idempotency keys, resent under faults.
    Once {
        /// Seed of the random number generators.
        seed: u64,
        /// Number of idempotency keys.
        keys: usize,
    },
    /// Declarations during outages and stale reads of the configuration service.
    Config {
        /// Seed of the random number generators.
        seed: u64,
        /// Number of sidecars.
        hosts: usize,
    },
    /// A large declaration reaches all gateways, in virtual time.
    Dissemination(DisseminationOptions),
    /// Latency and resource use, compared with direct requests.
    Overhead,
    /// Cost of the policy's decisions by fleet size.
    Slopes,
}

/// A validated command.
#[derive(Clone, Debug)]
pub enum Command {
    /// Runs a stand-in until the process is terminated.
    Standin(Standin),
    /// Runs an experiment; the flag selects a report in JSON.
    Experiment(Experiment, bool),
}

/// Options that are removed as they are read, so that `finish` can reject unknown ones.
struct Options(BTreeMap<String, SmolStr>);

impl Options {
    fn get<T: FromStr>(
        &mut self,
        option: &'static str,
        expected: &'static str,
    ) -> Result<Option<T>, LabError> {
        let name = option.trim_start_matches('-');
        let Some(value) = self.0.remove(name) else {
            return Ok(None);
        };
        match value.parse() {
            Ok(parsed) => Ok(Some(parsed)),
            Err(_) => Err(LabError::Value {
                option,
                value,
                expected,
            }),
        }
    }

    fn require<T: FromStr>(
        &mut self,
        option: &'static str,
        expected: &'static str,
    ) -> Result<T, LabError> {
        let value = self.get(option, expected)?;
        value.ok_or(LabError::Missing { option })
    }

    fn get_u64(&mut self, option: &'static str, default: u64) -> Result<u64, LabError> {
        Ok(self.get(option, "a whole number")?.unwrap_or(default))
    }

    fn get_within(
        &mut self,
        option: &'static str,
        default: u32,
        range: RangeInclusive<u32>,
        expected: &'static str,
    ) -> Result<u32, LabError> {
        let value = self.get(option, expected)?.unwrap_or(default);
        match range.contains(&value) {
            true => Ok(value),
            false => Err(LabError::Value {
                option,
                value: format_smolstr!("{value}"),
                expected,
            }),
        }
    }

    fn get_millis(&mut self, option: &'static str, default: u64) -> Result<Duration, LabError> {
        Ok(Duration::from_millis(self.get_u64(option, default)?))
    }

    fn finish(self) -> Result<(), LabError> {
        match self.0.into_keys().next() {
            Some(name) => Err(lexopt::Error::UnexpectedOption(format!("--{name}")).into()),
            None => Ok(()),
        }
    }
}

impl Command {
    /// Validates the command line. Options that the command does not use are errors; additional
    /// positional arguments are ignored.
    pub fn from_args(args: Args) -> Result<Self, LabError> {
        let mut options = Options(args.options);
        let json = options.0.remove("json").is_some();
        let mut positional = args.positional.into_iter();
        let command = positional
            .next()
            .ok_or(LabError::Missing { option: "COMMAND" })?;
        let parsed = match command.as_str() {
            "standin" => {
                let kind = positional
                    .next()
                    .ok_or(LabError::Missing { option: "STAND-IN" })?;
                Self::Standin(parse_standin(kind, &mut options)?)
            }
            _ => Self::Experiment(parse_experiment(command, &mut options)?, json),
        };
        options.finish()?;
        Ok(parsed)
    }
}

fn parse_experiment(command: SmolStr, options: &mut Options) -> Result<Experiment, LabError> {
    let seed = options.get_u64("--seed", 1)?;
    Ok(match command.as_str() {
        "demo" => Experiment::Demo {
            seconds: options.get_u64("--seconds", 12)?,
        },
        "weights" => Experiment::Weights {
            hosts: options.get_u64("--hosts", 8)? as usize,
            seed,
            policy: options
                .get("--policy", "owners or direct")?
                .unwrap_or(WeightsPolicy::Owners),
            fault: options
                .get("--fault", "none, kill, corrupt, stall or version-change")?
                .unwrap_or(WeightsFault::None),
        },
        "zone" => Experiment::Zone {
            policy: options
                .get("--policy", "gate or baseline")?
                .unwrap_or(ZonePolicy::Gate),
            seed,
            seconds: options.get_u64("--seconds", 8)?,
        },
        "fairness" => Experiment::Fairness {
            seed,
            policy: options
                .get("--policy", "drr or fifo")?
                .unwrap_or(QueuePolicy::Drr),
            seconds: options.get_u64("--seconds", 15)?,
        },
        "once" => Experiment::Once {
            seed,
            keys: options.get_u64("--keys", 10_000)? as usize,
        },
        "config" => Experiment::Config {
            seed,
            hosts: options.get_u64("--hosts", 12)? as usize,
        },
        "dissemination" => Experiment::Dissemination(parse_dissemination(seed, options)?),
        "overhead" => Experiment::Overhead,
        "slopes" => Experiment::Slopes,
        _ => return Err(LabError::Command { command }),
    })
}

fn parse_dissemination(seed: u64, options: &mut Options) -> Result<DisseminationOptions, LabError> {
    const COUNTS: &str = "whole numbers from 1 to 1000, separated by commas";
    const REGIONS: &str = "a whole number from 1 to 100";
    const BYTES: &str = "a whole number from 1 to 100000000";
    const KBIT: &str = "a whole number from 100 to 1000000";
    const PERCENT: &str = "a whole number from 0 to 90";
    let bytes_range = 1..=100_000_000;
    let rate_range = 100..=1_000_000;
    let bytes = options.get_within("--bytes", 1 << 20, bytes_range.clone(), BYTES)?;
    let whole_bytes = options.get_within("--whole-bytes", bytes, bytes_range, BYTES)?;
    let host_kbit = options.get_within("--host-kbit", 28_000, rate_range.clone(), KBIT)?;
    let region_kbit = options.get_within("--region-kbit", 26_000, rate_range, KBIT)?;
    Ok(DisseminationOptions {
        gateways: options
            .get("--gateways", COUNTS)?
            .unwrap_or(GatewayCounts(vec![14, 24, 35, 100, 300])),
        regions: options.get_within("--regions", 3, 1..=100, REGIONS)? as usize,
        bytes: bytes as usize,
        whole_bytes: whole_bytes as usize,
        host_rate: u64::from(host_kbit) * 1_000,
        region_rate: u64::from(region_kbit) * 1_000,
        loss_percent: options.get_within("--loss", 0, 0..=90, PERCENT)?,
        fault: options
            .get("--fault", "none, kill-reader, kill-root or freeze-root")?
            .unwrap_or(DisseminationFault::None),
        seed,
        svg: options.get("--svg", "a path")?,
    })
}

fn parse_standin(kind: SmolStr, options: &mut Options) -> Result<Standin, LabError> {
    const ADDRESS: &str = "an IP address and port";
    const PATH: &str = "a path";
    let listen = options.require("--listen", ADDRESS)?;
    Ok(match kind.as_str() {
        "engine" => Standin::Engine(EngineOptions {
            listen,
            cold_capacity: options.get_u64("--cold-bears", 2)? as u32,
            warm_up_requests: options.get_u64("--warm-after", 12)? as u32,
            first_token_delay: options.get_millis("--first-ms", 20)?,
            token_interval: options.get_millis("--token-ms", 5)?,
            load_time: options.get_millis("--load-ms", 300)?,
            fenced: options.get("--fenced", "true or false")?.unwrap_or(true),
            version: options.get("--version", "a version")?,
            ledger: options.get("--ledger", PATH)?,
        }),
        "service" => Standin::Service(ServiceOptions {
            listen,
            service_time: options.get_millis("--service-ms", 20)?,
            ledger: options.get("--ledger", PATH)?,
        }),
        "origin" => Standin::Origin(OriginOptions {
            listen,
            bytes: options.get_u64("--bytes", 1 << 20)?,
            chunk_bytes: options.get_u64("--chunk-bytes", 1 << 15)? as u32,
        }),
        "document" => Standin::Document(DocumentOptions {
            listen,
            ordered_by: options.require("--ordered-by", "revision or generation")?,
            publish_delay: options.get_millis("--lag-ms", 0)?,
        }),
        "fabric" => Standin::Fabric {
            listen,
            network: options.require("--network", PATH)?,
        },
        _ => return Err(LabError::Command { command: kind }),
    })
}

/// Runs a stand-in until the process is terminated.
pub async fn run_standin(standin: Standin) -> Result<(), LabError> {
    match standin {
        Standin::Engine(options) => engine::run(options).await,
        Standin::Service(options) => service::run(options).await,
        Standin::Origin(options) => origin::run(options).await,
        Standin::Document(options) => document::run(options).await,
        Standin::Fabric { listen, network } => fabric::run(listen, network).await,
    }
}
