//! What can be asked for on the command line.

use std::path::PathBuf;

use bpaf::{Bpaf, Parser};

use crate::output::OutputFormat;

/// Publishes settings, shows what hosts do, and runs everything on one host for a try.
///
/// Completions: `reelreel --bpaf-complete-style-bash` (or -zsh, -fish, -elvish) prints the script.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Runs a platform, engines and entry hosts, or one of them, for a try on this host
    #[bpaf(command)]
    Dev(#[bpaf(external(dev_command))] DevCommand),
    /// Checks, shows and publishes the settings tree
    #[bpaf(command)]
    Settings(#[bpaf(external(settings_command))] SettingsCommand),
    /// Shows the state of hosts
    #[bpaf(command)]
    Status(#[bpaf(external(watch_options))] WatchOptions),
    /// Shows the events of hosts in one order, causes before effects
    #[bpaf(command)]
    Timeline(#[bpaf(external(watch_options))] WatchOptions),
    /// Puts together what all hosts' logs say of one request, and names the cause of its end
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Counts how the requests in hosts' logs ended, by cause and over time
    #[bpaf(command)]
    Losses(#[bpaf(external(losses_options))] LossesOptions),
    /// Plays scenarios against several policies and prints what callers got
    #[bpaf(command)]
    Bench(#[bpaf(external(bench_options))] BenchOptions),
    /// Measures what state, messages and decisions cost, for docs/CAPACITY.md
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_options))] CapacityOptions),
    /// Plays drawn faults against real hosts and checks the promises from outside
    #[bpaf(command)]
    Soak(#[bpaf(external(soak_options))] SoakCommand),
    /// Measures what the path through entry hosts adds to calling an engine directly
    #[bpaf(command)]
    Measure(#[bpaf(external(measure_options))] MeasureOptions),
}

/// What `reelreel dev` runs.
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
    /// Everything, as threads of one process
    All(#[bpaf(external(dev_all))] DevAll),
}

/// Everything as threads of one process.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct DevAll {
    /// Entry hosts
    #[bpaf(argument("COUNT"), fallback(2), display_fallback)]
    pub(crate) hosts: u32,
    /// Engines
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    pub(crate) engines: u32,
    /// Data halls over which both are spread
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    pub(crate) halls: u16,
    /// Callers' port of the first host
    #[bpaf(argument("PORT"), fallback(8080), display_fallback)]
    pub(crate) port: u16,
    /// Another settings tree than the built-in one
    #[bpaf(argument("FILE"))]
    pub(crate) tree: Option<PathBuf>,
}

/// A stand-in platform.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct DevPlatform {
    /// Where it listens; port 0 picks a free one
    #[bpaf(argument("ADDRESS"), fallback(String::from("127.0.0.1:0")), display_fallback)]
    pub(crate) listen: String,
    /// Loads a second that the weight store gives, one at a time
    #[bpaf(argument("RATE"), fallback(3.0), display_fallback)]
    pub(crate) loads: f64,
    /// How late the host list is, in milliseconds
    #[bpaf(argument("MILLIS"), fallback(500), display_fallback)]
    pub(crate) host_lag: u64,
    /// Records of a stream that are kept
    #[bpaf(argument("COUNT"), fallback(100_000), display_fallback)]
    pub(crate) retained: usize,
}

/// A stand-in engine.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct DevEngine {
    /// Its number
    #[bpaf(argument("NUMBER"))]
    pub(crate) id: u32,
    /// Its data hall
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub(crate) hall: u16,
    /// Its service
    #[bpaf(argument("NAME"), fallback(String::from("assist")), display_fallback)]
    pub(crate) service: String,
    /// The platform, whose host list it enters
    #[bpaf(argument("ADDRESS"))]
    pub(crate) platform: String,
    /// Where it listens; port 0 picks a free one
    #[bpaf(argument("ADDRESS"), fallback(String::from("127.0.0.1:0")), display_fallback)]
    pub(crate) listen: String,
    /// Adapters that it holds
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    pub(crate) slots: u32,
    /// Requests that it runs at once
    #[bpaf(argument("COUNT"), fallback(32), display_fallback)]
    pub(crate) streams: u32,
    /// Do not check fence tokens
    pub(crate) no_fence: bool,
}

/// A stand-in plain service.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct DevService {
    /// Its number
    #[bpaf(argument("NUMBER"))]
    pub(crate) id: u32,
    /// Its data hall
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub(crate) hall: u16,
    /// Its service
    #[bpaf(argument("NAME"), fallback(String::from("orders")), display_fallback)]
    pub(crate) service: String,
    /// The platform, whose host list it enters
    #[bpaf(argument("ADDRESS"))]
    pub(crate) platform: String,
    /// Where it listens; port 0 picks a free one
    #[bpaf(argument("ADDRESS"), fallback(String::from("127.0.0.1:0")), display_fallback)]
    pub(crate) listen: String,
}

