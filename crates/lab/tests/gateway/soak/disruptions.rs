//! Disruptions during a soak test: signals to processes, faults of upstreams, links and the store, and
//! changes by operators.

use std::{
    fs::OpenOptions,
    io::Write,
    time::{Duration, Instant},
};

use balsamjunction_lab::standin::platform::{EngineFault, StoreFault};
use nix::sys::signal::Signal;
use rand::{seq::IndexedRandom, Rng};
use serde_json::json;
use strum::VariantArray;

use super::{proxy::LinkFault, Soak, GATEWAYS, MODEL_ENGINES};

/// A kind of disruption. Those that can be undone end after a random time.
#[derive(Clone, Copy, Debug, VariantArray)]
pub enum Disruption {
    KillGateway,
    StopGateway,
    PauseGateway,
    ReloadGateway,
    KillStager,
    PauseStager,
    FaultyUpstream,
    FaultyLink,
    ResetLink,
    UpstreamDraining,
    StoreDown,
    LostWatchEvents,
    NewVersion,
    NewConfiguration,
    KeyRevoked,
    StoreRestored,
}

/// Number of disruptions, the first ones, that seeds below [`FIRST_SEED_OF_ALL`] choose from. A longer list would
/// change what they do.
const ORIGINAL_DISRUPTIONS: usize = 15;
/// The first seed that chooses from all disruptions.
const FIRST_SEED_OF_ALL: u64 = 1_000;

impl Disruption {
    /// The disruptions that a seed chooses from.
    pub fn of_seed(seed: u64) -> &'static [Self] {
        match seed < FIRST_SEED_OF_ALL {
            true => &Self::VARIANTS[..ORIGINAL_DISRUPTIONS],
            false => Self::VARIANTS,
        }
    }
}

/// Ends a disruption.
type Undo = Box<dyn FnOnce(&mut Soak)>;

impl Soak {
    fn signal(&mut self, name: &str, signal: Signal) {
        // A process that is being restarted cannot receive a signal, which is no error.
        if let Err(e) = self.site.processes.signal(name, signal) {
            eprintln!("cannot send {signal} to {name}: {e}");
        }
    }

    fn random_gateway(&mut self) -> String {
        format!("g{}", self.rng.random_range(0..GATEWAYS))
    }

    fn random_stager(&mut self) -> String {
        format!("s{}", self.rng.random_range(0..MODEL_ENGINES))
    }

