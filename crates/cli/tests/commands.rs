//! Tests of the built tool: exit codes, positions of faults, JSON output and suggestions.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use serde_json::Value;

const VALID: &str = r#"{
    "defaults": {"max_concurrency": 16},
    "data_centres": {"addis-a": {"region": "addis"}},
    "pools": {
        "desk": {
            "kind": "service",
            "upstreams": [{"host": "h1", "data_centre": "addis-a", "sidecar": "10.0.0.1:7000"}]
        }
    },
    "workspaces": ["selam"],
    "exceptions": [
        {"name": "old", "reason": "an old machine", "host": "h1", "set": {"max_concurrency": 2}}
    ]
}"#;

/// A temporary file that is removed when dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("balsamjunction-cli-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).expect("the file can be written");
        Self(path)
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn run_tool(args: &[&str]) -> Output {
    let mut tool = Command::new(env!("CARGO_BIN_EXE_balsamjunction"));
    tool.args(args).output().expect("the tool runs")
}

/// Runs `command` on `file`, followed by the arguments `rest`.
fn run_on_file(command: &str, file: &TempFile, rest: &[&str]) -> Output {
    let path = file.path().to_str().expect("the path is text");
    let mut args = vec![command, path];
    args.extend(rest);
    run_tool(&args)
}

fn text(buf: &[u8]) -> String {
    String::from_utf8_lossy(buf).into_owned()
}

fn json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("the output is one JSON object")
}

#[test]
fn check_of_a_valid_declaration_exits_with_zero() {
    let file = TempFile::new("valid", VALID);

    let output = run_on_file("check", &file, &[]);

    assert_eq!(output.status.code(), Some(0));
    assert!(text(&output.stdout).contains("valid, 1 data centres, 1 pools"));
}

#[test]
fn faults_go_to_standard_error_with_file_line_and_column() {
    let file = TempFile::new("faulty", &VALID.replace("\"service\"", "\"sevrice\""));

    let output = run_on_file("check", &file, &[]);

    let expected = format!("{}:6:13: error: field \"kind\"", file.path().display());
    assert_eq!(output.status.code(), Some(1));
    assert!(
        text(&output.stderr).starts_with(&expected),
        "{}",
        text(&output.stderr)
    );
    assert!(output.stdout.is_empty());
}

#[test]
fn faults_are_listed_in_json() {
    let file = TempFile::new("faulty-json", &VALID.replace("\"service\"", "\"sevrice\""));

    let output = run_on_file("check", &file, &["--json"]);

    let faults = json(&output);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(faults["valid"], false);
    assert_eq!(faults["faults"][0]["line"], 6);
}

#[test]
fn diff_shows_each_change() {
    let old = TempFile::new("old", VALID);
    let new = TempFile::new(
        "new",
        &VALID.replace("\"max_concurrency\": 16", "\"max_concurrency\": 9"),
    );

    let output = run_on_file(
        "diff",
        &old,
        &[new.path().to_str().expect("the path is text")],
    );

    assert_eq!(
        text(&output.stdout),
        "~ defaults/max_concurrency: 16 -> 9\n"
    );
}

#[test]
fn explain_shows_the_exception_and_its_reason() {
    let file = TempFile::new("explain", VALID);

    let plain = run_on_file("explain", &file, &["--host", "h1"]);
    let structured = run_on_file(
        "explain",
        &file,
        &["--host", "h1", "--workspace", "selam", "--json"],
    );

    assert!(text(&plain.stdout).contains("by exception \"old\": an old machine"));
    let value = &json(&structured)["values"]["max_concurrency"];
    assert_eq!(value["value"], 2);
    assert_eq!(value["reason"], "an old machine");
}

#[test]
fn an_unknown_host_is_rejected_with_a_suggestion() {
    let file = TempFile::new("host", VALID);

    let output = run_on_file("explain", &file, &["--host", "h2"]);

    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("did you mean \"h1\"?"));
}

#[test]
fn incorrect_usage_exits_with_two() {
    let typo = run_tool(&["chekc", "x"]);
    let nothing = run_tool(&[]);
    let option = run_tool(&["check", "x", "--verbose"]);
    let address = run_tool(&["status", "--entry", "localhost:1"]);

    for output in [&typo, &nothing, &option, &address] {
        assert_eq!(output.status.code(), Some(2), "{}", text(&output.stderr));
    }
    assert!(text(&typo.stderr).contains("did you mean \"check\"?"));
}

