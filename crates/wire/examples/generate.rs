//! Generates the protobuf types from `proto/peer.proto`.
//!
//! Run it after each change of that file, from anywhere in the workspace:
//! `cargo run -p reelreel-wire --example generate`. An argument sets another output directory.

use std::{env, error::Error, path::PathBuf};

fn main() -> Result<(), Box<dyn Error>> {
    let package = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let directory = env::args().nth(1).map_or(package.join("src/generated"), PathBuf::from);
    let descriptors = protox::compile(["peer.proto"], [package.join("proto")])?;
    prost_build::Config::new().out_dir(directory).compile_fds(descriptors)?;
    Ok(())
}
