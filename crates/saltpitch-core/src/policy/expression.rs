//! Expressions as they are parsed.

use super::error::Position;

/// An expression and where it stands.
#[derive(Clone, Debug)]
pub(super) struct Expression {
    /// Where it begins.
    pub(super) position: Position,
    /// What it is.
    pub(super) node: Node,
}

/// One operation of an expression, or a leaf.
#[derive(Clone, Debug)]
pub(super) enum Node {
    /// A literal number.
    Number(f64),
    /// A literal `true` or `false`.
    Bool(bool),
    /// A literal text.
    Text(String),
    /// A variable.
    Variable(String),
    /// A logical negation.
    Not(Box<Expression>),
    /// An arithmetic negation.
    Negate(Box<Expression>),
    /// An operation on two operands.
    Binary(BinaryOperator, Box<Expression>, Box<Expression>),
    /// A choice.
    If {
        /// What decides it.
        condition: Box<Expression>,
        /// The value if the condition is true.
        then: Box<Expression>,
        /// The value otherwise.
        otherwise: Box<Expression>,
    },
    /// A function and its arguments.
    Call(String, Vec<Expression>),
}

/// An operator between two operands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BinaryOperator {
    /// `or`
    Or,
    /// `and`
    And,
    /// `==`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
    /// `+`
    Add,
    /// `-`
    Subtract,
    /// `*`
    Multiply,
    /// `/`
    Divide,
}

impl BinaryOperator {
    /// How tightly it binds; larger is tighter.
    pub(super) fn precedence(self) -> u8 {
        match self {
            BinaryOperator::Or => 1,
            BinaryOperator::And => 2,
            BinaryOperator::Equal
            | BinaryOperator::NotEqual
            | BinaryOperator::Less
            | BinaryOperator::LessOrEqual
            | BinaryOperator::Greater
            | BinaryOperator::GreaterOrEqual => 3,
            BinaryOperator::Add | BinaryOperator::Subtract => 4,
            BinaryOperator::Multiply | BinaryOperator::Divide => 5,
        }
    }
}

/// A function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Function {
    /// The smaller of two numbers.
    Min,
    /// The larger of two numbers.
    Max,
    /// A number within two bounds.
    Clamp,
    /// The nearest whole number.
    Round,
}

impl Function {
    const ALL: [Function; 4] = [
        Function::Min,
        Function::Max,
        Function::Clamp,
        Function::Round,
    ];

    /// The function with this name.
    pub(super) fn find(name: &str) -> Option<Function> {
        Function::ALL
            .into_iter()
            .find(|function| function.name() == name)
    }

    /// Its name.
    pub(super) fn name(self) -> &'static str {
        match self {
            Function::Min => "min",
            Function::Max => "max",
            Function::Clamp => "clamp",
            Function::Round => "round",
        }
    }

    /// How many arguments it takes.
    pub(super) fn argument_count(self) -> usize {
        match self {
            Function::Round => 1,
            Function::Min | Function::Max => 2,
            Function::Clamp => 3,
        }
    }
}
