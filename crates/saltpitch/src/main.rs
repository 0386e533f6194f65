//! saltpitch: a cluster scheduler for small sites.

mod api;
mod bounded;
mod budget;
mod clock;
mod cloud;
mod http;
mod lead;
mod node;
mod peer;
mod settings;
mod store;
mod sync;
mod users;
mod wire;
mod workers;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

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
    },
    /// Checks a settings file and says what it holds.
    Check {
        /// The platform's settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' policy file; the built-in policy if there is none.
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    match run(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("saltpitch: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> anyhow::Result<()> {
    match args.command {
        Command::Check { config, policy } => {
            let s = settings::Settings::load(&config, policy.as_deref())?;
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
            for warning in s.warnings() {
                println!("warning: {warning}");
            }
            Ok(())
        }
        Command::Serve { config, policy } => {
            let s = settings::Settings::load(&config, policy.as_deref())?;
            start_log();
            for warning in s.warnings() {
                tracing::info!("settings: {warning}");
            }
            tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?
                .block_on(node::serve(s))
        }
    }
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
