//! `lemontide judge`, `check` and `schema`: commands that only read or write files.

use crate::CommandResult;
use lemontide_front::settings::Settings;
use lemontide_standin::day::Day;
use lemontide_standin::judge;
use lemontide_wire::list::StreamerList;
use lemontide_wire::{play, tap};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A published JSON schema.
#[derive(Clone, Copy, clap::ValueEnum)]
pub enum Schema {
    Front,
    Day,
    List,
    #[value(name = "wish")]
    Request,
    #[value(name = "answer")]
    Response,
}

/// All schemas by the names of their files in the folder `schema`.
const ALL_SCHEMAS: [(&str, Schema); 5] = [
    ("front", Schema::Front),
    ("day", Schema::Day),
    ("list", Schema::List),
    ("wish", Schema::Request),
    ("answer", Schema::Response),
];

/// Checks the rules on these tap files and prints the verdict.
pub fn check_rules(taps: &[PathBuf], json: bool) -> CommandResult {
    let mut records = Vec::new();
    for path in taps {
        records.extend(tap::read_records(path).map_err(|e| format!("{}: {e}", path.display()))?);
    }
    let verdict = judge::check_rules(&records)
        .ok_or("no tap contains the rules of the day; give the day's own tap (`day.tap`) too")?;
    if json {
        println!("{}", serde_json::to_string(&verdict)?);
    } else {
        print!("{}", verdict.table());
    }
    Ok(if verdict.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Validates a settings file, or a day if `is_day`.
pub fn check_file(file: &Path, is_day: bool) -> CommandResult {
    if is_day {
        Day::read(file)?;
    } else {
        Settings::read(file)?;
    }
    println!("{}: valid", file.display());
    Ok(ExitCode::SUCCESS)
}

/// The text of a schema, as it is published.
fn schema_text(schema: Schema) -> serde_json::Result<String> {
    let schema = match schema {
        Schema::Front => schemars::schema_for!(Settings),
        Schema::Day => schemars::schema_for!(Day),
        Schema::List => schemars::schema_for!(StreamerList),
        Schema::Request => schemars::schema_for!(play::PlayRequest),
        Schema::Response => schemars::schema_for!(play::PlayResponse),
    };
    Ok(serde_json::to_string_pretty(&schema)? + "\n")
}

/// Writes all schemas into the folder, or prints the one schema.
pub fn write_schema(schema: Option<Schema>, folder: Option<&Path>) -> CommandResult {
    if let Some(folder) = folder {
        std::fs::create_dir_all(folder)?;
        for (name, schema) in ALL_SCHEMAS {
            std::fs::write(folder.join(format!("{name}.json")), schema_text(schema)?)?;
        }
        return Ok(ExitCode::SUCCESS);
    }
    let schema = schema.ok_or("give a schema, or a folder with --into")?;
    print!("{}", schema_text(schema)?);
    Ok(ExitCode::SUCCESS)
}
