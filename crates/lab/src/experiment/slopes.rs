//! Measures the cost of decisions at several fleet sizes, with the policy's state machines in this
//! process. docs/CAPACITY.md uses these figures.

use std::time::{Duration, Instant};

use balsamjunction_policy::{
    declaration::DeclarationState,
    dissemination::notification_targets,
    fetch::{Distribution, FetchPlan, Participants},
    gate::{Arrival, Gate, GateConfig, RunOutcome},
    limit::LimitBounds,
    once::{OnceConfig, OnceOutcome, OnceTable, StoredResponse},
    queue::Discipline,
    router::{Router, SelectionConstraints, SelectionPolicy},
    Moment,
};
use balsamjunction_protocol::{
    header, FleetDocument, MemberDocument, MemberState, MembersDocument, Priority, PullResponse,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use smol_str::{format_smolstr, SmolStr};

use super::{overhead::resident_bytes, ExperimentReport};
use crate::error::LabError;

/// Number of data centres; hosts are distributed evenly over them.
const DATA_CENTRES: usize = 22;
/// Number of regions; data centres are distributed evenly over them.
const REGIONS: usize = 6;
/// Repetitions of each cheap operation that is timed.
const REPEATS: u32 = 10_000;

/// Costs at one fleet size; times in microseconds, sizes in bytes.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct FleetSizeCosts {
    hosts: usize,
    declaration_bytes: usize,
    declaration_accept_us: f64,
    members_bytes: usize,
    /// Compressed size of a peer's response to a pull, with a newer declaration.
    #[serde(rename = "declaration_travels_bytes")]
    declaration_compressed_bytes: usize,
    /// Compressed size of a peer's response to a pull, with a newer membership list.
    #[serde(rename = "members_travel_bytes")]
    members_compressed_bytes: usize,
    router_configure_us: f64,
    #[serde(rename = "router_choose_us")]
    router_select_us: f64,
    #[serde(rename = "announce_targets_us")]
    notification_targets_us: f64,
    fetch_assign_us: f64,
    fetch_next_us: f64,
}

/// Costs that do not depend on the fleet size: of one request at a gate and of one idempotency key.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ConstantCosts {
    gate_cycle_us: f64,
    once_cycle_us: f64,
    once_bytes_per_key: u64,
}

/// Costs by fleet size, and costs that do not depend on it.
#[derive(Clone, Debug, Serialize)]
pub struct SlopesReport {
    sizes: Vec<FleetSizeCosts>,
    #[serde(rename = "flat")]
    constant: ConstantCosts,
}

impl ExperimentReport for SlopesReport {
    fn requirements_met(&self) -> bool {
        // This experiment only measures; docs/CAPACITY.md states the bounds.
        true
    }
}

/// Measures three fleet sizes, up to the size expected in two years.
pub fn run() -> Result<SlopesReport, LabError> {
    let mut sizes = Vec::new();
    for hosts in [200, 800, 3_200] {
        sizes.push(measure_fleet_size(hosts)?);
    }
    let constant = ConstantCosts {
        gate_cycle_us: measure_gate(),
        once_cycle_us: 0.0,
        once_bytes_per_key: 0,
    };
    let (once_cycle_us, once_bytes_per_key) = measure_once()?;
    let constant = ConstantCosts {
        once_cycle_us,
        once_bytes_per_key,
        ..constant
    };
    Ok(SlopesReport { sizes, constant })
}

fn mean_micros(elapsed: Duration, repeats: u32) -> f64 {
    elapsed.as_secs_f64() * 1e6 / f64::from(repeats)
}

