//! `reelreel measure`: compares latency through entry hosts with direct calls to an engine.

use std::{
    fmt::Write as _,
    io::Read,
    process::ExitCode,
    sync::{Arc, Barrier},
    thread,
    time::{Duration, Instant},
};

use eyre::{bail, eyre};
use hdrhistogram::Histogram;
use reelreel_core::settings::read_tree;
use serde::Serialize;
use serde_json::json;

use crate::{
    dev::site::{DevSite, DevSiteOptions},
    options::MeasureOptions,
    output::print,
};

/// Adapter under measurement; one host owns its engine and the other forwards requests to the owner.
const MODEL: &str = "assist/north/brakes@2";

/// Settings tree with that one adapter.
const SETTINGS_TREE: &str = "deadline_ms = 60000\nqueue_limit = 100000\n[service.assist]\nbase_model = \"base\"\n\
    [service.assist.organisation.north.adapter.brakes]\nversion = 2\n";

/// Stack size of a thread that reads one stream.
const READER_STACK_BYTES: usize = 128 << 10;

/// Latencies of one path as seen by the caller. Unit: microseconds.
#[derive(Debug, Clone, Serialize)]
struct PathLatencies {
    streams: usize,
    path: &'static str,
    first_token_us_p50: u64,
    first_token_us_p99: u64,
    between_tokens_us_p50: u64,
    between_tokens_us_p99: u64,
    samples: u64,
}

struct Samples {
    first: Histogram<u64>,
    between_tokens: Histogram<u64>,
}

impl Samples {
    fn new() -> eyre::Result<Self> {
        let histogram = || Histogram::new_with_bounds(1, 600_000_000, 3);
        Ok(Self { first: histogram()?, between_tokens: histogram()? })
    }

    fn latencies(&self, streams: usize, path: &'static str) -> PathLatencies {
        PathLatencies {
            streams,
            path,
            first_token_us_p50: self.first.value_at_quantile(0.5),
            first_token_us_p99: self.first.value_at_quantile(0.99),
            between_tokens_us_p50: self.between_tokens.value_at_quantile(0.5),
            between_tokens_us_p99: self.between_tokens.value_at_quantile(0.99),
            samples: self.first.len(),
        }
    }
}

/// Endpoint that streams are requested from.
#[derive(Debug, Clone)]
struct Target {
    address: String,
    /// The engine's current fencing token, for direct calls.
    token: Option<u64>,
}

/// Returns the highest fencing token that the engine has accepted, which a direct call must carry.
fn engine_token(address: &str) -> eyre::Result<u64> {
    let mut answer = ureq::get(format!("http://{address}/report")).call()?;
    let report: serde_json::Value = serde_json::from_slice(&answer.body_mut().read_to_vec()?)?;
    report["token"].as_u64().ok_or_else(|| eyre!("the engine's report has no token"))
}

/// Runs the measurement and prints the table.
pub(crate) fn run(options: &MeasureOptions) -> eyre::Result<ExitCode> {
    let tree = read_tree(SETTINGS_TREE).map_err(|errors| eyre!("built-in tree: {}", errors[0]))?;
    let max_streams = options.streams.iter().copied().max().unwrap_or(1);
    let streams = u32::try_from(max_streams).unwrap_or(u32::MAX);
    let site_options = DevSiteOptions { hosts: 2, engines: 1, halls: 1, streams, port: 0 };
    let site = DevSite::start(&site_options, &tree)?;
    let hosts = site.callers();
    for host in &hosts {
        warm_up(&Target { address: host.to_string(), token: None })?;
    }
    let mut rows = Vec::new();
    for streams in options.streams.iter().copied() {
        let engine = site.engines[0].address().to_owned();
        let direct = Target { token: Some(engine_token(&engine)?), address: engine };
        let mut targets = vec![("engine", direct)];
        for (name, host) in ["host 1", "host 2"].into_iter().zip(&hosts) {
            targets.push((name, Target { address: host.to_string(), token: None }));
        }
        let mut samples: Vec<Samples> =
            targets.iter().map(|_| Samples::new()).collect::<eyre::Result<_>>()?;
        // Paths alternate within each round, so that noise on the host affects all of them equally.
        for round in 0..options.rounds.max(2) {
            for ((_, target), samples) in targets.iter().zip(&mut samples) {
                let round_samples = run_round(target, streams, options.tokens)?;
                if round > 0 {
                    samples.first.add(&round_samples.first)?;
                    samples.between_tokens.add(&round_samples.between_tokens)?;
                }
            }
        }
        for ((name, _), samples) in targets.iter().zip(&samples) {
            rows.push(samples.latencies(streams, name));
        }
    }
    print(options.output, &rows, || format_table(&rows))?;
    Ok(ExitCode::SUCCESS)
}

