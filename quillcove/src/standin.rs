//! `quillcove standin`: the stand-ins as processes of their own.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use eyre::eyre;
use quillcove_standin::engine::{self, EngineSettings, EngineState};
use quillcove_standin::platform::{self, PlatformSettings, PlatformState};
use quillcove_standin::service::{self, ServiceState};

use crate::duty;

/// Runs one stand-in until the process is ended. The address goes to standard output.
///
/// # Errors
///
/// When the address can not be bound.
///
/// ```no_run
/// let matches = quillcove::cli::command().get_matches();
/// if let Some(("standin", matches)) = matches.subcommand() {
///     quillcove::standin::run(matches).unwrap();
/// }
/// ```
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let (kind, matches) = matches.subcommand().ok_or_else(|| eyre!("no stand-in is named"))?;
    let address: SocketAddr = *matches.get_one("listen").expect("has a default");
    let time = |name: &str| Duration::from_millis(*matches.get_one::<u64>(name).unwrap_or(&0));
    duty::run_async(1, async {
        match kind {
            "engine" => {
                let settings = EngineSettings {
                    slots: *matches.get_one::<usize>("slots").expect("has a default"),
                    batch: *matches.get_one::<usize>("batch").expect("has a default"),
                    step: time("step-ms"),
                    checks_fence: !matches.get_flag("no-fence"),
                    store: matches.get_one::<String>("store").cloned().unwrap_or_default(),
                    ..EngineSettings::default()
                };
                let server = engine::start(EngineState::new(settings), address);
                serve_forever(server.map_err(|error| eyre!(error))?).await
            },
            "service" => {
                let state = ServiceState::new(time("delay-ms"));
                serve_forever(service::start(state, address).map_err(|error| eyre!(error))?).await
            },
            _ => {
                let state = PlatformState::new(PlatformSettings::default());
                serve_forever(platform::start(state, address).map_err(|error| eyre!(error))?).await
            },
        }
    })
}

async fn serve_forever<C: dropshot::ServerContext>(
    server: dropshot::HttpServer<C>,
) -> eyre::Result<()> {
    println!("listening on {}", server.local_addr());
    server.await.map_err(|error| eyre!(error))
}
