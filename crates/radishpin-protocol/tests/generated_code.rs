//! Checks that the committed code matches what the `.proto` file generates.
//!
//! To regenerate: `RADISHPIN_REGENERATE=1 cargo test -p radishpin-protocol --test generated_code`.

use std::{env, fs, path::Path};

#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let descriptors = protox::compile(["radishpin.proto"], [root.join("proto")]).unwrap();
    let out_dir = env::temp_dir().join(format!("radishpin-generated-{}", std::process::id()));
    fs::create_dir_all(&out_dir).unwrap();
    tonic_prost_build::configure()
        .build_transport(false)
        .btree_map(".")
        .out_dir(&out_dir)
        .compile_fds(descriptors)
        .unwrap();
    let generated = fs::read_to_string(out_dir.join("radishpin.v1.rs")).unwrap();
    fs::remove_dir_all(&out_dir).unwrap();
    let committed_path = root.join("src/generated/radishpin.v1.rs");
    if env::var_os("RADISHPIN_REGENERATE").is_some() {
        fs::write(&committed_path, &generated).unwrap();
    }
    let committed = fs::read_to_string(&committed_path).unwrap();
    assert!(
        committed == generated,
        "src/generated is out of date: run this test with RADISHPIN_REGENERATE=1"
    );
}
