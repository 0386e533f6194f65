//! Reads the sample files.

/// One line of a sample file.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// The key of a record, or the name of a frame.
    pub name: &'a str,
    /// The record's value, or the frame in hexadecimal.
    pub content: &'a str,
}

/// Parses the samples of a file, in their order.
pub fn samples(file: &str) -> Vec<Sample<'_>> {
    let parse = |line| {
        let (name, content) =
            str::split_once(line, '\t').expect("a sample has a name and a content");
        Sample { name, content }
    };
    let all: Vec<Sample> = file.lines().map(parse).collect();
    assert!(!all.is_empty(), "the file contains no samples");
    all
}

/// Returns the content of the sample with this name.
pub fn sample<'a>(all: &[Sample<'a>], name: &str) -> &'a str {
    let found = all.iter().find(|s| s.name == name);
    found
        .unwrap_or_else(|| panic!("there is no sample named {name}"))
        .content
}
