//! Tests of the operator's command-line program.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use fireflywind::kv::memory::{Fault, MemoryKv};
use fireflywind::operator::{Applied, apply as apply_sheet};
use fireflywind::settings::{Agent, Gateway, Operator, load};
use fireflywind::sheet::{self, ApplyId, Sheet};
use serde_json::Value;

use super::*;

const SITES: [&str; 2] = ["inci-rota", "quetzal"];

fn example(site: &str, file: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    root.join("examples").join(site).join(file)
}

fn example_sheet(site: &str) -> Sheet {
    let text = fs::read(example(site, "sheet.json")).expect("the example exists");
    sheet::parse(&text).expect("the example is valid")
}

/// Runs a command line; returns its exit code, output and errors.
fn command(args: &[&str]) -> (ExitCode, String, String) {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let args = args.iter().map(OsString::from);
    let code = run(args, &mut out, &mut err).expect("writing to a buffer does not fail");
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    (code, text(out), text(err))
}

/// Runs a verb on an in-memory store in place of the platform's.
fn verb(kv: &MemoryKv, gateways: &[SocketAddr], args: &[&str]) -> (ExitCode, String, String) {
    let args = args.iter().map(OsString::from);
    let Ok(Command::Run(verb, options)) = cli::parse(args) else {
        panic!("the command line is wrong");
    };
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut io = verbs::Io {
        out: &mut out,
        err: &mut err,
    };
    let run = verbs::run_on(verb, kv, gateways, &options, &mut io);
    let code = actix_rt::System::new().block_on(run);
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    (
        verbs::exit_code(code).expect("writing to a buffer does not fail"),
        text(out),
        text(err),
    )
}

// Guards against example files that the programs reject or that no longer match the described sites.
#[test]
fn examples_pass_check() {
    for (site, engines, cascades) in [(SITES[0], 20, 3), (SITES[1], 12, 2)] {
        let file = example(site, "sheet.json");
        let file = file.to_str().expect("the path is text");
        let (code, out, err) = command(&["check", file]);
        assert_eq!((code, err.as_str()), (ExitCode::Success, ""));
        assert!(out.ends_with("sheet.json: no findings\n"));

        let gateway = load(&example(site, "gateway.json"), Gateway::parse);
        let agent = load(&example(site, "agent.json"), Agent::parse);
        let operator = load(&example(site, "operator.json"), Operator::parse);
        let sheet = example_sheet(site);
        let upstream = agent.map(|it| sheet.upstream(&it.upstream).map(|u| u.agent == it.listen));
        assert_eq!(upstream, Ok(Some(true)));
        assert!(gateway.is_ok_and(|it| operator.is_ok_and(|o| o.kv == it.kv)));
        assert_eq!(sheet.accounts.len(), 10);
        assert_eq!(sheet.upstreams.len(), engines + 3);
        assert_eq!(sheet.cascades.len(), cascades);
    }
}

// Guards against exit code 0 for an invalid sheet, which a script would then apply.
#[test]
fn check_prints_every_finding_and_fails() {
    let path = std::env::temp_dir().join(format!("fireflywind-sheet-{}", process::id()));
    let text = fs::read_to_string(example("quetzal", "sheet.json")).expect("the example exists");
    let text = text.replace("\"2h\"", "7200").replace("\"3s\"", "\"0s\"");
    fs::write(&path, text).expect("the file is written");
    let file = path.to_str().expect("the path is text");

    let (code, _, err) = command(&["check", file]);
    let (_, json, _) = command(&["check", file, "--json"]);
    fs::remove_file(&path).expect("the file is removed");

    assert_eq!((code, err.lines().count()), (ExitCode::Invalid, 2));
    let json: Value = serde_json::from_str(&json).expect("the output is JSON");
    assert_eq!(json["findings"][0]["place"], "/classes/0/deadline");
    assert_eq!(json["findings"][1]["place"], "/policy/max_staleness");
    assert_eq!(command(&["check", "no/such/file"]).0, ExitCode::Invalid);
}

// Guards against a script that sends a configuration which gateways refuse, or in which entries have no effect.
#[test]
fn check_of_a_configuration_has_an_exit_code_for_each_outcome() {
    let path = |file: &str| {
        let path = example("configuration", file);
        path.to_str().expect("the path is text").to_owned()
    };
    let (in_force, faulty) = (path("in-force.json"), path("faulty.json"));
    let upstreams = path("upstreams.json");

    let (code, out, err) = command(&["check", "--platform", &in_force, "--upstreams", &upstreams]);
    assert_eq!((code, err.as_str()), (ExitCode::Success, ""));
    assert!(out.ends_with("in-force.json: no findings\n"), "{out}");

    let (code, out, err) = command(&["check", "--platform", &faulty, "--against", &in_force]);
    assert_eq!(code, ExitCode::Invalid);
    assert!(
        err.contains("/routes/1/timeoutMs: refused: is \"3s\""),
        "{err}"
    );
    assert!(out.contains("~ /version: 41 -> 42\n"), "{out}");

    let mut doubtful: Value =
        serde_json::from_slice(&fs::read(&in_force).expect("the example exists"))
            .expect("the example is JSON");
    doubtful["routes"][1]["attempts"] = 3.into();
    let file = std::env::temp_dir().join(format!("fireflywind-config-{}", process::id()));
    fs::write(&file, doubtful.to_string()).expect("the file is written");
    let name = file.to_str().expect("the path is text");
    let (code, json, _) = command(&["check", "--platform", name, "--json"]);
    fs::remove_file(&file).expect("the file is removed");
    assert_eq!(code, ExitCode::Doubtful);
    let json: Value = serde_json::from_str(&json).expect("the output is JSON");
    assert_eq!(json["findings"][0]["place"], "/routes/1/attempts");
    assert_eq!(json["findings"][0]["severity"], "doubtful");

    let (code, _, _) = command(&["check", "--platform", "no/such/file"]);
    assert_eq!(code, ExitCode::Invalid);
    let (code, _, _) = command(&["check", &in_force, "--against", &in_force]);
    assert_eq!(code, ExitCode::Usage);
}

