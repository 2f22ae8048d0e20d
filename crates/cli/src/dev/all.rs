//! Runs a whole site in one process and prints example commands.

use std::{fs, process::ExitCode};

use eyre::bail;
use reelreel_core::settings::read_tree;

use super::{
    site::{DevSite, DevSiteOptions},
    wait_for_signal,
};
use crate::options::DevAll;

/// Settings tree published by default.
const DEFAULT_TREE: &str =
    include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/dev.toml"));

/// Runs a site until SIGINT or SIGTERM.
pub(super) fn run(options: &DevAll) -> eyre::Result<ExitCode> {
    let text = match &options.tree {
        Some(file) => fs::read_to_string(file)?,
        None => DEFAULT_TREE.to_owned(),
    };
    let Ok(tree) = read_tree(&text) else {
        bail!("the settings tree is invalid; run `reelreel settings check` for details");
    };
    if options.hosts == 0 || options.halls == 0 {
        bail!("at least one host and one hall are needed");
    }
    let site_options = DevSiteOptions {
        hosts: options.hosts,
        engines: options.engines,
        halls: options.halls,
        streams: 32,
        port: options.port,
    };
    let site = DevSite::start(&site_options, &tree)?;
    let callers = site.callers();
    println!(
        "reelreel serves with {} hosts and {} engines.",
        site_options.hosts, site_options.engines
    );
    println!("Try a stream through an adapter:\n");
    println!(
        "  curl -N http://{}/v1/completions -d '{{\"model\":\"north/brakes\",\"prompt\":\"part for a Hero?\",\"max_tokens\":24,\"stream\":true}}'\n",
        callers[0]
    );
    println!("Other hosts: {callers:?}");
    let operators: Vec<String> =
        site.hosts.iter().map(|host| host.operators().to_string()).collect();
    println!("State:       reelreel status {}", operators.join(" "));
    println!("Timeline:    reelreel timeline {}", operators.join(" "));
    println!("Settings:    reelreel settings history --platform {}", site.platform.address());
    println!("Press Ctrl-C to stop.");
    wait_for_signal()?;
    Ok(ExitCode::SUCCESS)
}
