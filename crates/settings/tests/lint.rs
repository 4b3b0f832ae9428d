//! Warnings about valid declarations, and the effects of changes.

use balsamjunction_settings::{effects, lint_fleet, read_fleet, Fleet};
use proptest::prelude::*;

const VALID: &str = r#"{
    "defaults": {"max_concurrency": 16},
    "data_centres": {"addis-a": {"region": "addis"}, "mekelle-a": {"region": "mekelle"}},
    "pools": {
        "deck-model": {
            "kind": "engine",
            "version": "v1",
            "routes": [{"prefix": "/v1", "repeatable": true}, {"prefix": "/v1/buy", "repeatable": false}],
            "upstreams": [
                {"host": "h1", "data_centre": "addis-a", "sidecar": "10.0.0.1:7000"},
                {"host": "h2", "data_centre": "mekelle-a", "sidecar": "10.0.0.2:7000"}
            ]
        },
        "desk": {
            "kind": "service",
            "routes": [],
            "upstreams": [{"host": "d1", "data_centre": "addis-a", "sidecar": "10.0.0.3:7000"}]
        }
    },
    "workspaces": ["selam"],
    "exceptions": [
        {"name": "old", "reason": "an old machine", "host": "h1", "set": {"max_concurrency": 2}}
    ]
}"#;

/// The valid declaration with `old` replaced by `new`.
fn changed(old: &str, new: &str) -> String {
    assert!(VALID.contains(old), "the fixture has no {old}");
    VALID.replacen(old, new, 1)
}

fn fleet(text: &str) -> Fleet {
    read_fleet(text.as_bytes()).expect("the declaration is valid")
}

fn warnings(text: &str) -> Vec<String> {
    let (_, warnings) = lint_fleet(text.as_bytes()).expect("the declaration is valid");
    warnings.iter().map(ToString::to_string).collect()
}

fn one_warning(old: &str, new: &str) -> String {
    let mut warnings = warnings(&changed(old, new));
    assert_eq!(warnings.len(), 1, "{warnings:?}");
    warnings.remove(0)
}

/// The text of `set` with another exception before it.
fn exception(scope: &str, set: &str) -> String {
    format!(
        "\"exceptions\": [\n{{\"name\": \"new\", \"reason\": \"x\", {scope}, \"set\": {{{set}}}}},"
    )
}

fn effects_of(text: &str) -> Vec<String> {
    let effects = effects(&fleet(VALID), &fleet(text)).into_iter();
    effects
        .map(|effect| format!("{}: {}", effect.change.path, effect.effect))
        .collect()
}

#[test]
fn sound_declarations_have_no_warnings() {
    let example = include_str!("../../../examples/fleet.jsonc");

    assert_eq!(warnings(VALID), Vec::<String>::new());
    assert_eq!(warnings(example), Vec::<String>::new());
}

#[test]
fn a_route_that_decides_nothing_is_named_at_its_position() {
    let redundant = "\"prefix\": \"/v1/buy\", \"repeatable\": true";

    let warning = one_warning("\"prefix\": \"/v1/buy\", \"repeatable\": false", redundant);

    assert!(
        warning.starts_with("8:63: warning: route \"/v1/buy\""),
        "{warning}"
    );
    assert!(warning.contains("\"/v1\" decides the same"), "{warning}");
}

#[test]
fn pools_that_cannot_serve_are_named() {
    let out = warnings(&changed(
        "\"region\": \"addis\"",
        "\"region\": \"addis\", \"in_service\": false",
    ));
    let empty = one_warning(
        "[{\"host\": \"d1\", \"data_centre\": \"addis-a\", \"sidecar\": \"10.0.0.3:7000\"}]",
        "[]",
    );

    // The engine in the other data centre is the only one that is left.
    assert_eq!(out.len(), 2, "{out:?}");
    assert!(out[0].contains("\"deck-model\" has only one engine in service"));
    assert!(out[1].contains("no upstream of pool \"desk\" is in service, of 1 declared"));
    assert!(
        empty.starts_with("14:17: warning: pool \"desk\" has no upstream"),
        "{empty}"
    );
}

#[test]
fn an_engine_that_is_alone_is_reported_since_it_switches() {
    let second = ",\n                {\"host\": \"h2\", \"data_centre\": \"mekelle-a\", \"sidecar\": \"10.0.0.2:7000\"}";

    let warning = one_warning(second, "");

    assert!(
        warning.contains("no request is served while it switches"),
        "{warning}"
    );
}

