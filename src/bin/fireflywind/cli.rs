//! Parses the command line.

use std::ffi::OsString;
use std::ops::RangeInclusive;
use std::path::PathBuf;

use fireflywind::sheet::ApplyId;
use fireflywind::units::Millis;
use lexopt::prelude::*;

/// Help on the whole program.
pub const HELP: &str = "\
Operates fireflywind, a model-aware router for versions and cascades.

Usage: fireflywind VERB [OPTIONS]

Verbs:
  check    Check a sheet without the platform
  apply    Put a sheet into force
  show     Print the sheet in force
  diff     Compare two sheets, or the one in force with a file
  status   Summarise what is in force
  explain  Tell why a request had its outcome
  replay   Compute the decisions of recorded requests again
  bill     Print what each client account owes
  demo     Run the whole path in one process against built-in stand-ins
  drain    Let a version finish its sessions and take no new ones

Options:
  -h, --help     Print help, also after a verb
  -V, --version  Print the version

Exit codes: 0 success, 1 differences, 2 usage, 3 invalid file, 4 conflict, 5 unknown outcome,
6 service unavailable, 7 processes behind, 8 replay differs, 9 not found, 10 demo failed,
11 doubtful configuration
";

const CHECK: Verb = Verb {
    name: "check",
    help: "\
Checks a sheet and prints every finding with its place, rule and value.

Usage: fireflywind check FILE [OPTIONS]

Options:
  --platform        FILE is a configuration of the users' platform, not a sheet
  --upstreams FILE  Also look for upstreams of its services and homes; needs --platform
  --against FILE    Also print what it changes in this configuration; needs --platform
  --json            Print the findings as JSON
",
    options: &["platform", "upstreams", "against", "json"],
    files: 1..=1,
};

const APPLY: Verb = Verb {
    name: "apply",
    help: "\
Puts a sheet into force in place of the base revision.

Usage: fireflywind apply FILE [OPTIONS]

Options:
  --base N           Revision that the sheet was made from, 0 for none; by default the one in
                     force when the program starts
  --apply-id UUID    ID of the apply; give the same one to repeat an apply of unknown outcome
  --wait             Wait until all gateways have the revision
  --wait-limit SPAN  Longest wait, 30s by default
  --settings FILE    Settings, operator.json by default
  --json             Print the result as JSON
",
    options: &["base", "apply-id", "wait", "wait-limit", "settings", "json"],
    files: 1..=1,
};

const SHOW: Verb = Verb {
    name: "show",
    help: "\
Prints the sheet in force, in the form that apply takes.

Usage: fireflywind show [OPTIONS]

Options:
  --settings FILE  Settings, operator.json by default
  --json           Print revision, apply ID and sheet as one JSON object
",
    options: &["settings", "json"],
    files: 0..=0,
};

const DIFF: Verb = Verb {
    name: "diff",
    help: "\
Prints the differences from OLD, or from the sheet in force, to NEW.

Usage: fireflywind diff [OLD] NEW [OPTIONS]

Options:
  --settings FILE  Settings, operator.json by default; not used with two files
  --json           Print the differences as JSON
",
    options: &["settings", "json"],
    files: 1..=2,
};

const STATUS: Verb = Verb {
    name: "status",
    help: "\
Summarises what is in force and which gateways have it.

Usage: fireflywind status [OPTIONS]

Options:
  --settings FILE  Settings, operator.json by default
  --json           Print the summary as JSON
",
    options: &["settings", "json"],
    files: 0..=0,
};

const EXPLAIN: Verb = Verb {
    name: "explain",
    help: "\
Tells which candidates a request had, why each was dropped and why the winner won.

Usage: fireflywind explain REQUEST [OPTIONS]

Options:
  --settings FILE  Settings, operator.json by default; its gateways are asked
  --json           Print the record as JSON
",
    options: &["settings", "json"],
    files: 1..=1,
};

const REPLAY: Verb = Verb {
    name: "replay",
    help: "\
Computes the decisions of recorded requests again and names the first difference.

Usage: fireflywind replay FILE

FILE holds records as JSON, one on each line, or the log of a gateway.
",
    options: &[],
    files: 1..=1,
};

const BILL: Verb = Verb {
    name: "bill",
    help: "\
Prints what each client account owes, and the requests whose charge is not known.

Usage: fireflywind bill [OPTIONS]

Options:
  --settings FILE  Settings, operator.json by default
  --json           Print the bill as JSON
",
    options: &["settings", "json"],
    files: 0..=0,
};

