//! Grammar of statements, as a recursive-descent parser.
//!
//! ```text
//! text       = statement { ";" statement } [ ";" ]
//! statement  = "explain" "request" name
//!            | "show" ( kind name | "prefix" name | "config" )
//!            | "list" kind [ "where" filter { "and" filter } ]
//!            | "history" [ "limit" integer ]
//!            | ( "declare" | "alter" ) kind name { field }
//!            | "delete" kind name
//!            | ( "drain" | "resume" ) "upstream" name
//!            | "load" "model" name "weights" integer
//!            | "limit" "organisation" name [ "service" name ]
//!              ( "requests" "=" rate | "tokens" "=" rate ) ...
//! filter     = name ( "=" | "!=" | "<" | "<=" | ">" | ">=" | "contains" ) scalar
//! field      = name "=" ( scalar | "[" [ scalar { "," scalar } ] "]" )
//! scalar     = integer | decimal | duration | rate | name
//! duration   = integer ( "ms" | "s" | "m" | "h" )
//! rate       = ( integer | decimal ) "/s"
//! name       = word | string
//! word       = 1 or more of letters, digits and - _ . : / | *
//! string     = '"' with \" \\ \n \t as escapes '"'
//! ```
//!
//! Words are separated by white space; `#` starts a comment that ends at the end of the line.

use dw_base::DurationMs;
use winnow::ascii::line_ending;
use winnow::ascii::multispace1;
use winnow::ascii::till_line_ending;
use winnow::combinator::alt;
use winnow::combinator::opt;
use winnow::combinator::peek;
use winnow::combinator::repeat;
use winnow::stream::Location;
use winnow::token::any;
use winnow::token::literal;
use winnow::token::take_while;
use winnow::LocatingSlice;
use winnow::Parser;

use crate::ast::Command;
use crate::ast::Comparison;
use crate::ast::Field;
use crate::ast::Filter;
use crate::ast::Kind;
use crate::ast::Query;
use crate::ast::Scalar;
use crate::ast::Spanned;
use crate::ast::Statement;
use crate::ast::Value;
use crate::error::ParseError;
use crate::error::RuleError;

type Input<'a> = LocatingSlice<&'a str>;
type RuleResult<T> = Result<T, RuleError>;

/// Maximum length of a text, which bounds the parsing time of untrusted input.
const MAX_TEXT_BYTES: usize = 1 << 20;

const STATEMENT_KEYWORDS: [&str; 11] = [
    "explain", "show", "list", "history", "declare", "alter", "delete", "drain", "resume", "load",
    "limit",
];

const DECLARABLE: [Kind; 6] = [
    Kind::Model,
    Kind::Operator,
    Kind::Organisation,
    Kind::Service,
    Kind::Setting,
    Kind::Upstream,
];

const DELETABLE: [Kind; 7] = [
    Kind::Limit,
    Kind::Model,
    Kind::Operator,
    Kind::Organisation,
    Kind::Service,
    Kind::Setting,
    Kind::Upstream,
];

/// Parses one or more statements.
///
/// # Errors
///
/// Returns an error with the unexpected token and the tokens that are valid in its place.
pub fn parse(text: &str) -> Result<Vec<Spanned>, ParseError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(ParseError {
            offset: MAX_TEXT_BYTES,
            found: "a longer text".to_owned(),
            expected: vec![format!("at most {MAX_TEXT_BYTES} bytes in one request")],
        });
    }
    let mut input = LocatingSlice::new(text);
    statements(&mut input).map_err(|error| {
        let rest = text.get(error.offset..).unwrap_or_default();
        ParseError {
            offset: error.offset,
            found: first_token(rest).to_owned(),
            expected: error.expected,
        }
    })
}

fn statements(input: &mut Input<'_>) -> RuleResult<Vec<Spanned>> {
    let mut statements = Vec::new();
    loop {
        skip_space(input)?;
        if !statements.is_empty() && input.is_empty() {
            return Ok(statements);
        }
        let offset = input.current_token_start();
        let statement = statement(input)?;
        statements.push(Spanned { offset, statement });
        if !input.is_empty() {
            token(input, ";")?;
        }
    }
}

