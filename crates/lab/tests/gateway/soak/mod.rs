//! A randomised soak test: real processes under overlapping disruptions, checked from outside.
//!
//! Every run is identified by its seed. `BALSAM_SOAK_SEEDS=1-50 BALSAM_SOAK_SECONDS=15` replaces the few
//! default seeds and the default length; see docs/DEVELOPING.md.

mod callers;
mod disruptions;
mod oracle;
mod proxy;

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
    callers::{run_caller, send_call},
    disruptions::Disruption,
    oracle::{find_violations, RequestKind},
    proxy::Proxy,
};
use crate::common::{
    model_engine_options, new_client, plain_engine_options, wait_until, Gateway, TestSite, API_KEY,
};

/// Seeds of a default run, with every seed that has failed:
/// 40, with 6 s: a stager fetched older versions along with the newest and dropped the newest in favour of
/// them.
const DEFAULT_SEEDS: [u64; 5] = [1, 2, 3, 40, 1_000];
/// Time during which a default run starts disruptions.
const DEFAULT_SECONDS: u64 = 6;
const GATEWAYS: usize = 3;
const MODEL_ENGINES: usize = 4;
const PLAIN_ENGINES: usize = 3;
const CALLERS: usize = 8;
const KEYS: usize = 6;
/// Events in a complete stream.
const EVENTS: u32 = 8;
/// The setting `revoke_within_ms` of the gateways in the fixtures.
const REVOKE_WITHIN: Duration = Duration::from_millis(2_000);

/// The processes under test, their platform, and the proxies between gateways and engines.
struct Soak {
    site: TestSite,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    proxies: Vec<Proxy>,
    keys: Vec<String>,
    /// When each revoked key was removed from the configuration.
    revoked: HashMap<String, Instant>,
    /// The newest published version of the weights.
    version: u64,
    rng: Pcg64Mcg,
    /// The disruptions to choose from.
    disruptions: &'static [Disruption],
}

impl Soak {
    async fn start(seed: u64) -> Self {
        let mut site = TestSite::start().await;
        site.restart_after = Some(Duration::from_millis(300));
        let keys: Vec<String> = (0..KEYS).map(|n| format!("{API_KEY}-{n}")).collect();
        let api_keys = keys.clone();
        site.update_config(|config| config["tenants"][0]["apiKeys"] = json!(api_keys));
        let mut soak = Self {
            site,
            gateways: Vec::new(),
            engines: Vec::new(),
            proxies: Vec::new(),
            keys,
            revoked: HashMap::new(),
            version: 1,
            rng: Pcg64Mcg::seed_from_u64(seed),
            disruptions: Disruption::of_seed(seed),
        };
        for n in 0..GATEWAYS {
            let seeds = soak.gateways.clone();
            let gateway = soak.site.start_gateway(&format!("g{n}"), &seeds);
            soak.gateways.push(gateway);
        }
        for n in 0..MODEL_ENGINES + PLAIN_ENGINES {
            let options = match n < MODEL_ENGINES {
                true => model_engine_options(&format!("e{n}"), EVENTS, 15),
                false => plain_engine_options(&format!("d{n}")),
            };
            let mut engine = Engine::start(options).await.expect("start the engine");
            let proxy = Proxy::start(engine.address).await;
            engine.address = proxy.address;
            soak.site.register(&engine, "ready");
            if n < MODEL_ENGINES {
                let seeds = soak.gateways.clone();
                soak.site.start_stager(&format!("s{n}"), &engine, &seeds);
            }
            soak.engines.push(engine);
            soak.proxies.push(proxy);
        }
        for gateway in &soak.gateways {
            gateway.wait_until_ready().await;
        }
        soak
    }

    /// Waits until every gateway serves requests again and engines have loaded the newest weights.
    async fn wait_until_recovered(&self) {
        for gateway in &self.gateways {
            gateway.wait_until_ready().await;
        }
        let version = self.version;
        wait_until("the newest weights to be loaded", async || {
            let mut engines = self.engines.iter().take(MODEL_ENGINES);
            engines.all(|engine| engine.version() == Some(version))
        })
        .await;
        let key = self.keys.last().expect("a key remains");
        let client = new_client();
        for gateway in &self.gateways {
            for kind in [
                RequestKind::NonIdempotent,
                RequestKind::Idempotent,
                RequestKind::Streaming,
            ] {
                wait_until("a call to be served", async || {
                    let id = format!("last-{:x}", rand::random::<u64>());
                    let call = send_call(&client, *gateway, kind, id, key.clone()).await;
                    call.status == Some(200) && call.body.is_some()
                })
                .await;
            }
        }
    }
}

async fn run(seed: u64, seconds: u64) {
    let mut soak = Soak::start(seed).await;
    let stopped = Rc::new(RefCell::new(false));
    let callers: Vec<_> = (0..CALLERS as u64)
        .map(|n| {
            let caller_seed = seed * 1_000 + n;
            let caller = run_caller(
                caller_seed,
                soak.gateways.clone(),
                soak.keys.clone(),
                stopped.clone(),
            );
            actix_rt::spawn(caller)
        })
        .collect();

    let disruptions = soak.run_disruptions(seconds).await;
    soak.wait_until_recovered().await;
    stopped.replace(true);
    let mut calls = Vec::new();
    for caller in callers {
        calls.extend(caller.await.expect("callers do not panic"));
    }
    // Wait for late runs: a refused request must not run later either.
    actix_rt::time::sleep(Duration::from_secs(1)).await;

    let violations = find_violations(&calls, &soak.engines, EVENTS, &soak.revoked, REVOKE_WITHIN);
    let served = calls.iter().filter(|call| call.status == Some(200)).count();
    println!(
        "seed {seed}: {} calls, {served} served, {} disruptions, {} violations",
        calls.len(),
        disruptions.len(),
        violations.len()
    );
    assert!(
        violations.is_empty(),
        "seed {seed}: {violations:#?}\nafter {disruptions:#?}"
    );
    assert!(served * 4 >= calls.len(), "seed {seed}: {served} served");
}

/// Seeds and seconds from the environment, or the defaults.
fn seeds_and_seconds() -> (Vec<u64>, u64) {
    let variable = |name: &str| std::env::var(name).ok();
    let seeds = variable("BALSAM_SOAK_SEEDS").map(|range| {
        let (first, last) = range.split_once('-').unwrap_or((&range, &range));
        let seeds: RangeInclusive<u64> = first.parse().expect("parse the first seed")
            ..=last.parse().expect("parse the last seed");
        seeds.collect()
    });
    let seconds = variable("BALSAM_SOAK_SECONDS").map(|n| n.parse().expect("parse the seconds"));
    (
        seeds.unwrap_or_else(|| DEFAULT_SEEDS.to_vec()),
        seconds.unwrap_or(DEFAULT_SECONDS),
    )
}

#[actix_rt::test]
async fn guarantees_hold_under_overlapping_disruptions() {
    let (seeds, seconds) = seeds_and_seconds();
    for seed in seeds {
        run(seed, seconds).await;
    }
}
