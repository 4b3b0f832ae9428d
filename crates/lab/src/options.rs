//! The command line, checked once into what the lab runs.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use smol_str::SmolStr;
use strum::{Display, EnumString};

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

/// A stand-in to run.
#[derive(Clone, Debug)]
pub enum Standin {
    /// A model engine.
    Engine(EngineOptions),
    /// A plain service.
    Service(ServiceOptions),
    /// The origin of weights.
    Origin(OriginOptions),
    /// The configuration service or the membership list.
    Document(DocumentOptions),
    /// The network.
    Fabric {
        /// Where it is controlled.
        listen: SocketAddr,
        /// The file that describes it.
        network: PathBuf,
    },
}

/// How chunks reach hosts.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum WeightsPolicy {
    /// By owners.
    Owners,
    /// Each host from the origin.
    Direct,
}

/// What goes wrong during a burst.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum WeightsFault {
    /// Nothing.
    None,
    /// A tenth of the hosts is killed.
    Kill,
    /// A tenth of the hosts sends corrupt chunks.
    Corrupt,
    /// A tenth of the hosts stops sending.
    Stall,
    /// Another version is declared midway.
    VersionChange,
}

/// Which decisions are made while a data centre leaves and returns.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum ZonePolicy {
    /// Two choices and a gate before each upstream.
    Gate,
    /// Random choice, no gate.
    Baseline,
}

/// The order of service at sidecars.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum QueuePolicy {
    /// Deficit round robin.
    Drr,
    /// First in, first out.
    Fifo,
}

/// An experiment to run.
#[derive(Clone, Debug)]
pub enum Experiment {
    /// The whole system at work.
    Demo {
        /// Length of the loaded part.
        seconds: u64,
    },
    /// A new version reaches hosts.
    Weights {
        /// How many.
        hosts: usize,
        /// Seed of everything random in the experiment.
        seed: u64,
        /// How chunks travel.
        policy: WeightsPolicy,
        /// What goes wrong.
        fault: WeightsFault,
    },
    /// A data centre leaves and returns.
    Zone {
        /// Which decisions are made.
        policy: ZonePolicy,
        /// Seed of everything random in the experiment.
        seed: u64,
        /// Length of each of the three parts.
        seconds: u64,
    },
    /// One workspace sends far more than the others.
    Fairness {
        /// Seed of everything random in the experiment.
        seed: u64,
        /// The order of service.
        policy: QueuePolicy,
        /// Length of the loaded part.
        seconds: u64,
    },
    /// Resends of keyed requests under faults.
    Once {
        /// Seed of everything random in the experiment.
        seed: u64,
        /// How many keys.
        keys: usize,
    },
    /// Declarations under faults of the platform.
    Config {
        /// Seed of everything random in the experiment.
        seed: u64,
        /// How many sidecars.
        hosts: usize,
    },
    /// The cost of the system.
    Overhead,
    /// The cost of decisions as the fleet grows.
    Slopes,
}

/// What to run.
#[derive(Clone, Debug)]
pub enum Command {
    /// A stand-in, until it is ended.
    Standin(Standin),
    /// An experiment, and whether to print JSON.
    Experiment(Experiment, bool),
}

/// Options that are taken out one by one, so that leftovers are noticed.
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

    fn need<T: FromStr>(
        &mut self,
        option: &'static str,
        expected: &'static str,
    ) -> Result<T, LabError> {
        let value = self.get(option, expected)?;
        value.ok_or(LabError::Missing { option })
    }

    fn number(&mut self, option: &'static str, default: u64) -> Result<u64, LabError> {
        Ok(self.get(option, "a whole number")?.unwrap_or(default))
    }

    fn millis(&mut self, option: &'static str, default: u64) -> Result<Duration, LabError> {
        Ok(Duration::from_millis(self.number(option, default)?))
    }

    fn finish(self) -> Result<(), LabError> {
        match self.0.into_keys().next() {
            Some(name) => Err(lexopt::Error::UnexpectedOption(format!("--{name}")).into()),
            None => Ok(()),
        }
    }
}

