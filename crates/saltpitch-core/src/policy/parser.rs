//! Parses tokens into rules and their expressions.

use super::error::{PolicyError, PolicyErrorReason, Position};
use super::expression::{BinaryOperator, Expression, Node};
use super::lexer::{tokenize, Token, TokenKind};

/// The nesting depth beyond which an expression is rejected, so that no text can overflow the stack.
const MAX_DEPTH: u32 = 64;
/// The operand of `not` contains only operators with a higher precedence than this.
const NOT_PRECEDENCE: u8 = 2;
/// The operand of a unary minus contains only operators with a higher precedence than this.
const NEGATE_PRECEDENCE: u8 = 5;

/// A rule as it is set in a policy's text.
pub(super) struct ParsedRule {
    /// The rule's name, which is not checked yet.
    pub(super) name: String,
    /// The position of the name.
    pub(super) position: Position,
    /// The rule's expression.
    pub(super) expression: Expression,
}

/// Parses the rules that a text sets. Each rule has to begin on a line of its own.
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
        parser.expect_symbol("=")?;
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
    /// The tokens. The last one is [`TokenKind::End`], so the list is never empty.
    tokens: Vec<Token>,
    /// The index of the next token. Beyond the last token, [`TokenKind::End`] is repeated.
    next: usize,
    /// The nesting depth of the expression that is being parsed.
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

    /// Returns the line of the last token that was taken.
    fn last_line(&self) -> u32 {
        self.tokens[self.next.saturating_sub(1)].position.line
    }

    fn is_symbol(&self, symbol: &str) -> bool {
        matches!(&self.peek().kind, TokenKind::Symbol(found) if *found == symbol)
    }

    fn is_word(&self, word: &str) -> bool {
        matches!(&self.peek().kind, TokenKind::Word(found) if found == word)
    }

    fn error_here(&self, reason: PolicyErrorReason) -> PolicyError {
        PolicyError::new(self.peek().position, reason)
    }

    fn expect_symbol(&mut self, symbol: &'static str) -> Result<(), PolicyError> {
        self.expect(self.is_symbol(symbol), symbol)
    }

    fn expect_word(&mut self, word: &'static str) -> Result<(), PolicyError> {
        self.expect(self.is_word(word), word)
    }

    /// Skips the next token if it is the expected one, and fails otherwise.
    fn expect(&mut self, is_found: bool, expected: &'static str) -> Result<(), PolicyError> {
        if !is_found {
            return Err(self.error_here(PolicyErrorReason::ExpectedToken(expected)));
        }
        self.next += 1;
        Ok(())
    }

    /// Returns the binary operator that the next token stands for, if any.
    fn operator(&self) -> Option<BinaryOperator> {
        Some(match &self.peek().kind {
            TokenKind::Word(word) if word == "or" => BinaryOperator::Or,
            TokenKind::Word(word) if word == "and" => BinaryOperator::And,
            TokenKind::Symbol("==") => BinaryOperator::Equal,
            TokenKind::Symbol("!=") => BinaryOperator::NotEqual,
            TokenKind::Symbol("<") => BinaryOperator::Less,
            TokenKind::Symbol("<=") => BinaryOperator::LessOrEqual,
            TokenKind::Symbol(">") => BinaryOperator::Greater,
            TokenKind::Symbol(">=") => BinaryOperator::GreaterOrEqual,
            TokenKind::Symbol("+") => BinaryOperator::Add,
            TokenKind::Symbol("-") => BinaryOperator::Subtract,
            TokenKind::Symbol("*") => BinaryOperator::Multiply,
            TokenKind::Symbol("/") => BinaryOperator::Divide,
            _ => return None,
        })
    }

    /// Parses an expression whose operators all have a higher precedence than `above_precedence`. Operators
    /// of equal precedence associate to the left.
    fn expression(&mut self, above_precedence: u8) -> Result<Expression, PolicyError> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return Err(self.error_here(PolicyErrorReason::NestedTooDeeply));
        }
        let mut left = self.operand()?;
        while let Some(operator) = self
            .operator()
            .filter(|next| next.precedence() > above_precedence)
        {
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
            TokenKind::Symbol("(") => {
                let inner = self.expression(0)?;
                self.expect_symbol(")")?;
                return Ok(inner);
            }
            TokenKind::Symbol("-") => Node::Negate(self.boxed_expression(NEGATE_PRECEDENCE)?),
            TokenKind::Word(word) => self.word_operand(word)?,
            _ => {
                let reason = PolicyErrorReason::ExpectedValue;
                return Err(PolicyError::new(position, reason));
            }
        };
        Ok(Expression { position, node })
    }

    /// Parses the rest of an operand that begins with a word, which has been taken.
    fn word_operand(&mut self, word: String) -> Result<Node, PolicyError> {
        Ok(match word.as_str() {
            "true" => Node::Bool(true),
            "false" => Node::Bool(false),
            "not" => Node::Not(self.boxed_expression(NOT_PRECEDENCE)?),
            "if" => self.conditional()?,
            _ if self.is_symbol("(") => {
                self.next += 1;
                Node::Call(word, self.arguments()?)
            }
            _ => Node::Variable(word),
        })
    }

    /// Parses the rest of a conditional expression after its `if`.
    fn conditional(&mut self) -> Result<Node, PolicyError> {
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

    fn boxed_expression(&mut self, above_precedence: u8) -> Result<Box<Expression>, PolicyError> {
        self.expression(above_precedence).map(Box::new)
    }

    /// Parses a function's arguments and the closing parenthesis; the opening one has been taken.
    fn arguments(&mut self) -> Result<Vec<Expression>, PolicyError> {
        let mut arguments = Vec::new();
        if self.is_symbol(")") {
            self.next += 1;
            return Ok(arguments);
        }
        loop {
            arguments.push(self.expression(0)?);
            if !self.is_symbol(",") {
                self.expect_symbol(")")?;
                return Ok(arguments);
            }
            self.next += 1;
        }
    }
}
