//! Callers of a soak, who keep their connections.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use awc::Client;
use rand::{seq::IndexedRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::oracle::{Call, Kind};
use crate::common::{new_client, Gateway};

/// Calls once.
pub async fn call(client: &Client, gateway: Gateway, kind: Kind, id: String, key: String) -> Call {
    let path = match kind {
        Kind::Once => "/order/new",
        Kind::Many => "/stock/1",
        Kind::Stream => "/draft/now",
    };
    let mut request = client
        .post(format!("http://{}{path}", gateway.callers))
        .insert_header(("host", "floor.example"))
        .insert_header(("balsamjunction-attempt-id", id.as_str()))
        .insert_header(("balsamjunction-deadline-ms", "3000"))
        .insert_header(("authorization", format!("Bearer {key}")));
    if kind == Kind::Stream {
        request = request
            .insert_header(("balsamjunction-model", "m1"))
            .insert_header(("balsamjunction-token-usage", "100,50"));
    }
    let sent = Instant::now();
    let mut seen = Call {
        id,
        kind,
        sent,
        key,
        status: None,
        signature: None,
        body: None,
    };
    // A caller that gets no answer knows nothing, which the judge allows.
    if let Ok(mut got) = request
        .timeout(Duration::from_secs(5))
        .send_body("a call")
        .await
    {
        seen.status = Some(got.status().as_u16());
        let signature = got.headers().get("balsamjunction-server-signature");
        seen.signature = signature.and_then(|value| Some(value.to_str().ok()?.to_owned()));
        let body = got.body().await.ok();
        seen.body = body.map(|buf| String::from_utf8_lossy(&buf).into_owned());
    }
    seen
}

/// A caller that keeps its connections, and goes on until `over`.
pub async fn caller(
    seed: u64,
    gateways: Vec<Gateway>,
    keys: Vec<String>,
    over: Rc<RefCell<bool>>,
) -> Vec<Call> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let client = new_client();
    let mut calls = Vec::new();
    while !*over.borrow() {
        let gateway = *gateways.choose(&mut rng).expect("there are some");
        let kinds = [Kind::Once, Kind::Many, Kind::Stream];
        let kind = *kinds.choose(&mut rng).expect("there are some");
        let key = keys.choose(&mut rng).expect("there are some").clone();
        let id = format!("{seed:x}-{}", calls.len());
        calls.push(call(&client, gateway, kind, id, key).await);
        let pause = Duration::from_millis(rng.random_range(2..30));
        actix_rt::time::sleep(pause).await;
    }
    calls
}
