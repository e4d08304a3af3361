//! The command line.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// The whole command line.
///
/// ```
/// quillcove::cli::command().debug_assert();
/// ```
pub fn command() -> Command {
    Command::new("quillcove")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves very many LoRA adapters from few engine slots")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(role("entry", "Run an entry between callers and agents"))
        .subcommand(role("agent", "Run the agent beside one upstream"))
        .subcommand(role("relay", "Run a relay between callers and a platform's upstreams"))
        .subcommand(role("loader", "Run the loader beside one engine of a platform"))
        .subcommand(check())
        .subcommand(dump())
        .subcommand(bundle())
        .subcommand(demo())
        .subcommand(measure())
        .subcommand(standin())
        .subcommand(generate())
}

fn role(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(config_file().required(true)).arg(overrides())
}

fn config_file() -> Arg {
    Arg::new("config").long("config").short('c').value_name("FILE").help("Settings in INI")
}

fn overrides() -> Arg {
    Arg::new("set").long("set").value_name("SECTION.KEY=VALUE").action(ArgAction::Append).help(
        "Set one value in place of the file's; environment variables such as \
               QUILLCOVE_PROCESS_HOST go before both",
    )
}

fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).value_name("FILE").required(true).help(help)
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn check() -> Command {
    Command::new("check")
        .about("Check a settings file and print all its faults")
        .arg(text("file", "Settings in INI"))
        .arg(
            option("role", "ROLE", "Whose settings; an [upstream] section means agent")
                .value_parser(["entry", "agent", "relay", "loader"]),
        )
        .arg(overrides())
}

fn dump() -> Command {
    Command::new("dump")
        .about("Print the state of a running process")
        .arg(Arg::new("address").value_name("ADDRESS").required(true).help("Operators' address"))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON"))
}

fn bundle() -> Command {
    let keygen = Command::new("keygen")
        .about("Write a new signing key and print its public key")
        .arg(text("file", "File for the signing key"));
    let sign = Command::new("sign")
        .about("Check and sign a bundle, and write the values to publish")
        .arg(text("file", "Bundle in TOML"))
        .arg(option("key", "FILE", "Signing key").required(true))
        .arg(option("previous", "FILE", "Bundle of the version before, for the difference"))
        .arg(option("out", "FOLDER", "Folder for the values").default_value("."));
    let verify = Command::new("verify")
        .about("Check a bundle's signature")
        .arg(text("file", "Bundle in TOML"))
        .arg(option("head", "FILE", "Head written by sign").required(true))
        .arg(option("public-key", "HEX", "Public key").required(true));
    let show = Command::new("show").about("Print what is in a bundle").arg(text("file", "Bundle"));
    let diff = Command::new("diff")
        .about("Print what changes between two bundles")
        .arg(text("older", "Older bundle"))
        .arg(text("newer", "Newer bundle"));
    Command::new("bundle")
        .about("Author, sign and check bundles")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([keygen, sign, verify, show, diff])
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    option(name, "NUMBER", help).value_parser(value_parser!(usize)).default_value(default)
}

fn millis(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    option(name, "MS", help).value_parser(value_parser!(u64)).default_value(default)
}

fn demo() -> Command {
    Command::new("demo")
        .about("Run a whole small site in one process, with stand-ins, and print a table")
        .arg(number("adapters", "5000", "Adapters in the bundle"))
        .arg(number("engines", "6", "Engines"))
        .arg(number("rate", "12", "Requests a second"))
        .arg(number("seconds", "20", "Length of the stream of requests"))
        .arg(
            Arg::new("serve")
                .long("serve")
                .action(ArgAction::SetTrue)
                .help("Send nothing; keep the site up and print how to call it"),
        )
}

fn measure() -> Command {
    let policy = Command::new("policy")
        .about("Compare the rules for routing, slots and loads with the baselines")
        .arg(number("seconds", "15", "Length of each run"))
        .arg(option("only", "NAME", "Scenarios whose names begin so"))
        .arg(option("policy", "NAME", "Policies whose names begin so"))
        .arg(option("out", "FILE", "File for the results, as JSON"));
    let latency = Command::new("latency")
        .about("Measure what entry and agent add to a call")
        .arg(number("calls", "3000", "Calls of each kind"));
    Command::new("measure")
        .about("Run one of the measurements that the documentation cites")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([latency, policy])
}

fn standin() -> Command {
    let listen = || {
        option("listen", "ADDRESS", "Address to listen on")
            .value_parser(value_parser!(SocketAddr))
            .default_value("127.0.0.1:0")
    };
    let engine = Command::new("engine")
        .about("A model engine")
        .arg(listen())
        .arg(option("store", "URL", "Weight store, as http://address"))
        .arg(number("slots", "8", "Adapter slots"))
        .arg(number("batch", "8", "Requests in one batch"))
        .arg(millis("step-ms", "5", "Time of one step"))
        .arg(
            Arg::new("no-fence")
                .long("no-fence")
                .action(ArgAction::SetTrue)
                .help("Take orders whatever their fence"),
        );
    let service = Command::new("service")
        .about("A plain service that counts bookings")
        .arg(listen())
        .arg(millis("delay-ms", "5", "Time of one call"));
    let platform = Command::new("platform")
        .about("Configuration values, host list and weight store")
        .arg(listen());
    Command::new("standin")
        .about("Run a stand-in, for trials")
        .subcommand_required(true)
        .subcommands([engine, service, platform])
}

fn generate() -> Command {
    Command::new("generate")
        .about("Write man pages and shell completions")
        .hide(true)
        .arg(Arg::new("folder").value_name("FOLDER").required(true).help("Folder to write into"))
}

/// The overrides given with `--set`.
///
/// ```
/// let line = ["quillcove", "agent", "-c", "a.ini", "--set", "log.level=debug"];
/// let matches = quillcove::cli::command().get_matches_from(line);
/// let matches = matches.subcommand().unwrap().1;
/// assert_eq!(quillcove::cli::given_overrides(matches), ["log.level=debug"]);
/// ```
pub fn given_overrides(matches: &ArgMatches) -> Vec<String> {
    matches.get_many::<String>("set").map(|values| values.cloned().collect()).unwrap_or_default()
}
