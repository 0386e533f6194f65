//! The syntax tree of expressions.

use super::error::Position;

/// An expression and its position in the text.
#[derive(Clone, Debug)]
pub(super) struct Expression {
    /// The position of its beginning.
    pub(super) position: Position,
    /// The root of the expression's syntax tree.
    pub(super) node: Node,
}

/// A node of an expression's syntax tree.
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
    /// A conditional expression.
    If {
        /// The condition.
        condition: Box<Expression>,
        /// The value if the condition is true.
        then: Box<Expression>,
        /// The value otherwise.
        otherwise: Box<Expression>,
    },
    /// A function and its arguments.
    Call(String, Vec<Expression>),
}

/// A binary operator.
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
    /// Returns the operator's precedence. An operator with a larger one binds more tightly.
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

/// A built-in function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Function {
    /// The smaller of two numbers.
    Min,
    /// The larger of two numbers.
    Max,
    /// A number limited to the range between two bounds.
    Clamp,
    /// The integer that is nearest to a number.
    Round,
}

impl Function {
    const ALL: [Function; 4] = [
        Function::Min,
        Function::Max,
        Function::Clamp,
        Function::Round,
    ];

    /// Returns the function with this name.
    pub(super) fn find(name: &str) -> Option<Function> {
        Function::ALL
            .into_iter()
            .find(|function| function.name() == name)
    }

    /// Returns the function's name.
    pub(super) fn name(self) -> &'static str {
        match self {
            Function::Min => "min",
            Function::Max => "max",
            Function::Clamp => "clamp",
            Function::Round => "round",
        }
    }

    /// Returns the number of arguments that the function takes.
    pub(super) fn argument_count(self) -> usize {
        match self {
            Function::Round => 1,
            Function::Min | Function::Max => 2,
            Function::Clamp => 3,
        }
    }
}
