//! Tests of the parser, the printer and error positions.

use dw_base::DurationMs;
use dw_lang::parse;
use dw_lang::Command;
use dw_lang::Comparison;
use dw_lang::Field;
use dw_lang::Filter;
use dw_lang::Kind;
use dw_lang::Query;
use dw_lang::Scalar;
use dw_lang::Statement;
use dw_lang::Value;
use expect_test::expect;
use expect_test::Expect;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;

fn name() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-zA-Z0-9_.:/|*-]{1,12}",
        "\\PC{0,8}",
        "[\"\\\\\n\t# ;=]{1,4}"
    ]
}

fn non_negative() -> impl Strategy<Value = f64> {
    prop_oneof![
        0.0..1e6f64,
        any::<u32>().prop_map(f64::from),
        Just(f64::MAX)
    ]
}

fn scalar() -> impl Strategy<Value = Scalar> {
    prop_oneof![
        any::<u64>().prop_map(Scalar::Integer),
        non_negative().prop_map(Scalar::Decimal),
        any::<u64>().prop_map(|ms| Scalar::Duration(DurationMs(ms))),
        (0u64..1_000_000).prop_map(|s| Scalar::Duration(DurationMs(s * 1_000))),
        non_negative().prop_map(Scalar::Rate),
        name().prop_map(Scalar::Text),
        "[0-9]{1,3}(ms|s|m|h|/s|)".prop_map(Scalar::Text),
    ]
}

fn fields() -> impl Strategy<Value = Vec<Field>> {
    let value = prop_oneof![
        scalar().prop_map(Value::Scalar),
        vec(scalar(), 0..4).prop_map(Value::List),
    ];
    vec((name(), value), 1..5).prop_map(|pairs| {
        let mut fields: Vec<Field> = Vec::new();
        for (name, value) in pairs {
            if fields.iter().all(|field| field.name != name) {
                fields.push(Field { name, value });
            }
        }
        fields
    })
}

fn declarable_kind() -> impl Strategy<Value = Kind> {
    let kinds = Kind::ALL.into_iter();
    let kinds = kinds.filter(|kind| !matches!(kind, Kind::Limit | Kind::Node));
    prop::sample::select(kinds.collect::<Vec<_>>())
}

fn query() -> impl Strategy<Value = Query> {
    let filter = (name(), prop::sample::select(&Comparison::ALL[..]), scalar()).prop_map(
        |(field, comparison, value)| Filter {
            field,
            comparison,
            value,
        },
    );
    prop_oneof![
        name().prop_map(Query::ExplainRequest),
        (prop::sample::select(&Kind::ALL[..]), name())
            .prop_map(|(kind, name)| Query::Show { kind, name }),
        (prop::sample::select(&Kind::ALL[..]), vec(filter, 0..4))
            .prop_map(|(kind, filters)| Query::List { kind, filters }),
        name().prop_map(Query::ShowPrefix),
        Just(Query::ShowConfig),
        option::of(any::<u64>()).prop_map(|limit| Query::History { limit }),
    ]
}

fn command() -> impl Strategy<Value = Command> {
    let rates = (option::of(non_negative()), option::of(non_negative()))
        .prop_filter("a limit has a rate", |(a, b)| a.is_some() || b.is_some());
    prop_oneof![
        (declarable_kind(), name(), fields()).prop_map(|(kind, name, fields)| Command::Declare {
            kind,
            name,
            fields
        }),
        (declarable_kind(), name(), fields()).prop_map(|(kind, name, fields)| Command::Alter {
            kind,
            name,
            fields
        }),
        (declarable_kind(), name()).prop_map(|(kind, name)| Command::Delete { kind, name }),
        name().prop_map(|upstream| Command::Drain { upstream }),
        name().prop_map(|upstream| Command::Resume { upstream }),
        (name(), any::<u64>()).prop_map(|(model, weights)| Command::Load { model, weights }),
        (name(), option::of(name()), rates).prop_map(|(organisation, service, rates)| {
            Command::Limit {
                organisation,
                service,
                requests_per_s: rates.0,
                tokens_per_s: rates.1,
            }
        }),
    ]
}

fn statement() -> impl Strategy<Value = Statement> {
    prop_oneof![
        query().prop_map(Statement::Query),
        command().prop_map(Statement::Command),
    ]
}

