//! From text to expressions, every part with its line and column.

/// Nested parts beyond this are refused, so that no text can exhaust the stack.
const MAX_DEPTH: u32 = 64;

/// Line and column, from 1.
pub type At = (u32, u32);

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}:{}: {why}", at.0, at.1)]
pub struct Error {
    pub at: At,
    pub why: String,
}

impl Error {
    pub fn new(at: At, why: impl Into<String>) -> Error {
        Error {
            at,
            why: why.into(),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Expr {
    pub at: At,
    pub node: Node,
}

#[derive(Clone, Debug)]
pub enum Node {
    Number(f64),
    Bool(bool),
    Text(String),
    Var(String),
    Not(Box<Expr>),
    Neg(Box<Expr>),
    Binary(Op, Box<Expr>, Box<Expr>),
    If(Box<Expr>, Box<Expr>, Box<Expr>),
    Call(String, Vec<Expr>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    Or,
    And,
    Eq,
    Ne,
    Lt,
    Le,
    Gt,
    Ge,
    Add,
    Sub,
    Mul,
    Div,
}

#[derive(Clone, Debug, PartialEq)]
enum Token {
    Number(f64),
    Text(String),
    Word(String),
    Sign(&'static str),
    End,
}

const SIGNS: [&str; 14] = [
    "<=", ">=", "==", "!=", "<", ">", "=", "+", "-", "*", "/", "(", ")", ",",
];

fn tokens(text: &str) -> Result<Vec<(At, Token)>, Error> {
    let mut list = Vec::new();
    for (n, line) in text.lines().enumerate() {
        let mut rest = line;
        loop {
            rest = rest.trim_start();
            let col = line.chars().count() - rest.chars().count() + 1;
            let at = (n as u32 + 1, col as u32);
            let Some(c) = rest.chars().next().filter(|c| *c != '#') else {
                break;
            };
            let take = |f: fn(char) -> bool| rest.find(|c| !f(c)).unwrap_or(rest.len());
            let (token, used) = if c.is_ascii_digit() {
                let len = take(|c| c.is_ascii_digit() || c == '.');
                let number = rest[..len]
                    .parse()
                    .map_err(|_| Error::new(at, "this is no number"))?;
                (Token::Number(number), len)
            } else if c.is_ascii_alphabetic() {
                let len = take(|c| c.is_ascii_alphanumeric() || c == '_' || c == '.');
                (Token::Word(rest[..len].to_owned()), len)
            } else if c == '"' {
                let len = rest[1..]
                    .find('"')
                    .ok_or_else(|| Error::new(at, "this text never ends"))?;
                (Token::Text(rest[1..=len].to_owned()), len + 2)
            } else if let Some(sign) = SIGNS.iter().find(|s| rest.starts_with(**s)) {
                (Token::Sign(sign), sign.len())
            } else {
                return Err(Error::new(at, format!("unexpected `{c}`")));
            };
            list.push((at, token));
            rest = &rest[used..];
        }
    }
    let lines = text.lines().count().max(1) as u32;
    let last = text.lines().last().unwrap_or_default();
    list.push(((lines, last.chars().count() as u32 + 1), Token::End));
    Ok(list)
}

/// The rules of a text: name, where it stands, expression.
pub fn parse(text: &str) -> Result<Vec<(String, At, Expr)>, Error> {
    let mut p = Parser {
        tokens: tokens(text)?,
        next: 0,
        depth: 0,
    };
    let mut rules = Vec::new();
    let mut line = 0;
    loop {
        let (at, token) = p.take();
        let name = match token {
            Token::End => return Ok(rules),
            Token::Word(name) => name,
            _ => return Err(Error::new(at, "expected the name of a rule")),
        };
        if at.0 == line {
            return Err(Error::new(at, "a rule begins on a new line"));
        }
        p.expect("=")?;
        let expr = p.expression(0)?;
        line = p.tokens[p.next.saturating_sub(1)].0 .0;
        rules.push((name, at, expr));
    }
}

struct Parser {
    tokens: Vec<(At, Token)>,
    next: usize,
    depth: u32,
}

impl Parser {
    fn peek(&self) -> &(At, Token) {
        &self.tokens[self.next.min(self.tokens.len() - 1)]
    }

    fn take(&mut self) -> (At, Token) {
        let t = self.peek().clone();
        self.next += 1;
        t
    }

    fn is_sign(&self, sign: &str) -> bool {
        matches!(&self.peek().1, Token::Sign(s) if *s == sign)
    }

    fn is_word(&self, word: &str) -> bool {
        matches!(&self.peek().1, Token::Word(w) if w == word)
    }

    fn expect(&mut self, sign: &str) -> Result<(), Error> {
        if self.is_sign(sign) {
            self.next += 1;
            return Ok(());
        }
        Err(Error::new(self.peek().0, format!("expected `{sign}`")))
    }

    fn expect_word(&mut self, word: &str) -> Result<(), Error> {
        if self.is_word(word) {
            self.next += 1;
            return Ok(());
        }
        Err(Error::new(self.peek().0, format!("expected `{word}`")))
    }

    fn operator(&self) -> Option<(Op, u8)> {
        Some(match &self.peek().1 {
            Token::Word(w) if w == "or" => (Op::Or, 1),
            Token::Word(w) if w == "and" => (Op::And, 2),
            Token::Sign("==") => (Op::Eq, 3),
            Token::Sign("!=") => (Op::Ne, 3),
            Token::Sign("<") => (Op::Lt, 3),
            Token::Sign("<=") => (Op::Le, 3),
            Token::Sign(">") => (Op::Gt, 3),
            Token::Sign(">=") => (Op::Ge, 3),
            Token::Sign("+") => (Op::Add, 4),
            Token::Sign("-") => (Op::Sub, 4),
            Token::Sign("*") => (Op::Mul, 5),
            Token::Sign("/") => (Op::Div, 5),
            _ => return None,
        })
    }

    /// Operators that bind more tightly than `above`, from the left.
    fn expression(&mut self, above: u8) -> Result<Expr, Error> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return Err(Error::new(self.peek().0, "nested too deeply"));
        }
        let mut left = self.operand()?;
        while let Some((op, level)) = self.operator().filter(|o| o.1 > above) {
            self.next += 1;
            let right = self.expression(level)?;
            left = Expr {
                at: left.at,
                node: Node::Binary(op, Box::new(left), Box::new(right)),
            };
        }
        self.depth -= 1;
        Ok(left)
    }

    fn operand(&mut self) -> Result<Expr, Error> {
        let (at, token) = self.take();
        let node = match token {
            Token::Number(n) => Node::Number(n),
            Token::Text(t) => Node::Text(t),
            Token::Sign("(") => {
                let inner = self.expression(0)?;
                self.expect(")")?;
                return Ok(inner);
            }
            Token::Sign("-") => Node::Neg(Box::new(self.expression(5)?)),
            Token::Word(w) => match w.as_str() {
                "true" => Node::Bool(true),
                "false" => Node::Bool(false),
                "not" => Node::Not(Box::new(self.expression(2)?)),
                "if" => {
                    let c = self.expression(0)?;
                    self.expect_word("then")?;
                    let a = self.expression(0)?;
                    self.expect_word("else")?;
                    let b = self.expression(0)?;
                    Node::If(Box::new(c), Box::new(a), Box::new(b))
                }
                _ if self.is_sign("(") => {
                    self.next += 1;
                    Node::Call(w, self.arguments()?)
                }
                _ => Node::Var(w),
            },
            _ => return Err(Error::new(at, "expected a value")),
        };
        Ok(Expr { at, node })
    }

    fn arguments(&mut self) -> Result<Vec<Expr>, Error> {
        let mut args = Vec::new();
        if self.is_sign(")") {
            self.next += 1;
            return Ok(args);
        }
        loop {
            args.push(self.expression(0)?);
            if self.is_sign(",") {
                self.next += 1;
            } else {
                self.expect(")")?;
                return Ok(args);
            }
        }
    }
}
