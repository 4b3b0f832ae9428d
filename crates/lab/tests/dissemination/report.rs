//! The report of the experiment and its plot.

use std::path::PathBuf;

use balsamjunction_lab::{
    experiment::{dissemination, ExperimentReport},
    options::{DisseminationFault, DisseminationOptions, GatewayCounts},
};

fn options() -> DisseminationOptions {
    DisseminationOptions {
        gateways: GatewayCounts(vec![1, 2, 9]),
        regions: 3,
        bytes: 100_000,
        whole_bytes: 100_000,
        host_rate: 28_000_000,
        region_rate: 26_000_000,
        loss_percent: 0,
        fault: DisseminationFault::None,
        seed: 1,
        svg: None,
    }
}

#[test]
fn the_table_has_a_row_for_each_fleet_and_way() {
    let report = dissemination::run(options()).expect("a report");

    let table = report.table().expect("a table");

    assert_eq!(table.matches("relay").count(), 3);
    assert_eq!(table.matches("push").count(), 3);
    assert!(report.requirements_met());
}

#[test]
fn every_fault_is_survived_by_the_others() {
    for fault in [
        DisseminationFault::KillReader,
        DisseminationFault::KillRoot,
        DisseminationFault::FreezeRoot,
    ] {
        let gateways = GatewayCounts(vec![9]);
        let report = dissemination::run(DisseminationOptions {
            gateways,
            fault,
            ..options()
        });

        assert!(report.expect("a report").requirements_met(), "{fault}");
    }
}

#[test]
fn the_plot_is_an_svg_with_a_curve_for_each_fleet_and_way() {
    let path = std::env::temp_dir().join(format!("dissemination-{}.svg", std::process::id()));

    dissemination::run(DisseminationOptions {
        svg: Some(path.clone()),
        ..options()
    })
    .expect("a report");

    let svg = std::fs::read_to_string(&path).expect("the plot");
    std::fs::remove_file(&path).expect("the plot can be removed");
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    let curves = svg.matches("stroke-width=\"3\"").count();
    assert!(curves >= 3, "{curves} curves of the relay");
    for gateways in [1, 2, 9] {
        assert!(svg.contains(&format!("{gateways} gateways")));
    }
}

#[test]
fn a_plot_that_cannot_be_written_is_an_error_that_names_the_file() {
    let path = PathBuf::from("/nonexistent/plot.svg");

    let error = dissemination::run(DisseminationOptions {
        svg: Some(path),
        ..options()
    })
    .expect_err("no such folder");

    assert!(error.to_string().contains("/nonexistent/plot.svg"));
}