proptest! {
    /// Guards against a printed statement that parses to a different statement.
    #[test]
    fn printing_and_parsing_give_the_same_statements(expected in vec(statement(), 1..4)) {
        let texts: Vec<String> = expected.iter().map(Statement::to_string).collect();
        let text = texts.join("; ");
        let parsed = parse(&text).map_err(|e| proptest::test_runner::TestCaseError::fail(
            format!("{text}: {e}")
        ))?;
        let found: Vec<Statement> = parsed.iter().map(|s| s.statement.clone()).collect();
        prop_assert_eq!(found, expected, "{}", text);
        for (spanned, text_of_one) in parsed.iter().zip(&texts) {
            prop_assert!(text[spanned.offset..].starts_with(text_of_one.as_str()));
        }
    }

    /// Guards against panics, and errors without a position or expected tokens, on arbitrary input.
    #[test]
    fn hostile_texts_give_errors_with_positions(
        noise in "\\PC*", original in statement(), cut in any::<prop::sample::Index>(),
    ) {
        let printed = original.to_string();
        let at = cut.index(printed.len() + 1);
        let truncated: String = printed.chars().take(at).collect();
        for text in [format!("{truncated}{noise}"), truncated, noise] {
            if let Err(error) = parse(&text) {
                prop_assert!(text.is_char_boundary(error.offset));
                prop_assert!(!error.expected.is_empty(), "{}", error);
            }
        }
    }
}

/// Guards against an error that points at another token than the unexpected one.
#[test]
fn errors_point_at_the_wrong_word() {
    let check = |text: &str, expect: Expect| {
        let error = parse(text).expect_err("the text is invalid");
        expect.assert_eq(&format!("{}: {error}", error.offset));
    };
    check("", expect!["0: the end of the text is not expected here: write explain, show, list, history, declare, alter, delete, drain, resume, load or limit"]);
    check(
        "show upstrem ikeja-1",
        expect![[
            r#"5: "upstrem" is not expected here: write limit, model, node, operator, organisation, service, setting, upstream, prefix or config"#
        ]],
    );
    check(
        "drain upstream",
        expect!["14: the end of the text is not expected here: write the name of an upstream"],
    );
    check(
        "drain upstream a b",
        expect![[r#"17: "b" is not expected here: write ;"#]],
    );
    check(
        "list node where state ~ live",
        expect![[r#"22: "~" is not expected here: write !=, <=, >=, =, <, > or contains"#]],
    );
    check(
        "list node where state = live or x = y",
        expect![[r#"29: "or" is not expected here: write and or ;"#]],
    );
    check(
        "load model m weights 2s",
        expect![[r#"21: "2s" is not expected here: write a whole number"#]],
    );
    check(
        "alter model m",
        expect!["13: the end of the text is not expected here: write field=value"],
    );
    check(
        "alter model m weights",
        expect!["21: the end of the text is not expected here: write ="],
    );
    check(
        "alter model m weights=1 weights=2",
        expect![[r#"24: "weights" is not expected here: write each field once"#]],
    );
    check(
        "declare upstream u services=[a b]",
        expect![[r#"31: "b" is not expected here: write , or ]"#]],
    );
    check(
        "limit organisation acme",
        expect!["23: the end of the text is not expected here: write requests or tokens"],
    );
    check(
        "limit organisation acme requests=5",
        expect![[r#"33: "5" is not expected here: write a rate, for example 50/s"#]],
    );
    check(
        "show model \"m",
        expect![[
            r#"13: the end of the text is not expected here: write " at the end of the string"#
        ]],
    );
    check(
        "declare limit x",
        expect![[
            r#"8: "limit" is not expected here: write model, operator, organisation, service, setting or upstream"#
        ]],
    );
}

/// Guards against a file of statements that is rejected because of comments, line breaks or a
/// trailing semicolon.
#[test]
fn files_may_have_comments_and_line_ends() {
    let text = "# weights\nload model m weights 2; # first\n\ndrain upstream u;\n";
    let statements = parse(text).expect("the text is valid");
    assert_eq!(statements.len(), 2);
    assert_eq!(statements[1].offset, text.find("drain").unwrap());
}
