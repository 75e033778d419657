//! `export`: the configuration in force as files to edit.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;

use error_stack::Report;
use serde::Serialize;

use crate::args::Export;
use crate::{Context, Exit, Result, ToolError, edit};

/// File for the inventory.
const INVENTORY_FILE: &str = "inventory.toml";

/// File for the rules.
const RULES_FILE: &str = "rules.toml";

/// Result of `export`.
#[derive(Serialize)]
struct ExportOutput {
    revision: u64,
    files: [String; 2],
}

/// Writes the configuration in the service to two new files.
pub(super) fn export(cx: &mut Context<'_>, opts: &Export) -> Result<Exit> {
    let document = edit::current(cx.store()?)?;
    let revision = document.revision;
    if revision == 0 {
        return Err(Report::new(ToolError::NoConfiguration));
    }
    check_no_files(&opts.dir)?;
    let inventory = write_file(&opts.dir, INVENTORY_FILE, revision, &document.inventory)?;
    let rules = write_file(&opts.dir, RULES_FILE, revision, &document.rules)?;
    let text = format!("revision {revision}: {inventory}, {rules}; apply with --from {revision}");
    let exported = ExportOutput {
        revision,
        files: [inventory, rules],
    };
    cx.out.print(&text, &exported)?;
    Ok(Exit::Success)
}

/// Refuses a directory with files in the way, so that no edit in progress is lost.
fn check_no_files(dir: &str) -> Result<()> {
    for file in [INVENTORY_FILE, RULES_FILE] {
        let path = Path::new(dir).join(file);
        if path.exists() {
            return Err(Report::new(ToolError::File {
                file: path.display().to_string(),
                cause: "exists already".into(),
            }));
        }
    }
    Ok(())
}

/// Writes one document to a new file.
fn write_file(dir: &str, file: &str, revision: u64, document: &impl Serialize) -> Result<String> {
    let path = Path::new(dir).join(file);
    let name = path.display().to_string();
    let text = toml::to_string_pretty(document).map_err(|e| ToolError::File {
        file: name.clone(),
        cause: e.to_string(),
    })?;
    let mut options = OpenOptions::new();
    let created = options.write(true).create_new(true).open(&path);
    created
        .and_then(|mut f| write!(f, "# Revision {revision}.\n\n{text}"))
        .map_err(|e| ToolError::file(&name, &e))?;
    Ok(name)
}