fn statement(input: &mut Input<'_>) -> RuleResult<Statement> {
    let first = keyword(input, &STATEMENT_KEYWORDS)?;
    let query = match first {
        "explain" => explain(input)?,
        "show" => show(input)?,
        "list" => list(input)?,
        "history" => history(input)?,
        _ => return command(input, first).map(Statement::Command),
    };
    Ok(Statement::Query(query))
}

fn explain(input: &mut Input<'_>) -> RuleResult<Query> {
    keyword(input, &["request"])?;
    name(input, "a request id").map(Query::ExplainRequest)
}

fn show(input: &mut Input<'_>) -> RuleResult<Query> {
    let kinds = Kind::ALL.map(|kind| kind.to_string());
    let mut words: Vec<&str> = kinds.iter().map(String::as_str).collect();
    words.extend(["prefix", "config"]);
    match keyword(input, &words)? {
        "prefix" => name(input, "a block hash").map(Query::ShowPrefix),
        "config" => Ok(Query::ShowConfig),
        word => {
            let kind = kind_of(word, &Kind::ALL);
            let name = name(input, "a name")?;
            Ok(Query::Show { kind, name })
        }
    }
}

fn list(input: &mut Input<'_>) -> RuleResult<Query> {
    let kind = kind(input, &Kind::ALL)?;
    let mut filters = Vec::new();
    let mut word = "where";
    while !at_end(input) {
        keyword_or_end(input, &[word])?;
        filters.push(filter(input)?);
        word = "and";
    }
    Ok(Query::List { kind, filters })
}

fn filter(input: &mut Input<'_>) -> RuleResult<Filter> {
    let field = name(input, "a field")?;
    let comparison = comparison(input)?;
    let value = scalar(input)?;
    Ok(Filter {
        field,
        comparison,
        value,
    })
}

fn comparison(input: &mut Input<'_>) -> RuleResult<Comparison> {
    let texts = Comparison::ALL.map(|comparison| comparison.to_string());
    for (comparison, text) in Comparison::ALL.into_iter().zip(&texts) {
        let is_word = comparison == Comparison::Contains;
        if (is_word && next_word(input) == text) || (!is_word && input.starts_with(text.as_str())) {
            token(input, text)?;
            return Ok(comparison);
        }
    }
    fail(input, texts)
}

fn history(input: &mut Input<'_>) -> RuleResult<Query> {
    if at_end(input) {
        return Ok(Query::History { limit: None });
    }
    keyword_or_end(input, &["limit"])?;
    let limit = Some(integer(input)?);
    Ok(Query::History { limit })
}

fn command(input: &mut Input<'_>, first: &str) -> RuleResult<Command> {
    match first {
        "declare" => {
            let (kind, name) = object(input, &DECLARABLE)?;
            let fields = fields(input)?;
            Ok(Command::Declare { kind, name, fields })
        }
        "alter" => {
            let (kind, name) = object(input, &DECLARABLE)?;
            let mut fields = vec![field(input, &[])?];
            while !at_end(input) {
                fields.push(field(input, &fields)?);
            }
            Ok(Command::Alter { kind, name, fields })
        }
        "delete" => {
            let (kind, name) = object(input, &DELETABLE)?;
            Ok(Command::Delete { kind, name })
        }
        "drain" => upstream(input).map(|upstream| Command::Drain { upstream }),
        "resume" => upstream(input).map(|upstream| Command::Resume { upstream }),
        "load" => load(input),
        _ => limit(input),
    }
}

fn object(input: &mut Input<'_>, kinds: &[Kind]) -> RuleResult<(Kind, String)> {
    let kind = kind(input, kinds)?;
    Ok((kind, name(input, "a name")?))
}

fn upstream(input: &mut Input<'_>) -> RuleResult<String> {
    keyword(input, &["upstream"])?;
    name(input, "the name of an upstream")
}

fn load(input: &mut Input<'_>) -> RuleResult<Command> {
    keyword(input, &["model"])?;
    let model = name(input, "the name of a model")?;
    keyword(input, &["weights"])?;
    let weights = integer(input)?;
    Ok(Command::Load { model, weights })
}

