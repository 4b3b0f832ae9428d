//! Declarations, members and weights through real processes under failures.

use super::common::{assert_ran, engines, generate, in_force, pause, send, start};
use balsamjunction_lab::{
    bench::{
        control::get_json,
        spec::{EngineSpec, PoolSpec},
        Bench,
    },
    load::Summary,
    standin::{
        document::DocumentFaults,
        engine::EngineCounts,
        fabric::{Fault, FaultKind},
    },
};
use nix::sys::signal::Signal;
use serde_json::Value;

fn replace(bench: &mut Bench, name: &str) {
    bench.processes().kill(name).expect("it runs");
    bench.processes().restart(name).expect("it starts");
}

async fn audit(bench: &Bench) -> Vec<Value> {
    let entry = bench.entries[0].private;
    get_json(entry, "/audit").await.expect("the entry answers")
}

async fn declare_version(bench: &mut Bench, version: &str) {
    bench.spec_mut().pools[0].version = Some(version.into());
    bench.publish().await.expect("it is published");
}

async fn all_serve(bench: &Bench, version: &str, except: &[&str]) {
    for host in &bench.upstreams {
        if except.contains(&host.name.as_str()) {
            continue;
        }
        let serves = || async {
            let status = bench.status(host).await;
            status.is_ok_and(|s| s.versions.serving.as_deref() == Some(version))
        };
        bench
            .wait_for("the version on a host", serves)
            .await
            .expect("it comes to serve");
    }
}

#[actix_rt::test]
async fn an_invalid_declaration_is_refused_everywhere_and_audited() {
    let mut bench = start(engines(2)).await;
    let before = bench.revision();

    bench
        .publish_text("{ \"pools\": 7 }".into())
        .await
        .expect("it is published");
    pause(1_500).await;
    let status = bench
        .status(&bench.entries[0])
        .await
        .expect("the entry answers");
    let trail = audit(&bench).await;
    let next = bench.publish().await.expect("it is published");
    in_force(&bench, next).await;

    assert_eq!(status.revision, before);
    let refused = trail
        .iter()
        .find(|e| e["action"] == "declaration" && e["verdict"] == "refused");
    let why = refused.expect("the refusal is audited")["why"]
        .as_str()
        .unwrap_or_default();
    assert!(why.contains("data_centres"), "{why}");
}

#[actix_rt::test]
async fn a_process_that_starts_during_an_outage_learns_from_its_peers() {
    let mut bench = start(engines(2)).await;
    let revision = bench.publish().await.expect("it is published");
    in_force(&bench, revision).await;
    let down = DocumentFaults {
        down: true,
        stale: false,
    };
    bench.set_config_faults(down).await.expect("it can be told");

    replace(&mut bench, "deck-model-0");

    in_force(&bench, revision).await;
}

#[actix_rt::test]
async fn a_process_that_starts_into_stale_reads_does_not_go_back() {
    let mut bench = start(engines(2)).await;
    let revision = bench.publish().await.expect("it is published");
    in_force(&bench, revision).await;
    let stale = DocumentFaults {
        down: false,
        stale: true,
    };
    bench
        .set_config_faults(stale)
        .await
        .expect("it can be told");

    replace(&mut bench, "deck-model-0");
    in_force(&bench, revision).await;
    pause(2_000).await;

    let host = bench.upstreams[0].clone();
    let status = bench.status(&host).await.expect("the sidecar answers");
    assert_eq!(status.revision, revision);
}

#[actix_rt::test]
async fn a_partitioned_data_centre_serves_on_and_catches_up() {
    let mut bench = start(engines(3)).await;
    let apart = |from: &str, to: &str| Fault {
        kind: FaultKind::Cut,
        from: Some(from.into()),
        to: Some(to.into()),
    };
    let lost = "dc:mekelle-a";
    let others = ["dc:addis-a", "dc:diredawa-a"];
    let both_ways = others
        .iter()
        .flat_map(|other| [apart(lost, other), apart(other, lost)]);
    bench
        .set_faults(&both_ways.collect::<Vec<_>>())
        .await
        .expect("faults are set");

    let revision = bench.publish().await.expect("it is published");
    pause(2_500).await;
    let inside = bench
        .status(&bench.entries[2])
        .await
        .expect("the entry answers");
    let served = send(&bench, 2, &generate("inside", 1)).await;
    bench.set_faults(&[]).await.expect("faults are set");
    in_force(&bench, revision).await;

    assert!(inside.revision < revision);
    assert_ran(&served);
}

