//! Operators' own settings: a small expression language, checked before the service starts.
//!
//! A policy is a list of `name = expression`. Every name has a type and a range, and variables that
//! it may use. A fault at run time (a division by zero, a value out of range) is reported once and
//! the built-in rule is used instead.

mod parse;

use std::collections::{BTreeMap, BTreeSet};

pub use parse::{Error, Expr, Op};

use parse::Node;

/// The built-in rules, in the same language.
pub const DEFAULT: &str = include_str!("default.policy");

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Number(f64),
    Bool(bool),
    Text(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    Number,
    Bool,
    Text,
}

impl std::fmt::Display for Type {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Type::Number => "a number",
            Type::Bool => "true or false",
            Type::Text => "text",
        })
    }
}

/// A rule's name: what it is for, what it may be, and what it may look at.
struct Rule {
    name: &'static str,
    ty: Type,
    min: f64,
    max: f64,
    scopes: &'static [&'static str],
}

const RULES: &[Rule] = &[
    Rule {
        name: "idle_keep_s",
        ty: Type::Number,
        min: 0.0,
        max: 86_400.0,
        scopes: &["type", "cluster"],
    },
    Rule {
        name: "gang_wait_s",
        ty: Type::Number,
        min: 0.1,
        max: 3_600.0,
        scopes: &["job", "cluster"],
    },
    Rule {
        name: "use_spot",
        ty: Type::Bool,
        min: 0.0,
        max: 1.0,
        scopes: &["job", "cluster"],
    },
    Rule {
        name: "dear_ratio",
        ty: Type::Number,
        min: 1.0,
        max: 1e6,
        scopes: &["job", "cluster"],
    },
    Rule {
        name: "consolidate",
        ty: Type::Bool,
        min: 0.0,
        max: 1.0,
        scopes: &["cluster"],
    },
    Rule {
        name: "drain_s",
        ty: Type::Number,
        min: 1.0,
        max: 86_400.0,
        scopes: &["cluster"],
    },
];

const VARIABLES: &[(&str, Type)] = &[
    ("job.class", Type::Text),
    ("job.team", Type::Text),
    ("job.kind", Type::Text),
    ("job.priority", Type::Text),
    ("job.tasks", Type::Number),
    ("job.cpus", Type::Number),
    ("job.gpus", Type::Number),
    ("job.mem_gb", Type::Number),
    ("job.estimate_s", Type::Number),
    ("type.name", Type::Text),
    ("type.cpus", Type::Number),
    ("type.gpus", Type::Number),
    ("type.mem_gb", Type::Number),
    ("type.price", Type::Number),
    ("type.boot_s", Type::Number),
    ("type.spot", Type::Bool),
    ("cluster.machines", Type::Number),
    ("cluster.jobs", Type::Number),
];

/// Where an evaluation finds the variables' values.
pub type Scope<'a> = &'a dyn Fn(&str) -> Option<Value>;

#[derive(Clone, Debug)]
pub struct Policy {
    rules: BTreeMap<&'static str, Expr>,
    defaults: BTreeMap<&'static str, Expr>,
    faulty: BTreeSet<&'static str>,
    /// Faults not yet told to anybody, at most one a rule.
    pub faults: Vec<String>,
}

impl Default for Policy {
    fn default() -> Policy {
        // The built-in text is checked by a test.
        let defaults = checked(DEFAULT).unwrap_or_default();
        Policy {
            rules: defaults.clone(),
            defaults,
            faulty: BTreeSet::new(),
            faults: Vec::new(),
        }
    }
}

impl Policy {
    /// Reads an operator's policy on top of the built-in one.
    pub fn parse(text: &str) -> Result<Policy, Error> {
        let mut p = Policy::default();
        p.rules.extend(checked(text)?);
        Ok(p)
    }

    pub fn number(&mut self, name: &'static str, scope: Scope) -> f64 {
        match self.value(name, scope) {
            Some(Value::Number(n)) => n,
            _ => 0.0,
        }
    }

    pub fn flag(&mut self, name: &'static str, scope: Scope) -> bool {
        matches!(self.value(name, scope), Some(Value::Bool(true)))
    }

    fn value(&mut self, name: &'static str, scope: Scope) -> Option<Value> {
        let rule = RULES.iter().find(|r| r.name == name)?;
        let found = self.rules.get(name)?;
        match eval(found, scope).and_then(|v| in_range(rule, v)) {
            Ok(v) => return Some(v),
            Err(why) => {
                if self.faulty.insert(rule.name) {
                    self.faults
                        .push(format!("policy: {name}: {why}; the default is used"));
                }
            }
        }
        eval(self.defaults.get(name)?, scope).ok()
    }
}

fn in_range(rule: &Rule, v: Value) -> Result<Value, String> {
    match v {
        Value::Number(n) if !n.is_finite() => Err("not a finite number".to_owned()),
        Value::Number(n) if n < rule.min || n > rule.max => {
            Err(format!("{n} is not between {} and {}", rule.min, rule.max))
        }
        v => Ok(v),
    }
}

