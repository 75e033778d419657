//! `export`: writes the configuration in force to files.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;

use error_stack::Report;
use serde::Serialize;

use crate::args::Export;
use crate::{Context, Exit, Result, ToolError, edit};

/// Name of the inventory file.
const INVENTORY_FILE: &str = "inventory.toml";

/// Name of the rules file.
const RULES_FILE: &str = "rules.toml";

/// Output of `export`.
#[derive(Serialize)]
struct ExportOutput {
    revision: u64,
    files: [String; 2],
}

/// Writes the stored configuration to two new files.
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
    let output = ExportOutput {
        revision,
        files: [inventory, rules],
    };
    cx.out.print(&text, &output)?;
    Ok(Exit::Success)
}

/// Refuses a directory where either file exists, so that no edits in progress are overwritten.
fn check_no_files(dir: &str) -> Result<()> {
    for file in [INVENTORY_FILE, RULES_FILE] {
        let path = Path::new(dir).join(file);
        if path.exists() {
            return Err(Report::new(ToolError::File {
                file: path.display().to_string(),
                cause: "already exists".into(),
            }));
        }
    }
    Ok(())
}

/// Writes an inventory or rules to a new file and returns its path.
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
