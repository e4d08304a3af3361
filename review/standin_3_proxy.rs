//! A proxy on the way from one machine to the store. While it holds, it passes nothing on in either direction and
//! keeps what came, as a link does that is cut: the bytes arrive after the cut.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    is_held: bool,
    /// Calls that were passed on, by their first line.
    calls: Vec<String>,
}

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Proxy {
    pub fn start(listener: TcpListener, target: SocketAddr) -> Self {
        let address = listener.local_addr().expect("a bound address");
        let proxy = Self { address, shared: Arc::default() };
        let served = proxy.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(callee) = TcpStream::connect(target) else { continue };
                let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
                let (Ok(caller_writer), Ok(callee_writer)) =
                    (caller.try_clone(), callee.try_clone())
                else {
                    continue;
                };
                let (there, back) = (served.clone(), served.clone());
                thread::spawn(move || there.pass(caller, callee_writer, true));
                thread::spawn(move || back.pass(callee, caller_writer, false));
            }
        });
        proxy
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream, is_call: bool) {
        let mut buffer = vec![0; 64 << 10];
        while let Ok(count) = from.read(&mut buffer)
            && count > 0
        {
            let (state, changed) = &*self.shared;
            let mut state =
                changed.wait_while(state.lock().unwrap(), |state| state.is_held).unwrap();
            if is_call {
                let text = String::from_utf8_lossy(&buffer[..count]).to_string();
                state.calls.extend(text.lines().next().map(str::to_string));
            }
            drop(state);
            changed.notify_all();
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let (state, changed) = &*self.shared;
        drop(changed.wait_while(state.lock().unwrap(), |state| state.is_held).unwrap());
        let _ = to.shutdown(std::net::Shutdown::Write);
    }

    pub fn hold(&self, is_held: bool) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().is_held = is_held;
        changed.notify_all();
    }

    /// Waits for the next call that contains a text; returns whether it came.
    pub fn await_call(&self, text: &str, limit: Duration) -> bool {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let (before, end) = (state.calls.len(), Instant::now() + limit);
        loop {
            if state.calls[before..].iter().any(|call| call.contains(text)) {
                return true;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
