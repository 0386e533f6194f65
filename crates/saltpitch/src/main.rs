//! saltpitch: a cluster scheduler for small sites.

mod agents;
mod api;
mod cells;
mod clock;
mod cloud;
mod cloud_sync;
mod connection_limit;
mod effects;
mod fresh_reads;
mod http;
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

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::cells::command::{self, CellsCommand, CommandError};

#[derive(Parser)]
#[command(
    name = "saltpitch",
    version,
    about = "A cluster scheduler for small sites"
)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one controller until it is killed.
    Serve {
        /// The platform's settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' policy file; the built-in policy if there is none.
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
        /// The operators' file on other cells; work stays in this cell if there is none.
        #[arg(long, value_name = "FILE")]
        cells: Option<PathBuf>,
    },
    /// Checks a settings file and says what it holds.
    Check {
        /// The platform's settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' policy file; the built-in policy if there is none.
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
        /// The operators' file on other cells.
        #[arg(long, value_name = "FILE")]
        cells: Option<PathBuf>,
    },
    /// Shows what other cells have of this cell's work, and gives a lost cell up.
    Cells {
        /// The platform's settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        #[command(subcommand)]
        command: CellsCommand,
    },
}

fn main() -> ExitCode {
    match run(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("saltpitch: {e:#}");
            let command = e.downcast_ref::<CommandError>();
            command.map_or(ExitCode::FAILURE, |e| ExitCode::from(e.exit_code()))
        }
    }
}

fn run(args: Args) -> anyhow::Result<()> {
    match args.command {
        Command::Check {
            config,
            policy,
            cells,
        } => {
            let s = settings::Settings::load(&config, policy.as_deref(), cells.as_deref())?;
            println!(
                "{}: node {} in {}, {} peers, {} teams, {} zones: ok",
                config.display(),
                s.node,
                s.zone,
                s.peers.len(),
                s.teams.len(),
                s.zones.len()
            );
            println!("store: {}", s.store);
            if let Some(cells) = &s.cells {
                let others: Vec<&str> = cells.neighbour.iter().map(|n| n.name.as_str()).collect();
                println!("cell {}: neighbours {}", cells.cell, others.join(", "));
            }
            for warning in s.warnings() {
                println!("warning: {warning}");
            }
            Ok(())
        }
        Command::Serve {
            config,
            policy,
            cells,
        } => {
            let s = settings::Settings::load(&config, policy.as_deref(), cells.as_deref())?;
            start_log();
            for warning in s.warnings() {
                tracing::info!("settings: {warning}");
            }
            runtime()?.block_on(server::serve(s))
        }
        Command::Cells { config, command } => {
            runtime()?.block_on(command::run(&config, &command))?;
            Ok(())
        }
    }
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

/// Logs to standard error at the level that LOG_LEVEL names; `info` when it names none.
fn start_log() {
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
