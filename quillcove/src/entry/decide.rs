//! The `decide` thread: owns the entry's state machine and executes its actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::Receiver;
use quillcove_core::entry::event::{AttemptOrder, EntryAction, EntryEvent, RouteQuery};
use quillcove_core::entry::{EntryMachine, EntryView};
use quillcove_core::ids::{HostId, RequestId};
use quillcove_core::verdict::WorkRefusal;
use slog::{Logger, info};
use tokio::sync::{mpsc, oneshot, watch};

use crate::bundle::watch::WatchRequest;
use crate::clock::MonoClock;
use crate::duty;
use crate::process::{ProcessPhase, update_readiness};

/// Capacity of the step queue of a request's handler, which never has more than one step pending.
pub const STEP_QUEUE_CAPACITY: usize = 4;

/// Input of the `decide` thread.
pub enum EntryInput {
    /// An event for the state machine.
    Event(EntryEvent),
    /// A new request, with the channel on which its handler receives steps.
    Request(RouteQuery, mpsc::Sender<RequestStep>),
    /// Looks up the address for control calls to a host's agent.
    FindControl(HostId, oneshot::Sender<Option<String>>),
    /// Requests a dump of the state.
    Dump(oneshot::Sender<EntryView>),
    /// Ends the thread at once.
    Halt,
}

/// Next step of a request's handler.
#[derive(Clone, Debug)]
pub enum RequestStep {
    /// Makes an attempt.
    Send(AttemptOrder),
    /// Rejects the request with this refusal.
    Finish(WorkRefusal),
}

/// State of the `decide` thread.
pub struct DecideDuty {
    pub machine: EntryMachine,
    pub clock: MonoClock,
    pub watch_requests: mpsc::Sender<WatchRequest>,
    pub phase: watch::Sender<ProcessPhase>,
    pub is_ready: Arc<AtomicBool>,
    pub step_senders: HashMap<RequestId, mpsc::Sender<RequestStep>>,
    pub log: Logger,
}

impl DecideDuty {
    /// Starts the thread, which handles its inputs and a tick of the machine each `tick`.
    pub fn spawn(mut self, inputs: Receiver<EntryInput>, tick: Duration) -> JoinHandle<()> {
        duty::start("decide", inputs, tick, move |input| self.process_input(input))
    }

    /// Handles one input, or a tick if there is none; returns whether the thread goes on.
    fn process_input(&mut self, input: Option<EntryInput>) -> bool {
        match input {
            None => self.handle(EntryEvent::Ticked),
            Some(EntryInput::Event(event)) => {
                if let EntryEvent::RequestDone(request) = event {
                    self.step_senders.remove(&request);
                }
                self.handle(event);
            },
            Some(EntryInput::Request(query, steps)) => {
                self.step_senders.insert(query.request, steps);
                self.handle(EntryEvent::Admitted(query));
            },
            Some(EntryInput::FindControl(host, answer)) => {
                let _ = answer.send(self.machine.control_address(&host));
            },
            Some(EntryInput::Dump(answer)) => {
                let _ = answer.send(self.machine.view(self.clock.now()));
            },
            Some(EntryInput::Halt) => return false,
        }
        *self.phase.borrow() != ProcessPhase::Aborted
    }

    fn handle(&mut self, event: EntryEvent) {
        let mut actions = Vec::new();
        self.machine.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
        update_readiness(&self.is_ready, self.machine.is_ready(), &self.log);
    }

    fn execute(&mut self, action: EntryAction) {
        match action {
            EntryAction::Send(order) => {
                let request = order.request;
                self.send_step(request, RequestStep::Send(order));
            },
            EntryAction::Reject(request, refusal) => {
                self.send_step(request, RequestStep::Finish(refusal));
                self.step_senders.remove(&request);
            },
            EntryAction::ReadHosts => {
                let _ = self.watch_requests.try_send(WatchRequest::ReadHosts);
            },
            EntryAction::RequestBundle => {
                let _ = self.watch_requests.try_send(WatchRequest::FetchFromPeers);
            },
            EntryAction::Stopped => {
                info!(self.log, "entry stopped");
                self.phase.send_replace(ProcessPhase::Closing);
            },
        }
    }

    /// Sends a step to a request's handler. A handler that has ended needs none: its guard reports
    /// the request as done.
    fn send_step(&mut self, request: RequestId, step: RequestStep) {
        if let Some(steps) = self.step_senders.get(&request) {
            let _ = steps.try_send(step);
        }
    }
}
