//! Help texts, generated from the declarations of settings.

use super::{Kind, Presence, Setting};
use crate::command::{Command, CommandSpec};
use std::fmt::Write;

/// Generates the text of `radishpin --help`.
pub(crate) fn overview() -> String {
    let mut text = String::from(
        "Serving system for rarely used models\n\nUsage: radishpin COMMAND [FLAGS]\n\nCommands:\n",
    );
    for command in Command::ALL {
        let spec = command.spec();
        let _ = writeln!(text, "  {:<9} {}", spec.name, spec.summary);
    }
    text.push_str(
        "\n`radishpin COMMAND --help` lists a command's flags with examples.\n\
         A flag with a RADISHPIN_ variable can also be set by it; the flag takes precedence.\n\
         Exit codes: 0 done, 1 failed, 2 bad settings.\n",
    );
    text
}

/// Generates the text of `radishpin COMMAND --help`.
pub(crate) fn command_help(spec: &CommandSpec) -> String {
    let mut text = format!("{}\n\n", spec.summary);
    for (index, usage) in spec.usages.iter().enumerate() {
        let prefix = if index == 0 { "Usage:" } else { "      " };
        let _ = writeln!(text, "{prefix} radishpin {} {usage}", spec.name);
    }
    text.push_str("\nFlags:\n");
    for setting in spec.settings {
        text.push_str(&setting_help(setting));
    }
    text.push_str("  --help\n      Show this text.\n\nExamples:\n");
    for example in spec.examples {
        let _ = writeln!(text, "  {example}");
    }
    if !spec.notes.is_empty() {
        let _ = write!(text, "\n{}", spec.notes);
    }
    text
}

fn setting_help(setting: &Setting) -> String {
    let mut text = format!("  --{}", setting.flag);
    if setting.kind != Kind::Switch {
        let _ = write!(text, " {}", setting.kind.placeholder());
    }
    let _ = writeln!(text, "\n      {}", setting.help);
    if setting.kind != Kind::Switch {
        let _ = writeln!(text, "      Allowed: {}", setting.kind.allowed());
    }
    let presence = match setting.presence {
        Presence::Required => "Required.".to_owned(),
        Presence::Optional => "Optional.".to_owned(),
        Presence::Default(value) => format!("Default: {value}."),
    };
    match setting.env {
        Some(env) => {
            let _ = writeln!(text, "      {presence} Environment: {env}.");
        }
        None => {
            let _ = writeln!(text, "      {presence}");
        }
    }
    text
}
