//! Small JSON reader, and base64.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        value(bytes, &mut at)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(members) => members.get(key).unwrap_or(&Json::Null),
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
            Json::List(items) => items,
            _ => &[],
        }
    }
}

fn space(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    space(b, at);
    match *b.get(*at)? {
        b'{' => {
            let mut members = BTreeMap::new();
            *at += 1;
            loop {
                space(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(members));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = string(b, at)?;
                        space(b, at);
                        if *b.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        members.insert(key, value(b, at)?);
                    }
                }
            }
        }
        b'[' => {
            let mut items = Vec::new();
            *at += 1;
            loop {
                space(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(b, at)?),
                }
            }
        }
        b'"' => string(b, at).map(Json::Text),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while b
                .get(*at)
                .is_some_and(|c| c.is_ascii_digit() || b"+-.eE".contains(c))
            {
                *at += 1;
            }
            std::str::from_utf8(&b[start..*at])
                .ok()?
                .parse()
                .ok()
                .map(Json::Number)
        }
    }
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    if *b.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let c = *b.get(*at + 1)?;
                *at += 2;
                match c {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        *at += 4;
                        let mut buf = [0; 4];
                        out.extend_from_slice(
                            char::from_u32(code)?.encode_utf8(&mut buf).as_bytes(),
                        );
                    }
                    other => out.push(other),
                }
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut n = 0u32;
        for i in 0..3 {
            n = n << 8 | u32::from(chunk.get(i).copied().unwrap_or(0));
        }
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(ALPHABET[(n >> (18 - 6 * i) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
