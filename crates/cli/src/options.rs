//! Command-line options.

use std::path::PathBuf;

use bpaf::{Bpaf, Parser};

use crate::output::OutputFormat;

/// Manages settings, inspects hosts and runs a local site for development.
///
/// `reelreel --bpaf-complete-style-bash` (or -zsh, -fish, -elvish) prints a shell completion script.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Runs a local site, or one component of it, for development
    #[bpaf(command)]
    Dev(#[bpaf(external(dev_command))] DevCommand),
    /// Checks, shows and publishes the settings tree
    #[bpaf(command)]
    Settings(#[bpaf(external(settings_command))] SettingsCommand),
    /// Shows the current state of hosts
    #[bpaf(command)]
    Status(#[bpaf(external(watch_options))] WatchOptions),
    /// Shows the events of hosts merged in causal order
    #[bpaf(command)]
    Timeline(#[bpaf(external(watch_options))] WatchOptions),
    /// Shows the log lines related to one request and the cause of its outcome
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Counts the requests in hosts' logs by cause and over time
    #[bpaf(command)]
    Losses(#[bpaf(external(losses_options))] LossesOptions),
    /// Compares residency policies on simulated scenarios
    #[bpaf(command)]
    Bench(#[bpaf(external(bench_options))] BenchOptions),
    /// Measures memory, message and CPU costs for docs/CAPACITY.md
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_options))] CapacityOptions),
    /// Injects random faults into real hosts and checks the guarantees from outside
    #[bpaf(command)]
    Soak(#[bpaf(external(soak_options))] SoakCommand),
    /// Compares latency through entry hosts with direct calls to an engine
    #[bpaf(command)]
    Measure(#[bpaf(external(measure_options))] MeasureOptions),
}

/// Components that `reelreel dev` can run.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum DevCommand {
    /// Runs only a stand-in platform
    #[bpaf(command)]
    Platform(#[bpaf(external(dev_platform))] DevPlatform),
    /// Runs only a stand-in engine
    #[bpaf(command)]
    Engine(#[bpaf(external(dev_engine))] DevEngine),
    /// Runs only a stand-in plain service
    #[bpaf(command)]
    Service(#[bpaf(external(dev_service))] DevService),
    /// Runs a whole site in one process
    All(#[bpaf(external(dev_all))] DevAll),
}

/// Options of a whole site in one process.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct DevAll {
    /// Number of entry hosts
    #[bpaf(argument("COUNT"), fallback(2), display_fallback)]
    pub(crate) hosts: u32,
    /// Number of engines
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    pub(crate) engines: u32,
    /// Number of data halls over which hosts and engines are spread
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    pub(crate) halls: u16,
    /// Callers' port of the first host
    #[bpaf(argument("PORT"), fallback(8080), display_fallback)]
    pub(crate) port: u16,
    /// Settings tree in TOML; a built-in one by default
    #[bpaf(argument("FILE"))]
    pub(crate) tree: Option<PathBuf>,
}

/// Options of a stand-in platform.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct DevPlatform {
    /// Address to listen on; port 0 picks a free one
    #[bpaf(argument("ADDRESS"), fallback(String::from("127.0.0.1:0")), display_fallback)]
    pub(crate) listen: String,
    /// Rate of the weight store in loads per second, one load at a time
    #[bpaf(argument("RATE"), fallback(3.0), display_fallback)]
    pub(crate) loads: f64,
    /// Delay of the host list in milliseconds
    #[bpaf(argument("MILLIS"), fallback(500), display_fallback)]
    pub(crate) host_lag: u64,
    /// Number of records retained per stream
    #[bpaf(argument("COUNT"), fallback(100_000), display_fallback)]
    pub(crate) retained: usize,
}

/// Options of a stand-in engine.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct DevEngine {
    /// Id, unique among components of its kind
    #[bpaf(argument("NUMBER"))]
    pub(crate) id: u32,
    /// Data hall
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub(crate) hall: u16,
    /// Service name
    #[bpaf(argument("NAME"), fallback(String::from("assist")), display_fallback)]
    pub(crate) service: String,
    /// Platform to register with
    #[bpaf(argument("ADDRESS"))]
    pub(crate) platform: String,
    /// Address to listen on; port 0 picks a free one
    #[bpaf(argument("ADDRESS"), fallback(String::from("127.0.0.1:0")), display_fallback)]
    pub(crate) listen: String,
    /// Number of adapter slots
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    pub(crate) slots: u32,
    /// Maximum number of concurrent requests
    #[bpaf(argument("COUNT"), fallback(32), display_fallback)]
    pub(crate) streams: u32,
    /// Do not check fencing tokens
    pub(crate) no_fence: bool,
}

/// Options of a stand-in plain service.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct DevService {
    /// Id, unique among components of its kind
    #[bpaf(argument("NUMBER"))]
    pub(crate) id: u32,
    /// Data hall
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub(crate) hall: u16,
    /// Service name
    #[bpaf(argument("NAME"), fallback(String::from("orders")), display_fallback)]
    pub(crate) service: String,
    /// Platform to register with
    #[bpaf(argument("ADDRESS"))]
    pub(crate) platform: String,
    /// Address to listen on; port 0 picks a free one
    #[bpaf(argument("ADDRESS"), fallback(String::from("127.0.0.1:0")), display_fallback)]
    pub(crate) listen: String,
}

/// Commands for the settings tree.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum SettingsCommand {
    /// Checks a settings file and prints every error in it
    #[bpaf(command)]
    Check {
        /// Settings tree in TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Lists all keys with their meaning, limits and defaults
    #[bpaf(command)]
    Keys {
        #[bpaf(external(output_format))]
        output: OutputFormat,
    },
    /// Lists all keys of a host's own settings file
    #[bpaf(command("host-keys"))]
    HostKeys {
        #[bpaf(external(output_format))]
        output: OutputFormat,
    },
    /// Shows the effective values at a path and where each is set
    #[bpaf(command)]
    Show {
        #[bpaf(external(tree_source))]
        source: TreeSource,
        #[bpaf(external(output_format))]
        output: OutputFormat,
        /// Path: service, service/organisation or service/organisation/adapter; / for the site
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Prints the tree in force as a settings file to edit and publish
    #[bpaf(command)]
    Export {
        #[bpaf(external(log_source))]
        log: LogSource,
    },
    /// Shows the edits that publishing a file would make
    #[bpaf(command)]
    Diff {
        #[bpaf(external(log_source))]
        log: LogSource,
        #[bpaf(external(output_format))]
        output: OutputFormat,
        /// Settings tree in TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Publishes a file and waits for the verdict
    #[bpaf(command)]
    Publish(#[bpaf(external(publish_options))] PublishOptions),
    /// Shows the latest publications and their verdicts
    #[bpaf(command)]
    History {
        #[bpaf(external(log_source))]
        log: LogSource,
        #[bpaf(external(output_format))]
        output: OutputFormat,
    },
}

/// Source of the settings in force.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct LogSource {
    /// Platform address
    #[bpaf(argument("ADDRESS"))]
    pub(crate) platform: String,
    /// Operators' address of a host that provides a snapshot if the log's first records have expired
    #[bpaf(argument("ADDRESS"))]
    pub(crate) host: Option<String>,
}

/// Options for publishing a file.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct PublishOptions {
    #[bpaf(external(log_source))]
    pub(crate) log: LogSource,
    /// Author of the change
    #[bpaf(argument("NAME"), fallback(String::from("operator")), display_fallback)]
    pub(crate) author: String,
    /// Description of the change
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    pub(crate) message: String,
    /// Revision that the file is based on; an exported file states its own
    #[bpaf(argument("REVISION"))]
    pub(crate) base: Option<u64>,
    /// Publish only edits at or below this path
    #[bpaf(argument("PATH"))]
    pub(crate) at: Option<String>,
    #[bpaf(external(output_format))]
    pub(crate) output: OutputFormat,
    /// Settings tree in TOML
    #[bpaf(positional("FILE"))]
    pub(crate) file: PathBuf,
}

/// Source of a settings tree.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum TreeSource {
    /// From the platform's log
    Platform {
        #[bpaf(external(log_source))]
        log: LogSource,
    },
    /// From a file
    File {
        /// Read a tree in TOML
        #[bpaf(long("file"), argument("FILE"))]
        file: PathBuf,
    },
}

/// Options of the commands that query hosts.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct WatchOptions {
    #[bpaf(external(output_format))]
    pub(crate) output: OutputFormat,
    /// Operators' addresses of the hosts
    #[bpaf(positional("ADDRESS"), some("pass at least one host's operators' address"))]
    pub(crate) hosts: Vec<String>,
}

/// Options of `reelreel explain`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct ExplainOptions {
    /// Request id
    #[bpaf(positional("REQUEST"))]
    pub(crate) id: String,
    /// Log files of hosts; - reads standard input
    #[bpaf(positional("LOG"), some("pass the log files of all hosts, or - for standard input"))]
    pub(crate) logs: Vec<PathBuf>,
}

