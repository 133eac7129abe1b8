//! Renders the templates in `deploy/` as the platform does.

use serde_json::Value;

/// Fields of an entry VM and of a VM with an engine, with the figures that the platform may vary.
pub const FIELDS: &str = r#"{"node":"g","zone":"a","ip":"127.0.0.1","app":"127.0.0.1:1",
  "listen":{"front":"127.0.0.1:0","readiness":"127.0.0.1:0"},"portRange":[0,15],"beatMs":1200,
  "limits":{"cpuShare":0.19,"cores":1,"memoryMb":260},"tolerate":{"machines":2,"zones":0},
  "bounds":{"touchMs":3000,"drainMs":2000,"graceS":8,"configMs":2000,"failClosed":true,"revokeMs":5000,
    "budgetRatio":0.9,"budgetWindowS":10,"budgetSlack":52,"exposeShare":0.15,"sessionS":5,"coldOver":1.5,"coldSlack":5},
  "platform":{"addr":"127.0.0.1:2","writesPerS":400}}"#;

/// The fields of a process.
#[derive(Debug, Clone)]
pub struct Fields(Value);

impl Fields {
    /// Returns the fields of [`FIELDS`].
    pub fn new() -> Self {
        Self(serde_json::from_str(FIELDS).expect("the fields are valid"))
    }

    /// Returns the fields with another value at `path`; `None` removes it.
    pub fn with(&self, path: &str, value: Option<Value>) -> Self {
        let mut fields = self.clone();
        let (parent, name) = path.rsplit_once('.').unwrap_or(("", path));
        let names = parent.split('.').filter(|name| !name.is_empty());
        let at = names.fold(&mut fields.0, |at, name| &mut at[name]);
        match (at, value) {
            (Value::Array(list), value) => {
                let index: usize = name.parse().expect("the name is an index");
                list[index] = value.unwrap_or_default();
            }
            (at, Some(value)) => at[name] = value,
            (at, None) => {
                at.as_object_mut()
                    .expect("the parent is a table")
                    .remove(name);
            }
        }
        fields
    }

    /// Renders a template.
    pub fn render(&self, template: &str) -> String {
        render(template, &[Scope::of(&self.0)])
    }

    /// Returns the placeholders of a template whose value is a number or a switch.
    pub fn figures(&self, template: &str) -> Vec<String> {
        let names = template.split("{{").skip(1).map(|rest| {
            let name = rest.split("}}").next().expect("a placeholder ends");
            name.trim_start_matches(['#', '^'])
                .trim_end_matches("|json")
        });
        let scopes = [Scope::of(&self.0)];
        let is_figure = |name: &&str| {
            let value = lookup(name, &scopes);
            value.is_some_and(|v| v.is_number() || v.is_boolean())
        };
        let mut names: Vec<_> = names.filter(is_figure).map(str::to_owned).collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}

/// A value in which names are looked up, and its place in a section.
#[derive(Clone, Copy)]
struct Scope<'a> {
    value: &'a Value,
    key: &'a str,
    is_last: bool,
}

impl<'a> Scope<'a> {
    const fn of(value: &'a Value) -> Self {
        Self {
            value,
            key: "",
            is_last: true,
        }
    }
}

/// Looks a name up in the innermost scope that has it.
fn lookup<'a>(path: &str, scopes: &[Scope<'a>]) -> Option<&'a Value> {
    if path == "." {
        return scopes.last().map(|scope| scope.value);
    }
    scopes.iter().rev().find_map(|scope| {
        path.split('.').try_fold(scope.value, |at, name| match at {
            Value::Object(table) => table.get(name),
            Value::Array(list) => list.get(name.parse::<usize>().ok()?),
            _ => None,
        })
    })
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(text).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

fn placeholder(name: &str, scopes: &[Scope<'_>]) -> String {
    let innermost = scopes.last().expect("there is a scope");
    match (name, name.strip_suffix("|json")) {
        (",", _) => if innermost.is_last { "" } else { "," }.to_owned(),
        ("@", _) => innermost.key.to_owned(),
        (_, Some(name)) => lookup(name, scopes).unwrap_or(&Value::Null).to_string(),
        (_, None) => lookup(name, scopes).map(text).unwrap_or_default(),
    }
}

fn render(template: &str, scopes: &[Scope<'_>]) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let end = start + rest[start..].find("}}").expect("a placeholder ends");
        let name = &rest[start + 2..end];
        rest = &rest[end + 2..];
        let Some(section) = name.strip_prefix(['#', '^']) else {
            out.push_str(&placeholder(name, scopes));
            continue;
        };
        let close = format!("{{{{/{section}}}}}");
        let end = rest.find(&close).expect("a section ends");
        let inner = &rest[..end];
        rest = &rest[end + close.len()..];
        let value = lookup(section, scopes);
        let is_absent = matches!(value, None | Some(Value::Null | Value::Bool(false)));
        match (name.starts_with('^'), value) {
            (true, _) if is_absent => out.push_str(&render(inner, scopes)),
            (false, Some(value)) if !is_absent => {
                out.push_str(&render_section(inner, value, scopes));
            }
            _ => {}
        }
    }
    out.push_str(rest);
    out
}

/// Renders a section once for each entry of a list or table, or once for another value.
fn render_section(inner: &str, value: &Value, scopes: &[Scope<'_>]) -> String {
    let indexes: Vec<_>;
    let entries: Vec<(&str, &Value)> = match value {
        Value::Array(list) => {
            indexes = (0..list.len())
                .map(|index| index.to_string())
                .collect::<Vec<_>>();
            indexes.iter().map(String::as_str).zip(list).collect()
        }
        Value::Object(table) => table.iter().map(|(k, v)| (k.as_str(), v)).collect(),
        other => vec![("", other)],
    };
    let count = entries.len();
    let rendered = entries
        .into_iter()
        .enumerate()
        .map(|(index, (key, value))| {
            let scope = Scope {
                value,
                key,
                is_last: index + 1 == count,
            };
            render(inner, &[scopes, &[scope]].concat())
        });
    rendered.collect()
}
