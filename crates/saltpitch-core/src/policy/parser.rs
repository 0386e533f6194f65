//! From tokens to expressions.

use super::error::{PolicyError, PolicyErrorReason, Position};
use super::expression::{BinaryOperator, Expression, Node};
use super::lexer::{tokenize, Token, TokenKind};

/// Expressions nested more deeply are refused, so that no text can exhaust the stack.
const MAX_DEPTH: u32 = 64;
/// What binds no more tightly than this ends the operand of `not`.
const NOT_PRECEDENCE: u8 = 2;
/// What binds no more tightly than this ends the operand of a minus sign.
const NEGATE_PRECEDENCE: u8 = 5;

/// A rule as a text sets it.
pub(super) struct ParsedRule {
    /// The rule's name, which may not be a known one.
    pub(super) name: String,
    /// Where the name stands.
    pub(super) position: Position,
    /// The expression.
    pub(super) expression: Expression,
}

/// The rules that a text sets, each of which begins on a line of its own.
pub(super) fn parse(text: &str) -> Result<Vec<ParsedRule>, PolicyError> {
    let mut parser = Parser {
        tokens: tokenize(text)?,
        next: 0,
        depth: 0,
    };
    let mut rules = Vec::new();
    let mut last_line = 0;
    loop {
        let Token { position, kind } = parser.take();
        let name = match kind {
            TokenKind::End => return Ok(rules),
            TokenKind::Word(name) => name,
            _ => {
                let reason = PolicyErrorReason::ExpectedRuleName;
                return Err(PolicyError::new(position, reason));
            }
        };
        if position.line == last_line {
            let reason = PolicyErrorReason::RuleOnSameLine;
            return Err(PolicyError::new(position, reason));
        }
        parser.expect_sign("=")?;
        let expression = parser.expression(0)?;
        last_line = parser.last_line();
        rules.push(ParsedRule {
            name,
            position,
            expression,
        });
    }
}

struct Parser {
    /// Never empty: the last token is the end.
    tokens: Vec<Token>,
    /// The index of the next token; past the last one, the end is repeated.
    next: usize,
    /// How many expressions enclose the present one.
    depth: u32,
}

impl Parser {
    fn peek(&self) -> &Token {
        &self.tokens[self.next.min(self.tokens.len() - 1)]
    }

    fn take(&mut self) -> Token {
        let token = self.peek().clone();
        self.next += 1;
        token
    }

    /// The line of the last token that was taken.
    fn last_line(&self) -> u32 {
        self.tokens[self.next.saturating_sub(1)].position.line
    }

    fn is_sign(&self, sign: &str) -> bool {
        matches!(&self.peek().kind, TokenKind::Sign(found) if *found == sign)
    }

    fn is_word(&self, word: &str) -> bool {
        matches!(&self.peek().kind, TokenKind::Word(found) if found == word)
    }

    fn error_here(&self, reason: PolicyErrorReason) -> PolicyError {
        PolicyError::new(self.peek().position, reason)
    }

    fn expect_sign(&mut self, sign: &'static str) -> Result<(), PolicyError> {
        self.skip_if(self.is_sign(sign), sign)
    }

    fn expect_word(&mut self, word: &'static str) -> Result<(), PolicyError> {
        self.skip_if(self.is_word(word), word)
    }

    fn skip_if(&mut self, is_found: bool, expected: &'static str) -> Result<(), PolicyError> {
        if !is_found {
            return Err(self.error_here(PolicyErrorReason::ExpectedToken(expected)));
        }
        self.next += 1;
        Ok(())
    }

    fn operator(&self) -> Option<BinaryOperator> {
        Some(match &self.peek().kind {
            TokenKind::Word(word) if word == "or" => BinaryOperator::Or,
            TokenKind::Word(word) if word == "and" => BinaryOperator::And,
            TokenKind::Sign("==") => BinaryOperator::Equal,
            TokenKind::Sign("!=") => BinaryOperator::NotEqual,
            TokenKind::Sign("<") => BinaryOperator::Less,
            TokenKind::Sign("<=") => BinaryOperator::LessOrEqual,
            TokenKind::Sign(">") => BinaryOperator::Greater,
            TokenKind::Sign(">=") => BinaryOperator::GreaterOrEqual,
            TokenKind::Sign("+") => BinaryOperator::Add,
            TokenKind::Sign("-") => BinaryOperator::Subtract,
            TokenKind::Sign("*") => BinaryOperator::Multiply,
            TokenKind::Sign("/") => BinaryOperator::Divide,
            _ => return None,
        })
    }

    /// An expression of operators that bind more tightly than `above`, from the left.
    fn expression(&mut self, above: u8) -> Result<Expression, PolicyError> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return Err(self.error_here(PolicyErrorReason::NestedTooDeeply));
        }
        let mut left = self.operand()?;
        while let Some(operator) = self.operator().filter(|next| next.precedence() > above) {
            self.next += 1;
            let right = self.expression(operator.precedence())?;
            left = Expression {
                position: left.position,
                node: Node::Binary(operator, Box::new(left), Box::new(right)),
            };
        }
        self.depth -= 1;
        Ok(left)
    }

    fn operand(&mut self) -> Result<Expression, PolicyError> {
        let Token { position, kind } = self.take();
        let node = match kind {
            TokenKind::Number(number) => Node::Number(number),
            TokenKind::Text(text) => Node::Text(text),
            TokenKind::Sign("(") => {
                let inner = self.expression(0)?;
                self.expect_sign(")")?;
                return Ok(inner);
            }
            TokenKind::Sign("-") => Node::Negate(self.boxed_expression(NEGATE_PRECEDENCE)?),
            TokenKind::Word(word) => self.word_operand(word)?,
            _ => {
                let reason = PolicyErrorReason::ExpectedValue;
                return Err(PolicyError::new(position, reason));
            }
        };
        Ok(Expression { position, node })
    }

    /// The operand that begins with a word, which has been taken.
    fn word_operand(&mut self, word: String) -> Result<Node, PolicyError> {
        Ok(match word.as_str() {
            "true" => Node::Bool(true),
            "false" => Node::Bool(false),
            "not" => Node::Not(self.boxed_expression(NOT_PRECEDENCE)?),
            "if" => self.choice()?,
            _ if self.is_sign("(") => {
                self.next += 1;
                Node::Call(word, self.arguments()?)
            }
            _ => Node::Variable(word),
        })
    }

    fn choice(&mut self) -> Result<Node, PolicyError> {
        let condition = self.boxed_expression(0)?;
        self.expect_word("then")?;
        let then = self.boxed_expression(0)?;
        self.expect_word("else")?;
        let otherwise = self.boxed_expression(0)?;
        Ok(Node::If {
            condition,
            then,
            otherwise,
        })
    }

    fn boxed_expression(&mut self, above: u8) -> Result<Box<Expression>, PolicyError> {
        self.expression(above).map(Box::new)
    }

    /// A function's arguments up to the closing parenthesis; the opening one has been taken.
    fn arguments(&mut self) -> Result<Vec<Expression>, PolicyError> {
        let mut arguments = Vec::new();
        if self.is_sign(")") {
            self.next += 1;
            return Ok(arguments);
        }
        loop {
            arguments.push(self.expression(0)?);
            if !self.is_sign(",") {
                self.expect_sign(")")?;
                return Ok(arguments);
            }
            self.next += 1;
        }
    }
}
