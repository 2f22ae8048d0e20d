//! Opens connections to engines through other hosts.

use std::{
    io::{Error, ErrorKind, Result},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use prometheus_client::metrics::{counter::Counter, family::Family};
use reelreel_core::{ClockMillis, fleet::EngineEntry};
use reelreel_http::HttpStream;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::{
    links::{HostLinks, TunnelGuard},
    metrics::{FrameLabels, TunnelMetrics},
    peers::{
        PeerStream,
        frame::FrameBody,
        tunnel_messages::{TunnelOutcome, TunnelRequestFrame},
    },
};

/// Maximum time until a host must have opened a tunnel: connecting to it and to the engine.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of hosts tried for one tunnel.
const HOST_LIMIT: u32 = 3;

/// Opens tunnels.
#[derive(Clone)]
pub struct TunnelClient {
    /// This host's links.
    pub links: Arc<HostLinks>,
    /// Counts tunnels by outcome.
    pub metrics: TunnelMetrics,
    /// Counts bytes of frames sent.
    pub sent_bytes: Family<FrameLabels, Counter>,
}

impl TunnelClient {
    /// Opens a tunnel to an engine.
    ///
    /// # Errors
    /// Returns [`ErrorKind::NotConnected`] if no host can open one, and an error as of a connect if
    /// the engine is at fault.
    pub async fn open(
        &self,
        entry: &EngineEntry,
        now: ClockMillis,
    ) -> Result<(HttpStream, TunnelGuard)> {
        for _ in 0..HOST_LIMIT {
            let selected = self.links.tunnel_hosts().select(&self.links.hall, now);
            let Some(address) = selected else { break };
            let started_at = Instant::now();
            let opened = timeout(OPEN_TIMEOUT, self.open_through(address, entry)).await;
            let (outcome, socket) = match opened {
                Ok(Ok(opened)) => opened,
                Ok(Err(_)) | Err(_) => (TunnelOutcome::Unavailable, None),
            };
            self.metrics.count_open(outcome);
            if let Some(kind) = outcome.engine_error() {
                return Err(Error::from(kind));
            }
            if let Some(socket) = socket {
                self.metrics.open_time.observe(started_at.elapsed().as_secs_f64());
                return Ok((HttpStream::new(socket)?, TunnelGuard::new(&self.links, address)));
            }
            self.links.tunnel_hosts().record_failure(address, now);
        }
        Err(Error::from(ErrorKind::NotConnected))
    }

    async fn open_through(
        &self,
        address: SocketAddr,
        entry: &EngineEntry,
    ) -> Result<(TunnelOutcome, Option<TcpStream>)> {
        let mut stream =
            PeerStream::new(TcpStream::connect(address).await?, self.sent_bytes.clone());
        let request = TunnelRequestFrame {
            host: self.links.host.to_string(),
            service: entry.service.to_string(),
            engine: entry.name.to_string(),
            incarnation: entry.incarnation,
        };
        stream.send(FrameBody::TunnelRequest(request).encoded()).await?;
        let response = stream.receive().await.and_then(|frame| frame.body);
        let Some(FrameBody::TunnelResponse(response)) = response else {
            return Ok((TunnelOutcome::Unavailable, None));
        };
        let outcome = response.outcome();
        let socket = stream.into_socket().filter(|_| outcome == TunnelOutcome::Opened);
        if outcome == TunnelOutcome::Opened && socket.is_none() {
            return Ok((TunnelOutcome::Unavailable, None));
        }
        Ok((outcome, socket))
    }
}
