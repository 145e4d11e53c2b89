//! A small JSON reader.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Returns the value under a key of an object.
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, v)| v),
            _ => None,
        }
    }

    /// Returns the text, or an empty one.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// Returns the number, or zero.
    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    /// Returns the items of a list, or none.
    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Parses a document; none if it is malformed.
pub fn parse(text: &str) -> Option<Json> {
    let chars: Vec<char> = text.chars().collect();
    let mut at = 0;
    value(&chars, &mut at)
}

fn skip(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn take(chars: &[char], at: &mut usize, wanted: char) -> Option<()> {
    skip(chars, at);
    (chars.get(*at) == Some(&wanted)).then(|| *at += 1)
}

fn word(chars: &[char], at: &mut usize, word: &str, json: Json) -> Option<Json> {
    let found: String = chars.iter().skip(*at).take(word.len()).collect();
    (found == word).then(|| {
        *at += word.len();
        json
    })
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match chars.get(*at)? {
        '{' => object(chars, at),
        '[' => list(chars, at),
        '"' => string(chars, at).map(Json::Text),
        't' => word(chars, at, "true", Json::Bool(true)),
        'f' => word(chars, at, "false", Json::Bool(false)),
        'n' => word(chars, at, "null", Json::Null),
        _ => {
            let start = *at;
            while chars
                .get(*at)
                .is_some_and(|c| c.is_ascii_digit() || "+-.eE".contains(*c))
            {
                *at += 1;
            }
            let number: String = chars[start..*at].iter().collect();
            number.parse().ok().map(Json::Number)
        }
    }
}

fn object(chars: &[char], at: &mut usize) -> Option<Json> {
    take(chars, at, '{')?;
    let mut fields = Vec::new();
    if take(chars, at, '}').is_some() {
        return Some(Json::Object(fields));
    }
    loop {
        skip(chars, at);
        let key = string(chars, at)?;
        take(chars, at, ':')?;
        fields.push((key, value(chars, at)?));
        if take(chars, at, ',').is_none() {
            take(chars, at, '}')?;
            return Some(Json::Object(fields));
        }
    }
}

fn list(chars: &[char], at: &mut usize) -> Option<Json> {
    take(chars, at, '[')?;
    let mut items = Vec::new();
    if take(chars, at, ']').is_some() {
        return Some(Json::List(items));
    }
    loop {
        items.push(value(chars, at)?);
        if take(chars, at, ',').is_none() {
            take(chars, at, ']')?;
            return Some(Json::List(items));
        }
    }
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    take(chars, at, '"')?;
    let mut text = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'u' => {
                        let hex: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}
