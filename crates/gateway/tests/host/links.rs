//! Links of one host to engines, which can be cut.

use std::{
    collections::HashMap,
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use reelreel_core::fleet::EngineEntry;
use reelreel_gateway::codec::AddressResolver;
use socket2::{Domain, SockRef, Socket, Type};

use crate::site::free_address;

/// Number of connections that an open link lets wait to be accepted.
const BACKLOG: i32 = 128;

/// Interval at which a link checks whether it has been cut.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of connections that fill the queue of a link that accepts none.
const QUEUE_FILLERS: usize = 3;

/// What a cut does to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CutForm {
    /// Open connections fall silent, and new ones are not answered.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections go on, and new ones are refused.
    RefuseNew,
    /// Open connections go on, and new ones are not answered: a link that is too busy for a connect
    /// within its timeout.
    HangNew,
}

#[derive(Default)]
struct LinkState {
    cut: Option<CutForm>,
    listener: Option<Socket>,
    /// Connections that fill the queue during a hang.
    fillers: Vec<Socket>,
    /// Both sockets of each open connection.
    open: Vec<(TcpStream, TcpStream)>,
}

/// A host's link to one engine.
struct EngineLink {
    address: SocketAddr,
    target: SocketAddr,
    state: Mutex<LinkState>,
}

/// Links of one host to engines.
#[derive(Default)]
pub(crate) struct EngineLinks {
    links: Mutex<HashMap<SocketAddr, Arc<EngineLink>>>,
    cut: Mutex<Option<CutForm>>,
}

impl AddressResolver for EngineLinks {
    fn engine_address(&self, entry: &EngineEntry) -> SocketAddr {
        let cut = *lock(&self.cut);
        let mut links = lock(&self.links);
        let link = links.entry(entry.address).or_insert_with(|| {
            let link = EngineLink::start(entry.address);
            if let Some(form) = cut {
                link.cut(form);
            }
            link
        });
        link.address
    }
}

impl EngineLinks {
    /// Cuts the links to all engines.
    pub(crate) fn cut(&self, form: CutForm) {
        *lock(&self.cut) = Some(form);
        lock(&self.links).values().for_each(|link| link.cut(form));
    }

    /// Cuts the link to one engine.
    pub(crate) fn cut_engine(&self, engine: SocketAddr, form: CutForm) {
        if let Some(link) = lock(&self.links).get(&engine) {
            link.cut(form);
        }
    }

    /// Repairs all links.
    pub(crate) fn repair(&self) {
        *lock(&self.cut) = None;
        lock(&self.links).values().for_each(|link| link.repair());
    }
}

impl EngineLink {
    fn start(target: SocketAddr) -> Arc<Self> {
        let address = free_address();
        let link = Arc::new(Self { address, target, state: Mutex::default() });
        lock(&link.state).listener = Some(listen(address));
        let accepting = Arc::clone(&link);
        thread::spawn(move || accepting.accept());
        link
    }

    fn cut(&self, form: CutForm) {
        let mut state = lock(&self.state);
        state.cut = Some(form);
        match form {
            CutForm::Hang | CutForm::HangNew => {
                if let Some(listener) = &state.listener {
                    let _ = listener.listen(0);
                }
                let fillers = (0..QUEUE_FILLERS).filter_map(|_| {
                    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
                    socket.set_nonblocking(true).ok()?;
                    let _ = socket.connect(&self.address.into());
                    Some(socket)
                });
                state.fillers = fillers.collect();
            }
            CutForm::Reset | CutForm::RefuseNew => state.listener = None,
        }
        if form == CutForm::Reset {
            for (client, engine) in state.open.drain(..) {
                let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
                let _ = (client.shutdown(Shutdown::Both), engine.shutdown(Shutdown::Both));
            }
        }
    }

    fn repair(&self) {
        let mut state = lock(&self.state);
        if state.cut.take().is_none() {
            return;
        }
        state.fillers.clear();
        match &state.listener {
            Some(listener) => drop(listener.listen(BACKLOG)),
            None => state.listener = Some(listen(self.address)),
        }
    }

    fn accept(self: Arc<Self>) {
        loop {
            let mut state = lock(&self.state);
            let listener = state.listener.as_ref().filter(|_| state.cut.is_none());
            let accepted = listener.and_then(|listener| listener.accept().ok());
            if let Some((client, _)) = accepted {
                self.open(TcpStream::from(client), &mut state);
                continue;
            }
            drop(state);
            thread::sleep(POLL_INTERVAL / 10);
        }
    }

    fn open(self: &Arc<Self>, client: TcpStream, state: &mut LinkState) {
        let Ok(engine) = TcpStream::connect(self.target) else {
            let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
            return;
        };
        for socket in [&client, &engine] {
            let _ = (socket.set_nonblocking(false), socket.set_nodelay(true));
            let _ = socket.set_read_timeout(Some(POLL_INTERVAL));
        }
        let copies =
            (client.try_clone(), engine.try_clone(), client.try_clone(), engine.try_clone());
        let (Ok(reader), Ok(writer), Ok(writer_back), Ok(reader_back)) = copies else { return };
        state.open.push((client, engine));
        for (from, to) in [(reader, writer), (reader_back, writer_back)] {
            let link = Arc::clone(self);
            thread::spawn(move || link.forward(from, to));
        }
    }

    /// Forwards one direction of a connection until either side closes it.
    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 8192];
        loop {
            if lock(&self.state).cut == Some(CutForm::Hang) {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            match from.read(&mut bytes) {
                Ok(0) => break,
                Ok(count) if to.write_all(&bytes[..count]).is_err() => break,
                Ok(_) => {}
                Err(error) if is_timeout(error.kind()) => {}
                Err(_) => break,
            }
        }
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }
}

/// Listens on an address without blocking.
fn listen(address: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("a socket option");
    socket.bind(&address.into()).expect("the address of a link is free");
    socket.listen(BACKLOG).expect("a listening socket");
    socket.set_nonblocking(true).expect("a socket option");
    socket
}

const fn is_timeout(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
