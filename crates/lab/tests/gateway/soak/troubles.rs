//! What goes wrong during a soak: signals, sick upstreams, links, the store, changes by operators.

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

use super::{proxy::Harm, Soak, GATEWAYS, MODEL_ENGINES};

/// What can go wrong; each lasts a while and then ends.
#[derive(Clone, Copy, Debug, VariantArray)]
pub enum Trouble {
    KillGateway,
    StopGateway,
    PauseGateway,
    ReloadGateway,
    KillStager,
    PauseStager,
    SickUpstream,
    HarmedLink,
    ResetLink,
    UpstreamLeaves,
    StoreDown,
    LostWatchEvents,
    NewVersion,
    NewConfiguration,
    KeyTakenAway,
}

/// Ends a trouble.
type Undo = Box<dyn FnOnce(&mut Soak)>;

impl Soak {
    fn signal(&mut self, name: &str, signal: Signal) {
        // A process that is just being started again gets no signal, which is as well.
        if let Err(e) = self.site.processes.signal(name, signal) {
            eprintln!("{name} gets no {signal}: {e}");
        }
    }

    fn any_gateway(&mut self) -> String {
        format!("g{}", self.rng.random_range(0..GATEWAYS))
    }

    fn any_stager(&mut self) -> String {
        format!("s{}", self.rng.random_range(0..MODEL_ENGINES))
    }

    /// Begins a trouble; gives what ends it.
    fn strike(&mut self, trouble: Trouble) -> Undo {
        let nothing: Undo = Box::new(|_| {});
        match trouble {
            Trouble::KillGateway => {
                let name = self.any_gateway();
                self.signal(&name, Signal::SIGKILL);
                nothing
            }
            Trouble::StopGateway => {
                let name = self.any_gateway();
                self.signal(&name, Signal::SIGTERM);
                nothing
            }
            Trouble::PauseGateway => {
                let name = self.any_gateway();
                self.pause(name)
            }
            Trouble::ReloadGateway => {
                let name = self.any_gateway();
                let path = self.site.settings_path(&name);
                let mut f = OpenOptions::new()
                    .append(true)
                    .open(path)
                    .expect("settings are there");
                writeln!(f, "// changed").expect("settings can be written");
                self.signal(&name, Signal::SIGHUP);
                nothing
            }
            Trouble::KillStager => {
                let name = self.any_stager();
                self.signal(&name, Signal::SIGKILL);
                nothing
            }
            Trouble::PauseStager => {
                let name = self.any_stager();
                self.pause(name)
            }
            Trouble::SickUpstream => self.sicken(),
            Trouble::HarmedLink => {
                let harms = [
                    Harm::Delay(Duration::from_millis(120)),
                    Harm::CutThere,
                    Harm::CutBack,
                    Harm::Silence,
                ];
                let harm = *harms.choose(&mut self.rng).expect("there are some");
                let n = self.rng.random_range(0..self.proxies.len());
                self.proxies[n].set(harm);
                Box::new(move |soak| soak.proxies[n].set(Harm::None))
            }
            Trouble::ResetLink => {
                let n = self.rng.random_range(0..self.proxies.len());
                self.proxies[n].reset_all();
                nothing
            }
            Trouble::UpstreamLeaves => {
                let n = self.rng.random_range(0..self.engines.len());
                self.site.register(&self.engines[n], "draining");
                Box::new(move |soak| soak.site.register(&soak.engines[n], "ready"))
            }
            Trouble::StoreDown => {
                self.site.store.set_fault(StoreFault::Down);
                Box::new(|soak| soak.site.store.set_fault(StoreFault::None))
            }
            Trouble::LostWatchEvents => {
                self.site.store.set_fault(StoreFault::LostWatchEvents);
                Box::new(|soak| soak.site.store.set_fault(StoreFault::None))
            }
            Trouble::NewVersion => {
                self.version += 1;
                self.site.name_version(self.version);
                nothing
            }
            Trouble::NewConfiguration => {
                let timeout = self.rng.random_range(2_000..5_000);
                self.site
                    .configure(|config| config["routes"][0]["timeoutMs"] = json!(timeout));
                nothing
            }
            Trouble::KeyTakenAway => {
                if self.keys.len() > 2 {
                    let key = self.keys.remove(0);
                    let left = self.keys.clone();
                    self.site
                        .configure(|config| config["tenants"][0]["apiKeys"] = json!(left));
                    self.revoked.insert(key, Instant::now());
                }
                nothing
            }
        }
    }

    fn pause(&mut self, name: String) -> Undo {
        self.signal(&name, Signal::SIGSTOP);
        Box::new(move |soak| soak.signal(&name, Signal::SIGCONT))
    }

    fn sicken(&mut self) -> Undo {
        let faults = [
            EngineFault::Overloaded,
            EngineFault::InternalError,
            EngineFault::ResponseLost,
            EngineFault::NoResponse,
            EngineFault::TruncateAfter(3),
            EngineFault::MissingSignature,
            EngineFault::WrongAttemptId,
        ];
        let fault = *faults.choose(&mut self.rng).expect("there are some");
        let n = self.rng.random_range(0..self.engines.len());
        self.engines[n].set_fault(fault);
        Box::new(move |soak| soak.engines[n].set_fault(EngineFault::None))
    }

    /// Series of troubles that overlap, for some seconds; all have ended afterwards.
    pub async fn trouble(&mut self, seconds: u64) -> Vec<String> {
        let started = Instant::now();
        let mut told = Vec::new();
        let mut lasting: Vec<(Instant, Undo)> = Vec::new();
        while started.elapsed() < Duration::from_secs(seconds) {
            let trouble = *Trouble::VARIANTS
                .choose(&mut self.rng)
                .expect("there are some");
            told.push(format!("{:?} {trouble:?}", started.elapsed()));
            let undo = self.strike(trouble);
            let lasts = Duration::from_millis(self.rng.random_range(300..2_500));
            lasting.push((Instant::now() + lasts, undo));
            let pause = Duration::from_millis(self.rng.random_range(50..600));
            actix_rt::time::sleep(pause).await;
            let (over, on): (Vec<_>, Vec<_>) = lasting
                .into_iter()
                .partition(|(until, _)| Instant::now() >= *until);
            lasting = on;
            over.into_iter().for_each(|(_, undo)| undo(self));
        }
        lasting.into_iter().for_each(|(_, undo)| undo(self));
        told
    }
}
