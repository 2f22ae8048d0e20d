//! Threads that read the platform's log, append to it, and fetch the host list and engine reports.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{self, Receiver, RecvTimeoutError, Sender},
    },
    thread,
    time::Duration,
};

use reelreel_core::{
    NodeEvent,
    id::{EngineId, LogOffset},
    node::LogStream,
};

use crate::{
    clients::{EngineClient, HostListClient, LogClient, ReadBatch},
    control::{ControlInput, ControlSender},
};

/// How long a read at the end of a stream waits for new records.
const READ_WAIT: Duration = Duration::from_secs(2);

/// An offset beyond the end of every stream: a read from it returns the stream's end.
const PAST_END: LogOffset = LogOffset::MAX;

/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Number of threads that fetch engine reports, so that an unresponsive engine blocks only one.
const REPORT_THREADS: usize = 6;

/// A record to append.
#[derive(Debug)]
pub struct AppendRequest {
    /// The stream.
    pub stream: LogStream,
    /// The record.
    pub payload: Vec<u8>,
    /// Identifies the append in its result.
    pub ticket: u64,
}

/// A change of the offset at which a stream is read.
#[derive(Debug, Clone, Copy)]
pub struct FollowRequest {
    /// The stream.
    pub stream: LogStream,
    /// The offset to continue from; `None` stops reading.
    pub from: Option<LogOffset>,
}

/// Starts the append threads, one for each stream so that a slow stream does not delay others.
pub fn start_appenders(log: Arc<dyn LogClient>, control: ControlSender) -> Sender<AppendRequest> {
    let (sender, requests) = mpsc::channel::<AppendRequest>();
    thread::spawn(move || {
        let streams: Vec<(LogStream, Sender<AppendRequest>)> = LogStream::ALL
            .iter()
            .map(|stream| (*stream, start_stream_appender(Arc::clone(&log), control.clone())))
            .collect();
        while let Ok(request) = requests.recv() {
            let stream = streams.iter().find(|(stream, _)| *stream == request.stream);
            if let Some((_, appender)) = stream {
                drop(appender.send(request));
            }
        }
    });
    sender
}

fn start_stream_appender(log: Arc<dyn LogClient>, control: ControlSender) -> Sender<AppendRequest> {
    let (sender, requests) = mpsc::channel::<AppendRequest>();
    thread::spawn(move || {
        while let Ok(AppendRequest { stream, payload, ticket }) = requests.recv() {
            let result = log.append(stream, &payload);
            control.send_event(NodeEvent::AppendEnded { ticket, result });
        }
    });
    sender
}

/// Starts a reader for each stream; the core sets where each begins.
pub fn start_readers(
    log: &Arc<dyn LogClient>,
    control: &ControlSender,
    stop: &Arc<AtomicBool>,
) -> Sender<FollowRequest> {
    let (sender, requests) = mpsc::channel::<FollowRequest>();
    let (log, control, stop) = (Arc::clone(log), control.clone(), Arc::clone(stop));
    thread::spawn(move || {
        let readers: Vec<(LogStream, Sender<Option<LogOffset>>)> = LogStream::ALL
            .iter()
            .map(|stream| {
                let (sender, offsets) = mpsc::channel();
                let (log, control) = (Arc::clone(&log), control.clone());
                let (stream, stop) = (*stream, Arc::clone(&stop));
                thread::spawn(move || read_stream(&*log, stream, &offsets, &control, &stop));
                (stream, sender)
            })
            .collect();
        while let Ok(FollowRequest { stream, from }) = requests.recv() {
            let reader = readers.iter().find(|(reader_stream, _)| *reader_stream == stream);
            if let Some((_, reader)) = reader {
                let _disconnected = reader.send(from);
            }
        }
    });
    sender
}

/// Waits until the stream is to be read; returns the offset, or `None` at shutdown.
fn wait_for_offset(offsets: &Receiver<Option<LogOffset>>) -> Option<LogOffset> {
    loop {
        if let Some(offset) = offsets.recv().ok()? {
            return Some(offset);
        }
    }
}

