//! The `saltpitch` program: a cluster scheduler for small sites.

mod agents;
mod api;
mod backoff;
mod cells;
mod cli;
mod clock;
mod cloud;
mod cloud_sync;
mod command_log;
mod connection_limit;
mod effects;
mod fresh_reads;
mod http;
mod job_lookups;
mod leadership;
mod mutex;
mod node;
mod peer;
mod peer_link;
mod rate_shares;
mod record_sync;
mod responses;
mod server;
mod settings;
mod store;
mod users;
mod wire;

use std::process::ExitCode;

use clap::Parser;

use crate::cells::command::{self, CommandError};
use crate::cli::{Arguments, Command, SettingsFiles};

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("saltpitch: {error:#}");
            error
                .downcast_ref::<CommandError>()
                .map_or(ExitCode::FAILURE, |error| ExitCode::from(error.exit_code()))
        }
    }
}

fn run(arguments: Arguments) -> anyhow::Result<()> {
    match arguments.command {
        Command::Serve(files) => serve(&files),
        Command::Check(files) => check(&files),
        Command::Cells { config, command } => {
            build_runtime()?.block_on(command::run(&config, &command))?;
            Ok(())
        }
    }
}

fn serve(files: &SettingsFiles) -> anyhow::Result<()> {
    let settings = files.load()?;
    start_logging();
    for warning in settings.warnings() {
        tracing::info!("settings: {warning}");
    }
    build_runtime()?.block_on(server::serve(settings))
}

fn check(files: &SettingsFiles) -> anyhow::Result<()> {
    let settings = files.load()?;
    println!(
        "{}: node {} in {}, {} peers, {} teams, {} zones: ok",
        files.config.display(),
        settings.node,
        settings.zone,
        settings.peers.len(),
        settings.teams.len(),
        settings.zones.len()
    );
    println!("store: {}", settings.store);
    if let Some(cells) = &settings.cells {
        let peer_cells: Vec<&str> = cells
            .neighbour
            .iter()
            .map(|neighbour| neighbour.name.as_str())
            .collect();
        println!("cell {}: neighbours {}", cells.cell, peer_cells.join(", "));
    }
    for warning in settings.warnings() {
        println!("warning: {warning}");
    }
    Ok(())
}

/// Builds a single-threaded runtime: all tasks share the state machine, and otherwise they wait for I/O.
fn build_runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

/// Starts logging to standard error at the level in `LOG_LEVEL`: `error`, `info` or `debug`. The level is `info`
/// if the variable is unset or has another value.
fn start_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => tracing::Level::ERROR,
        Ok("debug") => tracing::Level::DEBUG,
        _ => tracing::Level::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .init();
}
