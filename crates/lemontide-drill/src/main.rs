//! Runs lemontide's decision module on the messages of the drill: batches on standard input, one reply line each on
//! standard output. All names of the messages are in `wire`; this crate makes no decisions.

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut instances = wire::Instances::default();
    let mut output = io::BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().split(b'\n').enumerate() {
        let line = line.map_err(|e| format!("standard input can't be read: {e}"))?;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let reply = instances.run_batch(&line).map_err(|e| format!("line {}: {e}", number + 1))?;
        serde_json::to_writer(&mut output, &reply).map_err(|e| format!("the reply can't be written: {e}"))?;
        output.write_all(b"\n").and_then(|()| output.flush()).map_err(|e| format!("no output: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lemontide-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
