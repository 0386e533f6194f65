//! Static checks of a policy's text: names, types, scopes, and the range of constant rules.

use std::collections::BTreeMap;

use super::error::{PolicyError, PolicyErrorReason};
use super::evaluate::{check_range, evaluate};
use super::expression::{BinaryOperator, Expression, Function, Node};
use super::parser::{parse, ParsedRule};
use super::rules::{variable_type, Rule, ValueType};

/// The expressions of a policy, by rule name.
pub(super) type RuleSet = BTreeMap<&'static str, Expression>;

/// Parses a policy's text and checks its rules.
pub(super) fn checked_rules(text: &str) -> Result<RuleSet, PolicyError> {
    let mut rules = RuleSet::new();
    for parsed in parse(text)? {
        let rule = Rule::find(&parsed.name).ok_or_else(|| {
            let reason = PolicyErrorReason::UnknownRule(parsed.name.clone());
            PolicyError::new(parsed.position, reason)
        })?;
        check_rule(rule, &parsed)?;
        if rules.insert(rule.name, parsed.expression).is_some() {
            let reason = PolicyErrorReason::DuplicateRule(rule.name);
            return Err(PolicyError::new(parsed.position, reason));
        }
    }
    Ok(rules)
}

/// Checks an expression's type against its rule, and its range if it is constant.
fn check_rule(rule: &Rule, parsed: &ParsedRule) -> Result<(), PolicyError> {
    let expression = &parsed.expression;
    let found = type_of(expression, rule)?;
    if found != rule.value_type {
        let reason = PolicyErrorReason::WrongRuleType {
            rule: rule.name,
            required: rule.value_type,
            found,
        };
        return Err(PolicyError::new(expression.position, reason));
    }
    let no_variables = |_: &str| None;
    let Ok(constant) = evaluate(expression, &no_variables) else {
        return Ok(());
    };
    check_range(rule, constant).map(drop).map_err(|error| {
        let rule = rule.name;
        let reason = PolicyErrorReason::InvalidConstant { rule, error };
        PolicyError::new(expression.position, reason)
    })
}

/// Returns the type of an expression after checking all of its parts.
fn type_of(expression: &Expression, rule: &Rule) -> Result<ValueType, PolicyError> {
    match &expression.node {
        Node::Number(_) => Ok(ValueType::Number),
        Node::Bool(_) => Ok(ValueType::Bool),
        Node::Text(_) => Ok(ValueType::Text),
        Node::Variable(name) => type_of_variable(name, rule)
            .map_err(|reason| PolicyError::new(expression.position, reason)),
        Node::Not(operand) => require(operand, ValueType::Bool, rule),
        Node::Negate(operand) => require(operand, ValueType::Number, rule),
        Node::Binary(operator, left, right) => type_of_operation(*operator, left, right, rule),
        Node::If {
            condition,
            then,
            otherwise,
        } => {
            require(condition, ValueType::Bool, rule)?;
            let value_type = type_of(then, rule)?;
            require(otherwise, value_type, rule)
        }
        Node::Call(name, arguments) => {
            check_call(name, arguments)
                .map_err(|reason| PolicyError::new(expression.position, reason))?;
            for argument in arguments {
                require(argument, ValueType::Number, rule)?;
            }
            Ok(ValueType::Number)
        }
    }
}

/// Checks that an expression has the required type, and returns this type.
fn require(
    expression: &Expression,
    required: ValueType,
    rule: &Rule,
) -> Result<ValueType, PolicyError> {
    let found = type_of(expression, rule)?;
    if found == required {
        return Ok(required);
    }
    let reason = PolicyErrorReason::WrongType { required, found };
    Err(PolicyError::new(expression.position, reason))
}

/// Returns the type of a variable if the rule may use it.
fn type_of_variable(name: &str, rule: &Rule) -> Result<ValueType, PolicyErrorReason> {
    let value_type = variable_type(name);
    let value_type =
        value_type.ok_or_else(|| PolicyErrorReason::UnknownVariable(name.to_owned()))?;
    let scope = name.split('.').next().unwrap_or_default();
    if rule.scopes.contains(&scope) {
        return Ok(value_type);
    }
    Err(PolicyErrorReason::VariableOutOfScope {
        variable: name.to_owned(),
        rule: rule.name,
    })
}

fn type_of_operation(
    operator: BinaryOperator,
    left: &Expression,
    right: &Expression,
    rule: &Rule,
) -> Result<ValueType, PolicyError> {
    match operator {
        BinaryOperator::And | BinaryOperator::Or => {
            require(left, ValueType::Bool, rule)?;
            require(right, ValueType::Bool, rule)
        }
        BinaryOperator::Equal | BinaryOperator::NotEqual => {
            let value_type = type_of(left, rule)?;
            require(right, value_type, rule)?;
            Ok(ValueType::Bool)
        }
        BinaryOperator::Less
        | BinaryOperator::LessOrEqual
        | BinaryOperator::Greater
        | BinaryOperator::GreaterOrEqual => {
            require(left, ValueType::Number, rule)?;
            require(right, ValueType::Number, rule)?;
            Ok(ValueType::Bool)
        }
        BinaryOperator::Add
        | BinaryOperator::Subtract
        | BinaryOperator::Multiply
        | BinaryOperator::Divide => {
            require(left, ValueType::Number, rule)?;
            require(right, ValueType::Number, rule)
        }
    }
}

/// Checks that the function exists and is called with the right number of arguments.
fn check_call(name: &str, arguments: &[Expression]) -> Result<(), PolicyErrorReason> {
    let function = Function::find(name);
    let function = function.ok_or_else(|| PolicyErrorReason::UnknownFunction(name.to_owned()))?;
    if arguments.len() == function.argument_count() {
        return Ok(());
    }
    Err(PolicyErrorReason::ArgumentCount {
        function: function.name(),
        required: function.argument_count(),
        found: arguments.len(),
    })
}
