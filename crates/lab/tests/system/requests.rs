//! Requests through real processes under failures: whole answers, true outcomes, once at most.

use super::common::{
    assert_ran, booking, crash, engines, fresh_key, generate, in_force, in_force_on, pause,
    runs_of, send, send_soon, services, start,
};
use balsamjunction_lab::{
    bench::{control::get_json, spec::DATA_CENTRES},
    experiment::fleet::{read_pool_runs, read_runs, unix_ms},
    load::{caller::RequestOutcome, Caller, Request},
    standin::{
        engine::EngineCounts,
        fabric::{Fault, FaultKind},
    },
};
use nix::sys::signal::Signal;

fn fault(kind: FaultKind, from: Option<&str>, to: Option<&str>) -> Fault {
    Fault {
        kind,
        from: from.map(Into::into),
        to: to.map(Into::into),
    }
}

#[actix_rt::test]
async fn an_answer_that_breaks_off_never_looks_whole() {
    let bench = start(engines(1)).await;
    let stream = send_soon(&bench, 0, generate("long", 200));
    pause(400).await;

    let cut = fault(FaultKind::Cut, None, Some("deck-model-0"));
    bench.set_faults(&[cut]).await.expect("faults are set");
    let seen = stream.await.expect("the caller ends");

    assert_eq!(seen.outcome, RequestOutcome::Cut);
}

#[actix_rt::test]
async fn a_caller_that_leaves_cancels_the_work() {
    let bench = start(engines(1)).await;
    let engine = bench.upstreams[0].service;
    let stream = send_soon(&bench, 0, generate("left", 2_000));
    pause(400).await;

    stream.abort();

    let cancelled = || async {
        let counts = get_json::<EngineCounts>(engine, "/lab/counts").await;
        counts.is_ok_and(|c| c.cancelled == 1 && c.running == 0)
    };
    bench
        .wait_for("the cancellation", cancelled)
        .await
        .expect("the engine hears of it");
}

#[actix_rt::test]
async fn crossed_answers_reach_nobody() {
    let bench = start(engines(1)).await;
    let crossed = fault(FaultKind::Cross, None, Some("deck-model-0"));
    bench.set_faults(&[crossed]).await.expect("faults are set");

    let both: Vec<_> = (0..12)
        .map(|n| send_soon(&bench, n % 3, generate(&format!("c{n}"), 5)))
        .collect();
    let mut wrong = 0;
    for one in both {
        let seen = one.await.expect("the caller ends");
        wrong += usize::from(seen.outcome == RequestOutcome::Invalid);
    }

    assert_eq!(wrong, 0);
}

#[actix_rt::test]
async fn a_service_that_dies_in_mid_call_leaves_the_fate_unknown() {
    let mut bench = start(services(1, 1_000)).await;
    let key = fresh_key();
    let call = send_soon(&bench, 0, booking(&key));
    pause(400).await;

    bench
        .processes()
        .kill("booking-desk-0.upstream")
        .expect("it runs");
    let seen = call.await.expect("the caller ends");
    bench
        .processes()
        .restart("booking-desk-0.upstream")
        .expect("it starts");
    pause(500).await;
    let resent = send(&bench, 1, &booking(&key)).await;

    assert_eq!(seen.outcome, RequestOutcome::Unknown);
    assert_eq!(resent.outcome, RequestOutcome::Unknown);
    assert_eq!(runs_of(&bench, "booking-desk", &key).len(), 1);
}

#[actix_rt::test]
async fn a_key_sent_through_every_entry_runs_once_and_gives_one_answer() {
    let bench = start(services(3, 50)).await;
    let key = fresh_key();

    let first = send(&bench, 0, &booking(&key)).await;
    let again = [
        send(&bench, 1, &booking(&key)).await,
        send(&bench, 2, &booking(&key)).await,
    ];

    assert_ran(&first);
    again.iter().for_each(assert_ran);
    assert_eq!(runs_of(&bench, "booking-desk", &key).len(), 1);
}

#[actix_rt::test]
async fn keys_sent_at_the_same_time_run_once() {
    let bench = start(services(3, 300)).await;
    let key = fresh_key();

    let all: Vec<_> = (0..6)
        .map(|n| send_soon(&bench, n % 3, booking(&key)))
        .collect();
    let mut ran = 0;
    for one in all {
        let seen = one.await.expect("the caller ends");
        assert!(
            matches!(seen.outcome, RequestOutcome::Ran | RequestOutcome::Unknown),
            "{seen:?}"
        );
        ran += usize::from(seen.outcome == RequestOutcome::Ran);
    }

    assert_eq!(ran, 1);
    assert_eq!(runs_of(&bench, "booking-desk", &key).len(), 1);
}

