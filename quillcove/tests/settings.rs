//! Settings and bundles: the examples are valid, and faults are named with file, line and key.

use std::fs;
use std::process::Command;

use quillcove::config::{parse_agent, parse_entry, parse_loader, parse_relay};
use quillcove_core::bundle::text::parse;

fn example(name: &str) -> String {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/");
    fs::read_to_string(format!("{folder}{name}")).expect("the example is there")
}

fn faults_of_agent(text: &str, overrides: &[String]) -> String {
    parse_agent("agent.ini", text, overrides).expect_err("there are faults").to_string()
}

#[test]
fn examples_are_valid() {
    parse_entry("entry.ini", &example("entry.ini"), &[]).unwrap();
    parse_agent("agent-engine.ini", &example("agent-engine.ini"), &[]).unwrap();
    parse_agent("agent-service.ini", &example("agent-service.ini"), &[]).unwrap();
    parse_relay("relay.ini", &example("relay.ini"), &[]).unwrap();
    parse_loader("loader.ini", &example("loader.ini"), &[]).unwrap();
    parse(&example("bundle.toml")).unwrap();
}

#[test]
fn faults_of_a_relay_and_a_loader_name_line_and_key() {
    let text = example("relay.ini").replace("seeds = 127.0.0.1:8082", "seeds = nowhere");
    let faults = parse_relay("relay.ini", &text, &[]).unwrap_err().to_string();
    assert!(faults.contains("peers.seeds") && faults.contains("nowhere"), "{faults}");
    let text = format!("{}\n[policy]\nwaiting = long\n", example("relay.ini"));
    let faults = parse_relay("relay.ini", &text, &[]).unwrap_err().to_string();
    assert!(faults.contains("policy.waiting") && faults.contains("returned, servable"), "{faults}");
    let text = example("loader.ini").replace("address = ", "adress = ");
    let faults = parse_loader("loader.ini", &text, &[]).unwrap_err().to_string();
    assert!(faults.contains("did you mean 'address'"), "{faults}");
    assert!(faults.contains("engine.address"), "{faults}");
}

#[test]
fn all_faults_are_named_at_once() {
    let text = example("agent-engine.ini")
        .replace("kind = engine", "kind = motor")
        .replace("address = 127.0.0.1:9000", "address = platform")
        .replace("settle_time = 2s", "settle_tiem = 2s")
        .replace("batch_share = 0.75", "batch_share = 1.5")
        .replace("[loads]", "[laods]");
    let faults = faults_of_agent(&text, &[]);
    for expected in [
        "agent.ini:13: upstream.kind: found 'motor'; accepted is one of: engine, service",
        "agent.ini:17: upstream.settle_tiem: is unknown; did you mean 'settle_time'?",
        "platform.address: found 'platform'; accepted is an IP address with a port",
        "queue.batch_share: found '1.5'; accepted is a number from 0 to 1",
        "[laods]: is unknown; did you mean 'loads'?",
    ] {
        assert!(faults.contains(expected), "{expected} is not in\n{faults}");
    }
}

#[test]
fn missing_and_doubled_keys_are_named() {
    let faults = faults_of_agent("[process]\nhost = a\nhost = b\n", &[]);
    for expected in [
        "process.host: is given twice",
        "process.hall: is missing",
        "upstream.address: is missing",
        "bundle.trusted_keys: is missing",
    ] {
        assert!(faults.contains(expected), "{expected} is not in\n{faults}");
    }
}

#[test]
fn text_that_is_no_ini_is_named_with_its_line() {
    let faults = faults_of_agent("[process]\nhost a\n", &[]);
    assert!(faults.contains("agent.ini:"), "{faults}");
    assert!(faults.contains("syntax"), "{faults}");
}

#[test]
fn overrides_go_before_the_file_and_are_checked() {
    let file = example("agent-engine.ini");
    let good = parse_agent("a.ini", &file, &["queue.limit=7".to_string()]).unwrap();
    assert_eq!(good.queue.limit, 7);
    let faults = faults_of_agent(&file, &["queue.limit=none".to_string(), "x".to_string()]);
    assert!(faults.contains("--set: queue.limit: found 'none'"), "{faults}");
    assert!(faults.contains("--set: x: is not of the form"), "{faults}");
}

#[test]
fn faults_of_a_bundle_name_line_and_field() {
    let text = "[bundle]\nversion = 0\n[loads]\nper_second = -1.0\nat_once = 1\n[models.small]\n\
                [adapters]\n\"a b\" = { model = \"small\", current = 1 }\n\
                c = { model = \"none\", current = 1, priority = 12 }\n";
    let errors = parse(text).unwrap_err();
    let lines: Vec<String> = errors.iter().map(|error| error.to_string()).collect();
    let text = lines.join("\n");
    for expected in [
        "line 2: bundle.version is 0",
        "loads.per_second is -1",
        "line 8: adapters.a b",
        "line 9: adapters.c.model is 'none'",
        "line 9: adapters.c.priority is 12",
    ] {
        assert!(text.contains(expected), "{expected} is not in\n{text}");
    }
    let unknown = parse("[bundle]\nversion = 1\ncolour = 3\n").unwrap_err();
    assert!(unknown[0].message.contains("colour"), "{unknown:?}");
    assert_eq!(unknown[0].line, 3);
}

#[test]
fn bundle_commands_sign_check_and_refuse() {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name).to_str().unwrap().to_string();
    let quillcove = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_quillcove")).args(arguments).output();
        let output = output.unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8(text).unwrap())
    };
    fs::write(path("one.toml"), example("bundle.toml")).unwrap();
    let newer = example("bundle.toml").replace("version = 1\n", "version = 2\n");
    fs::write(path("two.toml"), newer.replace("current = 7", "current = 8")).unwrap();
    let (ok, public_key) = quillcove(&["bundle", "keygen", &path("key")]);
    assert!(ok);
    assert!(!quillcove(&["bundle", "keygen", &path("key")]).0, "no key is overwritten");
    let out = folder.path().to_str().unwrap();
    let (key, one, two) = (path("key"), path("one.toml"), path("two.toml"));
    let sign = |file: &str, previous: &str| {
        quillcove(&["bundle", "sign", file, "--key", &key, "--out", out, "--previous", previous])
    };
    assert!(sign(&two, &one).0);
    assert!(folder.path().join("bundle-delta-2").exists());
    let verify = |file: &str| {
        let (head, file) = (path("bundle-head"), path(file));
        let key = public_key.trim();
        quillcove(&["bundle", "verify", &file, "--head", &head, "--public-key", key]).0
    };
    assert!(verify("two.toml"));
    assert!(!verify("one.toml"), "other bytes are refused");
    let (ok, text) = sign(&one, &two);
    assert!(!ok && text.contains("after version 2 comes 3"), "{text}");
    let (ok, text) = quillcove(&["bundle", "diff", &path("one.toml"), &path("two.toml")]);
    assert!(ok && text.contains("~ koper-commuters"), "{text}");
}
