//! Distribution of declarations, members and weights by real processes under failures.

use super::common::{
    assert_ran, engine_bench, generation, send, sleep_ms, start, wait_until_in_force,
};
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

/// Kills a process and starts it again.
fn kill_and_restart(bench: &mut Bench, name: &str) {
    bench.processes().kill(name).expect("the process runs");
    bench.processes().restart(name).expect("the process starts");
}

async fn read_audit(bench: &Bench) -> Vec<Value> {
    let entry = bench.entries[0].private;
    get_json(entry, "/audit").await.expect("the entry responds")
}

async fn declare_version(bench: &mut Bench, version: &str) {
    bench.spec_mut().pools[0].version = Some(version.into());
    bench.publish().await.expect("the declaration is published");
}

/// Waits until every host but those in `except` serves the version.
async fn wait_until_served(bench: &Bench, version: &str, except: &[&str]) {
    for host in &bench.upstreams {
        if except.contains(&host.name.as_str()) {
            continue;
        }
        let is_served = || async {
            let status = bench.status(host).await;
            status.is_ok_and(|status| status.versions.serving.as_deref() == Some(version))
        };
        bench
            .wait_for("the version on a host", is_served)
            .await
            .expect("the host serves the version");
    }
}

#[actix_rt::test]
async fn an_invalid_declaration_is_refused_everywhere_and_audited() {
    let mut bench = start(engine_bench(2)).await;
    let before = bench.revision();

    bench
        .publish_text("{ \"pools\": 7 }".into())
        .await
        .expect("the declaration is published");
    sleep_ms(1_500).await;
    let status = bench
        .status(&bench.entries[0])
        .await
        .expect("the entry responds");
    let audit_entries = read_audit(&bench).await;
    let next = bench.publish().await.expect("the declaration is published");
    wait_until_in_force(&bench, next).await;

    assert_eq!(status.revision, before);
    let refusal = audit_entries
        .iter()
        .find(|entry| entry["action"] == "declaration" && entry["verdict"] == "refused");
    let reason = refusal.expect("the refusal is audited")["why"]
        .as_str()
        .unwrap_or_default();
    assert!(reason.contains("data_centres"), "{reason}");
}

#[actix_rt::test]
async fn a_process_that_starts_during_an_outage_gets_the_declaration_from_its_peers() {
    let mut bench = start(engine_bench(2)).await;
    let revision = bench.publish().await.expect("the declaration is published");
    wait_until_in_force(&bench, revision).await;
    let down = DocumentFaults {
        down: true,
        stale: false,
    };
    bench
        .set_config_faults(down)
        .await
        .expect("the configuration service accepts the faults");

    kill_and_restart(&mut bench, "deck-model-0");

    wait_until_in_force(&bench, revision).await;
}

#[actix_rt::test]
async fn a_process_that_starts_during_stale_reads_does_not_adopt_an_older_revision() {
    let mut bench = start(engine_bench(2)).await;
    let revision = bench.publish().await.expect("the declaration is published");
    wait_until_in_force(&bench, revision).await;
    let stale = DocumentFaults {
        down: false,
        stale: true,
    };
    bench
        .set_config_faults(stale)
        .await
        .expect("the configuration service accepts the faults");

    kill_and_restart(&mut bench, "deck-model-0");
    wait_until_in_force(&bench, revision).await;
    sleep_ms(2_000).await;

    let host = bench.upstreams[0].clone();
    let status = bench.status(&host).await.expect("the sidecar responds");
    assert_eq!(status.revision, revision);
}

#[actix_rt::test]
async fn a_partitioned_data_centre_continues_to_serve_and_catches_up() {
    let mut bench = start(engine_bench(3)).await;
    let cut = |from: &str, to: &str| Fault {
        kind: FaultKind::Cut,
        from: Some(from.into()),
        to: Some(to.into()),
    };
    let isolated = "dc:mekelle-a";
    let others = ["dc:addis-a", "dc:diredawa-a"];
    let both_ways = others
        .iter()
        .flat_map(|other| [cut(isolated, other), cut(other, isolated)]);
    bench
        .set_faults(&both_ways.collect::<Vec<_>>())
        .await
        .expect("faults are set");

    let revision = bench.publish().await.expect("the declaration is published");
    sleep_ms(2_500).await;
    let isolated_status = bench
        .status(&bench.entries[2])
        .await
        .expect("the entry responds");
    let served = send(&bench, 2, &generation("inside", 1)).await;
    bench.set_faults(&[]).await.expect("faults are set");
    wait_until_in_force(&bench, revision).await;

    assert!(isolated_status.revision < revision);
    assert_ran(&served);
}

