//! Requests through real processes under failures: responses are complete or visibly cut, outcomes are
//! reported correctly, and a request with an idempotency key runs at most once.

use super::common::{
    assert_ran, booking_request, crashing_generation, engine_bench, generation,
    new_idempotency_key, runs_of, send, service_bench, sleep_ms, spawn_send, start,
    wait_until_in_force, wait_until_in_force_on,
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
async fn a_response_that_breaks_off_never_looks_complete() {
    let bench = start(engine_bench(1)).await;
    let stream = spawn_send(&bench, 0, generation("long", 200));
    sleep_ms(400).await;

    let cut = fault(FaultKind::Cut, None, Some("deck-model-0"));
    bench.set_faults(&[cut]).await.expect("faults are set");
    let observation = stream.await.expect("the caller's task ends");

    assert_eq!(observation.outcome, RequestOutcome::Cut);
}

#[actix_rt::test]
async fn a_caller_that_disconnects_cancels_its_generation() {
    let bench = start(engine_bench(1)).await;
    let engine = bench.upstreams[0].service;
    let stream = spawn_send(&bench, 0, generation("left", 2_000));
    sleep_ms(400).await;

    stream.abort();

    let cancelled = || async {
        let counts = get_json::<EngineCounts>(engine, "/lab/counts").await;
        counts.is_ok_and(|counts| counts.cancelled == 1 && counts.running == 0)
    };
    bench
        .wait_for("the cancellation", cancelled)
        .await
        .expect("the engine cancels the generation");
}

#[actix_rt::test]
async fn swapped_responses_reach_no_caller() {
    let bench = start(engine_bench(1)).await;
    let swapped = fault(FaultKind::Cross, None, Some("deck-model-0"));
    bench.set_faults(&[swapped]).await.expect("faults are set");

    let sends: Vec<_> = (0..12)
        .map(|n| spawn_send(&bench, n % 3, generation(&format!("c{n}"), 5)))
        .collect();
    let mut invalid = 0;
    for send in sends {
        let observation = send.await.expect("the caller's task ends");
        invalid += usize::from(observation.outcome == RequestOutcome::Invalid);
    }

    assert_eq!(invalid, 0);
}

#[actix_rt::test]
async fn a_service_that_is_killed_during_a_call_leaves_the_outcome_unknown() {
    let mut bench = start(service_bench(1, 1_000)).await;
    let key = new_idempotency_key();
    let call = spawn_send(&bench, 0, booking_request(&key));
    sleep_ms(400).await;

    bench
        .processes()
        .kill("booking-desk-0.upstream")
        .expect("the process runs");
    let observation = call.await.expect("the caller's task ends");
    bench
        .processes()
        .restart("booking-desk-0.upstream")
        .expect("the process starts");
    sleep_ms(500).await;
    let resent = send(&bench, 1, &booking_request(&key)).await;

    assert_eq!(observation.outcome, RequestOutcome::Unknown);
    assert_eq!(resent.outcome, RequestOutcome::Unknown);
    assert_eq!(runs_of(&bench, "booking-desk", &key).len(), 1);
}

#[actix_rt::test]
async fn a_key_sent_through_every_entry_runs_once_and_every_send_gets_the_response() {
    let bench = start(service_bench(3, 50)).await;
    let key = new_idempotency_key();

    let first = send(&bench, 0, &booking_request(&key)).await;
    let again = [
        send(&bench, 1, &booking_request(&key)).await,
        send(&bench, 2, &booking_request(&key)).await,
    ];

    assert_ran(&first);
    again.iter().for_each(assert_ran);
    assert_eq!(runs_of(&bench, "booking-desk", &key).len(), 1);
}

#[actix_rt::test]
async fn requests_with_one_key_sent_concurrently_run_once() {
    let bench = start(service_bench(3, 300)).await;
    let key = new_idempotency_key();

    let sends: Vec<_> = (0..6)
        .map(|n| spawn_send(&bench, n % 3, booking_request(&key)))
        .collect();
    let mut ran = 0;
    for send in sends {
        let observation = send.await.expect("the caller's task ends");
        assert!(
            matches!(
                observation.outcome,
                RequestOutcome::Ran | RequestOutcome::Unknown
            ),
            "{observation:?}"
        );
        ran += usize::from(observation.outcome == RequestOutcome::Ran);
    }

    assert_eq!(ran, 1);
    assert_eq!(runs_of(&bench, "booking-desk", &key).len(), 1);
}

#[actix_rt::test]
async fn a_caller_that_disconnects_does_not_cancel_a_request_with_a_key() {
    let bench = start(service_bench(1, 400)).await;
    let key = new_idempotency_key();
    let call = spawn_send(&bench, 0, booking_request(&key));
    sleep_ms(200).await;
    call.abort();
    sleep_ms(600).await;

    let resent = send(&bench, 1, &booking_request(&key)).await;

    assert_ran(&resent);
    assert_eq!(runs_of(&bench, "booking-desk", &key).len(), 1);
}

#[actix_rt::test]
async fn a_sidecar_that_lost_its_key_table_does_not_run_old_keys_again() {
    let spec = balsamjunction_lab::bench::spec::BenchSpec {
        network: None,
        ..service_bench(1, 10)
    };
    let mut bench = start(spec).await;
    let key = new_idempotency_key();
    assert_ran(&send(&bench, 0, &booking_request(&key)).await);

    bench
        .processes()
        .kill("booking-desk-0")
        .expect("the process runs");
    let while_down = send(&bench, 1, &booking_request(&key)).await;
    bench
        .processes()
        .restart("booking-desk-0")
        .expect("the process starts");
    let host = bench.upstreams[0].clone();
    bench
        .wait_host_ready(&host)
        .await
        .expect("the host becomes ready");
    let resent = send(&bench, 2, &booking_request(&key)).await;

    assert_eq!(while_down.outcome, RequestOutcome::NotRun);
    assert_eq!(resent.outcome, RequestOutcome::Unknown);
    assert_eq!(runs_of(&bench, "booking-desk", &key).len(), 1);
}

#[actix_rt::test]
async fn a_key_whose_owner_moved_is_closed_at_its_old_owner_first() {
    let mut bench = start(service_bench(3, 10)).await;
    let keys: Vec<_> = (0..12).map(|_| new_idempotency_key()).collect();
    for key in &keys {
        assert_ran(&send(&bench, 0, &booking_request(key)).await);
    }

    bench.spec_mut().out_of_service.insert(DATA_CENTRES[0].name);
    let revision = bench.publish().await.expect("the declaration is published");
    wait_until_in_force(&bench, revision).await;
    for key in &keys {
        send(&bench, 1, &booking_request(key)).await;
    }

    for key in &keys {
        assert_eq!(runs_of(&bench, "booking-desk", key).len(), 1);
    }
}

#[actix_rt::test]
async fn a_stale_entry_starts_no_requests_in_a_data_centre_out_of_service() {
    let mut bench = start(engine_bench(3)).await;
    let out_of_service = DATA_CENTRES[2];
    bench
        .processes()
        .signal("entry-0", Signal::SIGSTOP)
        .expect("the process runs");
    bench.spec_mut().out_of_service.insert(out_of_service.name);
    let revision = bench.publish().await.expect("the declaration is published");
    let hosts = bench.upstreams.clone();
    wait_until_in_force_on(&bench, hosts.iter(), revision).await;
    let from_ms = unix_ms();

    bench
        .processes()
        .signal("entry-0", Signal::SIGCONT)
        .expect("the process is stopped");
    let sends: Vec<_> = (0..30)
        .map(|n| spawn_send(&bench, 0, generation(&format!("stale-{n}"), 1)))
        .collect();
    for send in sends {
        assert_ran(&send.await.expect("the caller's task ends"));
    }

    for host in hosts
        .iter()
        .filter(|host| host.data_centre == out_of_service)
    {
        let ledger = read_runs(&bench, host).expect("the ledger can be read");
        assert!(
            ledger.iter().all(|run| run.started_ms < from_ms),
            "{ledger:?}"
        );
    }
}

#[actix_rt::test]
async fn a_sidecar_that_gets_sigterm_finishes_running_requests() {
    let mut bench = start(engine_bench(1)).await;
    let stream = spawn_send(&bench, 0, generation("drained", 150));
    sleep_ms(300).await;

    bench
        .processes()
        .signal("deck-model-0", Signal::SIGTERM)
        .expect("the process runs");
    sleep_ms(100).await;
    let refused = send(&bench, 1, &generation("late", 1)).await;
    let observation = stream.await.expect("the caller's task ends");

    assert_eq!(refused.outcome, RequestOutcome::NotRun);
    assert_ran(&observation);
    assert!(exits_successfully(&mut bench, "deck-model-0").await);
}

#[actix_rt::test]
async fn an_entry_that_gets_sigterm_finishes_running_requests() {
    let mut bench = start(engine_bench(1)).await;
    let stream = spawn_send(&bench, 0, generation("drained", 150));
    sleep_ms(300).await;

    bench
        .processes()
        .signal("entry-0", Signal::SIGTERM)
        .expect("the process runs");
    let observation = stream.await.expect("the caller's task ends");

    assert_ran(&observation);
    assert!(exits_successfully(&mut bench, "entry-0").await);
}

/// Waits up to 10 s for a process to exit and returns whether it succeeded.
async fn exits_successfully(bench: &mut balsamjunction_lab::bench::Bench, name: &str) -> bool {
    for _ in 0..500 {
        if let Some(success) = bench
            .processes()
            .exit_success(name)
            .expect("the exit status can be read")
        {
            return success;
        }
        sleep_ms(20).await;
    }
    false
}

#[actix_rt::test]
async fn a_request_that_crashes_engines_takes_no_third() {
    let bench = start(engine_bench(6)).await;

    for n in 0..8 {
        send(&bench, n % 3, &crashing_generation("deadly")).await;
    }

    let runs = runs_of(&bench, "deck-model", "deadly");
    assert!(
        (1..=2).contains(&runs.len()),
        "the request ran {} times",
        runs.len()
    );
    let refused = send(&bench, 0, &crashing_generation("deadly")).await;
    assert_eq!(refused.outcome, RequestOutcome::NotRun);
}

#[actix_rt::test]
async fn a_sidecar_that_resumes_late_runs_no_request_whose_deadline_has_passed() {
    let mut bench = start(service_bench(1, 10)).await;
    let key = new_idempotency_key();
    let short_deadline = Request {
        deadline: std::time::Duration::from_millis(400),
        ..booking_request(&key)
    };
    bench
        .processes()
        .signal("booking-desk-0", Signal::SIGSTOP)
        .expect("the process runs");

    let observation = send(&bench, 0, &short_deadline).await;
    sleep_ms(3_000).await;
    bench
        .processes()
        .signal("booking-desk-0", Signal::SIGCONT)
        .expect("the process is stopped");
    sleep_ms(1_000).await;

    assert_eq!(observation.outcome, RequestOutcome::Unknown);
    assert!(runs_of(&bench, "booking-desk", &key).is_empty());
}

#[actix_rt::test]
async fn with_one_entry_cut_off_and_a_sidecar_killed_the_other_hosts_serve() {
    let mut bench = start(engine_bench(3)).await;
    let cut = fault(FaultKind::Cut, Some("entry-0"), None);
    bench.set_faults(&[cut]).await.expect("faults are set");
    bench
        .processes()
        .kill("deck-model-1")
        .expect("the process runs");

    let cut_off = send(&bench, 0, &generation("cut-off", 1)).await;
    let mut served = 0;
    for n in 0..20 {
        let observation = send(&bench, 1 + n % 2, &generation(&format!("s{n}"), 1)).await;
        served += usize::from(observation.outcome == RequestOutcome::Ran);
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
async fn a_request_for_an_unknown_pool_or_with_an_invalid_header_gets_problem_details() {
    let bench = start(engine_bench(1)).await;
    let entry = bench.entries[0].service;
    let client = awc::Client::default();

    let unknown = client
        .get(format!("http://{entry}/no-such-pool/x"))
        .send()
        .await;
    let mut unknown = unknown.expect("the entry responds");
    let bad = client
        .get(format!("http://{entry}/deck-model/x"))
        .insert_header(("balsam-deadline-ms", "soon"))
        .send()
        .await
        .expect("the entry responds");
    let body = unknown.body().await.expect("the response is complete");

    assert_eq!(unknown.status(), 404);
    assert_eq!(bad.status(), 400);
    let problem: serde_json::Value = serde_json::from_slice(&body).expect("the body is JSON");
    assert_eq!(problem["type"], "urn:balsamjunction:problem:unknown-pool");
    assert_eq!(problem["outcome"], "not-run");
}

#[actix_rt::test]
async fn garbage_and_requests_without_an_envelope_do_not_affect_other_requests() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let bench = start(engine_bench(1)).await;
    let entry = bench.entries[0].service;
    let sidecar = bench.upstreams[0].private;

    for address in [entry, sidecar] {
        let mut stream = tokio::net::TcpStream::connect(address)
            .await
            .expect("the process listens");
        let garbage: Vec<u8> = (0..100_000_u32).map(|n| (n * 31 % 251) as u8).collect();
        // The daemon may close the connection before it has read everything.
        let _ = stream.write_all(&garbage).await;
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response).await;
        assert!(!response.starts_with(b"HTTP/1.1 200"));
    }
    let without_envelope = awc::Client::default()
        .get(format!("http://{sidecar}/carry/v1/generate"))
        .send()
        .await
        .expect("the sidecar responds");

    assert_eq!(without_envelope.status(), 400);
    assert_ran(&send(&bench, 0, &generation("after", 1)).await);
}

#[actix_rt::test]
async fn a_large_body_is_streamed_to_the_upstream_and_back() {
    let bench = start(service_bench(1, 0)).await;
    let entry = bench.entries[0].service;
    let body: Vec<u8> = (0..200_000_u32).map(|n| (n % 251) as u8).collect();

    let mut response = awc::Client::default()
        .post(format!("http://{entry}/booking-desk/echo"))
        .send_body(body.clone())
        .await
        .expect("the entry responds");
    let echoed = response
        .body()
        .limit(1 << 20)
        .await
        .expect("the response is complete");

    assert_eq!(response.status(), 200);
    assert_eq!(echoed.as_ref(), body.as_slice());
}

#[actix_rt::test]
async fn overload_is_refused_and_refused_requests_do_not_run() {
    let mut spec = engine_bench(1);
    spec.defaults = serde_json::json!({"queue_length": 1, "max_concurrency": 1});
    let bench = start(spec).await;

    let caller = Caller::default();
    let entry = bench.entries[0].service;
    let sends = (0..20).map(|n| {
        let caller = caller.clone();
        async move { caller.send(entry, &generation(&format!("o{n}"), 40)).await }
    });
    let observations = futures_util::future::join_all(sends).await;

    let refused: Vec<_> = observations
        .iter()
        .filter(|observation| observation.outcome == RequestOutcome::NotRun)
        .collect();
    assert!(
        refused.len() >= 15,
        "{} requests were refused",
        refused.len()
    );
    let ledger = read_pool_runs(&bench, "deck-model").expect("the ledger can be read");
    for refusal in refused {
        let id = refusal
            .request_id
            .clone()
            .expect("a refusal has a request ID");
        assert!(ledger.iter().all(|run| run.request_id != id));
    }
}

#[actix_rt::test]
async fn a_connection_whose_request_head_stays_incomplete_is_closed() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let bench = start(engine_bench(1)).await;
    let entry = bench.entries[0].service;
    let mut stream = tokio::net::TcpStream::connect(entry)
        .await
        .expect("the process listens");
    let head = b"GET /deck-model/v1/generate HTTP/1.1\r\nhost: e";
    stream
        .write_all(head)
        .await
        .expect("the entry reads the head");

    let mut response = Vec::new();
    // Ends only when the entry closes the connection.
    let _ = stream.read_to_end(&mut response).await;

    assert!(!response.starts_with(b"HTTP/1.1 200"));
    assert_ran(&send(&bench, 0, &generation("after", 1)).await);
}

