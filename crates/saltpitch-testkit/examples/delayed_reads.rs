//! Plays histories in which reads of the records take time, and prints what each of them found.
//!
//!     cargo run --release -p saltpitch-testkit --example delayed_reads -- FIRST_SEED SEEDS [all]
//!
//! With `all`, every other kind of fault occurs as well. The last line counts the histories that broke an invariant.

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

use saltpitch_testkit::histories::play_delayed_reads;
use saltpitch_testkit::Faults;

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
    let failed = play_all(first, seeds, faults);
    println!("{failed} of {seeds} histories broke an invariant");
    ExitCode::from(u8::from(failed > 0))
}

/// Plays the histories on all processors and returns how many broke an invariant.
fn play_all(first: u64, seeds: u64, faults: Faults) -> u64 {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let (next, failed) = (AtomicU64::new(first), AtomicU64::new(0));
    let play_next = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= first + seeds {
            return;
        }
        let (counts, result) = play_delayed_reads(seed, faults);
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
    failed.into_inner()
}
