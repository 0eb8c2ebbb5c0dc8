//! Compiles the proto files with protox, so that cargo alone builds.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/gossip.proto");
    let files = protox::compile(["proto/gossip.proto"], ["proto"])?;
    prost_build::Config::new().compile_fds(files)?;
    Ok(())
}
