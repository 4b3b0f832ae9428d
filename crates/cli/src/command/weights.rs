//! `weights`: shows which version each host serves and fetches.

use std::{
    io::{stderr, IsTerminal, Write},
    net::SocketAddr,
    time::{Duration, Instant},
};

use balsamjunction_protocol::VersionStatus;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::json;

use crate::{
    error::CliError,
    fleet_client::{FleetClient, ProcessStatus},
};

/// Interval at which the progress bar is redrawn.
const REDRAW_INTERVAL: Duration = Duration::from_millis(500);
/// Template of the progress bar.
const BAR_TEMPLATE: &str = "{bar:40} {pos}/{len} chunks, {msg}, {eta} left";

/// Writes one line per host of an engine pool; `watch` first waits until every host serves its target
/// version, with a progress bar on a terminal.
pub async fn run(
    entry: SocketAddr,
    watch: bool,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CliError> {
    let remote = FleetClient::default();
    let started = Instant::now();
    let bar = progress_bar(watch && !json);
    loop {
        let (_, processes) = remote.fetch_fleet(entry).await?;
        let engines: Vec<&ProcessStatus> = processes
            .iter()
            .filter(|p| version_status(p).is_some())
            .collect();
        let done = engines
            .iter()
            .all(|p| version_status(p).is_some_and(is_up_to_date));
        update_bar(&bar, &engines);
        if watch && !done {
            actix_rt::time::sleep(REDRAW_INTERVAL).await;
            continue;
        }
        bar.finish_and_clear();
        return write_output(&engines, started, json, out);
    }
}

/// Creates the progress bar, hidden if standard error is not a terminal.
fn progress_bar(enabled: bool) -> ProgressBar {
    if !enabled || !stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template(BAR_TEMPLATE);
    ProgressBar::new(0).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// The versions of a process; absent unless it is a host of an engine pool with a target version.
fn version_status(process: &ProcessStatus) -> Option<&VersionStatus> {
    let status = process.status.as_ref()?;
    status.versions.target.as_ref().map(|_| &status.versions)
}

/// Whether the engine serves the target version.
fn is_up_to_date(versions: &VersionStatus) -> bool {
    versions.serving == versions.target
}

/// Updates the progress bar to the chunks of hosts that do not serve their target version yet.
fn update_bar(bar: &ProgressBar, engines: &[&ProcessStatus]) {
    let all = || engines.iter().filter_map(|p| version_status(p));
    let outdated = || all().filter(|v| !is_up_to_date(v));
    let serving = all().filter(|v| is_up_to_date(v)).count();
    bar.set_length(outdated().map(|v| u64::from(v.chunks_total)).sum());
    bar.set_position(outdated().map(|v| u64::from(v.chunks_stored)).sum());
    bar.set_message(format!("{serving} of {} hosts up to date", engines.len()));
}

fn write_output(
    engines: &[&ProcessStatus],
    started: Instant,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CliError> {
    if json {
        let hosts: Vec<_> = engines
            .iter()
            .map(|p| json!({"host": p.host, "data_centre": p.data_centre, "versions": version_status(p)}))
            .collect();
        writeln!(out, "{}", json!({ "hosts": hosts }))?;
        return Ok(());
    }
    writeln!(
        out,
        "{:<14} {:<20} {:<12} {:<12} {:<10} {:>12}",
        "data centre", "host", "serves", "wanted", "stage", "chunks"
    )?;
    for process in engines {
        let Some(v) = version_status(process) else {
            continue;
        };
        writeln!(
            out,
            "{:<14} {:<20} {:<12} {:<12} {:<10} {:>12}",
            process.data_centre,
            process.host,
            v.serving.as_deref().unwrap_or("-"),
            v.target.as_deref().unwrap_or("-"),
            v.stage,
            format!("{}/{}", v.chunks_stored, v.chunks_total),
        )?;
    }
    writeln!(out, "elapsed: {:.1} s", started.elapsed().as_secs_f64())?;
    Ok(())
}
