//! Position and message of each kind of fault.

use reedford_rules::{FaultKind, parse, parse_bytes};
use test_case::test_case;

/// A rule for the group that the cases refer to.
const GROUP: &str = "group g kind=engine base=b  # asked by Ada";

/// A line and the first fault expected in it.
struct Case {
    line: &'static str,
    column: usize,
    message: &'static str,
}

const CASES: &[Case] = &[
    Case {
        line: "loads rate=3/s in-flight=8  ",
        column: 27,
        message: "the rule has no comment: end the line with `# asked by NAME`",
    },
    Case {
        line: "loads rate=3/s in-flight=8 # as before",
        column: 28,
        message: "the comment does not say who asked: write `# asked by NAME`",
    },
    Case {
        line: "loads rate=3/s in-flight=8 # asked by",
        column: 28,
        message: "the comment does not say who asked: write `# asked by NAME`",
    },
    Case {
        line: "loads rate=3/s in-flight=8 # asked by , Waschformel",
        column: 28,
        message: "the comment does not say who asked: write `# asked by NAME`",
    },
    Case {
        line: "loads rate=3/s in-flight=8 # asked byAda",
        column: 28,
        message: "the comment does not say who asked: write `# asked by NAME`",
    },
    Case {
        line: "  adaptor a group=g # asked by Ada",
        column: 3,
        message: "unknown word `adaptor`: a rule starts with adapter, group, limit, loads or service",
    },
    Case {
        line: "adapter # asked by Ada",
        column: 1,
        message: "`adapter` is not followed by a name",
    },
    Case {
        line: "adapter a group=g versions=1 repeatable=yes fast # asked by Ada",
        column: 45,
        message: "unexpected word `fast` in the rule `adapter`: expected key=value",
    },
    Case {
        line: "adapter a group=g versions=1 repeatable=yes colour=red # asked by Ada",
        column: 45,
        message: "unknown key `colour` in the rule `adapter`",
    },
    Case {
        line: "adapter a group=g versions=1 group=g repeatable=yes # asked by Ada",
        column: 30,
        message: "the key `group` is given twice",
    },
    Case {
        line: "adapter a group=g versions=1 # asked by Ada",
        column: 1,
        message: "the rule `adapter` needs `repeatable=`",
    },
    Case {
        line: "adapter a group=g versions=1 repeatable=maybe # asked by Ada",
        column: 30,
        message: "bad value `maybe` for `repeatable`: expected yes or no",
    },
    Case {
        line: "adapter a group=g versions=1,1 repeatable=yes # asked by Ada",
        column: 19,
        message: "bad value `1,1` for `versions`: expected each item once",
    },
    Case {
        line: "adapter a@1 group=g versions=1 repeatable=yes # asked by Ada",
        column: 9,
        message: "bad name `a@1`: expected at most 63 of a-z, 0-9, `.`, `_` and `-`, starting with a letter or digit",
    },
    Case {
        line: "adapter ä group=g versions=1, repeatable=yes # asked by Ada",
        column: 9,
        message: "bad name `ä`: expected at most 63 of a-z, 0-9, `.`, `_` and `-`, starting with a letter or digit",
    },
    Case {
        line: "adapter a group=h versions=1 repeatable=yes # asked by Ada",
        column: 11,
        message: "contradiction: no rule for the group `h`",
    },
    Case {
        line: "group g kind=engine base=c # asked by Ada",
        column: 7,
        message: "`group g` is already ruled on line 1",
    },
    Case {
        line: "group h kind=plain base=c # asked by Ada",
        column: 9,
        message: "bad value `plain` for `kind`: expected engine",
    },
    Case {
        line: "group h kind=engine base=c eviction=fifo # asked by Ada",
        column: 28,
        message: "bad value `fifo` for `eviction`: expected frequency or lru",
    },
    Case {
        line: "service s group=g # asked by Ada",
        column: 11,
        message: "contradiction: the group `g` is one of model engines, not of a plain service",
    },
    Case {
        line: "service s group=p repeatable-paths=/a,/b/../c # asked by Ada",
        column: 19,
        message: "bad value `/a,/b/../c` for `repeatable-paths`: expected paths such as /prices,/stock",
    },
    Case {
        line: "limit adapter=a rate=1/s burst=1 # asked by Ada",
        column: 7,
        message: "contradiction: no rule for the adapter `a`",
    },
    Case {
        line: "limit class=urgent rate=1/s burst=1 # asked by Ada",
        column: 7,
        message: "bad value `urgent` for `class`: expected lookup, standard or writing",
    },
    Case {
        line: "limit all rate=1/s burst=1 # asked by Ada",
        column: 7,
        message: "bad value `all` for `limit`: expected each-adapter, adapter=NAME or class=CLASS",
    },
    Case {
        line: "limit each-adapter rate=0/s burst=1 # asked by Ada",
        column: 20,
        message: "bad value `0/s` for `rate`: expected a rate of at least 1/s, such as 20/s",
    },
    Case {
        line: "limit each-adapter rate=1/s burst=4294967296 # asked by Ada",
        column: 29,
        message: "bad value `4294967296` for `burst`: expected a whole number of at least 1",
    },
    Case {
        line: "loads rate=0.0004/s in-flight=8 # asked by Ada",
        column: 7,
        message: "bad value `0.0004/s` for `rate`: expected a rate of at least 0.001/s, such as 2.5/s",
    },
    Case {
        line: "loads rate=+3/s in-flight=8 # asked by Ada",
        column: 7,
        message: "bad value `+3/s` for `rate`: expected a rate of at least 0.001/s, such as 2.5/s",
    },
    Case {
        line: "loads rate=3/s in-flight=8 # asked by A\u{7}da",
        column: 40,
        message: "control character U+0007",
    },
];

