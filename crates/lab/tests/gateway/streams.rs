//! Streams: passed on as they come, resumed where they break, stopped when their caller leaves.

use std::time::{Duration, Instant};

use balsamjunction_lab::standin::platform::{Engine, EngineFault};
use futures_util::StreamExt;

use crate::common::{engine, event_ids, until, Site, KEY};

#[actix_rt::test]
async fn events_are_passed_on_as_they_come() {
    let mut site = Site::start().await;
    site.engine(engine("e1", 5, 200)).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    let mut got = gateway.open_stream("a1").await;
    let first = got
        .next()
        .await
        .expect("an event comes")
        .expect("it is whole");
    let second_after = Instant::now();
    got.next()
        .await
        .expect("an event comes")
        .expect("it is whole");

    assert_eq!(first, "id: 1\ndata: word1\n\n");
    assert!(second_after.elapsed() > Duration::from_millis(100));
}

#[actix_rt::test]
async fn a_stream_that_breaks_within_an_event_goes_on_at_another_engine() {
    let mut site = Site::start().await;
    let breaks = site.engine(engine("e1", 6, 20)).await;
    breaks.set_fault(EngineFault::TruncateAfter(3));
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;
    let whole = site.engine(engine("e2", 6, 20)).await;

    let mut resumed = 0;
    for n in 0..6 {
        let got = gateway.generate(&format!("a{n}")).await;

        let body = got.body.expect("the stream is whole");
        assert_eq!(event_ids(&body), [1, 2, 3, 4, 5, 6]);
        assert_eq!(body.matches("data: ").count(), 6);
        resumed += usize::from(got.signature.as_deref() == Some("e1"));
    }

    assert_eq!(resumed, breaks.runs().len());
    let ids = whole.runs();
    let after: Vec<_> = ids
        .iter()
        .filter_map(|run| run.headers.get("last-event-id"))
        .collect();
    assert_eq!(after.len(), resumed);
    assert!(after.iter().all(|id| *id == "3"));
}

#[actix_rt::test]
async fn a_stream_that_nobody_can_finish_never_looks_whole() {
    let mut site = Site::start().await;
    let breaks = site.engine(engine("e1", 6, 20)).await;
    breaks.set_fault(EngineFault::TruncateAfter(3));
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    let got = gateway.generate("a1").await;

    assert_eq!(got.status, 200);
    assert_eq!(got.body, None);
}

#[actix_rt::test]
async fn an_engine_stops_soon_after_the_caller_has_left() {
    let mut site = Site::start().await;
    let engine = site.engine(engine("e1", 100, 50)).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    let mut got = gateway.open_stream("a1").await;
    got.next()
        .await
        .expect("an event comes")
        .expect("it is whole");
    drop(got);
    actix_rt::time::sleep(Duration::from_millis(6_000)).await;

    assert_eq!(engine.runs().len(), 1);
    assert!(!engine.runs()[0].finished);
}

#[actix_rt::test]
async fn a_caller_that_leaves_before_the_answer_is_noticed() {
    let mut site = Site::start().await;
    let engine = site.engine(engine("e1", 3, 700)).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;
    let mut tcp = tokio::net::TcpStream::connect(gateway.callers)
        .await
        .expect("the gateway accepts");
    let head = format!(
        "POST /draft/now HTTP/1.1\r\nHost: floor.example\r\nAuthorization: Bearer {KEY}\r\n\
         Balsamjunction-Attempt-Id: a1\r\nBalsamjunction-Model: m1\r\n\
         Balsamjunction-Token-Usage: 10,10\r\nContent-Length: 0\r\n\r\n"
    );

    tokio::io::AsyncWriteExt::write_all(&mut tcp, head.as_bytes())
        .await
        .expect("the request goes out");
    until("the engine to run it", async || engine.runs().len() == 1).await;
    drop(tcp);
    actix_rt::time::sleep(Duration::from_millis(3_000)).await;

    assert!(!engine.runs()[0].finished);
}

#[actix_rt::test]
async fn upstreams_that_turn_a_broken_stream_away_use_up_the_retries() {
    let mut site = Site::start().await;
    site.retry_slack = 5.0;
    let breaks = site.engine(engine("e1", 6, 20)).await;
    breaks.set_fault(EngineFault::TruncateAfter(3));
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;
    let mut full = Vec::new();
    for n in 2..8 {
        let other = site.engine(engine(&format!("e{n}"), 6, 20)).await;
        other.set_fault(EngineFault::Overloaded);
        full.push(other);
    }

    for n in 0..8 {
        gateway.generate(&format!("a{n}")).await;
    }

    let arrivals: usize = full.iter().map(Engine::arrival_count).sum();
    let beyond_first = breaks.arrival_count() + arrivals - 8;
    // Eight requests earn 1.6 more.
    assert!(
        beyond_first <= 6,
        "{beyond_first} arrivals beyond the first"
    );
}
