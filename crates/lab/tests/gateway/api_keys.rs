//! API keys that a configuration takes away, at gateways that read the store and at those that only hear of it.

use std::time::{Duration, Instant};

use balsamjunction_lab::standin::platform::StoreFault;
use futures_util::{
    future::{join, join_all},
    StreamExt,
};
use serde_json::{json, Value};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::common::{
    model_engine_options, new_client, plain_engine_options, route, wait_until, Gateway, TestSite,
    API_KEY,
};

/// Routes that make a configuration long.
const IDLE_ROUTES: u32 = 3_000;
/// Callers that send one request after another.
const CALLERS: usize = 8;
/// Time before and after a limit in which nothing is expected to happen.
const MARGIN: Duration = Duration::from_millis(200);
/// Time after the limit for a revocation within which a gateway has read the store again.
const RETURN_TIME: Duration = Duration::from_millis(2_500);

/// Statuses of requests without a key, with an unknown one and with the one that was in force at the start.
async fn statuses(gateway: &Gateway, path: &str, round: &str) -> [u16; 3] {
    let unknown = [("authorization", "Bearer nobody")];
    let key = format!("Bearer {API_KEY}");
    let known = [("authorization", key.as_str())];
    let mut statuses = [0; 3];
    for (n, headers) in [&[][..], &unknown, &known].into_iter().enumerate() {
        let id = format!("{round}-{n}");
        statuses[n] = gateway.call_with("GET", path, &id, headers).await.status;
    }
    statuses
}

/// A site with an upstream, a gateway that reads the store and one that learns all from it.
async fn start_reader_and_peer(site: &mut TestSite) -> [Gateway; 2] {
    let reader = site.start_gateway("reader", &[]);
    reader.wait_until_ready().await;
    let unreachable = "127.0.0.1:9".parse().expect("it is an address");
    let peer = site.start_gateway_with_store("peer", &[reader], unreachable);
    peer.wait_until_ready().await;
    [reader, peer]
}

// Guards against a configuration whose list of tenants is empty and that counts as one without the list: it opened
// the deployment to every key.
#[actix_rt::test]
async fn no_key_is_accepted_once_the_last_tenant_is_gone() {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(plain_engine_options("d1")).await;
    let gateways = start_reader_and_peer(&mut site).await;
    let before = statuses(&gateways[1], "/stock/1", "before").await;

    site.update_config(|config| config["tenants"] = json!([]));
    for gateway in &gateways {
        wait_until("the key to be refused", async || {
            statuses(gateway, "/stock/1", "meanwhile").await[2] == 401
        })
        .await;
    }
    let runs = engine.runs().len();
    let mut after = Vec::new();
    for gateway in &gateways {
        after.push(statuses(gateway, "/stock/1", "after").await);
    }

    assert_eq!(before, [401, 401, 200]);
    assert_eq!(after, [[401; 3]; 2]);
    assert_eq!(engine.runs().len(), runs);
}

// Guards against the same at processes that start with such a configuration.
#[actix_rt::test]
async fn no_key_is_accepted_by_a_gateway_that_starts_without_tenants() {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(plain_engine_options("d1")).await;
    site.update_config(|config| {
        config["tenants"] = json!([]);
        config["routes"][0]["public"] = json!(true);
    });
    let gateways = start_reader_and_peer(&mut site).await;

    for gateway in &gateways {
        let got = statuses(gateway, "/stock/1", "start").await;
        assert_eq!(got, [401; 3]);
    }
    assert!(engine.runs().is_empty());
}

// Guards against an empty list that is taken for a wrong one: a configuration without the list needs no key, and one
// that brings it needs keys again.
#[actix_rt::test]
async fn keys_are_needed_as_long_as_the_configuration_has_a_list_of_tenants() {
    let mut site = TestSite::start().await;
    site.start_engine(plain_engine_options("d1")).await;
    let gateways = start_reader_and_peer(&mut site).await;
    let tenants = site.config()["tenants"].clone();
    let without: fn(&mut Value) = |config| {
        let fields = config.as_object_mut().expect("it is an object");
        fields.remove("tenants");
    };

    for expected in [[200; 3], [401; 3], [200; 3], [401, 401, 200]] {
        site.update_config(|config| match expected {
            [200, ..] => without(config),
            [.., 200] => config["tenants"] = tenants.clone(),
            _ => config["tenants"] = json!([]),
        });
        for gateway in &gateways {
            wait_until(&format!("{expected:?}"), async || {
                statuses(gateway, "/stock/1", "step").await == expected
            })
            .await;
        }
    }
}

// Guards against tenants that hold no key and are taken for tenants whose requests need none.
#[actix_rt::test]
async fn a_tenant_without_keys_accepts_none() {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(plain_engine_options("d1")).await;
    let lists = [
        json!([{"name": "selam", "apiKeys": []}]),
        json!([{"name": "selam"}]),
    ];
    for (n, tenants) in lists.into_iter().enumerate() {
        site.update_config(|config| config["tenants"] = tenants);
        let gateway = site.start_gateway(&format!("g{n}"), &[]);
        gateway.wait_until_ready().await;

        let got = statuses(&gateway, "/stock/1", &format!("{n}")).await;

        assert_eq!(got, [401; 3]);
    }
    assert!(engine.runs().is_empty());
}