// Guards against exit codes and error texts that differ from the documented ones.
#[test]
fn command_lines_have_their_exit_codes() {
    let cases: [(&[&str], ExitCode, &str); 10] = [
        (
            &[],
            ExitCode::Usage,
            "fireflywind: a verb is missing, see --help\n",
        ),
        (
            &["fly"],
            ExitCode::Usage,
            "fireflywind: unknown verb \"fly\", see --help\n",
        ),
        (
            &["check"],
            ExitCode::Usage,
            "fireflywind: check does not take 0 files, see check --help\n",
        ),
        (
            &["check", "a", "--wait"],
            ExitCode::Usage,
            "fireflywind: invalid option '--wait'\n",
        ),
        (
            &["apply", "a", "--base", "x"],
            ExitCode::Usage,
            "fireflywind: cannot parse argument \"x\": invalid digit found in string\n",
        ),
        (
            &["bill", "--settings", "no/such"],
            ExitCode::Invalid,
            "fireflywind: no/such: No such file or directory (os error 2)\n",
        ),
        (&["apply", "--help"], ExitCode::Success, ""),
        (&["--help"], ExitCode::Success, ""),
        (&["--version"], ExitCode::Success, ""),
        (
            &["show", "--settings", "no/such"],
            ExitCode::Invalid,
            "fireflywind: no/such: No such file or directory (os error 2)\n",
        ),
    ];
    for (args, code, error) in cases {
        let (found, out, err) = command(args);
        assert_eq!((found, err.as_str()), (code, error), "{args:?}");
        assert_eq!(out.is_empty(), code != ExitCode::Success, "{args:?}");
    }
    let closed = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    let closed = closed.expect("loopback has a free port");
    let settings = std::env::temp_dir().join(format!("fireflywind-{}.json", closed.port()));
    std::fs::write(&settings, format!("{{\"kv\":[\"{closed}\"]}}")).expect("the file is written");
    let (code, _, err) = command(&["status", "--settings", &settings.to_string_lossy()]);
    std::fs::remove_file(&settings).expect("the file is removed");
    assert_eq!(code, ExitCode::Unavailable);
    assert!(err.contains("key-value service is unreachable"), "{err}");
}

// Guards against verbs that report an outcome other than the one in the store.
#[test]
fn verbs_report_what_the_store_holds() {
    let kv = MemoryKv::open();
    let file = example("quetzal", "sheet.json");
    let file = file.to_str().expect("the path is text");
    let other = example("inci-rota", "sheet.json");
    let other = other.to_str().expect("the path is text");

    assert_eq!(verb(&kv, &[], &["status"]).0, ExitCode::Unavailable);
    let (code, out, _) = verb(&kv, &[], &["apply", file, "--json"]);
    let applied: Value = serde_json::from_str(&out).expect("the output is JSON");
    assert_eq!(
        (code, &applied["revision"]),
        (ExitCode::Success, &Value::from(1))
    );

    let id = applied["apply_id"].as_str().expect("the apply ID is text");
    let again = ["apply", file, "--base", "0", "--apply-id", id, "--json"];
    assert!(verb(&kv, &[], &again).1.contains("\"already\": true"));
    assert_eq!(verb(&kv, &[], &["diff", file]).0, ExitCode::Success);
    assert_eq!(verb(&kv, &[], &["diff", other]).0, ExitCode::Different);

    let (code, out, err) = verb(&kv, &[], &["apply", other, "--base", "0"]);
    assert_eq!(code, ExitCode::Conflict);
    assert!(err.starts_with("fireflywind: conflict: revision 1 is in force (--base 0 "));
    assert!(out.contains("+ /services/orders: "));

    let shown: Value =
        serde_json::from_str(&verb(&kv, &[], &["show"]).1).expect("the output is JSON");
    assert_eq!(shown, serde_json::json!(example_sheet("quetzal")));
    kv.set_fault(Fault::Out);
    assert_eq!(verb(&kv, &[], &["apply", file]).0, ExitCode::Unavailable);
}

// Guards against `status` and `apply --wait` that succeed although a gateway does not answer.
#[test]
fn gateways_without_an_answer_are_listed() {
    let kv = MemoryKv::open();
    let sheet = example_sheet("quetzal");
    let apply = apply_sheet(&kv, &sheet, None, ApplyId::random());
    let applied = actix_rt::System::new().block_on(apply);
    assert_eq!(
        applied,
        Ok(Applied {
            revision: 1,
            already_applied: false
        })
    );
    let gateways = [SocketAddr::from(([10, 0, 0, 1], 9090))];
    let file = example("quetzal", "sheet.json");
    let file = file.to_str().expect("the path is text");

    let (code, out, _) = verb(&kv, &gateways, &["status"]);
    let wait = ["apply", file, "--wait", "--wait-limit", "0ms"];
    let waited = verb(&kv, &gateways, &wait);

    assert_eq!(code, ExitCode::Behind);
    assert!(out.contains("behind: 10.0.0.1:9090 has no revision or gave no answer"));
    assert_eq!(waited.0, ExitCode::Behind);
    assert!(waited.2.contains("10.0.0.1:9090"));
    assert_eq!(verb(&kv, &[], &wait).0, ExitCode::Invalid);
}
