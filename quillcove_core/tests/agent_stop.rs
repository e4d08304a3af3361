//! What an agent does between the end of its work and the end of its process.

use std::sync::Arc;
use std::time::Duration;

use quillcove_core::agent::AgentMachine;
use quillcove_core::agent::event::{
    AgentAction, AgentEvent, AgentRules, EngineReport, HostState, UpstreamKind,
};
use quillcove_core::bundle::FleetBundle;
use quillcove_core::once::book::{BookLimits, OnceBook};

fn report(incarnation: u64) -> AgentEvent {
    AgentEvent::ReportReceived(EngineReport { incarnation, ..EngineReport::default() })
}

// Guards against a stopped agent that claims its engine while a connection of it is still open, against its successor.
#[test]
fn an_agent_that_has_stopped_gives_its_engine_no_orders() {
    let rules = AgentRules { kind: UpstreamKind::Engine, ..AgentRules::default() };
    let book = OnceBook::new("e0", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    let mut machine = AgentMachine::new("e0", 5, rules, book, Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut feed = |event| {
        now += Duration::from_millis(100);
        let mut out = Vec::new();
        machine.handle(now, event, &mut out);
        out
    };
    let has_order =
        |out: &[AgentAction]| out.iter().any(|it| matches!(it, AgentAction::SendOrder(_)));
    feed(AgentEvent::HostStateRead(Some(HostState::Live)));
    feed(AgentEvent::BundleActivated(Arc::new(FleetBundle::default())));
    assert!(has_order(&feed(report(1))), "a new engine is claimed");
    assert!(feed(AgentEvent::StopRequested).contains(&AgentAction::Stopped));
    let out = [report(2), AgentEvent::Ticked, report(2), AgentEvent::Ticked].map(&mut feed);
    assert!(!out.iter().any(|out| has_order(out)), "{out:?}");
}
