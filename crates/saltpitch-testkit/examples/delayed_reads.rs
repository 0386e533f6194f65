//! Plays histories in which reads of the records take time, and prints what each of them found.
//!
//!     cargo run --release -p saltpitch-testkit --example delayed_reads -- FIRST_SEED SEEDS [all]
//!
//! With `all`, every other kind of fault occurs as well. The last lines have the counts of all histories together, and
//! how many of them broke an invariant.

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use saltpitch_testkit::histories::play_delayed_reads;
use saltpitch_testkit::{Faults, ReadCounts};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize| arguments.get(index).and_then(|text| text.parse().ok());
    let (Some(first), Some(seeds)) = (number(0), number(1)) else {
        eprintln!("usage: delayed_reads FIRST_SEED SEEDS [all]");
        return ExitCode::from(2);
    };
    let faults = match arguments.get(2).map(String::as_str) {
        Some("all") => Faults::all(),
        _ => Faults::default(),
    };
    let (total, failed) = play_all(first, seeds, faults);
    println!("all: {total:?}");
    println!("{failed} of {seeds} histories broke an invariant");
    ExitCode::from(u8::from(failed > 0))
}

/// Plays the histories on all processors. Returns what happened to the reads, and how many broke an invariant.
fn play_all(first: u64, seeds: u64, faults: Faults) -> (ReadCounts, u64) {
    let total = Mutex::new(ReadCounts::default());
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let (next, failed) = (AtomicU64::new(first), AtomicU64::new(0));
    let play_next = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= first + seeds {
            return;
        }
        let (counts, result) = play_delayed_reads(seed, faults);
        if let Ok(mut total) = total.lock() {
            total.add(&counts);
        }
        match result {
            Ok(()) => println!("seed {seed}: {counts:?}"),
            Err(violation) => {
                failed.fetch_add(1, Ordering::Relaxed);
                println!("seed {seed}: {counts:?}: {violation}");
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(play_next);
        }
    });
    (total.into_inner().unwrap_or_default(), failed.into_inner())
}