#[test]
fn values_that_never_apply_are_named_with_the_reason() {
    let cases = [
        (
            "\"pool\": \"desk\"",
            "\"turnover_percent\": 10",
            "only engines switch versions",
        ),
        (
            "\"pool\": \"desk\"",
            "\"retry_percent\": 10",
            "no route of pool \"desk\" is repeatable",
        ),
        ("\"host\": \"d1\"", "", "sets nothing"),
        (
            "\"pool\": \"desk\"",
            "\"repeat_window_ms\": 20000",
            "\"deadline_ms\" is 30000",
        ),
        (
            "\"pool\": \"deck-model\"",
            "\"cold_concurrency\": 3",
            "on host \"h1\" \"cold_concurrency\" is 3",
        ),
    ];
    for (scope, set, expected) in cases {
        let warning = one_warning("\"exceptions\": [", &exception(scope, set));

        assert!(warning.contains(expected), "{warning}");
    }
    let overridden = changed(
        "\"exceptions\": [",
        &exception("\"pool\": \"desk\"", "\"max_concurrency\": 3"),
    );
    let overridden = overridden.replace("\"host\": \"h1\", \"set\"", "\"host\": \"d1\", \"set\"");
    let unused = changed("\"mekelle-a\", \"sidecar\"", "\"addis-a\", \"sidecar\"");
    let unused = unused.replace(
        "\"exceptions\": [",
        &exception("\"data_centre\": \"mekelle-a\"", "\"bulk_percent\": 50"),
    );
    assert!(warnings(&overridden)[0].contains("a more specific exception sets it"));
    assert!(warnings(&unused)[0].contains("no upstream is in its scope"));
}

#[test]
fn a_version_of_a_service_is_reported() {
    let warning = one_warning(
        "\"kind\": \"service\",",
        "\"kind\": \"service\", \"version\": \"v7\",",
    );

    assert!(
        warning.contains("\"version\" has no effect for pool \"desk\""),
        "{warning}"
    );
}

#[test]
fn each_change_has_its_effect() {
    let cases = [
        (
            "\"version\": \"v1\"",
            "\"version\": \"v2\"",
            "its 2 engines fetch the weights of v2",
        ),
        (
            "{\"region\": \"mekelle\"}",
            "{\"region\": \"mekelle\", \"in_service\": false}",
            "no new requests to its 1 upstream;",
        ),
        (
            "{\"region\": \"mekelle\"}",
            "{\"region\": \"tigray\"}",
            "count as part of region tigray",
        ),
        // One of three hosts has an exception.
        (
            "\"max_concurrency\": 16",
            "\"max_concurrency\": 9",
            "max_concurrency of 2 hosts: 16 -> 9 requests",
        ),
        (
            "\"max_concurrency\": 2",
            "\"max_concurrency\": 5",
            "max_concurrency of 1 host: 2 -> 5 requests",
        ),
        (
            "\"an old machine\"",
            "\"a slow machine\"",
            "none; explain shows the reason",
        ),
        (
            "{\"prefix\": \"/v1\", \"repeatable\": true}",
            "{\"prefix\": \"/v1\", \"repeatable\": false}",
            "run at most once",
        ),
        (
            "\"sidecar\": \"10.0.0.3:7000\"",
            "\"sidecar\": \"10.0.0.9:7000\"",
            "requests to d1 go to addis-a at 10.0.0.9:7000",
        ),
        (
            "\"host\": \"d1\"",
            "\"host\": \"d2\"",
            "d2 receives requests of the pool",
        ),
        (
            "[\"selam\"]",
            "[\"selam\", \"awash\"]",
            "exceptions may refer to it",
        ),
    ];
    for (old, new, expected) in cases {
        let effects = effects_of(&changed(old, new));

        assert!(
            effects.iter().any(|effect| effect.contains(expected)),
            "{effects:?}"
        );
    }
    assert!(effects_of(VALID).is_empty());
}

// Guards against a default that is said to change what exceptions keep as it is.
#[test]
fn a_change_that_changes_no_effective_value_says_so() {
    let redundant = exception("\"host\": \"d1\"", "\"max_concurrency\": 16");

    let effects = effects_of(&changed("\"exceptions\": [", &redundant));

    let value = effects
        .iter()
        .find(|effect| effect.contains("set/max_concurrency"));
    assert!(
        value.is_some_and(|effect| effect.contains("none; what applied before")),
        "{effects:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Names are free text, so whatever they contain, every change has an effect and nothing panics.
    #[test]
    fn any_name_of_an_exception_has_its_effects(name in "[a-z/]{1,12}", value in 1_u64..64) {
        let text = changed("\"name\": \"old\"", &format!("\"name\": \"{name}\""));
        let text = text.replace("\"max_concurrency\": 2", &format!("\"max_concurrency\": {value}"));

        let effects = effects_of(&text);

        prop_assert!(effects.iter().all(|effect| !effect.contains("unknown")), "{effects:?}");
        // What is acceptable to check is what processes accept.
        prop_assert!(lint_fleet(text.as_bytes()).is_ok());
    }

    /// Broken text is reported with the same faults as processes report, and never panics.
    #[test]
    fn faults_are_those_of_the_processes(cut in 0_usize..1_200) {
        let text: String = VALID.chars().take(cut).collect();

        prop_assert_eq!(lint_fleet(text.as_bytes()).map(|(fleet, _)| fleet), read_fleet(text.as_bytes()));
    }
}
