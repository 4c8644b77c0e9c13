//! Generates the messages, client and server of the operator RPC from `proto/operator.proto` into
//! `lib/src/generated`. Run it manually after a schema change and commit its output.

use std::io::Error;
use std::io::Result;
use std::path::Path;

fn main() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let protoc = protoc_bin_vendored::protoc_bin_path().map_err(Error::other)?;
    let mut config = tonic_prost_build::Config::new();
    config.protoc_executable(protoc);
    tonic_prost_build::configure()
        .out_dir(root.join("lib/src/generated"))
        .compile_with_config(
            config,
            &[root.join("proto/operator.proto")],
            &[root.join("proto")],
        )
}
