//! Operators' own settings: a small expression language, checked before the service starts.
//!
//! A policy is a list of `name = expression`. Every rule has a type, a range and the variables that it may
//! use. A fault at run time (a division by zero, a value out of range) is reported once and the built-in
//! rule is used instead.
//!
//! A text goes through `lexer` and `parser` to `expression`s, which `check` compares with the
//! `rules` and `evaluate` gives values.

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

/// The built-in rules, in the same language.
pub const DEFAULT: &str = include_str!("default.policy");

/// Where an evaluation finds the variables' values.
pub type Scope<'a> = &'a dyn Fn(&str) -> Option<Value>;

/// The rules in force.
#[derive(Clone, Debug)]
pub struct Policy {
    rules: RuleSet,
    defaults: RuleSet,
    /// Rules whose fault has been reported.
    faulty: BTreeSet<&'static str>,
    /// Faults that are yet to be reported, at most one a rule.
    faults: Vec<PolicyFault>,
}

impl Default for Policy {
    fn default() -> Policy {
        // The built-in text is checked by a test.
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
    /// Reads an operator's policy on top of the built-in one.
    pub fn parse(text: &str) -> Result<Policy, PolicyError> {
        let mut policy = Policy::default();
        policy.rules.extend(checked_rules(text)?);
        Ok(policy)
    }

    /// The value of a rule that is a number.
    pub fn number(&mut self, rule: &'static str, scope: Scope) -> f64 {
        match self.value(rule, scope) {
            Some(Value::Number(number)) => number,
            _ => 0.0,
        }
    }

    /// The value of a rule that is true or false.
    pub fn flag(&mut self, rule: &'static str, scope: Scope) -> bool {
        matches!(self.value(rule, scope), Some(Value::Bool(true)))
    }

    /// The faults since the last call, at most one a rule over the policy's life.
    pub fn take_faults(&mut self) -> Vec<PolicyFault> {
        std::mem::take(&mut self.faults)
    }

    fn value(&mut self, name: &'static str, scope: Scope) -> Option<Value> {
        let rule = Rule::find(name)?;
        let expression = self.rules.get(name)?;
        let value = evaluate(expression, scope).and_then(|value| check_range(rule, value));
        let error = match value {
            Ok(value) => return Some(value),
            Err(error) => error,
        };
        if self.faulty.insert(rule.name) {
            let rule = rule.name;
            self.faults.push(PolicyFault { rule, error });
        }
        evaluate(self.defaults.get(name)?, scope).ok()
    }
}

#[cfg(test)]
mod tests;
