//! A small JSON value with a parser and a writer, enough for the bodies of the platform's pages.

use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// A number as it was written.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn number(value: u64) -> Json {
        Json::Number(value.to_string())
    }

    pub fn text(value: &str) -> Json {
        Json::Text(value.to_string())
    }

    pub fn object(fields: Vec<(&str, Json)>) -> Json {
        Json::Object(fields.into_iter().map(|(name, value)| (name.to_string(), value)).collect())
    }

    /// Parses a text that is known to be valid.
    pub fn of(text: &str) -> Json {
        Json::parse(text).expect("valid JSON in a case")
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.skip_spaces();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|it| it.0 == name).map(|it| &it.1),
            _ => None,
        }
    }

    pub fn set(&mut self, name: &str, value: Json) {
        if let Json::Object(fields) = self {
            match fields.iter_mut().find(|it| it.0 == name) {
                Some(field) => field.1 = value,
                None => fields.push((name.to_string(), value)),
            }
        }
    }

    pub fn as_text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn as_number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn write(&self) -> String {
        let mut out = String::new();
        self.write_to(&mut out);
        out
    }

    fn write_to(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Number(text) => out.push_str(text),
            Json::Text(text) => write_text(text, out),
            Json::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write_to(out);
                }
                out.push(']');
            }
            Json::Object(fields) => {
                out.push('{');
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(name, out);
                    out.push(':');
                    value.write_to(out);
                }
                out.push('}');
            }
        }
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for character in text.chars() {
        match character {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            it if (it as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", it as u32);
            }
            it => out.push(it),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_spaces(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn next(&mut self) -> Option<u8> {
        self.skip_spaces();
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.next()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.next()? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.next()? != b']' {
                    if !items.is_empty() {
                        self.take(b',')?;
                    }
                    items.push(self.value()?);
                }
                self.at += 1;
                Some(Json::List(items))
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.next()? != b'}' {
                    if !fields.is_empty() {
                        self.take(b',')?;
                    }
                    self.skip_spaces();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value()?));
                }
                self.at += 1;
                Some(Json::Object(fields))
            }
            _ => {
                let start = self.at;
                let is_part = |it: &u8| it.is_ascii_digit() || b"+-.eE".contains(it);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                (!text.is_empty()).then(|| Json::Number(text.to_string()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            self.at += 4;
                            let character = char::from_u32(code.ok()?)?;
                            bytes.extend(character.to_string().as_bytes());
                        }
                        it => bytes.push(it),
                    }
                }
                it => bytes.push(it),
            }
        }
    }
}
