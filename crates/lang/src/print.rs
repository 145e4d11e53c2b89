//! Canonical text form of statements. Parsing it yields the same statement.

use std::fmt;

use dw_base::DurationMs;

use crate::ast::Command;
use crate::ast::Comparison;
use crate::ast::Field;
use crate::ast::Filter;
use crate::ast::Kind;
use crate::ast::Query;
use crate::ast::Scalar;
use crate::ast::Statement;
use crate::ast::Value;
use crate::grammar::is_word;
use crate::grammar::scalar_of_word;

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Limit => "limit",
            Kind::Model => "model",
            Kind::Node => "node",
            Kind::Operator => "operator",
            Kind::Organisation => "organisation",
            Kind::Service => "service",
            Kind::Setting => "setting",
            Kind::Upstream => "upstream",
        })
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Comparison::Equal => "=",
            Comparison::NotEqual => "!=",
            Comparison::Less => "<",
            Comparison::LessEqual => "<=",
            Comparison::Greater => ">",
            Comparison::GreaterEqual => ">=",
            Comparison::Contains => "contains",
        })
    }
}

/// A name, quoted if it is not a single word.
struct Name<'a>(&'a str);

impl fmt::Display for Name<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if is_word(self.0) {
            return f.write_str(self.0);
        }
        f.write_str("\"")?;
        for c in self.0.chars() {
            match c {
                '"' | '\\' => write!(f, "\\{c}")?,
                '\n' => f.write_str("\\n")?,
                '\t' => f.write_str("\\t")?,
                c => write!(f, "{c}")?,
            }
        }
        f.write_str("\"")
    }
}

impl fmt::Display for Scalar {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scalar::Integer(number) => write!(f, "{number}"),
            Scalar::Decimal(number) if number.fract() == 0.0 => write!(f, "{number}.0"),
            Scalar::Decimal(number) => write!(f, "{number}"),
            Scalar::Duration(duration) => f.write_str(&duration_text(*duration)),
            Scalar::Rate(rate) => write!(f, "{rate}/s"),
            Scalar::Text(text) if is_word(text) && scalar_of_word(text) != *self => {
                write!(f, "\"{text}\"")
            }
            Scalar::Text(text) => Name(text).fmt(f),
        }
    }
}

fn duration_text(duration: DurationMs) -> String {
    let units = [(3_600_000, "h"), (60_000, "m"), (1_000, "s")];
    let divides = |(factor, _): &(u64, &str)| duration.0 > 0 && duration.0.is_multiple_of(*factor);
    match units.into_iter().find(divides) {
        Some((factor, unit)) => format!("{}{unit}", duration.0 / factor),
        None => format!("{}ms", duration.0),
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Scalar(scalar) => scalar.fmt(f),
            Value::List(scalars) => {
                let texts: Vec<String> = scalars.iter().map(Scalar::to_string).collect();
                write!(f, "[{}]", texts.join(", "))
            }
        }
    }
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Query::ExplainRequest(id) => write!(f, "explain request {}", Name(id)),
            Query::Show { kind, name } => write!(f, "show {kind} {}", Name(name)),
            Query::List { kind, filters } => {
                write!(f, "list {kind}")?;
                filters.iter().enumerate().try_for_each(|(index, filter)| {
                    let keyword = if index == 0 { "where" } else { "and" };
                    write!(f, " {keyword} {filter}")
                })
            }
            Query::ShowPrefix(hash) => write!(f, "show prefix {}", Name(hash)),
            Query::ShowConfig => f.write_str("show config"),
            Query::History { limit: None } => f.write_str("history"),
            Query::History { limit: Some(limit) } => write!(f, "history limit {limit}"),
        }
    }
}

impl fmt::Display for Filter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {}",
            Name(&self.field),
            self.comparison,
            self.value
        )
    }
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Command::Declare { kind, name, fields } => {
                write!(f, "declare {kind} {}", Name(name))?;
                write_fields(f, fields)
            }
            Command::Alter { kind, name, fields } => {
                write!(f, "alter {kind} {}", Name(name))?;
                write_fields(f, fields)
            }
            Command::Delete { kind, name } => write!(f, "delete {kind} {}", Name(name)),
            Command::Drain { upstream } => write!(f, "drain upstream {}", Name(upstream)),
            Command::Resume { upstream } => write!(f, "resume upstream {}", Name(upstream)),
            Command::Load { model, weights } => {
                write!(f, "load model {} weights {weights}", Name(model))
            }
            Command::Limit {
                organisation,
                service,
                requests_per_s,
                tokens_per_s,
            } => {
                write!(f, "limit organisation {}", Name(organisation))?;
                if let Some(service) = service {
                    write!(f, " service {}", Name(service))?;
                }
                if let Some(rate) = requests_per_s {
                    write!(f, " requests={rate}/s")?;
                }
                if let Some(rate) = tokens_per_s {
                    write!(f, " tokens={rate}/s")?;
                }
                Ok(())
            }
        }
    }
}

fn write_fields(f: &mut fmt::Formatter<'_>, fields: &[Field]) -> fmt::Result {
    fields
        .iter()
        .try_for_each(|field| write!(f, " {}={}", Name(&field.name), field.value))
}

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Statement::Query(query) => query.fmt(f),
            Statement::Command(command) => command.fmt(f),
        }
    }
}
