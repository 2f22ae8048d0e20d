//! Opening connections to engines: directly, or through another host while this one is isolated.

use std::{cell::RefCell, io::ErrorKind, rc::Rc, sync::Arc, time::Duration};

use reelreel_core::{ClockMillis, chart::LinkState, fleet::EngineEntry};
use reelreel_http::HttpStream;
use tokio::time::Instant;

use super::{ConnectionPath, DEFAULT_KEEP_ALIVE, EnginePool, OpenedStream, UNRESPONSIVE_TIMEOUT};

/// Time after which a new connection that is still open counts as established: devices that reject
/// connections may accept them first.
const CHECK_SETTLE_TIME: Duration = Duration::from_millis(10);

impl EnginePool {
    /// Opens a new connection to an engine and adds it to the idle ones.
    ///
    /// # Errors
    /// Returns the error of a failed connect.
    pub async fn connect_idle(
        pool: &Rc<RefCell<Self>>,
        entry: &EngineEntry,
        now: ClockMillis,
    ) -> std::io::Result<()> {
        let opened = Self::open(pool, entry, now).await?;
        pool.borrow_mut().keep_idle(entry, opened, DEFAULT_KEEP_ALIVE, now);
        Ok(())
    }

    /// Opens a new connection directly, or through another host if this one is isolated.
    pub(super) async fn open(
        pool: &Rc<RefCell<Self>>,
        entry: &EngineEntry,
        now: ClockMillis,
    ) -> std::io::Result<OpenedStream> {
        let (links, tunnels) = {
            let pool = pool.borrow();
            (Arc::clone(&pool.links), pool.tunnels.clone())
        };
        // A refused connect takes no time, so an isolated host that is refused keeps trying.
        if !links.monitor().has_lost_open_connections(now) {
            let opened = Self::open_direct(pool, entry, now).await;
            // After a failure the state is waited for: a tunnel may help.
            if opened.is_ok() || links.verdict().await != LinkState::Isolated {
                let path = ConnectionPath { opened_at: now, tunnel: None };
                return opened.map(|stream| OpenedStream::new(stream, path));
            }
        }
        // From here on the direct failure says nothing about the engine.
        let (stream, guard) = tunnels.open(entry, now).await?;
        stream.set_dead_peer_timeout(UNRESPONSIVE_TIMEOUT)?;
        let path = ConnectionPath { opened_at: now, tunnel: Some(guard) };
        Ok(OpenedStream::new(stream, path))
    }

    /// Tries to connect to an engine, and keeps the connection for later requests.
    ///
    /// # Errors
    /// Returns the error of the connect, or that the new connection was closed at once.
    pub async fn check(
        pool: &Rc<RefCell<Self>>,
        entry: &EngineEntry,
        now: ClockMillis,
    ) -> std::io::Result<()> {
        let stream = Self::connect_new(pool, entry, now).await?;
        let links = Arc::clone(&pool.borrow().links);
        if links.monitor().has_seen_resets() {
            tokio::time::sleep(CHECK_SETTLE_TIME).await;
        }
        if !stream.is_idle() {
            return Err(ErrorKind::ConnectionReset.into());
        }
        let path = ConnectionPath { opened_at: now, tunnel: None };
        let opened = OpenedStream::new(stream, path);
        pool.borrow_mut().keep_idle(entry, opened, DEFAULT_KEEP_ALIVE, now);
        Ok(())
    }

    /// Opens a new connection directly, and records a failure as one of this host's links.
    ///
    /// # Errors
    /// Returns the error of a failed connect.
    pub async fn open_direct(
        pool: &Rc<RefCell<Self>>,
        entry: &EngineEntry,
        now: ClockMillis,
    ) -> std::io::Result<HttpStream> {
        let started_at = Instant::now();
        let connected = Self::connect_new(pool, entry, now).await;
        if let Err(error) = &connected {
            let links = Arc::clone(&pool.borrow().links);
            links.record_failure(&entry.name, error.into(), now + started_at.elapsed());
        }
        connected
    }

    async fn connect_new(
        pool: &Rc<RefCell<Self>>,
        entry: &EngineEntry,
        now: ClockMillis,
    ) -> std::io::Result<HttpStream> {
        let timeout = pool.borrow().connect_time.timeout();
        let address = pool.borrow().addresses.engine_address(entry);
        let started_at = Instant::now();
        let connected = HttpStream::connect(address, timeout).await;
        let time = started_at.elapsed();
        let mut pool = pool.borrow_mut();
        match connected {
            Ok(mut stream) => {
                stream.count_bytes(&pool.link_bytes);
                pool.record_connect(entry, time);
                stream.set_dead_peer_timeout(UNRESPONSIVE_TIMEOUT)?;
                Ok(stream)
            }
            Err(error) => {
                pool.record_connect_failure(entry, &error, now + time);
                Err(error)
            }
        }
    }
}
