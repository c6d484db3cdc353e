//! The committed generated code matches the protocol file.

use std::fs;
use std::path::Path;

use expect_test::expect_file;

const GENERATED_FILE: &str = "wisteriahitch.peer.v1.rs";

#[test]
fn committed_code_matches_the_protocol_file() {
    let crate_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out_dir = tempfile::tempdir().unwrap();
    let proto_dir = crate_dir.join("proto");
    let descriptors = protox::compile(["wisteriahitch_peer.proto"], [proto_dir]).unwrap();

    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(out_dir.path())
        .compile_fds(descriptors)
        .unwrap();

    let generated = fs::read_to_string(out_dir.path().join(GENERATED_FILE)).unwrap();
    expect_file!["../../src/generated/wisteriahitch.peer.v1.rs"].assert_eq(&generated);
}
