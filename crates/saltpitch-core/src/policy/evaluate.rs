//! The values of expressions.

use super::error::EvaluationError;
use super::expression::{BinaryOperator, Expression, Function, Node};
use super::rules::{Rule, Value, ValueType};
use super::Scope;

/// Checks that a rule may have this value, and returns it.
pub(super) fn check_range(rule: &Rule, value: Value) -> Result<Value, EvaluationError> {
    let (min, max) = (rule.min, rule.max);
    match value {
        Value::Number(number) if !number.is_finite() => Err(EvaluationError::NotFinite),
        Value::Number(value) if value < min || value > max => {
            Err(EvaluationError::OutOfRange { value, min, max })
        }
        value => Ok(value),
    }
}

/// The value of an expression that has been checked.
pub(super) fn evaluate(expression: &Expression, scope: Scope) -> Result<Value, EvaluationError> {
    Ok(match &expression.node {
        Node::Number(number) => Value::Number(*number),
        Node::Bool(flag) => Value::Bool(*flag),
        Node::Text(text) => Value::Text(text.clone()),
        Node::Variable(name) => {
            let value = scope(name);
            value.ok_or_else(|| EvaluationError::UnknownVariable(name.clone()))?
        }
        Node::Not(operand) => Value::Bool(!evaluate_flag(operand, scope)?),
        Node::Negate(operand) => Value::Number(-evaluate_number(operand, scope)?),
        Node::Binary(operator, left, right) => evaluate_operation(*operator, left, right, scope)?,
        Node::If {
            condition,
            then,
            otherwise,
        } => {
            let chosen = if evaluate_flag(condition, scope)? {
                then
            } else {
                otherwise
            };
            evaluate(chosen, scope)?
        }
        Node::Call(name, arguments) => Value::Number(evaluate_call(name, arguments, scope)?),
    })
}

fn evaluate_number(expression: &Expression, scope: Scope) -> Result<f64, EvaluationError> {
    match evaluate(expression, scope)? {
        Value::Number(number) => Ok(number),
        _ => Err(EvaluationError::WrongType(ValueType::Number)),
    }
}

fn evaluate_flag(expression: &Expression, scope: Scope) -> Result<bool, EvaluationError> {
    match evaluate(expression, scope)? {
        Value::Bool(flag) => Ok(flag),
        _ => Err(EvaluationError::WrongType(ValueType::Bool)),
    }
}

fn evaluate_operation(
    operator: BinaryOperator,
    left: &Expression,
    right: &Expression,
    scope: Scope,
) -> Result<Value, EvaluationError> {
    let flags = |expression| evaluate_flag(expression, scope);
    let numbers = || {
        let left = evaluate_number(left, scope)?;
        let right = evaluate_number(right, scope)?;
        Ok((left, right))
    };
    Ok(match operator {
        BinaryOperator::And => Value::Bool(flags(left)? && flags(right)?),
        BinaryOperator::Or => Value::Bool(flags(left)? || flags(right)?),
        BinaryOperator::Equal => Value::Bool(evaluate(left, scope)? == evaluate(right, scope)?),
        BinaryOperator::NotEqual => Value::Bool(evaluate(left, scope)? != evaluate(right, scope)?),
        BinaryOperator::Less => numbers().map(|(left, right)| Value::Bool(left < right))?,
        BinaryOperator::LessOrEqual => numbers().map(|(left, right)| Value::Bool(left <= right))?,
        BinaryOperator::Greater => numbers().map(|(left, right)| Value::Bool(left > right))?,
        BinaryOperator::GreaterOrEqual => {
            numbers().map(|(left, right)| Value::Bool(left >= right))?
        }
        BinaryOperator::Add => numbers().map(|(left, right)| Value::Number(left + right))?,
        BinaryOperator::Subtract => numbers().map(|(left, right)| Value::Number(left - right))?,
        BinaryOperator::Multiply => numbers().map(|(left, right)| Value::Number(left * right))?,
        BinaryOperator::Divide => {
            let (left, right) = numbers()?;
            if right == 0.0 {
                return Err(EvaluationError::DivisionByZero);
            }
            Value::Number(left / right)
        }
    })
}

fn evaluate_call(
    name: &str,
    arguments: &[Expression],
    scope: Scope,
) -> Result<f64, EvaluationError> {
    let values = arguments.iter().map(|each| evaluate_number(each, scope));
    let values: Vec<f64> = values.collect::<Result<_, _>>()?;
    Ok(match (Function::find(name), values.as_slice()) {
        (Some(Function::Min), [left, right]) => left.min(*right),
        (Some(Function::Max), [left, right]) => left.max(*right),
        (Some(Function::Clamp), [value, min, max]) => value.max(*min).min(*max),
        (Some(Function::Round), [value]) => value.round(),
        // Excluded by the check of the text.
        _ => return Err(EvaluationError::WrongType(ValueType::Number)),
    })
}
