//! Execution of the command line that asks for an explanation.

use eyre::Result;

use crate::client::Client;
use crate::explain_options::usage;
use crate::explain_options::ExplainOptions;
use crate::explanation::render_explanation;
use crate::options::Format;
use crate::run::read_token;
use crate::run::ExitStatus;

/// Returns whether the arguments ask a gateway for an explanation.
pub(crate) fn is_meant(args: &[String]) -> bool {
    args.iter()
        .any(|arg| arg == "-g" || arg == "--gateway" || arg.starts_with("--gateway="))
}

/// Runs the program with the arguments after the program name.
pub(crate) fn run(args: &[String]) -> ExitStatus {
    let options = match ExplainOptions::parse(args) {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{}", usage());
            return ExitStatus::Success;
        }
        Err(error) => {
            eprintln!("error: {error}");
            return ExitStatus::Usage;
        }
    };
    match execute(&options) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitStatus::Refused
        }
    }
}

fn execute(options: &ExplainOptions) -> Result<()> {
    let token = options.token_file.as_deref().map(read_token).transpose()?;
    let client = Client::new(&options.gateway, token);
    let explanation = client.explain(&options.request)?;
    match options.format {
        Format::Table => print!("{}", render_explanation(&explanation)),
        Format::Json => println!("{}", serde_json::to_string(&explanation)?),
    }
    Ok(())
}