/// Options of `reelreel losses`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct LossesOptions {
    #[bpaf(external(output_format))]
    pub(crate) output: OutputFormat,
    /// Log files of hosts; - reads standard input
    #[bpaf(positional("LOG"), some("pass the log files of all hosts, or - for standard input"))]
    pub(crate) logs: Vec<PathBuf>,
}

/// Options of `reelreel soak`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(soak_options))]
pub(crate) struct SoakCommand {
    /// First seed; the seed determines the whole fault plan
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub(crate) seed: u64,
    /// Number of consecutive seeds to run
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    pub(crate) seeds: u64,
    /// Number of hosts, one process each
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    pub(crate) hosts: usize,
    /// Duration of fault injection per seed in seconds
    #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
    pub(crate) seconds: u64,
    /// Print the fault plans without running them
    pub(crate) plan: bool,
    /// Host program; by default the one in this program's directory
    #[bpaf(argument("FILE"))]
    pub(crate) program: Option<PathBuf>,
    /// Folder for plans and logs of soaks that violated a guarantee
    #[bpaf(argument("FOLDER"))]
    pub(crate) folder: Option<PathBuf>,
}

/// Options of `reelreel measure`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct MeasureOptions {
    /// Number of concurrent streams; may be repeated
    #[bpaf(argument("COUNT"), many, map(default_streams))]
    pub(crate) streams: Vec<usize>,
    /// Tokens per answer
    #[bpaf(argument("COUNT"), fallback(100), display_fallback)]
    pub(crate) tokens: usize,
    /// Rounds per number of streams; the first is a warm-up and not counted
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    pub(crate) rounds: usize,
    #[bpaf(external(output_format))]
    pub(crate) output: OutputFormat,
}