#[actix_rt::test]
async fn a_leaving_host_gets_no_new_requests() {
    let mut bench = start(engine_bench(2)).await;
    let leaving = bench.upstreams[1].clone();
    bench
        .publish_members(&[], std::slice::from_ref(&leaving.name))
        .await
        .expect("the declaration is published");
    let is_draining = || async {
        bench
            .status(&leaving)
            .await
            .is_ok_and(|status| !status.ready)
    };
    bench
        .wait_for("the host to drain", is_draining)
        .await
        .expect("the sidecar starts to drain");
    let before: EngineCounts = get_json(leaving.service, "/lab/counts")
        .await
        .expect("the engine responds");

    for n in 0..20 {
        assert_ran(&send(&bench, n % 3, &generation(&format!("l{n}"), 1)).await);
    }

    let after: EngineCounts = get_json(leaving.service, "/lab/counts")
        .await
        .expect("the engine responds");
    assert_eq!(before.served, after.served);
}

#[actix_rt::test]
async fn a_version_is_rolled_out_and_back_while_requests_flow() {
    let mut bench = start(engine_bench(4)).await;
    let load = balsamjunction_lab::load::Driver::start(
        balsamjunction_lab::experiment::fleet::mixed_load(20.0, 0.1, 10)
            .into_iter()
            .filter(|plan| plan.tokens.is_some())
            .collect(),
        bench.caller_addresses(),
        1,
    );
    sleep_ms(500).await;

    declare_version(&mut bench, "v2").await;
    wait_until_served(&bench, "v2", &[]).await;
    declare_version(&mut bench, "v1").await;
    wait_until_served(&bench, "v1", &[]).await;

    let summary = Summary::of(&load.finish().await);
    assert!(summary.ran > 0);
    let violations = (summary.mixed_versions, summary.lost, summary.cut);
    assert_eq!(violations, (0, 0, 0), "{summary:?}");
}

#[actix_rt::test]
async fn of_two_versions_declared_within_a_second_the_later_one_is_served() {
    let mut bench = start(engine_bench(3)).await;

    declare_version(&mut bench, "v2").await;
    sleep_ms(300).await;
    declare_version(&mut bench, "v3").await;

    wait_until_served(&bench, "v3", &[]).await;
}

#[actix_rt::test]
async fn engines_that_ignore_fencing_numbers_never_act_on_old_orders() {
    let engine = EngineSpec {
        fenced: false,
        ..EngineSpec::default()
    };
    let mut spec = engine_bench(0);
    spec.pools = vec![PoolSpec::engines("deck-model", 2, engine)];
    let mut bench = start(spec).await;
    let host = bench.upstreams[0].clone();
    declare_version(&mut bench, "v2").await;
    sleep_ms(150).await;

    bench
        .processes()
        .signal(&host.name, Signal::SIGSTOP)
        .expect("the process runs");
    declare_version(&mut bench, "v3").await;
    sleep_ms(4_000).await;
    bench
        .processes()
        .signal(&host.name, Signal::SIGCONT)
        .expect("the process is stopped");
    wait_until_served(&bench, "v3", &[]).await;

    let counts: EngineCounts = get_json(host.service, "/lab/counts")
        .await
        .expect("the engine responds");
    assert_eq!(counts.old_orders_taken, 0);
}

#[actix_rt::test]
async fn an_engine_that_crashes_is_loaded_again() {
    let engine = EngineSpec {
        initial_version: None,
        ..EngineSpec::default()
    };
    let mut spec = engine_bench(0);
    spec.pools = vec![PoolSpec::engines("deck-model", 2, engine)];
    spec.pools[0].version = Some("v1".into());
    let mut bench = start(spec).await;

    bench
        .processes()
        .kill("deck-model-0.upstream")
        .expect("the process runs");
    sleep_ms(500).await;
    bench
        .processes()
        .restart("deck-model-0.upstream")
        .expect("the process starts");
    sleep_ms(500).await;

    wait_until_served(&bench, "v1", &[]).await;
    assert_ran(&send(&bench, 0, &generation("after", 3)).await);
}

#[actix_rt::test]
async fn a_rollout_with_a_killed_a_stopped_and_a_corrupting_host_completes_on_the_others() {
    let mut bench = start(engine_bench(9)).await;
    let corrupt = Fault {
        kind: FaultKind::Corrupt,
        from: None,
        to: Some("deck-model-1".into()),
    };
    bench.set_faults(&[corrupt]).await.expect("faults are set");
    bench
        .processes()
        .signal("deck-model-4", Signal::SIGSTOP)
        .expect("the process runs");
    bench
        .processes()
        .kill("deck-model-8")
        .expect("the process runs");

    declare_version(&mut bench, "v2").await;

    wait_until_served(&bench, "v2", &["deck-model-4", "deck-model-8"]).await;
}

#[actix_rt::test]
async fn a_host_that_joins_after_the_rollout_fetches_most_chunks_from_its_peers() {
    let mut bench = start(engine_bench(4)).await;
    let late = bench.upstreams[3].clone();
    bench
        .processes()
        .kill(&late.name)
        .expect("the process runs");
    declare_version(&mut bench, "v2").await;
    wait_until_served(&bench, "v2", &[&late.name]).await;

    bench
        .processes()
        .restart(&late.name)
        .expect("the process starts");
    wait_until_served(&bench, "v2", &[]).await;

    let status = bench.status(&late).await.expect("the sidecar responds");
    assert!(status.versions.peer_bytes > status.versions.origin_bytes);
}
