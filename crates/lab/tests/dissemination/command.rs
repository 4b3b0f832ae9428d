//! The command line of the experiment.

use balsamjunction_lab::{
    cli,
    options::{Command, DisseminationFault, DisseminationOptions, Experiment, GatewayCounts},
};

fn parse(args: &[&str]) -> Result<Command, String> {
    let args = ["balsamjunction-lab", "dissemination"]
        .iter()
        .chain(args)
        .map(Into::into);
    let parsed = cli::parse(args).and_then(Command::from_args);
    parsed.map_err(|e| e.to_string())
}

fn options(args: &[&str]) -> DisseminationOptions {
    match parse(args) {
        Ok(Command::Experiment(Experiment::Dissemination(options), _)) => options,
        other => panic!("{args:?} gives {other:?}"),
    }
}

#[test]
fn without_options_it_simulates_the_links_of_the_bench() {
    let options = options(&[]);

    assert_eq!(options.gateways, GatewayCounts(vec![14, 24, 35, 100, 300]));
    assert_eq!((options.regions, options.bytes), (3, 1 << 20));
    assert_eq!(options.host_rate, 28_000_000);
    assert_eq!(options.region_rate, 26_000_000);
    assert_eq!(options.fault, DisseminationFault::None);
}

#[test]
fn the_whole_declaration_is_as_large_as_the_change_unless_stated() {
    assert_eq!(options(&["--bytes", "4096"]).whole_bytes, 4_096);
    let both = options(&["--bytes", "4096", "--whole-bytes", "9000"]);
    assert_eq!((both.bytes, both.whole_bytes), (4_096, 9_000));
}

// Guards against options that make the simulation divide by zero, run out of memory or never end.
#[test]
fn values_out_of_range_are_refused_by_name() {
    for (option, value) in [
        ("--gateways", "0"),
        ("--gateways", "24,"),
        ("--gateways", "1001"),
        ("--regions", "0"),
        ("--regions", "101"),
        ("--bytes", "0"),
        ("--host-kbit", "0"),
        ("--region-kbit", "99"),
        ("--loss", "100"),
        ("--fault", "fire"),
    ] {
        let error = parse(&[option, value]).expect_err(value);

        assert!(error.contains(option), "{error}");
    }
}
