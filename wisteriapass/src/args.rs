//! Command-line options.

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
    /// Print the result as JSON.
    #[options(no_short, help = "print one line of JSON; must precede the command")]
    pub json: bool,
    /// Command to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// Command to run.
#[derive(Clone, Debug, Options)]
pub enum Command {
    /// Validate an inventory and rules.
    #[options(help = "check an inventory and rules without applying them")]
    Check(ConfigFiles),
    /// Compare an inventory and rules with the configuration in force.
    #[options(help = "show what applying an inventory and rules would change")]
    Diff(ConfigFiles),
    /// Apply an inventory and rules.
    #[options(help = "apply an inventory and rules")]
    Apply(Apply),
    /// Show the state of the fleet.
    #[options(help = "show targets, budgets, grants, refusals, retries or revision")]
    Show(Show),
    /// Add prepaid tokens to a budget.
    #[options(help = "add prepaid tokens to a budget, once per id")]
    Topup(TopUp),
    /// Stop sending new work to a target or VM.
    #[options(help = "stop sending new work to a target, or to all targets of a VM")]
    Drain(Drain),
    /// Resume sending work to a target or VM.
    #[options(help = "resume sending work to a target, or to all targets of a VM")]
    Undrain(Drain),
    /// Stop sending new work to a failure domain, or resume.
    #[options(
        help = "stop sending new work to the targets of a failure domain, or resume with --back"
    )]
    Evacuate(Evacuate),
    /// Compute the digest of a key.
    #[options(help = "print the digest of the key on standard input")]
    Digest(Digest),
    /// Write the configuration in force to files.
    #[options(help = "write the configuration in force to DIR/inventory.toml and DIR/rules.toml")]
    Export(Export),
    /// Explain the outcome of a request.
    #[options(help = "explain the outcome of a request from router logs")]
    Explain(Explain),
    /// Explain where a request would go now, without sending it.
    #[options(help = "explain where a request would go now, without sending it")]
    ExplainPlacement(ExplainPlacement),
}

/// Options of `check` and `diff`.
#[derive(Clone, Debug, Options)]
pub struct ConfigFiles {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Inventory file in TOML.
    #[options(free, required, help = "inventory file")]
    pub inventory: String,
    /// Rules file in TOML.
    #[options(free, required, help = "rules file")]
    pub rules: String,
}

/// Options of `apply`.
#[derive(Clone, Debug, Options)]
pub struct Apply {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Inventory file in TOML.
    #[options(free, required, help = "inventory file")]
    pub inventory: String,
    /// Rules file in TOML.
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
    /// Operation id for repeating an edit whose response was lost.
    #[options(no_short, help = "operation id, to repeat an edit safely", meta = "ID")]
    pub op: Option<String>,
}

/// Options of `show`.
#[derive(Clone, Debug, Options)]
pub struct Show {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Kind of state to show.
    #[options(
        free,
        required,
        help = "targets, budgets, grants, refusals, retries or revision"
    )]
    pub what: String,
    /// Inventory file that lists the daemons, for use while the key-value service is down.
    #[options(
        no_short,
        help = "query the daemons of this inventory file instead of the stored inventory",
        meta = "FILE"
    )]
    pub inventory: Option<String>,
}

/// Options of `topup`.
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
    /// Id of the top-up, which makes repeating it safe.
    #[options(
        no_short,
        required,
        help = "id of the top-up, such as an invoice number",
        meta = "ID"
    )]
    pub id: String,
}

/// Options of `drain` and `undrain`.
#[derive(Clone, Debug, Options)]
pub struct Drain {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of a target or VM.
    #[options(free, required, help = "name of a target or VM")]
    pub name: String,
    /// Operation id for repeating an edit whose response was lost.
    #[options(no_short, help = "operation id, to repeat an edit safely", meta = "ID")]
    pub op: Option<String>,
}

/// Options of `evacuate`.
#[derive(Clone, Debug, Options)]
pub struct Evacuate {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of a failure domain.
    #[options(free, required, help = "name of a failure domain")]
    pub domain: String,
    /// Whether to resume sending work to its targets.
    #[options(no_short, help = "resume sending work to its targets")]
    pub back: bool,
    /// Operation id for repeating an edit whose response was lost.
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
    /// Existing directory for the two files.
    #[options(free, required, help = "directory for the two files")]
    pub dir: String,
}

/// Returns the help of the command, or of the tool if no command was given.
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

/// Options of `explain`.
#[derive(Clone, Debug, Options)]
pub struct Explain {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Id of the request attempt.
    #[options(free, required, help = "id of the caller's attempt")]
    pub id: String,
    /// Router log files; standard input is read if there are none.
    #[options(free, help = "router log files; standard input if none is given")]
    pub files: Vec<String>,
}

/// Options of `explain-placement`.
#[derive(Clone, Debug, Options)]
pub struct ExplainPlacement {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address at which the router serves its metrics and readiness.
    #[options(
        no_short,
        required,
        help = "metrics and readiness address of the router",
        meta = "IP:PORT"
    )]
    pub router: String,
    /// Host of the request.
    #[options(no_short, help = "host of the request", meta = "HOST")]
    pub host: Option<String>,
    /// Path of the request.
    #[options(no_short, help = "path of the request", meta = "PATH")]
    pub path: Option<String>,
    /// Account that sends the request.
    #[options(no_short, help = "name of the account", meta = "NAME")]
    pub account: Option<String>,
    /// API key of the account, or `-`.
    #[options(
        no_short,
        help = "key of the account; - reads it from standard input",
        meta = "KEY"
    )]
    pub key: Option<String>,
    /// Parts of the prompt.
    #[options(
        no_short,
        help = "parts of the prompt in order, as hexadecimal id and tokens",
        meta = "ID:N,..."
    )]
    pub prompt_parts: Option<String>,
    /// Tokens of the prompt and maximum number of output tokens.
    #[options(
        no_short,
        help = "prompt tokens and most output tokens",
        meta = "IN,OUT"
    )]
    pub tokens: Option<String>,
    /// Time that the caller will wait, in milliseconds.
    #[options(no_short, help = "time that the caller will wait", meta = "MS")]
    pub remaining: Option<u64>,
    /// File with the request line and headers, or `-`.
    #[options(
        no_short,
        help = "saved request in place of the fields; - reads it from standard input",
        meta = "FILE"
    )]
    pub request: Option<String>,
    /// Print the result as JSON.
    #[options(no_short, help = "print one line of JSON")]
    pub json: bool,
}
