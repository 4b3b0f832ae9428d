//! Tests of reading and validating declarations and of looking up effective values.

use balsamjunction_settings::{
    diff, fleet::LookupContext, read_fleet, FaultReport, Fleet, PoolKind, ValueKey, ValueSource,
};
use proptest::prelude::*;

const VALID: &str = r#"{
    // Fleet-wide defaults.
    "defaults": {"max_concurrency": 16, "deadline_ms": 5000},
    "data_centres": {
        "addis-a": {"region": "addis"},
        "mekelle-a": {"region": "mekelle", "in_service": false},
    },
    "pools": {
        "deck-model": {
            "kind": "engine",
            "version": "v1",
            "routes": [
                {"prefix": "/v1", "repeatable": true},
                {"prefix": "/v1/release", "repeatable": false},
            ],
            "upstreams": [
                {"host": "h1", "data_centre": "addis-a", "sidecar": "10.0.0.1:7000"},
                {"host": "h2", "data_centre": "mekelle-a", "sidecar": "10.0.0.2:7000"},
            ],
        },
    },
    "workspaces": ["selam"],
    "exceptions": [
        {
            "name": "small-host",
            "reason": "half of its accelerators are broken",
            "host": "h1",
            "set": {"max_concurrency": 4},
        },
        {
            "name": "slow-pool",
            "reason": "its prompts are long",
            "pool": "deck-model",
            "set": {"deadline_ms": 9000, "max_concurrency": 12},
        },
    ],
}"#;

fn valid() -> Fleet {
    read_fleet(VALID.as_bytes()).expect("the fixture is valid")
}

/// Replaces `old` by `new` in the valid declaration and returns the faults, one line each.
fn faults(old: &str, new: &str) -> Vec<String> {
    assert!(VALID.contains(old), "the fixture has no {old}");
    let text = VALID.replacen(old, new, 1);
    let report = read_fleet(text.as_bytes()).expect_err("the replacement is a fault");
    report.lines("fleet.jsonc").collect()
}

fn one_fault(old: &str, new: &str) -> String {
    let mut faults = faults(old, new);
    assert_eq!(faults.len(), 1, "{faults:?}");
    faults.remove(0)
}

fn context_of_host(name: &str) -> LookupContext {
    let fleet = valid();
    let (pool, upstream) = fleet.upstream_on_host(name).expect("the host is declared");
    fleet.lookup_context(pool, upstream)
}

#[test]
fn a_valid_declaration_is_read_with_comments_and_trailing_commas() {
    let fleet = valid();

    let pool = &fleet.pools["deck-model"];
    assert_eq!(pool.kind, PoolKind::Engine);
    assert_eq!(pool.upstreams.len(), 2);
    assert_eq!(fleet.exceptions.len(), 2);
}

#[test]
fn the_example_declaration_is_valid() {
    let example = include_str!("../../../examples/fleet.jsonc");

    let fleet = read_fleet(example.as_bytes()).expect("the example is valid");

    assert_eq!(fleet.pools.len(), 2);
}

#[test]
fn the_longest_matching_prefix_decides_whether_a_request_is_repeatable() {
    let fleet = valid();
    let pool = &fleet.pools["deck-model"];

    assert!(pool.is_repeatable("/v1/generate"));
    assert!(!pool.is_repeatable("/v1/release/7"));
    assert!(!pool.is_repeatable("/other"));
}

#[test]
fn the_most_specific_exception_determines_the_value_and_its_reason() {
    let explained = valid().resolve(ValueKey::MaxConcurrency, &context_of_host("h1"));

    assert_eq!(explained.value, 4);
    let reason = "half of its accelerators are broken".into();
    let name = "small-host".into();
    assert_eq!(explained.source, ValueSource::Exception { name, reason });
}

#[test]
fn without_an_exception_the_declared_default_and_then_the_built_in_one_applies() {
    let fleet = valid();
    let no_scope = LookupContext::default();

    let declared = fleet.resolve(ValueKey::MaxConcurrency, &no_scope);
    let built_in = fleet.resolve(ValueKey::QueueLength, &no_scope);

    assert_eq!(
        (declared.value, declared.source),
        (16, ValueSource::Default)
    );
    assert_eq!(
        (built_in.value, built_in.source),
        (64, ValueSource::BuiltIn)
    );
}

#[test]
fn a_data_centre_out_of_service_takes_its_hosts_out_of_service() {
    let fleet = valid();
    let pool = "deck-model".into();
    let upstreams = &fleet.pools["deck-model"].upstreams;

    assert!(fleet.in_service(&pool, &upstreams[0]));
    assert!(!fleet.in_service(&pool, &upstreams[1]));
}

#[test]
fn all_faults_are_reported_at_once_in_document_order() {
    let text = VALID
        .replacen("\"deadline_ms\": 5000", "\"deadline_ms\": 0", 1)
        .replacen("\"region\": \"addis\"", "\"regoin\": \"addis\"", 1)
        .replacen("10.0.0.2:7000", "store.example:7000", 1);
    let report = read_fleet(text.as_bytes()).expect_err("there are faults");

    let lines: Vec<String> = report.lines("f").collect();

    assert_eq!(lines.len(), 4, "{lines:#?}");
    assert!(lines[0].starts_with("f:3:"), "{}", lines[0]);
    assert!(lines[0].contains("use 1 to 3600000 milliseconds"));
    assert!(lines.iter().any(|l| l.contains("did you mean \"region\"?")));
    assert!(lines
        .iter()
        .any(|l| l.contains("field \"region\" is missing")));
    assert!(lines[3].contains("IP address and port"));
}