#[test]
fn help_shows_examples() {
    let output = run_tool(&["--help"]);

    assert_eq!(output.status.code(), Some(0));
    assert!(text(&output.stdout).contains("balsamjunction check fleet.jsonc"));
}

#[test]
fn the_error_names_a_process_that_does_not_answer() {
    let output = run_tool(&["audit", "--entry", "127.0.0.1:1"]);

    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("127.0.0.1:1 does not answer"));
}

// Guards against a stream that a silent upstream ended and one that ran out of time being explained alike.
#[test]
fn explain_request_tells_the_causes_of_a_broken_stream_apart() {
    let explain = |name: &str, cause: &str, not_resumed: &str| {
        let line = format!(
            "{{\"at_ms\":7,\"event\":\"stream-broken\",\"id\":\"a1\",\"upstream\":\"u1\",\"last_event\":\"4\",\
             \"resumed\":false,\"cause\":\"{cause}\",\"not_resumed\":\"{not_resumed}\",\"detail\":\"timed out\"}}"
        );
        let file = TempFile::new(name, &line);
        let path = file.path().to_str().expect("the path is text").to_owned();
        text(&run_tool(&["explain-request", "a1", &path]).stdout)
    };

    let silent = explain("silent", "silent", "no-retry");
    let late = explain("late", "out-of-time", "out-of-time");

    assert!(silent.contains("sent nothing for too long"), "{silent}");
    assert!(silent.contains("the retry budget was used up"), "{silent}");
    assert!(
        late.contains("did not end before the request timed out"),
        "{late}"
    );
}

#[test]
fn check_lists_warnings_with_their_positions_and_still_exits_with_zero() {
    let empty = VALID.replace("\"set\": {\"max_concurrency\": 2}", "\"set\": {}");
    let file = TempFile::new("warnings", &empty);

    let plain = run_on_file("check", &file, &[]);
    let structured = run_on_file("check", &file, &["--json"]);

    let line = format!(
        "{}:12:9: warning: exception \"old\" sets nothing",
        file.path().display()
    );
    assert_eq!(plain.status.code(), Some(0));
    assert!(
        text(&plain.stdout).contains(&line),
        "{}",
        text(&plain.stdout)
    );
    let warning = &json(&structured)["warnings"][0];
    assert_eq!(
        (&warning["line"], &warning["column"]),
        (&12.into(), &9.into())
    );
}

#[test]
fn check_shows_the_effects_of_the_changes_to_the_active_declaration() {
    let active = TempFile::new("active", VALID);
    let next = VALID.replace("\"max_concurrency\": 2", "\"max_concurrency\": 4");
    let next = TempFile::new("next", &next);
    let path = active.path().to_str().expect("the path is text");

    let plain = run_on_file("check", &next, &["--active", path]);
    let structured = run_on_file("check", &next, &["--active", path, "--json"]);
    let unchanged = run_on_file("check", &active, &["--active", path]);

    let expected = "~ exceptions/old/set/max_concurrency: 2 -> 4\n    \
                    effect: max_concurrency of 1 host: 2 -> 4 requests\n";
    assert_eq!(plain.status.code(), Some(0));
    assert!(
        text(&plain.stdout).ends_with(expected),
        "{}",
        text(&plain.stdout)
    );
    let change = &json(&structured)["changes"][0];
    assert_eq!(change["path"], "exceptions/old/set/max_concurrency");
    assert_eq!(
        change["effect"],
        "max_concurrency of 1 host: 2 -> 4 requests"
    );
    assert!(text(&unchanged.stdout).contains("no changes to the active declaration"));
}

#[test]
fn check_rejects_an_active_declaration_that_cannot_be_read() {
    let file = TempFile::new("check-active", VALID);
    let faulty = TempFile::new("active-faulty", "{");
    let path = faulty.path().to_str().expect("the path is text");

    let invalid = run_on_file("check", &file, &["--active", path]);
    let missing = run_on_file("check", &file, &["--active", "/nonexistent/fleet.jsonc"]);
    let silent = run_on_file("check", &file, &["--entry", "127.0.0.1:1"]);
    let both = run_on_file(
        "check",
        &file,
        &["--entry", "127.0.0.1:1", "--active", path],
    );

    for output in [&invalid, &missing, &silent] {
        assert_eq!(output.status.code(), Some(1));
        assert!(output.stdout.is_empty());
    }
    assert!(text(&invalid.stderr).contains(path));
    assert!(text(&silent.stderr).contains("127.0.0.1:1 does not answer"));
    assert_eq!(both.status.code(), Some(2));
    assert!(text(&both.stderr).contains("--active and --entry exclude each other"));
}
