//! The watch of the platform after calls that failed.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use quillcove::bundle::shelf::SharedFleetState;
use quillcove::bundle::watch::FleetWatch;
use quillcove::platform::{HostList, PlatformPort, PlatformValue};
use quillcove::web::client::WebError;
use quillcove_core::agent::event::{HostState, UpstreamKind};
use quillcove_core::entry::event::HostRecord;
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

#[test]
fn an_entry_of_another_writer_names_no_host_and_the_others_hold() {
    let record = HostRecord {
        host: "h1".to_string(),
        address: "10.0.0.1:80".to_string(),
        control: "10.0.0.1:81".to_string(),
        hall: "a".to_string(),
        state: HostState::Live,
        kind: UpstreamKind::Engine,
        serves: "m".to_string(),
    };
    let good = serde_json::to_string(&record).unwrap();
    for bad in ["7", "null", "[]", "{}", r#"{"host":1}"#, &good.replace("\"a\"", "[]")] {
        let text = format!("[{good},{bad},{good}]");
        let list = HostList::parse(3, text.as_bytes()).unwrap();
        assert_eq!((list.hosts.len(), list.faults.len()), (2, 1), "{bad}");
    }
    assert!(HostList::parse(3, b"{}").is_err());
}
