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
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What the program does.
#[derive(Subcommand)]
pub enum Command {
    /// Runs one controller until it is killed.
    Serve(SettingsFiles),
    /// Checks a settings file and prints what it holds.
    Check(SettingsFiles),
    /// Shows the jobs delegated to other cells, and takes them back from a cell that is lost.
    Cells {
        /// The platform's settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// What to do.
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
    /// The operators' policy file; the built-in policy if there is none.
    #[arg(long, value_name = "FILE")]
    pub policy: Option<PathBuf>,
    /// The operators' file on other cells; no job is delegated if there is none.
    #[arg(long, value_name = "FILE")]
    pub cells: Option<PathBuf>,
}

impl SettingsFiles {
    /// Reads and checks the files.
    pub fn load(&self) -> Result<Settings, SettingsError> {
        Settings::load(&self.config, self.policy.as_deref(), self.cells.as_deref())
    }
}