fn declaration_text(hosts: usize) -> String {
    let data_centres: Vec<String> = (0..DATA_CENTRES)
        .map(|n| format!(r#""dc{n}": {{"region": "r{}"}}"#, n % REGIONS))
        .collect();
    let upstreams: Vec<String> = (0..hosts)
        .map(|n| {
            let (high, low) = (n / 250, n % 250);
            let data_centre = n % DATA_CENTRES;
            format!(
                r#"{{"host":"h{n}","data_centre":"dc{data_centre}","sidecar":"10.0.{high}.{low}:7000"}}"#
            )
        })
        .collect();
    format!(
        r#"{{"data_centres":{{{}}},"pools":{{"p":{{"kind":"engine","version":"v1","upstreams":[{}]}}}}}}"#,
        data_centres.join(","),
        upstreams.join(",")
    )
}

fn live_members(hosts: usize) -> Vec<MemberDocument> {
    (0..hosts)
        .map(|n| MemberDocument {
            host: format_smolstr!("h{n}"),
            data_centre: format_smolstr!("dc{}", n % DATA_CENTRES),
            address: format_smolstr!("10.0.{}.{}:7000", n / 250, n % 250),
            state: MemberState::Live,
        })
        .collect()
}

fn compressed_bytes(response: PullResponse) -> usize {
    header::to_compressed(&response).map_or(0, |buf| buf.len())
}

fn measure_fleet_size(hosts: usize) -> Result<FleetSizeCosts, LabError> {
    let text = declaration_text(hosts);
    let declaration_bytes = text.len();
    let mut state = DeclarationState::default();
    let started = Instant::now();
    state.offer_declaration(FleetDocument {
        revision: 1,
        author: SmolStr::default(),
        text,
    });
    let declaration_accept_us = mean_micros(started.elapsed(), 1);
    let fleet = match state.in_force() {
        Some(in_force) => in_force.fleet.clone(),
        None => {
            return Err(LabError::Timeout {
                what: "the declaration to be accepted",
                seconds: 0,
            })
        }
    };

    let members = live_members(hosts);
    let members_document = MembersDocument {
        generation: 1,
        members: members.clone(),
    };
    let members_bytes = header::to_bytes(&members_document).map_or(0, |buf| buf.len());
    let members_compressed_bytes = compressed_bytes(PullResponse {
        members: Some(members_document),
        ..PullResponse::default()
    });
    let declaration_compressed_bytes = compressed_bytes(PullResponse {
        fleet: state.in_force().map(|f| f.document.as_ref().clone()),
        ..PullResponse::default()
    });

    let rng = Pcg64Mcg::seed_from_u64(1);
    let mut router = Router::new(
        "entry".into(),
        "dc0".into(),
        SelectionPolicy::TwoChoices,
        rng,
    );
    let started = Instant::now();
    router.configure(Moment::ZERO, &fleet, &[]);
    let router_configure_us = mean_micros(started.elapsed(), 1);
    let started = Instant::now();
    for n in 0..REPEATS {
        let now = Moment::from_micros(u64::from(n));
        if let Some(key) = router.choose(now, "p", &SelectionConstraints::default()) {
            router.end_attempt(key);
        }
    }
    let router_select_us = mean_micros(started.elapsed(), REPEATS);

    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let started = Instant::now();
    for _ in 0..100 {
        notification_targets(&members, "h0", "dc0", &mut rng);
    }
    let notification_targets_us = mean_micros(started.elapsed(), 100);
    let (fetch_assign_us, fetch_next_us) = measure_fetch(members);
    Ok(FleetSizeCosts {
        hosts,
        declaration_bytes,
        declaration_accept_us,
        members_bytes,
        declaration_compressed_bytes,
        members_compressed_bytes,
        router_configure_us,
        router_select_us,
        notification_targets_us,
        fetch_assign_us,
        fetch_next_us,
    })
}

/// Number of chunks of the version whose fetch is planned.
const CHUNKS: usize = 1_024;

fn measure_fetch(members: Vec<MemberDocument>) -> (f64, f64) {
    let participants = Participants {
        host: "h0".into(),
        data_centre: "dc0".into(),
        members,
    };
    let rng = Pcg64Mcg::seed_from_u64(3);
    let started = Instant::now();
    let mut plan = FetchPlan::new(
        Moment::ZERO,
        "v2".into(),
        CHUNKS,
        Distribution::Owners,
        participants,
        rng,
    );
    let assign = mean_micros(started.elapsed(), 1);
    let started = Instant::now();
    for n in 0..100 {
        plan.next_actions(Moment::from_millis(n));
    }
    (assign, mean_micros(started.elapsed(), 100))
}

fn measure_gate() -> f64 {
    let mut gate = Gate::new(GateConfig {
        bounds: LimitBounds {
            cold: 8,
            warm: 8,
            warm_up_responses: 0,
            detect_slowdown: true,
        },
        queue_length: 64,
        discipline: Discipline::Fair,
    });
    let started = Instant::now();
    for n in 0..REPEATS {
        let now = Moment::from_micros(u64::from(n));
        let arrival = Arrival {
            workspace: format_smolstr!("w{}", n % 10),
            weight: 100,
            priority: Priority::Normal,
            cost: 20,
            deadline: now + Moment::from_secs(10),
        };
        let (key, _) = gate.submit(now, arrival);
        let first_byte = Moment::from_micros(10);
        gate.finish(now, key, RunOutcome::Served { first_byte });
    }
    mean_micros(started.elapsed(), REPEATS)
}

#[derive(Clone)]
struct FixedResponse([u8; 64]);

impl StoredResponse for FixedResponse {
    fn size_bytes(&self) -> usize {
        self.0.len()
    }
}

fn measure_once() -> Result<(f64, u64), LabError> {
    const KEYS: u32 = 100_000;
    let mut table = OnceTable::new(OnceConfig {
        repeat_window: Moment::from_secs(600),
        started_ms: 0,
        started: Moment::ZERO,
    });
    let before = resident_bytes()?;
    let started = Instant::now();
    for n in 0..KEYS {
        let key = format_smolstr!("workspace-{}/0192f3c4-7d1e-7a2b-9c3d-{n:012}", n % 10);
        let now = Moment::from_secs(10);
        table.begin(now, &key, Some(5_000));
        table.end(now, &key, OnceOutcome::Ran(Some(FixedResponse([0; 64]))));
    }
    let cycle = mean_micros(started.elapsed(), KEYS);
    let bytes = resident_bytes()?.saturating_sub(before) / u64::from(KEYS);
    Ok((cycle, bytes))
}
