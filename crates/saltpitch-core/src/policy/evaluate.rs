//! Evaluation of checked expressions.

use super::error::EvaluationError;
use super::expression::{BinaryOperator, Expression, Function, Node};
use super::rules::{Rule, Value, ValueType};
use super::VariableLookup;

/// Returns the value if it is within the rule's range.
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

/// Evaluates a checked expression.
pub(super) fn evaluate(
    expression: &Expression,
    variables: VariableLookup,
) -> Result<Value, EvaluationError> {
    Ok(match &expression.node {
        Node::Number(number) => Value::Number(*number),
        Node::Bool(flag) => Value::Bool(*flag),
        Node::Text(text) => Value::Text(text.clone()),
        Node::Variable(name) => {
            let value = variables(name);
            value.ok_or_else(|| EvaluationError::UnknownVariable(name.clone()))?
        }
        Node::Not(operand) => Value::Bool(!evaluate_bool(operand, variables)?),
        Node::Negate(operand) => Value::Number(-evaluate_number(operand, variables)?),
        Node::Binary(operator, left, right) => {
            evaluate_operation(*operator, left, right, variables)?
        }
        Node::If {
            condition,
            then,
            otherwise,
        } => {
            let chosen = if evaluate_bool(condition, variables)? {
                then
            } else {
                otherwise
            };
            evaluate(chosen, variables)?
        }
        Node::Call(name, arguments) => Value::Number(evaluate_call(name, arguments, variables)?),
    })
}

fn evaluate_number(
    expression: &Expression,
    variables: VariableLookup,
) -> Result<f64, EvaluationError> {
    match evaluate(expression, variables)? {
        Value::Number(number) => Ok(number),
        _ => Err(EvaluationError::WrongType(ValueType::Number)),
    }
}

fn evaluate_bool(
    expression: &Expression,
    variables: VariableLookup,
) -> Result<bool, EvaluationError> {
    match evaluate(expression, variables)? {
        Value::Bool(flag) => Ok(flag),
        _ => Err(EvaluationError::WrongType(ValueType::Bool)),
    }
}

fn evaluate_operation(
    operator: BinaryOperator,
    left: &Expression,
    right: &Expression,
    variables: VariableLookup,
) -> Result<Value, EvaluationError> {
    let flag = |expression| evaluate_bool(expression, variables);
    let numbers = || {
        let left = evaluate_number(left, variables)?;
        let right = evaluate_number(right, variables)?;
        Ok((left, right))
    };
    Ok(match operator {
        BinaryOperator::And => Value::Bool(flag(left)? && flag(right)?),
        BinaryOperator::Or => Value::Bool(flag(left)? || flag(right)?),
        BinaryOperator::Equal => {
            Value::Bool(evaluate(left, variables)? == evaluate(right, variables)?)
        }
        BinaryOperator::NotEqual => {
            Value::Bool(evaluate(left, variables)? != evaluate(right, variables)?)
        }
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
    variables: VariableLookup,
) -> Result<f64, EvaluationError> {
    let values = arguments
        .iter()
        .map(|argument| evaluate_number(argument, variables));
    let values: Vec<f64> = values.collect::<Result<_, _>>()?;
    Ok(match (Function::find(name), values.as_slice()) {
        (Some(Function::Min), [left, right]) => left.min(*right),
        (Some(Function::Max), [left, right]) => left.max(*right),
        (Some(Function::Clamp), [value, min, max]) => value.max(*min).min(*max),
        (Some(Function::Round), [value]) => value.round(),
        // The check of the policy's text rules this out.
        _ => return Err(EvaluationError::WrongType(ValueType::Number)),
    })
}
