//! The rules that a policy can set, and the variables that they may use.

use std::fmt;

/// The value of an expression.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number.
    Number(f64),
    /// True or false.
    Bool(bool),
    /// A text.
    Text(String),
}

/// The type of an expression.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueType {
    /// A number.
    Number,
    /// True or false.
    Bool,
    /// A text.
    Text,
}

impl fmt::Display for ValueType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ValueType::Number => "a number",
            ValueType::Bool => "true or false",
            ValueType::Text => "text",
        })
    }
}

/// The names of the rules.
pub mod rule {
    /// How long an idle machine is kept before it is returned, in seconds.
    pub const IDLE_KEEP: &str = "idle_keep_s";
    /// How long the members of an incomplete gang hold their capacity, in seconds.
    pub const GANG_WAIT: &str = "gang_wait_s";
    /// Whether jobs that may use spot machines do use them.
    pub const USE_SPOT: &str = "use_spot";
    /// For batch work that is not urgent, no machines are ordered that cost more than this many times the
    /// cheapest.
    pub const MAX_PRICE_RATIO: &str = "dear_ratio";
    /// Whether replicas are moved off expensive or nearly empty machines.
    pub const CONSOLIDATE: &str = "consolidate";
    /// The target time for draining the backlog of batch work, in seconds.
    pub const BATCH_COMPLETION_TARGET: &str = "drain_s";
}

/// A rule: its name, the values that it may have, and the variables that it may use.
pub(super) struct Rule {
    /// The rule's name.
    pub(super) name: &'static str,
    /// The type of the rule's value.
    pub(super) value_type: ValueType,
    /// The least value of a rule that is a number.
    pub(super) min: f64,
    /// The greatest value of a rule that is a number.
    pub(super) max: f64,
    /// The scopes whose variables have values when the rule is evaluated.
    pub(super) scopes: &'static [&'static str],
}

impl Rule {
    const fn number(
        name: &'static str,
        min: f64,
        max: f64,
        scopes: &'static [&'static str],
    ) -> Rule {
        Rule {
            name,
            value_type: ValueType::Number,
            min,
            max,
            scopes,
        }
    }

    const fn flag(name: &'static str, scopes: &'static [&'static str]) -> Rule {
        Rule {
            name,
            value_type: ValueType::Bool,
            min: 0.0,
            max: 1.0,
            scopes,
        }
    }

    /// Returns the rule with this name.
    pub(super) fn find(name: &str) -> Option<&'static Rule> {
        RULES.iter().find(|rule| rule.name == name)
    }
}

const SECONDS_PER_HOUR: f64 = 3_600.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// All rules.
pub(super) const RULES: &[Rule] = &[
    Rule::number(rule::IDLE_KEEP, 0.0, SECONDS_PER_DAY, &["type", "cluster"]),
    Rule::number(rule::GANG_WAIT, 0.1, SECONDS_PER_HOUR, &["job", "cluster"]),
    Rule::flag(rule::USE_SPOT, &["job", "cluster"]),
    Rule::number(rule::MAX_PRICE_RATIO, 1.0, 1e6, &["job", "cluster"]),
    Rule::flag(rule::CONSOLIDATE, &["cluster"]),
    Rule::number(
        rule::BATCH_COMPLETION_TARGET,
        1.0,
        SECONDS_PER_DAY,
        &["cluster"],
    ),
];

/// All variables with their types. The part of a name before the dot is the variable's scope.
const VARIABLES: &[(&str, ValueType)] = &[
    ("job.class", ValueType::Text),
    ("job.team", ValueType::Text),
    ("job.kind", ValueType::Text),
    ("job.priority", ValueType::Text),
    ("job.tasks", ValueType::Number),
    ("job.cpus", ValueType::Number),
    ("job.gpus", ValueType::Number),
    ("job.mem_gb", ValueType::Number),
    ("job.estimate_s", ValueType::Number),
    ("type.name", ValueType::Text),
    ("type.cpus", ValueType::Number),
    ("type.gpus", ValueType::Number),
    ("type.mem_gb", ValueType::Number),
    ("type.price", ValueType::Number),
    ("type.boot_s", ValueType::Number),
    ("type.spot", ValueType::Bool),
    ("cluster.machines", ValueType::Number),
    ("cluster.jobs", ValueType::Number),
];

/// Returns the type of the variable with this name, if there is one.
pub(super) fn variable_type(name: &str) -> Option<ValueType> {
    let variable = VARIABLES.iter().find(|(known, _)| *known == name);
    variable.map(|(_, value_type)| *value_type)
}