#[actix_rt::test]
async fn a_caller_that_leaves_does_not_stop_a_request_that_runs_once() {
    let bench = start(services(1, 400)).await;
    let key = fresh_key();
    let call = send_soon(&bench, 0, booking(&key));
    pause(200).await;
    call.abort();
    pause(600).await;

    let resent = send(&bench, 1, &booking(&key)).await;

    assert_ran(&resent);
    assert_eq!(runs_of(&bench, "booking-desk", &key).len(), 1);
}

#[actix_rt::test]
async fn a_sidecar_that_lost_its_table_does_not_run_old_keys() {
    let spec = balsamjunction_lab::bench::spec::BenchSpec {
        network: None,
        ..services(1, 10)
    };
    let mut bench = start(spec).await;
    let key = fresh_key();
    assert_ran(&send(&bench, 0, &booking(&key)).await);

    bench.processes().kill("booking-desk-0").expect("it runs");
    let dead = send(&bench, 1, &booking(&key)).await;
    bench
        .processes()
        .restart("booking-desk-0")
        .expect("it starts");
    let host = bench.upstreams[0].clone();
    bench.wait_host_ready(&host).await.expect("it comes back");
    let resent = send(&bench, 2, &booking(&key)).await;

    assert_eq!(dead.outcome, RequestOutcome::NotRun);
    assert_eq!(resent.outcome, RequestOutcome::Unknown);
    assert_eq!(runs_of(&bench, "booking-desk", &key).len(), 1);
}

#[actix_rt::test]
async fn a_key_whose_owner_moved_is_closed_at_its_old_owner_first() {
    let mut bench = start(services(3, 10)).await;
    let keys: Vec<_> = (0..12).map(|_| fresh_key()).collect();
    for key in &keys {
        assert_ran(&send(&bench, 0, &booking(key)).await);
    }

    bench.spec_mut().out_of_service.insert(DATA_CENTRES[0].name);
    let revision = bench.publish().await.expect("it is published");
    in_force(&bench, revision).await;
    for key in &keys {
        send(&bench, 1, &booking(key)).await;
    }

    for key in &keys {
        assert_eq!(runs_of(&bench, "booking-desk", key).len(), 1);
    }
}

#[actix_rt::test]
async fn a_stale_entry_cannot_bring_work_into_a_data_centre_that_is_out() {
    let mut bench = start(engines(3)).await;
    let out = DATA_CENTRES[2];
    bench
        .processes()
        .signal("entry-0", Signal::SIGSTOP)
        .expect("it runs");
    bench.spec_mut().out_of_service.insert(out.name);
    let revision = bench.publish().await.expect("it is published");
    let hosts = bench.upstreams.clone();
    in_force_on(&bench, hosts.iter(), revision).await;
    let from_ms = unix_ms();

    bench
        .processes()
        .signal("entry-0", Signal::SIGCONT)
        .expect("it is frozen");
    let all: Vec<_> = (0..30)
        .map(|n| send_soon(&bench, 0, generate(&format!("stale-{n}"), 1)))
        .collect();
    for one in all {
        assert_ran(&one.await.expect("the caller ends"));
    }

    for host in hosts.iter().filter(|host| host.data_centre == out) {
        let late = read_runs(&bench, host).expect("the ledger can be read");
        assert!(late.iter().all(|run| run.started_ms < from_ms), "{late:?}");
    }
}

#[actix_rt::test]
async fn a_sidecar_that_is_told_to_stop_finishes_what_runs() {
    let mut bench = start(engines(1)).await;
    let stream = send_soon(&bench, 0, generate("drained", 150));
    pause(300).await;

    bench
        .processes()
        .signal("deck-model-0", Signal::SIGTERM)
        .expect("it runs");
    pause(100).await;
    let refused = send(&bench, 1, &generate("late", 1)).await;
    let seen = stream.await.expect("the caller ends");

    assert_eq!(refused.outcome, RequestOutcome::NotRun);
    assert_ran(&seen);
    assert!(ended_well(&mut bench, "deck-model-0").await);
}

