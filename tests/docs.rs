//! The pages under `docs/` and the links between them.

use std::path::{Path, PathBuf};

/// Adds the pages below a directory to `found`.
fn collect_pages(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("a directory") {
        let path = entry.expect("readable").path();
        if path.is_dir() {
            collect_pages(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            found.push(path);
        }
    }
}

/// Returns the targets of the links of a page to other pages.
fn links(text: &str) -> impl Iterator<Item = &str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split([')', '#']).next())
        .filter(|target| !target.is_empty() && !target.contains("://"))
}

#[test]
fn every_link_between_pages_has_an_existing_target() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = vec![root.join("README.md"), root.join("examples/README.md")];
    collect_pages(&root.join("docs"), &mut found);
    assert!(found.len() >= 9, "pages: {found:?}");
    for page in found {
        let text = std::fs::read_to_string(&page).expect("readable");
        let dir = page.parent().expect("in a directory");
        for target in links(&text) {
            let shown = page.display();
            assert!(dir.join(target).exists(), "{shown} links to {target}");
        }
    }
}

#[test]
fn the_summary_lists_every_page_once() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    let summary = docs.join("SUMMARY.md");
    let text = std::fs::read_to_string(&summary).expect("readable");
    let mut listed: Vec<PathBuf> = links(&text).map(|target| docs.join(target)).collect();
    listed.push(summary);
    listed.sort();
    let mut found = Vec::new();
    collect_pages(&docs, &mut found);
    found.sort();
    assert_eq!(listed, found);
}
