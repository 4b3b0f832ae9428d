//! Parts of prompts that crash each engine that begins to respond to them, among sound requests that share the
//! caller and the first part.

use std::{
    cell::{Cell, RefCell},
    ops::Range,
    time::{Duration, Instant},
};

use balsamjunction_lab::standin::platform::Engine;
use futures_util::future::{join, join3, join_all};
use nix::sys::signal::Signal;

use crate::{
    common::{model_engine_options, Gateway, TestSite},
    explained::explained_cause,
};

/// Time after the fifth crash from which requests that reach engines are counted: the gateways' default of
/// `contact_after_ms`.
pub const CONTACT_AFTER: Duration = Duration::from_secs(3);
/// Crashes after which a part must be known.
const CRASHES: usize = 5;
/// Requests with a deadly part that may reach engines later than that.
pub const MAX_LATE: usize = 3;
/// Time for which the tests send requests: the time until sound requests must be served again, and 3 s more.
pub const LOAD_TIME: Duration = Duration::from_secs(11);
/// Interval between requests with a deadly part.
pub const DEADLY_INTERVAL: Duration = Duration::from_millis(200);

/// The first part of every prompt.
const FIRST: &str = "a1:40";

/// How long a gateway is frozen, or down.
const FREEZE: Duration = Duration::from_secs(3);
const DOWNTIME: Duration = Duration::from_millis(300);

/// Gateways that know each other, and engines that crash on the parts that a test chooses.
pub struct Fleet {
    pub site: RefCell<TestSite>,
    pub gateways: Vec<Gateway>,
    pub engines: Vec<Engine>,
}

pub async fn start_fleet(gateways: usize, engines: usize) -> Fleet {
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
        site: RefCell::new(site),
        gateways: fleet_gateways,
        engines: fleet_engines,
    }
}

/// A sound request: when it was sent, and whether it was served without a break.
pub struct SoundRequest {
    pub sent_at: Instant,
    pub served: bool,
}

impl Fleet {
    fn set_deadly_parts(&self, ids: &[&str]) {
        for engine in &self.engines {
            engine.set_deadly_parts(ids);
        }
    }

    /// Registers each engine again after it has crashed, for as long as `running` is set.
    pub async fn keep_registered(&self, running: &Cell<bool>) {
        let mut crashes = vec![0; self.engines.len()];
        while running.get() {
            for (engine, registered) in self.engines.iter().zip(&mut crashes) {
                let count = engine.crash_times().len();
                if count != *registered {
                    *registered = count;
                    self.site.borrow().register(engine, "ready");
                }
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends sound requests through a gateway, four at a time.
    pub async fn send_sound(&self, gateway: &Gateway, started: Instant) -> Vec<SoundRequest> {
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
    pub fn crash_times(&self) -> Vec<Instant> {
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
pub fn assert_served(sound: &[SoundRequest], from: Instant) {
    let late: Vec<&SoundRequest> = sound.iter().filter(|s| s.sent_at >= from).collect();
    let served = late.iter().filter(|s| s.served).count();
    assert!(
        late.len() >= 20 && 2 * served >= late.len(),
        "{served} of {} sound requests were served",
        late.len()
    );
}

/// Sends requests with the deadly parts through all gateways, and sound ones through those in `sound`; returns the
/// sound ones.
async fn send_load(fleet: &Fleet, deadly: &[&str], sound: Range<usize>) -> Vec<SoundRequest> {
    let started = Instant::now();
    let running = Cell::new(true);
    let sound = fleet.gateways[sound].iter();
    let sound = sound.map(|gateway| fleet.send_sound(gateway, started));
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
    fleet.set_deadly_parts(&["dead"]);

    let sound = send_load(&fleet, &["dead"], 0..gateways).await;

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

// Guards against gateways that send what all others refuse after they restarted or woke from a freeze.
#[actix_rt::test]
async fn a_deadly_part_is_refused_by_gateways_that_restart_and_freeze() {
    let fleet = start_fleet(4, 8).await;
    fleet.set_deadly_parts(&["dead"]);
    let disturb = async {
        actix_rt::time::sleep(Duration::from_secs(5)).await;
        let killed = fleet.site.borrow_mut().processes.kill("g2");
        killed.expect("the process runs");
        let frozen = fleet.site.borrow().processes.signal("g3", Signal::SIGSTOP);
        frozen.expect("the process runs");
        actix_rt::time::sleep(DOWNTIME).await;
        let restarted = fleet.site.borrow_mut().processes.restart("g2");
        restarted.expect("the process starts");
        actix_rt::time::sleep(FREEZE).await;
        let woken = fleet.site.borrow().processes.signal("g3", Signal::SIGCONT);
        woken.expect("the process runs");
    };

    let (sound, ()) = join(send_load(&fleet, &["dead"], 0..2), disturb).await;

    fleet.assert_refused("dead");
    assert_served(&sound, fleet.crash_times()[CRASHES - 1] + 2 * CONTACT_AFTER);
}

// Guards against a verdict on what runs everywhere while several parts, and other causes, crash engines.
#[actix_rt::test]
async fn several_deadly_parts_are_refused_beside_crashes_of_other_causes() {
    let fleet = start_fleet(4, 10).await;
    fleet.set_deadly_parts(&["dead", "beef"]);
    let crash_others = async {
        for engine in fleet.engines.iter().cycle().take(8) {
            actix_rt::time::sleep(Duration::from_millis(900)).await;
            engine.crash();
        }
    };

    let load = send_load(&fleet, &["dead", "beef"], 0..4);
    let (sound, ()) = join(load, crash_others).await;

    for part in ["dead", "beef"] {
        fleet.assert_refused(part);
    }
    let started = sound.first().map(|request| request.sent_at);
    let settled = started.expect("requests are sent") + LOAD_TIME - CONTACT_AFTER;
    assert_served(&sound, settled);
}

// Guards against a refusal that keeps its caller waiting, or whose reason neither the log nor a metric names.
#[actix_rt::test]
async fn a_refusal_for_a_deadly_part_is_immediate_and_names_the_part() {
    let fleet = start_fleet(1, 8).await;
    fleet.set_deadly_parts(&["dead"]);
    send_load(&fleet, &["dead"], 0..1).await;
    let [gateway] = fleet.gateways[..] else {
        panic!("one gateway was started");
    };

    let sent_at = Instant::now();
    let parts = format!("{FIRST},00DEAD:60,77:20");
    let got = gateway.generate_from_parts(&parts, "r1").await;

    let got = got.expect("the gateway responds");
    assert!(sent_at.elapsed() < Duration::from_millis(200));
    assert_eq!(got.status, 503);
    assert!(
        got.retry_after.is_some_and(|seconds| seconds > 1.0),
        "{got:?}"
    );
    let refused = gateway.metric("balsamjunction_refused_prompt_parts").await;
    assert_eq!(refused, Some(1.0));
    let broken = gateway
        .metric("balsamjunction_broken_connections_total")
        .await;
    assert!(broken.is_some_and(|count| count >= 3.0), "{broken:?}");
    let site = fleet.site.into_inner();
    let cause = explained_cause(&site, "r1", "g0").await;
    assert!(
        cause.contains("part dead") && cause.contains("has not run"),
        "{cause}"
    );
    let verdicts = site.log_lines("g0", "prompt-part");
    assert!(verdicts
        .iter()
        .any(|line| line["part"] == "dead" && line["refused"] == true));
}
