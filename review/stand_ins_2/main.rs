//! Stand-ins for the platform's store, engines and clients, and the scenarios of the cases.
//!
//! Only the standard library is used, so that `rustc` alone builds it (`review/build-2.sh`).

mod client;
mod engine;
mod http;
mod platform;
mod scenario;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let code = match words.as_slice() {
        ["engine", options @ ..] => engine::run(options),
        ["scenario", name, folder] => scenario::run(name, folder),
        _ => {
            eprintln!("usage: stand_in_2 scenario NAME FOLDER");
            2
        }
    };
    std::process::exit(code);
}
