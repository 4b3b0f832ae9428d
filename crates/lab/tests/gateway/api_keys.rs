//! API keys that a configuration takes away, at gateways that read the store and at those that only hear of it.

use serde_json::{json, Value};

use crate::common::{plain_engine_options, wait_until, Gateway, TestSite, API_KEY};

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