impl Command {
    /// Checks the command line.
    pub fn from_args(args: Args) -> Result<Self, LabError> {
        let mut options = Options(args.options);
        let json = options.0.remove("json").is_some();
        let mut words = args.words.into_iter();
        let command = words
            .next()
            .ok_or(LabError::Missing { option: "COMMAND" })?;
        let parsed = match command.as_str() {
            "standin" => {
                let kind = words
                    .next()
                    .ok_or(LabError::Missing { option: "STAND-IN" })?;
                Self::Standin(standin(kind, &mut options)?)
            }
            _ => Self::Experiment(experiment(command, &mut options)?, json),
        };
        options.finish()?;
        Ok(parsed)
    }
}

fn experiment(command: SmolStr, options: &mut Options) -> Result<Experiment, LabError> {
    let seed = options.number("--seed", 1)?;
    Ok(match command.as_str() {
        "demo" => Experiment::Demo {
            seconds: options.number("--seconds", 12)?,
        },
        "weights" => Experiment::Weights {
            hosts: options.number("--hosts", 8)? as usize,
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
            seconds: options.number("--seconds", 8)?,
        },
        "fairness" => Experiment::Fairness {
            seed,
            policy: options
                .get("--policy", "drr or fifo")?
                .unwrap_or(QueuePolicy::Drr),
            seconds: options.number("--seconds", 15)?,
        },
        "once" => Experiment::Once {
            seed,
            keys: options.number("--keys", 10_000)? as usize,
        },
        "config" => Experiment::Config {
            seed,
            hosts: options.number("--hosts", 12)? as usize,
        },
        "overhead" => Experiment::Overhead,
        "slopes" => Experiment::Slopes,
        _ => return Err(LabError::Command { command }),
    })
}

fn standin(kind: SmolStr, options: &mut Options) -> Result<Standin, LabError> {
    const ADDRESS: &str = "an IP number and port";
    const PATH: &str = "a path";
    let listen = options.need("--listen", ADDRESS)?;
    Ok(match kind.as_str() {
        "engine" => Standin::Engine(EngineOptions {
            listen,
            cold_capacity: options.number("--cold-bears", 2)? as u32,
            warm_up_requests: options.number("--warm-after", 12)? as u32,
            first_token_delay: options.millis("--first-ms", 20)?,
            token_interval: options.millis("--token-ms", 5)?,
            load_time: options.millis("--load-ms", 300)?,
            fenced: options.get("--fenced", "true or false")?.unwrap_or(true),
            version: options.get("--version", "a version")?,
            ledger: options.get("--ledger", PATH)?,
        }),
        "service" => Standin::Service(ServiceOptions {
            listen,
            service_time: options.millis("--service-ms", 20)?,
            ledger: options.get("--ledger", PATH)?,
        }),
        "origin" => Standin::Origin(OriginOptions {
            listen,
            bytes: options.number("--bytes", 1 << 20)?,
            chunk_bytes: options.number("--chunk-bytes", 1 << 15)? as u32,
        }),
        "document" => Standin::Document(DocumentOptions {
            listen,
            ordered_by: options.need("--ordered-by", "revision or generation")?,
            publish_delay: options.millis("--lag-ms", 0)?,
        }),
        "fabric" => Standin::Fabric {
            listen,
            network: options.need("--network", PATH)?,
        },
        _ => return Err(LabError::Command { command: kind }),
    })
}

/// Runs a stand-in until its process is ended.
pub async fn run_standin(standin: Standin) -> Result<(), LabError> {
    match standin {
        Standin::Engine(options) => engine::run(options).await,
        Standin::Service(options) => service::run(options).await,
        Standin::Origin(options) => origin::run(options).await,
        Standin::Document(options) => document::run(options).await,
        Standin::Fabric { listen, network } => fabric::run(listen, network).await,
    }
}
