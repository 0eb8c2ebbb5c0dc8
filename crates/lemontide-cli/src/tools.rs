//! `lemontide judge`, `check` and `schema`.

use crate::Outcome;
use lemontide_front::settings::Settings;
use lemontide_standin::day::Day;
use lemontide_standin::judge;
use lemontide_wire::list::StreamerList;
use lemontide_wire::{play, tap};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Clone, Copy, clap::ValueEnum)]
pub enum Schema {
    Front,
    Day,
    List,
    Wish,
    Answer,
}

const ALL: [(&str, Schema); 5] = [
    ("front", Schema::Front),
    ("day", Schema::Day),
    ("list", Schema::List),
    ("wish", Schema::Wish),
    ("answer", Schema::Answer),
];

pub fn judge(taps: &[PathBuf], json: bool) -> Outcome {
    let mut lines = Vec::new();
    for path in taps {
        lines.extend(tap::read_records(path).map_err(|e| format!("{}: {e}", path.display()))?);
    }
    let verdict = judge::check_rules(&lines).ok_or("no tap states the terms; name the day's own tap too")?;
    if json {
        println!("{}", serde_json::to_string(&verdict)?);
    } else {
        print!("{}", verdict.table());
    }
    Ok(if verdict.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

pub fn check(file: &Path, day: bool) -> Outcome {
    if day {
        Day::read(file)?;
    } else {
        Settings::read(file)?;
    }
    println!("{}: fine", file.display());
    Ok(ExitCode::SUCCESS)
}

fn text(of: Schema) -> serde_json::Result<String> {
    let schema = match of {
        Schema::Front => schemars::schema_for!(Settings),
        Schema::Day => schemars::schema_for!(Day),
        Schema::List => schemars::schema_for!(StreamerList),
        Schema::Wish => schemars::schema_for!(play::PlayRequest),
        Schema::Answer => schemars::schema_for!(play::PlayResponse),
    };
    Ok(serde_json::to_string_pretty(&schema)? + "\n")
}

pub fn schema(of: Option<Schema>, into: Option<&Path>) -> Outcome {
    if let Some(folder) = into {
        std::fs::create_dir_all(folder)?;
        for (name, of) in ALL {
            std::fs::write(folder.join(format!("{name}.json")), text(of)?)?;
        }
        return Ok(ExitCode::SUCCESS);
    }
    let of = of.ok_or("name a schema, or a folder with --into")?;
    print!("{}", text(of)?);
    Ok(ExitCode::SUCCESS)
}