fn format_table(rows: &[PathLatencies]) -> String {
    let mut text = String::from(
        "streams path     first token p50/p99 ms   between tokens p50/p99 ms  samples\n",
    );
    let millis = |micros: u64| micros as f64 / 1000.0;
    for row in rows {
        let _infallible = writeln!(
            text,
            "{:7} {:8} {:10.3} {:10.3}   {:12.3} {:10.3}  {:8}",
            row.streams,
            row.path,
            millis(row.first_token_us_p50),
            millis(row.first_token_us_p99),
            millis(row.between_tokens_us_p50),
            millis(row.between_tokens_us_p99),
            row.samples
        );
    }
    text
}

/// Repeats a request until the adapter is loaded and the engine has an owner.
fn warm_up(target: &Target) -> eyre::Result<()> {
    const TIMEOUT: Duration = Duration::from_secs(20);
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match stream_once(target, 1, 0) {
            Ok(_) => return Ok(()),
            Err(error) if Instant::now() > deadline => return Err(error),
            Err(_) => thread::sleep(Duration::from_millis(100)),
        }
    }
}

/// Opens all streams concurrently and reads each to its end.
fn run_round(target: &Target, streams: usize, tokens: usize) -> eyre::Result<Samples> {
    let barrier = Arc::new(Barrier::new(streams));
    let mut readers = Vec::new();
    for index in 0..streams {
        let (target, barrier) = (target.clone(), Arc::clone(&barrier));
        let reader = thread::Builder::new().stack_size(READER_STACK_BYTES).spawn(move || {
            barrier.wait();
            stream_once(&target, tokens, index)
        })?;
        readers.push(reader);
    }
    let mut samples = Samples::new()?;
    for reader in readers {
        let times = reader.join().map_err(|_| eyre!("a reader thread panicked"))??;
        samples.first.record(micros(times.first))?;
        for between_tokens in times.between_tokens {
            samples.between_tokens.record(micros(between_tokens))?;
        }
    }
    Ok(samples)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX).max(1)
}

struct StreamTimes {
    first: Duration,
    between_tokens: Vec<Duration>,
}

/// Reads one stream and checks that it is complete.
fn stream_once(target: &Target, tokens: usize, index: usize) -> eyre::Result<StreamTimes> {
    let body = json!({ "model": MODEL, "prompt": "p", "max_tokens": tokens, "stream": true });
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .max_idle_connections(0)
        .timeout_global(Some(Duration::from_mins(2)))
        .build()
        .into();
    let mut call = agent
        .post(format!("http://{}/v1/completions", target.address))
        .header("connection", "close");
    if let Some(token) = target.token {
        let id = format!("direct-{index}-{:?}", Instant::now()).replace(' ', "");
        call = call.header("x-request-id", id).header("x-fence-token", token.to_string());
    }
    let started = Instant::now();
    let answer = call.send(&body.to_string().into_bytes()[..])?;
    read_events(answer.into_body().into_reader(), started, tokens)
}

/// Records when each event of a stream arrives.
fn read_events(
    mut source: impl Read,
    started: Instant,
    tokens: usize,
) -> eyre::Result<StreamTimes> {
    let mut times =
        StreamTimes { first: Duration::ZERO, between_tokens: Vec::with_capacity(tokens) };
    let mut last_event = started;
    let mut received = 0;
    let mut buffer = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let count = source.read(&mut chunk)?;
        if count == 0 {
            break;
        }
        let now = Instant::now();
        buffer.extend_from_slice(&chunk[..count]);
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            if event.starts_with(b"id: ") {
                match received {
                    0 => times.first = now - started,
                    _ => times.between_tokens.push(now - last_event),
                }
                received += 1;
                last_event = now;
            } else if event != b"data: [DONE]\n\n" {
                bail!("unexpected event in a stream: {}", String::from_utf8_lossy(&event));
            }
        }
    }
    if received != tokens || !buffer.is_empty() {
        bail!("incomplete stream: got {received} of {tokens} tokens");
    }
    Ok(times)
}
