//! A TCP proxy whose open connections can be made to go silent: nothing passes on them any
//! more, in either direction, and they stay open. New connections work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Number of the group that a connection belongs to.
type Generation = u64;

#[derive(Debug, Default)]
struct State {
    /// Connections of earlier generations are silent.
    generation: Generation,
    /// When requests were last passed on, with their first lines.
    seen: Vec<(Instant, String)>,
}

/// A proxy. Clones share its state.
#[derive(Clone, Debug)]
pub struct Proxy {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// Starts a proxy before `target` on a free port.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        let state: Arc<Mutex<State>> = Arc::default();
        let proxy = Self {
            addr,
            state: Arc::clone(&state),
        };
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let generation = state.lock().expect("no panic").generation;
                pass(&client, &server, generation, &state, true);
                pass(&server, &client, generation, &state, false);
            }
        });
        proxy
    }

    /// Makes all open connections silent.
    pub fn silence(&self) {
        self.state.lock().expect("no panic").generation += 1;
    }

    /// Returns when a request whose first line contains `text` was last passed on.
    pub fn last_request(&self, text: &str) -> Option<Instant> {
        let state = self.state.lock().expect("no panic");
        let found = state
            .seen
            .iter()
            .rev()
            .find(|(_, line)| line.contains(text));
        found.map(|(at, _)| *at)
    }
}

fn pass(
    from: &TcpStream,
    to: &TcpStream,
    generation: Generation,
    state: &Arc<Mutex<State>>,
    requests: bool,
) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let state = Arc::clone(state);
    std::thread::spawn(move || {
        let mut buf = vec![0; 64 << 10];
        loop {
            let read = from.read(&mut buf);
            let mut shared = state.lock().expect("no panic");
            if shared.generation != generation {
                // The other end learns nothing.
                if !matches!(read, Ok(n) if n > 0) {
                    return;
                }
                continue;
            }
            let Ok(n @ 1..) = read else {
                let _ = to.shutdown(Shutdown::Both);
                return;
            };
            if requests {
                let line = buf[..n].split(|b| *b == b'\r').next().unwrap_or_default();
                let line = String::from_utf8_lossy(line).into_owned();
                shared.seen.push((Instant::now(), line));
            }
            drop(shared);
            if to.write_all(&buf[..n]).is_err() {
                return;
            }
        }
    });
}
