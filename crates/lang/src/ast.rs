//! Statements in parsed form.

use dw_base::DurationMs;

/// Kind of object that a statement names.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A limit, named `<organisation>|<service>` or `<organisation>|*`.
    Limit,
    /// A model.
    Model,
    /// A router or agent process; nodes are found, not declared.
    Node,
    /// Somebody who may send statements.
    Operator,
    /// An organisation.
    Organisation,
    /// A service.
    Service,
    /// A setting of the whole deployment.
    Setting,
    /// An upstream.
    Upstream,
}

impl Kind {
    /// All kinds in order of their names.
    pub const ALL: [Kind; 8] = [
        Kind::Limit,
        Kind::Model,
        Kind::Node,
        Kind::Operator,
        Kind::Organisation,
        Kind::Service,
        Kind::Setting,
        Kind::Upstream,
    ];
}

/// A value that is not a list.
#[derive(Clone, Debug, PartialEq)]
pub enum Scalar {
    /// A whole number.
    Integer(u64),
    /// A number with a fraction.
    Decimal(f64),
    /// A duration, for example `250ms`.
    Duration(DurationMs),
    /// A rate per second, for example `50/s`.
    Rate(f64),
    /// A word or quoted string.
    Text(String),
}

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A single value.
    Scalar(Scalar),
    /// Values in brackets.
    List(Vec<Scalar>),
}

/// A field and its new value.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Name.
    pub name: String,
    /// Value.
    pub value: Value,
}

/// Comparison in a filter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operator {
    /// The field is the value.
    Equal,
    /// The field is not the value.
    NotEqual,
    /// The field is below the value.
    Less,
    /// The field is at most the value.
    LessEqual,
    /// The field is above the value.
    Greater,
    /// The field is at least the value.
    GreaterEqual,
    /// The field is a list or text in which the value occurs.
    Contains,
}

impl Operator {
    /// All operators; none begins with one that precedes it.
    pub const ALL: [Operator; 7] = [
        Operator::NotEqual,
        Operator::LessEqual,
        Operator::GreaterEqual,
        Operator::Equal,
        Operator::Less,
        Operator::Greater,
        Operator::Contains,
    ];
}

/// A condition on listed objects.
#[derive(Clone, Debug, PartialEq)]
pub struct Filter {
    /// Field.
    pub field: String,
    /// Comparison.
    pub operator: Operator,
    /// Value.
    pub value: Scalar,
}

/// A statement that changes nothing.
#[derive(Clone, Debug, PartialEq)]
pub enum Query {
    /// `explain request <id>`
    ExplainRequest(String),
    /// `show <kind> <name>`
    Show {
        /// Kind.
        kind: Kind,
        /// Name.
        name: String,
    },
    /// `list <kind> [where <field> <op> <value> [and ...]]`
    List {
        /// Kind.
        kind: Kind,
        /// Conditions, all of which must hold.
        filters: Vec<Filter>,
    },
    /// `show prefix <hash>`
    ShowPrefix(String),
    /// `show config`
    ShowConfig,
    /// `history [limit <n>]`
    History {
        /// Most changes shown.
        limit: Option<u64>,
    },
}

/// A statement that changes the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// `declare <kind> <name> <field>=<value> ...`
    Declare {
        /// Kind; never a limit or node.
        kind: Kind,
        /// Name.
        name: String,
        /// Fields.
        fields: Vec<Field>,
    },
    /// `alter <kind> <name> <field>=<value> ...`
    Alter {
        /// Kind; never a limit or node.
        kind: Kind,
        /// Name.
        name: String,
        /// Fields, at least one.
        fields: Vec<Field>,
    },
    /// `delete <kind> <name>`
    Delete {
        /// Kind; never a node.
        kind: Kind,
        /// Name.
        name: String,
    },
    /// `drain upstream <name>`
    Drain {
        /// Upstream.
        upstream: String,
    },
    /// `resume upstream <name>`
    Resume {
        /// Upstream.
        upstream: String,
    },
    /// `load model <name> weights <n>`
    Load {
        /// Model.
        model: String,
        /// Version of the weights.
        weights: u64,
    },
    /// `limit organisation <name> [service <s>] [requests=<n>/s] [tokens=<n>/s]`
    Limit {
        /// Organisation.
        organisation: String,
        /// Service; absent for all services together.
        service: Option<String>,
        /// Most requests per second.
        requests_per_s: Option<f64>,
        /// Most tokens per second.
        tokens_per_s: Option<f64>,
    },
}

/// A statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// A query.
    Query(Query),
    /// A command.
    Command(Command),
}

/// A statement and where it stands in the text.
#[derive(Clone, Debug, PartialEq)]
pub struct Spanned {
    /// Byte offset of the first word.
    pub offset: usize,
    /// Statement.
    pub statement: Statement,
}
