//! Entries of another writer among those of the engines, which gateways and stagers must neither use nor stumble over.

use std::{
    fs,
    time::{Duration, Instant},
};

use balsamjunction_lab::standin::platform::{Engine, EngineFault};
use futures_util::future::join_all;
use serde_json::{json, Value};

use crate::common::{model_engine_options, plain_engine_options, wait_until, Gateway, TestSite};

/// How long an odd entry stands in place of an engine's own one.
const REPLACED_FOR: Duration = Duration::from_millis(1_000);
/// Time within which a gateway follows a change of the registry.
const FOLLOW_TIME: Duration = Duration::from_millis(500);
/// Time for which the engines of the service are cold after their start.
const COLD_START: Duration = Duration::from_millis(1_000);
/// Calls that a sound engine serves in a burst.
const BURST: usize = 12;

/// The metric of the number of cold upstreams.
const COLD_UPSTREAMS: &str = "balsamjunction_upstreams{state=\"cold\"}";

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
        entry_with(sound, "sequence", "null"),
        entry_with(sound, "sequence", "\"1\""),
        entry_with(sound, "version", "null"),
        entry_with(sound, "version", "[]"),
        entry_with(sound, "born", "null"),
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

async fn start_plain_site(slots: u32) -> (TestSite, Gateway, Engine) {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(plain_engine_options("d1")).await;
    let mut entry = engine.registry_entry("ready");
    entry["slots"] = json!(slots);
    site.store.put("servers/d1", &entry);
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    (site, gateway, engine)
}

/// Replaces the engine's own entry by an odd one for a while, sends a burst meanwhile, and restores the entry.
async fn replace_own_entry(site: &TestSite, gateway: Gateway, engine: &Engine, odd: &[u8]) {
    let sound = engine.registry_entry("ready");
    site.store.put_bytes("servers/d1", odd);
    let replaced_at = Instant::now();
    actix_rt::time::sleep(FOLLOW_TIME).await;
    count_served(gateway, "meanwhile", BURST).await;
    actix_rt::time::sleep(REPLACED_FOR.saturating_sub(replaced_at.elapsed())).await;
    engine.set_fault(EngineFault::None);
    site.store.put("servers/d1", &sound);
    actix_rt::time::sleep(FOLLOW_TIME).await;
}

// Guards against a process that ends, or stops following the registry, because of an entry that cannot be decoded or
// whose values are out of range.
#[actix_rt::test]
async fn odd_entries_neither_end_a_process_nor_stop_it_from_following_the_registry() {
    let mut site = TestSite::start().await;
    let model_engine = site.start_engine(model_engine_options("e1", 2, 5)).await;
    let other_engine = site.start_engine(model_engine_options("e2", 2, 5)).await;
    let order_desk = site.start_engine(plain_engine_options("d1")).await;
    put_odd_entries(&site, &order_desk.registry_entry("ready"));
    let first = site.start_gateway("g1", &[]);
    let second = site.start_gateway("g2", &[first]);
    site.start_stager("s1", &model_engine, &[first, second]);
    // This stager reaches no gateway, so it reads the store itself.
    site.start_stager("s2", &other_engine, &[]);
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
    wait_until("the engines to serve the version", async || {
        model_engine.version() == Some(2) && other_engine.version() == Some(2)
    })
    .await;

    for (n, gateway) in [first, second, third].into_iter().enumerate() {
        assert_eq!(count_served(gateway, &format!("g{n}-"), 4).await, 4);
    }
    assert_eq!(order_desk.arrival_count(), 0);
    assert_eq!(later.runs().len(), 12);
    assert_running(&mut site, &["g1", "g2", "g3", "s1", "s2"]);
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

// Guards against an engine that stays limited as a cold one after an odd entry in place of its own said so.
#[actix_rt::test]
async fn an_engine_is_not_limited_as_cold_after_its_own_entry_is_back() {
    for remaining in ["1e308", "1e12", "86400000"] {
        let (mut site, gateway, engine) = start_plain_site(4).await;
        site.update_config(|config| {
            config["services"][1]["coldStartS"] = json!(COLD_START.as_secs_f64());
            config["services"][1]["coldPerS"] = json!(100.0);
        });
        let sound = engine.registry_entry("ready");
        let odd = entry_with(&sound, "coldRemainingMs", remaining);

        replace_own_entry(&site, gateway, &engine, &odd).await;
        actix_rt::time::sleep(COLD_START).await;
        let served = count_served(gateway, "after", 4).await;
        let cold = gateway.metric(COLD_UPSTREAMS).await;

        assert_eq!(served, 4, "with {remaining}");
        assert_eq!(cold.unwrap_or(0.0), 0.0, "with {remaining}");
    }
}

// Guards against an engine that counts as full for as long as the slots of an odd entry take to drain.
#[actix_rt::test]
async fn an_engine_does_not_count_as_full_after_its_own_entry_is_back() {
    for slots in ["4294967295", "60000"] {
        let (site, gateway, engine) = start_plain_site(4).await;
        let odd = entry_with(&engine.registry_entry("ready"), "slots", slots);
        engine.set_fault(EngineFault::Overloaded);

        replace_own_entry(&site, gateway, &engine, &odd).await;
        // The estimate of the load is held for a second before it decays.
        actix_rt::time::sleep(Duration::from_millis(1_500)).await;

        assert_eq!(count_served(gateway, "after", 4).await, 4, "with {slots}");
    }
}

// Guards against an engine that is never used again after an odd entry gave it the address of another engine, which
// refused its requests.
#[actix_rt::test]
async fn an_engine_is_used_again_after_an_odd_entry_gave_it_the_address_of_another() {
    let (site, gateway, engine) = start_plain_site(4).await;
    let other = Engine::start(plain_engine_options("d9")).await;
    let other = other.expect("start the engine");
    let address = format!("\"{}\"", other.address);
    let odd = entry_with(&engine.registry_entry("ready"), "address", &address);

    replace_own_entry(&site, gateway, &engine, &odd).await;

    assert_eq!(count_served(gateway, "after", 4).await, 4);
    assert!(other.runs().is_empty());
}

/// Bytes that a process has logged, in structured lines and otherwise.
fn logged_bytes(site: &TestSite, name: &str) -> u64 {
    let paths = [
        site.log_path(name),
        site.log_path(name).with_extension("log"),
    ];
    let lengths = paths.iter().filter_map(|path| fs::metadata(path).ok());
    lengths.map(|metadata| metadata.len()).sum()
}

// Guards against a log that grows with the length and the number of odd entries.
#[actix_rt::test]
async fn odd_entries_that_are_written_again_and_again_leave_a_bounded_log() {
    let (site, gateway, engine) = start_plain_site(4).await;
    let sound = engine.registry_entry("ready");
    let odd = entry_with(&sound, "state", &format!("\"{}\"", "x".repeat(20_000)));
    let before = logged_bytes(&site, "g1");

    for _ in 0..10 {
        for n in 0..50 {
            site.store.put_bytes(&format!("servers/odd{n}"), &odd);
        }
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    site.store.delete("servers/d1");
    let later = site.start_engine(plain_engine_options("d2")).await;
    wait_until("the gateway to follow the registry", async || {
        count_served(gateway, "a", 1).await;
        !later.runs().is_empty()
    })
    .await;

    let logged = logged_bytes(&site, "g1") - before;
    assert!(logged < 100_000, "{logged} bytes were logged");
}
