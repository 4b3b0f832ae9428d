//! Entries of another writer among those of the engines, which gateways and stagers must neither use nor stumble over.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::{json, Value};

use crate::common::{model_engine_options, plain_engine_options, wait_until, Gateway, TestSite};

/// Time within which a gateway follows a change of the registry.
const FOLLOW_TIME: Duration = Duration::from_millis(500);

/// A value with arrays nested this deep.
fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// The text of a sound entry with the value of one field replaced by other text, which need not be valid JSON.
fn entry_with(sound: &Value, field: &str, text: &str) -> Vec<u8> {
    let mut entry = sound.clone();
    entry[field] = json!("PLACEHOLDER");
    let entry = entry.to_string().replace("\"PLACEHOLDER\"", text);
    entry.into_bytes()
}

/// Values of entries that name no engine to use, most of them sound but for one field.
fn odd_values(sound: &Value) -> Vec<Vec<u8>> {
    let huge = "9".repeat(401);
    let deep = nested(200);
    let address = |text: &str| format!("\"{text}\"");
    vec![
        entry_with(sound, "note", &deep),
        entry_with(sound, "service", &deep),
        entry_with(sound, "models", &deep),
        nested(50_000).into_bytes(),
        vec![b'['; 100_000],
        entry_with(sound, "slots", "1e999"),
        entry_with(sound, "slots", "4294967295"),
        entry_with(sound, "slots", "-1"),
        entry_with(sound, "slots", &huge),
        entry_with(sound, "coldRemainingMs", "1e308"),
        entry_with(sound, "coldRemainingMs", "1e999"),
        entry_with(sound, "born", "18446744073709551615"),
        entry_with(sound, "born", "36893488147419103232"),
        entry_with(sound, "sequence", &huge),
        entry_with(
            sound,
            "models",
            r#"[{"name":"m1","version":18446744073709551615}]"#,
        ),
        entry_with(sound, "address", &address("127.0.0.1:70000")),
        entry_with(sound, "address", &address("127.0.0.1:0")),
        entry_with(sound, "address", &address("[::1]:99999999999999999999")),
        entry_with(sound, "address", &address(&"1".repeat(200_000))),
        entry_with(sound, "state", &address(&"x".repeat(200_000))),
        b"\xff\xfe".to_vec(),
        Vec::new(),
    ]
}

/// Writes the odd values beside the entries of the engines.
fn put_odd_entries(site: &TestSite, sound: &Value) {
    for (n, value) in odd_values(sound).iter().enumerate() {
        site.store.put_bytes(&format!("servers/a-odd{n}"), value);
    }
}

async fn count_served(gateway: Gateway, prefix: &str, count: usize) -> usize {
    let calls = (0..count).map(|n| {
        let id = format!("{prefix}{n}");
        async move { gateway.call("POST", "/order/new", &id).await.status }
    });
    let statuses = join_all(calls).await;
    statuses.iter().filter(|status| **status == 200).count()
}

fn assert_running(site: &mut TestSite, names: &[&str]) {
    for name in names {
        let exited = site.processes.exit_success(name);
        assert_eq!(exited.expect("the process was started"), None, "{name}");
    }
}

// Guards against a process that ends, or stops following the registry, because of an entry that cannot be decoded or
// whose values are out of range.
#[actix_rt::test]
async fn odd_entries_neither_end_a_process_nor_stop_it_from_following_the_registry() {
    let mut site = TestSite::start().await;
    let model_engine = site.start_engine(model_engine_options("e1", 2, 5)).await;
    let order_desk = site.start_engine(plain_engine_options("d1")).await;
    put_odd_entries(&site, &order_desk.registry_entry("ready"));
    let first = site.start_gateway("g1", &[]);
    let second = site.start_gateway("g2", &[first]);
    site.start_stager("s1", &model_engine, &[first, second]);
    first.wait_until_ready().await;
    second.wait_until_ready().await;

    for _ in 0..20 {
        put_odd_entries(&site, &model_engine.registry_entry("ready"));
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    let third = site.start_gateway("g3", &[first, second]);
    third.wait_until_ready().await;
    site.store.delete("servers/d1");
    let later = site.start_engine(plain_engine_options("d2")).await;
    actix_rt::time::sleep(FOLLOW_TIME).await;
    site.publish_version(2);
    wait_until("the engine to serve the version", async || {
        model_engine.version() == Some(2)
    })
    .await;

    for (n, gateway) in [first, second, third].into_iter().enumerate() {
        assert_eq!(count_served(gateway, &format!("g{n}-"), 4).await, 4);
    }
    assert_eq!(order_desk.arrival_count(), 0);
    assert_eq!(later.runs().len(), 12);
    assert_running(&mut site, &["g1", "g2", "g3", "s1"]);
}

/// Keys with characters that need an escape in a query.
const ODD_KEYS: [&str; 9] = [
    "a b",
    "a%",
    "a%zz",
    "a&after=z",
    "a#b",
    "a+b",
    "a\"\\",
    "a\u{e9}\u{1f600}",
    "a\n",
];

// Guards against a listing that never ends: the key that ends a page is part of the request for the next one.
#[actix_rt::test]
async fn odd_keys_at_the_end_of_a_page_do_not_stop_a_listing() {
    let mut site = TestSite::start().await;
    let order_desk = site.start_engine(plain_engine_options("d1")).await;
    let model_engine = site.start_engine(model_engine_options("e1", 2, 5)).await;
    for key in ODD_KEYS {
        // As many as a page has entries, so that one of them ends a page.
        for n in 0..3 {
            let entry = order_desk.registry_entry("draining");
            site.store.put(&format!("servers/{key}{n}"), &entry);
        }
    }
    site.publish_version(2);

    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    // This stager reaches no gateway, so it reads the store itself.
    site.start_stager("s1", &model_engine, &[]);
    wait_until("the engine to serve the version", async || {
        model_engine.version() == Some(2)
    })
    .await;

    assert_eq!(count_served(gateway, "a", 4).await, 4);
}
