//! A randomized soak: the real programs under troubles that overlap, judged from outside.
//!
//! Every run is named by its seed. `BALSAM_SOAK_SEEDS=1-50 BALSAM_SOAK_SECONDS=15` runs others than the
//! few of the usual tests; see docs/DEVELOPING.md.

mod oracle;
mod proxy;

use std::{
    cell::RefCell,
    collections::HashMap,
    fs::OpenOptions,
    io::Write,
    ops::RangeInclusive,
    rc::Rc,
    time::{Duration, Instant},
};

use awc::Client;
use balsamjunction_lab::standin::published::{Engine, EngineFault, StoreFault};
use nix::sys::signal::Signal;
use rand::{seq::IndexedRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use self::{
    oracle::{judge, Call, Kind},
    proxy::{Harm, Proxy},
};
use crate::common::{client, engine, plain, until, Gateway, Site, KEY};

/// Seeds of the usual tests: some fresh to this list, and each that ever failed, with its cause.
const USUAL_SEEDS: [u64; 3] = [1, 2, 3];
/// Length of the troubled part of a usual run.
const USUAL_SECONDS: u64 = 5;
const GATEWAYS: usize = 3;
const MODEL_ENGINES: usize = 4;
const PLAIN_ENGINES: usize = 3;
const CALLERS: usize = 8;
const KEYS: usize = 6;
const EVENTS: u32 = 8;
/// What the gateways' settings in the fixtures say.
const REVOKE_WITHIN: Duration = Duration::from_millis(2_000);

/// What can go wrong; each lasts a while and then ends.
#[derive(Clone, Copy, Debug)]
enum Trouble {
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
    DeafWatches,
    NewVersion,
    NewConfiguration,
    KeyTakenAway,
}

const TROUBLES: [Trouble; 15] = [
    Trouble::KillGateway,
    Trouble::StopGateway,
    Trouble::PauseGateway,
    Trouble::ReloadGateway,
    Trouble::KillStager,
    Trouble::PauseStager,
    Trouble::SickUpstream,
    Trouble::HarmedLink,
    Trouble::ResetLink,
    Trouble::UpstreamLeaves,
    Trouble::StoreDown,
    Trouble::DeafWatches,
    Trouble::NewVersion,
    Trouble::NewConfiguration,
    Trouble::KeyTakenAway,
];

type Undo = Box<dyn FnOnce(&mut Soak)>;

struct Soak {
    site: Site,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    proxies: Vec<Proxy>,
    keys: Vec<String>,
    revoked: HashMap<String, Instant>,
    version: u64,
    rng: Pcg64Mcg,
}

impl Soak {
    async fn start(seed: u64) -> Self {
        let mut site = Site::start().await;
        site.restart_after = Some(Duration::from_millis(300));
        let keys: Vec<String> = (0..KEYS).map(|n| format!("{KEY}-{n}")).collect();
        let known = keys.clone();
        site.configure(|config| config["tenants"][0]["apiKeys"] = json!(known));
        let mut soak = Self {
            site,
            gateways: Vec::new(),
            engines: Vec::new(),
            proxies: Vec::new(),
            keys,
            revoked: HashMap::new(),
            version: 1,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for n in 0..GATEWAYS {
            let seeds = soak.gateways.clone();
            let gateway = soak.site.gateway(&format!("g{n}"), &seeds);
            soak.gateways.push(gateway);
        }
        for n in 0..MODEL_ENGINES + PLAIN_ENGINES {
            let options = match n < MODEL_ENGINES {
                true => engine(&format!("e{n}"), EVENTS, 15),
                false => plain(&format!("d{n}")),
            };
            let mut engine = Engine::start(options).await.expect("the engine starts");
            let proxy = Proxy::start(engine.address).await;
            engine.address = proxy.address;
            soak.site.register(&engine, "ready");
            if n < MODEL_ENGINES {
                let seeds = soak.gateways.clone();
                soak.site.stager(&format!("s{n}"), &engine, &seeds);
            }
            soak.engines.push(engine);
            soak.proxies.push(proxy);
        }
        for gateway in &soak.gateways {
            gateway.until_ready().await;
        }
        soak
    }

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
                self.site.store.fail(StoreFault::Down);
                Box::new(|soak| soak.site.store.fail(StoreFault::None))
            }
            Trouble::DeafWatches => {
                self.site.store.fail(StoreFault::DeafWatches);
                Box::new(|soak| soak.site.store.fail(StoreFault::None))
            }
            Trouble::NewVersion => {
                self.version += 1;
                let named = json!({"model": "m1", "version": self.version});
                self.site.store.put("op/version/m1", &named);
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
            EngineFault::Full,
            EngineFault::Failing,
            EngineFault::AnswerLost,
            EngineFault::Silent,
            EngineFault::CutAfter(3),
            EngineFault::Unsigned,
            EngineFault::Crossed,
        ];
        let fault = *faults.choose(&mut self.rng).expect("there are some");
        let n = self.rng.random_range(0..self.engines.len());
        self.engines[n].fail(fault);
        Box::new(move |soak| soak.engines[n].fail(EngineFault::None))
    }

    /// Series of troubles that overlap, for some seconds; all have ended afterwards.
    async fn trouble(&mut self, seconds: u64) -> Vec<String> {
        let started = Instant::now();
        let mut told = Vec::new();
        let mut lasting: Vec<(Instant, Undo)> = Vec::new();
        while started.elapsed() < Duration::from_secs(seconds) {
            let trouble = *TROUBLES.choose(&mut self.rng).expect("there are some");
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

    /// Whether the system serves again, with the newest weights, once all troubles are over.
    async fn recovers(&self) {
        for gateway in &self.gateways {
            gateway.until_ready().await;
        }
        let version = self.version;
        until("the newest weights", async || {
            let mut engines = self.engines.iter().take(MODEL_ENGINES);
            engines.all(|engine| engine.version() == Some(version))
        })
        .await;
        let key = self.keys.last().expect("a key is left");
        let client = client();
        for gateway in &self.gateways {
            for kind in [Kind::Once, Kind::Many, Kind::Stream] {
                until("a call that is served", async || {
                    let id = format!("last-{:x}", rand::random::<u64>());
                    let call = call(&client, *gateway, kind, id, key.clone()).await;
                    call.status == Some(200) && call.body.is_some()
                })
                .await;
            }
        }
    }
}

async fn call(client: &Client, gateway: Gateway, kind: Kind, id: String, key: String) -> Call {
    let path = match kind {
        Kind::Once => "/order/new",
        Kind::Many => "/stock/1",
        Kind::Stream => "/draft/now",
    };
    let mut request = client
        .post(format!("http://{}{path}", gateway.callers))
        .insert_header(("host", "floor.example"))
        .insert_header(("balsamjunction-attempt-id", id.as_str()))
        .insert_header(("balsamjunction-deadline-ms", "3000"))
        .insert_header(("authorization", format!("Bearer {key}")));
    if kind == Kind::Stream {
        request = request
            .insert_header(("balsamjunction-model", "m1"))
            .insert_header(("balsamjunction-token-usage", "100,50"));
    }
    let sent = Instant::now();
    let mut seen = Call {
        id,
        kind,
        sent,
        key,
        status: None,
        signature: None,
        body: None,
    };
    // A caller that gets no answer knows nothing, which the judge allows.
    if let Ok(mut got) = request
        .timeout(Duration::from_secs(5))
        .send_body("a call")
        .await
    {
        seen.status = Some(got.status().as_u16());
        let signature = got.headers().get("balsamjunction-server-signature");
        seen.signature = signature.and_then(|value| Some(value.to_str().ok()?.to_owned()));
        let body = got.body().await.ok();
        seen.body = body.map(|buf| String::from_utf8_lossy(&buf).into_owned());
    }
    seen
}

/// A caller that keeps its connections, and goes on until `over`.
async fn caller(
    seed: u64,
    gateways: Vec<Gateway>,
    keys: Vec<String>,
    over: Rc<RefCell<bool>>,
) -> Vec<Call> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let client = client();
    let mut calls = Vec::new();
    while !*over.borrow() {
        let gateway = *gateways.choose(&mut rng).expect("there are some");
        let kinds = [Kind::Once, Kind::Many, Kind::Stream];
        let kind = *kinds.choose(&mut rng).expect("there are some");
        let key = keys.choose(&mut rng).expect("there are some").clone();
        let id = format!("{seed:x}-{}", calls.len());
        calls.push(call(&client, gateway, kind, id, key).await);
        let pause = Duration::from_millis(rng.random_range(2..30));
        actix_rt::time::sleep(pause).await;
    }
    calls
}

async fn run(seed: u64, seconds: u64) {
    let mut soak = Soak::start(seed).await;
    let over = Rc::new(RefCell::new(false));
    let callers: Vec<_> = (0..CALLERS as u64)
        .map(|n| {
            let own = seed * 1_000 + n;
            let calling = caller(own, soak.gateways.clone(), soak.keys.clone(), over.clone());
            actix_rt::spawn(calling)
        })
        .collect();

    let troubles = soak.trouble(seconds).await;
    soak.recovers().await;
    over.replace(true);
    let mut calls = Vec::new();
    for calling in callers {
        calls.extend(calling.await.expect("callers do not panic"));
    }
    // What was refused must not run later either.
    actix_rt::time::sleep(Duration::from_secs(1)).await;

    let broken = judge(&calls, &soak.engines, EVENTS, &soak.revoked, REVOKE_WITHIN);
    let served = calls.iter().filter(|call| call.status == Some(200)).count();
    println!(
        "seed {seed}: {} calls, {served} served, {} troubles, {} promises broken",
        calls.len(),
        troubles.len(),
        broken.len()
    );
    assert!(
        broken.is_empty(),
        "seed {seed}: {broken:#?}\nafter {troubles:#?}"
    );
    assert!(served * 4 >= calls.len(), "seed {seed}: {served} served");
}

/// Seeds and seconds by the environment, or the usual ones.
fn wanted() -> (Vec<u64>, u64) {
    let variable = |name: &str| std::env::var(name).ok();
    let seeds = variable("BALSAM_SOAK_SEEDS").map(|range| {
        let (first, last) = range.split_once('-').unwrap_or((&range, &range));
        let seeds: RangeInclusive<u64> =
            first.parse().expect("a seed")..=last.parse().expect("a seed");
        seeds.collect()
    });
    let seconds = variable("BALSAM_SOAK_SECONDS").map(|n| n.parse().expect("seconds"));
    (
        seeds.unwrap_or_else(|| USUAL_SEEDS.to_vec()),
        seconds.unwrap_or(USUAL_SECONDS),
    )
}

#[actix_rt::test]
async fn promises_hold_under_troubles_that_overlap() {
    let (seeds, seconds) = wanted();
    for seed in seeds {
        run(seed, seconds).await;
    }
}
