//! The record of a run: what was sent, answered and run, with the time since the start of the run.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn open(path: &str) {
    let file = File::create(path).expect("the record can be written");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
}

/// Returns the seconds since the start of the run.
pub fn seconds() -> f64 {
    RECORD
        .get()
        .map_or(0.0, |(start, _)| start.elapsed().as_secs_f64())
}

pub fn line(text: impl AsRef<str>) {
    if let Some((start, file)) = RECORD.get() {
        let at = start.elapsed().as_secs_f64();
        if let Ok(mut file) = file.lock() {
            let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
        }
    }
}