    /// Starts a disruption, and returns the function that ends it.
    fn start_disruption(&mut self, disruption: Disruption) -> Undo {
        let no_op: Undo = Box::new(|_| {});
        match disruption {
            Disruption::KillGateway => {
                let name = self.random_gateway();
                self.signal(&name, Signal::SIGKILL);
                no_op
            }
            Disruption::StopGateway => {
                let name = self.random_gateway();
                self.signal(&name, Signal::SIGTERM);
                no_op
            }
            Disruption::PauseGateway => {
                let name = self.random_gateway();
                self.pause(name)
            }
            Disruption::ReloadGateway => {
                let name = self.random_gateway();
                let path = self.site.settings_path(&name);
                let mut f = OpenOptions::new()
                    .append(true)
                    .open(path)
                    .expect("open the settings");
                writeln!(f, "// changed").expect("write the settings");
                self.signal(&name, Signal::SIGHUP);
                no_op
            }
            Disruption::KillStager => {
                let name = self.random_stager();
                self.signal(&name, Signal::SIGKILL);
                no_op
            }
            Disruption::PauseStager => {
                let name = self.random_stager();
                self.pause(name)
            }
            Disruption::FaultyUpstream => self.inject_upstream_fault(),
            Disruption::FaultyLink => {
                let faults = [
                    LinkFault::Delay(Duration::from_millis(120)),
                    LinkFault::DropToServer,
                    LinkFault::DropFromServer,
                    LinkFault::Blackhole,
                ];
                let fault = *faults.choose(&mut self.rng).expect("the list is not empty");
                let n = self.rng.random_range(0..self.proxies.len());
                self.proxies[n].set_fault(fault);
                Box::new(move |soak| soak.proxies[n].set_fault(LinkFault::None))
            }
            Disruption::ResetLink => {
                let n = self.rng.random_range(0..self.proxies.len());
                self.proxies[n].reset_all();
                no_op
            }
            Disruption::UpstreamDraining => {
                let n = self.rng.random_range(0..self.engines.len());
                self.site.register(&self.engines[n], "draining");
                Box::new(move |soak| soak.site.register(&soak.engines[n], "ready"))
            }
            Disruption::StoreDown => {
                self.site.store.set_fault(StoreFault::Down);
                Box::new(|soak| soak.site.store.set_fault(StoreFault::None))
            }
            Disruption::LostWatchEvents => {
                self.site.store.set_fault(StoreFault::LostWatchEvents);
                Box::new(|soak| soak.site.store.set_fault(StoreFault::None))
            }
            Disruption::StoreRestored => {
                let lost = self.rng.random_range(0..12);
                let copied = self.site.store.revision().saturating_sub(lost).max(1);
                self.site.store.set_fault(StoreFault::Down);
                Box::new(move |soak| {
                    soak.site.store.restore_and_write_again(copied);
                    soak.site.store.set_fault(StoreFault::None);
                })
            }
            Disruption::NewVersion => {
                self.version += 1;
                self.site.publish_version(self.version);
                no_op
            }
            Disruption::NewConfiguration => {
                let timeout = self.rng.random_range(2_000..5_000);
                self.site
                    .update_config(|config| config["routes"][0]["timeoutMs"] = json!(timeout));
                no_op
            }
            Disruption::KeyRevoked => {
                if self.keys.len() > 2 {
                    let key = self.keys.remove(0);
                    let remaining = self.keys.clone();
                    self.site
                        .update_config(|config| config["tenants"][0]["apiKeys"] = json!(remaining));
                    self.revoked.insert(key, Instant::now());
                }
                no_op
            }
        }
    }

    fn pause(&mut self, name: String) -> Undo {
        self.signal(&name, Signal::SIGSTOP);
        Box::new(move |soak| soak.signal(&name, Signal::SIGCONT))
    }

    fn inject_upstream_fault(&mut self) -> Undo {
        let faults = [
            EngineFault::Overloaded,
            EngineFault::InternalError,
            EngineFault::ResponseLost,
            EngineFault::NoResponse,
            EngineFault::TruncateAfter(3),
            EngineFault::MissingSignature,
            EngineFault::WrongAttemptId,
        ];
        let fault = *faults.choose(&mut self.rng).expect("the list is not empty");
        let n = self.rng.random_range(0..self.engines.len());
        self.engines[n].set_fault(fault);
        Box::new(move |soak| soak.engines[n].set_fault(EngineFault::None))
    }

    /// Starts overlapping disruptions for `seconds`, and then ends those that remain. Returns a description
    /// of each, with its time.
    pub async fn run_disruptions(&mut self, seconds: u64) -> Vec<String> {
        let started = Instant::now();
        let mut log = Vec::new();
        let mut active: Vec<(Instant, Undo)> = Vec::new();
        while started.elapsed() < Duration::from_secs(seconds) {
            let disruption = *self
                .disruptions
                .choose(&mut self.rng)
                .expect("the list is not empty");
            log.push(format!("{:?} {disruption:?}", started.elapsed()));
            let undo = self.start_disruption(disruption);
            let duration = Duration::from_millis(self.rng.random_range(300..2_500));
            active.push((Instant::now() + duration, undo));
            let pause = Duration::from_millis(self.rng.random_range(50..600));
            actix_rt::time::sleep(pause).await;
            let (expired, remaining): (Vec<_>, Vec<_>) = active
                .into_iter()
                .partition(|(until, _)| Instant::now() >= *until);
            active = remaining;
            expired.into_iter().for_each(|(_, undo)| undo(self));
        }
        active.into_iter().for_each(|(_, undo)| undo(self));
        log
    }
}
