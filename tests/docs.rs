//! The pages name files, counters and commands that exist.

use radishpin_cli::Command;
use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// All files below `directory` with this ending, without build output.
fn files(directory: &Path, ending: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        if path.is_dir() && name != "target" && !name.starts_with('.') {
            found.extend(files(&path, ending));
        } else if name.ends_with(ending) {
            found.push(path);
        }
    }
    found
}

fn pages() -> Vec<(PathBuf, String)> {
    let pages = files(&root(), ".md").into_iter();
    pages
        .map(|path| {
            let text = fs::read_to_string(&path).expect("a page");
            (path, text)
        })
        .collect()
}

/// What stands between `before` and `after` in the text.
fn between<'a>(text: &'a str, before: &str, after: char) -> BTreeSet<&'a str> {
    let pieces = text.split(before).skip(1);
    pieces
        .filter_map(|piece| piece.split(after).next())
        .collect()
}

/// Words in backquotes.
fn code_words(text: &str) -> BTreeSet<&str> {
    let quoted = text.split('`').skip(1).step_by(2);
    quoted.flat_map(str::split_whitespace).collect()
}

#[test]
fn links_lead_to_files() {
    for (page, text) in pages() {
        let directory = page.parent().unwrap();
        for link in between(&text, "](", ')') {
            let file = link.split('#').next().unwrap_or_default();
            let is_local = !link.starts_with("http") && !file.is_empty();
            assert!(
                !is_local || directory.join(file).exists(),
                "{page:?}: {link}"
            );
        }
    }
}

#[test]
fn named_source_files_exist() {
    let mut sources = files(&root(), ".rs");
    sources.extend(files(&root(), ".proto"));
    for (page, text) in pages() {
        let is_source = |word: &&str| word.ends_with(".rs") || word.ends_with(".proto");
        for word in code_words(&text).into_iter().filter(is_source) {
            // Patterns and rules name no file.
            if word.contains('*') || word.starts_with('.') || word == "mod.rs" || word == "lib.rs" {
                continue;
            }
            // A page may leave out the directories that it has named before.
            let exists = sources.iter().any(|source| source.ends_with(word));
            assert!(exists, "{page:?}: {word}");
        }
    }
}

#[test]
fn named_counters_exist() {
    let sources: String = files(&root().join("crates"), ".rs")
        .iter()
        .map(|path| fs::read_to_string(path).expect("a source file"))
        .collect();
    for (page, text) in pages() {
        for word in code_words(&text) {
            let name = word.split('{').next().unwrap_or_default();
            let is_counter = name.starts_with("radishpin_") && !name.contains("::");
            let is_crate = root().join("crates").join(name.replace('_', "-")).exists();
            let quoted = format!("\"{name}\"");
            let exists = !is_counter || is_crate || sources.contains(&quoted);
            assert!(exists, "{page:?}: {name}");
        }
    }
}

#[test]
fn named_commands_exist() {
    for (page, text) in pages() {
        for command in between(&text, "`radishpin ", '`') {
            let name = command.split_whitespace().next().unwrap_or_default();
            let exists = Command::from_name(name).is_some() || name == "COMMAND";
            assert!(exists, "{page:?}: radishpin {command}");
        }
    }
}