#[test]
fn a_faulty_line_is_reported_with_its_position() {
    for case in CASES {
        let text = format!("{GROUP}\n\n{}\n", case.line);
        let faults = parse(&text).expect_err(case.line);
        let expected = format!("3:{}: {}", case.column, case.message);
        let first = faults.as_slice().first().map(ToString::to_string);
        assert_eq!(first.as_deref(), Some(&*expected), "{}", case.line);
    }
}

#[test]
fn each_case_has_the_expected_number_of_faults() {
    for case in CASES {
        let text = format!("{GROUP}\n\n{}\n", case.line);
        let count = parse(&text).map_err(|f| f.as_slice().len());
        let expected = match case.line {
            // The name and all three keys are missing.
            "adapter # asked by Ada" => 4,
            // A name with a letter outside a-z, and an empty version.
            line if line.contains('ä') => 2,
            _ => 1,
        };
        assert_eq!(count, Err(expected), "{}", case.line);
    }
}

#[test]
fn all_faults_are_reported_by_line_and_column() {
    let text = "adapter a versions=1 group=g colour=red\nloads\nlimit class=x\n";
    let faults = parse(text).expect_err("faulty");
    let positions: Vec<(usize, usize)> = faults
        .as_slice()
        .iter()
        .map(|f| (f.line, f.column))
        .collect();
    let expected = [
        (1, 1),
        (1, 22),
        (1, 30),
        (1, 40),
        (2, 1),
        (2, 1),
        (2, 6),
        (3, 1),
        (3, 1),
        (3, 7),
        (3, 14),
    ];
    assert_eq!(positions, expected);
}

#[test]
fn a_faulty_group_causes_no_faults_at_its_adapters() {
    let text = "group g kind=engine  # asked by Ada\n\
                adapter a group=g versions=1 repeatable=no  # asked by Ada\n";
    let faults = parse(text).expect_err("faulty");
    let kinds: Vec<&FaultKind> = faults.as_slice().iter().map(|f| &f.kind).collect();
    let expected = FaultKind::MissingKey {
        key: "base",
        rule: "group",
    };
    assert_eq!(kinds, [&expected]);
}

#[test]
fn a_long_line_is_reported_at_its_length_limit() {
    let text = format!("{GROUP}{}", "x".repeat(5_000));
    let faults = parse(&text).expect_err("too long");
    let fault = &faults.as_slice()[0];
    assert_eq!((fault.line, fault.column), (1, 4_097));
    assert_eq!(fault.kind, FaultKind::LineTooLong { max: 4_096 });
}

#[test_case(b"\xff", 1, 1; "at the start")]
#[test_case(b"# \xc3\xa4\n\xc3\xa4 \xe2\x82", 2, 3; "cut character on the second line")]
fn invalid_utf8_is_reported_with_its_position(bytes: &[u8], line: usize, column: usize) {
    let faults = parse_bytes(bytes).expect_err("not UTF-8");
    let fault = &faults.as_slice()[0];
    assert_eq!((fault.line, fault.column), (line, column));
    assert_eq!(fault.kind, FaultKind::NotUtf8);
}