/// What is done with the settings tree.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum SettingsCommand {
    /// Names every mistake in a file
    #[bpaf(command)]
    Check {
        /// The tree, in TOML
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
    /// Shows the values in force at a place, and where each comes from
    #[bpaf(command)]
    Show {
        #[bpaf(external(tree_source))]
        source: TreeSource,
        #[bpaf(external(output_format))]
        output: OutputFormat,
        /// service/organisation/adapter, or a part of it from the left; / for the site
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Writes the tree in force as a file to change and publish
    #[bpaf(command)]
    Export {
        #[bpaf(external(log_source))]
        log: LogSource,
    },
    /// Shows what publishing a file would change
    #[bpaf(command)]
    Diff {
        #[bpaf(external(log_source))]
        log: LogSource,
        #[bpaf(external(output_format))]
        output: OutputFormat,
        /// The tree, in TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Publishes a file and waits for the verdict
    #[bpaf(command)]
    Publish(#[bpaf(external(publish_options))] PublishOptions),
    /// Shows the last publications and what became of each
    #[bpaf(command)]
    History {
        #[bpaf(external(log_source))]
        log: LogSource,
        #[bpaf(external(output_format))]
        output: OutputFormat,
    },
}

/// Where the settings in force are read from.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct LogSource {
    /// The platform
    #[bpaf(argument("ADDRESS"))]
    pub(crate) platform: String,
    /// A host's operators' address, for when the log has forgotten the beginning
    #[bpaf(argument("ADDRESS"))]
    pub(crate) host: Option<String>,
}

/// How a file is published.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct PublishOptions {
    #[bpaf(external(log_source))]
    pub(crate) log: LogSource,
    /// Who publishes
    #[bpaf(argument("NAME"), fallback(String::from("operator")), display_fallback)]
    pub(crate) author: String,
    /// Why
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    pub(crate) message: String,
    /// The revision that the file was made from; an exported file names its own
    #[bpaf(argument("REVISION"))]
    pub(crate) base: Option<u64>,
    /// Publish only what lies at or below this path
    #[bpaf(argument("PATH"))]
    pub(crate) at: Option<String>,
    #[bpaf(external(output_format))]
    pub(crate) output: OutputFormat,
    /// The tree, in TOML
    #[bpaf(positional("FILE"))]
    pub(crate) file: PathBuf,
}

/// Where a tree is read from.
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

/// Which hosts are asked.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct WatchOptions {
    #[bpaf(external(output_format))]
    pub(crate) output: OutputFormat,
    /// Operators' addresses of the hosts
    #[bpaf(positional("ADDRESS"), some("name at least one host's operators' address"))]
    pub(crate) hosts: Vec<String>,
}

/// Which request is explained.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct ExplainOptions {
    /// The request's id
    #[bpaf(positional("REQUEST"))]
    pub(crate) id: String,
    /// Log files of hosts on a platform; - for the standard input
    #[bpaf(
        positional("LOG"),
        some("name the log files of all hosts, or - for the standard input")
    )]
    pub(crate) logs: Vec<PathBuf>,
}

/// Whose losses are counted.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct LossesOptions {
    #[bpaf(external(output_format))]
    pub(crate) output: OutputFormat,
    /// Log files of hosts on a platform; - for the standard input
    #[bpaf(
        positional("LOG"),
        some("name the log files of all hosts, or - for the standard input")
    )]
    pub(crate) logs: Vec<PathBuf>,
}

/// Which soaks are played.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(soak_options))]
pub(crate) struct SoakCommand {
    /// The first seed; a seed is the whole plan
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub(crate) seed: u64,
    /// How many seeds, one after the other
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    pub(crate) seeds: u64,
    /// Hosts, a process each
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    pub(crate) hosts: usize,
    /// For how many seconds things happen in each
    #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
    pub(crate) seconds: u64,
    /// Only print the plans
    pub(crate) plan: bool,
    /// The program of a host; the one beside this program where none is named
    #[bpaf(argument("FILE"))]
    pub(crate) program: Option<PathBuf>,
    /// Where plans and logs of soaks go in which a promise was broken
    #[bpaf(argument("FOLDER"))]
    pub(crate) folder: Option<PathBuf>,
}

/// What is measured.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct MeasureOptions {
    /// Streams at once; may be given several times
    #[bpaf(argument("COUNT"), many, map(default_streams))]
    pub(crate) streams: Vec<usize>,
    /// Tokens of each answer
    #[bpaf(argument("COUNT"), fallback(100), display_fallback)]
    pub(crate) tokens: usize,
    /// Rounds of each number of streams; the first one warms up and is not counted
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    pub(crate) rounds: usize,
    #[bpaf(external(output_format))]
    pub(crate) output: OutputFormat,
}

/// Which scenarios are played.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct BenchOptions {
    /// Seeds callers and hosts; the same seed gives the same table
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub(crate) seed: u64,
    /// A scenario file; may be given several times. All built-in ones where none is named
    #[bpaf(argument("FILE"), many)]
    pub(crate) scenario: Vec<PathBuf>,
    /// A policy (value, arrival); may be given several times. All where none is named
    #[bpaf(argument("NAME"), many)]
    pub(crate) policy: Vec<String>,
    #[bpaf(external(output_format))]
    pub(crate) output: OutputFormat,
}

/// What is measured for the capacity page.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct CapacityOptions {
    /// Leave out the largest sizes
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
        .help("How to print: text or json")
        .argument::<OutputFormat>("FORMAT")
        .fallback(OutputFormat::Text)
        .display_fallback()
}
