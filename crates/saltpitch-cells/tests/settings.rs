//! The cells file: the example is valid, and each mistake is reported with its field.

use std::net::SocketAddr;

use saltpitch_cells::settings::{CellsSettings, ControllerContext};
use saltpitch_core::quota::TeamLimits;

const EXAMPLE: &str = include_str!("../../../deploy/cells.toml");

fn team(name: &str, cpu: u64) -> TeamLimits {
    TeamLimits {
        name: name.to_owned(),
        cpu,
        gpu: 0,
        cpu_max: 64_000,
        gpu_max: 0,
    }
}

/// Parses a text for a cell with `controllers` controllers and `max_transaction_writes` writes per transaction.
fn parse_at(
    text: &str,
    controllers: usize,
    max_transaction_writes: usize,
) -> Result<CellsSettings, String> {
    let api: SocketAddr = "127.0.0.1:8080".parse().expect("an address");
    let context = ControllerContext {
        node: "north",
        listens: &[("api_addr", api)],
        teams: &[team("guests", 0), team("harbour", 8_000)],
        controllers,
        max_transaction_writes,
    };
    CellsSettings::parse(text, &context).map_err(|error| error.to_string())
}

fn parse(text: &str) -> Result<CellsSettings, String> {
    parse_at(text, 3, 8)
}

#[test]
fn the_example_is_valid() {
    let settings = parse(EXAMPLE).expect("valid");
    assert_eq!(settings.cell, "north");
    let peer = settings.peer_cell("south").expect("a peer cell");
    assert!(peer.lend.is_some() && peer.guests.is_some());
    assert!(settings.peer_cell("north").is_none());
}

#[test]
fn omitted_optional_fields_have_their_defaults() {
    let optional = [
        "after_s",
        "min_run_s",
        "recall_after_s",
        "max_moves",
        "calls_per_s",
    ];
    let more = ["changes_per_s", "may_rent", "max_waiting"];
    let is_required = |line: &&str| {
        !optional
            .iter()
            .chain(&more)
            .any(|name| line.starts_with(name))
    };
    let text: Vec<&str> = EXAMPLE.lines().filter(is_required).collect();
    assert_eq!(parse(&text.join("\n")), parse(EXAMPLE));
}

/// The example with one line replaced, and the field that the reason must name.
#[test]
fn each_mistake_names_its_field() {
    let mistakes = [
        ("cell = \"north\"", "cell = \"North\"", "cell"),
        ("cell = \"north\"", "cell = \"a.b\"", "cell"),
        ("cell = \"north\"", "cell = \"\"", "cell"),
        ("cell = \"north\"", "cell = \"south\"", "neighbour[0].name"),
        ("cell = \"north\"", "", "cell"),
        ("name = \"south\"", "name = \"so uth\"", "neighbour[0].name"),
        (
            "cancel_s = 50.0",
            "cancel_s = 0.0",
            "neighbour[0].lend.cancel_s",
        ),
        (
            "cancel_s = 50.0",
            "cancel_s = nan",
            "neighbour[0].lend.cancel_s",
        ),
        ("cancel_s = 50.0", "cancel_s = \"long\"", "cancel_s"),
        ("cancel_s = 50.0", "", "cancel_s"),
        (
            "after_s = 20.0",
            "after_s = -1.0",
            "neighbour[0].lend.after_s",
        ),
        (
            "recall_after_s = 30.0",
            "recall_after_s = 0.0",
            "neighbour[0].lend.recall_after_s",
        ),
        (
            "max_moves = 3",
            "max_moves = 0",
            "neighbour[0].lend.max_moves",
        ),
        (
            "calls_per_s = 5.0",
            "calls_per_s = 0.0",
            "neighbour[0].lend.calls_per_s",
        ),
        (
            "changes_per_s = 2.0",
            "changes_per_s = inf",
            "neighbour[0].lend.changes_per_s",
        ),
        (
            "max_jobs = 20",
            "max_jobs = 0",
            "neighbour[0].lend.max_jobs",
        ),
        (
            "max_tasks = 400",
            "max_tasks = 0",
            "neighbour[0].lend.max_tasks",
        ),
        (
            "max_waiting = 2",
            "max_waiting = 0",
            "neighbour[0].guests.max_waiting",
        ),
        (
            "team = \"guests\"",
            "team = \"nobody\"",
            "neighbour[0].guests.team",
        ),
        (
            "team = \"guests\"",
            "team = \"harbour\"",
            "neighbour[0].guests.team",
        ),
        ("may_rent = false", "may_rant = false", "may_rant"),
        (
            "north = \"127.0.0.1:8180\"",
            "other = \"127.0.0.1:8180\"",
            "neighbour[0].guests.listen",
        ),
        (
            "north = \"127.0.0.1:8180\"",
            "north = \"127.0.0.1:8080\"",
            "listen.north",
        ),
        (
            "north = \"127.0.0.1:8180\"",
            "north = \"127.0.0.1:8190\"",
            "neighbour[0].lend.addresses",
        ),
        ("north = \"127.0.0.1:8180\"", "north = \"nowhere\"", "north"),
        ("[[neighbour]]", "[[other]]", "neighbour.lend"),
    ];
    for (line, bad, field) in mistakes {
        assert!(EXAMPLE.contains(line), "{line}");
        let text = EXAMPLE.replacen(line, bad, 1);
        let reason = parse(&text).expect_err(bad);
        assert!(reason.contains(field), "{bad}: {reason}");
    }
}

#[test]
fn duplicate_and_unused_peer_cells_are_reported() {
    let (_, neighbour) = EXAMPLE.split_at(EXAMPLE.find("[[neighbour]]").expect("a table"));
    let second = neighbour.replace("8180", "8181");
    let reason = parse(&format!("{EXAMPLE}\n{second}")).expect_err("twice");
    assert!(reason.contains("neighbour[1].name"), "{reason}");
    let reason = parse("cell = \"north\"\nneighbour = []\n").expect_err("no peer cell");
    assert!(reason.contains("`neighbour`"), "{reason}");
    let unused = "cell = \"north\"\n[[neighbour]]\nname = \"south\"\n";
    let reason = parse(unused).expect_err("unused");
    assert!(reason.contains("neighbour[0]"), "{reason}");
    let shared = neighbour.replace("\"south\"", "\"west\"");
    let reason = parse(&format!("{EXAMPLE}\n{shared}")).expect_err("one address for two");
    assert!(
        reason.contains("neighbour[1].guests.listen.north"),
        "{reason}"
    );
}

#[test]
fn too_many_controllers_for_one_transaction_are_reported() {
    assert!(parse_at(EXAMPLE, 6, 2).is_ok());
    let reason = parse_at(EXAMPLE, 7, 2).expect_err("nine preconditions, eight allowed");
    assert!(reason.contains("txn_ops"), "{reason}");
}