fn limit(input: &mut Input<'_>) -> RuleResult<Command> {
    keyword(input, &["organisation"])?;
    let organisation = name(input, "the name of an organisation")?;
    let service = match next_word(input) {
        "service" => {
            keyword(input, &["service"])?;
            Some(name(input, "the name of a service")?)
        }
        _ => None,
    };
    let (mut requests_per_s, mut tokens_per_s) = (None, None);
    while !at_end(input) || (requests_per_s, tokens_per_s) == (None, None) {
        let mut words = Vec::new();
        words.extend(requests_per_s.is_none().then_some("requests"));
        words.extend(tokens_per_s.is_none().then_some("tokens"));
        let word = match words.len() {
            2 => keyword(input, &words)?,
            _ => keyword_or_end(input, &words)?,
        };
        token(input, "=")?;
        let rate = Some(rate(input)?);
        match word {
            "requests" => requests_per_s = rate,
            _ => tokens_per_s = rate,
        }
    }
    Ok(Command::Limit {
        organisation,
        service,
        requests_per_s,
        tokens_per_s,
    })
}

fn fields(input: &mut Input<'_>) -> RuleResult<Vec<Field>> {
    let mut fields = Vec::new();
    while !at_end(input) {
        fields.push(field(input, &fields)?);
    }
    Ok(fields)
}

fn field(input: &mut Input<'_>, previous: &[Field]) -> RuleResult<Field> {
    let start = *input;
    let name = name(input, "field=value")?;
    if previous.iter().any(|field| field.name == name) {
        return fail(&start, ["each field once".to_owned()]);
    }
    token(input, "=")?;
    let value = value(input)?;
    Ok(Field { name, value })
}

fn value(input: &mut Input<'_>) -> RuleResult<Value> {
    if !input.starts_with('[') {
        return scalar(input).map(Value::Scalar);
    }
    token(input, "[")?;
    let mut scalars = Vec::new();
    if input.starts_with(']') {
        token(input, "]")?;
        return Ok(Value::List(scalars));
    }
    loop {
        scalars.push(scalar(input)?);
        if input.starts_with(',') {
            token(input, ",")?;
        } else if input.starts_with(']') {
            token(input, "]")?;
            return Ok(Value::List(scalars));
        } else {
            return fail(input, [",".to_owned(), "]".to_owned()]);
        }
    }
}

fn scalar(input: &mut Input<'_>) -> RuleResult<Scalar> {
    if input.starts_with('"') {
        return name(input, "a value").map(Scalar::Text);
    }
    name(input, "a value").map(|word| scalar_of_word(&word))
}

/// Interprets an unquoted word as a value.
pub(crate) fn scalar_of_word(word: &str) -> Scalar {
    if let Some(rate) = word.strip_suffix("/s").and_then(decimal_number) {
        return Scalar::Rate(rate);
    }
    if word.bytes().all(|b| b.is_ascii_digit()) {
        if let Ok(number) = word.parse() {
            return Scalar::Integer(number);
        }
    } else if let Some(number) = decimal_number(word) {
        return Scalar::Decimal(number);
    } else if let Ok(duration) = word.parse::<DurationMs>() {
        return Scalar::Duration(duration);
    }
    Scalar::Text(word.to_owned())
}

/// Parses a decimal number without sign and exponent.
fn decimal_number(text: &str) -> Option<f64> {
    let is_digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    if !is_digits(whole) || !is_digits(fraction) {
        return None;
    }
    text.parse().ok().filter(|number: &f64| number.is_finite())
}

fn integer(input: &mut Input<'_>) -> RuleResult<u64> {
    let start = *input;
    match scalar(input) {
        Ok(Scalar::Integer(number)) => Ok(number),
        _ => fail(&start, ["a whole number".to_owned()]),
    }
}

fn rate(input: &mut Input<'_>) -> RuleResult<f64> {
    let start = *input;
    match scalar(input) {
        Ok(Scalar::Rate(rate)) => Ok(rate),
        _ => fail(&start, ["a rate, for example 50/s".to_owned()]),
    }
}

fn kind(input: &mut Input<'_>, kinds: &[Kind]) -> RuleResult<Kind> {
    let texts: Vec<String> = kinds.iter().map(Kind::to_string).collect();
    let words: Vec<&str> = texts.iter().map(String::as_str).collect();
    keyword(input, &words).map(|word| kind_of(word, kinds))
}

