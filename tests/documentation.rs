//! Checks the documentation: the commands and crates in the README, the links between pages, and
//! the index of the operator pages.

#![allow(clippy::unwrap_used, reason = "a helper of a test fails the test")]

use std::path::{Path, PathBuf};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the Markdown pages of the repository root and the documentation folders.
fn pages() -> Vec<PathBuf> {
    let folders = [".", "docs", "docs/design", "docs/operators"];
    let files = folders.iter().flat_map(|folder| std::fs::read_dir(root().join(folder)).unwrap());
    files
        .map(|file| file.unwrap().path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "md"))
        .collect()
}

#[test]
fn the_first_commands_in_the_readme_run_the_demo_and_the_tests() {
    let readme = std::fs::read_to_string(root().join("README.md")).unwrap();
    let mut code = readme.lines().filter_map(|line| line.strip_prefix("    "));
    assert_eq!(code.next(), Some("cargo run --release -- demo"));
    assert_eq!(code.next(), Some("cargo test --workspace --locked"));
}

#[test]
fn the_readme_lists_every_crate_and_every_crate_has_a_readme() {
    let readme = std::fs::read_to_string(root().join("README.md")).unwrap();
    for folder in std::fs::read_dir(root().join("crates")).unwrap() {
        let folder = folder.unwrap();
        let name = folder.file_name().into_string().unwrap();
        assert!(readme.contains(&format!("`{name}`")), "README.md does not list {name}");
        assert!(folder.path().join("README.md").exists(), "{name} has no README.md");
    }
}

#[test]
fn links_between_pages_are_not_broken() {
    let mut checked = 0;
    for page in pages() {
        let text = std::fs::read_to_string(&page).unwrap();
        for link in text.split("](").skip(1).filter_map(|rest| rest.split(')').next()) {
            if link.contains("://") || link.starts_with('#') {
                continue;
            }
            let target = page.parent().unwrap().join(link.split('#').next().unwrap());
            assert!(target.exists(), "{}: broken link {link}", page.display());
            checked += 1;
        }
    }
    assert!(checked >= 10, "only {checked} links were found");
}

#[test]
fn the_operator_index_lists_every_page() {
    let folder = root().join("docs/operators");
    let index = std::fs::read_to_string(folder.join("README.md")).unwrap();
    for page in std::fs::read_dir(folder).unwrap() {
        let name = page.unwrap().file_name().into_string().unwrap();
        assert!(name == "README.md" || index.contains(&name), "the index does not list {name}");
    }
}
