//! Generates the code of `dogwoodrill-wire` from its proto files.
//!
//! The output is committed, so that builds need no code generator. Run `cargo run -p
//! dogwoodrill-wire-codegen` after changing a file in `crates/wire/proto`.

use std::error::Error;
use std::path::{Path, PathBuf};

fn main() -> Result<(), Box<dyn Error>> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let proto = wire.join("proto");
    let files = proto_files(&proto)?;
    let descriptors = protox::compile(files, [proto])?;
    tonic_prost_build::configure()
        .out_dir(wire.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}

fn proto_files(dir: &Path) -> Result<Vec<PathBuf>, Box<dyn Error>> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(dir)? {
        files.push(entry?.path());
    }
    files.sort();
    Ok(files)
}
