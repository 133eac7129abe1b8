//! A small JSON reader, and base64.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            text: text.as_bytes(),
            at: 0,
        };
        parser.value()
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        Some(self.text[self.at])
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                let mut table = BTreeMap::new();
                self.at += 1;
                if self.peek()? == b'}' {
                    self.at += 1;
                    return Some(Json::Table(table));
                }
                loop {
                    self.peek()?;
                    let name = self.string()?;
                    if self.peek()? != b':' {
                        return None;
                    }
                    self.at += 1;
                    table.insert(name, self.value()?);
                    let next = self.peek()?;
                    self.at += 1;
                    match next {
                        b',' => {}
                        b'}' => return Some(Json::Table(table)),
                        _ => return None,
                    }
                }
            }
            b'[' => {
                let mut list = Vec::new();
                self.at += 1;
                if self.peek()? == b']' {
                    self.at += 1;
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    let next = self.peek()?;
                    self.at += 1;
                    match next {
                        b',' => {}
                        b']' => return Some(Json::List(list)),
                        _ => return None,
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            _ => {
                let rest = &self.text[self.at..];
                let ends = |b: &u8| b",]} \r\n\t".contains(b);
                let end = rest.iter().position(ends).unwrap_or(rest.len());
                let word = std::str::from_utf8(&rest[..end]).ok()?;
                self.at += end;
                match word {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    number => number.parse().ok().map(Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let code = self.text.get(self.at..self.at + 4)?;
                            let code = std::str::from_utf8(code).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            self.at += 4;
                            let c = char::from_u32(code).unwrap_or('?');
                            bytes.extend(c.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let n = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for at in 0..4 {
            if at <= part.len() {
                out.push(char::from(ALPHABET[(n >> (18 - 6 * at) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes().filter(|b| *b != b'=') {
        let Some(value) = ALPHABET.iter().position(|a| *a == byte) else {
            continue;
        };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count & 255) as u8);
        }
    }
    out
}
