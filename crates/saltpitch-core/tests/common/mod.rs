//! Reading the sample files.

/// One line of a sample file.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// The key of a record, or the name of a frame.
    pub name: &'a str,
    /// What was written.
    pub content: &'a str,
}

/// The samples in a file, in its order.
pub fn samples(file: &str) -> Vec<Sample<'_>> {
    let parse = |line| {
        let (name, content) = str::split_once(line, '\t').expect("a name and a content");
        Sample { name, content }
    };
    let all: Vec<Sample> = file.lines().map(parse).collect();
    assert!(!all.is_empty(), "no samples");
    all
}

/// The sample of this name.
pub fn sample<'a>(all: &[Sample<'a>], name: &str) -> &'a str {
    let found = all.iter().find(|s| s.name == name);
    found.unwrap_or_else(|| panic!("no sample {name}")).content
}