#[actix_rt::test]
async fn an_entry_that_is_told_to_stop_finishes_what_runs() {
    let mut bench = start(engines(1)).await;
    let stream = send_soon(&bench, 0, generate("drained", 150));
    pause(300).await;

    bench
        .processes()
        .signal("entry-0", Signal::SIGTERM)
        .expect("it runs");
    let seen = stream.await.expect("the caller ends");

    assert_ran(&seen);
    assert!(ended_well(&mut bench, "entry-0").await);
}

async fn ended_well(bench: &mut balsamjunction_lab::bench::Bench, name: &str) -> bool {
    for _ in 0..500 {
        if let Some(well) = bench
            .processes()
            .exit_success(name)
            .expect("it can be asked")
        {
            return well;
        }
        pause(20).await;
    }
    false
}

#[actix_rt::test]
async fn a_request_that_crashes_engines_takes_no_third() {
    let bench = start(engines(6)).await;

    for n in 0..8 {
        send(&bench, n % 3, &crash("deadly")).await;
    }

    let runs = runs_of(&bench, "deck-model", "deadly");
    assert!((1..=2).contains(&runs.len()), "it ran {} times", runs.len());
    let refused = send(&bench, 0, &crash("deadly")).await;
    assert_eq!(refused.outcome, RequestOutcome::NotRun);
}

#[actix_rt::test]
async fn a_sidecar_that_wakes_late_runs_nothing_that_its_caller_gave_up() {
    let mut bench = start(services(1, 10)).await;
    let key = fresh_key();
    let hasty = Request {
        deadline: std::time::Duration::from_millis(400),
        ..booking(&key)
    };
    bench
        .processes()
        .signal("booking-desk-0", Signal::SIGSTOP)
        .expect("it runs");

    let seen = send(&bench, 0, &hasty).await;
    pause(3_000).await;
    bench
        .processes()
        .signal("booking-desk-0", Signal::SIGCONT)
        .expect("it is frozen");
    pause(1_000).await;

    assert_eq!(seen.outcome, RequestOutcome::Unknown);
    assert!(runs_of(&bench, "booking-desk", &key).is_empty());
}

#[actix_rt::test]
async fn with_one_entry_cut_off_and_a_sidecar_dead_the_rest_serves() {
    let mut bench = start(engines(3)).await;
    let cut = fault(FaultKind::Cut, Some("entry-0"), None);
    bench.set_faults(&[cut]).await.expect("faults are set");
    bench.processes().kill("deck-model-1").expect("it runs");

    let cut_off = send(&bench, 0, &generate("cut-off", 1)).await;
    let mut served = 0;
    for n in 0..20 {
        let seen = send(&bench, 1 + n % 2, &generate(&format!("s{n}"), 1)).await;
        served += usize::from(seen.outcome == RequestOutcome::Ran);
    }

    assert!(
        matches!(
            cut_off.outcome,
            RequestOutcome::NotRun | RequestOutcome::Unknown
        ),
        "{cut_off:?}"
    );
    assert_eq!(served, 20);
}

#[actix_rt::test]
async fn a_request_without_a_pool_or_with_a_bad_header_gets_a_typed_problem() {
    let bench = start(engines(1)).await;
    let entry = bench.entries[0].service;
    let client = awc::Client::default();

    let unknown = client
        .get(format!("http://{entry}/no-such-pool/x"))
        .send()
        .await;
    let mut unknown = unknown.expect("the entry answers");
    let bad = client
        .get(format!("http://{entry}/deck-model/x"))
        .insert_header(("balsam-deadline-ms", "soon"))
        .send()
        .await
        .expect("the entry answers");
    let body = unknown.body().await.expect("the answer is whole");

    assert_eq!(unknown.status(), 404);
    assert_eq!(bad.status(), 400);
    let problem: serde_json::Value = serde_json::from_slice(&body).expect("it is JSON");
    assert_eq!(problem["type"], "urn:balsamjunction:problem:unknown-pool");
    assert_eq!(problem["outcome"], "not-run");
}

#[actix_rt::test]
async fn garbage_and_strangers_disturb_nobody() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let bench = start(engines(1)).await;
    let entry = bench.entries[0].service;
    let sidecar = bench.upstreams[0].private;

    for address in [entry, sidecar] {
        let mut stream = tokio::net::TcpStream::connect(address)
            .await
            .expect("it listens");
        let garbage: Vec<u8> = (0..100_000_u32).map(|n| (n * 31 % 251) as u8).collect();
        // The daemon may close before it has read everything.
        let _ = stream.write_all(&garbage).await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        assert!(!answer.starts_with(b"HTTP/1.1 200"));
    }
    let stranger = awc::Client::default()
        .get(format!("http://{sidecar}/carry/v1/generate"))
        .send()
        .await
        .expect("the sidecar answers");

    assert_eq!(stranger.status(), 400);
    assert_ran(&send(&bench, 0, &generate("after", 1)).await);
}