/// Returns the kind with this name. The caller has already matched `word` against `kinds`, so the
/// fallback is unreachable.
fn kind_of(word: &str, kinds: &[Kind]) -> Kind {
    let found = kinds.iter().find(|kind| kind.to_string() == word);
    found.copied().unwrap_or(Kind::Upstream)
}

fn keyword<'w>(input: &mut Input<'_>, words: &[&'w str]) -> RuleResult<&'w str> {
    let found = next_word(input);
    match words.iter().find(|word| **word == found) {
        Some(word) => {
            token(input, word)?;
            Ok(word)
        }
        None => fail(input, words.iter().map(|word| (*word).to_owned())),
    }
}

/// Like [`keyword`], at a position where the statement may also end.
fn keyword_or_end<'w>(input: &mut Input<'_>, words: &[&'w str]) -> RuleResult<&'w str> {
    keyword(input, words).map_err(|mut error| {
        error.expected.push(";".to_owned());
        error
    })
}

fn name(input: &mut Input<'_>, expected: &str) -> RuleResult<String> {
    let start = *input;
    let parsed = alt((string, word.map(str::to_owned))).parse_next(input);
    match parsed {
        Ok(name) => {
            skip_space(input)?;
            Ok(name)
        }
        Err(error) if error.expected.is_empty() => fail(&start, [expected.to_owned()]),
        Err(error) => Err(error),
    }
}

fn word<'a>(input: &mut Input<'a>) -> RuleResult<&'a str> {
    take_while(1.., is_word_char).parse_next(input)
}

fn string(input: &mut Input<'_>) -> RuleResult<String> {
    literal("\"").parse_next(input)?;
    let mut text = String::new();
    loop {
        let start = *input;
        let next: RuleResult<char> = any.parse_next(input);
        match next {
            Ok('"') => return Ok(text),
            Ok('\\') => text.push(escaped(input)?),
            Ok(c) => text.push(c),
            Err(_) => return fail(&start, ["\" at the end of the string".to_owned()]),
        }
    }
}

fn escaped(input: &mut Input<'_>) -> RuleResult<char> {
    let start = *input;
    let next: RuleResult<char> = any.parse_next(input);
    match next {
        Ok(c @ ('"' | '\\')) => Ok(c),
        Ok('n') => Ok('\n'),
        Ok('t') => Ok('\t'),
        _ => fail(&start, ["\\\"", "\\\\", "\\n", "\\t"].map(str::to_owned)),
    }
}

/// Consumes `text` and the white space and comments after it.
fn token(input: &mut Input<'_>, text: &str) -> RuleResult<()> {
    let start = *input;
    let found: RuleResult<&str> = literal(text).parse_next(input);
    match found {
        Ok(_) => skip_space(input),
        Err(_) => fail(&start, [text.to_owned()]),
    }
}

fn skip_space(input: &mut Input<'_>) -> RuleResult<()> {
    let comment = ("#", till_line_ending, opt(line_ending)).void();
    repeat(0.., alt((multispace1.void(), comment))).parse_next(input)
}

fn at_end(input: &Input<'_>) -> bool {
    input.is_empty() || input.starts_with(';')
}

fn next_word<'a>(input: &Input<'a>) -> &'a str {
    let mut ahead = *input;
    peek(word).parse_next(&mut ahead).unwrap_or_default()
}

fn first_token(rest: &str) -> &str {
    let end = rest.find(|c| !is_word_char(c)).unwrap_or(rest.len());
    let first_char = rest.chars().next().map_or(0, char::len_utf8);
    &rest[..end.max(first_char)]
}

fn fail<T>(input: &Input<'_>, expected: impl IntoIterator<Item = String>) -> RuleResult<T> {
    Err(RuleError {
        offset: input.current_token_start(),
        expected: expected.into_iter().collect(),
    })
}

fn is_word_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || "-_.:/|*".contains(c)
}

/// Returns whether `text` can be written as a name without quotes.
pub(crate) fn is_word(text: &str) -> bool {
    !text.is_empty() && text.chars().all(is_word_char)
}
