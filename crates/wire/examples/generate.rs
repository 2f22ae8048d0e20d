//! Writes the code for the frames anew from `proto/peer.proto`.
//!
//! Run it after a change of the file, from anywhere in the workspace:
//! `cargo run -p reelreel-wire --example generate`. An argument names another folder to write to.

use std::{env, error::Error, path::PathBuf};

fn main() -> Result<(), Box<dyn Error>> {
    let package = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let folder = env::args().nth(1).map_or(package.join("src/generated"), PathBuf::from);
    let descriptors = protox::compile(["peer.proto"], [package.join("proto")])?;
    prost_build::Config::new().out_dir(folder).compile_fds(descriptors)?;
    Ok(())
}
