//! `weights`: which host serves and fetches which version.

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

/// How often the bar is redrawn.
const REDRAW: Duration = Duration::from_millis(500);
/// The bar, with the time left.
const BAR: &str = "{bar:40} {pos}/{len} chunks, {msg}, {eta} left";

/// Writes a line for each host of an engine pool, and draws a bar on a terminal.
pub async fn run(
    entry: SocketAddr,
    watch: bool,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CliError> {
    let remote = FleetClient::default();
    let started = Instant::now();
    let bar = bar(watch && !json);
    loop {
        let (_, processes) = remote.fleet(entry).await?;
        let engines: Vec<&ProcessStatus> =
            processes.iter().filter(|p| versions(p).is_some()).collect();
        let done = engines.iter().all(|p| versions(p).is_some_and(settled));
        draw(&bar, &engines);
        if watch && !done {
            actix_rt::time::sleep(REDRAW).await;
            continue;
        }
        bar.finish_and_clear();
        return write(&engines, started, json, out);
    }
}

/// A bar that shows only where somebody looks.
fn bar(wanted: bool) -> ProgressBar {
    if !wanted || !stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template(BAR);
    ProgressBar::new(0).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn versions(process: &ProcessStatus) -> Option<&VersionStatus> {
    let status = process.status.as_ref()?;
    status.versions.target.as_ref().map(|_| &status.versions)
}

fn settled(versions: &VersionStatus) -> bool {
    versions.serving == versions.target
}

fn draw(bar: &ProgressBar, engines: &[&ProcessStatus]) {
    let all = || engines.iter().filter_map(|p| versions(p));
    let moving = || all().filter(|v| !settled(v));
    let serving = all().filter(|v| settled(v)).count();
    bar.set_length(moving().map(|v| u64::from(v.chunks_total)).sum());
    bar.set_position(moving().map(|v| u64::from(v.chunks_stored)).sum());
    bar.set_message(format!("{serving} of {} hosts serve", engines.len()));
}

fn write(
    engines: &[&ProcessStatus],
    started: Instant,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CliError> {
    if json {
        let hosts: Vec<_> = engines
            .iter()
            .map(|p| json!({"host": p.host, "data_centre": p.data_centre, "versions": versions(p)}))
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
        let Some(v) = versions(process) else {
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
    writeln!(out, "read in {:.1} s", started.elapsed().as_secs_f64())?;
    Ok(())
}
