//! Fixtures of the integration tests: small benches and single requests.

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

pub fn engines(hosts: usize) -> BenchSpec {
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

pub fn services(hosts: usize, service_ms: u64) -> BenchSpec {
    BenchSpec {
        pools: vec![PoolSpec::services("booking-desk", hosts, service_ms)],
        network: Some(FAST_LINKS),
        ..BenchSpec::default()
    }
}

pub async fn start(spec: BenchSpec) -> Bench {
    Bench::start(spec).await.expect("the bench starts")
}

pub fn generate(id: &str, tokens: u32) -> Request {
    Request {
        id: id.into(),
        pool: "deck-model".into(),
        workspace: "selam".into(),
        task: Operation::Generate {
            tokens,
            crash: false,
        },
        deadline: Duration::from_secs(10),
    }
}

pub fn crash(id: &str) -> Request {
    Request {
        task: Operation::Generate {
            tokens: 1,
            crash: true,
        },
        ..generate(id, 1)
    }
}

pub fn fresh_key() -> SmolStr {
    format_smolstr!("{}", Uuid::now_v7())
}

pub fn booking(key: &SmolStr) -> Request {
    Request {
        id: "booking".into(),
        pool: "booking-desk".into(),
        workspace: "selam".into(),
        task: Operation::Call {
            key: Some(key.clone()),
        },
        deadline: Duration::from_secs(3),
    }
}

pub async fn send(bench: &Bench, entry: usize, request: &Request) -> Observation {
    let address = bench.entries[entry].service;
    Caller::default().send(address, request).await
}

/// Starts sending and gives a handle to what will be seen.
pub fn send_soon(
    bench: &Bench,
    entry: usize,
    request: Request,
) -> actix_rt::task::JoinHandle<Observation> {
    let address = bench.entries[entry].service;
    actix_rt::spawn(async move { Caller::default().send(address, &request).await })
}

pub async fn pause(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

pub fn runs_of(bench: &Bench, pool: &str, id: &str) -> Vec<Run> {
    let runs = read_pool_runs(bench, pool).expect("ledgers can be read");
    runs.into_iter().filter(|run| run.id == id).collect()
}

pub async fn in_force(bench: &Bench, revision: u64) {
    let hosts = bench.upstreams.iter().chain(&bench.entries);
    in_force_on(bench, hosts, revision).await;
}

pub async fn in_force_on(bench: &Bench, hosts: impl Iterator<Item = &Host>, revision: u64) {
    for host in hosts {
        let reached = || async {
            bench
                .status(host)
                .await
                .is_ok_and(|s| s.revision >= revision)
        };
        bench
            .wait_for("the declaration in force", reached)
            .await
            .expect("it comes into force");
    }
}

pub fn assert_ran(seen: &Observation) {
    assert_eq!(seen.outcome, RequestOutcome::Ran, "{seen:?}");
}
