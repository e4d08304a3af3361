//! Passing on what the platform has published, by tarpc: a relay that the store turns away asks
//! another one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use quillcove_core::relay::published::PublishedState;
use slog::warn;
use tarpc::client::Config;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::time::timeout;
use tokio_serde::formats::Bincode;

use super::shared::RelayShared;

/// Longest time for an answer of another relay.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);

/// Calls that a relay answers to other relays.
#[tarpc::service]
pub trait RelayShare {
    /// All that this relay has read from the store.
    async fn published() -> PublishedState;
}

#[derive(Clone)]
struct ShareAnswers {
    shared: Arc<RelayShared>,
}

impl RelayShare for ShareAnswers {
    async fn published(self, _context: Context) -> PublishedState {
        self.shared.machine().published(self.shared.clock.now())
    }
}

/// Answers other relays until the process ends.
pub async fn serve(shared: Arc<RelayShared>, address: SocketAddr) -> std::io::Result<()> {
    let mut incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    tokio::spawn(async move {
        while let Some(transport) = incoming.next().await {
            let answers = ShareAnswers { shared: shared.clone() };
            match transport {
                Ok(transport) => drop(tokio::spawn(answer(transport, answers))),
                Err(error) => {
                    warn!(shared.log, "relay's connection not accepted"; "error" => %error);
                },
            }
        }
    });
    Ok(())
}

async fn answer<T>(transport: T, answers: ShareAnswers)
where
    T: tarpc::Transport<
            tarpc::Response<RelayShareResponse>,
            tarpc::ClientMessage<RelayShareRequest>,
        > + Send
        + 'static,
{
    let channel = BaseChannel::with_defaults(transport);
    let responses = channel.execute(answers.serve());
    responses.for_each(|response| async move { drop(tokio::spawn(response)) }).await;
}

/// Asks another relay for what it has read.
pub async fn fetch(address: SocketAddr) -> Result<PublishedState, String> {
    let exchange = async {
        let connect = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        let transport = connect.await.map_err(|error| error.to_string())?;
        let client = RelayShareClient::new(Config::default(), transport).spawn();
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + FETCH_TIMEOUT;
        client.published(context).await.map_err(|error| error.to_string())
    };
    timeout(FETCH_TIMEOUT, exchange).await.unwrap_or_else(|_| Err("no answer in time".to_string()))
}
