//! The command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

use crate::cells::command::CellsCommand;
use crate::settings::{Settings, SettingsError};

/// The program's arguments.
#[derive(Parser)]
#[command(
    name = "saltpitch",
    version,
    about = "A cluster scheduler for small sites"
)]
pub struct Arguments {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands of the program.
#[derive(Subcommand)]
pub enum Command {
    /// Runs one controller until it is killed.
    Serve(SettingsFiles),
    /// Checks the settings files and prints a summary of them.
    Check(SettingsFiles),
    /// Lists the jobs delegated to other cells, and takes jobs back from a cell that is lost.
    Cells {
        /// The platform's settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The command to run.
        #[command(subcommand)]
        command: CellsCommand,
    },
}

/// The files that hold a controller's settings.
#[derive(Args)]
pub struct SettingsFiles {
    /// The platform's settings file (JSON).
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// The operators' policy file; without it, the built-in policy applies.
    #[arg(long, value_name = "FILE")]
    pub policy: Option<PathBuf>,
    /// The operators' settings file on other cells (TOML); without it, no job is delegated.
    #[arg(long, value_name = "FILE")]
    pub cells: Option<PathBuf>,
}

impl SettingsFiles {
    /// Reads and checks the files.
    pub fn load(&self) -> Result<Settings, SettingsError> {
        Settings::load(&self.config, self.policy.as_deref(), self.cells.as_deref())
    }
}
