//! The command line.

use gumdrop::Options;

/// Operators' tool of wisteriapass.
#[derive(Clone, Debug, Options)]
pub struct Args {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address of the key-value service.
    #[options(
        no_short,
        help = "address of the key-value service (or WISTERIAPASS_STORE)",
        meta = "IP:PORT"
    )]
    pub store: Option<String>,
    /// Print JSON.
    #[options(no_short, help = "print one line of JSON; before the command")]
    pub json: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Clone, Debug, Options)]
pub enum Command {
    /// Check files.
    #[options(help = "check an inventory and rules without applying them")]
    Check(ConfigFiles),
    /// Compare files with the configuration in force.
    #[options(help = "show what applying an inventory and rules would change")]
    Diff(ConfigFiles),
    /// Put files into force.
    #[options(help = "put an inventory and rules into force")]
    Apply(Apply),
    /// Show the state of the fleet.
    #[options(help = "show targets, budgets, grants, refusals, retries or revision")]
    Show(Show),
    /// Add prepaid money.
    #[options(help = "add prepaid tokens to a budget, once for each id")]
    Topup(TopUp),
    /// Empty a target or VM.
    #[options(help = "give a target, or all targets of a VM, no new work")]
    Drain(Drain),
    /// Take a target or VM back into service.
    #[options(help = "give a target, or all targets of a VM, work again")]
    Undrain(Drain),
    /// Empty a failure domain.
    #[options(help = "give no target of a failure domain new work, or take it back with --back")]
    Evacuate(Evacuate),
    /// Make a key digest.
    #[options(help = "print the digest of the key on standard input")]
    Digest(Digest),
    /// Write the configuration in force to files.
    #[options(help = "write the configuration in force to DIR/inventory.toml and DIR/rules.toml")]
    Export(Export),
    /// Say what became of a request.
    #[options(help = "say from routers' logs what became of a request")]
    Explain(Explain),
}

/// Files to check or compare.
#[derive(Clone, Debug, Options)]
pub struct ConfigFiles {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Inventory, TOML.
    #[options(free, required, help = "inventory file")]
    pub inventory: String,
    /// Rules, TOML.
    #[options(free, required, help = "rules file")]
    pub rules: String,
}

/// Files to put into force.
#[derive(Clone, Debug, Options)]
pub struct Apply {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Inventory, TOML.
    #[options(free, required, help = "inventory file")]
    pub inventory: String,
    /// Rules, TOML.
    #[options(free, required, help = "rules file")]
    pub rules: String,
    /// Revision the files were edited from.
    #[options(
        no_short,
        required,
        help = "revision the files were edited from, 0 for the first",
        meta = "REVISION"
    )]
    pub from: u64,
    /// Operation id, to repeat an edit whose answer was lost.
    #[options(no_short, help = "operation id, to repeat an edit safely", meta = "ID")]
    pub op: Option<String>,
}

/// What to show.
#[derive(Clone, Debug, Options)]
pub struct Show {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Kind of state.
    #[options(
        free,
        required,
        help = "targets, budgets, grants, refusals, retries or revision"
    )]
    pub what: String,
    /// Inventory to ask the daemons of while the key-value service is down.
    #[options(
        no_short,
        help = "ask the daemons of this inventory file, not of the one in the service",
        meta = "FILE"
    )]
    pub inventory: Option<String>,
}

/// A top-up.
#[derive(Clone, Debug, Options)]
pub struct TopUp {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Budget, as `ACCOUNT/BUDGET`.
    #[options(free, required, help = "budget as ACCOUNT/BUDGET")]
    pub budget: String,
    /// Amount, in tokens.
    #[options(free, required, help = "amount in tokens")]
    pub amount: u64,
    /// Id of the top-up.
    #[options(
        no_short,
        required,
        help = "id of the top-up, such as an invoice number",
        meta = "ID"
    )]
    pub id: String,
}

/// A target or VM.
#[derive(Clone, Debug, Options)]
pub struct Drain {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of a target or VM.
    #[options(free, required, help = "name of a target or VM")]
    pub name: String,
    /// Operation id, to repeat an edit whose answer was lost.
    #[options(no_short, help = "operation id, to repeat an edit safely", meta = "ID")]
    pub op: Option<String>,
}

/// A failure domain to empty, or to take back.
#[derive(Clone, Debug, Options)]
pub struct Evacuate {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of a failure domain.
    #[options(free, required, help = "name of a failure domain")]
    pub domain: String,
    /// Whether its targets get work again.
    #[options(no_short, help = "give its targets work again")]
    pub back: bool,
    /// Operation id, to repeat an edit whose answer was lost.
    #[options(no_short, help = "operation id, to repeat an edit safely", meta = "ID")]
    pub op: Option<String>,
}

/// Options of `digest`.
#[derive(Clone, Debug, Options)]
pub struct Digest {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Options of `export`.
#[derive(Clone, Debug, Options)]
pub struct Export {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Directory, which must exist.
    #[options(free, required, help = "directory for the two files")]
    pub dir: String,
}

/// Returns the help for a command line, of the command if one was given.
pub(crate) fn help_text(args: &Args) -> String {
    let Some(name) = args.command_name() else {
        let commands = Args::command_list().unwrap_or_default();
        let usage = Args::usage();
        return format!("Usage: wisteriapass [OPTIONS] COMMAND\n\n{usage}\n\n{commands}");
    };
    format!(
        "Usage: wisteriapass {name} [ARGUMENTS]\n\n{}",
        args.self_usage()
    )
}

/// Request to explain.
#[derive(Clone, Debug, Options)]
pub struct Explain {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Id of the request.
    #[options(free, required, help = "id of the caller's attempt")]
    pub id: String,
    /// Logs; none is standard input.
    #[options(free, help = "files with routers' logs; none is standard input")]
    pub files: Vec<String>,
}