fn read_stream(
    log: &dyn LogClient,
    stream: LogStream,
    offsets: &Receiver<Option<LogOffset>>,
    control: &ControlSender,
    stop: &AtomicBool,
) {
    let Some(mut from) = wait_for_offset(offsets) else { return };
    // Existing records are read without waiting; only reads at the end wait for new ones.
    let mut wait = Duration::ZERO;
    while !stop.load(Ordering::Relaxed) {
        match offsets.try_recv() {
            Ok(Some(offset)) => {
                from = offset;
                wait = Duration::ZERO;
            }
            Ok(None) => match wait_for_offset(offsets) {
                Some(offset) => {
                    from = offset;
                    wait = Duration::ZERO;
                }
                None => return,
            },
            Err(mpsc::TryRecvError::Empty) => {}
            Err(mpsc::TryRecvError::Disconnected) => return,
        }
        if stream == LogStream::Snapshots && from == 0 {
            // Only the newest snapshot is used, and each may be large.
            from = log.read(stream, PAST_END, Duration::ZERO).map_or(0, |batch| batch.end);
            from = from.saturating_sub(1);
        }
        match log.read(stream, from, wait) {
            Ok(batch) => {
                from = batch.records.last().map_or(from, |record| record.offset + 1);
                wait = if from >= batch.end { READ_WAIT } else { Duration::ZERO };
                let ReadBatch { era, first, records, end } = batch;
                control.send_event(NodeEvent::LogRead { stream, era, first, records, end });
            }
            Err(error) => {
                log::debug!("reading stream {} failed: {error}", stream.name());
                control.send_event(NodeEvent::LogUnavailable(stream));
                wait = Duration::ZERO;
                thread::sleep(READ_RETRY_DELAY);
            }
        }
    }
}

/// Starts the thread that polls the host list for changes.
pub fn start_host_list_poller(
    hosts: Arc<dyn HostListClient>,
    interval: Duration,
    control: ControlSender,
    stop: Arc<AtomicBool>,
) {
    thread::spawn(move || {
        let mut version = 0;
        let mut received = false;
        while !stop.load(Ordering::Relaxed) {
            match hosts.changes(version) {
                Ok((change, newer)) => {
                    if newer != version || !received {
                        received = true;
                        control.send_event(NodeEvent::HostListChanged(change));
                    }
                    version = newer;
                }
                Err(error) => log::debug!("fetching the host list failed: {error}"),
            }
            // Until the first version is known, poll more often to become ready sooner.
            thread::sleep(if version == 0 { interval / 8 } else { interval });
        }
    });
}

/// Starts the threads that fetch engine reports.
pub fn start_report_fetchers(
    engines: &Arc<dyn EngineClient>,
    control: &ControlSender,
) -> Sender<(EngineId, String)> {
    let (sender, requests) = mpsc::channel::<(EngineId, String)>();
    let requests = Arc::new(std::sync::Mutex::new(requests));
    for _ in 0..REPORT_THREADS {
        let (requests, engines, control) =
            (Arc::clone(&requests), Arc::clone(engines), control.clone());
        thread::spawn(move || {
            loop {
                let request = match requests.lock() {
                    Ok(requests) => requests.recv_timeout(Duration::from_secs(1)),
                    Err(_) => return,
                };
                match request {
                    Ok((engine, address)) => fetch_report(&*engines, engine, &address, &control),
                    Err(RecvTimeoutError::Timeout) => {}
                    Err(RecvTimeoutError::Disconnected) => return,
                }
            }
        });
    }
    sender
}

fn fetch_report(
    engines: &dyn EngineClient,
    engine: EngineId,
    address: &str,
    control: &ControlSender,
) {
    match engines.report(address) {
        Ok(report) => control.send_input(ControlInput::Report(engine, report)),
        Err(error) => log::debug!("fetching the report of engine {engine} failed: {error}"),
    }
}