#[actix_rt::test]
async fn a_large_body_is_streamed_to_the_upstream_and_back() {
    let bench = start(services(1, 0)).await;
    let entry = bench.entries[0].service;
    let body: Vec<u8> = (0..200_000_u32).map(|n| (n % 251) as u8).collect();

    let mut answer = awc::Client::default()
        .post(format!("http://{entry}/booking-desk/echo"))
        .send_body(body.clone())
        .await
        .expect("the entry answers");
    let echoed = answer
        .body()
        .limit(1 << 20)
        .await
        .expect("the answer is whole");

    assert_eq!(answer.status(), 200);
    assert_eq!(echoed.as_ref(), body.as_slice());
}

#[actix_rt::test]
async fn overload_is_answered_at_once_with_the_time_to_come_back() {
    let mut spec = engines(1);
    spec.defaults = serde_json::json!({"queue_length": 1, "max_concurrency": 1});
    let bench = start(spec).await;

    let caller = Caller::default();
    let entry = bench.entries[0].service;
    let many = (0..20).map(|n| {
        let caller = caller.clone();
        async move { caller.send(entry, &generate(&format!("o{n}"), 40)).await }
    });
    let seen = futures_util::future::join_all(many).await;

    let refused: Vec<_> = seen
        .iter()
        .filter(|one| one.outcome == RequestOutcome::NotRun)
        .collect();
    assert!(refused.len() >= 15, "{} were refused", refused.len());
    let all = read_pool_runs(&bench, "deck-model").expect("the ledger can be read");
    for one in refused {
        let id = one.request_id.clone().expect("refusals are named");
        assert!(all.iter().all(|run| run.request_id != id));
    }
}

#[actix_rt::test]
async fn a_caller_that_never_finishes_its_head_is_let_go() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let bench = start(engines(1)).await;
    let entry = bench.entries[0].service;
    let mut stream = tokio::net::TcpStream::connect(entry)
        .await
        .expect("it listens");
    let head = b"GET /deck-model/v1/generate HTTP/1.1\r\nhost: e";
    stream.write_all(head).await.expect("the entry reads");

    let mut answer = Vec::new();
    // Ends only if the entry gives up on the connection.
    let _ = stream.read_to_end(&mut answer).await;

    assert!(!answer.starts_with(b"HTTP/1.1 200"));
    assert_ran(&send(&bench, 0, &generate("after", 1)).await);
}

#[actix_rt::test]
async fn an_oversized_head_is_refused_and_disturbs_nobody() {
    let bench = start(engines(1)).await;
    let entry = bench.entries[0].service;

    let answer = awc::Client::default()
        .get(format!("http://{entry}/deck-model/v1/generate"))
        .insert_header(("x-filler", "x".repeat(300_000)))
        .send()
        .await;

    assert!(answer.is_err() || answer.is_ok_and(|a| a.status().is_client_error()));
    assert_ran(&send(&bench, 0, &generate("after", 1)).await);
}

#[actix_rt::test]
async fn a_peer_of_another_protocol_version_gets_a_typed_refusal() {
    use balsamjunction_protocol::{header, Envelope, Priority, RequestId, PROTOCOL_VERSION};
    let bench = start(engines(1)).await;
    let sidecar = bench.upstreams[0].private;
    let envelope = Envelope {
        v: PROTOCOL_VERSION + 1,
        request: RequestId::new(),
        attempt: 1,
        workspace: "selam".into(),
        priority: Priority::Normal,
        remaining_ms: 1_000,
        cost: 1,
        idempotency_key: None,
        fingerprint: 1,
        revision: 1,
        lateness_percent: 100,
    };

    let mut answer = awc::Client::default()
        .get(format!("http://{sidecar}/carry/v1/generate"))
        .insert_header((
            header::ENVELOPE,
            header::to_header(&envelope).expect("an envelope is encodable"),
        ))
        .send()
        .await
        .expect("the sidecar answers");
    let body = answer.body().await.expect("the answer is whole");

    assert_eq!(answer.status(), 400);
    let text = String::from_utf8_lossy(&body).into_owned();
    assert!(text.contains("upgrade the older of the two"), "{text}");
    assert!(read_pool_runs(&bench, "deck-model")
        .expect("the ledger can be read")
        .is_empty());
}
