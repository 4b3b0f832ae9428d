//! Parts of prompts that crash each engine that begins to respond to them, among sound requests that share the
//! caller and the first part.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use balsamjunction_lab::standin::platform::Engine;
use futures_util::future::{join3, join_all};

use crate::common::{model_engine_options, Gateway, TestSite};

/// Time after the fifth crash from which requests that reach engines are counted: the gateways' default of
/// `contact_after_ms`.
const CONTACT_AFTER: Duration = Duration::from_secs(3);
/// Crashes after which a part must be known.
const CRASHES: usize = 5;
/// Requests with a deadly part that may reach engines later than that.
const MAX_LATE: usize = 3;
/// Time for which the tests send requests: the time until sound requests must be served again, and 3 s more.
const LOAD_TIME: Duration = Duration::from_secs(11);
/// Interval between requests with a deadly part.
const DEADLY_INTERVAL: Duration = Duration::from_millis(200);

/// The first part of every prompt.
const FIRST: &str = "a1:40";

/// Gateways that know each other, and engines that crash on the parts that a test chooses.
struct Fleet {
    site: TestSite,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
}

async fn start_fleet(gateways: usize, engines: usize) -> Fleet {
    let mut site = TestSite::start().await;
    site.retry_slack = 1_000.0;
    let mut fleet_engines = Vec::new();
    for n in 0..engines {
        let options = model_engine_options(&format!("e{n}"), 5, 30);
        fleet_engines.push(site.start_engine(options).await);
    }
    let mut fleet_gateways: Vec<Gateway> = Vec::new();
    for n in 0..gateways {
        let seeds: Vec<Gateway> = fleet_gateways.first().copied().into_iter().collect();
        fleet_gateways.push(site.start_gateway(&format!("g{n}"), &seeds));
    }
    for gateway in &fleet_gateways {
        gateway.wait_until_ready().await;
    }
    Fleet {
        site,
        gateways: fleet_gateways,
        engines: fleet_engines,
    }
}

/// A sound request: when it was sent, and whether it was served without a break.
struct SoundRequest {
    sent_at: Instant,
    served: bool,
}

impl Fleet {
    fn set_deadly_part(&self, id: &str) {
        for engine in &self.engines {
            engine.set_deadly_part(Some(id));
        }
    }

    /// Registers each engine again after it has crashed, for as long as `running` is set.
    async fn keep_registered(&self, running: &Cell<bool>) {
        let mut crashes = vec![0; self.engines.len()];
        while running.get() {
            for (engine, registered) in self.engines.iter().zip(&mut crashes) {
                let count = engine.crash_times().len();
                if count != *registered {
                    *registered = count;
                    self.site.register(engine, "ready");
                }
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends sound requests through a gateway, four at a time.
    async fn send_sound(&self, gateway: &Gateway, started: Instant) -> Vec<SoundRequest> {
        let mut sent = Vec::new();
        let mut round = 0;
        while started.elapsed() < LOAD_TIME {
            let calls = (0..4).map(|n| {
                let id = format!("s{}-{round}-{n}", gateway.callers.ip());
                async move {
                    let sent_at = Instant::now();
                    let parts = format!("{FIRST},b{n}:60,{:x}:20", round * 4 + n + 0x1000);
                    let response = gateway.generate_from_parts(&parts, &id).await;
                    let served =
                        response.is_some_and(|got| got.status == 200 && got.body.is_some());
                    SoundRequest { sent_at, served }
                }
            });
            sent.extend(join_all(calls).await);
            round += 1;
            actix_rt::time::sleep(Duration::from_millis(30)).await;
        }
        sent
    }

    /// Sends requests with a deadly part through all gateways in turn.
    async fn send_deadly(&self, part: &str, started: Instant) {
        let mut calls = Vec::new();
        let mut n = 0;
        while started.elapsed() < LOAD_TIME {
            let gateway = self.gateways[n % self.gateways.len()];
            let parts = format!("{FIRST},{part}:60,{:x}:20", n + 0x9000);
            let id = format!("d-{part}-{n}");
            calls.push(actix_rt::spawn(async move {
                gateway.generate_from_parts(&parts, &id).await
            }));
            n += 1;
            actix_rt::time::sleep(DEADLY_INTERVAL).await;
        }
        join_all(calls).await;
    }

    /// When engines crashed, in order.
    fn crash_times(&self) -> Vec<Instant> {
        let mut times: Vec<Instant> = self.engines.iter().flat_map(Engine::crash_times).collect();
        times.sort();
        times
    }

    /// When each request with the part arrived at an engine, in order.
    fn arrivals_with(&self, part: &str) -> Vec<Instant> {
        let needle = format!(",{part}:");
        let mut times: Vec<Instant> = Vec::new();
        for run in self.engines.iter().flat_map(Engine::runs) {
            let parts = run.headers.get("balsamjunction-prefix-hash");
            if parts.is_some_and(|parts| parts.contains(&needle)) {
                times.push(run.arrived_at);
            }
        }
        times.sort();
        times
    }

    /// Asserts that few requests with the part reach engines once the part must be known.
    #[track_caller]
    fn assert_refused(&self, part: &str) {
        let arrivals = self.arrivals_with(part);
        let fifth = arrivals.get(CRASHES - 1).expect("five engines crash");
        let late = arrivals.iter().filter(|at| **at > *fifth + CONTACT_AFTER);
        let late = late.count();
        assert!(
            late <= MAX_LATE,
            "{late} requests with part {part} reached engines later than {CONTACT_AFTER:?} after the fifth crash"
        );
    }
}

/// Asserts that sound requests which were sent from `from` on are served; without a deadly part, all are.
#[track_caller]
fn assert_served(sound: &[SoundRequest], from: Instant) {
    let late: Vec<&SoundRequest> = sound.iter().filter(|s| s.sent_at >= from).collect();
    let served = late.iter().filter(|s| s.served).count();
    assert!(
        late.len() >= 20 && 2 * served >= late.len(),
        "{served} of {} sound requests were served",
        late.len()
    );
}

/// Sends sound requests and requests with the deadly parts through `gateways`; returns the sound ones.
async fn send_load(fleet: &Fleet, deadly: &[&str]) -> Vec<SoundRequest> {
    let started = Instant::now();
    let running = Cell::new(true);
    let sound = fleet.gateways.iter().map(|g| fleet.send_sound(g, started));
    let sound = async {
        let sent = join_all(sound).await;
        running.set(false);
        sent.into_iter().flatten().collect()
    };
    let deadly = deadly.iter().map(|part| fleet.send_deadly(part, started));
    let (sound, _, ()) = join3(sound, join_all(deadly), fleet.keep_registered(&running)).await;
    sound
}

async fn assert_deadly_part_is_refused(gateways: usize) {
    let fleet = start_fleet(gateways, 8).await;
    fleet.set_deadly_part("dead");

    let sound = send_load(&fleet, &["dead"]).await;

    fleet.assert_refused("dead");
    let fifth = fleet.crash_times()[CRASHES - 1];
    assert_served(&sound, fifth + 2 * CONTACT_AFTER);
}

// Guards against a verdict on whole requests: no two with a deadly part are alike, and each counted for itself.
#[actix_rt::test]
async fn a_deadly_part_is_refused_and_sound_requests_are_served_by_one_gateway() {
    assert_deadly_part_is_refused(1).await;
}

// Guards against gateways that do not tell each other which parts were at engines that crashed.
#[actix_rt::test]
async fn a_deadly_part_is_refused_and_sound_requests_are_served_by_several_gateways() {
    assert_deadly_part_is_refused(4).await;
}