const DRAIN: Verb = Verb {
    name: "drain",
    help: "\
Sets a version to draining in the sheet in force.

Usage: fireflywind drain MODEL/VERSION [OPTIONS]

Options:
  --settings FILE  Settings, operator.json by default
  --json           Print the result as JSON
",
    options: &["settings", "json"],
    files: 1..=1,
};

const DEMO: Verb = Verb {
    name: "demo",
    help: "\
Runs the whole path in one process against built-in stand-ins and prints the outcomes, an
explanation and the bill. Fails if a property was broken.

Usage: fireflywind demo
",
    options: &[],
    files: 0..=0,
};

const VERBS: [Verb; 10] = [
    CHECK, APPLY, SHOW, DIFF, STATUS, EXPLAIN, REPLAY, BILL, DRAIN, DEMO,
];

struct Verb {
    name: &'static str,
    help: &'static str,
    options: &'static [&'static str],
    files: RangeInclusive<usize>,
}

/// The parsed command line.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Print a help text.
    Help(&'static str),
    /// Print the version.
    Version,
    /// Run a verb.
    Run(&'static str, Options),
}

/// Options and files of a verb.
#[derive(Debug, PartialEq, Eq)]
pub struct Options {
    /// The files or names, in order.
    pub files: Vec<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether the file is a configuration of the users' platform.
    pub platform: bool,
    /// Path of the upstreams that a configuration is checked against.
    pub upstreams: Option<PathBuf>,
    /// Path of the configuration that is compared with.
    pub against: Option<PathBuf>,
    /// Path of the settings.
    pub settings: PathBuf,
    /// Revision that the sheet is based on; 0 for none.
    pub base: Option<u64>,
    /// ID of the apply.
    pub apply_id: Option<ApplyId>,
    /// Whether to wait until all gateways have the revision.
    pub wait: bool,
    /// Longest time to wait for the gateways.
    pub wait_limit: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            files: Vec::new(),
            json: false,
            platform: false,
            upstreams: None,
            against: None,
            settings: PathBuf::from("operator.json"),
            base: None,
            apply_id: None,
            wait: false,
            wait_limit: Millis::from_secs(30),
        }
    }
}

/// Parses the arguments after the program's name.
///
/// # Errors
/// If a verb or an argument is missing, unknown or malformed.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let name = match parser.next()? {
        None => return Err("a verb is missing, see --help".into()),
        Some(Short('h') | Long("help")) => return Ok(Command::Help(HELP)),
        Some(Short('V') | Long("version")) => return Ok(Command::Version),
        Some(Value(name)) => name.string()?,
        Some(other) => return Err(other.unexpected()),
    };
    match VERBS.into_iter().find(|verb| verb.name == name) {
        Some(verb) => parse_verb(&mut parser, &verb),
        None => Err(format!("unknown verb {name:?}, see --help").into()),
    }
}

fn parse_verb(parser: &mut lexopt::Parser, verb: &Verb) -> Result<Command, lexopt::Error> {
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        let name = match arg {
            Short('h') | Long("help") => return Ok(Command::Help(verb.help)),
            Value(file) => {
                options.files.push(file.into());
                continue;
            }
            Long(name) if verb.options.contains(&name) => name.to_owned(),
            other => return Err(other.unexpected()),
        };
        set_option(&mut options, &name, parser)?;
    }
    if !verb.files.contains(&options.files.len()) {
        let found = options.files.len();
        let name = verb.name;
        return Err(format!("{name} does not take {found} files, see {name} --help").into());
    }
    if !options.platform && (options.upstreams.is_some() || options.against.is_some()) {
        return Err("--upstreams and --against need --platform, see check --help".into());
    }
    Ok(Command::Run(verb.name, options))
}

fn set_option(
    options: &mut Options,
    name: &str,
    parser: &mut lexopt::Parser,
) -> Result<(), lexopt::Error> {
    match name {
        "json" => options.json = true,
        "platform" => options.platform = true,
        "upstreams" => options.upstreams = Some(parser.value()?.into()),
        "against" => options.against = Some(parser.value()?.into()),
        "wait" => options.wait = true,
        "settings" => options.settings = parser.value()?.into(),
        "base" => options.base = Some(parser.value()?.parse()?),
        "apply-id" => options.apply_id = Some(parser.value()?.parse()?),
        _ => options.wait_limit = parser.value()?.parse()?,
    }
    Ok(())
}
