//! Splits a policy's text into tokens.

use super::error::{PolicyError, PolicyErrorReason, Position};

/// The operators and other symbols. A symbol that begins with another one precedes it in this list.
const SYMBOLS: [&str; 14] = [
    "<=", ">=", "==", "!=", "<", ">", "=", "+", "-", "*", "/", "(", ")", ",",
];
/// The rest of a line from this character on is a comment.
const COMMENT_START: char = '#';
const QUOTATION_MARK: char = '"';

/// The kind and content of a token.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TokenKind {
    /// A numeric literal.
    Number(f64),
    /// A quoted text, without its quotation marks.
    Text(String),
    /// A name or a keyword.
    Word(String),
    /// One of [`SYMBOLS`].
    Symbol(&'static str),
    /// The end of the text.
    End,
}

/// A token and its position in the text.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Token {
    /// The position of its first character.
    pub(super) position: Position,
    /// The kind and content.
    pub(super) kind: TokenKind,
}

/// Returns the tokens of a text. The last one is [`TokenKind::End`].
pub(super) fn tokenize(text: &str) -> Result<Vec<Token>, PolicyError> {
    let mut tokens = Vec::new();
    for (line_number, line) in (1..).zip(text.lines()) {
        tokenize_line(line, line_number, &mut tokens)?;
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

fn tokenize_line(line: &str, line_number: u32, tokens: &mut Vec<Token>) -> Result<(), PolicyError> {
    let length = line.chars().count();
    let mut rest = line.trim_start();
    while let Some(first) = rest.chars().next().filter(|first| *first != COMMENT_START) {
        let position = Position {
            line: line_number,
            column: (length - rest.chars().count() + 1) as u32,
        };
        let (kind, bytes) =
            read_token(first, rest).map_err(|reason| PolicyError::new(position, reason))?;
        tokens.push(Token { position, kind });
        rest = rest[bytes..].trim_start();
    }
    Ok(())
}

/// Returns the token that `rest` begins with, and its length in bytes.
fn read_token(first: char, rest: &str) -> Result<(TokenKind, usize), PolicyErrorReason> {
    if first.is_ascii_digit() {
        let digits = prefix_while(rest, |c| c.is_ascii_digit() || c == '.');
        let number = digits.parse();
        let number = number.map_err(|_| PolicyErrorReason::InvalidNumber)?;
        return Ok((TokenKind::Number(number), digits.len()));
    }
    if first.is_ascii_alphabetic() {
        let word = prefix_while(rest, |c| c.is_ascii_alphanumeric() || c == '_' || c == '.');
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
    let symbol = SYMBOLS.into_iter().find(|symbol| rest.starts_with(symbol));
    let symbol = symbol.ok_or(PolicyErrorReason::UnexpectedCharacter(first))?;
    Ok((TokenKind::Symbol(symbol), symbol.len()))
}

/// Returns the longest prefix whose characters all belong to a token.
fn prefix_while(rest: &str, belongs: impl Fn(char) -> bool) -> &str {
    let end = rest.find(|c| !belongs(c)).unwrap_or(rest.len());
    &rest[..end]
}
