//! What can be wrong with a policy: mistakes in its text, and faults when it is evaluated.

use std::fmt;

use super::rules::ValueType;

/// A position in a policy's text, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line.
    pub line: u32,
    /// The column, in characters.
    pub column: u32,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A mistake in a policy's text.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{position}: {reason}")]
pub struct PolicyError {
    /// Where it is.
    pub position: Position,
    /// What it is.
    pub reason: PolicyErrorReason,
}

impl PolicyError {
    /// A mistake at a position.
    pub(super) fn new(position: Position, reason: PolicyErrorReason) -> PolicyError {
        PolicyError { position, reason }
    }
}

/// What is wrong with a policy's text.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PolicyErrorReason {
    /// A number that cannot be read.
    #[error("this is no number")]
    InvalidNumber,
    /// A text without its second quotation mark.
    #[error("this text never ends")]
    UnterminatedText,
    /// A character that nothing begins with.
    #[error("unexpected `{0}`")]
    UnexpectedCharacter(char),
    /// Another sign or word is required here.
    #[error("expected `{0}`")]
    ExpectedToken(&'static str),
    /// A value is required here.
    #[error("expected a value")]
    ExpectedValue,
    /// The name of a rule is required here.
    #[error("expected the name of a rule")]
    ExpectedRuleName,
    /// Two rules share a line.
    #[error("a rule begins on a new line")]
    RuleOnSameLine,
    /// An expression is nested more deeply than is allowed.
    #[error("nested too deeply")]
    NestedTooDeeply,
    /// No rule has this name.
    #[error("there is no rule `{0}`")]
    UnknownRule(String),
    /// A rule is set for a second time.
    #[error("`{0}` is set twice")]
    DuplicateRule(&'static str),
    /// A rule's expression has another type than the rule.
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
        /// The type that is required here.
        required: ValueType,
        /// The type that was found.
        found: ValueType,
    },
    /// No variable has this name.
    #[error("there is no variable `{0}`")]
    UnknownVariable(String),
    /// The rule is evaluated where the variable has no value.
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
        /// How many arguments it takes.
        required: usize,
        /// How many there are.
        found: usize,
    },
    /// The rule's constant value is not allowed.
    #[error("`{rule}`: {error}")]
    InvalidConstant {
        /// The rule.
        rule: &'static str,
        /// What is wrong with the value.
        error: EvaluationError,
    },
}

/// Why an expression has no value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EvaluationError {
    /// A variable has no value here.
    #[error("`{0}` is not known")]
    UnknownVariable(String),
    /// A part has the wrong type, which the check of the text excludes.
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
        /// The result.
        value: f64,
        /// The least that is allowed.
        min: f64,
        /// The most that is allowed.
        max: f64,
    },
}

/// A rule whose evaluation failed, so that its default is used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("policy: {rule}: {error}; the default is used")]
pub struct PolicyFault {
    /// The rule.
    pub rule: &'static str,
    /// Why it has no value.
    pub error: EvaluationError,
}
