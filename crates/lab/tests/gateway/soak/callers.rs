//! Callers of a soak test, which reuse their connections.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use awc::Client;
use rand::{seq::IndexedRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::oracle::{Call, RequestKind};
use crate::common::{new_client, Gateway};

/// Sends one request and records its result.
pub async fn send_call(
    client: &Client,
    gateway: Gateway,
    kind: RequestKind,
    id: String,
    key: String,
) -> Call {
    let path = match kind {
        RequestKind::NonIdempotent => "/order/new",
        RequestKind::Idempotent => "/stock/1",
        RequestKind::Streaming => "/draft/now",
    };
    let mut request = client
        .post(format!("http://{}{path}", gateway.callers))
        .insert_header(("host", "floor.example"))
        .insert_header(("balsamjunction-attempt-id", id.as_str()))
        .insert_header(("balsamjunction-deadline-ms", "3000"))
        .insert_header(("authorization", format!("Bearer {key}")));
    if kind == RequestKind::Streaming {
        request = request
            .insert_header(("balsamjunction-model", "m1"))
            .insert_header(("balsamjunction-token-usage", "100,50"));
    }
    let sent = Instant::now();
    let mut call = Call {
        id,
        kind,
        sent,
        key,
        status: None,
        signature: None,
        body: None,
    };
    // Without a response, the caller does not know whether the request ran. The oracle allows this.
    if let Ok(mut response) = request
        .timeout(Duration::from_secs(5))
        .send_body("a call")
        .await
    {
        call.status = Some(response.status().as_u16());
        let signature = response.headers().get("balsamjunction-server-signature");
        call.signature = signature.and_then(|value| Some(value.to_str().ok()?.to_owned()));
        let body = response.body().await.ok();
        call.body = body.map(|buf| String::from_utf8_lossy(&buf).into_owned());
    }
    call
}

/// Sends requests, and reuses its connections, until `stopped` is true. Returns the recorded calls.
pub async fn run_caller(
    seed: u64,
    gateways: Vec<Gateway>,
    keys: Vec<String>,
    stopped: Rc<RefCell<bool>>,
) -> Vec<Call> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let client = new_client();
    let mut calls = Vec::new();
    while !*stopped.borrow() {
        let gateway = *gateways.choose(&mut rng).expect("the list is not empty");
        let kinds = [
            RequestKind::NonIdempotent,
            RequestKind::Idempotent,
            RequestKind::Streaming,
        ];
        let kind = *kinds.choose(&mut rng).expect("the list is not empty");
        let key = keys
            .choose(&mut rng)
            .expect("the list is not empty")
            .clone();
        let id = format!("{seed:x}-{}", calls.len());
        calls.push(send_call(&client, gateway, kind, id, key).await);
        let pause = Duration::from_millis(rng.random_range(2..30));
        actix_rt::time::sleep(pause).await;
    }
    calls
}
