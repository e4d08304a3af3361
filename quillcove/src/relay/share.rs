//! Serves what this relay has read from the store to other relays, over tarpc. A relay that cannot
//! read the store itself fetches this state from another one.

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

/// Timeout for fetching the state of another relay, including the connection.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);

/// Remote calls that a relay serves to other relays.
#[tarpc::service]
pub trait RelayShare {
    /// Returns the state that this relay has read from the store.
    async fn published() -> PublishedState;
}

#[derive(Clone)]
struct ShareServer {
    shared: Arc<RelayShared>,
}

impl RelayShare for ShareServer {
    async fn published(self, _context: Context) -> PublishedState {
        self.shared.machine().published(self.shared.clock.now())
    }
}

/// Starts serving other relays, until the process ends.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn serve(shared: Arc<RelayShared>, address: SocketAddr) -> std::io::Result<()> {
    let mut incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    tokio::spawn(async move {
        while let Some(transport) = incoming.next().await {
            let server = ShareServer { shared: shared.clone() };
            match transport {
                Ok(transport) => drop(tokio::spawn(serve_connection(transport, server))),
                Err(error) => {
                    warn!(shared.log, "relay's connection not accepted"; "error" => %error);
                },
            }
        }
    });
    Ok(())
}

/// Serves the calls on one connection.
async fn serve_connection<T>(transport: T, server: ShareServer)
where
    T: tarpc::Transport<
            tarpc::Response<RelayShareResponse>,
            tarpc::ClientMessage<RelayShareRequest>,
        > + Send
        + 'static,
{
    let channel = BaseChannel::with_defaults(transport);
    let responses = channel.execute(server.serve());
    responses.for_each(|response| async move { drop(tokio::spawn(response)) }).await;
}

/// Fetches the state that another relay has read from the store.
pub async fn fetch(address: SocketAddr) -> Result<PublishedState, String> {
    let call = async {
        let connect = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        let transport = connect.await.map_err(|error| error.to_string())?;
        let client = RelayShareClient::new(Config::default(), transport).spawn();
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + FETCH_TIMEOUT;
        client.published(context).await.map_err(|error| error.to_string())
    };
    timeout(FETCH_TIMEOUT, call).await.unwrap_or_else(|_| Err("no response in time".to_string()))
}
