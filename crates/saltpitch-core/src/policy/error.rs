//! Errors in a policy's text, and errors that occur when a rule is evaluated.

use std::fmt;

use super::rules::ValueType;

/// A position in a policy's text, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line.
    pub line: u32,
    /// The column, counted in characters.
    pub column: u32,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// An error in a policy's text.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{position}: {reason}")]
pub struct PolicyError {
    /// The position of the error.
    pub position: Position,
    /// The cause of the error.
    pub reason: PolicyErrorReason,
}

impl PolicyError {
    /// Creates an error at a position.
    pub(super) fn new(position: Position, reason: PolicyErrorReason) -> PolicyError {
        PolicyError { position, reason }
    }
}

/// The cause of an error in a policy's text.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PolicyErrorReason {
    /// A number that cannot be parsed.
    #[error("this is no number")]
    InvalidNumber,
    /// A quoted text without its closing quotation mark.
    #[error("this text never ends")]
    UnterminatedText,
    /// A character with which no token begins.
    #[error("unexpected `{0}`")]
    UnexpectedCharacter(char),
    /// Another symbol or keyword is required here.
    #[error("expected `{0}`")]
    ExpectedToken(&'static str),
    /// A value is required here.
    #[error("expected a value")]
    ExpectedValue,
    /// The name of a rule is required here.
    #[error("expected the name of a rule")]
    ExpectedRuleName,
    /// A rule begins on the line on which the previous one ends.
    #[error("a rule begins on a new line")]
    RuleOnSameLine,
    /// An expression exceeds the allowed nesting depth.
    #[error("nested too deeply")]
    NestedTooDeeply,
    /// No rule has this name.
    #[error("there is no rule `{0}`")]
    UnknownRule(String),
    /// A rule is set more than once.
    #[error("`{0}` is set twice")]
    DuplicateRule(&'static str),
    /// The type of a rule's expression differs from the rule's type.
    #[error("`{rule}` must be {required}, this is {found}")]
    WrongRuleType {
        /// The rule.
        rule: &'static str,
        /// The rule's type.
        required: ValueType,
        /// The expression's type.
        found: ValueType,
    },
    /// A part of an expression has the wrong type.
    #[error("expected {required}, found {found}")]
    WrongType {
        /// The required type.
        required: ValueType,
        /// The actual type.
        found: ValueType,
    },
    /// No variable has this name.
    #[error("there is no variable `{0}`")]
    UnknownVariable(String),
    /// The variable has no value where the rule is evaluated.
    #[error("`{variable}` is not known to `{rule}`")]
    VariableOutOfScope {
        /// The variable.
        variable: String,
        /// The rule.
        rule: &'static str,
    },
    /// No function has this name.
    #[error("there is no function `{0}`")]
    UnknownFunction(String),
    /// A function is called with the wrong number of arguments.
    #[error("`{function}` takes {required} arguments, not {found}")]
    ArgumentCount {
        /// The function.
        function: &'static str,
        /// The number of arguments that it takes.
        required: usize,
        /// The number of arguments in the call.
        found: usize,
    },
    /// The constant value of a rule is not allowed.
    #[error("`{rule}`: {error}")]
    InvalidConstant {
        /// The rule.
        rule: &'static str,
        /// The cause of the error in the value.
        error: EvaluationError,
    },
}

/// Why an expression has no value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EvaluationError {
    /// A variable has no value here.
    #[error("`{0}` is not known")]
    UnknownVariable(String),
    /// A part of the expression has the wrong type. The check of the policy's text rules this out.
    #[error("expected {0}")]
    WrongType(ValueType),
    /// A division by zero.
    #[error("division by zero")]
    DivisionByZero,
    /// The result is infinite or undefined.
    #[error("not a finite number")]
    NotFinite,
    /// The result is outside the rule's range.
    #[error("{value} is not between {min} and {max}")]
    OutOfRange {
        /// The result of the evaluation.
        value: f64,
        /// The least value that is allowed.
        min: f64,
        /// The greatest value that is allowed.
        max: f64,
    },
}

/// A rule whose evaluation failed, so that its built-in expression is used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("policy: {rule}: {error}; the default is used")]
pub struct PolicyFault {
    /// The rule.
    pub rule: &'static str,
    /// Why it has no value.
    pub error: EvaluationError,
}
