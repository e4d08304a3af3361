//! The subcommands of `quillcove bundle`, with which operators sign, verify and inspect bundles.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use clap::ArgMatches;
use eyre::{WrapErr, bail, eyre};
use quillcove_core::bundle::delta::compute;
use quillcove_core::bundle::signing::{
    BundleHead, TrustedKeys, public_key, read_signing_key, sign, signing_key,
};
use quillcove_core::bundle::text::parse;
use quillcove_core::bundle::{FleetBundle, VALUE_LIMIT};
use quillcove_core::route::{RouteRecord, RouteTable};

use super::{HEAD_VALUE, delta_value, text_value};

/// Text of a bundle file with the content parsed from it.
struct BundleFile {
    text: String,
    content: FleetBundle,
}

/// Runs the subcommand of `quillcove bundle` that the arguments name.
///
/// # Errors
///
/// Returns an error for a file that can not be read or written, and for an invalid bundle one that
/// lists each fault with file and line.
///
/// ```no_run
/// let matches = quillcove::cli::command().get_matches();
/// if let Some(("bundle", matches)) = matches.subcommand() {
///     quillcove::bundle::command::run(matches).unwrap();
/// }
/// ```
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let path = |matches: &ArgMatches, name: &str| -> String {
        matches.get_one::<String>(name).cloned().unwrap_or_default()
    };
    match matches.subcommand() {
        Some(("keygen", matches)) => generate_key(Path::new(&path(matches, "file"))),
        Some(("sign", matches)) => {
            let previous = matches.get_one::<String>("previous");
            let out = path(matches, "out");
            sign_file(&path(matches, "key"), &path(matches, "file"), previous, Path::new(&out))
        },
        Some(("verify", matches)) => verify_file(
            &path(matches, "head"),
            &path(matches, "file"),
            &path(matches, "public-key"),
        ),
        Some(("show", matches)) => show_file(&path(matches, "file")),
        Some(("diff", matches)) => diff_files(&path(matches, "older"), &path(matches, "newer")),
        _ => Err(eyre!("no subcommand given")),
    }
}

fn read_bundle(file: &str) -> eyre::Result<BundleFile> {
    let text = fs::read_to_string(file).wrap_err_with(|| format!("can not read {file}"))?;
    match parse(&text) {
        Ok(content) => Ok(BundleFile { text, content }),
        Err(errors) => {
            let lines: Vec<String> =
                errors.iter().map(|e| format!("{file}:{}: {}", e.line, e.message)).collect();
            Err(eyre!("{}", lines.join("\n")))
        },
    }
}

/// Generates a signing key, writes it to a file and prints the public key for the settings.
fn generate_key(file: &Path) -> eyre::Result<()> {
    if file.exists() {
        bail!("{} already exists; an existing key is never overwritten", file.display());
    }
    let seed: [u8; 32] = rand::random();
    write_secret(file, &format!("{}\n", hex::encode(seed)))?;
    println!("{}", public_key(&signing_key(seed)));
    Ok(())
}

/// Writes a new file that only its owner can read and write.
fn write_secret(file: &Path, content: &str) -> eyre::Result<()> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;

    let mut options = fs::OpenOptions::new();
    let created = options.write(true).create_new(true).mode(0o600).open(file);
    let mut created = created.wrap_err_with(|| format!("can not write {}", file.display()))?;
    created.write_all(content.as_bytes())?;
    Ok(())
}

/// Signs a bundle and writes the values that operators publish: the head, the text and, with a
/// previous bundle, the delta from it.
fn sign_file(
    key_file: &str,
    file: &str,
    previous: Option<&String>,
    out: &Path,
) -> eyre::Result<()> {
    let key = fs::read_to_string(key_file).wrap_err_with(|| format!("can not read {key_file}"))?;
    let key = read_signing_key(&key).wrap_err_with(|| key_file.to_string())?;
    let bundle = read_bundle(file)?;
    let version = bundle.content.version;
    if bundle.text.len() > VALUE_LIMIT {
        bail!(
            "{file}: {} bytes; the platform accepts values of at most {VALUE_LIMIT}",
            bundle.text.len()
        );
    }
    let previous = previous.map(|previous| read_bundle(previous)).transpose()?;
    if let Some(older) = previous.as_ref().filter(|older| older.content.version + 1 != version) {
        bail!(
            "{file}: bundle.version is {version}; after version {} comes {}",
            older.content.version,
            older.content.version + 1
        );
    }
    let head = sign(&key, version, bundle.text.as_bytes());
    write_value(out, HEAD_VALUE, &serde_json::to_string(&head)?)?;
    write_value(out, &text_value(version), &bundle.text)?;
    if let Some(older) = previous {
        let delta = compute((older.content.version, &older.text), (version, &bundle.text));
        write_value(out, &delta_value(version), &serde_json::to_string(&delta)?)?;
    }
    println!("signed version {version}; publish the head last");
    Ok(())
}

