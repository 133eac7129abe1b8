//! Runs the verbs of the program.

use std::fmt::Display;
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;

use fireflywind::ids::VersionRef;
use fireflywind::kv::KeyValue;
use fireflywind::operator::{self, Applied, ApplyError, InForce, ReadError};
use fireflywind::settings::{self, Operator};
use fireflywind::sheet::parts::{PartCache, Root, split};
use fireflywind::sheet::{self, ApplyId, Difference, Finding, Sheet, VersionState};
use serde_json::{Value, json};

use crate::cli::Options;
use crate::exit_codes::ExitCode;
use crate::{bill, configuration, platform, records};

/// Where a verb writes its result and its errors.
pub struct Io<'a> {
    pub out: &'a mut dyn Write,
    pub err: &'a mut dyn Write,
}

impl Io<'_> {
    /// Writes a one-line error and returns the code.
    pub fn fail(&mut self, code: ExitCode, error: impl Display) -> io::Result<ExitCode> {
        writeln!(self.err, "fireflywind: {error}")?;
        Ok(code)
    }

    pub fn json(&mut self, value: &Value) -> io::Result<()> {
        writeln!(self.out, "{value:#}")
    }
}

/// Why a verb ended early.
#[derive(Debug)]
pub enum EarlyExit {
    Code(ExitCode),
    Io(io::Error),
}

