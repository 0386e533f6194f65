//! The stand-ins and the cases of the second review. `stand-ins CASE ROOT FOLDER` runs one case.

mod http;
mod json;
mod log;
mod site;
mod state;

mod cut;
mod relist;
mod reports;
mod rounding;

/// The result of a case.
pub enum Outcome {
    /// The rule was broken.
    Broken(String),
    /// The rule held.
    Held(String),
    /// The case could not run.
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.len() < 4 {
        eprintln!("usage: stand-ins CASE ROOT FOLDER");
        std::process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (case, root, folder) = (&arguments[1], &arguments[2], &arguments[3]);
    log::open(&format!("{folder}/record.txt"));
    log::line(format!("case {case}, trouble {trouble}"));
    let outcome = std::panic::catch_unwind(|| match case.as_str() {
        "cut" => cut::run(root, folder, trouble),
        "rounding" => rounding::run(root, folder, trouble),
        "relist" => relist::run(root, folder, trouble),
        "reports" => reports::run(root, folder, trouble),
        _ => Outcome::CouldNotRun(format!("no case {case}")),
    });
    let outcome = outcome.unwrap_or(Outcome::CouldNotRun("the stand-ins failed".into()));
    let (code, text) = match outcome {
        Outcome::Broken(text) => (1, format!("BROKEN: {text}")),
        Outcome::Held(text) => (0, format!("held: {text}")),
        Outcome::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    log::line(&text);
    println!("{text}");
    std::process::exit(code);
}
