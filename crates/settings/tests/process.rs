//! Tests of reading the settings of processes.

use balsamjunction_settings::{read_entry, read_gateway, read_sidecar, read_stager};
use smol_str::SmolStr;

const ENTRY: &str = r#"{
    "host": "e1",
    "data_centre": "addis-a",
    "inner_listen": "127.0.0.1:7000",
    "listen": "127.0.0.1:8080",
    "config_service": "10.0.0.1:80",
    "membership": "10.0.0.2:80",
    "seeds": ["10.0.0.3:7000"], // asked at the start
}"#;

fn overriding(name: &str, value: &str) -> [(SmolStr, SmolStr); 1] {
    [(name.into(), value.into())]
}

#[test]
fn settings_are_read_with_defaults() {
    let settings = read_entry(ENTRY.as_bytes(), &[]).expect("the fixture is valid");

    assert_eq!(settings.workers, 2);
    assert_eq!(settings.peer.advertise, settings.peer.inner_listen);
    assert_eq!(settings.peer.seeds.len(), 1);
}

#[test]
fn an_override_replaces_a_field_or_adds_one() {
    let replaced = read_entry(ENTRY.as_bytes(), &overriding("listen", "127.0.0.1:9999"));
    let added = read_entry(ENTRY.as_bytes(), &overriding("workers", "4"));

    assert_eq!(replaced.expect("it is valid").listen.port(), 9999);
    assert_eq!(added.expect("it is valid").workers, 4);
}

#[test]
fn an_override_is_checked_like_a_field() {
    let unknown = read_entry(ENTRY.as_bytes(), &overriding("wrokers", "4"));
    let range = read_entry(ENTRY.as_bytes(), &overriding("workers", "0"));

    let unknown = unknown.expect_err("the field is unknown").to_string();
    let range = range.expect_err("zero is out of range").to_string();
    assert!(unknown.contains("did you mean \"workers\"?"), "{unknown}");
    assert!(range.contains("use 1 to 64 threads"), "{range}");
}

#[test]
fn a_sidecar_requires_an_upstream() {
    let report = read_sidecar(ENTRY.as_bytes(), &[]).expect_err("fields are missing");

    let text = report.to_string();
    assert!(text.contains("field \"upstream\" is missing"), "{text}");
    assert!(text.contains("field \"listen\" is unknown"), "{text}");
}

#[test]
fn a_host_name_is_rejected_as_an_address() {
    let report = read_entry(
        ENTRY.as_bytes(),
        &overriding("membership", "members.example:80"),
    );

    let text = report.expect_err("names are not resolved").to_string();
    assert!(text.contains("use an IP address and port"), "{text}");
}

const GATEWAY: &str = r#"{
    "host": "g1", "data_centre": "addis-a", "regions": {"addis-a": "addis"},
    "listen": "127.0.0.1:8080", "readiness_listen": "127.0.0.1:8081",
    "inner_listen": "127.0.0.1:7000", "store": "10.0.0.1:80", "seeds": [],
    "grace_s": 7.5, "retry_ratio": 0.2, "strict_revocation": false,
}"#;

#[test]
fn a_gateway_reads_fractional_numbers_and_regions() {
    let settings = read_gateway(GATEWAY.as_bytes(), &[]).expect("the fixture is valid");

    assert_eq!(settings.grace.as_millis(), 7_500);
    assert_eq!(settings.regions["addis-a"], "addis");
    assert_eq!(settings.revoke_within, None);
}

#[test]
fn a_gateway_is_reached_at_the_address_that_it_listens_on_unless_the_settings_give_another() {
    let default = read_gateway(GATEWAY.as_bytes(), &[]).expect("the fixture is valid");
    let translated = overriding("inner_advertise", "10.0.0.9:7100");
    let other = read_gateway(GATEWAY.as_bytes(), &translated).expect("the settings are valid");

    assert_eq!(default.mesh.inner_advertise, default.mesh.inner_listen);
    assert_eq!(other.mesh.inner_listen, default.mesh.inner_listen);
    assert_eq!(other.mesh.inner_advertise.to_string(), "10.0.0.9:7100");
}