impl From<io::Error> for EarlyExit {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Runs a verb, whose files and options the command line has checked.
///
/// # Errors
/// If the output cannot be written.
pub fn run(verb: &str, options: &Options, io: &mut Io<'_>) -> io::Result<ExitCode> {
    let result = match (verb, options.files.as_slice()) {
        ("check", [file]) if options.platform => Ok(configuration::print(file, options, io)?),
        ("check", [file]) => check(file, options, io),
        ("diff", [old, new]) => diff_files(old, new, options, io),
        ("replay", [file]) => records::replay(file, io),
        ("demo", _) => demo(io),
        _ => with_platform(verb, options, io),
    };
    exit_code(result)
}

/// Returns the exit code of a verb, whether or not it ended early.
pub fn exit_code(result: Result<ExitCode, EarlyExit>) -> io::Result<ExitCode> {
    match result {
        Ok(code) | Err(EarlyExit::Code(code)) => Ok(code),
        Err(EarlyExit::Io(error)) => Err(error),
    }
}

fn with_platform(verb: &str, options: &Options, io: &mut Io<'_>) -> Result<ExitCode, EarlyExit> {
    let settings = match settings::load(&options.settings, Operator::parse) {
        Ok(settings) => settings,
        Err(error) => return Ok(io.fail(ExitCode::Invalid, error)?),
    };
    actix_rt::System::new().block_on(async {
        let kv = platform::connect(&settings);
        run_on(verb, &kv, &settings.gateways, options, io).await
    })
}

fn demo(io: &mut Io<'_>) -> Result<ExitCode, EarlyExit> {
    match fireflywind::demo::run() {
        Ok(report) => {
            write!(io.out, "{report}")?;
            Ok(if report.has_no_violations() {
                ExitCode::Success
            } else {
                ExitCode::DemoFailed
            })
        }
        Err(error) => Ok(io.fail(ExitCode::DemoFailed, error)?),
    }
}

/// Runs a verb that needs the key-value service or the gateways.
pub async fn run_on(
    verb: &str,
    kv: &dyn KeyValue,
    gateways: &[SocketAddr],
    options: &Options,
    io: &mut Io<'_>,
) -> Result<ExitCode, EarlyExit> {
    match (verb, options.files.as_slice()) {
        ("apply", [file]) => apply(kv, gateways, file, options, io).await,
        ("diff", [file]) => diff(kv, file, options, io).await,
        ("show", _) => show(kv, options, io).await,
        ("explain", [id]) => records::explain(gateways, id, options, io).await,
        ("bill", _) => bill::print(kv, options, io).await,
        ("drain", [version]) => drain(kv, version, options, io).await,
        _ => status(kv, gateways, options, io).await,
    }
}

fn check(file: &Path, options: &Options, io: &mut Io<'_>) -> Result<ExitCode, EarlyExit> {
    load(file, options.json, io)?;
    if options.json {
        io.json(&json!({"findings": []}))?;
    } else {
        writeln!(io.out, "{}: no findings", file.display())?;
    }
    Ok(ExitCode::Success)
}

/// Loads a sheet, or reports its findings.
fn load(file: &Path, as_json: bool, io: &mut Io<'_>) -> Result<Sheet, EarlyExit> {
    let text = match fs::read(file) {
        Ok(text) => text,
        Err(error) => {
            let error = format!("{}: {error}", file.display());
            return Err(EarlyExit::Code(io.fail(ExitCode::Invalid, error)?));
        }
    };
    let sheet = match sheet::parse(&text) {
        Ok(sheet) => sheet,
        Err(findings) => return Err(report_findings(file, &findings, as_json, io)?),
    };
    // A sheet that does not fit into the key-value service could not be applied.
    let encoded =
        split(&sheet).and_then(|parts| Root::next(None, ApplyId::random(), &parts).encode());
    match encoded {
        Ok(_) => Ok(sheet),
        Err(error) => {
            let error = format!("{}: {error}", file.display());
            Err(EarlyExit::Code(io.fail(ExitCode::Invalid, error)?))
        }
    }
}

fn report_findings(
    file: &Path,
    findings: &[Finding],
    as_json: bool,
    io: &mut Io<'_>,
) -> io::Result<EarlyExit> {
    if as_json {
        let findings: Vec<_> = findings.iter().map(Finding::to_json).collect();
        io.json(&json!({"findings": findings}))?;
    } else {
        for finding in findings {
            writeln!(io.err, "{}: {finding}", file.display())?;
        }
    }
    Ok(EarlyExit::Code(ExitCode::Invalid))
}

fn diff_files(
    old: &Path,
    new: &Path,
    options: &Options,
    io: &mut Io<'_>,
) -> Result<ExitCode, EarlyExit> {
    let old = load(old, options.json, io)?;
    let new = load(new, options.json, io)?;
    print_differences(&sheet::diff(&old, &new), options.json, io)
}

async fn diff(
    kv: &dyn KeyValue,
    file: &Path,
    options: &Options,
    io: &mut Io<'_>,
) -> Result<ExitCode, EarlyExit> {
    let new = load(file, options.json, io)?;
    let old = read(kv, io).await?.map(|it| it.sheet).unwrap_or_default();
    print_differences(&sheet::diff(&old, &new), options.json, io)
}

fn print_differences(
    differences: &[Difference],
    as_json: bool,
    io: &mut Io<'_>,
) -> Result<ExitCode, EarlyExit> {
    if as_json {
        let differences: Vec<_> = differences.iter().map(Difference::to_json).collect();
        io.json(&json!({"differences": differences}))?;
    } else {
        for difference in differences {
            writeln!(io.out, "{difference}")?;
        }
    }
    Ok(if differences.is_empty() {
        ExitCode::Success
    } else {
        ExitCode::Different
    })
}

async fn read(kv: &dyn KeyValue, io: &mut Io<'_>) -> Result<Option<InForce>, EarlyExit> {
    match operator::read(kv, &mut PartCache::default()).await {
        Ok(in_force) => Ok(in_force),
        Err(error) => Err(read_failed(&error, io)?),
    }
}

/// Reads the sheet in force; fails if there is none.
async fn read_in_force(kv: &dyn KeyValue, io: &mut Io<'_>) -> Result<InForce, EarlyExit> {
    if let Some(in_force) = read(kv, io).await? {
        return Ok(in_force);
    }
    let code = io.fail(ExitCode::Unavailable, "no sheet is in force")?;
    Err(EarlyExit::Code(code))
}

fn read_failed(error: &ReadError, io: &mut Io<'_>) -> io::Result<EarlyExit> {
    Ok(EarlyExit::Code(io.fail(ExitCode::Unavailable, error)?))
}

async fn show(
    kv: &dyn KeyValue,
    options: &Options,
    io: &mut Io<'_>,
) -> Result<ExitCode, EarlyExit> {
    let in_force = read_in_force(kv, io).await?;
    let root = &in_force.root;
    if options.json {
        io.json(&json!({
            "revision": root.revision,
            "apply_id": root.apply_id,
            "sheet": in_force.sheet,
        }))?;
    } else {
        io.json(&json!(in_force.sheet))?;
    }
    Ok(ExitCode::Success)
}

async fn status(
    kv: &dyn KeyValue,
    gateways: &[SocketAddr],
    options: &Options,
    io: &mut Io<'_>,
) -> Result<ExitCode, EarlyExit> {
    let status = operator::status(&read_in_force(kv, io).await?);
    let held = platform::poll(gateways).await;
    let behind =
        |it: &&operator::ProcessRevision| it.revision.is_none_or(|held| held < status.revision);
    let behind: Vec<_> = held
        .iter()
        .filter(behind)
        .map(ToString::to_string)
        .collect();
    if options.json {
        io.json(&json!({"in_force": status, "behind": behind}))?;
    } else {
        let fields = json!(status);
        for (name, value) in fields.as_object().into_iter().flatten() {
            writeln!(io.out, "{name}: {value}")?;
        }
        for process in &behind {
            writeln!(io.out, "behind: {process}")?;
        }
    }
    Ok(if behind.is_empty() {
        ExitCode::Success
    } else {
        ExitCode::Behind
    })
}

async fn apply(
    kv: &dyn KeyValue,
    gateways: &[SocketAddr],
    file: &Path,
    options: &Options,
    io: &mut Io<'_>,
) -> Result<ExitCode, EarlyExit> {
    if options.wait && gateways.is_empty() {
        let error = format!(
            "{}: gateways is empty, --wait needs at least one",
            options.settings.display()
        );
        return Ok(io.fail(ExitCode::Invalid, error)?);
    }
    let sheet = load(file, options.json, io)?;
    let base = match options.base {
        Some(revision) => (revision > 0).then_some(revision),
        None => match operator::read_root(kv).await {
            Ok(stored) => stored.map(|stored| stored.root.revision),
            Err(error) => return Err(read_failed(&error, io)?),
        },
    };
    let applied = match put(kv, &sheet, base, options, io).await? {
        Ok(applied) => applied,
        Err(code) => return Ok(code),
    };
    if options.wait {
        return wait(applied.revision, gateways, options, io).await;
    }
    Ok(ExitCode::Success)
}

/// Sets a version to draining in the sheet in force.
async fn drain(
    kv: &dyn KeyValue,
    version: &Path,
    options: &Options,
    io: &mut Io<'_>,
) -> Result<ExitCode, EarlyExit> {
    let name = version.to_string_lossy();
    let Ok(id) = name.parse::<VersionRef>() else {
        return Ok(io.fail(
            ExitCode::Usage,
            format!("{name:?} is not of the form model/version"),
        )?);
    };
    let in_force = read_in_force(kv, io).await?;
    let mut sheet = in_force.sheet;
    let model = sheet.models.iter_mut().find(|m| m.id == id.model);
    let found = model.and_then(|m| m.versions.iter_mut().find(|v| v.id == id.version));
    let Some(found) = found else {
        return Ok(io.fail(
            ExitCode::NotFound,
            format!(
                "version {id} is not in the sheet of revision {}",
                in_force.root.revision
            ),
        )?);
    };
    found.state = VersionState::Draining;
    let base = Some(in_force.root.revision);
    Ok(match put(kv, &sheet, base, options, io).await? {
        Ok(_) => ExitCode::Success,
        Err(code) => code,
    })
}

/// Puts a sheet into force and prints the result.
async fn put(
    kv: &dyn KeyValue,
    sheet: &Sheet,
    base: Option<u64>,
    options: &Options,
    io: &mut Io<'_>,
) -> Result<Result<Applied, ExitCode>, EarlyExit> {
    let apply_id = options.apply_id.unwrap_or_else(ApplyId::random);
    let applied = match operator::apply(kv, sheet, base, apply_id).await {
        Ok(applied) => applied,
        Err(error) => return report_apply_error(&error, base, apply_id, options, io).map(Err),
    };
    if options.json {
        let already = applied.already_applied;
        io.json(&json!({
            "revision": applied.revision, "already": already, "apply_id": apply_id,
        }))?;
    } else {
        let revision = applied.revision;
        writeln!(
            io.out,
            "revision {revision} is accepted, apply ID {apply_id}"
        )?;
    }
    if let Err(error) = operator::collect_garbage(kv).await {
        writeln!(io.err, "fireflywind: old parts are not removed: {error}")?;
    }
    Ok(Ok(applied))
}

async fn wait(
    revision: u64,
    gateways: &[SocketAddr],
    options: &Options,
    io: &mut Io<'_>,
) -> Result<ExitCode, EarlyExit> {
    let poll = async || platform::poll(gateways).await;
    let Err(behind) = operator::wait(revision, options.wait_limit, poll).await else {
        return Ok(ExitCode::Success);
    };
    for process in behind {
        io.fail(ExitCode::Behind, process)?;
    }
    Ok(ExitCode::Behind)
}

fn report_apply_error(
    error: &ApplyError,
    base: Option<u64>,
    apply_id: ApplyId,
    options: &Options,
    io: &mut Io<'_>,
) -> Result<ExitCode, EarlyExit> {
    let code = match error {
        ApplyError::Conflict { .. } => ExitCode::Conflict,
        ApplyError::Unknown(_) => ExitCode::Unknown,
        ApplyError::Unavailable(_) | ApplyError::Unreadable(_) | ApplyError::Contended => {
            ExitCode::Unavailable
        }
        ApplyError::Parts(_) | ApplyError::IdReused { .. } => ExitCode::Invalid,
    };
    let differences = match error {
        ApplyError::Conflict { differences, .. } => differences.as_deref().unwrap_or_default(),
        _ => &[],
    };
    if options.json {
        let differences: Vec<_> = differences.iter().map(Difference::to_json).collect();
        let mut result = json!({
            "error": error.to_string(), "base": base, "apply_id": apply_id,
            "differences": differences,
        });
        if let ApplyError::Conflict {
            in_force_revision, ..
        } = error
        {
            result["in_force_revision"] = json!(in_force_revision);
        }
        io.json(&result)?;
        return Ok(code);
    }
    for difference in differences {
        writeln!(io.out, "{difference}")?;
    }
    let base = base.unwrap_or_default();
    Ok(io.fail(
        code,
        format!("{error} (--base {base} --apply-id {apply_id})"),
    )?)
}
