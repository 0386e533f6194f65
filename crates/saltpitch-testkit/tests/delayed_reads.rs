//! Reads of the records whose answers take time, while the state service refuses controllers: a listing, a watch and a
//! read of the latest changes overtake one another, and users ask every controller about the newest jobs.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use saltpitch_testkit::histories::play_delayed_reads;
use saltpitch_testkit::{Faults, ReadCounts};

/// How many histories each test plays, and on how many threads.
const SEEDS: u64 = 24;
const THREADS: usize = 4;

/// Plays the histories of the first seeds. Returns what happened to the reads, in all of them together.
fn check_seeds(faults: Faults) -> ReadCounts {
    let next = AtomicU64::new(0);
    let (total, broken) = (Mutex::new(ReadCounts::default()), Mutex::new(Vec::new()));
    let play_next = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= SEEDS {
            return;
        }
        let (counts, result) = play_delayed_reads(seed, faults);
        total.lock().expect("no panic").add(&counts);
        if let Err(violation) = result {
            let text = format!("seed {seed}: {violation}");
            broken.lock().expect("no panic").push(text);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(play_next);
        }
    });
    let broken = broken.into_inner().expect("no panic");
    assert!(
        broken.is_empty(),
        "{} of {SEEDS}: {broken:#?}",
        broken.len()
    );
    total.into_inner().expect("no panic")
}

/// Checks that the histories had what they are meant to have.
fn check_counts(counts: &ReadCounts) {
    assert!(counts.listings_behind > 0, "{counts:?}");
    assert!(counts.reads_behind > 0, "{counts:?}");
    assert!(counts.reads_too_old > 0, "{counts:?}");
    assert!(counts.refusals > SEEDS, "{counts:?}");
    assert!(counts.answers > 1_000 * SEEDS, "{counts:?}");
    assert_eq!(counts.reads_dropped, 0, "{counts:?}");
}

/// Guards against review/4: the last answer to a listing was held back, the older listing replaced the newer copy, and
/// users got 404 for accepted jobs.
#[test]
fn an_answer_is_never_older_than_an_earlier_one() {
    check_counts(&check_seeds(Faults::default()));
}

/// The same beside crashes, partitions, outages and lost answers: among others, the leader is refused, lists the records
/// and loses the election meanwhile.
#[test]
fn an_answer_is_never_older_than_an_earlier_one_with_all_faults() {
    check_counts(&check_seeds(Faults::all()));
}
