//! Fixtures of the integration tests: small benches, single requests, and waits for a declaration.

use std::time::Duration;

use balsamjunction_lab::{
    bench::{
        spec::{BenchSpec, EngineSpec, PoolSpec, FAST_LINKS},
        Bench, Host,
    },
    experiment::fleet::{read_pool_runs, Run},
    load::{caller::RequestOutcome, Caller, Observation, Operation, Request},
};
use smol_str::{format_smolstr, SmolStr};
use uuid::Uuid;

/// A bench with one pool of engines, `deck-model`.
pub fn engine_bench(hosts: usize) -> BenchSpec {
    BenchSpec {
        pools: vec![PoolSpec::engines(
            "deck-model",
            hosts,
            EngineSpec::default(),
        )],
        network: Some(FAST_LINKS),
        ..BenchSpec::default()
    }
}

/// A bench with one pool of services, `booking-desk`, whose calls take `service_ms`.
pub fn service_bench(hosts: usize, service_ms: u64) -> BenchSpec {
    BenchSpec {
        pools: vec![PoolSpec::services("booking-desk", hosts, service_ms)],
        network: Some(FAST_LINKS),
        ..BenchSpec::default()
    }
}

pub async fn start(spec: BenchSpec) -> Bench {
    Bench::start(spec).await.expect("the bench starts")
}

/// A generation of `tokens` tokens by the engine pool.
pub fn generation(id: &str, tokens: u32) -> Request {
    Request {
        id: id.into(),
        pool: "deck-model".into(),
        workspace: "selam".into(),
        operation: Operation::Generate {
            tokens,
            crash: false,
        },
        deadline: Duration::from_secs(10),
    }
}

/// A generation that crashes the engine that runs it.
pub fn crashing_generation(id: &str) -> Request {
    Request {
        operation: Operation::Generate {
            tokens: 1,
            crash: true,
        },
        ..generation(id, 1)
    }
}

/// A new idempotency key.
pub fn new_idempotency_key() -> SmolStr {
    format_smolstr!("{}", Uuid::now_v7())
}

/// A call to the service pool that must run at most once per idempotency key.
pub fn booking_request(key: &SmolStr) -> Request {
    Request {
        id: "booking".into(),
        pool: "booking-desk".into(),
        workspace: "selam".into(),
        operation: Operation::Call {
            key: Some(key.clone()),
        },
        deadline: Duration::from_secs(3),
    }
}

/// Sends a request through the entry of this index.
pub async fn send(bench: &Bench, entry: usize, request: &Request) -> Observation {
    let address = bench.entries[entry].service;
    Caller::default().send(address, request).await
}

/// Sends a request in a task of its own; aborting the task disconnects the caller.
pub fn spawn_send(
    bench: &Bench,
    entry: usize,
    request: Request,
) -> actix_rt::task::JoinHandle<Observation> {
    let address = bench.entries[entry].service;
    actix_rt::spawn(async move { Caller::default().send(address, &request).await })
}

pub async fn sleep_ms(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

/// The runs of one request or key in the ledgers of a pool.
pub fn runs_of(bench: &Bench, pool: &str, id: &str) -> Vec<Run> {
    let runs = read_pool_runs(bench, pool).expect("the ledgers can be read");
    runs.into_iter().filter(|run| run.id == id).collect()
}

/// Waits until a revision of the declaration is in force on every host.
pub async fn wait_until_in_force(bench: &Bench, revision: u64) {
    let hosts = bench.upstreams.iter().chain(&bench.entries);
    wait_until_in_force_on(bench, hosts, revision).await;
}

/// Waits until a revision of the declaration, or a later one, is in force on the hosts.
pub async fn wait_until_in_force_on(
    bench: &Bench,
    hosts: impl Iterator<Item = &Host>,
    revision: u64,
) {
    for host in hosts {
        let is_in_force = || async {
            bench
                .status(host)
                .await
                .is_ok_and(|status| status.revision >= revision)
        };
        bench
            .wait_for("the declaration in force", is_in_force)
            .await
            .expect("the declaration comes into force");
    }
}

pub fn assert_ran(observation: &Observation) {
    assert_eq!(observation.outcome, RequestOutcome::Ran, "{observation:?}");
}