#[test]
fn a_gateway_reads_its_source_address() {
    let source = overriding("outbound_ip", "10.0.0.9");
    let default = read_gateway(GATEWAY.as_bytes(), &[]).expect("the fixture is valid");
    let gateway = read_gateway(GATEWAY.as_bytes(), &source).expect("the settings are valid");
    let wrong = read_gateway(
        GATEWAY.as_bytes(),
        &overriding("outbound_ip", "10.0.0.9:80"),
    );

    assert_eq!(default.mesh.outbound_ip, None);
    assert_eq!(gateway.mesh.outbound_ip, Some([10, 0, 0, 9].into()));
    let text = wrong.expect_err("it has a port").to_string();
    assert!(text.contains("use an IP address"), "{text}");
}

#[test]
fn an_address_to_be_reached_at_is_checked() {
    let report = read_gateway(
        GATEWAY.as_bytes(),
        &overriding("inner_advertise", "gateway.example:7000"),
    );

    let text = report.expect_err("names are not resolved").to_string();
    assert!(text.contains("inner_advertise"), "{text}");
}

#[test]
fn all_faults_of_a_gateway_and_a_stager_are_reported() {
    let broken = GATEWAY
        .replace("0.2", "\"much\"")
        .replace("\"addis\"}", "7}");
    let gateway = read_gateway(broken.as_bytes(), &[]).expect_err("it has faults");
    let stager = read_stager(b"{\"engine\": \"here\"}", &[]).expect_err("it has faults");

    assert_eq!(gateway.faults.len(), 2);
    let lines: Vec<String> = stager.lines("s").map(|l| l.to_string()).collect();
    for field in ["engine", "service", "host", "store"] {
        assert!(
            lines.iter().any(|line| line.contains(field)),
            "{field}: {lines:?}"
        );
    }
}

// Guards against a deployment whose requests are placed by their prompts although nobody asked for it.
#[test]
fn no_upstream_keeps_prompts_unless_the_settings_say_so() {
    let settings = read_gateway(GATEWAY.as_bytes(), &[]).expect("the fixture is valid");

    assert!(settings.prompt_cache.is_empty());
}

#[test]
fn a_gateway_reads_the_tokens_that_upstreams_keep() {
    let kept = r#"{"deck-model": 120000, "draft-model": 256}"#;
    let text = GATEWAY.replacen('{', &format!("{{ \"prompt_cache\": {kept},"), 1);

    let settings = read_gateway(text.as_bytes(), &[]).expect("the settings are valid");

    let mut services: Vec<_> = settings.prompt_cache.into_iter().collect();
    services.sort();
    assert_eq!(
        services,
        [("deck-model".into(), 120_000), ("draft-model".into(), 256)]
    );
}

#[test]
fn tokens_that_no_upstream_can_keep_are_rejected() {
    for kept in [
        r#"{"deck-model": 0}"#,
        r#"{"deck-model": 255}"#,
        r#"{"deck-model": 100000001}"#,
    ] {
        let text = GATEWAY.replacen('{', &format!("{{ \"prompt_cache\": {kept},"), 1);

        let report = read_gateway(text.as_bytes(), &[]).expect_err("the number is out of range");

        let text = report.to_string();
        assert!(
            text.contains("deck-model") && text.contains("256 to 100000000 tokens"),
            "{text}"
        );
    }
    for kept in ["true", "[]", r#"{"deck-model": "many"}"#] {
        let text = GATEWAY.replacen('{', &format!("{{ \"prompt_cache\": {kept},"), 1);
        assert!(read_gateway(text.as_bytes(), &[]).is_err(), "{kept}");
    }
}