// Guards against lists that are there and empty and that keep a configuration from coming in force.
#[actix_rt::test]
async fn configurations_with_other_empty_lists_come_in_force() {
    let mut site = TestSite::start().await;
    site.start_engine(plain_engine_options("d1")).await;
    let gateways = start_reader_and_peer(&mut site).await;
    let whole = site.config().clone();

    for (list, status) in [("services", 503), ("routes", 404)] {
        site.update_config(|config| config[list] = json!([]));
        for gateway in &gateways {
            wait_until(&format!("no {list}"), async || {
                statuses(gateway, "/stock/1", list).await[2] == status
            })
            .await;
        }
        site.update_config(|config| config[list] = whole[list].clone());
        for gateway in &gateways {
            wait_until(&format!("{list} again"), async || {
                statuses(gateway, "/stock/1", list).await[2] == 200
            })
            .await;
        }
    }
}

/// Publishes a configuration with the API keys `keys` and so many routes that it takes a while to come in force.
fn publish_keys(site: &mut TestSite, keys: &[&str]) {
    let routes = site.config()["routes"].as_array().cloned();
    let mut routes = routes.expect("routes are a list");
    routes.truncate(4);
    let idle = |n| {
        route(
            &format!("idle-{n}"),
            &format!("/idle{n}/"),
            "idempotent",
            "order-desk",
        )
    };
    routes.extend((0..IDLE_ROUTES).map(idle));
    site.update_config(|config| {
        config["routes"] = json!(routes);
        config["tenants"] = json!([{"name": "selam", "apiKeys": keys}]);
    });
}

/// Calls a gateway with `key` again and again until `until`; returns the ids of the requests that were answered 200.
async fn hammer(gateway: Gateway, caller: &str, key: &str, until: Instant) -> Vec<String> {
    let client = new_client();
    let url = format!("http://{}/stock/1", gateway.callers);
    let mut served = Vec::new();
    for n in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{caller}-{n}");
        let request = client.get(&url).insert_header(("host", "floor.example"));
        let request = request.insert_header(("authorization", format!("Bearer {key}")));
        let request = request.insert_header(("balsamjunction-attempt-id", id.as_str()));
        let response = request.send().await.expect("the gateway responds");
        if response.status().is_success() {
            served.push(id);
        }
    }
    served
}

// Guards against a key that was taken away long ago and is accepted as the store returns, since the age of the facts is that
// of the new configuration while the key is looked up in the old one (review/8).
#[actix_rt::test]
async fn a_key_that_was_taken_away_is_not_accepted_as_the_store_returns() {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(plain_engine_options("d1")).await;
    let names = ["key-0", "key-1", "key-2", "key-3"];
    publish_keys(&mut site, &names);
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let mut accepted = Vec::new();
    for (round, revoked) in names[..3].iter().enumerate() {
        site.store.set_fault(StoreFault::TooManyReads);
        publish_keys(&mut site, &names[round + 1..]);
        let revoked_at = Instant::now();
        actix_rt::time::sleep(site.revocation_deadline + MARGIN).await;
        let until = revoked_at + site.revocation_deadline + RETURN_TIME;
        let callers = (0..CALLERS).map(|n| format!("{revoked}-{n}"));
        let callers =
            callers.map(|caller| async move { hammer(gateway, &caller, revoked, until).await });
        let restore = async {
            actix_rt::time::sleep(MARGIN).await;
            site.store.set_fault(StoreFault::None);
        };
        let (served, ()) = join(join_all(callers), restore).await;
        accepted.extend(served.concat());
        gateway.wait_until_ready().await;
    }

    assert!(accepted.is_empty(), "accepted: {accepted:?}");
    assert!(engine.runs().is_empty());
}

// Guards against a request whose key is taken away while its body is received, and that runs with the key all the same.
#[actix_rt::test]
async fn a_key_that_is_taken_away_while_a_body_is_received_is_refused() {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(plain_engine_options("d1")).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let mut tcp = TcpStream::connect(gateway.callers).await.expect("connect");
    let head = format!(
        "POST /order/1 HTTP/1.1\r\nHost: floor.example\r\nAuthorization: Bearer {API_KEY}\r\n\
         Balsamjunction-Attempt-Id: slow\r\nContent-Length: 4\r\n\r\nab"
    );
    tcp.write_all(head.as_bytes()).await.expect("send the head");
    actix_rt::time::sleep(MARGIN).await;

    site.update_config(|config| {
        config["tenants"] = json!([{"name": "selam", "apiKeys": ["another"]}])
    });
    wait_until("the key to be refused", async || {
        statuses(&gateway, "/stock/1", "meanwhile").await[2] == 401
    })
    .await;
    let runs = engine.runs().len();
    tcp.write_all(b"cd").await.expect("send the rest");
    let mut status = [0; 12];
    tcp.read_exact(&mut status).await.expect("a response");

    assert_eq!(&status, b"HTTP/1.1 401");
    assert_eq!(engine.runs().len(), runs);
}

// Guards against a stream that is resumed, and thereby run again, with a key that was taken away since it began.
#[actix_rt::test]
async fn a_stream_is_not_resumed_with_a_key_that_was_taken_away() {
    let mut site = TestSite::start().await;
    let first = site.start_engine(model_engine_options("e1", 60, 50)).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let mut stream = gateway.open_stream("a1").await;
    let begun = stream.next().await.expect("an event").expect("an event");
    let second = site.start_engine(model_engine_options("e2", 60, 50)).await;

    site.update_config(|config| {
        config["tenants"] = json!([{"name": "selam", "apiKeys": ["another"]}])
    });
    wait_until("the key to be refused", async || {
        statuses(&gateway, "/stock/1", "meanwhile").await[2] == 401
    })
    .await;
    first.crash();
    let mut last = Some(Ok(begun));
    while matches!(last, Some(Ok(_))) {
        last = stream.next().await;
    }

    assert!(last.is_some(), "the stream ends as complete");
    assert!(second.runs().is_empty());
}