#[actix_rt::test]
async fn an_oversized_head_is_refused_and_does_not_affect_other_requests() {
    let bench = start(engine_bench(1)).await;
    let entry = bench.entries[0].service;

    let response = awc::Client::default()
        .get(format!("http://{entry}/deck-model/v1/generate"))
        .insert_header(("x-filler", "x".repeat(300_000)))
        .send()
        .await;

    assert!(
        response.is_err() || response.is_ok_and(|response| response.status().is_client_error())
    );
    assert_ran(&send(&bench, 0, &generation("after", 1)).await);
}

#[actix_rt::test]
async fn a_peer_of_another_protocol_version_gets_problem_details() {
    use balsamjunction_protocol::{header, Envelope, Priority, RequestId, PROTOCOL_VERSION};
    let bench = start(engine_bench(1)).await;
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

    let mut response = awc::Client::default()
        .get(format!("http://{sidecar}/carry/v1/generate"))
        .insert_header((
            header::ENVELOPE,
            header::to_header(&envelope).expect("an envelope is encodable"),
        ))
        .send()
        .await
        .expect("the sidecar responds");
    let body = response.body().await.expect("the response is complete");

    assert_eq!(response.status(), 400);
    let text = String::from_utf8_lossy(&body).into_owned();
    assert!(text.contains("upgrade the older of the two"), "{text}");
    assert!(read_pool_runs(&bench, "deck-model")
        .expect("the ledger can be read")
        .is_empty());
}
