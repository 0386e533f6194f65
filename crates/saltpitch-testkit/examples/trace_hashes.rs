//! Prints the fingerprint of seeded histories, to compare the behaviour of two versions of the code.
//!
//!     cargo run --release -p saltpitch-testkit --example trace_hashes > before
//!     # change the code without changing its behaviour
//!     cargo run --release -p saltpitch-testkit --example trace_hashes > after
//!     diff before after
//!
//! Each line names the history, its seed, its hash and how many events were recorded. The first hash
//! that differs tells which seed to replay in both versions. Options: `--site SEEDS` and `--cells SEEDS`
//! set how many seeds are played (24 and 8 by default), `--first SEED` sets the first one.

use std::process::ExitCode;

use saltpitch_testkit::histories::{play, play_cells};
use saltpitch_testkit::Faults;

/// The first seed of each kind of history, unless another one is given.
const FIRST_SEED: u64 = 600;
/// Seconds in which jobs are submitted and faults occur, and seconds until all must be done.
const BUSY_S: u64 = 120;
const QUIET_S: u64 = 400;

/// Which seeds of each kind are played.
struct Options {
    first: u64,
    site: u64,
    cells: u64,
}

fn parse_options(mut arguments: impl Iterator<Item = String>) -> Result<Options, String> {
    let mut options = Options {
        first: FIRST_SEED,
        site: 24,
        cells: 8,
    };
    while let Some(argument) = arguments.next() {
        let count = match argument.as_str() {
            "--first" => &mut options.first,
            "--site" => &mut options.site,
            "--cells" => &mut options.cells,
            _ => return Err(format!("unknown option {argument}")),
        };
        let value = arguments.next().and_then(|value| value.parse().ok());
        *count = value.ok_or_else(|| format!("{argument} takes a number"))?;
    }
    Ok(options)
}

fn main() -> ExitCode {
    let options = match parse_options(std::env::args().skip(1)) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("trace_hashes: {error}");
            return ExitCode::from(2);
        }
    };
    for seed in options.first..options.first + options.site {
        match play(seed, Faults::all(), BUSY_S, QUIET_S) {
            Ok(simulation) => {
                let (hash, events) = (simulation.fingerprint(), simulation.trace.events());
                println!("site {seed} {hash:016x} {events}");
            }
            Err(error) => println!("site {seed} {error}"),
        }
    }
    for seed in options.first..options.first + options.cells {
        match play_cells(seed, Faults::all()) {
            Ok(cells) => {
                let (hash, calls) = (cells.fingerprint(), cells.calls);
                println!("cells {seed} {hash:016x} {calls}");
            }
            Err(error) => println!("cells {seed} {error}"),
        }
    }
    ExitCode::SUCCESS
}
