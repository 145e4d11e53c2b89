//! Execution of the command line that asks for an explanation.

use eyre::Result;

use crate::client::Client;
use crate::explain_options::usage;
use crate::explain_options::ExplainOptions;
use crate::explanation::render_explanation;
use crate::options::Format;
use crate::run::read_token;
use crate::run::run_parsed;
use crate::run::ExitStatus;

/// Returns whether the arguments ask a gateway for an explanation.
pub(crate) fn is_meant(args: &[String]) -> bool {
    args.iter()
        .any(|arg| arg == "-g" || arg == "--gateway" || arg.starts_with("--gateway="))
}

/// Runs the program with the arguments after the program name.
pub(crate) fn run(args: &[String]) -> ExitStatus {
    run_parsed(ExplainOptions::parse(args), usage, execute)
}

fn execute(options: &ExplainOptions) -> Result<ExitStatus> {
    let token = options.token_file.as_deref().map(read_token).transpose()?;
    let client = Client::new(&options.gateway, token);
    let explanation = client.explain(&options.request)?;
    match options.format {
        Format::Table => print!("{}", render_explanation(&explanation)),
        Format::Json => println!("{}", serde_json::to_string(&explanation)?),
    }
    Ok(ExitStatus::Success)
}