/// Parses a text and checks names, types and, where a rule is constant, its range.
fn checked(text: &str) -> Result<BTreeMap<&'static str, Expr>, Error> {
    let mut rules = BTreeMap::new();
    for (name, at, expr) in parse::parse(text)? {
        let Some(rule) = RULES.iter().find(|r| r.name == name) else {
            return Err(Error::new(at, format!("there is no rule `{name}`")));
        };
        let ty = type_of(&expr, rule)?;
        if ty != rule.ty {
            return Err(Error::new(
                expr.at,
                format!("`{name}` must be {}, this is {ty}", rule.ty),
            ));
        }
        if let Ok(v) = eval(&expr, &|_| None) {
            in_range(rule, v).map_err(|why| Error::new(expr.at, format!("`{name}`: {why}")))?;
        }
        if rules.insert(rule.name, expr).is_some() {
            return Err(Error::new(at, format!("`{name}` is set twice")));
        }
    }
    Ok(rules)
}

fn type_of(e: &Expr, rule: &Rule) -> Result<Type, Error> {
    let want = |e: &Expr, ty: Type| {
        let found = type_of(e, rule)?;
        if found == ty {
            Ok(())
        } else {
            Err(Error::new(e.at, format!("expected {ty}, found {found}")))
        }
    };
    match &e.node {
        Node::Number(_) => Ok(Type::Number),
        Node::Bool(_) => Ok(Type::Bool),
        Node::Text(_) => Ok(Type::Text),
        Node::Var(name) => {
            let Some((_, ty)) = VARIABLES.iter().find(|v| v.0 == name) else {
                return Err(Error::new(e.at, format!("there is no variable `{name}`")));
            };
            let scope = name.split('.').next().unwrap_or_default();
            if !rule.scopes.contains(&scope) {
                let why = format!("`{name}` is not known to `{}`", rule.name);
                return Err(Error::new(e.at, why));
            }
            Ok(*ty)
        }
        Node::Not(a) => want(a, Type::Bool).map(|()| Type::Bool),
        Node::Neg(a) => want(a, Type::Number).map(|()| Type::Number),
        Node::Binary(op, a, b) => match op {
            Op::And | Op::Or => {
                want(a, Type::Bool)?;
                want(b, Type::Bool).map(|()| Type::Bool)
            }
            Op::Eq | Op::Ne => {
                let ty = type_of(a, rule)?;
                want(b, ty).map(|()| Type::Bool)
            }
            Op::Lt | Op::Le | Op::Gt | Op::Ge => {
                want(a, Type::Number)?;
                want(b, Type::Number).map(|()| Type::Bool)
            }
            Op::Add | Op::Sub | Op::Mul | Op::Div => {
                want(a, Type::Number)?;
                want(b, Type::Number).map(|()| Type::Number)
            }
        },
        Node::If(c, a, b) => {
            want(c, Type::Bool)?;
            let ty = type_of(a, rule)?;
            want(b, ty).map(|()| ty)
        }
        Node::Call(name, args) => {
            let count = match name.as_str() {
                "min" | "max" => 2,
                "clamp" => 3,
                "round" => 1,
                _ => return Err(Error::new(e.at, format!("there is no function `{name}`"))),
            };
            if args.len() != count {
                let why = format!("`{name}` takes {count} arguments, not {}", args.len());
                return Err(Error::new(e.at, why));
            }
            for a in args {
                want(a, Type::Number)?;
            }
            Ok(Type::Number)
        }
    }
}

fn eval(e: &Expr, scope: Scope) -> Result<Value, String> {
    let number = |e: &Expr| match eval(e, scope)? {
        Value::Number(n) => Ok(n),
        _ => Err("not a number".to_owned()),
    };
    let flag = |e: &Expr| match eval(e, scope)? {
        Value::Bool(b) => Ok(b),
        _ => Err("neither true nor false".to_owned()),
    };
    Ok(match &e.node {
        Node::Number(n) => Value::Number(*n),
        Node::Bool(b) => Value::Bool(*b),
        Node::Text(t) => Value::Text(t.clone()),
        Node::Var(name) => scope(name).ok_or_else(|| format!("`{name}` is not known"))?,
        Node::Not(a) => Value::Bool(!flag(a)?),
        Node::Neg(a) => Value::Number(-number(a)?),
        Node::Binary(Op::And, a, b) => Value::Bool(flag(a)? && flag(b)?),
        Node::Binary(Op::Or, a, b) => Value::Bool(flag(a)? || flag(b)?),
        Node::Binary(Op::Eq, a, b) => Value::Bool(eval(a, scope)? == eval(b, scope)?),
        Node::Binary(Op::Ne, a, b) => Value::Bool(eval(a, scope)? != eval(b, scope)?),
        Node::Binary(op, a, b) => {
            let (a, b) = (number(a)?, number(b)?);
            match op {
                Op::Lt => Value::Bool(a < b),
                Op::Le => Value::Bool(a <= b),
                Op::Gt => Value::Bool(a > b),
                Op::Ge => Value::Bool(a >= b),
                Op::Add => Value::Number(a + b),
                Op::Sub => Value::Number(a - b),
                Op::Mul => Value::Number(a * b),
                Op::Div if b == 0.0 => return Err("division by zero".to_owned()),
                _ => Value::Number(a / b),
            }
        }
        Node::If(c, a, b) => eval(if flag(c)? { a } else { b }, scope)?,
        Node::Call(name, args) => {
            let v: Vec<f64> = args.iter().map(number).collect::<Result<_, _>>()?;
            Value::Number(match (name.as_str(), v.as_slice()) {
                ("min", [a, b]) => a.min(*b),
                ("max", [a, b]) => a.max(*b),
                ("clamp", [x, lo, hi]) => x.max(*lo).min(*hi),
                ("round", [a]) => a.round(),
                _ => return Err(format!("no function `{name}`")),
            })
        }
    })
}

#[cfg(test)]
mod tests;
