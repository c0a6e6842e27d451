//! Differences between texts, and the order of revisions.

use reedford_rules::{DiffError, RevisionOrder, RulesDocument, compare_revision, diff, text_diff};

const OLD: &str = "\
group g kind=engine base=b  # asked by Ada
adapter a group=g versions=1 repeatable=no  # asked by Ada
adapter c group=g versions=1 repeatable=no  # asked by Ada
";

/// A new text and its printed difference from [`OLD`].
struct Case {
    new: &'static str,
    shown: &'static str,
}

const CASES: &[Case] = &[
    Case {
        new: OLD,
        shown: "0 added, 0 changed, 0 removed",
    },
    Case {
        new: "# prose\n\
              adapter c versions=1  repeatable=no group=g # asked by Ada\n\n\
              adapter a group=g versions=1 repeatable=no  # asked by Ada\n\
              group g kind=engine base=b eviction=frequency #   asked by Ada\n",
        shown: "0 added, 0 changed, 0 removed",
    },
    Case {
        new: "group g kind=engine base=b  # asked by Ada\n\
              adapter a group=g versions=1,2 repeatable=no  # asked by Ada\n\
              loads rate=1/s in-flight=2  # asked by Bo\n",
        shown: "\
- adapter a group=g versions=1 repeatable=no  # asked by Ada
+ adapter a group=g versions=1,2 repeatable=no  # asked by Ada
- adapter c group=g versions=1 repeatable=no  # asked by Ada
+ loads rate=1/s in-flight=2  # asked by Bo
1 added, 1 changed, 1 removed",
    },
    Case {
        new: "group g kind=engine base=b  # asked by Bo\n\
              adapter a group=g versions=1 repeatable=no  # asked by Ada\n\
              adapter c group=g versions=1 repeatable=no  # asked by Ada\n",
        shown: "\
- group g kind=engine base=b objective=load-stalls eviction=frequency load-ordering=value placement=home admission=on  # asked by Ada
+ group g kind=engine base=b objective=load-stalls eviction=frequency load-ordering=value placement=home admission=on  # asked by Bo
0 added, 1 changed, 0 removed",
    },
];

#[test]
fn texts_are_compared_rule_by_rule() {
    for case in CASES {
        let found = diff(OLD, case.new).expect("good texts");
        assert_eq!(found.to_string(), case.shown);
        assert_eq!(found.is_empty(), found.changes.is_empty());
    }
}

#[test]
fn the_error_names_the_faulty_text() {
    assert!(matches!(diff("x", OLD), Err(DiffError::Old(_))));
    assert!(matches!(diff(OLD, "x"), Err(DiffError::New(_))));
}

#[test]
fn text_diff_is_a_unified_diff() {
    let shown = text_diff("a\nb\n", "a\nc\n", "edited", "in force");
    assert_eq!(
        shown,
        "--- edited\n+++ in force\n@@ -1,2 +1,2 @@\n a\n-b\n+c\n"
    );
    assert_eq!(text_diff("a\n", "a\n", "edited", "in force"), "");
}

fn document(revision: u64) -> RulesDocument {
    RulesDocument::parse(revision, OLD).expect("good text")
}

#[test]
fn only_a_newer_revision_is_adopted() {
    let cases = [
        (None, 1, RevisionOrder::Newer),
        (Some(4), 5, RevisionOrder::Newer),
        (Some(4), 4, RevisionOrder::Same),
        (Some(4), 3, RevisionOrder::Older),
    ];
    for (current, offered, expected) in cases {
        let current = current.map(document);
        assert_eq!(
            compare_revision(current.as_ref(), &document(offered)),
            expected
        );
    }
}

#[test]
fn a_faulty_text_is_not_a_document() {
    assert!(RulesDocument::parse(1, "x").is_err());
}