/// Options of `reelreel bench`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct BenchOptions {
    /// Random seed; the same seed gives the same table
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub(crate) seed: u64,
    /// Scenario file, may be repeated; all built-in scenarios by default
    #[bpaf(argument("FILE"), many)]
    pub(crate) scenario: Vec<PathBuf>,
    /// Policy (value, arrival), may be repeated; all policies by default
    #[bpaf(argument("NAME"), many)]
    pub(crate) policy: Vec<String>,
    #[bpaf(external(output_format))]
    pub(crate) output: OutputFormat,
}

/// Options of `reelreel capacity`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct CapacityOptions {
    /// Skip the largest sizes
    pub(crate) quick: bool,
    /// Measure only these parts: tree, claims, decisions, hosts, losses
    #[bpaf(argument("PART"), many)]
    pub(crate) only: Vec<String>,
    #[bpaf(external(output_format))]
    pub(crate) output: OutputFormat,
}

fn default_streams(streams: Vec<usize>) -> Vec<usize> {
    if streams.is_empty() { vec![1, 64, 512] } else { streams }
}

fn output_format() -> impl Parser<OutputFormat> {
    bpaf::long("output")
        .help("Output format: text or json")
        .argument::<OutputFormat>("FORMAT")
        .fallback(OutputFormat::Text)
        .display_fallback()
}
