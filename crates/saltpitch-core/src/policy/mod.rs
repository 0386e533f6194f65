//! Policies: operators' rules in a small expression language, which are checked before the service starts.
//!
//! A policy is a list of rules in the form `name = expression`. Every rule has a type, a range and the
//! variables that it may use. If the evaluation of a rule fails (division by zero, a value out of range), the
//! failure is reported once per rule, and the built-in expression is used instead.
//!
//! The `lexer` and the `parser` turn a text into `expression`s, `check` validates these against the `rules`,
//! and `evaluate` computes their values.

mod check;
mod error;
mod evaluate;
mod expression;
mod lexer;
mod parser;
mod rules;

use std::collections::BTreeSet;

pub use error::{EvaluationError, PolicyError, PolicyErrorReason, PolicyFault, Position};
pub use rules::{rule, Value, ValueType};

use check::{checked_rules, RuleSet};
use evaluate::{check_range, evaluate};
use rules::Rule;

/// The text of the built-in policy, which sets every rule.
pub const DEFAULT: &str = include_str!("default.policy");

/// A function that returns the value of a variable, or `None` if it has no value in this evaluation.
pub type VariableLookup<'a> = &'a dyn Fn(&str) -> Option<Value>;

/// The rules in effect: an operator's policy on top of the built-in one.
#[derive(Clone, Debug)]
pub struct Policy {
    rules: RuleSet,
    defaults: RuleSet,
    /// The rules for which a fault has been recorded.
    faulty: BTreeSet<&'static str>,
    /// The faults that have not been taken yet, at most one per rule.
    faults: Vec<PolicyFault>,
}

impl Default for Policy {
    fn default() -> Policy {
        // A test checks that the built-in text is valid.
        let defaults = checked_rules(DEFAULT).unwrap_or_default();
        Policy {
            rules: defaults.clone(),
            defaults,
            faulty: BTreeSet::new(),
            faults: Vec::new(),
        }
    }
}

impl Policy {
    /// Parses an operator's policy. Rules that it does not set keep their built-in expressions.
    pub fn parse(text: &str) -> Result<Policy, PolicyError> {
        let mut policy = Policy::default();
        policy.rules.extend(checked_rules(text)?);
        Ok(policy)
    }

    /// Returns the value of a rule that is a number.
    pub fn number(&mut self, rule: &'static str, variables: VariableLookup) -> f64 {
        match self.value(rule, variables) {
            Some(Value::Number(number)) => number,
            _ => 0.0,
        }
    }

    /// Returns the value of a rule that is true or false.
    pub fn flag(&mut self, rule: &'static str, variables: VariableLookup) -> bool {
        matches!(self.value(rule, variables), Some(Value::Bool(true)))
    }

    /// Returns the faults since the last call. Over the lifetime of the policy, each rule is reported at most
    /// once.
    pub fn take_faults(&mut self) -> Vec<PolicyFault> {
        std::mem::take(&mut self.faults)
    }

    fn value(&mut self, name: &'static str, variables: VariableLookup) -> Option<Value> {
        let rule = Rule::find(name)?;
        let expression = self.rules.get(name)?;
        let value = evaluate(expression, variables).and_then(|value| check_range(rule, value));
        let error = match value {
            Ok(value) => return Some(value),
            Err(error) => error,
        };
        if self.faulty.insert(rule.name) {
            let rule = rule.name;
            self.faults.push(PolicyFault { rule, error });
        }
        evaluate(self.defaults.get(name)?, variables).ok()
    }
}

#[cfg(test)]
mod tests;