fn write_value(out: &Path, name: &str, content: &str) -> eyre::Result<()> {
    let file = out.join(name);
    fs::write(&file, content).wrap_err_with(|| format!("can not write {}", file.display()))?;
    println!("{}  {} bytes", file.display(), content.len());
    Ok(())
}

fn verify_file(head_file: &str, file: &str, key: &str) -> eyre::Result<()> {
    let head = fs::read(head_file).wrap_err_with(|| format!("can not read {head_file}"))?;
    let head: BundleHead = serde_json::from_slice(&head).wrap_err_with(|| head_file.to_string())?;
    let bundle = read_bundle(file)?;
    let keys = TrustedKeys::read(&[key.to_string()])?;
    keys.verify(&head, bundle.text.as_bytes())?;
    if head.version != bundle.content.version {
        bail!("the head announces version {}, not {}", head.version, bundle.content.version);
    }
    println!("version {} is signed by key {}", head.version, head.key_id);
    Ok(())
}

fn show_file(file: &str) -> eyre::Result<()> {
    let bundle = read_bundle(file)?.content;
    println!("version   {}", bundle.version);
    println!("models    {}", bundle.models.join(", "));
    println!("adapters  {}", bundle.adapters.len());
    for (name, service) in &bundle.services {
        println!("service   {name}, keys divided among {}", service.replicas.join(", "));
    }
    let mut routes: Vec<_> = bundle.routes.iter().collect();
    routes.sort_by_key(|route| &route.name);
    for route in routes {
        println!("route     {}", route_line(route));
    }
    println!("bodies    {} bytes in {} ms", bundle.limits.body_bytes, bundle.limits.body_time_ms);
    println!("loads     {} a second, {} at once", bundle.loads.per_second, bundle.loads.at_once);
    println!(
        "weights   stalls {}, batches {}",
        bundle.goal_weights.stalls, bundle.goal_weights.batches
    );
    Ok(())
}

/// Formats a route on one line.
fn route_line(route: &RouteRecord) -> String {
    let targets: Vec<String> =
        route.targets.iter().map(|share| format!("{}:{}", share.service, share.weight)).collect();
    format!(
        "{}: {}{} to {}, {:?}, {}, {} ms (aim {} ms), {} attempts",
        route.name,
        route.host,
        route.prefix,
        targets.join(" "),
        route.kind,
        route.class().label(),
        route.timeout.as_millis(),
        route.aim.as_millis(),
        route.attempt_limit
    )
}

/// Prints the differences between two bundles, one line for each adapter or route, and the size of
/// the delta.
fn diff_files(older: &str, newer: &str) -> eyre::Result<()> {
    let (older, newer) = (read_bundle(older)?, read_bundle(newer)?);
    println!("version {} -> {}", older.content.version, newer.content.version);
    for (name, entry) in &newer.content.adapters {
        match older.content.adapters.get(name) {
            None => println!("+ {name} {entry:?}"),
            Some(old) if old != entry => println!("~ {name} {old:?} -> {entry:?}"),
            Some(_) => {},
        }
    }
    let is_removed = |name: &&std::sync::Arc<str>| !newer.content.adapters.contains_key(*name);
    for name in older.content.adapters.keys().filter(is_removed) {
        println!("- {name}");
    }
    diff_routes(&older.content.routes, &newer.content.routes);
    let delta = compute((older.content.version, &older.text), (newer.content.version, &newer.text));
    let size = serde_json::to_string(&delta)?.len();
    println!("the difference has {size} bytes, the whole text {}", newer.text.len());
    Ok(())
}

fn diff_routes(older: &RouteTable, newer: &RouteTable) {
    let before: BTreeMap<&str, _> =
        older.iter().map(|route| (route.name.as_str(), route)).collect();
    let after: BTreeMap<&str, _> = newer.iter().map(|route| (route.name.as_str(), route)).collect();
    for (name, route) in &after {
        match before.get(name) {
            None => println!("+ route {}", route_line(route)),
            Some(old) if old != route => {
                println!("~ route {} -> {}", route_line(old), route_line(route));
            },
            Some(_) => {},
        }
    }
    for name in before.keys().filter(|name| !after.contains_key(*name)) {
        println!("- route {name}");
    }
}