#[actix_rt::test]
async fn a_leaving_host_gets_no_new_work() {
    let mut bench = start(engines(2)).await;
    let leaving = bench.upstreams[1].clone();
    bench
        .publish_members(&[], std::slice::from_ref(&leaving.name))
        .await
        .expect("it is published");
    let drains = || async { bench.status(&leaving).await.is_ok_and(|s| !s.ready) };
    bench
        .wait_for("the drain", drains)
        .await
        .expect("the sidecar hears of it");
    let before: EngineCounts = get_json(leaving.service, "/lab/counts")
        .await
        .expect("it answers");

    for n in 0..20 {
        assert_ran(&send(&bench, n % 3, &generate(&format!("l{n}"), 1)).await);
    }

    let after: EngineCounts = get_json(leaving.service, "/lab/counts")
        .await
        .expect("it answers");
    assert_eq!(before.served, after.served);
}

#[actix_rt::test]
async fn a_version_is_rolled_out_and_back_while_requests_flow() {
    let mut bench = start(engines(4)).await;
    let load = balsamjunction_lab::load::Driver::start(
        balsamjunction_lab::experiment::fleet::mixed_load(20.0, 0.1, 10)
            .into_iter()
            .filter(|plan| plan.tokens.is_some())
            .collect(),
        bench.caller_addresses(),
        1,
    );
    pause(500).await;

    declare_version(&mut bench, "v2").await;
    all_serve(&bench, "v2", &[]).await;
    declare_version(&mut bench, "v1").await;
    all_serve(&bench, "v1", &[]).await;

    let summary = Summary::of(&load.finish().await);
    assert!(summary.ran > 0);
    let broken = (summary.mixed_versions, summary.lost, summary.cut);
    assert_eq!(broken, (0, 0, 0), "{summary:?}");
}

#[actix_rt::test]
async fn two_versions_declared_within_a_second_end_with_the_second() {
    let mut bench = start(engines(3)).await;

    declare_version(&mut bench, "v2").await;
    pause(300).await;
    declare_version(&mut bench, "v3").await;

    all_serve(&bench, "v3", &[]).await;
}

#[actix_rt::test]
async fn engines_that_ignore_fencing_numbers_never_act_on_old_orders() {
    let engine = EngineSpec {
        fenced: false,
        ..EngineSpec::default()
    };
    let mut spec = engines(0);
    spec.pools = vec![PoolSpec::engines("deck-model", 2, engine)];
    let mut bench = start(spec).await;
    let host = bench.upstreams[0].clone();
    declare_version(&mut bench, "v2").await;
    pause(150).await;

    bench
        .processes()
        .signal(&host.name, Signal::SIGSTOP)
        .expect("it runs");
    declare_version(&mut bench, "v3").await;
    pause(4_000).await;
    bench
        .processes()
        .signal(&host.name, Signal::SIGCONT)
        .expect("it is frozen");
    all_serve(&bench, "v3", &[]).await;

    let counts: EngineCounts = get_json(host.service, "/lab/counts")
        .await
        .expect("it answers");
    assert_eq!(counts.old_orders_taken, 0);
}

#[actix_rt::test]
async fn an_engine_that_crashes_is_loaded_again() {
    let engine = EngineSpec {
        initial_version: None,
        ..EngineSpec::default()
    };
    let mut spec = engines(0);
    spec.pools = vec![PoolSpec::engines("deck-model", 2, engine)];
    spec.pools[0].version = Some("v1".into());
    let mut bench = start(spec).await;

    bench
        .processes()
        .kill("deck-model-0.upstream")
        .expect("it runs");
    pause(500).await;
    bench
        .processes()
        .restart("deck-model-0.upstream")
        .expect("it starts");
    pause(500).await;

    all_serve(&bench, "v1", &[]).await;
    assert_ran(&send(&bench, 0, &generate("after", 3)).await);
}

#[actix_rt::test]
async fn a_burst_with_a_dead_a_frozen_and_a_corrupting_host_ends_complete() {
    let mut bench = start(engines(9)).await;
    let corrupt = Fault {
        kind: FaultKind::Corrupt,
        from: None,
        to: Some("deck-model-1".into()),
    };
    bench.set_faults(&[corrupt]).await.expect("faults are set");
    bench
        .processes()
        .signal("deck-model-4", Signal::SIGSTOP)
        .expect("it runs");
    bench.processes().kill("deck-model-8").expect("it runs");

    declare_version(&mut bench, "v2").await;

    all_serve(&bench, "v2", &["deck-model-4", "deck-model-8"]).await;
}

#[actix_rt::test]
async fn a_host_that_joins_after_the_burst_is_helped_by_its_peers() {
    let mut bench = start(engines(4)).await;
    let late = bench.upstreams[3].clone();
    bench.processes().kill(&late.name).expect("it runs");
    declare_version(&mut bench, "v2").await;
    all_serve(&bench, "v2", &[&late.name]).await;

    bench.processes().restart(&late.name).expect("it starts");
    all_serve(&bench, "v2", &[]).await;

    let status = bench.status(&late).await.expect("the sidecar answers");
    assert!(status.versions.peer_bytes > status.versions.origin_bytes);
}
