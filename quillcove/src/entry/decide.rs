//! The duty that decides: it owns the machine and carries its actions out.

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

use crate::bundle::watch::WatchAsk;
use crate::clock::MonoClock;
use crate::duty;
use crate::process::note_ready;

/// Steps that may wait for a request's handler; it never has more than one at a time.
pub const STEP_PLACES: usize = 4;

/// What the deciding duty takes.
pub enum EntryInput {
    /// An event for the machine.
    Event(EntryEvent),
    /// A request, with the place for its steps.
    Request(RouteQuery, mpsc::Sender<RequestStep>),
    /// A question for the address of control calls to a host's agent.
    FindControl(HostId, oneshot::Sender<Option<String>>),
    /// A wish for the whole state.
    Dump(oneshot::Sender<EntryView>),
    /// End now.
    Halt,
}

/// What a request's handler does next.
#[derive(Clone, Debug)]
pub enum RequestStep {
    /// Make an attempt.
    Send(AttemptOrder),
    /// Answer with a refusal.
    Finish(WorkRefusal),
}

/// State of the duty.
pub struct DecideDuty {
    pub machine: EntryMachine,
    pub clock: MonoClock,
    pub watch_asks: mpsc::Sender<WatchAsk>,
    pub halt: watch::Sender<bool>,
    pub is_ready: Arc<AtomicBool>,
    pub callers: HashMap<RequestId, mpsc::Sender<RequestStep>>,
    pub log: Logger,
}

impl DecideDuty {
    /// Starts the duty's thread.
    pub fn spawn(mut self, inputs: Receiver<EntryInput>, tick: Duration) -> JoinHandle<()> {
        duty::start("decide", inputs, tick, move |input| self.take(input))
    }

    fn take(&mut self, input: Option<EntryInput>) -> bool {
        match input {
            None => self.handle(EntryEvent::Ticked),
            Some(EntryInput::Event(event)) => {
                if let EntryEvent::Done(request) = event {
                    self.callers.remove(&request);
                }
                self.handle(event);
            },
            Some(EntryInput::Request(query, steps)) => {
                self.callers.insert(query.request, steps);
                self.handle(EntryEvent::Admitted(query));
            },
            Some(EntryInput::FindControl(host, answer)) => {
                let _ = answer.send(self.machine.control_of(&host));
            },
            Some(EntryInput::Dump(answer)) => {
                let _ = answer.send(self.machine.view(self.clock.now()));
            },
            Some(EntryInput::Halt) => return false,
        }
        !*self.halt.borrow()
    }

    fn handle(&mut self, event: EntryEvent) {
        let mut actions = Vec::new();
        self.machine.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        note_ready(&self.is_ready, self.machine.is_ready(), &self.log);
    }

    fn carry_out(&mut self, action: EntryAction) {
        match action {
            EntryAction::Send(order) => {
                let request = order.request;
                self.step(request, RequestStep::Send(order));
            },
            EntryAction::Finish(request, refusal) => {
                self.step(request, RequestStep::Finish(refusal));
                self.callers.remove(&request);
            },
            EntryAction::ReadHosts => {
                let _ = self.watch_asks.try_send(WatchAsk::ReadHosts);
            },
            EntryAction::SeekBundle => {
                let _ = self.watch_asks.try_send(WatchAsk::SeekBundle);
            },
            EntryAction::Stopped => {
                info!(self.log, "entry stopped");
                self.halt.send_replace(true);
            },
        }
    }

    /// A handler that is gone closes its request by itself.
    fn step(&mut self, request: RequestId, step: RequestStep) {
        if let Some(steps) = self.callers.get(&request) {
            let _ = steps.try_send(step);
        }
    }
}
