//! From text to tokens.

use super::error::{PolicyError, PolicyErrorReason, Position};

/// The signs. A sign that begins with another one comes before it.
const SIGNS: [&str; 14] = [
    "<=", ">=", "==", "!=", "<", ">", "=", "+", "-", "*", "/", "(", ")", ",",
];
/// From this character on a line is a comment.
const COMMENT: char = '#';
const QUOTATION_MARK: char = '"';

/// The smallest part of a text that means something.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TokenKind {
    /// A number.
    Number(f64),
    /// A text, without its quotation marks.
    Text(String),
    /// A name or a keyword.
    Word(String),
    /// One of [`SIGNS`].
    Sign(&'static str),
    /// The end of the text.
    End,
}

/// A token and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Token {
    /// Where it begins.
    pub(super) position: Position,
    /// What it is.
    pub(super) kind: TokenKind,
}

/// The tokens of a text. The last one is [`TokenKind::End`].
pub(super) fn tokenize(text: &str) -> Result<Vec<Token>, PolicyError> {
    let mut tokens = Vec::new();
    for (number, line) in (1..).zip(text.lines()) {
        tokenize_line(line, number, &mut tokens)?;
    }
    let last_line = text.lines().last().unwrap_or_default();
    tokens.push(Token {
        position: Position {
            line: text.lines().count().max(1) as u32,
            column: last_line.chars().count() as u32 + 1,
        },
        kind: TokenKind::End,
    });
    Ok(tokens)
}

fn tokenize_line(line: &str, number: u32, tokens: &mut Vec<Token>) -> Result<(), PolicyError> {
    let length = line.chars().count();
    let mut rest = line.trim_start();
    while let Some(first) = rest.chars().next().filter(|first| *first != COMMENT) {
        let position = Position {
            line: number,
            column: (length - rest.chars().count() + 1) as u32,
        };
        let (kind, bytes) =
            read_token(first, rest).map_err(|reason| PolicyError::new(position, reason))?;
        tokens.push(Token { position, kind });
        rest = rest[bytes..].trim_start();
    }
    Ok(())
}

/// The token that `rest` begins with, and how many bytes it takes.
fn read_token(first: char, rest: &str) -> Result<(TokenKind, usize), PolicyErrorReason> {
    if first.is_ascii_digit() {
        let digits = prefix(rest, |c| c.is_ascii_digit() || c == '.');
        let number = digits.parse();
        let number = number.map_err(|_| PolicyErrorReason::InvalidNumber)?;
        return Ok((TokenKind::Number(number), digits.len()));
    }
    if first.is_ascii_alphabetic() {
        let word = prefix(rest, |c| c.is_ascii_alphanumeric() || c == '_' || c == '.');
        return Ok((TokenKind::Word(word.to_owned()), word.len()));
    }
    if let Some(quoted) = rest.strip_prefix(QUOTATION_MARK) {
        let text = quoted.split_once(QUOTATION_MARK).map(|(text, _)| text);
        let text = text.ok_or(PolicyErrorReason::UnterminatedText)?;
        let quotation_marks = 2 * QUOTATION_MARK.len_utf8();
        return Ok((
            TokenKind::Text(text.to_owned()),
            text.len() + quotation_marks,
        ));
    }
    let sign = SIGNS.into_iter().find(|sign| rest.starts_with(sign));
    let sign = sign.ok_or(PolicyErrorReason::UnexpectedCharacter(first))?;
    Ok((TokenKind::Sign(sign), sign.len()))
}

/// The longest prefix of characters that belong to a token.
fn prefix(rest: &str, belongs: impl Fn(char) -> bool) -> &str {
    let end = rest.find(|c| !belongs(c)).unwrap_or(rest.len());
    &rest[..end]
}
