//! Compares the committed generated modules with the schemas.

use std::fs;
use std::path::Path;

use typify::TypeSpace;
use typify::TypeSpaceSettings;

const MODULES: [&str; 7] = [
    "admin", "callers", "engine", "explain", "service", "table", "vms",
];

fn generate(schema_path: &Path) -> String {
    let text = fs::read_to_string(schema_path).expect("schema is readable");
    let schema: schemars::schema::RootSchema =
        serde_json::from_str(&text).expect("schema is a JSON schema");
    let mut settings = TypeSpaceSettings::default();
    settings
        .with_derive("PartialEq".to_owned())
        .with_struct_builder(false);
    let mut space = TypeSpace::new(&settings);
    space
        .add_ref_types(schema.definitions)
        .expect("definitions can be converted");
    let file = syn::parse2(space.to_stream()).expect("generated code parses");
    prettyplease::unparse(&file)
}

/// Guards against schemas that were changed without generating the types again.
#[test]
fn committed_modules_match_schemas() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for module in MODULES {
        let wanted = generate(&root.join(format!("../../schema/{module}.json")));
        let path = root.join(format!("src/generated/{module}.rs"));
        if std::env::var_os("UPDATE_GENERATED").is_some() {
            fs::write(&path, &wanted).expect("module is writable");
        }
        let found = fs::read_to_string(&path).expect("module is readable");
        assert!(
            found == wanted,
            "{module}.rs is out of date: run UPDATE_GENERATED=1 cargo test -p dw-api"
        );
    }
}