#[test]
fn an_exception_without_a_reason_is_rejected() {
    let absent = one_fault("\"reason\": \"its prompts are long\",", "");
    let blank = one_fault("its prompts are long", "  ");

    for fault in [absent, blank] {
        assert!(
            fault.contains("exception \"slow-pool\" has no written reason"),
            "{fault}"
        );
    }
}

#[test]
fn two_exceptions_for_the_same_value_and_scope_are_rejected() {
    let fault = one_fault(
        "\"host\": \"h1\",\n            \"set\"",
        "\"pool\": \"deck-model\",\n            \"set\"",
    );

    assert!(
        fault.contains("both set \"max_concurrency\" for pool \"deck-model\""),
        "{fault}"
    );
}

#[test]
fn a_host_that_is_declared_twice_is_rejected() {
    let fault = one_fault("\"host\": \"h2\"", "\"host\": \"h1\"");

    assert!(fault.contains("host \"h1\" is declared twice"), "{fault}");
}

#[test]
fn an_exception_for_an_undeclared_pool_is_rejected_with_a_suggestion() {
    let fault = one_fault("\"pool\": \"deck-model\"", "\"pool\": \"deck-modle\"");

    assert!(fault.contains("did you mean \"deck-model\"?"), "{fault}");
}

#[test]
fn a_value_that_has_no_effect_in_its_scope_is_rejected() {
    let fault = one_fault(
        "\"set\": {\"max_concurrency\": 4}",
        "\"set\": {\"retry_percent\": 4}",
    );

    assert!(fault.contains("cannot be set for a host"), "{fault}");
}

#[test]
fn a_duplicate_field_is_rejected() {
    let fault = one_fault(
        "\"kind\": \"engine\",",
        "\"kind\": \"engine\", \"kind\": \"service\",",
    );

    assert!(
        fault.contains("field \"kind\" is declared twice"),
        "{fault}"
    );
}

#[test]
fn a_cold_concurrency_above_the_warm_one_is_rejected() {
    let fault = one_fault(
        "\"max_concurrency\": 16",
        "\"max_concurrency\": 16, \"cold_concurrency\": 17",
    );

    assert!(
        fault.contains("\"cold_concurrency\" is 17 but \"max_concurrency\" is 16"),
        "{fault}"
    );
}

#[test]
fn a_syntax_fault_has_its_position() {
    let faults = faults(
        "\"workspaces\": [\"selam\"],",
        "\"workspaces\": [\"selam\" oops],",
    );

    assert!(faults[0].starts_with("fleet.jsonc:2"), "{faults:?}");
}

fn rejected(buf: &[u8]) -> FaultReport {
    read_fleet(buf).expect_err("the document is faulty")
}

#[test]
fn a_document_over_the_length_limit_is_rejected() {
    let text = format!("{VALID}{}", " ".repeat(1024 * 1024));

    let report = rejected(text.as_bytes());

    assert!(report
        .to_string()
        .contains("shorten it to at most 1048576 bytes"));
}

#[test]
fn invalid_utf8_is_rejected_with_its_position() {
    let report = rejected(b"{\n \"defaults\": \"\xff\"}");

    let lines: Vec<String> = report.lines("f").collect();
    assert_eq!(
        lines,
        ["f:2:15: error: byte 0xff is not UTF-8; save the file as UTF-8"]
    );
}

#[test]
fn a_diff_lists_exactly_the_changed_entries() {
    let old = valid();
    let text = VALID
        .replacen("\"version\": \"v1\"", "\"version\": \"v2\"", 1)
        .replacen(", \"in_service\": false", "", 1);
    let new = read_fleet(text.as_bytes()).expect("the change is valid");

    let changes = diff(&old, &new);

    let paths: Vec<&str> = changes.iter().map(|c| c.path.as_str()).collect();
    assert_eq!(
        paths,
        [
            "data_centres/mekelle-a/in_service",
            "pools/deck-model/version"
        ]
    );
    assert_eq!(changes[1].old.as_deref(), Some("v1"));
    assert_eq!(changes[1].new.as_deref(), Some("v2"));
    assert!(diff(&old, &old).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_do_not_make_the_reader_panic(buf in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(read_fleet(&buf).is_err());
    }

    #[test]
    fn a_damaged_declaration_is_accepted_or_rejected_with_positions(index in 0_usize..1200, byte: u8) {
        let mut buf = VALID.as_bytes().to_vec();
        let index = index % buf.len();
        buf[index] = byte;
        if let Err(report) = read_fleet(&buf) {
            prop_assert!(!report.faults.is_empty());
            prop_assert!(report.faults.iter().all(|f| f.position.line >= 1 && f.position.column >= 1));
        }
    }
}

// Guards against a stack overflow in the recursive parser.
#[test]
fn a_deeply_nested_document_is_rejected_with_one_fault_and_its_position() {
    let deep = format!("{{\"defaults\":{}", "[".repeat(100_000));

    let report = read_fleet(deep.as_bytes()).expect_err("the nesting is too deep");

    let lines: Vec<String> = report.lines("f.jsonc").map(|l| l.to_string()).collect();
    assert_eq!(lines.len(), 1);
    assert!(
        lines[0].contains("f.jsonc:1:76: error: values are nested"),
        "{lines:?}"
    );
}
