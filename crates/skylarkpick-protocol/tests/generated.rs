//! Fails if the committed generated code does not match the `.proto` files.
//!
//! Run with `UPDATE_GENERATED=1` to regenerate it.

use std::path::Path;

#[test]
fn committed_code_matches_the_proto_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut protos: Vec<_> =
        std::fs::read_dir(root.join("proto")).unwrap().map(|entry| entry.unwrap().path()).collect();
    protos.sort();
    let descriptors = protox::compile(&protos, [root.join("proto")]).unwrap();
    let modules = prost_build::Config::new().generate(requests(descriptors)).unwrap();
    let update = std::env::var_os("UPDATE_GENERATED").is_some();
    for (module, code) in modules {
        let path = root.join("src/generated").join(module.to_file_name_or("root"));
        if update {
            std::fs::write(&path, &code).unwrap();
        }
        let committed = std::fs::read_to_string(&path).unwrap_or_default();
        assert!(committed == code, "{} is stale: run with UPDATE_GENERATED=1", path.display());
    }
}

fn requests(
    descriptors: protox::prost_reflect::prost_types::FileDescriptorSet,
) -> Vec<(prost_build::Module, protox::prost_reflect::prost_types::FileDescriptorProto)> {
    descriptors
        .file
        .into_iter()
        .map(|file| (prost_build::Module::from_protobuf_package_name(file.package()), file))
        .collect()
}
