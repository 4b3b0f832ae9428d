//! A randomized soak: the real programs under troubles that overlap, judged from outside.
//!
//! Every run is named by its seed. `BALSAM_SOAK_SEEDS=1-50 BALSAM_SOAK_SECONDS=15` runs others than the
//! few of the usual tests; see docs/DEVELOPING.md.

mod callers;
mod oracle;
mod proxy;
mod troubles;

use std::{
    cell::RefCell,
    collections::HashMap,
    ops::RangeInclusive,
    rc::Rc,
    time::{Duration, Instant},
};

use balsamjunction_lab::standin::platform::Engine;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use self::{
    callers::{call, caller},
    oracle::{judge, Kind},
    proxy::Proxy,
};
use crate::common::{client, engine, plain, until, Gateway, Site, KEY};

/// Seeds of the usual tests, and each that ever failed:
/// 40, with 6 s: a stager fetched older versions beside the newest and forgot the newest for them.
const USUAL_SEEDS: [u64; 4] = [1, 2, 3, 40];
/// Length of the troubled part of a usual run.
const USUAL_SECONDS: u64 = 6;
const GATEWAYS: usize = 3;
const MODEL_ENGINES: usize = 4;
const PLAIN_ENGINES: usize = 3;
const CALLERS: usize = 8;
const KEYS: usize = 6;
const EVENTS: u32 = 8;
/// What the gateways' settings in the fixtures say.
const REVOKE_WITHIN: Duration = Duration::from_millis(2_000);

/// The system, its platform and the links between them.
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
