//! The watch of the platform after calls that failed.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use quillcove::bundle::shelf::SharedFleetState;
use quillcove::bundle::watch::FleetWatch;
use quillcove::platform::{HostList, PlatformPort, PlatformValue};
use quillcove::web::client::WebError;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Longest time that the test waits for the calls that it looks at.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// What each call asked the platform to wait.
type AskedWaits = Arc<Mutex<Vec<Duration>>>;

/// A platform whose second call of each kind fails; calls that wait for a change wait for ever.
#[derive(Clone, Default)]
struct FailingPlatform {
    hosts: AskedWaits,
    values: AskedWaits,
}

/// Notes a call and answers it.
async fn answer<T>(asked: &AskedWaits, wait: Duration) -> Result<Option<T>, WebError> {
    let number = {
        let mut asked = asked.lock().unwrap();
        asked.push(wait);
        asked.len()
    };
    match number {
        1 => Ok(None),
        2 => Err(WebError::Lost("time is up".to_string())),
        _ if wait.is_zero() => Ok(None),
        _ => std::future::pending().await,
    }
}

impl PlatformPort for FailingPlatform {
    async fn hosts(
        &self,
        _after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<HostList>, WebError> {
        answer(&self.hosts, wait).await
    }

    async fn value(
        &self,
        _name: &str,
        _after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<PlatformValue>, WebError> {
        answer(&self.values, wait).await
    }
}

#[test]
fn a_call_that_follows_a_failed_one_asks_for_an_answer_at_once() {
    let platform = FailingPlatform::default();
    let (hosts, values) = (platform.hosts.clone(), platform.values.clone());
    let sections = (Default::default(), Default::default());
    let log = quillcove::logging::silent();
    let watch = FleetWatch::new(platform, sections, None, SharedFleetState::default(), log, |_| ());
    let (_asks, receiver) = mpsc::channel(1);
    let seen = |asked: &AskedWaits| asked.lock().unwrap().get(2).copied();
    let both_seen = async {
        loop {
            if let (Some(hosts), Some(values)) = (seen(&hosts), seen(&values)) {
                return (hosts, values);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let third_waits = quillcove::duty::run_async(1, async {
        tokio::select! {
            () = watch.run(receiver) => panic!("the watch ended"),
            waits = timeout(WAIT_LIMIT, both_seen) => waits.expect("a third call of each kind"),
        }
    });
    assert_eq!(third_waits, (Duration::ZERO, Duration::ZERO));
}
